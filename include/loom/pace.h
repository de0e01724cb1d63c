#ifndef LOOM_PACE_H
#define LOOM_PACE_H

/*
 * When a reader calls the platform, and how patient the call is.
 *
 * Load that this answers: hundreds of readers that lose the platform in the
 * same moment.  Their calls must not outrun its budget, and none may still be
 * occupied with a lost call when the platform is long back.
 */

#include <stdint.h>

#include "loom/clock.h"

/* Defaults, in milliseconds.  A change is in force everywhere within 11 s, so
 * a watch that is lost must be given up well before. */
#define LOOM_PACE_WAIT_MS 5000
#define LOOM_PACE_ANSWER_MS 2000
#define LOOM_PACE_GAP_MS 200
#define LOOM_PACE_BACKOFF_MS 200
#define LOOM_PACE_BACKOFF_MAX_MS 1000

struct loom_pace {
	uint32_t wait_ms; /* the platform may hold a watch so long */
	uint32_t answer_ms; /* for an answer besides */
	uint32_t gap_ms; /* between an answer and the next call */
	uint32_t backoff_ms; /* first delay after a failure */
	uint32_t backoff_max_ms; /* last delay */
};

/* Each 0 replaced by the default. */
struct loom_pace loom_pace_with_defaults(const struct loom_pace *);

/* How long the platform may hold the next call; failures are those since the
 * last answer. */
uint32_t loom_pace_wait_ms(const struct loom_pace *, uint32_t failures);

/* The delay before the next call, in milliseconds. */
uint32_t loom_pace_delay_ms(
    const struct loom_pace *, uint32_t failures, const struct loom_random *);

#endif
