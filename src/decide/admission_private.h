#ifndef LOOM_DECIDE_ADMISSION_PRIVATE_H
#define LOOM_DECIDE_ADMISSION_PRIVATE_H

/*
 * State of admission control, shared by its files: admission.c (admitting,
 * queueing and refusing calls) and admission_load.c (the load that is reported
 * to the entries).
 */

#include <stdatomic.h>

#include "decide/cuts.h"
#include "decide/start_bounds.h"
#include "loom/admission.h"
#include "loom/return_schedule.h"
#include "loom/semaphore.h"
#include "loom/throttle.h"

struct loom_admission {
	struct loom_semaphore semaphore;
	char pad[64]; /* the fast path's semaphore has its own cache line */
	struct loom_limit limit;
	struct start_bounds starts;
	uint32_t
	    start_bound; /* calls per second, as of the last tick; 0: none */
	struct loom_queue *queue;
	struct loom_cuts *cuts;
	struct loom_throttle_control throttle;
	atomic_uint
	    throttle_share_millionths; /* throttle.share, for any thread */
	atomic_bool fast_recovery; /* of the share */
	atomic_uint chain_share_millionths;
	atomic_uint busy_thousandths;
	atomic_uint lag_us;
	atomic_uint used_thousandths; /* of the limit, at the last tick */
	struct loom_return_schedule returns;
	struct loom_admission_settings settings;
	atomic_bool shedding; /* some cut is in force */
	atomic_bool starts_bounded; /* start_bound is set */
	uint64_t last_short_us; /* when the queue was last short */
	uint64_t critical_last_short_us; /* as above, of critical calls */
	bool critical_standing; /* critical calls alone form a standing queue */
	/* When a less important call last found no free slot. */
	uint64_t last_noncritical_us;
	double mean_in_flight; /* smoothed over ticks */
	bool newest_first;
};

/* admission.c: calls that can run at a time, by the limit or by the bound on
 * starts. */
double admission_concurrency(const struct loom_admission *, double limit);

/* admission_load.c; the second needs the lock. */
void admission_init_load(struct loom_admission *, uint64_t now_us);
void admission_tick_load(struct loom_admission *, uint64_t now_us);

#endif
