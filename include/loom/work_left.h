#ifndef LOOM_WORK_LEFT_H
#define LOOM_WORK_LEFT_H

/*
 * The work that one upstream still has to do: what is expected to remain of the
 * calls that run there and of those that wait for it.  It is kept at the
 * executor, through which all calls of the upstream pass.  Not thread-safe.
 *
 * Costs are learned at the upstream's usual pace.  The pace of the moment, as
 * the upstream reports it, scales the part of a call that the upstream works on
 * itself; see loom/load_report.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/load_report.h"
#include "loom/manifest.h"
#include "loom/work_cost.h"

/* A reported pace is taken as at least and at most this, so that a wrong one
 * changes no estimate by more than these factors. */
#define LOOM_WORK_PACE_MIN 0.25
#define LOOM_WORK_PACE_MAX 4.0

struct loom_work_left;

enum loom_work_stage {
	LOOM_WORK_NONE,
	LOOM_WORK_WAITING,
	LOOM_WORK_RUNNING,
};

/*
 * One call at the upstream.  The caller owns the memory, zeroes it first, and
 * ends the item with loom_work_left_end() before it frees it.  All fields are
 * private.
 */
struct loom_work_item {
	struct loom_work_item *next, **link;
	uint64_t class_id;
	uint64_t started_us;
	double left_us; /* its part of the sums */
	double started_pace;
	enum loom_importance importance;
	enum loom_work_stage stage;
};

struct loom_work_left_state {
	uint32_t running;
	uint32_t waiting;
	uint32_t others; /* calls that the upstream reports beyond these */
	double pace; /* time that work takes, relative to the usual */
};

/* Owned by ctx; costs is borrowed and must stay valid. */
struct loom_work_left *loom_work_left_new(
    void *ctx, const struct loom_work_costs *costs);

/* The call waits for a slot. */
void loom_work_left_wait(struct loom_work_left *, struct loom_work_item *,
    uint64_t class_id, enum loom_importance importance);

/* The call has a slot now, whether it has waited or not. */
void loom_work_left_run(struct loom_work_left *, struct loom_work_item *,
    uint64_t class_id, enum loom_importance importance, uint64_t now_us);

/* The call has left, from whatever stage; no effect if it has already. */
void loom_work_left_end(struct loom_work_left *, struct loom_work_item *);

/*
 * The upstream's answer to one call, which has not ended yet, carried this
 * report.  A pace of 0 is ignored.
 */
void loom_work_left_report(
    struct loom_work_left *, const struct loom_load_report *, uint64_t now_us);

/* Returns the time that work takes now, relative to the usual time: the
 * reported one, which falls back to its mean within some hundred
 * milliseconds. */
double loom_work_left_pace(const struct loom_work_left *, uint64_t now_us);

/*
 * Returns what a running call that has used its slot for slot_us, own_us of
 * that without calls of its own, would have used of it for itself at the usual
 * pace.  To be called before the item ends.
 */
uint64_t loom_work_left_usual_us(const struct loom_work_left *,
    const struct loom_work_item *, uint64_t own_us, uint64_t now_us);

/* Returns the expected time that a call of the class holds a slot if it starts
 * now. */
uint64_t loom_work_left_run_us(
    const struct loom_work_left *, uint64_t class_id, uint64_t now_us);

/*
 * Returns the expected time until a call of this importance that comes now gets
 * a slot, where limit calls may run at once; 0 while a slot is free.
 */
uint64_t loom_work_left_wait_us(struct loom_work_left *,
    enum loom_importance importance, uint32_t limit, uint64_t now_us);

void loom_work_left_state(const struct loom_work_left *, uint64_t now_us,
    struct loom_work_left_state *);

#endif
