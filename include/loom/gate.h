#ifndef LOOM_GATE_H
#define LOOM_GATE_H

/*
 * The gate in front of one upstream: how many calls run and how many may, in
 * one atomic word.  When there is room and nobody waits a call enters by one
 * compare-and-swap, without a lock and without memory.  Safe from any thread.
 *
 * The watch flag sends every call the slow way: it is set while somebody
 * waits or a shedding threshold is in force, and only under the lock of the
 * owner (struct loom_admission).
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#define LOOM_GATE_LIMIT_MAX UINT32_C(0xffffff)

struct loom_gate {
	/* bit 63 watch, bits 32-55 limit, bits 0-31 calls inside */
	atomic_uint_fast64_t word;
};

/* limit is cut to LOOM_GATE_LIMIT_MAX. */
void loom_gate_init(struct loom_gate *, uint32_t limit);

/* True when the call is in; false when full or watched. */
bool loom_gate_enter(struct loom_gate *);

/* As loom_gate_enter(), but the watch flag does not keep it out: for the
 * owner, who hands room to those that wait. */
bool loom_gate_enter_watched(struct loom_gate *);

/* A call is out.  True when the gate is watched, so that the owner must look
 * for a call that waits. */
bool loom_gate_leave(struct loom_gate *);

/* A limit below the calls inside lets none in until enough have left. */
void loom_gate_set_limit(struct loom_gate *, uint32_t limit);

void loom_gate_set_watch(struct loom_gate *, bool watch);
bool loom_gate_watched(struct loom_gate *);
uint32_t loom_gate_inside(struct loom_gate *);
uint32_t loom_gate_limit(struct loom_gate *);

#endif
