/*
 * Adaptive limit on the calls in flight at one upstream.
 *
 * An upstream may take less than its manifest declares (a lost core, a noisy
 * neighbour), slow down, or start cold.  A fixed limit would then queue calls
 * inside the upstream, where they are not ordered by importance, team or
 * deadline.
 *
 * Latency above a baseline shows that something is slow, but not why.  A limit
 * that shrinks whenever latency rises (AIMD on a latency target, gradient) does
 * harm when the upstream waits for its own database: fewer concurrent calls are
 * no faster there, and the limit falls until hardly any call is served.
 * Therefore high latency starts a trial: the limit is halved for one window.
 * If latency falls with it, the calls were slowing each other and the lower
 * limit stays.  Otherwise the old limit returns and the higher latency becomes
 * the baseline.
 *
 * A baseline that is too high corrects itself, since lower latency lowers it at
 * once.  One that is too low is raised only by a failed trial or under light
 * load.
 *
 * A successful trial has shown contention between calls, and how far the limit
 * may fall without loss of throughput.  From then on the limit follows latency
 * in small steps, until a trial fails or all slots are in use again.  Without
 * these steps the limit stayed wherever latency was too low to start a trial,
 * which lost a fifth of the capacity of an upstream whose latency grows with
 * the square of the concurrency.
 *
 * A daemon that starts under overload has never measured its upstream under
 * light load.  Its first baseline is therefore tested by trials as well, each
 * at half the limit of the previous one, for as long as latency keeps falling.
 *
 * Each class of calls has its own baseline, and the ratio of a window is the
 * mean of latency to baseline over its calls.  A change of the mix, such as
 * more uploads among lookups, is thus not mistaken for a slow upstream.
 */

#include "loom/limit.h"
#include "decide/limit_window.h"
#include "loom/clock.h"

/* A window needs enough calls for a reliable mean.  With exponential service
 * times the mean of 32 calls is off by 18%, and two consecutive windows exceed
 * HIGH_RATIO by chance less than once in ten thousand. */
#define WINDOW_US (UINT64_C(50) * LOOM_US_PER_MS)
#define WINDOW_CALLS_MIN 32
#define WINDOW_MAX_US (UINT64_C(500) * LOOM_US_PER_MS)

/* A ratio above it can start a trial. */
#define HIGH_RATIO 1.8
#define HIGH_WINDOWS 2

/* Below this ratio the limit grows.  Between it and HIGH_RATIO the limit stays,
 * since otherwise it would alternate between growth and trials. */
#define GROW_RATIO 1.3
#define GROW_STEP 0.1 /* of the limit per window; smaller than the band */

/* Target ratio once contention is known.  The baseline lies somewhat below the
 * mean, because lower latency lowers it at once.  A target of 1.15 lost 5% of
 * the goodput of an upstream with few slots; 1.25 lost 2% under contention. */
#define CONTENDED_RATIO 1.2
/* Step of the limit per window, for a ratio that is off by 1.0.  A mean of 32
 * calls, off by up to 18%, then moves the limit by no more than 5%. */
#define CONTENDED_GAIN 0.3
#define CONTENDED_STEP_DOWN_MAX 0.05

/* Latency that is caused by concurrency halves with it; other latency stays the
 * same.  Between ratios of 0.5 and 1, with a mean of 32 calls that is off by up
 * to 18%, 0.7 is wrong about equally rarely on either side (1% and 5%). */
#define TRIAL_SUCCESS_RATIO 0.7
/* The first baseline is tested only when calls wait at the end of this many
 * consecutive windows.  At 0.8 of the capacity four in a row are common, and an
 * unnecessary trial would itself cause refusals. */
#define FIRST_TRIAL_WINDOWS 10

/* Longest wait for earlier calls to finish, in mean latencies. */
#define DRAIN_LATENCIES_MAX 2

/* Pauses after a successful and after failed trials.  A trial takes half of the
 * capacity for about three service times and a window, 0.2 s in all: that costs
 * 4% at a pause of 5 s and 0.7% at 30 s. */
#define TRIAL_PAUSE_SUCCESS_US (UINT64_C(2) * LOOM_US_PER_S)
#define TRIAL_PAUSE_FAILED_MIN_US (UINT64_C(5) * LOOM_US_PER_S)
#define TRIAL_PAUSE_FAILED_MAX_US (UINT64_C(30) * LOOM_US_PER_S)

#define COLD_START_SHARE 0.125 /* of the slots, when the ramp begins */
#define OVERLOAD_SHARE 0.05 /* of the calls, refused by the upstream */
#define OVERLOAD_FACTOR 0.9
/* The limit falls no further than to this share of what it was before the
 * upstream began to refuse: an upstream that refuses because it is full hardly
 * refuses any call by then.  That takes 14 windows, about a second. */
#define REFUSED_LIMIT_MIN_SHARE 0.25
/* Refusals are then ignored for this long.  Following them costs about half of
 * the capacity for a second, so a tenth of it over this interval. */
#define REFUSALS_IGNORED_US (UINT64_C(5) * LOOM_US_PER_S)

/* Number of calls whose mean counts half in a smoothed value. */
#define BASELINE_DOWN_CALLS 32.0
#define BASELINE_UP_CALLS 256.0
#define MEAN_CALLS 64.0

/* Lifetime of a hint, and the age at which samples are no longer recent. */
#define HINT_LIFETIME_US LOOM_US_PER_S
#define HINT_SHARE 0.25

void
loom_limit_init(struct loom_limit *limit,
    const struct loom_limit_settings *settings, uint64_t now_us)
{
	*limit = (struct loom_limit){
		.settings = *settings,
		.ratio = 1.0,
		.upstream_start_us = now_us,
		.window_start_us = now_us,
		.trial_pause_us = TRIAL_PAUSE_FAILED_MIN_US,
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
	limit->last_hint_us = now_us;
}

double
loom_limit_service_us(const struct loom_limit *limit, uint8_t call_class)
{
	return limit->total_us[call_class % LOOM_CALL_CLASSES];
}

double
loom_limit_drain_per_s(const struct loom_limit *limit)
{
	if (limit->mean_latency_us <= 0)
		return 0;
	return limit->limit * (double)LOOM_US_PER_S / limit->mean_latency_us;
}

/* Moves value towards sample, which is the mean of this many calls. */
static double
smoothed(double value, double sample, double calls, double half_weight_calls)
{
	if (value <= 0)
		return sample;
	return value + (sample - value) * calls / (calls + half_weight_calls);
}

static double
at_least_one_us(double sample)
{
	return sample > 1.0 ? sample : 1.0;
}

/* Updates the latency ratio and the smoothed times from one window. */
static void
record_window(struct loom_limit *limit, const struct loom_limit_window *window)
{
	double sample_us, ratio_sum = 0, total_us_sum = 0;
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++) {
		if (window->calls[i] == 0)
			continue;
		sample_us = at_least_one_us(window->self_us[i]);
		if (limit->baseline_us[i] <= 0)
			limit->baseline_us[i] = sample_us;
		ratio_sum +=
		    window->calls[i] * sample_us / limit->baseline_us[i];
		total_us_sum += window->calls[i] * window->total_us[i];
		limit->total_us[i] = smoothed(limit->total_us[i],
		    window->total_us[i], window->calls[i], MEAN_CALLS);
	}
	limit->ratio = ratio_sum / window->total_calls;
	limit->mean_latency_us = smoothed(limit->mean_latency_us,
	    at_least_one_us(total_us_sum / window->total_calls),
	    window->total_calls, MEAN_CALLS);
}

/* Lower latency lowers the baseline at once.  Higher latency raises it only
 * under light load, when calls can hardly slow each other. */
static void
move_baselines(struct loom_limit *limit, const struct loom_limit_window *window,
    bool light_load)
{
	double sample_us, half_weight;
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++) {
		if (window->calls[i] == 0)
			continue;
		sample_us = at_least_one_us(window->self_us[i]);
		half_weight = BASELINE_DOWN_CALLS;
		if (sample_us > limit->baseline_us[i])
			half_weight = BASELINE_UP_CALLS;
		if (sample_us > limit->baseline_us[i] && !light_load)
			continue;
		limit->baseline_us[i] = smoothed(limit->baseline_us[i],
		    sample_us, window->calls[i], half_weight);
	}
}

static void
start_trial(struct loom_limit *limit)
{
	limit->pre_trial_ratio = limit->ratio;
	limit->pre_trial_limit = limit->limit;
	limit->limit /= 2;
	limit->phase = LOOM_LIMIT_TRIAL_DRAIN;
}

/* Makes the latency of this window the baseline. */
static void
accept_as_baseline(struct loom_limit *limit)
{
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++)
		limit->baseline_us[i] *= limit->ratio;
	limit->ratio = 1.0;
}

static void
trial_failed(struct loom_limit *limit, uint64_t now_us)
{
	/* A baseline that rises by much is tested once more after the pause:
	 * slowness of another cause may have hidden the effect of
	 * concurrency. */
	limit->baseline_known = limit->ratio <= HIGH_RATIO;
	accept_as_baseline(limit);
	/* A failed trial after a successful one only shows where a lower limit
	 * stops helping; the contention remains. */
	limit->contended = limit->trial_is_repeat;
	limit->contended_limit_min = limit->limit;
	limit->trial_is_repeat = false;
	limit->limit = limit->pre_trial_limit;
	limit->phase = LOOM_LIMIT_STEADY;
	limit->no_trial_until_us = now_us + limit->trial_pause_us;
	limit->trial_pause_us *= 2;
	if (limit->trial_pause_us > TRIAL_PAUSE_FAILED_MAX_US)
		limit->trial_pause_us = TRIAL_PAUSE_FAILED_MAX_US;
}

static void
trial_succeeded(struct loom_limit *limit, uint64_t now_us)
{
	limit->trial_pause_us = TRIAL_PAUSE_FAILED_MIN_US;
	limit->no_trial_until_us = now_us + TRIAL_PAUSE_SUCCESS_US;
	if (!limit->baseline_known)
		accept_as_baseline(limit);
	if ((!limit->baseline_known || limit->ratio > HIGH_RATIO) &&
	    limit->limit >= 2.0) {
		limit->trial_is_repeat = true;
		start_trial(limit);
		return;
	}
	limit->trial_is_repeat = false;
	limit->contended = true;
	limit->contended_limit_min = limit->limit;
	if (limit->ratio > 1.0)
		limit->contended_limit_min /= limit->ratio;
	/* Halving may have been more than needed: raises the limit to where the
	 * ratio is expected to reach GROW_RATIO. */
	limit->limit *= GROW_RATIO / limit->ratio;
	if (limit->limit > limit->pre_trial_limit)
		limit->limit = limit->pre_trial_limit;
	limit->phase = LOOM_LIMIT_STEADY;
}

static void
end_trial(struct loom_limit *limit, uint64_t now_us)
{
	limit->high_latency_windows = 0;
	if (limit->ratio <= limit->pre_trial_ratio * TRIAL_SUCCESS_RATIO)
		trial_succeeded(limit, now_us);
	else
		trial_failed(limit, now_us);
}

/* Latency that has another cause than concurrency lowers the limit no further
 * than contended_limit_min. */
static void
adjust_contended(struct loom_limit *limit)
{
	double step = CONTENDED_GAIN * (CONTENDED_RATIO - limit->ratio);

	if (step > GROW_STEP)
		step = GROW_STEP;
	if (step < -CONTENDED_STEP_DOWN_MAX)
		step = -CONTENDED_STEP_DOWN_MAX;
	limit->limit += limit->limit * step + step;
	if (step < 0 && limit->limit < limit->contended_limit_min)
		limit->limit = limit->contended_limit_min;
}

/* Between trials: starts a trial when one is due, or else moves the limit by a
 * step. */
static void
adjust(
    struct loom_limit *limit, bool near_limit, bool saturated, uint64_t now_us)
{
	limit->saturated_windows = saturated ? limit->saturated_windows + 1 : 0;
	if (!limit->baseline_known &&
	    limit->saturated_windows >= FIRST_TRIAL_WINDOWS &&
	    now_us >= limit->no_trial_until_us && limit->limit >= 2.0) {
		start_trial(limit);
		return;
	}
	if (limit->ratio > HIGH_RATIO && near_limit) {
		limit->high_latency_windows++;
		if (limit->high_latency_windows >= HIGH_WINDOWS &&
		    limit->limit >= 2.0 && now_us >= limit->no_trial_until_us)
			start_trial(limit);
		return;
	}
	limit->high_latency_windows = 0;
	if (limit->contended && near_limit)
		adjust_contended(limit);
	else if (limit->ratio <= GROW_RATIO && near_limit)
		/* The constant part lets even a limit of 1 grow. */
		limit->limit += limit->limit * GROW_STEP + GROW_STEP;
}

/* Upper bound of the limit at this time: the slots, fewer during a cold start
 * or after a recent hint. */
static double
current_cap(const struct loom_limit *limit, uint64_t now_us)
{
	double cap = limit->settings.slots * limit->settings.max_part;
	double age = 0;
	double share = 1.0;

	/* now_us may precede the start: threads read the clock before they take
	 * the lock. */
	if (now_us > limit->upstream_start_us)
		age = (double)(now_us - limit->upstream_start_us);
	if (age < (double)limit->settings.cold_start_us)
		share = age / (double)limit->settings.cold_start_us;
	if (share < COLD_START_SHARE)
		share = COLD_START_SHARE;
	cap *= share;
	if (limit->last_hint_us != 0 &&
	    now_us < limit->last_hint_us + HINT_LIFETIME_US &&
	    now_us >= limit->last_measured_us + HINT_LIFETIME_US)
		cap *= HINT_SHARE;
	return cap;
}

static uint32_t
current_limit(const struct loom_limit *limit, uint64_t now_us)
{
	double cap = current_cap(limit, now_us);
	double value = limit->limit < cap ? limit->limit : cap;

	return value < 1.0 ? 1 : (uint32_t)(value + 0.5);
}

/*
 * Lowers the limit while the upstream refuses calls.  An upstream that is full
 * refuses fewer calls at a lower limit.  A fault that refuses calls at random
 * does so at any limit: if a quarter of the limit has not reduced the share of
 * refusals, the old limit returns and refusals are ignored for a while.
 * Without that, eight seconds of such a fault reduced the limit to one call,
 * and it took ten seconds to grow again after the fault.  Returns whether
 * refusals determine the limit at present.
 */
static bool
follow_refusals(struct loom_limit *limit,
    const struct loom_limit_window *window, uint64_t now_us)
{
	double share;

	if (now_us < limit->refusals_ignored_until_us || window->overloads == 0)
		return false;
	share = window->overloads / (window->total_calls + window->overloads);
	if (share <= OVERLOAD_SHARE)
		return false;
	if (limit->pre_refusal_limit < limit->limit) {
		limit->pre_refusal_limit = limit->limit;
		limit->initial_refused_share = share;
	}
	limit->limit *= OVERLOAD_FACTOR;
	if (limit->limit > limit->pre_refusal_limit * REFUSED_LIMIT_MIN_SHARE)
		return true;
	if (share <= limit->initial_refused_share * TRIAL_SUCCESS_RATIO) {
		limit->pre_refusal_limit = 0;
		return true;
	}
	limit->limit = limit->pre_refusal_limit;
	limit->pre_refusal_limit = 0;
	limit->refusals_ignored_until_us = now_us + REFUSALS_IGNORED_US;
	return false;
}

static void
end_window(struct loom_limit *limit, uint32_t in_flight, bool saturated,
    uint64_t now_us)
{
	struct loom_limit_window window;
	bool near_limit, light_load, following_refusals;

	loom_limit_window_take(limit, &window);
	following_refusals = follow_refusals(limit, &window, now_us);
	if (window.total_calls == 0)
		return;
	limit->last_measured_us = now_us;
	record_window(limit, &window);
	/* During a cold start the ramp itself keeps the load light. */
	if (limit->phase == LOOM_LIMIT_STEADY &&
	    in_flight * 2 <= limit->settings.slots)
		limit->baseline_known = true;
	near_limit =
	    saturated || in_flight * 4 >= current_limit(limit, now_us) * 3;
	if (limit->phase == LOOM_LIMIT_TRIAL)
		end_trial(limit, now_us);
	else if (limit->phase == LOOM_LIMIT_STEADY && !following_refusals)
		adjust(limit, near_limit, saturated, now_us);
	light_load =
	    !saturated && in_flight * 2 <= current_limit(limit, now_us);
	if (limit->phase == LOOM_LIMIT_STEADY)
		move_baselines(limit, &window, light_load);
	if (limit->limit >= limit->settings.slots) {
		limit->limit = limit->settings.slots;
		limit->contended = false;
	}
	if (limit->limit < limit->settings.slots * limit->settings.min_part)
		limit->limit = limit->settings.slots * limit->settings.min_part;
	if (limit->limit < 1.0)
		limit->limit = 1.0;
}

/* Calls that began at the higher limit say nothing about the halved one.  The
 * window in which they finish is discarded, and those that finish later are
 * ignored by their start time. */
static bool
still_draining(struct loom_limit *limit, uint32_t in_flight, uint64_t now_us)
{
	double age_us = (double)(now_us - limit->window_start_us);

	if (limit->phase != LOOM_LIMIT_TRIAL_DRAIN)
		return false;
	if ((double)in_flight > limit->limit &&
	    age_us < DRAIN_LATENCIES_MAX * limit->mean_latency_us)
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
loom_limit_update(struct loom_limit *limit, uint32_t in_flight, bool saturated,
    uint64_t now_us)
{
	struct loom_limit_window dropped;
	bool drained = false;

	if (!loom_limit_due(limit, now_us))
		return current_limit(limit, now_us);
	if (limit->phase == LOOM_LIMIT_TRIAL_DRAIN) {
		drained = !still_draining(limit, in_flight, now_us);
		if (drained) {
			loom_limit_window_take(limit, &dropped);
			atomic_store_explicit(&limit->min_call_start_us, now_us,
			    memory_order_relaxed);
			open_window(limit, now_us);
		}
		return current_limit(limit, now_us);
	}
	if (loom_limit_window_pending(limit) < WINDOW_CALLS_MIN &&
	    now_us < limit->window_start_us + WINDOW_MAX_US) {
		atomic_store_explicit(&limit->window_end_us, now_us + WINDOW_US,
		    memory_order_relaxed);
		return current_limit(limit, now_us);
	}
	end_window(limit, in_flight, saturated, now_us);
	open_window(limit, now_us);
	return current_limit(limit, now_us);
}
