#ifndef LOOM_TEST_PLAYER_H
#define LOOM_TEST_PLAYER_H

/*
 * Plays loads against one struct loom_admission on a fake clock, in steps of
 * a millisecond, with an upstream that has its own slots and queue.  After
 * each step it checks what must always hold: calls inside are never let in
 * above the limit, the queue keeps its bound, each call gets one verdict.
 *
 * Before the loads begin the upstream is lightly used for a while, as it is
 * when a daemon has run for longer than the test, unless it is fresh.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/admission.h"

#define PLAY_LOADS 4

/* Callers of one kind: Poisson arrivals while from_ms <= now < until_ms. */
struct play_load {
	uint64_t team;
	double per_s;
	uint32_t weight;
	enum loom_importance importance;
	uint32_t from_ms, until_ms;
	uint32_t deadline_ms; /* 0: 1000 */
	uint32_t service_ms; /* 0: that of the upstream */
	uint32_t gives_up_ms; /* cancels while it waits; 0: never */
	uint8_t call_class;
};

struct play_upstream {
	uint32_t slots; /* declared */
	uint32_t real_slots; /* 0: as declared */
	uint32_t queue;
	uint32_t service_ms;
	uint32_t cold_start_ms;
	uint32_t slow_from_ms, slow_until_ms;
	double slow_factor;
	bool says_full; /* its report, all the time */
	bool fresh; /* no calls at ease before the loads begin */
};

struct play_outcome {
	uint32_t offered;
	uint32_t served; /* in time */
	uint32_t late; /* run, but not in time */
	uint64_t took_sum_us; /* of those that ran */
	uint32_t refused;
	uint32_t cancelled;
	uint64_t refused_wait_max_us; /* until its refusal */
	uint64_t refused_wait_sum_us;
	uint64_t retry_after_min_us, retry_after_max_us;
};

struct play_result {
	struct play_outcome loads[PLAY_LOADS];
	struct loom_admission_state state; /* at the end */
	uint32_t limit_min, limit_max;
	uint32_t broken; /* invariants that did not hold */
};

void play(const struct play_upstream *,
    const struct play_load loads[PLAY_LOADS], uint32_t end_ms, uint32_t seed,
    struct play_result *);

/* Share of the offered calls that were served in time; 1 for none offered. */
double play_served(const struct play_outcome *);

#endif
