#ifndef LOOM_COLD_START_H
#define LOOM_COLD_START_H

/*
 * Bounds the calls that are sent to a cold upstream in any window of a second.
 *
 * An upstream that has just started takes few calls per second, whatever its
 * slots, and crashes above that.  After a crash it is cold again, so a fleet
 * that sends too much keeps it down for good.
 *
 * A call passes three points: it is reserved when admission lets it start,
 * counted when its first byte is sent, or cancelled if it ends unsent.
 * Reserved calls count as well, since their connections may all be established
 * at the same moment.
 *
 * loom_cold_start_reserve(), _sent() and _cancel() may be called from any
 * thread without a lock.  All other functions need the owner's lock; while a
 * bound is in force, _reserve() and _sent() need it too.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

/* A higher bound is cut to this. */
#define LOOM_COLD_STARTS_MAX 4096

struct loom_cold_start {
	uint32_t starts_max; /* in a second while cold; 0: no bound */
	uint64_t cold_until_us; /* 0: not cold since the start */
	atomic_uint reserved; /* calls that may start and are not sent yet */
	atomic_uint_fast32_t nsent; /* index of the next entry of sent_us */
	atomic_uint_fast64_t sent_us[LOOM_COLD_STARTS_MAX]; /* ring */
};

/*
 * Initializes the bound of a daemon that started at now_us.  It does not know
 * what a previous daemon sent in the second before, so the window counts as
 * used up.
 */
void loom_cold_start_init(struct loom_cold_start *, uint64_t now_us);

/* Sets the bound; the calls that were sent still count. */
void loom_cold_start_set_bound(struct loom_cold_start *, uint32_t starts_max);

/*
 * Sets the time at which the upstream will be warm.  0: it is warm, and what
 * was believed before was wrong.
 */
void loom_cold_start_set_until(struct loom_cold_start *, uint64_t until_us);

/*
 * Returns the number of calls that may be sent in a second, 0 for no bound.
 * After the end of the cold start the bound doubles in short intervals, so that
 * the load of all that waits does not arrive at once.
 */
uint32_t loom_cold_start_bound(const struct loom_cold_start *, uint64_t now_us);

/* Returns whether another call may be reserved. */
bool loom_cold_start_may_start(const struct loom_cold_start *, uint64_t now_us);

/* Returns the calls that count for the window that ends at now_us. */
uint32_t loom_cold_start_used(const struct loom_cold_start *, uint64_t now_us);

void loom_cold_start_reserve(struct loom_cold_start *);
void loom_cold_start_sent(struct loom_cold_start *, uint64_t now_us);
void loom_cold_start_cancel(struct loom_cold_start *);

#endif
