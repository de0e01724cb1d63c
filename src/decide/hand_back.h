#ifndef LOOM_DECIDE_HAND_BACK_H
#define LOOM_DECIDE_HAND_BACK_H

/*
 * Whether an executor hands a call back to its entry, which then sends it to
 * another host: the call would wait here, and is expected to be finished there
 * clearly sooner.
 *
 * An entry sends one upstream a call or two a second, so what it knows of the
 * upstream is about as old as the spells for which machines are slow.  The
 * executor knows its own side exactly, at the moment that the call arrives.
 */

#include <stdbool.h>
#include <stdint.h>

/* Zero-initialized. */
struct hand_back {
	double advantage; /* smoothed: time gained elsewhere, in margins */
	double credit; /* calls that may be handed back now */
	bool active;
};

struct hand_back_facts {
	uint64_t wait_us; /* expected until the call gets a slot here */
	uint64_t run_us; /* expected from then on */
	uint64_t else_us; /* until it is finished elsewhere, by its entry */
	uint64_t remaining_us; /* until its deadline */
};

/* Decides on a call that may be handed back, and counts it. */
bool hand_back_decide(struct hand_back *, const struct hand_back_facts *);

#endif
