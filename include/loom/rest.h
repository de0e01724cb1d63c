#ifndef LOOM_REST_H
#define LOOM_REST_H

/*
 * When an event loop that hardly waits has to rest, so that the other threads
 * of its process get their turns on a host with one core.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

/* The length of one rest. */
#define LOOM_REST_US (2 * LOOM_US_PER_MS)

/* Zeroed but for the time of its start. */
struct loom_rest {
	uint64_t since_us; /* the span that is looked at */
	uint64_t waited_us; /* in it */
};

void loom_rest_init(struct loom_rest *, uint64_t now_us);

/* The loop has waited so long, until now.  True when it has to rest now, for
 * LOOM_REST_US; loom_rest_init() is to be called after it. */
bool loom_rest_due(struct loom_rest *, uint64_t waited_us, uint64_t now_us);

#endif
