/*
 * All shares of a team are lent to one daemon, which is paused, killed or
 * restarted.
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
#define RESTART_DAEMONS 16
#define RESTART_RATE 500.0
#define RESTART_BURST 100
#define RESTART_LOAD (3 * RESTART_RATE)
#define RESTARTS 3

enum fault {
	POOL_PAUSED,
	POOL_KILLED
};

/* Sends one call to each other daemon after_us after the pool failed. */
static void
check_calls_after_pool_failure(
    enum fault fault, uint64_t after_us, uint32_t seed)
{
	struct fleet *fleet = fleet_new(DAEMONS, 1, seed, NULL);
	struct fleet_team *team = fleet_team(fleet, 0);
	unsigned pool, i;

	fleet_set_manifest_all(fleet, RATE, BURST, DAEMONS);
	fleet_run(fleet, fleet_now(fleet) + WARM_UP_US);
	pool = fleet_topmost_pool(fleet);
	fleet_reset_counts(fleet);
	if (fault == POOL_PAUSED)
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
	    "%s, after %u ms, seed %u: %u admitted, %u refused",
	    fault == POOL_PAUSED ? "stopped" : "killed",
	    (unsigned)(after_us / MS), seed, (unsigned)team->admitted,
	    (unsigned)team->wrongful);
	fleet_free(fleet);
}

/*
 * Guards against refusing calls as over their team's rate when only the pool is
 * unavailable.
 */
static void
test_silent_pool(void)
{
	static const unsigned after_ms[] = { 0, 50, 100, 200, 300, 450, 600,
		900, 1200, 1600, 2000 };
	uint32_t seed;
	size_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		for (i = 0; i < G_N_ELEMENTS(after_ms); i++) {
			check_calls_after_pool_failure(
			    POOL_PAUSED, after_ms[i] * MS, seed);
			check_calls_after_pool_failure(
			    POOL_KILLED, after_ms[i] * MS, seed);
		}
	}
}

/*
 * Guards against lending a share to a restarted pool while the borrowers of its
 * previous process still use it.
 */
static void
test_quick_pool_restart(void)
{
	static const unsigned down_ms[] = { 5, 20, 100 };
	struct fleet_team *team;
	struct fleet *fleet;
	unsigned pool, round;
	uint32_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(down_ms) * SEEDS; i++) {
		seed = 1 + (uint32_t)(i % SEEDS);
		fleet = fleet_new(RESTART_DAEMONS, 3, seed, NULL);
		team = fleet_team(fleet, 0);
		fleet_set_manifest_all(
		    fleet, RESTART_RATE, RESTART_BURST, RESTART_DAEMONS);
		team->bound.level = RESTART_BURST;
		fleet_load(fleet, 0, RESTART_LOAD, NULL,
		    fleet_now(fleet) + WARM_UP_US);
		for (round = 0; round < RESTARTS; round++) {
			pool = fleet_topmost_pool(fleet);
			fleet_kill(fleet, pool);
			fleet_load(fleet, 0, RESTART_LOAD, NULL,
			    fleet_now(fleet) + down_ms[i / SEEDS] * MS);
			fleet_start(fleet, pool);
			fleet_load(fleet, 0, RESTART_LOAD, NULL,
			    fleet_now(fleet) + 3 * S);
		}
		TEST_CHECK(team->worst > -1e-6,
		    "down for %u ms, seed %u: over by %.2f", down_ms[i / SEEDS],
		    seed, -team->worst);
		fleet_free(fleet);
	}
}

static const struct test_case tests[] = {
	{ "silent pool", test_silent_pool },
	{ "pool back at once", test_quick_pool_restart },
};

TEST_MAIN("rights_silent", tests)
