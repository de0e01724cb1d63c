#ifndef LOOM_RETRY_AFTER_H
#define LOOM_RETRY_AFTER_H

/*
 * How long a refused caller shall wait, where the place that refused has no
 * estimate of its own (a queue, a team's rate, a quarantine have one).
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/result.h"

/* A longer wait is no honest promise about load. */
#define LOOM_RETRY_AFTER_MAX_MS (60 * 60 * 1000)

/* Whether the same request may succeed later, with nothing changed in it. */
bool loom_retry_after_helps(enum loom_result);

/* A wait with its spread; 0 for a code where waiting does not help. */
uint32_t loom_retry_after_ms(enum loom_result, const struct loom_random *);

/* An estimate in milliseconds, rounded up, and cut to the longest wait. */
uint32_t loom_retry_after_ms_of(uint64_t wait_us);

#endif
