/*
 * A team far below its rate while the daemon that holds all its rights is
 * stopped or dead.
 */

#include <stdio.h>

#include "support/fleet.h"

#define MS UINT64_C(1000)
#define S UINT64_C(1000000)
#define DAEMONS 6
#define RATE 100000.0
#define BURST 100000
#define WARM_UP_US (5 * S)
#define SEEDS 4

enum trouble {
	STOPPED,
	KILLED
};

/* One call at each of the others, so long after the pool went. */
static void
play(enum trouble trouble, uint64_t after_us, uint32_t seed)
{
	struct fleet *fleet = fleet_new(DAEMONS, 1, seed, NULL);
	struct fleet_team *team = fleet_team(fleet, 0);
	unsigned pool, i;

	fleet_manifest_all(fleet, RATE, BURST, DAEMONS);
	fleet_run(fleet, fleet_now(fleet) + WARM_UP_US);
	pool = fleet_pool(fleet);
	fleet_reset_counts(fleet);
	if (trouble == STOPPED)
		fleet_stop(fleet, pool, 3 * S);
	else
		fleet_kill(fleet, pool);
	fleet_run(fleet, fleet_now(fleet) + after_us);
	for (i = 0; i < DAEMONS; i++) {
		if (i != pool)
			fleet_call(fleet, i, 0);
	}
	fleet_run(fleet, fleet_now(fleet) + 2 * S + 500 * MS);
	TEST_CHECK(team->admitted == DAEMONS - 1 && team->wrongful == 0,
	    "%s, after %u ms, seed %u: %u let in, %u refused",
	    trouble == STOPPED ? "stopped" : "killed",
	    (unsigned)(after_us / MS), seed, (unsigned)team->admitted,
	    (unsigned)team->wrongful);
	fleet_free(fleet);
}

/* Guards against a refusal for the team's rate where only its pool is gone. */
static void
test_silent_pool(void)
{
	static const unsigned after_ms[] = { 0, 50, 100, 200, 300, 450, 600,
		900, 1200, 1600, 2000 };
	uint32_t seed;
	size_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		for (i = 0; i < G_N_ELEMENTS(after_ms); i++) {
			play(STOPPED, after_ms[i] * MS, seed);
			play(KILLED, after_ms[i] * MS, seed);
		}
	}
}

static const struct test_case tests[] = {
	{ "silent pool", test_silent_pool },
};

TEST_MAIN("rights_silent", tests)
