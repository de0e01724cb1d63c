#ifndef LOOM_LOOP_PAUSE_H
#define LOOM_LOOP_PAUSE_H

/*
 * Decides when an event loop that hardly ever waits has to pause, so that the
 * other threads of its process get to run on a host with one core.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

/* Duration of one pause. */
#define LOOM_LOOP_PAUSE_US (2 * LOOM_US_PER_MS)

/* Zeroed except for the start time. */
struct loom_loop_pause {
	uint64_t window_start_us; /* start of the observed window */
	uint64_t waited_us; /* time waited in it */
};

void loom_loop_pause_init(struct loom_loop_pause *, uint64_t now_us);

/*
 * Records that the loop waited for waited_us until now_us. Returns true if it
 * has to pause now for LOOM_LOOP_PAUSE_US; loom_loop_pause_init() has to be
 * called after the pause.
 */
bool loom_loop_pause_due(
    struct loom_loop_pause *, uint64_t waited_us, uint64_t now_us);

#endif
