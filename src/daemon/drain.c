/*
 * Graceful shutdown.
 *
 * Nothing new is taken from callers, who are told so at once, and what is
 * under way ends as it would have.  The listening sockets stay open until
 * then, and new connections are held off before they are closed
 * (loom_server_hold_off), as closing would reset those that the kernel had
 * accepted.
 */

#include "daemon/call.h"
#include "daemon/report.h"
#include "daemon/run.h"
#include "loom/log.h"
#include "loom/stop.h"

/* How often a drain looks whether all calls have ended. */
#define DRAIN_POLL_MS 20

/* With new connections held off, those that the kernel had accepted get their
 * answer in this time. */
#define ACCEPTED_GRACE_US (200 * LOOM_US_PER_MS)

/* All work has ended and whoever comes has had time to hear it: each answer
 * tells one of them, and a busy peer asks many times meanwhile. */
static bool
is_work_finished(const struct loom_daemon *daemon, uint64_t now_us)
{
	return atomic_load(&daemon->working) == 0 &&
	    loom_tickets_drained(daemon->tickets) &&
	    now_us - daemon->drain_us >=
	    daemon->settings.drain_notice_ms * LOOM_US_PER_MS;
}

static void
pause_accepting(struct loom_daemon *daemon, uint64_t now_us)
{
	uint32_t i;

	daemon->accept_paused_us = now_us;
	for (i = 0; i < daemon->nworkers; i++)
		worker_pause_accepting(daemon->workers[i]);
}

static bool
is_drain_finished(struct loom_daemon *daemon, uint64_t now_us)
{
	if (now_us >= daemon->drain_until_us)
		return true;
	if (daemon->accept_paused_us == 0 && is_work_finished(daemon, now_us))
		pause_accepting(daemon, now_us);
	return daemon->accept_paused_us != 0 &&
	    now_us - daemon->accept_paused_us >= ACCEPTED_GRACE_US &&
	    atomic_load(&daemon->inflight) == 0;
}

static void
on_drain_poll(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct loom_daemon *daemon = arg;

	(void)timer;
	(void)now;
	if (is_drain_finished(daemon, loom_now_us())) {
		daemon->stopping = true;
		return;
	}
	tevent_add_timer(ev, daemon,
	    tevent_timeval_current_ofs(0, DRAIN_POLL_MS * 1000), on_drain_poll,
	    daemon);
}

static struct loom_stop
stop_plan_of(const struct daemon_settings *settings)
{
	const struct loom_stop wanted = {
		.delay_us = settings->drain_delay_ms * LOOM_US_PER_MS,
		.end_us = settings->drain_timeout_s * LOOM_US_PER_S,
	};

	return loom_stop_plan(&wanted,
	    (uint64_t)(settings->stop_within_s * (double)LOOM_US_PER_S));
}

static void
start_refusing(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct loom_daemon *daemon = arg;
	uint32_t i;

	(void)ev;
	(void)timer;
	(void)now;
	daemon->drain_us = loom_now_us();
	daemon->drain_until_us =
	    daemon->drain_us + stop_plan_of(&daemon->settings).end_us;
	atomic_store(&daemon->draining, true);
	loom_control_drain(daemon->control);
	for (i = 0; i < daemon->nworkers; i++)
		worker_drain(daemon->workers[i]);
	on_drain_poll(daemon->ev, NULL, tevent_timeval_zero(), daemon);
}

/*
 * Whoever asks for readiness does so now and then, and until it has heard of
 * the leaving it sends callers here.  Those have no other daemon to go to: for
 * the delay all is served as before.
 */
void
daemon_drain(struct loom_daemon *daemon)
{
	uint64_t delay_us = stop_plan_of(&daemon->settings).delay_us;

	loom_log(LOOM_LOG_INFO, "loomd", LOOM_OK, "draining");
	report_lifecycle(daemon, "drain");
	atomic_store(&daemon->leaving, true);
	tevent_add_timer(daemon->ev, daemon,
	    tevent_timeval_current_ofs((uint32_t)(delay_us / LOOM_US_PER_S),
		(uint32_t)(delay_us % LOOM_US_PER_S)),
	    start_refusing, daemon);
}
