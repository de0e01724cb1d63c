#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

/*
 * A queueing model that drives the real decision code: callers with retries,
 * eight teams, a chain of four services, three data centres, on a fake clock
 * with fixed seeds.  It is no cluster simulator: no daemon, message or
 * failure of a network is in it, only arrivals, slots and service times.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/manifest.h"

#define MODEL_SERVICES 4
#define MODEL_TARGETS 8
#define MODEL_TEAMS 8
#define MODEL_CENTRES 3
#define MODEL_ALL_TARGETS (-1)

enum model_policy {
	MODEL_NO_CONTROL, /* every hop forwards at once */
	MODEL_FIXED_FIFO, /* declared slots, one FIFO, no deadline */
	MODEL_HOP_RETRIES, /* the same; every hop tries three times */
	MODEL_LOOM, /* the code under test */
	MODEL_POLICIES,
};

struct model_service {
	uint32_t targets;
	uint32_t slots; /* declared, each target */
	uint32_t real_slots; /* what an upstream really runs at once */
	uint32_t queue; /* bound of what may wait at one target */
	double own_us; /* mean work, deeper calls not counted */
};

struct model_firm {
	const char *name;
	struct model_service services[MODEL_SERVICES];
	double capacity_per_s; /* whole chains, of the narrowest service */
	uint64_t far_us; /* one way between data centres */
	double team_share[MODEL_TEAMS]; /* of the load; sums to 1 */
};

/* What happens between from_us and until_us. */
struct model_pattern {
	const char *name;
	double base_load; /* times capacity, before and after */
	double load; /* times capacity, in the window */
	uint64_t from_us;
	uint64_t until_us;
	uint64_t end_us;
	double slow_factor; /* work of the slow ones takes so often as long */
	double capacity_factor; /* left of capacity in the window; 0: all */
	double long_share; /* of requests that take long_factor as long */
	double long_factor;
	double flood_factor; /* the flood team's load; 0: none floods */
	double real_share; /* of the slow service's slots; 0: all */
	/* Of the slow service's slots, at which its calls begin to be in each
	 * other's way: with n times as many each takes n squared as long. */
	double contention_share;
	int slow_service;
	int slow_target; /* or MODEL_ALL_TARGETS */
	int flood_team;
	uint32_t attempts; /* of one caller for one request; 0: three */
	bool flat; /* all requests are of one importance */
	bool stubborn; /* callers ignore Retry-After and send at once */
};

struct model_result {
	double goodput; /* of min(capacity, offered), in the window */
	double recovery_s; /* after the window; -1: not within the run */
	double recovery_worst_s; /* over the seeds */
	double recovery_first_s; /* the worst over the first three seeds */
	double worst_team; /* share of its due, in the window */
	double wrongful; /* refused attempts of teams within their due */
	double wasted; /* of all work, on attempts that failed */
	double served[LOOM_IMPORTANCE_COUNT]; /* share, in the window */
	double p99_ms[LOOM_IMPORTANCE_COUNT]; /* of those served */
	double steady_refused; /* refused before the window */
	uint64_t requests;
};

void model_run(const struct model_firm *, const struct model_pattern *,
    enum model_policy, uint32_t seed, struct model_result *);

#endif
