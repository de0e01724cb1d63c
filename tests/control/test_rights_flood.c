/*
 * All teams send more than their rates while pools are short of processor time.
 */

#include <stdio.h>

#include "support/fleet.h"

#define S UINT64_C(1000000)
#define DAEMONS 66
#define RATE 500.0
#define BURST 200
#define MISSING_MAX_PART 0.10 /* of the calls that a team's rate allows */

/*
 * Compares the number of admitted calls of each team with that of an ideal
 * bucket for the same arrivals. Which calls are admitted is not compared: above
 * the rate a third is refused by any scheme, and even an exact scheme with two
 * daemons refuses others than a single bucket does.
 */
static void
check_teams(struct fleet *fleet, double load)
{
	const struct fleet_team *team;
	double ideal_sum = 0, admitted_sum = 0, missing;
	unsigned t;

	for (t = 0; t < FLEET_TEAMS; t++) {
		team = fleet_team(fleet, t);
		ideal_sum += (double)team->ideal_admitted;
		admitted_sum += (double)team->admitted;
		missing = (double)team->ideal_admitted - (double)team->admitted;
		TEST_CHECK(
		    missing <= MISSING_MAX_PART * (double)team->ideal_admitted,
		    "team %u: %.0f of %.0f not admitted", t, missing,
		    (double)team->ideal_admitted);
	}
	printf("point rights, %.1f times the rates of all teams: %.2f%% of "
	       "what they allow not let in\n",
	    load, 100.0 * (ideal_sum - admitted_sum) / ideal_sum);
}

/*
 * Callers of each team send more than its rate, spread over 66 daemons, each of
 * which needs some time for a message.
 */
static void
run_flood(double load, uint64_t handling_us)
{
	const struct loom_rights_settings settings = {
		.wait_us = 60000,
		.partitions = 8,
	};
	struct fleet *fleet = fleet_new(DAEMONS, 3, 5, &settings);
	unsigned t;

	fleet_network(fleet)->handling_us = handling_us;
	fleet_set_manifest_all(fleet, RATE, BURST, DAEMONS);
	for (t = 0; t < FLEET_TEAMS; t++)
		fleet_team(fleet, t)->bound.level = BURST;
	fleet_load_all(
	    fleet, load * RATE * FLEET_TEAMS, 1, fleet_now(fleet) + 6 * S);
	fleet_reset_counts(fleet);
	fleet_load_all(
	    fleet, load * RATE * FLEET_TEAMS, 1, fleet_now(fleet) + 5 * S);
	check_teams(fleet, load);
	fleet_free(fleet);
}

/*
 * Guards against pools so overloaded with requests that the fleet admits less
 * than the rates allow.
 */
static void
test_flood(void)
{
	run_flood(1.5, 200);
}

/* The same with slower pools and a higher load. */
static void
test_flood_late_pools(void)
{
	run_flood(3, 500);
}

static const struct test_case tests[] = {
	{ "flood", test_flood },
	{ "flood, late pools", test_flood_late_pools },
};

TEST_MAIN("rights_flood", tests)
