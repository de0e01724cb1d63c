/*
 * Teams whose calls are let in and then turned away without having run, at many
 * daemons that borrow what they use from a pool.
 */

#include <stdio.h>

#include "support/fleet.h"

#define MS UINT64_C(1000)
#define S UINT64_C(1000000)
#define RATE 500.0
#define BURST 100
#define LENGTH_S 10

/*
 * Guards against callers refused for the rate though few of their calls ran: an
 * overloaded service turns half of the calls away, soon after they were let
 * in, and the callers send twice their rate, so that what could run is just
 * within it. In each row the given part at least of what the rate allows has
 * to run, and never more; without tokens given back it is half.
 */
static void
test_half_turned_away(void)
{
	static const struct {
		const char *name;
		unsigned daemons;
		uint64_t after_us; /* until they are turned away */
		double runs_min; /* part of what the rate allows */
	} rows[] = {
		{ "one daemon", 1, 20 * MS, 0.95 },
		{ "spread over 16", 16, 20 * MS, 0.9 },
		{ "spread over 16, late", 16, 300 * MS, 0.72 },
		{ "two stages", 80, 20 * MS, 0.85 },
	};
	const struct fleet_team *team;
	struct fleet *fleet;
	double part;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		fleet = fleet_new(rows[i].daemons, 3, 5, NULL);
		fleet_set_manifest_all(fleet, RATE, BURST, rows[i].daemons);
		fleet_team(fleet, 0)->bound.level = BURST;
		*fleet_returns(fleet) = (struct fleet_returns){
			.part = 0.5,
			.after_us = rows[i].after_us,
		};
		fleet_load(fleet, 0, 2 * RATE, NULL, fleet_now(fleet) + 6 * S);
		fleet_reset_counts(fleet);
		fleet_load(
		    fleet, 0, 2 * RATE, NULL, fleet_now(fleet) + LENGTH_S * S);
		team = fleet_team(fleet, 0);
		part = (double)team->admitted / (RATE * LENGTH_S);
		printf("point rights, half turned away, %s: %.1f%% of what the "
		       "rate allows runs\n",
		    rows[i].name, 100 * part);
		TEST_CHECK(
		    part >= rows[i].runs_min, "%s: %.3f", rows[i].name, part);
		TEST_CHECK(team->worst > -0.001, "%s: over the rate by %f",
		    rows[i].name, -team->worst);
		fleet_free(fleet);
	}
}

static const struct test_case tests[] = {
	{ "half turned away", test_half_turned_away },
};

TEST_MAIN("rights_returns", tests)
