/*
 * The executor's knowledge about the work at its upstream.
 */

#include "daemon/work.h"
#include "loom/load_report.h"

/* An upstream that has reported its pace is taken to go on doing so for this
 * long, over pauses in which it gets no calls. */
#define REPORTS_PACE_US (10 * LOOM_US_PER_S)

void
work_read_report(struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;
	struct loom_load_report report;

	if (!daemon->settings.use_load_reports ||
	    !daemon->dialect->load_report(call->fetch, &report) ||
	    report.pace_percent == 0)
		return;
	atomic_store(&daemon->pace_percent, report.pace_percent);
	atomic_store(&daemon->upstream_has_room,
	    report.waiting == 0 && report.running < report.slots);
	atomic_store(&daemon->pace_reported_us, loom_now_us());
}

bool
work_has_room(const struct loom_daemon *daemon)
{
	return work_is_known(daemon) && atomic_load(&daemon->upstream_has_room);
}

bool
work_is_known(const struct loom_daemon *daemon)
{
	const uint64_t reported_us = atomic_load(&daemon->pace_reported_us);

	return reported_us != 0 &&
	    loom_now_us() < reported_us + REPORTS_PACE_US;
}

void
work_note_run(
    const struct call *call, uint64_t slot_us, uint64_t own_us, bool ok)
{
	struct loom_daemon *daemon = call->worker->daemon;

	if (!ok || !work_is_known(daemon))
		return;
	g_mutex_lock(&daemon->wait_lock);
	loom_work_costs_note(daemon->work_costs, call->route->id, slot_us,
	    own_us, loom_now_us());
	g_mutex_unlock(&daemon->wait_lock);
}

double
work_relative_cost(const struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;
	double mean_us, route_us;

	g_mutex_lock(&daemon->wait_lock);
	mean_us = loom_work_costs_mean_slot_us(daemon->work_costs);
	route_us = loom_work_costs_slot_us(daemon->work_costs, call->route->id);
	g_mutex_unlock(&daemon->wait_lock);
	return mean_us > 0 ? route_us / mean_us : 1;
}
