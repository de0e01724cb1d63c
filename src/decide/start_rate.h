#ifndef LOOM_DECIDE_START_RATE_H
#define LOOM_DECIDE_START_RATE_H

/*
 * Paces the calls that are sent to an upstream which states how many it takes
 * a second.
 *
 * Load pattern: an upstream in need states a small part of what it usually
 * gets, while its service is under full load.  Calls that wait for it must not
 * be sent in a burst, and a rate below one a second must hold as well.
 *
 * Not thread-safe.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

/* Zero-initialized: no rate. */
struct start_rate {
	double per_s; /* 0: no bound */
	double tokens;
	uint64_t updated_us;
};

/* Sets the rate; 0 for none.  A rate that follows none begins without
 * tokens. */
void start_rate_set(struct start_rate *, double per_s, uint64_t now_us);

/* Whether a call may be sent now. */
bool start_rate_may_start(struct start_rate *, uint64_t now_us);

/* Takes a token for a call, and gives back that of one that was not sent. */
void start_rate_take(struct start_rate *);
void start_rate_give_back(struct start_rate *);

#endif
