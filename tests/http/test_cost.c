/*
 * The number of memory allocations per request.
 */

#include "support/allocations.h"
#include "support/request_cost.h"
#include "support/test.h"

#define ROUNDS 200

/* Per request, in the client or in a server. */
#define ALLOCATIONS_MAX 21

struct side {
	const char *name;
	struct request_cost (*measure)(
	    const struct request_load *, uint32_t rounds);
};

/*
 * Guards against high overhead per call.  A daemon that shares a core with a
 * busy service would spend its processor time on that overhead, and calls would
 * wait although slots are free.
 */
static void
test_allocations_bounded(void)
{
	static const struct side sides[] = {
		{ "client", measure_client_requests },
		{ "server", measure_server_requests },
		{ "peer server", measure_peer_server_requests },
	};
	static const struct request_load loads[] = {
		{ "empty bodies", 0, 1 },
		{ "1 KB", 1024, 1 },
		{ "64 KB", 64 * 1024, 1 },
		{ "concurrent", 1024, 8 },
	};
	struct request_cost cost;
	size_t i, j;

	if (!test_counts_allocations())
		return;
	for (i = 0; i < G_N_ELEMENTS(sides); i++) {
		for (j = 0; j < G_N_ELEMENTS(loads); j++) {
			cost = sides[i].measure(&loads[j], ROUNDS);
			TEST_CHECK(cost.allocations <= ALLOCATIONS_MAX,
			    "%s, %s: %.1f allocations per request",
			    sides[i].name, loads[j].name, cost.allocations);
		}
	}
}

static const struct test_case tests[] = {
	{ "allocations per request", test_allocations_bounded },
};

TEST_MAIN("cost", tests)
