/*
 * Starts, runs and stops a daemon.
 *
 * SIGTERM and SIGINT shut it down gracefully (drain.c); further such signals
 * change nothing.
 */

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/call.h"
#include "daemon/cold.h"
#include "daemon/config.h"
#include "daemon/repeats.h"
#include "daemon/report.h"
#include "daemon/run.h"
#include "daemon/statements.h"
#include "daemon/witness.h"
#include "daemon/work.h"
#include "loom/log.h"
#include "loom/timer.h"

/*
 * Interval at which admission refuses waiting calls that can no longer meet
 * their deadline and adjusts the limit. loom/admission.h asks for about 10 ms.
 */
#define ADMISSION_TICK_MS 10

/* The interval while no call is in progress, so that none can expire. */
#define IDLE_TICK_MS 50

/*
 * Time between the end of the initial wait and readiness, in which the token
 * bucket of each team fills.
 */
#define RIGHTS_FILL_US (1 * LOOM_US_PER_S)

/*
 * Capacity for the call ids of peers' contexts: more than six times what 1,000
 * calls/s with deadlines of 10 s need.
 */
#define REPLAY_CAPACITY 65536

#define INITIAL_SLOTS 16

/* Interval at which changes are logged and the CPU metrics updated. */
#define REPORT_INTERVAL_US (500 * LOOM_US_PER_MS)
/*
 * Interval over which a worker's utilization is measured: at least one period
 * of 100 ms in which a host's CPU quota may be used up.
 */
#define UTILIZATION_INTERVAL_US (100 * LOOM_US_PER_MS)
/* Utilization from which the loop's delay is measured too. */
#define DELAY_PROBE_UTILIZATION 0.5

static void
lock_admission(void *arg)
{
	g_mutex_lock(arg);
}

static void
unlock_admission(void *arg)
{
	g_mutex_unlock(arg);
}

static void
create_counters(struct daemon_counters *counters)
{
	counters->requests = loom_counter("loom_requests_total",
	    "from=\"caller\"", "Requests that were let in.");
	counters->nested = loom_counter("loom_requests_total",
	    "from=\"upstream\"", "Requests that were let in.");
	counters->executed = loom_counter(
	    "loom_executed_total", NULL, "Calls sent to the own upstream.");
	counters->answered = loom_counter(
	    "loom_answers_total", "end=\"whole\"", "Answers given.");
	counters->by_work =
	    loom_counter("loom_hosts_chosen_by_work_total", NULL,
		"Hosts chosen by the time in which they would finish a call.");
	counters->truncated =
	    loom_counter("loom_answers_total", "end=\"cut\"", "Answers given.");
	counters->disconnected = loom_counter("loom_callers_gone_total", NULL,
	    "Callers that went away before their answer.");
	counters->retried = loom_counter(
	    "loom_sent_again_total", NULL, "Calls sent to another host.");
	counters->probes = loom_counter("loom_probes_total", NULL,
	    "Silent hosts that were asked for a sign of life.");
	counters->inflight =
	    loom_gauge("loom_calls_inflight", NULL, "Calls under way.");
	counters->generation = loom_gauge("loom_manifest_generation", NULL,
	    "Grows with each change in force.");
	counters->start_bound = loom_gauge("loom_upstream_start_bound", NULL,
	    "Calls a second that the cold upstream may get; 0: any number.");
	counters->stated_rate = loom_gauge("loom_upstream_stated_rate", NULL,
	    "Requests in 1000 s that the upstream says it takes; 0: any "
	    "number.");
	counters->evacuated = loom_gauge("loom_hosts_evacuated", NULL,
	    "Hosts whose upstreams get no calls since their data centre is "
	    "evacuated.");
	counters->work_wait = loom_gauge("loom_upstream_wait_microseconds",
	    NULL, "Expected wait of a call for a slot of the upstream.");
	counters->work_mean = loom_gauge("loom_upstream_call_microseconds",
	    NULL, "Mean time of a call in a slot, at the usual pace.");
	counters->work_pace = loom_gauge("loom_upstream_pace_percent", NULL,
	    "Time that work takes as the upstream reports it, in per cent of "
	    "the usual; 0: unknown.");
	counters->handed_back =
	    loom_counter("loom_handed_back_total", "side=\"executor\"",
		"Calls that were handed back since another host is better.");
	counters->handed_on =
	    loom_counter("loom_handed_back_total", "side=\"entry\"",
		"Calls that were handed back since another host is better.");
}

static void
init_self(struct loom_daemon *daemon)
{
	const struct daemon_settings *settings = &daemon->settings;

	daemon->self = (struct loom_self){
		.host = settings->host,
		.service = settings->service,
		.data_centre = settings->data_centre,
		.region = settings->region,
		.control = settings->control_address != NULL
		    ? settings->control_address
		    : settings->control_listen,
		.host_id = loom_name_id(settings->host),
		.service_id = loom_name_id(settings->service),
	};
	randombytes_buf(
	    &daemon->self.incarnation, sizeof(daemon->self.incarnation));
}

static bool
init_secrets(struct loom_daemon *daemon, GError **error)
{
	if (!loom_fleet_secret_parse(
		daemon->settings.fleet_secret, daemon->fleet_secret, error))
		return false;
	loom_context_key_derive(&daemon->context_key, daemon->fleet_secret);
	return true;
}

static bool
start_control(struct loom_daemon *daemon, GError **error)
{
	struct loom_control_options options = {
		.inner = { .bind = daemon->settings.control_listen,
		    .source = daemon->settings.source_address,
		    .self = daemon->self },
		.random = loom_random_system,
	};

	memcpy(options.inner.secret, daemon->fleet_secret,
	    sizeof(options.inner.secret));
	daemon->control = loom_control_new(&options, error);
	if (daemon->control == NULL)
		return false;
	daemon->sender = loom_control_sender(daemon->control);
	return true;
}

static void
add_control_parts(struct loom_daemon *daemon)
{
	loom_control_add(daemon->control, &loom_tickets_ops, daemon->tickets);
	loom_control_add(daemon->control, &loom_rights_set_ops, daemon->rights);
	loom_control_add(daemon->control, &loom_retry_ops, daemon->retry);
	loom_control_add(
	    daemon->control, &loom_quarantine_ops, daemon->quarantine);
}

static void
run_rights(void *arg)
{
	struct loom_daemon *daemon = arg;

	loom_rights_set_run(daemon->rights, loom_now_us());
	loom_control_shorten_tick(daemon->control, daemon->rights);
}

/* Makes the control thread run the rights. Any thread. */
static void
schedule_rights(void *arg)
{
	struct loom_daemon *daemon = arg;

	loom_control_post(daemon->control, run_rights, daemon);
}

static void
run_retry(void *arg)
{
	struct loom_daemon *daemon = arg;

	loom_retry_process(daemon->retry, loom_now_us());
	loom_control_shorten_tick(daemon->control, daemon->retry);
}

/* Makes the control thread run the retries. Any thread. */
static void
schedule_retry(void *arg)
{
	struct loom_daemon *daemon = arg;

	loom_control_post(daemon->control, run_retry, daemon);
}

/* Creates the components that decide about calls. */
static bool
create_components(struct loom_daemon *daemon)
{
	const struct loom_admission_settings settings = {
		.limit = { .slots = INITIAL_SLOTS,
		    .max_part = daemon->settings.limit_max_part,
		    .min_part = daemon->settings.limit_min_part },
		.queue = INITIAL_SLOTS,
		.lock = { .lock = lock_admission,
		    .unlock = unlock_admission,
		    .arg = &daemon->admission_lock },
		.random = loom_random_system,
	};
	const struct loom_rights_settings rights = {
		.list_lag_us = daemon->settings.list_lag_ms * LOOM_US_PER_MS,
		.wait_us = daemon->settings.rights_wait_ms * LOOM_US_PER_MS,
		.withheld_us =
		    daemon->settings.rights_withheld_ms * LOOM_US_PER_MS,
		.newcomer_us =
		    daemon->settings.rights_newcomer_ms * LOOM_US_PER_MS,
		.partitions = daemon->settings.rights_partitions,
		.slack = (uint32_t)daemon->settings.rate_slack,
	};
	const struct loom_rights_waker waker = {
		.wake = schedule_rights,
		.arg = daemon,
	};
	const struct loom_tickets_config tickets = {
		.self = &daemon->self,
		.fleet_secret = daemon->fleet_secret,
		.random = &loom_random_system,
		.sender = &daemon->sender,
		.limits = loom_ticket_limits_default,
	};
	const struct loom_quarantine_config quarantine = {
		.self = &daemon->self,
		.sender = &daemon->sender,
	};

	const uint64_t now_us = loom_now_us();

	g_mutex_init(&daemon->admission_lock);
	g_mutex_init(&daemon->wait_lock);
	daemon->wait_share.updated_us = now_us;
	daemon->fanout = loom_fanout_new(daemon, now_us);
	daemon->work_costs = loom_work_costs_new(daemon);
	daemon->work_left = loom_work_left_new(daemon, daemon->work_costs);
	daemon->calls = loom_calls_new();
	daemon->replay = loom_replay_set_new(REPLAY_CAPACITY);
	daemon->tickets = loom_tickets_new(&tickets);
	daemon->quarantine = loom_quarantine_new(&quarantine);
	daemon->rights = loom_rights_set_new(daemon, &daemon->self,
	    &daemon->sender, &loom_random_system, &waker, &rights, now_us);
	daemon->retry = loom_retry_new(daemon, &daemon->self, &daemon->sender,
	    &loom_random_system, schedule_retry, daemon);
	daemon->admission = loom_admission_new(daemon, &settings, now_us);
	daemon->cold = cold_new(daemon);
	daemon->statements = statements_new(daemon);
	daemon->repeats = repeats_new(daemon);
	return daemon->statements != NULL && daemon->calls != NULL &&
	    daemon->replay != NULL && daemon->rights != NULL &&
	    daemon->retry != NULL && daemon->tickets != NULL &&
	    daemon->quarantine != NULL && daemon->admission != NULL &&
	    daemon->cold != NULL && daemon->work_costs != NULL &&
	    daemon->work_left != NULL && daemon->repeats != NULL;
}

static bool
open_listeners(const struct daemon_settings *settings,
    struct worker_listeners *listeners, GError **error)
{
	listeners->callers_fd = loom_server_listen(settings->listen, error);
	if (listeners->callers_fd < 0)
		return false;
	listeners->peers_fd = loom_server_listen(settings->peer_listen, error);
	if (listeners->peers_fd < 0)
		return false;
	if (settings->ready_listen == NULL)
		return true;
	listeners->ready_fd = loom_server_listen(settings->ready_listen, error);
	return listeners->ready_fd >= 0;
}

static void
close_listeners(const struct worker_listeners *listeners)
{
	if (listeners->ready_fd >= 0)
		close(listeners->ready_fd);
	if (listeners->peers_fd >= 0)
		close(listeners->peers_fd);
	if (listeners->callers_fd >= 0)
		close(listeners->callers_fd);
}

static bool
start_workers(struct loom_daemon *daemon, GError **error)
{
	const struct daemon_settings *settings = &daemon->settings;
	struct loom_tls_pair tls;
	struct worker_listeners listeners = { -1, -1, -1 };
	bool started = false;
	uint32_t i;

	if (!loom_tls_load(
		settings->tls_key_file, settings->tls_cert_file, &tls, error))
		return false;
	if (!open_listeners(settings, &listeners, error))
		goto error;
	daemon->workers =
	    talloc_zero_array(daemon, struct worker *, settings->workers);
	for (i = 0; i < settings->workers; i++) {
		daemon->workers[i] =
		    worker_start(daemon, i, &listeners, &tls, error);
		if (daemon->workers[i] == NULL)
			goto error;
		daemon->nworkers++;
	}
	started = true;

error:
	close_listeners(&listeners);
	loom_tls_clear(&tls);
	return started;
}

/*
 * Several parties may stop a daemon independently, such as a rolling restart
 * and the end of its upstream.  A second signal is therefore no request to cut
 * the calls in progress; that is what SIGKILL is for.
 */
static void
on_terminate(struct tevent_context *ev, struct tevent_signal *event,
    int signal_number, int count, void *info, void *arg)
{
	struct loom_daemon *daemon = arg;

	(void)ev;
	(void)event;
	(void)count;
	(void)info;
	if (atomic_load(&daemon->shutting_down))
		loom_log(LOOM_LOG_INFO, "loomd", LOOM_OK,
		    "%s ignored: already draining", g_strsignal(signal_number));
	else
		daemon_drain(daemon);
}

/* Does not reload anything: all that can change is in the manifest. */
static void
on_hangup(struct tevent_context *ev, struct tevent_signal *event,
    int signal_number, int count, void *info, void *arg)
{
	(void)ev;
	(void)event;
	(void)signal_number;
	(void)count;
	(void)info;
	report_lifecycle(arg, "reload");
	loom_log(LOOM_LOG_INFO, "loomd", LOOM_OK,
	    "SIGHUP ignored: settings are read at the start only; "
	    "distribute a new manifest to change the configuration");
}

/*
 * To be called before the first worker serves. Otherwise a signal that arrives
 * after the first answer but before the event loop runs would kill the daemon
 * and truncate its calls. With the handlers in place it stays pending until the
 * loop runs.
 */
static void
handle_signals(struct loom_daemon *daemon)
{
	signal(SIGPIPE, SIG_IGN);
	tevent_add_signal(daemon->ev, daemon, SIGTERM, 0, on_terminate, daemon);
	tevent_add_signal(daemon->ev, daemon, SIGINT, 0, on_terminate, daemon);
	tevent_add_signal(daemon->ev, daemon, SIGHUP, 0, on_hangup, daemon);
}

struct loom_daemon *
daemon_new(const struct daemon_settings *settings,
    const struct loom_daemon_kind *kind, GError **error)
{
	struct loom_daemon *daemon = talloc_zero(NULL, struct loom_daemon);
	enum loom_log_level level;

	if (loom_log_level_parse(settings->log_level, &level))
		loom_log_set_level(level);
	daemon->settings = *settings;
	daemon->kind = kind;
	daemon->dialect = kind->dialect;
	create_counters(&daemon->counters);
	cpu_usage_init(&daemon->cpu_usage);
	init_self(daemon);
	if (!init_secrets(daemon, error))
		goto error;
	if (!loom_server_parse_address(
		settings->upstream, &daemon->upstream_address, error))
		goto error;
	daemon->ev = tevent_context_init(daemon);
	if (!start_control(daemon, error))
		goto error;
	if (daemon->ev != NULL)
		daemon->timers = loom_timers_new(daemon, daemon->ev);
	if (daemon->timers == NULL || !create_components(daemon)) {
		loom_set_error(error, LOOM_START, "out of memory");
		goto error;
	}
	if (settings->crash_witnesses)
		daemon->witnesses = witnesses_new(
		    daemon, daemon->ev, &daemon->upstream_address);
	if (settings->crash_witnesses && daemon->witnesses == NULL) {
		loom_set_error(error, LOOM_START, "out of memory");
		goto error;
	}
	handle_signals(daemon);
	daemon->tracer =
	    tracer_new(daemon, daemon->ev, &daemon->self, settings->trace);
	if (daemon->tracer == NULL) {
		loom_set_error(error, LOOM_START, "the tracer cannot start");
		goto error;
	}
	daemon->config = config_new(daemon, error);
	if (daemon->config == NULL)
		goto error;
	add_control_parts(daemon);
	if (!start_workers(daemon, error))
		goto error;
	if (!loom_control_start(daemon->control)) {
		loom_set_error(
		    error, LOOM_START, "the control thread cannot start");
		goto error;
	}
	return daemon;

error:
	daemon_free(daemon);
	return NULL;
}

void
daemon_free(struct loom_daemon *daemon)
{
	uint32_t i;

	if (daemon->control != NULL)
		loom_control_stop(daemon->control);
	for (i = 0; i < daemon->nworkers; i++)
		worker_stop(daemon->workers[i]);
	loom_tickets_free(daemon->tickets);
	if (daemon->quarantine != NULL)
		loom_quarantine_free(daemon->quarantine);
	TALLOC_FREE(daemon->config);
	if (daemon->control != NULL)
		loom_control_free(daemon->control);
	if (daemon->calls != NULL)
		loom_calls_free(daemon->calls);
	if (daemon->replay != NULL)
		loom_replay_set_free(daemon->replay);
	talloc_free(daemon);
}

/*
 * Sets the number of slots. The host list's entry for this host takes
 * precedence over the manifest's value for the service.
 */
static void
set_slots(struct loom_daemon *daemon, const struct loom_manifest *manifest,
    const struct loom_hosts *hosts)
{
	const struct loom_service *service =
	    loom_manifest_service(manifest, daemon->self.service);
	const struct loom_host *host =
	    loom_hosts_find(hosts, daemon->self.host_id);
	uint32_t slots;

	if (service == NULL)
		return;
	slots = host != NULL && host->slots > 0 ? host->slots : service->slots;
	loom_admission_set_slots(daemon->admission, slots,
	    loom_queue_bound_for_host(service->queue, service->slots, slots));
}

static int64_t
count_evacuated(const struct loom_hosts *hosts)
{
	int64_t n = 0;
	uint32_t i;

	for (i = 0; i < hosts->nhosts; i++)
		n += hosts->hosts[i].evacuated;
	return n;
}

void
daemon_publish(struct loom_daemon *daemon, struct loom_manifest *manifest,
    struct loom_hosts *hosts)
{
	uint32_t i;

	loom_gauge_set(
	    daemon->counters.generation, (int64_t)manifest->generation);
	loom_gauge_set(daemon->counters.evacuated, count_evacuated(hosts));
	set_slots(daemon, manifest, hosts);
	cold_publish(daemon->cold, manifest, hosts);
	for (i = 0; i < daemon->nworkers; i++)
		worker_set_versions(daemon->workers[i], manifest, hosts);
}

/*
 * Sets rights_held once the initial wait is over and the token buckets had time
 * to fill. They are empty when the wait ends, so that a call at that moment was
 * refused as exceeding its team's rate, which occurred in 1 of 70 starts. Runs
 * on the control thread.
 */
static void
check_rights_filled(void *arg)
{
	struct loom_daemon *daemon = arg;
	struct loom_rights_summary summary;

	if (daemon->rights_wait_end_us == 0) {
		/*
		 * All partitions wait alike, as the wait depends on the host
		 * list.
		 */
		loom_rights_summary(
		    loom_rights_set_at(daemon->rights, 0), &summary);
		if (!summary.holding)
			daemon->rights_wait_end_us = loom_now_us();
	} else if (loom_now_us() - daemon->rights_wait_end_us >=
	    RIGHTS_FILL_US) {
		atomic_store(&daemon->rights_ready, true);
	}
}

/*
 * Measures the utilization of the busiest worker and the greatest loop delay.
 * The average would hide one saturated worker, whose calls cannot move to
 * another.
 */
static void
measure_workers(struct loom_daemon *daemon, uint64_t now_us)
{
	double max_utilization = 0;
	uint64_t max_delay_us = 0;
	uint32_t i;

	if (now_us - daemon->utilization_read_us >= UTILIZATION_INTERVAL_US) {
		daemon->utilization_read_us = now_us;
		for (i = 0; i < daemon->nworkers; i++)
			max_utilization = MAX(max_utilization,
			    loop_utilization_read(
				&daemon->workers[i]->utilization, now_us));
		daemon->utilization = max_utilization;
		loom_admission_set_busy(daemon->admission, max_utilization);
	}
	for (i = 0; daemon->utilization >= DELAY_PROBE_UTILIZATION &&
	     i < daemon->nworkers;
	     i++) {
		loop_delay_probe(&daemon->workers[i]->loop_delay,
		    daemon->workers[i]->mailbox, now_us);
		max_delay_us = MAX(max_delay_us,
		    loop_delay_read(&daemon->workers[i]->loop_delay, now_us));
	}
	loom_admission_set_loop_lag(daemon->admission, max_delay_us);
	cpu_usage_record_delay(&daemon->cpu_usage, max_delay_us);
}

static void
report_rights_task(void *arg)
{
	report_rights(arg);
}

static void
on_tick(void *arg)
{
	struct loom_daemon *daemon = arg;
	struct loom_verdicts verdicts;
	uint32_t tick_ms;

	measure_workers(daemon, loom_now_us());
	cold_tick(daemon->cold);
	loom_admission_set_fast_recovery(
	    daemon->admission, work_is_known(daemon));
	repeats_tick(daemon->repeats);
	loom_verdicts_init(&verdicts);
	loom_admission_tick(daemon->admission, loom_now_us(), &verdicts);
	executor_apply_verdicts(&verdicts);
	if (loom_now_us() - daemon->last_report_us >= REPORT_INTERVAL_US) {
		daemon->last_report_us = loom_now_us();
		report_admission(daemon);
		cpu_usage_report(daemon, daemon->last_report_us);
		work_report_gauges(daemon);
		loom_control_post(daemon->control, report_rights_task, daemon);
	}
	if (!atomic_load(&daemon->rights_ready))
		loom_control_post(daemon->control, check_rights_filled, daemon);
	tick_ms = atomic_load(&daemon->inflight) > 0 ? ADMISSION_TICK_MS
						     : IDLE_TICK_MS;
	loom_timer_add(
	    daemon->timers, daemon, tick_ms * LOOM_US_PER_MS, on_tick, daemon);
}

int
daemon_run(struct loom_daemon *daemon)
{
	on_tick(daemon);
	loom_log(LOOM_LOG_INFO, "loomd", LOOM_OK, "serving %s on %s",
	    daemon->self.service, daemon->settings.listen);
	report_lifecycle(daemon, "start");
	while (!daemon->stopping) {
		if (tevent_loop_once(daemon->ev) != 0)
			return EXIT_FAILURE;
	}
	loom_log(LOOM_LOG_INFO, "loomd", LOOM_OK, "stopped");
	report_lifecycle(daemon, "stop");
	return EXIT_SUCCESS;
}
