#ifndef LOOM_LIMIT_H
#define LOOM_LIMIT_H

/*
 * Adaptive limit on the calls in flight at one upstream, at most the declared
 * slots.  It compares measured latency with a baseline for each class of calls.
 * High latency alone does not show that too many calls run, so a trial finds
 * out: it halves the limit for one window and keeps the reduction only if
 * latency falls with it.
 *
 * loom_limit_sample(), loom_limit_overload() and loom_limit_due() may be called
 * from any thread without a lock.  All other functions need the owner's lock.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Calls are classified by route index modulo this; calls of one class are taken
 * to cost about the same. */
#define LOOM_CALL_CLASSES 16

struct loom_limit_settings {
	uint32_t slots; /* declared in the manifest; at least 1 */
	uint64_t
	    cold_start_us; /* duration of the ramp of a new upstream; 0: none */
	/* Lower bound of the limit as a fraction of the slots, for slots that
	 * the upstream itself has declared.  0: no lower bound. */
	double min_part;
	/*
	 * Upper bound of the limit as a fraction of the slots; 0: all slots.
	 * An upstream that slows down when nearly full has a higher throughput
	 * with the last few slots left free.  Its latency there is only a third
	 * higher, too little to start a trial.
	 */
	double max_part;
};

/* Samples of one class of calls since the last window ended. */
struct loom_class_samples {
	atomic_uint_fast64_t self_us; /* sum, without nested calls */
	atomic_uint_fast64_t total_us; /* sum, with nested calls */
	atomic_uint_fast32_t count;
};

enum loom_limit_phase {
	LOOM_LIMIT_STEADY,
	LOOM_LIMIT_TRIAL_DRAIN, /* limit halved; earlier calls are still
				   finishing */
	LOOM_LIMIT_TRIAL, /* limit halved; measuring */
};

struct loom_limit {
	struct loom_limit_settings settings;
	struct loom_class_samples samples[LOOM_CALL_CLASSES];
	atomic_uint_fast32_t overloads; /* calls that the upstream refused */
	atomic_uint_fast64_t window_end_us;
	atomic_uint_fast64_t
	    min_call_start_us; /* calls that began earlier are ignored */
	uint64_t window_start_us;
	double baseline_us[LOOM_CALL_CLASSES]; /* from self time; 0: none yet */
	double total_us[LOOM_CALL_CLASSES]; /* smoothed, for estimates */
	double mean_latency_us; /* smoothed total time over all classes */
	double ratio; /* self time to baseline, last window */
	double limit;
	enum loom_limit_phase phase;
	bool baseline_known; /* measured under light load or confirmed by a
				trial */
	uint32_t high_latency_windows; /* consecutive */
	uint32_t saturated_windows; /* consecutive */
	bool trial_is_repeat; /* the previous trial succeeded */
	bool contended; /* the last trial showed contention between calls */
	double contended_limit_min; /* lower bound until another trial */
	double pre_trial_ratio; /* latency ratio before the trial */
	double pre_trial_limit; /* limit before the trial */
	double pre_refusal_limit; /* limit before the upstream began to refuse;
				     0: it does not */
	double
	    initial_refused_share; /* share of refused calls when they began */
	uint64_t refusals_ignored_until_us;
	uint64_t no_trial_until_us;
	uint64_t trial_pause_us;
	uint64_t upstream_start_us;
	uint64_t last_measured_us; /* end of the last window with samples */
	uint64_t
	    last_hint_us; /* when the upstream last reported that it is full */
};

/* Initializes the limit for an upstream that started at now_us. */
void loom_limit_init(
    struct loom_limit *, const struct loom_limit_settings *, uint64_t now_us);

/* Sets the declared slots of a new manifest; keeps all measurements. */
void loom_limit_set_slots(struct loom_limit *, uint32_t slots);

/* Adds the sample of a call that ended at now_us. self_us is total_us without
 * the time spent in nested calls.  Any thread. */
void loom_limit_sample(struct loom_limit *, uint8_t call_class,
    uint64_t self_us, uint64_t total_us, uint64_t now_us);

/* Counts a call that the upstream refused because of overload.  Any thread. */
void loom_limit_overload(struct loom_limit *);

/* Returns true when the window may have ended, so that loom_limit_update()
 * should be called.  Any thread. */
bool loom_limit_due(struct loom_limit *, uint64_t now_us);

/* Ends the window if it is over, and returns the current limit. in_flight is
 * the number of running calls; saturated tells whether calls wait or were
 * refused. */
uint32_t loom_limit_update(
    struct loom_limit *, uint32_t in_flight, bool saturated, uint64_t now_us);

/* The upstream reported that it is full.  This hint lowers the limit only while
 * there are no recent samples, and never raises it. */
void loom_limit_hint_full(struct loom_limit *, uint64_t now_us);

/* Expected time of a call of this class in microseconds, nested calls included;
 * 0 when unknown. */
double loom_limit_service_us(const struct loom_limit *, uint8_t call_class);

/* Calls that end per second while the limit is fully used. */
double loom_limit_drain_per_s(const struct loom_limit *);

#endif
