#ifndef LOOM_GATE_H
#define LOOM_GATE_H

/*
 * Non-blocking counting semaphore for the calls in flight at one upstream.  It
 * keeps the count and the limit in one atomic word.  While there is a free slot
 * and no call waits, a call takes a slot with one compare-and-swap, without a
 * lock or an allocation.  All functions may be called from any thread.
 *
 * While the slow-path flag is set, every call must go through the
 * owner's lock.  The owner, struct loom_admission, sets the flag under that
 * lock while a call waits or a shedding threshold is in force.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#define LOOM_GATE_LIMIT_MAX UINT32_C(0xffffff)

struct loom_gate {
	/* bit 63: slow-path flag, bits 32-55: limit, bits 0-31: in flight */
	atomic_uint_fast64_t word;
};

/* A limit above LOOM_GATE_LIMIT_MAX is reduced to it. */
void loom_gate_init(struct loom_gate *, uint32_t limit);

/* Takes a slot.  Returns false when none is free or the slow-path flag is
 * set. */
bool loom_gate_enter(struct loom_gate *);

/* As loom_gate_enter(), but ignores the slow-path flag.  For the owner, which
 * gives free slots to waiting calls. */
bool loom_gate_enter_watched(struct loom_gate *);

/* Releases a slot.  Returns true when the slow-path flag is set: the caller
 * must then take the owner's lock and dispatch a waiting call, if there is
 * one. */
bool loom_gate_leave(struct loom_gate *);

/* With a limit below the number of calls in flight, no call enters until enough
 * have left. */
void loom_gate_set_limit(struct loom_gate *, uint32_t limit);

/* Sets or clears the slow-path flag. */
void loom_gate_set_watch(struct loom_gate *, bool slow_path);

bool loom_gate_watched(struct loom_gate *);
uint32_t loom_gate_inside(struct loom_gate *);
uint32_t loom_gate_limit(struct loom_gate *);

#endif
