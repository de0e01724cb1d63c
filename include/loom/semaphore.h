#ifndef LOOM_SEMAPHORE_H
#define LOOM_SEMAPHORE_H

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

#define LOOM_SEMAPHORE_LIMIT_MAX UINT32_C(0xffffff)

struct loom_semaphore {
	/* bit 63: slow-path flag, bits 32-55: limit, bits 0-31: in flight */
	atomic_uint_fast64_t word;
};

/* A limit above LOOM_SEMAPHORE_LIMIT_MAX is reduced to it. */
void loom_semaphore_init(struct loom_semaphore *, uint32_t limit);

/* Takes a slot.  Returns false when none is free or the slow-path flag is
 * set. */
bool loom_semaphore_try_acquire(struct loom_semaphore *);

/* As loom_semaphore_try_acquire(), but ignores the slow-path flag.  For the
 * owner, which gives free slots to waiting calls. */
bool loom_semaphore_try_acquire_slow_path(struct loom_semaphore *);

/* Releases a slot.  Returns true when the slow-path flag is set: the caller
 * must then take the owner's lock and dispatch a waiting call, if there is
 * one. */
bool loom_semaphore_release(struct loom_semaphore *);

/* With a limit below the number of calls in flight, no call enters until enough
 * have left. */
void loom_semaphore_set_limit(struct loom_semaphore *, uint32_t limit);

/* Sets or clears the slow-path flag. */
void loom_semaphore_set_slow_path(struct loom_semaphore *, bool slow_path);

bool loom_semaphore_is_slow_path(struct loom_semaphore *);
uint32_t loom_semaphore_in_flight(struct loom_semaphore *);
uint32_t loom_semaphore_limit(struct loom_semaphore *);

#endif
