#ifndef LOOM_TEST_LEG_H
#define LOOM_TEST_LEG_H

/*
 * What one HTTP request costs a daemon's thread, by side: as client of an
 * upstream or peer, and as server of a caller or peer.
 *
 * Allocations and instructions repeat from run to run; the processor time is
 * of the measuring thread alone, user and system.  What is measured runs inside
 * a function counted_run(), for callgrind.
 */

#include <stddef.h>
#include <stdint.h>

#define LEG_CONNECTIONS_MAX 32

/* A body in each direction, and requests side by side. */
struct leg_load {
	const char *name;
	size_t body_bytes; /* 0: a GET */
	uint32_t connections;
};

/* The figures of a run, for each request. */
struct leg_cost {
	double cpu_us;
	double allocations;
};

struct leg_cost leg_measure_client(const struct leg_load *, uint32_t rounds);
/* loom/server.h and loom/peer_server.h */
struct leg_cost leg_measure_server(const struct leg_load *, uint32_t rounds);
struct leg_cost leg_measure_peer_server(
    const struct leg_load *, uint32_t rounds);

#endif
