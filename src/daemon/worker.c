/*
 * A worker thread and its servers. A worker's state is used by its own thread
 * only: a new manifest or host list arrives as a message, so that calls take no
 * lock to read them.
 */

#include <pthread.h>
#include <string.h>

#include "daemon/call.h"
#include "daemon/latency.h"
#include "loom/log.h"
#include "loom/timer.h"

struct worker_start_args {
	struct worker_listeners listeners;
	const struct loom_tls_pair *tls; /* borrowed */
};

static void
on_caller_request(void *arg, struct loom_exchange *x)
{
	entry_request(arg, x);
}

static void
on_peer_request(void *arg, struct loom_exchange *x)
{
	entry_peer_request(arg, x);
}

static void
on_ready_request(void *arg, struct loom_exchange *x)
{
	entry_ready_request(arg, x);
}

static size_t
on_body(struct loom_exchange *x, const uint8_t *data, size_t len)
{
	return relay_take_body(loom_exchange_user(x), data, len);
}

static void
on_body_end(struct loom_exchange *x)
{
	relay_body_end(loom_exchange_user(x));
}

static void
on_drained(struct loom_exchange *x)
{
	struct call *call = loom_exchange_user(x);

	if (call->fetch != NULL)
		loom_fetch_resume_response(call->fetch);
}

static void
on_gone(struct loom_exchange *x)
{
	struct call *call = loom_exchange_user(x);

	if (call != NULL)
		loom_counter_add(
		    call->worker->daemon->counters.disconnected, 1);
}

static void
on_end(struct loom_exchange *x)
{
	struct call *call = loom_exchange_user(x);

	if (call != NULL)
		call_end(call);
}

static const struct loom_exchange_ops caller_ops = {
	.request = on_caller_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = on_drained,
	.disconnected = on_gone,
	.end = on_end,
};

static const struct loom_exchange_ops peer_ops = {
	.request = on_peer_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = on_drained,
	.disconnected = on_gone,
	.end = on_end,
};

static const struct loom_exchange_ops ready_ops = {
	.request = on_ready_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = on_drained,
	.disconnected = on_gone,
	.end = on_end,
};

static void
free_entry(gpointer value)
{
	talloc_free(value);
}

static bool
start_servers(
    struct worker *worker, const struct worker_start_args *args, GError **error)
{
	const struct daemon_settings *settings = &worker->daemon->settings;
	struct loom_server_options options = {
		.listen_fd = args->listeners.callers_fd,
		.tls = args->tls,
		.connections_max = settings->connections,
		.idle_timeout_s = settings->idle_timeout_s,
		.ops = &caller_ops,
		.arg = worker,
	};

	worker->caller_server = loom_server_new(
	    worker, worker->ev, worker->hangup, &options, error);
	if (worker->caller_server == NULL)
		return false;
	options.listen_fd = args->listeners.peers_fd;
	options.tls = NULL;
	options.ops = &peer_ops;
	worker->peer_server = loom_peer_server_new(
	    worker, worker->ev, worker->sockets, &options, error);
	if (worker->peer_server == NULL || args->listeners.ready_fd < 0)
		return worker->peer_server != NULL;
	options.listen_fd = args->listeners.ready_fd;
	options.suppress_date = true;
	options.ops = &ready_ops;
	worker->ready_server = loom_server_new(
	    worker, worker->ev, worker->hangup, &options, error);
	return worker->ready_server != NULL;
}

static void *
worker_thread(void *arg)
{
	struct worker *worker = arg;

	if (pthread_getcpuclockid(pthread_self(), &worker->cpu_clock) == 0)
		atomic_store(&worker->has_cpu_clock, true);
	while (!worker->stopping) {
		if (tevent_loop_once(worker->ev) != 0)
			break;
	}
	return NULL;
}

struct worker *
worker_start(struct loom_daemon *daemon, uint32_t index,
    const struct worker_listeners *listeners, const struct loom_tls_pair *tls,
    GError **error)
{
	const struct worker_start_args args = {
		.listeners = *listeners,
		.tls = tls,
	};
	struct worker *worker = talloc_zero(NULL, struct worker);

	worker->daemon = daemon;
	worker->index = index;
	worker->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_entry);
	worker->peer_clocks = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_entry);
	worker->issues = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_entry);
	worker->ev = tevent_context_init(worker);
	if (worker->ev == NULL)
		goto error;
	loop_utilization_start(&worker->utilization, worker->ev, loom_now_us());
	worker->timers = loom_timers_new(worker, worker->ev);
	worker->mailbox = loom_mailbox_new(worker, worker->ev);
	worker->hangup = loom_hangup_new(worker, worker->ev);
	worker->sockets = loom_sockets_new(worker, worker->ev);
	worker->fetcher = loom_fetcher_new(worker, worker->ev, worker->sockets);
	worker->shed = loom_shed_new(worker, &loom_random_system);
	worker->latencies = latencies_new(worker);
	worker->keep = loom_throttle_new(worker);
	worker->costs = loom_costs_new(worker);
	if (worker->timers == NULL || worker->mailbox == NULL ||
	    worker->hangup == NULL || worker->sockets == NULL ||
	    worker->fetcher == NULL || worker->shed == NULL ||
	    worker->keep == NULL || worker->costs == NULL ||
	    worker->latencies == NULL)
		goto error;
	if (!start_servers(worker, &args, error))
		goto error;
	worker->thread = g_thread_new("worker", worker_thread, worker);
	return worker;

error:
	loom_set_error(error, LOOM_START, "worker %u cannot start", index);
	g_hash_table_destroy(worker->services);
	g_hash_table_destroy(worker->peer_clocks);
	g_hash_table_destroy(worker->issues);
	talloc_free(worker);
	return NULL;
}

static void
drain_servers(void *arg)
{
	struct worker *worker = arg;

	loom_server_drain(worker->caller_server);
	loom_peer_server_drain(worker->peer_server);
}

void
worker_drain(struct worker *worker)
{
	loom_mailbox_post(worker->mailbox, drain_servers, worker);
}

static void
block_connections(void *arg)
{
	struct worker *worker = arg;

	loom_server_drop_new_connections(worker->caller_server);
	loom_peer_server_drop_new_connections(worker->peer_server);
}

void
worker_block_connections(struct worker *worker)
{
	loom_mailbox_post(worker->mailbox, block_connections, worker);
}

static void
end_calls(void *arg)
{
	calls_end(arg);
}

void
worker_end_calls(struct worker *worker)
{
	loom_mailbox_post(worker->mailbox, end_calls, worker);
}

static void
stop_loop(void *arg)
{
	struct worker *worker = arg;

	worker->stopping = true;
}

void
worker_stop(struct worker *worker)
{
	struct call *call, *next;

	loom_mailbox_post(worker->mailbox, stop_loop, worker);
	g_thread_join(worker->thread);
	for (call = worker->calls; call != NULL; call = next) {
		next = call->next;
		if (call->exchange != NULL)
			loom_exchange_abort(call->exchange);
	}
	TALLOC_FREE(worker->caller_server);
	TALLOC_FREE(worker->peer_server);
	TALLOC_FREE(worker->ready_server);
	TALLOC_FREE(worker->fetcher);
	g_hash_table_destroy(worker->services);
	g_hash_table_destroy(worker->peer_clocks);
	g_hash_table_destroy(worker->issues);
	if (worker->manifest != NULL)
		loom_manifest_release(worker->manifest);
	if (worker->hosts != NULL)
		loom_hosts_release(worker->hosts);
	talloc_free(worker);
}
