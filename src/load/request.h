#ifndef LOOM_LOAD_REQUEST_H
#define LOOM_LOAD_REQUEST_H

/*
 * A request of a caller with all its attempts, from its arrival to the end of
 * the last attempt.
 */

#include <talloc.h>
#include <tevent.h>

#include "load/results.h"
#include "loom/fetch.h"
#include "loom/timer.h"

/* State shared by all requests of a run; used by one thread. */
struct load_client {
	const struct load_settings *settings; /* borrowed */
	struct tevent_context *ev; /* owned (talloc) */
	struct loom_timers *timers; /* owned (talloc) */
	struct loom_fetcher *fetcher; /* owned (talloc) */
	struct load_results *results; /* borrowed */
	GRand *rand; /* owned: selects entries */
	uint64_t start_us;
	uint64_t last_number;
	uint32_t in_flight; /* requests that have not ended */
	char id_prefix[24]; /* unique to the run */
};

/* Starts a request, which frees itself when it ends.  arrived_us counts from
 * the start of the run; it lies in the past if the tool is behind schedule. */
void load_request_start(struct load_client *, uint32_t team,
    const struct load_route *, uint64_t arrived_us);

#endif
