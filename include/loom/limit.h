#ifndef LOOM_LIMIT_H
#define LOOM_LIMIT_H

/*
 * How many calls one upstream may run at once.  The limit follows measured
 * latency against its own floor, below the declared slots.  Whether a rise of
 * latency comes of too many calls is found out by trial: the limit is halved
 * for a moment, and only if latency falls with it is the cut kept.
 *
 * loom_limit_sample() may be called from any thread without a lock.  All else
 * needs the owner's lock.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Calls of one class cost about the same: a route's index modulo this. */
#define LOOM_CALL_CLASSES 16

struct loom_limit_settings {
	uint32_t slots; /* declared in the manifest; at least 1 */
	uint64_t cold_start_us; /* ramp of a new upstream; 0 for none */
	/* The limit falls no lower than this part of the slots, where they are
	 * the upstream's own word.  0: as low as is measured. */
	double min_part;
	/*
	 * The most of the slots that run at once; 0 for all.  An upstream that
	 * slows down when nearly full serves more with the last few slots left
	 * free, and its latency there (a third more) is too little for a trial.
	 */
	double max_part;
};

/* What one class of calls took since the last window ended. */
struct loom_class_samples {
	atomic_uint_fast64_t own_us; /* sum, without deeper calls */
	atomic_uint_fast64_t whole_us; /* sum, deeper calls included */
	atomic_uint_fast32_t count;
};

enum loom_limit_phase {
	LOOM_LIMIT_STEADY,
	LOOM_LIMIT_TRIAL_DRAIN, /* halved; calls from before still end */
	LOOM_LIMIT_TRIAL, /* halved; measuring */
};

struct loom_limit {
	struct loom_limit_settings settings;
	struct loom_class_samples samples[LOOM_CALL_CLASSES];
	atomic_uint_fast32_t overloads; /* the upstream's own refusals */
	atomic_uint_fast64_t window_end_us;
	atomic_uint_fast64_t since_us; /* calls begun before do not count */
	uint64_t window_start_us;
	double floor_us[LOOM_CALL_CLASSES]; /* own time; 0 for none yet */
	double whole_us[LOOM_CALL_CLASSES]; /* smoothed, for estimates */
	double occupancy_us; /* whole time over all classes, smoothed */
	double ratio; /* own time to floor in the last window */
	double limit;
	enum loom_limit_phase phase;
	bool floor_known; /* measured with few calls inside, or tested */
	uint32_t high_windows; /* in a row */
	uint32_t watched_windows; /* in a row */
	bool trial_repeated; /* the one before it helped */
	bool crowded; /* the last trial has helped */
	double crowded_min; /* no lower without another trial */
	double trial_ratio; /* before the trial */
	double trial_limit; /* before the trial */
	double refused_limit; /* before the upstream's refusals; 0: none */
	double refused_share; /* of them when they began */
	uint64_t refusals_ignored_until_us;
	uint64_t no_trial_until_us;
	uint64_t trial_pause_us;
	uint64_t start_us;
	uint64_t measured_us; /* end of the last window with calls */
	uint64_t hint_us; /* when the upstream last said it was full */
};

/* The upstream is new at now_us. */
void loom_limit_init(
    struct loom_limit *, const struct loom_limit_settings *, uint64_t now_us);

/* The manifest changed; what was measured is kept. */
void loom_limit_set_slots(struct loom_limit *, uint32_t slots);

/* A call of this class ended at now_us; own_us is whole_us without the time
 * spent on deeper services.  Any thread. */
void loom_limit_sample(struct loom_limit *, uint8_t call_class, uint64_t own_us,
    uint64_t whole_us, uint64_t now_us);

/* The upstream refused a call for its own overload.  Any thread. */
void loom_limit_overload(struct loom_limit *);

/* True when a window may have ended and loom_limit_update() is due.  Any
 * thread. */
bool loom_limit_due(struct loom_limit *, uint64_t now_us);

/* End the window if it is over and return the limit that holds now.  inside
 * is how many calls run, watched whether calls wait or were turned away. */
uint32_t loom_limit_update(
    struct loom_limit *, uint32_t inside, bool watched, uint64_t now_us);

/* The upstream's own report says that it is full.  A hint: it holds only
 * while nothing has been measured lately, and never raises the limit. */
void loom_limit_hint_full(struct loom_limit *, uint64_t now_us);

/* What a call of this class takes, deeper calls included, in microseconds;
 * 0 when unknown. */
double loom_limit_service_us(const struct loom_limit *, uint8_t call_class);

/* Calls that end in a second when the limit is used up. */
double loom_limit_drain_per_s(const struct loom_limit *);

#endif
