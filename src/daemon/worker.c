/*
 * A worker thread and what it knows.  Nothing in here is shared: a new
 * manifest or host list comes as a post, so that the path of a call takes no
 * lock for either.
 */

#include <string.h>

#include "daemon/call.h"
#include "loom/log.h"

struct start {
	int callers_fd;
	int peers_fd;
	const char *tls_key;
	const char *tls_cert;
};

static void
on_request(void *arg, struct loom_exchange *x)
{
	entry_request(arg, x);
}

static void
on_peer_request(void *arg, struct loom_exchange *x)
{
	entry_peer_request(arg, x);
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
		loom_fetch_resume(call->fetch);
}

static void
on_gone(struct loom_exchange *x)
{
	struct call *call = loom_exchange_user(x);

	if (call != NULL)
		loom_counter_add(call->worker->daemon->counters.gone, 1);
}

static void
on_end(struct loom_exchange *x)
{
	struct call *call = loom_exchange_user(x);

	if (call != NULL)
		call_end(call);
}

static const struct loom_exchange_ops caller_ops = {
	.request = on_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = on_drained,
	.gone = on_gone,
	.end = on_end,
};

static const struct loom_exchange_ops peer_ops = {
	.request = on_peer_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = on_drained,
	.gone = on_gone,
	.end = on_end,
};

static void
free_service(gpointer value)
{
	talloc_free(value);
}

static bool
start_servers(struct worker *worker, const struct start *start, GError **error)
{
	const struct daemon_settings *settings = &worker->daemon->settings;
	struct loom_server_options options = {
		.listen_fd = start->callers_fd,
		.tls_key = start->tls_key,
		.tls_cert = start->tls_cert,
		.connections_max = settings->connections,
		.idle_timeout_s = settings->idle_timeout_s,
		.ops = &caller_ops,
		.arg = worker,
	};

	worker->callers = loom_server_new(
	    worker, worker->ev, worker->hangup, &options, error);
	if (worker->callers == NULL)
		return false;
	options.listen_fd = start->peers_fd;
	options.tls_key = NULL;
	options.tls_cert = NULL;
	options.ops = &peer_ops;
	worker->peers = loom_server_new(
	    worker, worker->ev, worker->hangup, &options, error);
	return worker->peers != NULL;
}

static void *
run(void *arg)
{
	struct worker *worker = arg;

	while (!worker->stopping) {
		if (tevent_loop_once(worker->ev) != 0)
			break;
	}
	return NULL;
}

struct worker *
worker_start(struct loom_daemon *daemon, uint32_t index, int callers_fd,
    int peers_fd, const char *tls_key, const char *tls_cert, GError **error)
{
	const struct start start = {
		.callers_fd = callers_fd,
		.peers_fd = peers_fd,
		.tls_key = tls_key,
		.tls_cert = tls_cert,
	};
	struct worker *worker = talloc_zero(NULL, struct worker);

	worker->daemon = daemon;
	worker->index = index;
	worker->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_service);
	worker->clocks = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_service);
	worker->issues = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_service);
	worker->ev = tevent_context_init(worker);
	if (worker->ev == NULL)
		goto error;
	worker->mailbox = loom_mailbox_new(worker, worker->ev);
	worker->hangup = loom_hangup_new(worker, worker->ev);
	worker->fetcher = loom_fetcher_new(worker, worker->ev);
	worker->shed = loom_shed_new(worker, &loom_random_system);
	if (worker->mailbox == NULL || worker->hangup == NULL ||
	    worker->fetcher == NULL || worker->shed == NULL)
		goto error;
	if (!start_servers(worker, &start, error))
		goto error;
	worker->thread = g_thread_new("worker", run, worker);
	return worker;

error:
	loom_fail(error, LOOM_START, "worker %u cannot start", index);
	g_hash_table_destroy(worker->services);
	g_hash_table_destroy(worker->clocks);
	g_hash_table_destroy(worker->issues);
	talloc_free(worker);
	return NULL;
}

struct clock_entry {
	uint64_t host_id;
	struct loom_peer_clock clock;
};

struct loom_peer_clock *
worker_peer_clock(struct worker *worker, uint64_t host_id)
{
	struct clock_entry *entry;

	entry = g_hash_table_lookup(worker->clocks, &host_id);
	if (entry == NULL) {
		entry = talloc_zero(worker, struct clock_entry);
		entry->host_id = host_id;
		g_hash_table_insert(worker->clocks, &entry->host_id, entry);
	}
	return &entry->clock;
}

static GArray *
balance_hosts(const struct worker *worker, uint64_t service_id)
{
	GArray *list =
	    g_array_new(FALSE, FALSE, sizeof(struct loom_balance_host));
	const struct loom_self *self = &worker->daemon->self;
	const struct loom_host *hosts;
	struct loom_balance_host entry;
	uint32_t i, n;

	hosts = loom_hosts_of_service(worker->hosts, service_id, &n);
	for (i = 0; i < n; i++) {
		entry = (struct loom_balance_host){
			.host_id = hosts[i].id,
			.near = strcmp(hosts[i].data_centre,
				    self->data_centre) == 0,
			.leaving = hosts[i].state == LOOM_HOST_LEAVING,
		};
		g_array_append_val(list, entry);
	}
	return list;
}

static void
update_service(struct worker *worker, struct service_view *view)
{
	GArray *list = balance_hosts(worker, view->service_id);

	loom_balance_hosts_changed(view->balance,
	    (const struct loom_balance_host *)(const void *)list->data,
	    list->len, loom_now_us());
	g_array_free(list, TRUE);
}

static uint64_t
cold_start_us(const struct worker *worker, uint64_t service_id)
{
	uint32_t i;

	for (i = 0; i < worker->manifest->nservices; i++) {
		if (worker->manifest->services[i].id == service_id)
			return worker->manifest->services[i].cold_start_ms *
			    LOOM_US_PER_MS;
	}
	return 0;
}

struct loom_balance *
worker_balance(struct worker *worker, uint64_t service_id)
{
	struct service_view *view;

	view = g_hash_table_lookup(worker->services, &service_id);
	if (view != NULL)
		return view->balance;
	if (worker->hosts == NULL)
		return NULL;
	view = talloc_zero(worker, struct service_view);
	view->service_id = service_id;
	view->balance = loom_balance_new(
	    view, &loom_random_system, cold_start_us(worker, service_id));
	update_service(worker, view);
	g_hash_table_insert(worker->services, &view->service_id, view);
	return view->balance;
}

static void
add_closure(const struct loom_manifest *manifest, uint32_t route_index,
    bool *seen, GArray *ids)
{
	const struct loom_route *route = &manifest->routes[route_index];
	const uint64_t id = manifest->services[route->service_index].id;
	uint32_t i;

	if (seen[route_index])
		return;
	seen[route_index] = true;
	for (i = 0; i < ids->len && g_array_index(ids, uint64_t, i) != id; i++)
		;
	if (i == ids->len)
		g_array_append_val(ids, id);
	for (i = 0; i < route->ncalls; i++)
		add_closure(manifest, route->calls[i], seen, ids);
}

static struct route_view *
make_route_views(struct worker *worker, const struct loom_manifest *manifest)
{
	struct route_view *views;
	bool *seen = g_new(bool, manifest->nroutes);
	GArray *ids;
	uint32_t i;

	views = talloc_zero_array(worker, struct route_view, manifest->nroutes);
	for (i = 0; i < manifest->nroutes; i++) {
		ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		memset(seen, 0, manifest->nroutes * sizeof(bool));
		add_closure(manifest, i, seen, ids);
		views[i].nservices = ids->len;
		views[i].service_ids = talloc_memdup(
		    views, ids->data, ids->len * sizeof(uint64_t));
		g_array_free(ids, TRUE);
	}
	g_free(seen);
	return views;
}

const struct route_view *
worker_route(const struct worker *worker, const struct loom_manifest *manifest,
    const struct loom_route *route)
{
	/* A call that began under an older manifest goes without. */
	if (manifest != worker->manifest || worker->routes == NULL)
		return NULL;
	return &worker->routes[route - manifest->routes];
}

struct view_post {
	struct worker *worker; /* borrowed */
	struct loom_manifest *manifest; /* counted */
	struct loom_hosts *hosts; /* counted */
};

static void
take_view(void *arg)
{
	struct view_post *post = arg;
	struct worker *worker = post->worker;
	GHashTableIter iter;
	gpointer view;

	if (worker->manifest != NULL)
		loom_manifest_release(worker->manifest);
	if (worker->hosts != NULL)
		loom_hosts_release(worker->hosts);
	worker->manifest = post->manifest;
	worker->hosts = post->hosts;
	TALLOC_FREE(worker->routes);
	worker->routes = make_route_views(worker, worker->manifest);
	g_hash_table_iter_init(&iter, worker->services);
	while (g_hash_table_iter_next(&iter, NULL, &view))
		update_service(worker, view);
	g_free(post);
	calls_recheck_keys(worker);
}

void
worker_set_view(struct worker *worker, struct loom_manifest *manifest,
    struct loom_hosts *hosts)
{
	struct view_post *post = g_new(struct view_post, 1);

	post->worker = worker;
	post->manifest = loom_manifest_acquire(manifest);
	post->hosts = loom_hosts_acquire(hosts);
	loom_mailbox_post(worker->mailbox, take_view, post);
}

static void
drain(void *arg)
{
	struct worker *worker = arg;

	loom_server_drain(worker->callers);
	loom_server_drain(worker->peers);
}

void
worker_drain(struct worker *worker)
{
	loom_mailbox_post(worker->mailbox, drain, worker);
}

static void
hold_off(void *arg)
{
	struct worker *worker = arg;

	loom_server_hold_off(worker->callers);
	loom_server_hold_off(worker->peers);
}

void
worker_hold_off(struct worker *worker)
{
	loom_mailbox_post(worker->mailbox, hold_off, worker);
}

static void
stop(void *arg)
{
	struct worker *worker = arg;

	worker->stopping = true;
}

void
worker_stop(struct worker *worker)
{
	struct call *call, *next;

	loom_mailbox_post(worker->mailbox, stop, worker);
	g_thread_join(worker->thread);
	for (call = worker->calls; call != NULL; call = next) {
		next = call->next;
		if (call->x != NULL)
			loom_exchange_abort(call->x);
	}
	TALLOC_FREE(worker->callers);
	TALLOC_FREE(worker->peers);
	TALLOC_FREE(worker->fetcher);
	g_hash_table_destroy(worker->services);
	g_hash_table_destroy(worker->clocks);
	g_hash_table_destroy(worker->issues);
	if (worker->manifest != NULL)
		loom_manifest_release(worker->manifest);
	if (worker->hosts != NULL)
		loom_hosts_release(worker->hosts);
	talloc_free(worker);
}
