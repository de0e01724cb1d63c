/*
 * How many calls one upstream may run at once.
 *
 * Answers: an upstream that takes less than its manifest says (a lost core, a
 * noisy neighbour), a slow one, a cold start.  A fixed limit then queues calls
 * inside the upstream, where no importance, team or deadline orders them.
 *
 * Latency against a floor says that something is slow, not why.  A limit that
 * shrinks whenever latency rises (AIMD on a target, gradient) does harm when
 * the upstream waits for its own database: fewer calls at once are then no
 * faster each, and the limit falls until nearly nothing is served.  So a rise
 * is met by a trial: half the limit, for one window.  If latency falls with
 * it, the calls were in each other's way and the cut stays; if not, the limit
 * comes back and the slower pace becomes the floor.  A floor that is too high
 * mends itself, since lower latency lowers it at once; one that is too low is
 * raised only by such a trial, or while the upstream is lightly used.
 *
 * A trial that helped has shown that calls are in each other's way here, and
 * how far the limit may fall without loss.  From then on the limit follows
 * latency in small steps, until a trial fails or all slots are used again.
 * Without it the limit rested wherever latency was worth no trial, with a
 * fifth of the capacity lost where calls slow each other by the square.
 *
 * A daemon that starts under overload has never seen its upstream at ease.
 * Its first floor is tested by such trials as well, each half of the last, as
 * long as latency keeps falling.
 *
 * Floors are for a class of calls each, and a window's ratio is the mean over
 * its calls of latency to floor, so that a change of the mix (uploads among
 * lookups) is not taken for slowness.
 */

#include "loom/limit.h"
#include "decide/window.h"
#include "loom/clock.h"

/* A window must hold enough calls that its mean can be trusted: with
 * exponential times the mean of 32 is off by 18%, and two windows in a row
 * above HIGH_RATIO by chance are rarer than one in ten thousand. */
#define WINDOW_US (UINT64_C(50) * LOOM_US_PER_MS)
#define WINDOW_CALLS 32
#define WINDOW_MAX_US (UINT64_C(500) * LOOM_US_PER_MS)

/* Above it, latency is high enough to be worth a trial. */
#define HIGH_RATIO 1.8
#define HIGH_WINDOWS 2

/* Below it the limit grows.  The band up to HIGH_RATIO holds the limit, or it
 * would swing between growth and trial. */
#define GROW_RATIO 1.3
#define GROW_STEP 0.1 /* of the limit, in one window; less than the band */

/* Where calls are known to be in each other's way the limit is steered to this
 * ratio.  The floor lies somewhat below the mean, since lower latency moves it
 * at once: at 1.15 few slots cost 5% of the goodput, at 1.25 contention 2%. */
#define CROWDED_RATIO 1.2
/* Of the limit in one window, for each 1.0 that the ratio is off.  A mean of
 * 32 is off by up to 18%, and moves the limit by no more than 5%. */
#define CROWDED_GAIN 0.3
#define CROWDED_DOWN_MAX 0.05

/* Latency that comes of too many calls halves with them; one that does not
 * stays.  Between 0.5 and 1, with the mean of 32 off by up to 18%, 0.7 errs
 * about as rarely on either side (1% and 5%). */
#define TRIAL_SUCCESS 0.7
/* The first floor is tested only when calls wait at the end of so many windows
 * in a row: at 0.8 of the capacity four in a row are common, and the
 * trial itself would refuse. */
#define FIRST_TRIAL_WINDOWS 10

#define TRIAL_DRAIN_LATENCIES 2 /* time for calls from before to end */

/* A trial costs half of the capacity for about three service times and a
 * window: 0.2 s in all, 4% at a pause of 5 s and 0.7% at 30 s. */
#define TRIAL_REST_US (UINT64_C(2) * LOOM_US_PER_S) /* when it helped */
#define TRIAL_PAUSE_MIN_US (UINT64_C(5) * LOOM_US_PER_S) /* when not */
#define TRIAL_PAUSE_MAX_US (UINT64_C(30) * LOOM_US_PER_S)

#define COLD_SHARE 0.125 /* of the slots, at the very start */
#define OVERLOAD_SHARE 0.05 /* of the calls that the upstream refused */
#define OVERLOAD_FACTOR 0.9
/* Of the limit before the refusals: by then a full upstream refuses hardly
 * any.  14 windows, about a second. */
#define REFUSED_TRIAL 0.25
/* Each trial costs about half of the capacity for a second: a tenth of it. */
#define REFUSED_REST_US (UINT64_C(5) * LOOM_US_PER_S)

/* Counts of calls after which a smoothed value is half the new one. */
#define FLOOR_DOWN_CALLS 32.0
#define FLOOR_UP_CALLS 256.0
#define MEAN_CALLS 64.0

#define HINT_US LOOM_US_PER_S /* a hint's life; also how old is "lately" */
#define HINT_SHARE 0.25

void
loom_limit_init(struct loom_limit *limit,
    const struct loom_limit_settings *settings, uint64_t now_us)
{
	*limit = (struct loom_limit){
		.settings = *settings,
		.ratio = 1.0,
		.start_us = now_us,
		.window_start_us = now_us,
		.trial_pause_us = TRIAL_PAUSE_MIN_US,
	};
	if (limit->settings.slots == 0)
		limit->settings.slots = 1;
	if (limit->settings.max_part <= 0)
		limit->settings.max_part = 1;
	limit->limit = limit->settings.slots;
	atomic_store(&limit->window_end_us, now_us + WINDOW_US);
}

void
loom_limit_set_slots(struct loom_limit *limit, uint32_t slots)
{
	if (slots == 0)
		slots = 1;
	if (slots > limit->settings.slots)
		limit->limit = slots;
	limit->settings.slots = slots;
}

bool
loom_limit_due(struct loom_limit *limit, uint64_t now_us)
{
	return now_us >=
	    atomic_load_explicit(&limit->window_end_us, memory_order_relaxed);
}

void
loom_limit_hint_full(struct loom_limit *limit, uint64_t now_us)
{
	limit->hint_us = now_us;
}

double
loom_limit_service_us(const struct loom_limit *limit, uint8_t call_class)
{
	return limit->whole_us[call_class % LOOM_CALL_CLASSES];
}

double
loom_limit_drain_per_s(const struct loom_limit *limit)
{
	if (limit->occupancy_us <= 0)
		return 0;
	return limit->limit * (double)LOOM_US_PER_S / limit->occupancy_us;
}

/* Smooth value towards sample, of the weight of so many calls. */
static double
smooth(double value, double sample, double calls, double half_calls)
{
	if (value <= 0)
		return sample;
	return value + (sample - value) * calls / (calls + half_calls);
}

static double
floor_of(double sample)
{
	return sample > 1.0 ? sample : 1.0;
}

static void
measure(struct loom_limit *limit, const struct loom_window *window)
{
	double own, sum = 0, whole = 0;
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++) {
		if (window->calls[i] == 0)
			continue;
		own = floor_of(window->own_us[i]);
		if (limit->floor_us[i] <= 0)
			limit->floor_us[i] = own;
		sum += window->calls[i] * own / limit->floor_us[i];
		whole += window->calls[i] * window->whole_us[i];
		limit->whole_us[i] = smooth(limit->whole_us[i],
		    window->whole_us[i], window->calls[i], MEAN_CALLS);
	}
	limit->ratio = sum / window->all_calls;
	limit->occupancy_us = smooth(limit->occupancy_us,
	    floor_of(whole / window->all_calls), window->all_calls, MEAN_CALLS);
}

/* Down at once; up only when calls can hardly be in each other's way. */
static void
move_floors(struct loom_limit *limit, const struct loom_window *window,
    bool lightly_used)
{
	double own, half;
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++) {
		if (window->calls[i] == 0)
			continue;
		own = floor_of(window->own_us[i]);
		half = FLOOR_DOWN_CALLS;
		if (own > limit->floor_us[i])
			half = FLOOR_UP_CALLS;
		if (own > limit->floor_us[i] && !lightly_used)
			continue;
		limit->floor_us[i] =
		    smooth(limit->floor_us[i], own, window->calls[i], half);
	}
}

static void
start_trial(struct loom_limit *limit)
{
	limit->trial_ratio = limit->ratio;
	limit->trial_limit = limit->limit;
	limit->limit /= 2;
	limit->phase = LOOM_LIMIT_TRIAL_DRAIN;
}

/* What was just measured is the floor. */
static void
set_floors(struct loom_limit *limit)
{
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++)
		limit->floor_us[i] *= limit->ratio;
	limit->ratio = 1.0;
}

static void
trial_failed(struct loom_limit *limit, uint64_t now_us)
{
	/* A floor that is much raised is tested once more after the pause:
	 * what was slow for another reason may have hidden our part in it. */
	limit->floor_known = limit->ratio <= HIGH_RATIO;
	set_floors(limit);
	/* After one that helped, this one only found how far it helps. */
	limit->crowded = limit->trial_repeated;
	limit->crowded_min = limit->limit;
	limit->trial_repeated = false;
	limit->limit = limit->trial_limit;
	limit->phase = LOOM_LIMIT_STEADY;
	limit->no_trial_until_us = now_us + limit->trial_pause_us;
	limit->trial_pause_us *= 2;
	if (limit->trial_pause_us > TRIAL_PAUSE_MAX_US)
		limit->trial_pause_us = TRIAL_PAUSE_MAX_US;
}

static void
trial_succeeded(struct loom_limit *limit, uint64_t now_us)
{
	limit->trial_pause_us = TRIAL_PAUSE_MIN_US;
	limit->no_trial_until_us = now_us + TRIAL_REST_US;
	if (!limit->floor_known)
		set_floors(limit);
	if ((!limit->floor_known || limit->ratio > HIGH_RATIO) &&
	    limit->limit >= 2.0) {
		limit->trial_repeated = true;
		start_trial(limit);
		return;
	}
	limit->trial_repeated = false;
	limit->crowded = true;
	limit->crowded_min = limit->limit;
	if (limit->ratio > 1.0)
		limit->crowded_min /= limit->ratio;
	/* Half may have been more than needed: back to where it may grow. */
	limit->limit *= GROW_RATIO / limit->ratio;
	if (limit->limit > limit->trial_limit)
		limit->limit = limit->trial_limit;
	limit->phase = LOOM_LIMIT_STEADY;
}

static void
end_trial(struct loom_limit *limit, uint64_t now_us)
{
	limit->high_windows = 0;
	if (limit->ratio <= limit->trial_ratio * TRIAL_SUCCESS)
		trial_succeeded(limit, now_us);
	else
		trial_failed(limit, now_us);
}

/* Slowness that is not ours moves the limit no further than crowded_min. */
static void
steer_crowded(struct loom_limit *limit)
{
	double step = CROWDED_GAIN * (CROWDED_RATIO - limit->ratio);

	if (step > GROW_STEP)
		step = GROW_STEP;
	if (step < -CROWDED_DOWN_MAX)
		step = -CROWDED_DOWN_MAX;
	limit->limit += limit->limit * step + step;
	if (step < 0 && limit->limit < limit->crowded_min)
		limit->limit = limit->crowded_min;
}

static void
steer(struct loom_limit *limit, bool used, bool watched, uint64_t now_us)
{
	limit->watched_windows = watched ? limit->watched_windows + 1 : 0;
	if (!limit->floor_known &&
	    limit->watched_windows >= FIRST_TRIAL_WINDOWS &&
	    now_us >= limit->no_trial_until_us && limit->limit >= 2.0) {
		start_trial(limit);
		return;
	}
	if (limit->ratio > HIGH_RATIO && used) {
		limit->high_windows++;
		if (limit->high_windows >= HIGH_WINDOWS &&
		    limit->limit >= 2.0 && now_us >= limit->no_trial_until_us)
			start_trial(limit);
		return;
	}
	limit->high_windows = 0;
	if (limit->crowded && used)
		steer_crowded(limit);
	else if (limit->ratio <= GROW_RATIO && used)
		limit->limit +=
		    limit->limit * GROW_STEP + GROW_STEP; /* never stuck */
}

/* The most that may run now: the slots, less on a cold start. */
static double
cap_now(const struct loom_limit *limit, uint64_t now_us)
{
	double cap = limit->settings.slots * limit->settings.max_part;
	double age = 0;
	double share = 1.0;

	/* Threads read the clock before they take the lock. */
	if (now_us > limit->start_us)
		age = (double)(now_us - limit->start_us);
	if (age < (double)limit->settings.cold_start_us)
		share = age / (double)limit->settings.cold_start_us;
	if (share < COLD_SHARE)
		share = COLD_SHARE;
	cap *= share;
	if (limit->hint_us != 0 && now_us < limit->hint_us + HINT_US &&
	    now_us >= limit->measured_us + HINT_US)
		cap *= HINT_SHARE;
	return cap;
}

static uint32_t
limit_now(const struct loom_limit *limit, uint64_t now_us)
{
	double cap = cap_now(limit, now_us);
	double value = limit->limit < cap ? limit->limit : cap;

	return value < 1.0 ? 1 : (uint32_t)(value + 0.5);
}

/*
 * The upstream's own refusals.  Where it is full, fewer at once are refused
 * less often, and the limit follows.  A fault that refuses by chance does so
 * whatever runs: when a quarter of the limit has brought nothing, all of it
 * comes back, and refusals are let be for a while.  Without it eight seconds
 * of such a fault left one call at a time, and ten seconds to grow from there
 * once it was over.  Returns whether they move the limit.
 */
static bool
follow_refusals(
    struct loom_limit *limit, const struct loom_window *window, uint64_t now_us)
{
	double share;

	if (now_us < limit->refusals_ignored_until_us || window->overloads == 0)
		return false;
	share = window->overloads / (window->all_calls + window->overloads);
	if (share <= OVERLOAD_SHARE)
		return false;
	if (limit->refused_limit < limit->limit) {
		limit->refused_limit = limit->limit;
		limit->refused_share = share;
	}
	limit->limit *= OVERLOAD_FACTOR;
	if (limit->limit > limit->refused_limit * REFUSED_TRIAL)
		return true;
	if (share <= limit->refused_share * TRIAL_SUCCESS) {
		limit->refused_limit = 0;
		return true;
	}
	limit->limit = limit->refused_limit;
	limit->refused_limit = 0;
	limit->refusals_ignored_until_us = now_us + REFUSED_REST_US;
	return false;
}

static void
end_window(
    struct loom_limit *limit, uint32_t inside, bool watched, uint64_t now_us)
{
	struct loom_window window;
	bool used, lightly_used, refuses;

	loom_window_take(limit, &window);
	refuses = follow_refusals(limit, &window, now_us);
	if (window.all_calls == 0)
		return;
	limit->measured_us = now_us;
	measure(limit, &window);
	/* On a cold start the ramp itself measures with few inside. */
	if (limit->phase == LOOM_LIMIT_STEADY &&
	    inside * 2 <= limit->settings.slots)
		limit->floor_known = true;
	used = watched || inside * 4 >= limit_now(limit, now_us) * 3;
	if (limit->phase == LOOM_LIMIT_TRIAL)
		end_trial(limit, now_us);
	else if (limit->phase == LOOM_LIMIT_STEADY && !refuses)
		steer(limit, used, watched, now_us);
	lightly_used = !watched && inside * 2 <= limit_now(limit, now_us);
	if (limit->phase == LOOM_LIMIT_STEADY)
		move_floors(limit, &window, lightly_used);
	if (limit->limit >= limit->settings.slots) {
		limit->limit = limit->settings.slots;
		limit->crowded = false;
	}
	if (limit->limit < limit->settings.slots * limit->settings.min_part)
		limit->limit = limit->settings.slots * limit->settings.min_part;
	if (limit->limit < 1.0)
		limit->limit = 1.0;
}

/* Calls that began before the cut was reached say nothing about it: their
 * window is thrown away, and those that end later are not counted. */
static bool
still_draining(struct loom_limit *limit, uint32_t inside, uint64_t now_us)
{
	double age_us = (double)(now_us - limit->window_start_us);

	if (limit->phase != LOOM_LIMIT_TRIAL_DRAIN)
		return false;
	if ((double)inside > limit->limit &&
	    age_us < TRIAL_DRAIN_LATENCIES * limit->occupancy_us)
		return true;
	limit->phase = LOOM_LIMIT_TRIAL;
	return false;
}

static void
open_window(struct loom_limit *limit, uint64_t now_us)
{
	limit->window_start_us = now_us;
	atomic_store_explicit(
	    &limit->window_end_us, now_us + WINDOW_US, memory_order_relaxed);
}

uint32_t
loom_limit_update(
    struct loom_limit *limit, uint32_t inside, bool watched, uint64_t now_us)
{
	struct loom_window dropped;
	bool drained = false;

	if (!loom_limit_due(limit, now_us))
		return limit_now(limit, now_us);
	if (limit->phase == LOOM_LIMIT_TRIAL_DRAIN) {
		drained = !still_draining(limit, inside, now_us);
		if (drained) {
			loom_window_take(limit, &dropped);
			atomic_store_explicit(
			    &limit->since_us, now_us, memory_order_relaxed);
			open_window(limit, now_us);
		}
		return limit_now(limit, now_us);
	}
	if (loom_window_pending(limit) < WINDOW_CALLS &&
	    now_us < limit->window_start_us + WINDOW_MAX_US) {
		atomic_store_explicit(&limit->window_end_us, now_us + WINDOW_US,
		    memory_order_relaxed);
		return limit_now(limit, now_us);
	}
	end_window(limit, inside, watched, now_us);
	open_window(limit, now_us);
	return limit_now(limit, now_us);
}
