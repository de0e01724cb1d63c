#ifndef LOOM_DECIDE_REPEAT_BUDGET_H
#define LOOM_DECIDE_REPEAT_BUDGET_H

/*
 * Bounds the repeated calls that reach the upstream of this host, relative to
 * the first ones.  A first arrival is a call that was sent to no upstream
 * before; all others are repeats, whichever daemon decided on them.  Not
 * thread-safe.
 */

#include <stdbool.h>
#include <stdint.h>

/* A window consists of this many buckets. */
#define LOOM_REPEAT_WINDOW_BUCKETS 50
/* Up to the begin of the window half a window ago, and the current bucket. */
#define LOOM_REPEAT_BUCKETS (LOOM_REPEAT_WINDOW_BUCKETS * 3 / 2 + 1)

struct loom_repeat_budget {
	double ratio;
	uint64_t window_us;
	uint64_t bucket_us;
	uint64_t current; /* number of the current bucket since time 0 */
	uint32_t firsts[LOOM_REPEAT_BUCKETS]; /* by number modulo the size */
	uint32_t repeats[LOOM_REPEAT_BUCKETS];
};

/* ratio: repeats in any window, per first arrival. */
void loom_repeat_budget_init(struct loom_repeat_budget *, double ratio,
    uint64_t window_us, uint64_t now_us);

void loom_repeat_budget_note_first(
    struct loom_repeat_budget *, uint64_t now_us);
void loom_repeat_budget_note_repeat(
    struct loom_repeat_budget *, uint64_t now_us);

/* Repeats that the window which ends now may contain. */
double loom_repeat_budget_limit(struct loom_repeat_budget *, uint64_t now_us);

/* Repeats that may still be made now, at least 0. */
double loom_repeat_budget_left(struct loom_repeat_budget *, uint64_t now_us);

/*
 * Counts a repeat if the budget allows it.  has_priority: the call belongs to
 * a request that was admitted as a whole.  Other calls get none of the last
 * half of the budget.
 */
bool loom_repeat_budget_take(
    struct loom_repeat_budget *, bool has_priority, uint64_t now_us);

/*
 * Whether one repeat more would use up the budget faster than within half a
 * window.
 */
bool loom_repeat_budget_is_ahead(struct loom_repeat_budget *, uint64_t now_us);

/*
 * Whether a call must be refused because it was sent to another upstream
 * before.  False as long as too few calls are known to tell.
 */
bool loom_repeat_budget_is_exhausted(
    struct loom_repeat_budget *, uint64_t now_us);

/*
 * Share of the usual load that can be carried with the repeats that are left,
 * 0 to 1, while the upstream accepts only this share of the calls.
 */
double loom_repeat_budget_share(
    struct loom_repeat_budget *, double acceptance, uint64_t now_us);

#endif
