#ifndef LOOM_RETRY_AFTER_H
#define LOOM_RETRY_AFTER_H

/*
 * Determines how long a refused caller shall wait if the component that refused
 * it has no estimate of its own (queues, team rates and quarantines have one).
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/result.h"

/* A longer wait would not be a reliable statement about load. */
#define LOOM_RETRY_AFTER_MAX_MS (60 * 60 * 1000)

/* Whether the same request may succeed later without being changed. */
bool loom_retry_after_helps(enum loom_result);

/*
 * Returns a random wait from the code's range; 0 for a code where waiting does
 * not help.
 */
uint32_t loom_retry_after_ms(enum loom_result, const struct loom_random *);

/*
 * Converts an estimate to milliseconds, rounded up and limited to
 * LOOM_RETRY_AFTER_MAX_MS.
 */
uint32_t loom_retry_after_from_us(uint64_t wait_us);

#endif
