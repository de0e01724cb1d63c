/*
 * Admission control in front of one upstream.
 *
 * A surge, or an upstream that slows down, saturates the upstream.  Without
 * admission control, calls queue inside the upstream until each is served after
 * its caller has given up: it is fully loaded with no goodput, and callers
 * retry.
 *
 * Two kinds of calls are refused at once: a call that cannot finish before its
 * deadline by the measured times, and a call that a full queue displaces.  Each
 * waiting call is checked again every tick and refused as soon as it has no
 * good prospect, rather than when its deadline is near, since its caller then
 * has the most time left to go elsewhere.  That is the case when
 *
 * - the calls ahead of it and its own time no longer fit its deadline, because
 *   more important calls have come or the upstream has slowed down;
 * - it has waited for the standing time, and many consecutive calls served were
 *   all more important: those take the whole capacity;
 * - it has waited for the standing time, and the queue is a standing one, which
 *   has not been short for the standing time.  Such a queue is no burst and
 *   only adds delay, so the newest calls are served first;
 * - more calls wait than the bound allows.
 *
 * The standing time is 100 ms, a quarter of the delay that people notice, but
 * at least one service time, below which a standing queue cannot be told from a
 * burst.  That a queue never becomes empty does not make it a standing one:
 * close to saturation a few calls always wait, and serving the newest first
 * would then starve those that wait.
 */

#include <glib.h>
#include <talloc.h>

#include "decide/admission_private.h"

#define STANDING_TIME_MIN_US (UINT64_C(100) * LOOM_US_PER_MS)

/* Bound of a standing queue, per call that may run.  At 1.0, small teams and
 * important calls no longer found room at 15 slots: under a flood the worst
 * team fell from 1.00 to 0.84 of its share. */
#define STANDING_QUEUE_PER_SLOT 2.0

/* A call is starved when this many consecutive turns, and at least as many as
 * the limit, went to more important calls.  The limit alone is too small a
 * number: where more important calls take four fifths of the capacity, 32 in a
 * row have a probability of one in a thousand, but four in a row of two in
 * five.  At a limit of 4 that refused calls which would have been served, and
 * the contention case of the load benchmark fell from 0.88 to 0.84 at derwent,
 * over 12 seeds. */
#define STARVED_TURNS 32

/* A failed call counts as a latency sample when it took at least this many
 * times the expected time of its class, since an upstream that hangs gives no
 * other answers. */
#define FAILED_SLOW_FACTOR 2.0

/* Smooths the calls in flight over about four ticks (40 ms). */
#define IN_FLIGHT_WEIGHT 0.25

/* Context of one sweep over the queue. */
struct sweep {
	struct loom_admission *adm;
	struct loom_verdicts *verdicts;
	uint64_t now_us;
	double dispatch_interval_us; /* mean time between two starts of calls */
	enum loom_result code; /* why the call being checked must be refused */
};

static void
lock(struct loom_admission *adm)
{
	if (adm->settings.lock.lock != NULL)
		adm->settings.lock.lock(adm->settings.lock.arg);
}

static void
unlock(struct loom_admission *adm)
{
	if (adm->settings.lock.unlock != NULL)
		adm->settings.lock.unlock(adm->settings.lock.arg);
}

static void
update_limit(struct loom_admission *adm, uint64_t now_us)
{
	uint32_t limit;

	limit = loom_limit_update(&adm->limit,
	    loom_semaphore_in_flight(&adm->semaphore),
	    loom_semaphore_is_slow_path(&adm->semaphore), now_us);
	loom_semaphore_set_limit(&adm->semaphore, limit);
}

struct loom_admission *
loom_admission_new(
    void *ctx, const struct loom_admission_settings *settings, uint64_t now_us)
{
	struct loom_admission *adm = talloc_zero(ctx, struct loom_admission);

	adm->settings = *settings;
	adm->queue = loom_queue_new(adm, settings->queue);
	adm->cuts = loom_cuts_new(adm);
	admission_init_load(adm, now_us);
	adm->last_short_us = now_us;
	adm->critical_last_short_us = now_us;
	loom_limit_init(&adm->limit, &settings->limit, now_us);
	start_bounds_init(&adm->starts, now_us);
	loom_semaphore_init(&adm->semaphore, 1);
	update_limit(adm, now_us);
	return adm;
}

/* The limit without the effect of a trial, which lasts only three service
 * times. */
static double
steady_limit(const struct loom_admission *adm)
{
	if (adm->limit.phase != LOOM_LIMIT_STEADY)
		return adm->limit.pre_trial_limit;
	return adm->limit.limit;
}

/* Mean time between two starts of calls. */
static double
dispatch_interval_us(const struct loom_admission *adm)
{
	double interval_us = adm->limit.mean_latency_us / steady_limit(adm);

	if (adm->start_bound > 0)
		interval_us =
		    MAX(interval_us, (double)LOOM_US_PER_S / adm->start_bound);
	return interval_us;
}

/* Calls that end per second while all that is allowed runs; 0: unknown. */
static double
drain_per_s(const struct loom_admission *adm)
{
	double drain = loom_limit_drain_per_s(&adm->limit);

	if (adm->start_bound > 0 && (drain <= 0 || drain > adm->start_bound))
		drain = adm->start_bound;
	return drain;
}

double
admission_concurrency(const struct loom_admission *adm, double limit)
{
	double started = adm->start_bound * adm->limit.mean_latency_us /
	    (double)LOOM_US_PER_S;

	if (adm->start_bound > 0 && started < limit)
		limit = MAX(started, 1.0);
	return limit;
}

static uint64_t
standing_time_us(const struct loom_admission *adm)
{
	uint64_t mean_latency_us = (uint64_t)adm->limit.mean_latency_us;

	return mean_latency_us > STANDING_TIME_MIN_US ? mean_latency_us
						      : STANDING_TIME_MIN_US;
}

/* A queue is short while no more calls wait than run: they take one service
 * time. */
static bool
is_queue_short_from(
    const struct loom_admission *adm, enum loom_importance importance)
{
	return loom_queue_length_from(adm->queue, importance) <=
	    (uint32_t)admission_concurrency(adm, adm->limit.limit);
}

/*
 * Sets the order and the bounds of the queue.  While it serves the newest
 * first, only as many calls are kept as can still be useful.  In a queue with
 * room for 1000, the others waited until their deadlines were near: 82 ms on
 * average, of a deadline of 100 ms, and were then refused.
 *
 * Critical calls wait only for each other, however many less important calls
 * are behind them, so their order and bound change only when they form a
 * standing queue by themselves.  When they were served newest first and held to
 * the short bound with the others, 2 to 9% of them were refused at four hosts
 * of two slots, after 100 ms of a deadline of three seconds, although no other
 * calls ran.
 */
static void
set_newest_first(struct loom_admission *adm, bool newest_first)
{
	uint32_t useful_calls = (uint32_t)(STANDING_QUEUE_PER_SLOT *
	    admission_concurrency(adm, steady_limit(adm)));
	enum loom_importance from = LOOM_CRITICAL;
	uint32_t bound = adm->settings.queue;
	uint32_t critical_bound;

	adm->newest_first = newest_first;
	if (newest_first && bound > useful_calls)
		bound = useful_calls;
	critical_bound = bound;
	if (newest_first && !adm->critical_standing) {
		from = LOOM_HIGH;
		critical_bound = adm->settings.queue;
	}
	loom_queue_set_newest_first(adm->queue, from, newest_first);
	loom_queue_set_bounds(
	    adm->queue, bound, critical_bound, adm->settings.queue);
}

void
loom_admission_set_slots(
    struct loom_admission *adm, uint32_t slots, uint32_t queue)
{
	lock(adm);
	loom_limit_set_slots(&adm->limit, slots);
	adm->settings.queue = queue;
	set_newest_first(adm, adm->newest_first);
	unlock(adm);
}

void
loom_admission_upstream_restarted(struct loom_admission *adm, uint64_t now_us)
{
	struct loom_limit_settings settings;

	lock(adm);
	settings = adm->limit.settings;
	loom_limit_init(&adm->limit, &settings, now_us);
	update_limit(adm, now_us);
	unlock(adm);
}

/* Applies the bound on starts as it is now. */
static void
update_start_bound(struct loom_admission *adm, uint64_t now_us)
{
	adm->start_bound = start_bounds_per_s(&adm->starts, now_us);
	atomic_store(&adm->starts_bounded, adm->start_bound > 0);
	if (adm->start_bound > 0)
		loom_semaphore_set_slow_path(&adm->semaphore, true);
}

void
loom_admission_set_cold(struct loom_admission *adm, uint32_t starts_max,
    uint64_t until_us, uint64_t now_us)
{
	lock(adm);
	loom_cold_start_set_bound(&adm->starts.cold, starts_max);
	loom_cold_start_set_until(&adm->starts.cold, until_us);
	update_start_bound(adm, now_us);
	unlock(adm);
}

void
loom_admission_set_rate(
    struct loom_admission *adm, double per_s, uint64_t now_us)
{
	lock(adm);
	start_rate_set(&adm->starts.rate, per_s, now_us);
	update_start_bound(adm, now_us);
	unlock(adm);
}

bool
loom_admission_may_start(struct loom_admission *adm, uint64_t now_us)
{
	bool may_start;

	if (!atomic_load(&adm->starts_bounded))
		return true;
	lock(adm);
	may_start = loom_queue_length(adm->queue) == 0 &&
	    start_rate_may_start(&adm->starts.rate, now_us);
	unlock(adm);
	return may_start;
}

void
loom_admission_sent(struct loom_admission *adm,
    struct loom_admission_call *call, uint64_t now_us)
{
	bool locked = atomic_load(&adm->starts_bounded);

	if (!call->reserved)
		return;
	call->reserved = false;
	call->has_token = false;
	if (locked)
		lock(adm);
	loom_cold_start_sent(&adm->starts.cold, now_us);
	if (locked)
		unlock(adm);
}

uint32_t
loom_admission_start_bound(struct loom_admission *adm, uint64_t now_us)
{
	uint32_t bound;

	if (!atomic_load(&adm->starts_bounded))
		return 0;
	lock(adm);
	bound = start_bounds_per_s(&adm->starts, now_us);
	unlock(adm);
	return bound;
}

void
loom_admission_hint_full(struct loom_admission *adm, uint64_t now_us)
{
	lock(adm);
	loom_limit_hint_full(&adm->limit, now_us);
	unlock(adm);
}

static uint16_t
cut_of(struct loom_admission *adm, uint64_t team_id)
{
	if (!atomic_load_explicit(&adm->shedding, memory_order_relaxed))
		return LOOM_CUT_NONE;
	return loom_cuts_get(adm->cuts, team_id);
}

static void
refuse(struct loom_admission *adm, struct loom_admission_call *call,
    enum loom_result code, uint64_t now_us)
{
	call->code = code;
	call->cut = cut_of(adm, call->team_id);
	call->retry_after_us = loom_return_schedule_reserve(&adm->returns,
	    call->importance, drain_per_s(adm), &adm->settings.random, now_us);
}

/* Refuses a call because of the load by others, which counts for the cut of its
 * team. */
static void
refuse_and_count(struct loom_admission *adm, struct loom_admission_call *call,
    enum loom_result code, uint64_t now_us)
{
	loom_cuts_refused(adm->cuts, call->team_id, call->rank);
	refuse(adm, call, code, now_us);
}

static uint64_t
expected_service_us(
    const struct loom_admission *adm, const struct loom_admission_call *call)
{
	return (uint64_t)loom_limit_service_us(&adm->limit, call->call_class);
}

static bool
misses_deadline(const struct loom_admission *adm,
    const struct loom_admission_call *call, uint64_t now_us)
{
	return now_us + expected_service_us(adm, call) > call->deadline_us;
}

static uint64_t
expected_wait_us(
    const struct loom_admission *adm, const struct loom_admission_call *call)
{
	double drain = drain_per_s(adm);
	uint32_t ahead;

	if (drain <= 0)
		return 0;
	ahead = loom_queue_calls_ahead(
	    adm->queue, call->team_id, call->team_weight, call->importance);
	return (uint64_t)(ahead / drain * (double)LOOM_US_PER_S);
}

/* The queue is short, so it is served oldest first. */
static void
on_queue_short(struct loom_admission *adm, uint64_t now_us)
{
	adm->last_short_us = now_us;
	if (adm->newest_first)
		set_newest_first(adm, false);
}

static void
on_queue_empty(struct loom_admission *adm, uint64_t now_us)
{
	on_queue_short(adm, now_us);
	if (!atomic_load_explicit(&adm->shedding, memory_order_relaxed) &&
	    adm->start_bound == 0)
		loom_semaphore_set_slow_path(&adm->semaphore, false);
}

/* Takes a slot for a call that may start now. */
static bool
try_start(struct loom_admission *adm, uint64_t now_us)
{
	return start_bounds_may_start(&adm->starts, now_us) &&
	    loom_semaphore_try_acquire_slow_path(&adm->semaphore);
}

static void
reserve(struct loom_admission *adm, struct loom_admission_call *call)
{
	loom_cold_start_reserve(&adm->starts.cold);
	call->reserved = true;
}

/* As reserve(), for a call on the slow path, which all take while there is a
 * rate. */
static void
reserve_paced(struct loom_admission *adm, struct loom_admission_call *call)
{
	reserve(adm, call);
	call->has_token = adm->starts.rate.per_s > 0;
	if (call->has_token)
		start_rate_take(&adm->starts.rate);
}

/* Cancels the reservation of a call that was not sent. */
static void
cancel_reservation(struct loom_admission *adm, struct loom_admission_call *call)
{
	if (!call->reserved)
		return;
	call->reserved = false;
	loom_cold_start_cancel(&adm->starts.cold);
	if (!call->has_token)
		return;
	call->has_token = false;
	lock(adm);
	start_rate_give_back(&adm->starts.rate);
	unlock(adm);
}

/* Admits waiting calls while there are free slots. */
static void
dispatch_waiting(
    struct loom_admission *adm, uint64_t now_us, struct loom_verdicts *verdicts)
{
	struct loom_admission_call *call;

	while (loom_queue_length(adm->queue) > 0 && try_start(adm, now_us)) {
		call = loom_queue_pop(adm->queue);
		if (!misses_deadline(adm, call, now_us)) {
			reserve_paced(adm, call);
			loom_cuts_served(adm->cuts, call->team_id);
			loom_verdicts_admit(verdicts, call);
			continue;
		}
		loom_semaphore_release(&adm->semaphore);
		refuse_and_count(adm, call, LOOM_QUEUE_DEADLINE, now_us);
		loom_verdicts_refuse(verdicts, call);
	}
	if (loom_queue_length(adm->queue) == 0)
		on_queue_empty(adm, now_us);
}

static enum loom_admission_verdict
enqueue(struct loom_admission *adm, struct loom_admission_call *call,
    uint64_t now_us, struct loom_verdicts *verdicts)
{
	struct loom_admission_call *displaced;

	displaced = loom_queue_push(adm->queue, call, now_us);
	if (displaced == NULL)
		return LOOM_QUEUED;
	refuse_and_count(adm, displaced, LOOM_OVERLOAD, now_us);
	if (displaced == call)
		return LOOM_REFUSED;
	loom_verdicts_refuse(verdicts, displaced);
	return LOOM_QUEUED;
}

static enum loom_admission_verdict
offer_slow(struct loom_admission *adm, struct loom_admission_call *call,
    uint64_t now_us, struct loom_verdicts *verdicts)
{
	loom_cuts_offered(adm->cuts, call->team_id, call->rank);
	if (call->importance != LOOM_CRITICAL)
		adm->last_noncritical_us = now_us;
	if (misses_deadline(adm, call, now_us)) {
		refuse(adm, call, LOOM_QUEUE_DEADLINE, now_us);
		return LOOM_REFUSED;
	}
	/* Sets the flag before the last check for a free slot, see semaphore.c;
	 * and again where dispatch_waiting() has cleared it for an empty queue.
	 */
	loom_semaphore_set_slow_path(&adm->semaphore, true);
	dispatch_waiting(adm, now_us, verdicts);
	if (loom_queue_length(adm->queue) == 0) {
		loom_semaphore_set_slow_path(&adm->semaphore, true);
		if (try_start(adm, now_us)) {
			reserve_paced(adm, call);
			loom_cuts_served(adm->cuts, call->team_id);
			on_queue_empty(adm, now_us);
			return LOOM_ADMITTED;
		}
	}
	if (misses_deadline(adm, call, now_us + expected_wait_us(adm, call))) {
		refuse_and_count(adm, call, LOOM_QUEUE_DEADLINE, now_us);
		return LOOM_REFUSED;
	}
	return enqueue(adm, call, now_us, verdicts);
}

enum loom_admission_verdict
loom_admission_offer(struct loom_admission *adm,
    struct loom_admission_call *call, uint64_t now_us,
    struct loom_verdicts *verdicts)
{
	enum loom_admission_verdict verdict;

	call->code = LOOM_OK;
	call->cut = LOOM_CUT_NONE;
	call->retry_after_us = 0;
	call->team = NULL;
	call->reserved = false;
	call->has_token = false;
	if (loom_semaphore_try_acquire(&adm->semaphore)) {
		reserve(adm, call);
		return LOOM_ADMITTED;
	}
	lock(adm);
	verdict = offer_slow(adm, call, now_us, verdicts);
	unlock(adm);
	return verdict;
}

bool
loom_admission_can_finish(struct loom_admission *adm,
    const struct loom_admission_call *call, uint64_t now_us)
{
	bool fits;

	lock(adm);
	fits = !misses_deadline(adm, call, now_us);
	unlock(adm);
	return fits;
}

static uint64_t
self_us(const struct loom_call_result *result)
{
	if (result->nested_us >= result->latency_us)
		return 0;
	return result->latency_us - result->nested_us;
}

static void
record_result(struct loom_admission *adm,
    const struct loom_admission_call *call,
    const struct loom_call_result *result, uint64_t now_us)
{
	double expected_us;

	if (result->end == LOOM_CALL_OVERLOAD) {
		loom_limit_overload(&adm->limit);
		return;
	}
	if (result->end == LOOM_CALL_FAILED) {
		lock(adm);
		expected_us =
		    loom_limit_service_us(&adm->limit, call->call_class);
		unlock(adm);
		if ((double)result->latency_us <
		    FAILED_SLOW_FACTOR * expected_us)
			return;
	}
	loom_limit_sample(&adm->limit, call->call_class, self_us(result),
	    result->latency_us, now_us);
}

void
loom_admission_done(struct loom_admission *adm,
    struct loom_admission_call *call, const struct loom_call_result *result,
    uint64_t now_us, struct loom_verdicts *verdicts)
{
	bool slow_path;

	cancel_reservation(adm, call);
	record_result(adm, call, result, now_us);
	slow_path = loom_semaphore_release(&adm->semaphore);
	if (!slow_path && !loom_limit_due(&adm->limit, now_us)) {
		call->cut = LOOM_CUT_NONE;
		return;
	}
	lock(adm);
	update_limit(adm, now_us);
	dispatch_waiting(adm, now_us, verdicts);
	call->cut = cut_of(adm, call->team_id);
	unlock(adm);
}

bool
loom_admission_cancel(
    struct loom_admission *adm, struct loom_admission_call *call)
{
	bool waiting;

	lock(adm);
	waiting = call->team != NULL;
	if (waiting)
		loom_queue_remove(adm->queue, call);
	unlock(adm);
	return waiting;
}

/* Whether the call misses its deadline if ahead calls are served before it, one
 * per dispatch interval. */
static bool
misses_deadline_behind(const struct sweep *sweep,
    const struct loom_admission_call *call, uint32_t ahead)
{
	uint64_t wait_us = (uint64_t)(ahead * sweep->dispatch_interval_us);

	return misses_deadline(sweep->adm, call, sweep->now_us + wait_us);
}

/* Only calls that would miss their deadline at the end of the queue need the
 * number of calls ahead. */
static bool
needs_calls_ahead(const struct loom_admission_call *call, void *arg)
{
	const struct sweep *sweep = arg;

	return misses_deadline_behind(
	    sweep, call, loom_queue_length(sweep->adm->queue));
}

static bool
is_starved(struct loom_admission *adm, const struct loom_admission_call *call)
{
	uint32_t overtaken = loom_queue_overtaken(adm->queue, call->importance);

	return overtaken >= STARVED_TURNS &&
	    overtaken >= loom_semaphore_limit(&adm->semaphore);
}

static bool
should_drop(const struct loom_admission_call *call, uint32_t ahead, void *arg)
{
	struct sweep *sweep = arg;
	struct loom_admission *adm = sweep->adm;

	sweep->code = LOOM_QUEUE_DEADLINE;
	if (misses_deadline_behind(sweep, call, ahead))
		return true;
	sweep->code = LOOM_OVERLOAD;
	if (sweep->now_us <= call->arrived_us + standing_time_us(adm))
		return false;
	if (is_starved(adm, call))
		return true;
	if (!adm->newest_first || call->team_id == LOOM_QUEUE_NO_TEAM)
		return false;
	/* The newest call of a team is the next one of that team, and the turns
	 * of a small team may be further apart than the standing time. */
	if (call->next == NULL)
		return false;
	/* Critical calls do not wait behind the less important ones, which form
	 * the standing queue. */
	if (call->importance == LOOM_CRITICAL && !adm->critical_standing)
		return false;
	return !is_queue_short_from(adm, call->importance);
}

static void
refuse_dropped(struct loom_admission_call *call, void *arg)
{
	struct sweep *sweep = arg;

	refuse_and_count(sweep->adm, call, sweep->code, sweep->now_us);
	loom_verdicts_refuse(sweep->verdicts, call);
}

static void
sweep_queue(
    struct loom_admission *adm, uint64_t now_us, struct loom_verdicts *verdicts)
{
	static const struct loom_queue_sweep_ops ops = {
		.needs_calls_ahead = needs_calls_ahead,
		.should_drop = should_drop,
		.drop = refuse_dropped,
	};
	struct sweep sweep = {
		.adm = adm,
		.verdicts = verdicts,
		.now_us = now_us,
		.dispatch_interval_us = dispatch_interval_us(adm),
		.code = LOOM_OVERLOAD,
	};
	struct loom_admission_call *call;

	while ((call = loom_queue_trim(adm->queue)) != NULL)
		refuse_dropped(call, &sweep);
	loom_queue_sweep(adm->queue, &ops, &sweep);
}

/*
 * Detects a standing queue of critical calls.  While less important calls
 * arrive as well, it begins only when serving the waiting critical calls would
 * take longer than the standing time, and has done so for that time: that more
 * of them wait than run is then no reason to refuse any.  It ends as that of
 * all calls does, when no more wait than run.  Otherwise the short bound would
 * bring the wait below the standing time at once, and it would soon rise above
 * it again.
 */
static void
tick_critical(struct loom_admission *adm, uint64_t now_us)
{
	uint32_t length = loom_queue_length_from(adm->queue, LOOM_CRITICAL);
	double wait_us = length * dispatch_interval_us(adm);
	bool queue_short = is_queue_short_from(adm, LOOM_CRITICAL);

	if (!adm->critical_standing &&
	    now_us <= adm->last_noncritical_us + standing_time_us(adm) &&
	    wait_us <= (double)standing_time_us(adm))
		queue_short = true;
	if (queue_short)
		adm->critical_last_short_us = now_us;
	adm->critical_standing =
	    now_us > adm->critical_last_short_us + standing_time_us(adm);
}

/* Detects a standing queue, and refuses the waiting calls without prospect. */
static void
tick_queue(
    struct loom_admission *adm, uint64_t now_us, struct loom_verdicts *verdicts)
{
	dispatch_waiting(adm, now_us, verdicts);
	tick_critical(adm, now_us);
	if (is_queue_short_from(adm, LOOM_IMPORTANCE_COUNT - 1)) {
		on_queue_short(adm, now_us);
	} else if (now_us > adm->last_short_us + standing_time_us(adm)) {
		set_newest_first(adm, true);
	}
	sweep_queue(adm, now_us, verdicts);
}

static void
tick_cuts(struct loom_admission *adm, uint64_t now_us)
{
	double in_flight = loom_semaphore_in_flight(&adm->semaphore);
	double used = 1.0;
	bool shedding;

	/* A trial halves the limit for a moment.  Thresholds based on that
	 * would leave the upstream short of calls after the trial. */
	if (adm->limit.phase != LOOM_LIMIT_STEADY) {
		loom_cuts_restart_windows(adm->cuts, now_us);
		return;
	}
	admission_tick_load(adm, now_us);
	adm->mean_in_flight +=
	    (in_flight - adm->mean_in_flight) * IN_FLIGHT_WEIGHT;
	if (loom_queue_length(adm->queue) == 0)
		used =
		    adm->mean_in_flight / loom_semaphore_limit(&adm->semaphore);
	shedding = loom_cuts_tick(adm->cuts, used, now_us);
	atomic_store_explicit(&adm->shedding, shedding, memory_order_relaxed);
	if (shedding)
		loom_semaphore_set_slow_path(&adm->semaphore, true);
}

void
loom_admission_tick(
    struct loom_admission *adm, uint64_t now_us, struct loom_verdicts *verdicts)
{
	lock(adm);
	update_limit(adm, now_us);
	update_start_bound(adm, now_us);
	tick_queue(adm, now_us, verdicts);
	tick_cuts(adm, now_us);
	if (loom_queue_length(adm->queue) == 0)
		on_queue_empty(adm, now_us);
	unlock(adm);
}

void
loom_admission_state(
    struct loom_admission *adm, struct loom_admission_state *state)
{
	lock(adm);
	*state = (struct loom_admission_state){
		.limit = loom_semaphore_limit(&adm->semaphore),
		.inside = loom_semaphore_in_flight(&adm->semaphore),
		.waiting = loom_queue_length(adm->queue),
		.newest_first = adm->newest_first,
		.latency_us = adm->limit.mean_latency_us,
		.latency_ratio = adm->limit.ratio,
	};
	unlock(adm);
}
