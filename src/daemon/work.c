/*
 * The executor's knowledge about the work at its upstream.
 */

#include "daemon/work.h"
#include "daemon/headers.h"
#include "decide/work_known.h"
#include "loom/load_report.h"

/* What an upstream reports beyond these is not believed (work_left.c). */
#define PACE_PERCENT_MIN ((uint32_t)(LOOM_WORK_PACE_MIN * LOOM_PACE_USUAL))
#define PACE_PERCENT_MAX ((uint32_t)(LOOM_WORK_PACE_MAX * LOOM_PACE_USUAL))

/* A pace or a free slot that was reported longer ago counts as unknown: most
 * rejections come without a report. */
#define REPORT_FRESH_US (600 * LOOM_US_PER_MS)

/* A concurrent update that is lost comes again with the next call. */
static void
set_known(struct loom_daemon *daemon, const struct work_known *known)
{
	if (daemon->settings.decide_by_work)
		atomic_store(&daemon->work_seen_us, known->seen_us);
}

static void
note_pace(struct loom_daemon *daemon, const struct loom_load_report *report)
{
	struct work_known known = { atomic_load(&daemon->work_seen_us) };
	const uint64_t now_us = loom_now_us();

	atomic_store(&daemon->pace_percent, report->pace_percent);
	atomic_store(&daemon->pace_reported_us, now_us);
	work_known_note_pace(&known, now_us);
	set_known(daemon, &known);
	g_mutex_lock(&daemon->wait_lock);
	loom_work_left_report(daemon->work_left, report, now_us);
	g_mutex_unlock(&daemon->wait_lock);
}

void
work_read_report(struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;
	struct loom_load_report report;
	bool has_room;

	if (!daemon->settings.decide_by_work ||
	    !daemon->dialect->load_report(call->fetch, &report))
		return;
	has_room = report.waiting == 0 && report.running < report.slots;
	atomic_store(&daemon->room_reported_us, has_room ? loom_now_us() : 0);
	if (report.pace_percent != 0)
		note_pace(daemon, &report);
}

bool
work_has_room(const struct loom_daemon *daemon)
{
	const uint64_t reported_us = atomic_load(&daemon->room_reported_us);

	return work_is_known(daemon) && reported_us != 0 &&
	    loom_now_us() < reported_us + REPORT_FRESH_US;
}

bool
work_is_known(const struct loom_daemon *daemon)
{
	const struct work_known known = { atomic_load(&daemon->work_seen_us) };

	return work_known_is(&known, loom_now_us());
}

/* The calls are counted from the start, so that the count is right when the
 * first report comes. */
void
work_call_waits(struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;

	if (!daemon->settings.decide_by_work)
		return;
	g_mutex_lock(&daemon->wait_lock);
	loom_work_left_wait(daemon->work_left, &call->work, call->route->id,
	    call->waiting.importance);
	g_mutex_unlock(&daemon->wait_lock);
}

void
work_call_runs(struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;

	if (!daemon->settings.decide_by_work)
		return;
	g_mutex_lock(&daemon->wait_lock);
	loom_work_left_run(daemon->work_left, &call->work, call->route->id,
	    call->waiting.importance, call->leg_us);
	g_mutex_unlock(&daemon->wait_lock);
}

void
work_call_ends(struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;

	if (!daemon->settings.decide_by_work)
		return;
	g_mutex_lock(&daemon->wait_lock);
	loom_work_left_end(daemon->work_left, &call->work);
	g_mutex_unlock(&daemon->wait_lock);
}

void
work_note_run(
    const struct call *call, uint64_t slot_us, uint64_t own_us, bool ok)
{
	struct loom_daemon *daemon = call->worker->daemon;
	const uint64_t now_us = loom_now_us();
	struct work_known known = { atomic_load(&daemon->work_seen_us) };
	double dispersion;
	uint64_t usual_us;

	if (!ok || !daemon->settings.decide_by_work)
		return;
	g_mutex_lock(&daemon->wait_lock);
	usual_us = loom_work_left_usual_us(
	    daemon->work_left, &call->work, own_us, now_us);
	loom_work_costs_note(daemon->work_costs, call->route->id,
	    slot_us - own_us + usual_us, usual_us, now_us);
	dispersion = loom_work_costs_dispersion(daemon->work_costs);
	g_mutex_unlock(&daemon->wait_lock);
	work_known_note_dispersion(&known, dispersion, now_us);
	set_known(daemon, &known);
}

void
work_note_peer(struct loom_daemon *daemon,
    const struct loom_work_report *report, uint64_t leg_us)
{
	struct work_known known = { atomic_load(&daemon->work_seen_us) };

	work_known_note_peer(&known,
	    report->reason_age_ms * LOOM_US_PER_MS + leg_us, loom_now_us());
	set_known(daemon, &known);
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

uint64_t
work_wait_us(struct loom_daemon *daemon, enum loom_importance importance)
{
	const uint32_t limit = loom_admission_limit(daemon->admission);
	uint64_t wait_us;

	g_mutex_lock(&daemon->wait_lock);
	wait_us = loom_work_left_wait_us(
	    daemon->work_left, importance, limit, loom_now_us());
	g_mutex_unlock(&daemon->wait_lock);
	return wait_us;
}

static uint32_t
fresh_pace_percent(const struct loom_daemon *daemon)
{
	const uint64_t reported_us = atomic_load(&daemon->pace_reported_us);

	if (loom_now_us() >= reported_us + REPORT_FRESH_US)
		return 0;
	return CLAMP(atomic_load(&daemon->pace_percent), PACE_PERCENT_MIN,
	    PACE_PERCENT_MAX);
}

bool
work_report(const struct call *call, struct loom_work_report *report)
{
	struct loom_daemon *daemon = call->worker->daemon;
	const struct work_known known = { atomic_load(&daemon->work_seen_us) };
	const uint64_t now_us = loom_now_us();

	if (call->route == NULL || !work_known_is(&known, now_us))
		return false;
	*report = (struct loom_work_report){
		.wait_us = work_wait_us(daemon, LOOM_LOW),
		.pace_percent = fresh_pace_percent(daemon),
		.reason_age_ms = work_known_age_ms(&known, now_us),
	};
	g_mutex_lock(&daemon->wait_lock);
	report->own_us = (uint64_t)loom_work_costs_own_us(
	    daemon->work_costs, call->route->id);
	report->run_us = (uint64_t)loom_work_costs_slot_us(
	    daemon->work_costs, call->route->id);
	g_mutex_unlock(&daemon->wait_lock);
	return true;
}

/*
 * Only an entry that still has the whole request can send it elsewhere.  A call
 * that has been sent to another host before is not handed back, or two hosts
 * that are both slow would send it to and fro; nor is one with a ticket, which
 * names its host.
 */
static bool
may_hand_back(const struct call *call, uint64_t *else_us)
{
	const char *text = loom_exchange_header(call->exchange, HEADER_ELSE);

	return call->origin == CALL_ORIGIN_PEER && text != NULL &&
	    loom_work_time_parse(text, else_us) &&
	    loom_exchange_header(call->exchange, HEADER_ATTEMPT) == NULL &&
	    call_ticket_text(call) == NULL && call->body_buffered;
}

bool
work_may_move(const struct call *call)
{
	uint64_t else_us;

	if (call->origin == CALL_ORIGIN_PEER)
		return may_hand_back(call, &else_us);
	return target_may_move(call);
}

bool
work_is_better_elsewhere(const struct call *call, uint64_t now_us)
{
	struct loom_daemon *daemon = call->worker->daemon;
	struct hand_back_facts facts = { 0 };
	bool better;

	if (!work_is_known(daemon) || !may_hand_back(call, &facts.else_us) ||
	    facts.else_us == 0)
		return false;
	facts.wait_us = work_wait_us(daemon, call_importance(call));
	facts.remaining_us = call_remaining_us(call, now_us);
	g_mutex_lock(&daemon->wait_lock);
	facts.run_us =
	    loom_work_left_run_us(daemon->work_left, call->route->id, now_us);
	better = hand_back_decide(&daemon->hand_back, &facts);
	g_mutex_unlock(&daemon->wait_lock);
	return better;
}

void
work_state(struct loom_daemon *daemon, struct work_state *state)
{
	*state = (struct work_state){
		.wait_us = work_wait_us(daemon, LOOM_LOW),
	};
	g_mutex_lock(&daemon->wait_lock);
	state->mean_us =
	    (uint64_t)loom_work_costs_mean_slot_us(daemon->work_costs);
	state->pace = loom_work_left_pace(daemon->work_left, loom_now_us());
	g_mutex_unlock(&daemon->wait_lock);
}

void
work_report_gauges(struct loom_daemon *daemon)
{
	const struct daemon_counters *counters = &daemon->counters;
	struct work_state state;

	if (!work_is_known(daemon))
		return;
	work_state(daemon, &state);
	loom_gauge_set(counters->work_wait, (int64_t)state.wait_us);
	loom_gauge_set(counters->work_mean, (int64_t)state.mean_us);
	loom_gauge_set(counters->work_pace, fresh_pace_percent(daemon));
}
