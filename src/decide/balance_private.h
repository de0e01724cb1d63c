#ifndef LOOM_DECIDE_BALANCE_PRIVATE_H
#define LOOM_DECIDE_BALANCE_PRIVATE_H

/*
 * State of load balancing, shared by the choice by latency (balance.c) and the
 * choice by work (balance_work.c).
 */

#include "decide/host_work.h"
#include "loom/balance.h"

/*
 * When near targets have this utilization, or this many times the mean latency,
 * the factor of far targets is at most FAR_COST_BUSY_MAX. With a smaller
 * factor, the calls of all data centres would gather at a target that a
 * partition or a fault has made slow for some of them.
 */
#define NEAR_FULL_UTILIZATION 0.7
#define NEAR_SLOW_RATIO 2.0
#define FAR_COST_BUSY_MAX 2.5

/* From this utilization on, a target scores 20 times as much as an idle one. */
#define SCORED_UTILIZATION_MAX 0.95

/* In mean latencies, so that work that takes long by nature is tolerated. */
#define UNRESPONSIVE_LATENCIES 4.0

struct target {
	struct loom_balance_host host;
	uint32_t start_bound; /* calls a second; until start_bound_until_us */
	uint64_t start_bound_until_us;
	uint64_t left_until_us; /* gets no calls: its upstream leaves */
	double stated_rate; /* of its upstream, in calls a second; 0: none */
	uint64_t draining_until_us;
	uint32_t in_flight;
	uint32_t consecutive_failures;
	uint32_t ejection_count; /* since its last success */
	uint64_t ejected_until_us;
	uint64_t cold_start_end_us;
	double latency_us;
	double refusal_rate; /* moving average, 0 to 1 */
	double utilization; /* as last reported by the target */
	uint64_t utilization_at_us;
	uint64_t last_result_us; /* last end of a call, without cancellations */
	uint64_t unanswered_since_us; /* 0 if no answer is outstanding */
	uint64_t last_end_us; /* last end of a call, however it ended */
	uint64_t last_probe_us; /* when a probe was last started or finished */
	bool probe_in_flight;
	struct host_work work;
	/* of the call that is placed by work */
	double finish_us; /* expected time until it is finished */
	double score;
};

struct loom_balance {
	struct loom_random random;
	uint64_t cold_start_us;
	double far_cost; /* factor for the score of a far target */
	struct target *targets; /* owned */
	struct target **eligible; /* owned scratch array, near targets first */
	uint32_t ntargets;
	struct route_costs costs;
};

struct target *balance_find(const struct loom_balance *, uint64_t host_id);
bool balance_accepts_calls(const struct target *, uint64_t now_us);
bool balance_ejected(const struct target *, uint64_t now_us);

/* Mean latency of the targets that have samples. */
double balance_mean_latency_us(const struct loom_balance *);

/* How long a target has left calls unanswered. */
double balance_unresponsive_us(const struct target *, uint64_t now_us);

/* Weight of the reported utilization, which decreases with its age. */
double balance_utilization_weight(const struct target *, uint64_t now_us);

/* Factor of a target's score for refusals, a cold start and distance. */
double balance_penalty(const struct loom_balance *, const struct target *,
    double far_cost, uint64_t now_us);

/*
 * Collects the targets that may get a call in balance->eligible, near ones
 * first; *nnear receives their number.  Returns the number of all.
 */
uint32_t balance_collect(struct loom_balance *, const uint64_t *tried,
    uint32_t ntried, uint64_t now_us, double mean_us, uint32_t *nnear);

/* Returns the better of two of the n eligible targets, by latency and calls in
 * flight. */
uint64_t balance_pick_by_latency(struct loom_balance *, uint32_t n,
    uint32_t nnear, double mean_us, uint64_t now_us);

#endif
