#ifndef LOOM_LOAD_REQUEST_H
#define LOOM_LOAD_REQUEST_H

/*
 * One request of a caller, from its arrival to its last answer, with all its
 * attempts.
 */

#include <talloc.h>
#include <tevent.h>

#include "load/results.h"
#include "loom/fetch.h"

/* What all requests of a run share; one thread. */
struct load_client {
	const struct load_settings *settings; /* borrowed */
	struct tevent_context *ev; /* borrowed */
	struct loom_fetcher *fetcher; /* owned (talloc) */
	struct load_results *results; /* borrowed */
	GRand *rand; /* owned: which entry */
	uint64_t start_us;
	uint64_t last_number;
	uint32_t open; /* requests under way */
	char tag[24]; /* what ids of this run begin with */
};

/* A request arrives; arrived_us is since the start and may lie in the past
 * when the tool itself is late.  It owns itself. */
void load_request_start(struct load_client *, uint32_t team,
    const struct load_route *, uint64_t arrived_us);

#endif
