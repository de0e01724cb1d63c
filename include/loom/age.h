#ifndef LOOM_AGE_H
#define LOOM_AGE_H

/*
 * How old the knowledge of a daemon is: the moment, by its own clock, up to
 * which it holds all that the platform had acknowledged.  The moment never
 * moves back, and is never later than the truth: messages that are late,
 * processes that are stopped and clocks that run at other speeds only make
 * knowledge look older than it is.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

struct loom_age {
	uint64_t held_us; /* 0: nothing yet */
};

/*
 * All is held that the platform had acknowledged at this moment: that at which
 * a call to it was begun whose answer is held, or that which the word of a peer
 * proves whose values are held.
 */
void loom_age_hold(struct loom_age *, uint64_t as_of_us);

/* The moment that a peer's word proves: asked_us is when it was asked, by the
 * own clock, told_us the age that it answered with.  0 for none. */
uint64_t loom_age_proof(uint64_t asked_us, uint64_t peer_age_us);

/* UINT64_MAX when nothing is held. */
uint64_t loom_age_us(const struct loom_age *, uint64_t now_us);

/*
 * The times by which daemons keep within a bound, all parts of it.  A reader
 * whose watch is lost, or a daemon whose reader is gone, must have read anew
 * before the bound is over.
 */
struct loom_age_plan {
	uint64_t wait_us; /* a reader's watch at the platform */
	uint64_t answer_us; /* for its answer besides */
	uint64_t beat_us; /* between two questions to a peer */
	uint64_t elsewhere_us; /* at this age others are asked as well */
	uint64_t self_us; /* and at this one the platform itself */
};

struct loom_age_plan loom_age_plan(uint64_t within_us);

/* Who reads the platform for want of a peer that knows more. */
struct loom_age_reader {
	uint32_t rank; /* in the data centre */
	uint32_t readers; /* ranks below it watch */
	uint32_t hosts; /* of the data centre */
	bool alone; /* no peer has answered lately */
};

/* How long after self_us it reads, and again if that failed: one after
 * another, at a pace that the size of the data centre does not raise. */
uint64_t loom_age_read_delay_us(const struct loom_age_reader *,
    const struct loom_age_plan *, const struct loom_random *);

#endif
