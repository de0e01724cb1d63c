/*
 * What one HTTP request costs a daemon's thread as client and as server
 * (support/request_cost.h), for bodies of several sizes.
 *
 * usage: bench_leg [kind]
 *	With a kind ("client", "server" or "peers") it only serves COUNTED
 *requests without bodies inside counted_run(), for tools/count-instructions.
 */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/request_cost.h"

#define COUNTED 1000
#define ROUNDS 10000

static const struct request_load loads[] = {
	{ "0 B", 0, 1 },
	{ "1 KB", 1024, 1 },
	{ "64 KB", 64 * 1024, 1 },
	{ "1 KB, 32 at once", 1024, REQUEST_CONNECTIONS_MAX },
};

struct side {
	const char *name;
	struct request_cost (*measure)(
	    const struct request_load *, uint32_t rounds);
};

static const struct side sides[] = {
	{ "client", measure_client_requests },
	{ "server", measure_server_requests },
	{ "peers", measure_peer_server_requests },
};

static int
count(const char *kind)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sides); i++) {
		if (strcmp(sides[i].name, kind) == 0) {
			sides[i].measure(&loads[0], COUNTED);
			return EXIT_SUCCESS;
		}
	}
	fprintf(stderr, "no kind '%s'\n", kind);
	return EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct request_cost cost;
	size_t i, j;

	if (argc > 1)
		return count(argv[1]);
	printf(
	    "%-8s %-18s %8s %12s\n", "side", "bodies", "cpu us", "allocations");
	for (i = 0; i < G_N_ELEMENTS(sides); i++) {
		for (j = 0; j < G_N_ELEMENTS(loads); j++) {
			cost = sides[i].measure(&loads[j], ROUNDS);
			printf("%-8s %-18s %8.1f %12.1f\n", sides[i].name,
			    loads[j].name, cost.cpu_us, cost.allocations);
		}
	}
	return EXIT_SUCCESS;
}
