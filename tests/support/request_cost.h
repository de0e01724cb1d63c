#ifndef LOOM_TEST_LEG_H
#define LOOM_TEST_LEG_H

/*
 * Measures what one HTTP request costs a thread of the daemon: as the client of
 * an upstream or peer, and as the server of a caller or peer.
 *
 * The numbers of allocations and instructions are the same in each run.  The
 * CPU time is the user and system time of the measuring thread only.  The
 * measured requests run inside the function counted_run(), so that callgrind
 * can count their instructions.
 */

#include <stddef.h>
#include <stdint.h>

#define REQUEST_CONNECTIONS_MAX 32

/* The length of the request and response bodies, and the number of concurrent
 * connections, each with one request at a time. */
struct request_load {
	const char *name;
	size_t body_bytes; /* 0: GET requests, otherwise POST */
	uint32_t connections;
};

/* Averages per request. */
struct request_cost {
	double cpu_us;
	double allocations;
};

struct request_cost measure_client_requests(
    const struct request_load *, uint32_t rounds);
/* The servers of loom/server.h and loom/peer_server.h. */
struct request_cost measure_server_requests(
    const struct request_load *, uint32_t rounds);
struct request_cost measure_peer_server_requests(
    const struct request_load *, uint32_t rounds);

#endif
