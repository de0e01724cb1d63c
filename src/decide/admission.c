/*
 * What one upstream takes in, lets wait and turns away.
 *
 * Answers: saturation, by a surge or by an upstream that slows.  Without it
 * calls queue inside the upstream until each is served after its caller has
 * given up: full work, no goodput, and callers who send again.
 *
 * Refused at once: a call that cannot end within its deadline by the measured
 * pace, and what a full queue displaces.  Of those that wait, each is looked at
 * again every tick and refused as soon as it is given up, not when its deadline
 * comes near: its caller has the most time left then to go elsewhere.  It is
 * given up when
 *
 * - its turns and its own time no longer fit its deadline, because more
 *   important calls came or the upstream has slowed;
 * - it has waited for the standing time, and for many turns only more
 *   important calls were served: they take all that there is;
 * - it has waited for the standing time and the delay stands.  A queue that
 *   has delayed calls by more than a service time for that long is no burst:
 *   every place in it only adds delay, so the newest go first;
 * - the queue has room for fewer than wait.
 *
 * The standing time is 100 ms, a quarter of what a person notices, and at
 * least one service time, below which a queue cannot be told from a burst.
 * That the queue is merely never empty is no sign: close to saturation a few
 * calls always wait, and newest first then starves the unlucky ones.
 */

#include <glib.h>
#include <stdatomic.h>
#include <talloc.h>

#include "decide/cuts.h"
#include "loom/admission.h"
#include "loom/gate.h"
#include "loom/keep.h"
#include "loom/returns.h"

#define STANDING_US (UINT64_C(100) * LOOM_US_PER_MS)

/* The queue kept then, for each call that may run.  One for one, and small
 * teams and important calls no longer found room at 15 slots (the worst team
 * under a flood fell from 1.00 to 0.84 of its share). */
#define STANDING_QUEUE 2.0

/* So many turns in a row went to more important calls, and at least as many as
 * run: those take all that there is.  Where they take four fifths of it, 32 in
 * a row are one in a thousand, but four in a row two in five, and at a limit
 * of 4 that refused calls whose turn came (contention at derwent fell from
 * 0.88 to 0.84, over 12 seeds). */
#define STARVED_TURNS 32

/* A call that failed is a measurement when it took this many times what its
 * class takes: an upstream that hangs answers nothing else. */
#define FAILED_SLOW 2.0

/* Calls inside, smoothed over about four ticks (40 ms). */
#define INSIDE_WEIGHT 0.25

/*
 * Of a worker's time, where the daemon counts as full.  The rest is left to
 * the thread that reads the platform: beside a worker that never waits it put
 * a new manifest in force 2.1 s late, and work ran by the old one.
 */
#define BUSY_FULL 0.8

/* A loop that rests now and then, or whose host stands still for the rest of a
 * tenth of a second, comes to an event after so long. */
#define LAG_USUAL_US (20.0 * LOOM_US_PER_MS)
/* This much more is a queue as long as the limit. */
#define LAG_FULL_US (100.0 * LOOM_US_PER_MS)

#define MILLION 1000000U
#define THOUSAND 1000U

struct loom_admission {
	struct loom_gate gate; /* the fast path's cache line */
	char pad[64];
	struct loom_limit limit;
	struct loom_queue *queue;
	struct loom_cuts *cuts;
	struct loom_keep_control keep;
	atomic_uint keep_millionths; /* its share, for any thread */
	atomic_uint busy_thousandths;
	atomic_uint lag_us;
	atomic_uint used_thousandths; /* of the limit, at the last tick */
	struct loom_returns returns;
	struct loom_admission_settings settings;
	atomic_bool shedding; /* some cut is in force */
	uint64_t calm_us; /* when the delay was last short */
	uint64_t critical_calm_us; /* the same of critical calls */
	bool critical_stands; /* their delay does */
	uint64_t lesser_us; /* when a lesser one last found no room */
	double inside; /* smoothed over ticks */
	bool newest_first;
};

/* What a sweep needs to know. */
struct sweep {
	struct loom_admission *adm;
	struct loom_moved *moved;
	uint64_t now_us;
	double turn_us; /* between two calls that begin to run */
	enum loom_result code; /* why the call at hand must leave */
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

	limit = loom_limit_update(&adm->limit, loom_gate_inside(&adm->gate),
	    loom_gate_watched(&adm->gate), now_us);
	loom_gate_set_limit(&adm->gate, limit);
}

struct loom_admission *
loom_admission_new(
    void *ctx, const struct loom_admission_settings *settings, uint64_t now_us)
{
	struct loom_admission *adm = talloc_zero(ctx, struct loom_admission);

	adm->settings = *settings;
	adm->queue = loom_queue_new(adm, settings->queue);
	adm->cuts = loom_cuts_new(adm);
	loom_keep_control_init(&adm->keep, now_us);
	atomic_store(&adm->keep_millionths, MILLION);
	adm->calm_us = now_us;
	adm->critical_calm_us = now_us;
	loom_limit_init(&adm->limit, &settings->limit, now_us);
	loom_gate_init(&adm->gate, 1);
	update_limit(adm, now_us);
	return adm;
}

/* The limit in force once a trial, over in three service times, has ended. */
static double
lasting_limit(const struct loom_admission *adm)
{
	if (adm->limit.phase != LOOM_LIMIT_STEADY)
		return adm->limit.pre_trial_limit;
	return adm->limit.limit;
}

/* Between two calls that begin to run. */
static double
turn_us(const struct loom_admission *adm)
{
	return adm->limit.mean_latency_us / lasting_limit(adm);
}

static uint64_t
standing_us(const struct loom_admission *adm)
{
	uint64_t mean_latency_us = (uint64_t)adm->limit.mean_latency_us;

	return mean_latency_us > STANDING_US ? mean_latency_us : STANDING_US;
}

/* As many wait as run: they take one service time. */
static bool
is_calm_from(const struct loom_admission *adm, enum loom_importance importance)
{
	return loom_queue_length_from(adm->queue, importance) <=
	    (uint32_t)adm->limit.limit;
}

/*
 * Newest first only so many are kept as can still be of use: of a queue with
 * room for 1000 the rest waited until their deadlines came near, 82 ms in the
 * mean of deadlines of 100 ms, to be refused then.
 *
 * Critical calls wait for each other alone, whatever lesser work stands behind
 * them, so their order and bound change only when their own delay stands.
 * Newest first and held to the short bound with the rest, 2 to 9% of them were
 * refused at four hosts of two slots, after 100 ms of a deadline of three
 * seconds, while they were all that ran.
 */
static void
set_newest_first(struct loom_admission *adm, bool newest_first)
{
	uint32_t useful = (uint32_t)(STANDING_QUEUE * lasting_limit(adm));
	enum loom_importance from = LOOM_CRITICAL;
	uint32_t bound = adm->settings.queue;
	uint32_t critical_bound;

	adm->newest_first = newest_first;
	if (newest_first && bound > useful)
		bound = useful;
	critical_bound = bound;
	if (newest_first && !adm->critical_stands) {
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
loom_admission_upstream_new(struct loom_admission *adm, uint64_t now_us)
{
	struct loom_limit_settings settings;

	lock(adm);
	settings = adm->limit.settings;
	loom_limit_init(&adm->limit, &settings, now_us);
	update_limit(adm, now_us);
	unlock(adm);
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
refuse(struct loom_admission *adm, struct loom_waiting *w,
    enum loom_result code, uint64_t now_us)
{
	w->code = code;
	w->cut = cut_of(adm, w->team_id);
	w->retry_after_us = loom_returns_after(&adm->returns, w->importance,
	    loom_limit_drain_per_s(&adm->limit), &adm->settings.random, now_us);
}

/* The call must leave because of others, so its team's cut counts it. */
static void
refuse_for_load(struct loom_admission *adm, struct loom_waiting *w,
    enum loom_result code, uint64_t now_us)
{
	loom_cuts_refused(adm->cuts, w->team_id, w->rank);
	refuse(adm, w, code, now_us);
}

static uint64_t
service_us(const struct loom_admission *adm, const struct loom_waiting *w)
{
	return (uint64_t)loom_limit_service_us(&adm->limit, w->call_class);
}

static bool
too_late(const struct loom_admission *adm, const struct loom_waiting *w,
    uint64_t now_us)
{
	return now_us + service_us(adm, w) > w->deadline_us;
}

static uint64_t
expected_wait_us(const struct loom_admission *adm, const struct loom_waiting *w)
{
	double drain = loom_limit_drain_per_s(&adm->limit);
	uint32_t ahead;

	if (drain <= 0)
		return 0;
	ahead = loom_queue_ahead(
	    adm->queue, w->team_id, w->team_weight, w->importance);
	return (uint64_t)(ahead / drain * (double)LOOM_US_PER_S);
}

static void
note_calm(struct loom_admission *adm, uint64_t now_us)
{
	adm->calm_us = now_us;
	if (adm->newest_first)
		set_newest_first(adm, false);
}

static void
note_empty(struct loom_admission *adm, uint64_t now_us)
{
	note_calm(adm, now_us);
	if (!atomic_load_explicit(&adm->shedding, memory_order_relaxed))
		loom_gate_set_watch(&adm->gate, false);
}

/* Hand room to those that wait. */
static void
pump(struct loom_admission *adm, uint64_t now_us, struct loom_moved *moved)
{
	struct loom_waiting *w;

	while (loom_queue_length(adm->queue) > 0 &&
	    loom_gate_enter_watched(&adm->gate)) {
		w = loom_queue_pop(adm->queue);
		if (!too_late(adm, w, now_us)) {
			loom_cuts_served(adm->cuts, w->team_id);
			loom_moved_go(moved, w);
			continue;
		}
		loom_gate_leave(&adm->gate);
		refuse_for_load(adm, w, LOOM_QUEUE_DEADLINE, now_us);
		loom_moved_refuse(moved, w);
	}
	if (loom_queue_length(adm->queue) == 0)
		note_empty(adm, now_us);
}

static enum loom_admit
wait_in_queue(struct loom_admission *adm, struct loom_waiting *w,
    uint64_t now_us, struct loom_moved *moved)
{
	struct loom_waiting *displaced;

	displaced = loom_queue_push(adm->queue, w, now_us);
	if (displaced == NULL)
		return LOOM_QUEUED;
	refuse_for_load(adm, displaced, LOOM_OVERLOAD, now_us);
	if (displaced == w)
		return LOOM_REFUSED;
	loom_moved_refuse(moved, displaced);
	return LOOM_QUEUED;
}

static enum loom_admit
offer_slow(struct loom_admission *adm, struct loom_waiting *w, uint64_t now_us,
    struct loom_moved *moved)
{
	loom_cuts_offered(adm->cuts, w->team_id, w->rank);
	if (w->importance != LOOM_CRITICAL)
		adm->lesser_us = now_us;
	if (too_late(adm, w, now_us)) {
		refuse(adm, w, LOOM_QUEUE_DEADLINE, now_us);
		return LOOM_REFUSED;
	}
	/* The flag first, then a last look for room: see gate.c. */
	loom_gate_set_watch(&adm->gate, true);
	pump(adm, now_us, moved);
	if (loom_queue_length(adm->queue) == 0) {
		loom_gate_set_watch(&adm->gate, true);
		if (loom_gate_enter_watched(&adm->gate)) {
			loom_cuts_served(adm->cuts, w->team_id);
			note_empty(adm, now_us);
			return LOOM_ADMITTED;
		}
	}
	if (too_late(adm, w, now_us + expected_wait_us(adm, w))) {
		refuse_for_load(adm, w, LOOM_QUEUE_DEADLINE, now_us);
		return LOOM_REFUSED;
	}
	return wait_in_queue(adm, w, now_us, moved);
}

enum loom_admit
loom_admission_offer(struct loom_admission *adm, struct loom_waiting *w,
    uint64_t now_us, struct loom_moved *moved)
{
	enum loom_admit verdict;

	w->code = LOOM_OK;
	w->cut = LOOM_CUT_NONE;
	w->retry_after_us = 0;
	w->team = NULL;
	if (loom_gate_enter(&adm->gate))
		return LOOM_ADMITTED;
	lock(adm);
	verdict = offer_slow(adm, w, now_us, moved);
	unlock(adm);
	return verdict;
}

bool
loom_admission_fits(
    struct loom_admission *adm, const struct loom_waiting *w, uint64_t now_us)
{
	bool fits;

	lock(adm);
	fits = !too_late(adm, w, now_us);
	unlock(adm);
	return fits;
}

static uint64_t
self_us(const struct loom_call_result *result)
{
	if (result->deeper_us >= result->latency_us)
		return 0;
	return result->latency_us - result->deeper_us;
}

static void
measure(struct loom_admission *adm, const struct loom_waiting *w,
    const struct loom_call_result *result, uint64_t now_us)
{
	double usual_us;

	if (result->end == LOOM_CALL_OVERLOAD) {
		loom_limit_overload(&adm->limit);
		return;
	}
	if (result->end == LOOM_CALL_FAILED) {
		lock(adm);
		usual_us = loom_limit_service_us(&adm->limit, w->call_class);
		unlock(adm);
		if ((double)result->latency_us < FAILED_SLOW * usual_us)
			return;
	}
	loom_limit_sample(&adm->limit, w->call_class, self_us(result),
	    result->latency_us, now_us);
}

void
loom_admission_done(struct loom_admission *adm, struct loom_waiting *w,
    const struct loom_call_result *result, uint64_t now_us,
    struct loom_moved *moved)
{
	bool watched;

	measure(adm, w, result, now_us);
	watched = loom_gate_leave(&adm->gate);
	if (!watched && !loom_limit_due(&adm->limit, now_us)) {
		w->cut = LOOM_CUT_NONE;
		return;
	}
	lock(adm);
	update_limit(adm, now_us);
	pump(adm, now_us, moved);
	w->cut = cut_of(adm, w->team_id);
	unlock(adm);
}

bool
loom_admission_cancel(struct loom_admission *adm, struct loom_waiting *w)
{
	bool waiting;

	lock(adm);
	waiting = w->team != NULL;
	if (waiting)
		loom_queue_remove(adm->queue, w);
	unlock(adm);
	return waiting;
}

/* Turns ahead are taken one by one at the pace at which calls end. */
static bool
fits_no_more(
    const struct sweep *sweep, const struct loom_waiting *w, uint32_t ahead)
{
	uint64_t wait_us = (uint64_t)(ahead * sweep->turn_us);

	return too_late(sweep->adm, w, sweep->now_us + wait_us);
}

/* Only calls that would not fit behind all others need to know their turn. */
static bool
needs_ahead(const struct loom_waiting *w, void *arg)
{
	const struct sweep *sweep = arg;

	return fits_no_more(sweep, w, loom_queue_length(sweep->adm->queue));
}

static bool
is_starved(struct loom_admission *adm, const struct loom_waiting *w)
{
	uint32_t passed = loom_queue_passed(adm->queue, w->importance);

	return passed >= STARVED_TURNS && passed >= loom_gate_limit(&adm->gate);
}

static bool
must_leave(const struct loom_waiting *w, uint32_t ahead, void *arg)
{
	struct sweep *sweep = arg;
	struct loom_admission *adm = sweep->adm;

	sweep->code = LOOM_QUEUE_DEADLINE;
	if (fits_no_more(sweep, w, ahead))
		return true;
	sweep->code = LOOM_OVERLOAD;
	if (sweep->now_us <= w->arrived_us + standing_us(adm))
		return false;
	if (is_starved(adm, w))
		return true;
	if (!adm->newest_first || w->team_id == LOOM_QUEUE_NO_TEAM)
		return false;
	/* A team's newest is next when its turn comes, and a small team's
	 * turns may lie further apart than the standing time. */
	if (w->next == NULL)
		return false;
	/* Important calls do not wait behind the rest, whose delay stands. */
	if (w->importance == LOOM_CRITICAL && !adm->critical_stands)
		return false;
	return !is_calm_from(adm, w->importance);
}

static void
drop_swept(struct loom_waiting *w, void *arg)
{
	struct sweep *sweep = arg;

	refuse_for_load(sweep->adm, w, sweep->code, sweep->now_us);
	loom_moved_refuse(sweep->moved, w);
}

static void
sweep_queue(
    struct loom_admission *adm, uint64_t now_us, struct loom_moved *moved)
{
	static const struct loom_queue_sweep_ops ops = {
		.needs_ahead = needs_ahead,
		.gone = must_leave,
		.drop = drop_swept,
	};
	struct sweep sweep = {
		.adm = adm,
		.moved = moved,
		.now_us = now_us,
		.turn_us = turn_us(adm),
		.code = LOOM_OVERLOAD,
	};
	struct loom_waiting *w;

	while ((w = loom_queue_trim(adm->queue)) != NULL)
		drop_swept(w, &sweep);
	loom_queue_sweep(adm->queue, &ops, &sweep);
}

/*
 * While lesser calls come too, the delay of critical ones begins to stand when
 * those that wait take longer than the standing time, for that long: that as
 * many wait as run is then no reason to refuse one.  It ends as that of the
 * others does: held to the short bound, they would be below the standing time
 * at once, and above it again.
 */
static void
tick_critical(struct loom_admission *adm, uint64_t now_us)
{
	uint32_t length = loom_queue_length_from(adm->queue, LOOM_CRITICAL);
	double wait_us = length * turn_us(adm);
	bool calm = is_calm_from(adm, LOOM_CRITICAL);

	if (!adm->critical_stands &&
	    now_us <= adm->lesser_us + standing_us(adm) &&
	    wait_us <= (double)standing_us(adm))
		calm = true;
	if (calm)
		adm->critical_calm_us = now_us;
	adm->critical_stands =
	    now_us > adm->critical_calm_us + standing_us(adm);
}

static void
tick_queue(
    struct loom_admission *adm, uint64_t now_us, struct loom_moved *moved)
{
	pump(adm, now_us, moved);
	tick_critical(adm, now_us);
	if (is_calm_from(adm, LOOM_IMPORTANCES - 1)) {
		note_calm(adm, now_us);
	} else if (now_us > adm->calm_us + standing_us(adm)) {
		set_newest_first(adm, true);
	}
	sweep_queue(adm, now_us, moved);
}

static void
tick_keep(struct loom_admission *adm, uint64_t now_us)
{
	double calls =
	    loom_gate_inside(&adm->gate) + loom_queue_length(adm->queue);
	double used = calls / loom_gate_limit(&adm->gate);
	double busy =
	    atomic_load_explicit(&adm->busy_thousandths, memory_order_relaxed) /
	    (double)THOUSAND;
	double lag;

	used = MAX(used, busy / BUSY_FULL);
	lag = atomic_load_explicit(&adm->lag_us, memory_order_relaxed);
	if (lag > LAG_USUAL_US)
		used = MAX(used, 1.0 + (lag - LAG_USUAL_US) / LAG_FULL_US);
	loom_keep_control_tick(&adm->keep, used, now_us);
	atomic_store_explicit(&adm->used_thousandths,
	    (unsigned)(used * THOUSAND), memory_order_relaxed);
	atomic_store_explicit(&adm->keep_millionths,
	    (unsigned)(adm->keep.share * MILLION), memory_order_relaxed);
}

void
loom_admission_note_busy(struct loom_admission *adm, double busy)
{
	atomic_store_explicit(&adm->busy_thousandths,
	    (unsigned)(busy * THOUSAND), memory_order_relaxed);
}

void
loom_admission_note_lag(struct loom_admission *adm, uint64_t lag_us)
{
	atomic_store_explicit(&adm->lag_us,
	    (unsigned)MIN(lag_us, LOOM_US_PER_S), memory_order_relaxed);
}

uint32_t
loom_admission_used(struct loom_admission *adm)
{
	return atomic_load_explicit(
	    &adm->used_thousandths, memory_order_relaxed);
}

double
loom_admission_keep(struct loom_admission *adm)
{
	return atomic_load_explicit(
		   &adm->keep_millionths, memory_order_relaxed) /
	    (double)MILLION;
}

static void
tick_cuts(struct loom_admission *adm, uint64_t now_us)
{
	double inside = loom_gate_inside(&adm->gate);
	double used = 1.0;
	bool shedding;

	/* A trial halves the limit for a moment; to tell the entries would
	 * starve the upstream after it. */
	if (adm->limit.phase != LOOM_LIMIT_STEADY) {
		loom_cuts_restart_windows(adm->cuts, now_us);
		return;
	}
	tick_keep(adm, now_us);
	adm->inside += (inside - adm->inside) * INSIDE_WEIGHT;
	if (loom_queue_length(adm->queue) == 0)
		used = adm->inside / loom_gate_limit(&adm->gate);
	shedding = loom_cuts_tick(adm->cuts, used, now_us);
	atomic_store_explicit(&adm->shedding, shedding, memory_order_relaxed);
	if (shedding)
		loom_gate_set_watch(&adm->gate, true);
}

void
loom_admission_tick(
    struct loom_admission *adm, uint64_t now_us, struct loom_moved *moved)
{
	lock(adm);
	update_limit(adm, now_us);
	tick_queue(adm, now_us, moved);
	tick_cuts(adm, now_us);
	if (loom_queue_length(adm->queue) == 0)
		note_empty(adm, now_us);
	unlock(adm);
}

void
loom_admission_state(
    struct loom_admission *adm, struct loom_admission_state *state)
{
	lock(adm);
	*state = (struct loom_admission_state){
		.limit = loom_gate_limit(&adm->gate),
		.inside = loom_gate_inside(&adm->gate),
		.waiting = loom_queue_length(adm->queue),
		.newest_first = adm->newest_first,
		.latency_us = adm->limit.mean_latency_us,
		.latency_ratio = adm->limit.ratio,
	};
	unlock(adm);
}
