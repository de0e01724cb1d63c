#ifndef LOOM_TEST_PLAYER_H
#define LOOM_TEST_PLAYER_H

/*
 * Simulates load against one struct loom_admission and an upstream with its
 * own slots and queue.  The simulation uses a fake clock with steps of 1 ms.
 * After each step it checks the invariants: no call is admitted above the
 * limit, the queue stays within its bound, and each call gets one verdict.
 *
 * Unless the upstream is fresh, the loads begin after a warm-up of light load,
 * since a daemon has usually been running for longer than a test takes.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/admission.h"

#define SIMULATED_LOADS 4

/* One group of callers with Poisson arrivals while from_ms <= now < until_ms,
 * counted from the end of the warm-up. */
struct simulated_load {
	uint64_t team;
	double per_s;
	uint32_t weight;
	enum loom_importance importance;
	uint32_t from_ms, until_ms;
	uint32_t deadline_ms; /* 0: 1000 */
	uint32_t service_ms; /* 0: the upstream's */
	uint32_t
	    cancel_after_ms; /* cancel a call that waits this long; 0: never */
	uint8_t call_class;
};

struct simulated_upstream {
	uint32_t slots; /* declared */
	uint32_t actual_slots; /* 0: as declared */
	uint32_t queue;
	uint32_t service_ms;
	uint32_t cold_start_ms;
	uint32_t slow_from_ms, slow_until_ms;
	double slow_factor;
	bool reports_full; /* reports in each step that it is full */
	bool fresh; /* no warm-up before the loads begin */
};

struct load_outcome {
	uint32_t offered;
	uint32_t served; /* completed within the deadline */
	uint32_t late; /* completed after the deadline */
	uint64_t
	    duration_sum_us; /* arrival to completion, served and late calls */
	uint32_t refused;
	uint32_t cancelled;
	uint64_t refused_wait_max_us; /* arrival to refusal */
	uint64_t refused_wait_sum_us;
	uint64_t retry_after_min_us, retry_after_max_us;
};

struct simulation_result {
	struct load_outcome loads[SIMULATED_LOADS];
	struct loom_admission_state state; /* at the end */
	uint32_t limit_min, limit_max;
	uint32_t broken; /* number of violated invariants */
};

/* Run the simulation for end_ms after the warm-up and fill in the result.  The
 * same seed gives the same run. */
void simulate_load(const struct simulated_upstream *,
    const struct simulated_load loads[SIMULATED_LOADS], uint32_t end_ms,
    uint32_t seed, struct simulation_result *);

/* Return the share of offered calls that were completed within their deadline,
 * or 1 if none was offered. */
double served_share(const struct load_outcome *);

#endif
