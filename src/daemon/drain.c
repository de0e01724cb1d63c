/*
 * Graceful shutdown.
 *
 * New calls are refused at once, and those in progress complete normally. The
 * listening sockets stay open until then. Before they are closed, the kernel
 * is kept from completing further connections
 * (loom_server_drop_new_connections), because closing a socket resets those
 * that wait to be accepted.
 *
 * Calls that have not ended when the time for draining is over are answered
 * before the daemon exits, whatever they wait for: a caller whose connection
 * is only closed cannot tell whether its request ran.
 */

#include "daemon/call.h"
#include "daemon/report.h"
#include "daemon/run.h"
#include "loom/log.h"
#include "loom/stop.h"
#include "loom/timer.h"

/* Interval at which a drain checks whether all calls have ended. */
#define DRAIN_POLL_MS 20

/*
 * Time for answering the connections that the kernel had completed when new
 * ones were blocked.
 */
#define ACCEPTED_GRACE_US (200 * LOOM_US_PER_MS)

/* Time for sending the answers that the daemon gives in place of those that
 * have not come. */
#define CLOSING_US (200 * LOOM_US_PER_MS)

/*
 * Returns whether all work has ended and the clients had time to learn of the
 * shutdown. Each answer informs only the client that it goes to; a busy peer
 * receives many answers within the notice period.
 */
static bool
is_work_finished(const struct loom_daemon *daemon, uint64_t now_us)
{
	return atomic_load(&daemon->admitted) == 0 &&
	    loom_tickets_drained(daemon->tickets) &&
	    now_us - daemon->drain_us >=
	    daemon->settings.drain_notice_ms * LOOM_US_PER_MS;
}

/* Keeps the kernel from completing further connections. */
static void
block_connections(struct loom_daemon *daemon, uint64_t now_us)
{
	uint32_t i;

	daemon->connections_blocked_us = now_us;
	for (i = 0; i < daemon->nworkers; i++)
		worker_block_connections(daemon->workers[i]);
}

/* Answers all calls that have not ended; repeated until the exit, for those
 * that arrive on connections which are still open. */
static void
end_calls(struct loom_daemon *daemon)
{
	uint32_t i;

	if (!daemon->calls_ended)
		loom_log(LOOM_LOG_WARN, "loomd", LOOM_STOPPED,
		    "calls that have not ended: %u",
		    atomic_load(&daemon->inflight));
	daemon->calls_ended = true;
	for (i = 0; i < daemon->nworkers; i++)
		worker_end_calls(daemon->workers[i]);
}

static bool
is_drain_finished(struct loom_daemon *daemon, uint64_t now_us)
{
	const bool is_over = now_us >= daemon->drain_until_us;

	if (daemon->connections_blocked_us == 0 &&
	    (is_over || is_work_finished(daemon, now_us)))
		block_connections(daemon, now_us);
	if (is_over && atomic_load(&daemon->inflight) > 0)
		end_calls(daemon);
	if (now_us >= daemon->exit_us)
		return true;
	return daemon->connections_blocked_us != 0 &&
	    now_us - daemon->connections_blocked_us >= ACCEPTED_GRACE_US &&
	    atomic_load(&daemon->inflight) == 0;
}

static void
on_drain_poll(void *arg)
{
	struct loom_daemon *daemon = arg;

	if (is_drain_finished(daemon, loom_now_us())) {
		daemon->stopping = true;
		return;
	}
	loom_timer_add(daemon->timers, daemon, DRAIN_POLL_MS * LOOM_US_PER_MS,
	    on_drain_poll, daemon);
}

static struct loom_stop
stop_plan_of(const struct daemon_settings *settings)
{
	const struct loom_stop wanted = {
		.drain_delay_us = settings->drain_delay_ms * LOOM_US_PER_MS,
		.drain_timeout_us = settings->drain_timeout_s * LOOM_US_PER_S,
		.closing_us = CLOSING_US,
	};

	return loom_stop_plan(&wanted,
	    (uint64_t)(settings->stop_within_s * (double)LOOM_US_PER_S));
}

/* Called at the end of the delay; refuses new calls from now on. */
static void
start_refusing(void *arg)
{
	struct loom_daemon *daemon = arg;
	const struct loom_stop plan = stop_plan_of(&daemon->settings);
	uint32_t i;

	daemon->drain_us = loom_now_us();
	daemon->drain_until_us = daemon->drain_us + plan.drain_timeout_us;
	daemon->exit_us = daemon->drain_until_us + plan.closing_us;
	atomic_store(&daemon->draining, true);
	loom_control_drain(daemon->control);
	for (i = 0; i < daemon->nworkers; i++)
		worker_drain(daemon->workers[i]);
	on_drain_poll(daemon);
}

/*
 * Whatever routes callers to this daemon polls its readiness at intervals and
 * keeps sending callers here until it has seen the change. These callers have
 * no other daemon to use, so everything is served as before until the delay is
 * over.
 */
void
daemon_drain(struct loom_daemon *daemon)
{
	uint64_t delay_us = stop_plan_of(&daemon->settings).drain_delay_us;

	loom_log(LOOM_LOG_INFO, "loomd", LOOM_OK, "draining");
	report_lifecycle(daemon, "drain");
	atomic_store(&daemon->shutting_down, true);
	loom_timer_add(
	    daemon->timers, daemon, delay_us, start_refusing, daemon);
}
