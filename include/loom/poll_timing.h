#ifndef LOOM_POLL_TIMING_H
#define LOOM_POLL_TIMING_H

/*
 * Timing and time-outs of a reader's calls to the platform.
 *
 * Load pattern: hundreds of readers lose the platform at the same moment. Their
 * calls must not exceed its budget, and no reader may still be blocked in a
 * lost call long after the platform is back.
 */

#include <stdint.h>

#include "loom/clock.h"

/*
 * Defaults, in milliseconds. A lost watch must be abandoned well within 11 s,
 * the time in which a change has to be in force everywhere.
 */
#define LOOM_POLL_WAIT_MS 5000
#define LOOM_POLL_ANSWER_TIMEOUT_MS 2000
#define LOOM_POLL_GAP_MS 200
#define LOOM_POLL_BACKOFF_MS 200
#define LOOM_POLL_BACKOFF_MAX_MS 1000

struct loom_poll_timing {
	uint32_t wait_ms; /* for which the platform may hold a watch */
	uint32_t answer_timeout_ms; /* allowed for the answer in addition to
				       wait_ms */
	uint32_t gap_ms; /* between an answer and the next call */
	uint32_t backoff_ms; /* first delay after a failure */
	uint32_t backoff_max_ms; /* longest delay */
};

/* Replaces each 0 by the default. */
struct loom_poll_timing loom_poll_timing_with_defaults(
    const struct loom_poll_timing *);

/*
 * Returns how long the platform may hold the next call. failures counts the
 * failed calls since the last answer.
 */
uint32_t loom_poll_wait_ms(const struct loom_poll_timing *, uint32_t failures);

/* Returns the delay before the next call, in milliseconds. */
uint32_t loom_poll_delay_ms(const struct loom_poll_timing *, uint32_t failures,
    const struct loom_random *);

#endif
