/*
 * Small teams whose calls are spread over many daemons, with the tolerance that
 * the operator's rule on rates allows.
 */

#include <stdio.h>

#include "support/fleet.h"

#define S UINT64_C(1000000)
#define DAEMONS 66
#define RATE 30.0
#define BURST 20
#define SLACK 20
#define LOAD 1.3 /* of the rate */
#define LENGTH_S 5

/*
 * Guards against callers refused at once though the rule would let them in: for
 * some seconds a team sends somewhat more than its rate. With a slack the fleet
 * lets in more by most of it, and no more than rate, burst and slack allow.
 */
static void
test_slack(void)
{
	struct loom_rights_settings settings = { .slack = 0 };
	const struct fleet_team *team;
	uint64_t admitted[2];
	struct fleet *fleet;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(admitted); i++) {
		settings.slack = i * SLACK;
		fleet = fleet_new(DAEMONS, 3, 5, &settings);
		fleet_set_manifest_all(fleet, RATE, BURST, DAEMONS);
		fleet_run(fleet, fleet_now(fleet) + 6 * S);
		team = fleet_team(fleet, 0);
		fleet_team(fleet, 0)->bound.level = team->bound.burst;
		fleet_reset_counts(fleet);
		fleet_load(fleet, 0, LOAD * RATE, NULL,
		    fleet_now(fleet) + LENGTH_S * S);
		admitted[i] = team->admitted;
		printf("point rights, slack %u: %u of %u let in\n",
		    settings.slack, (unsigned)team->admitted,
		    (unsigned)team->arrived);
		TEST_CHECK(team->worst > -0.001,
		    "slack %u: over rate, burst and slack by %f",
		    settings.slack, -team->worst);
		TEST_CHECK(
		    team->admitted <= RATE * LENGTH_S + BURST + settings.slack,
		    "slack %u: %u", settings.slack, (unsigned)team->admitted);
		fleet_free(fleet);
	}
	TEST_CHECK(admitted[1] > admitted[0] + SLACK / 2, "%u, not %u",
	    (unsigned)admitted[1], (unsigned)admitted[0]);
}

/* A team without a burst stays refused. */
static void
test_no_burst(void)
{
	const struct loom_rights_settings settings = { .slack = SLACK };
	struct fleet *fleet = fleet_new(1, 1, 5, &settings);

	fleet_set_manifest_all(fleet, RATE, 0, 1);
	fleet_load(fleet, 0, RATE, NULL, fleet_now(fleet) + 6 * S);
	TEST_CHECK(fleet_team(fleet, 0)->admitted == 0, "%u",
	    (unsigned)fleet_team(fleet, 0)->admitted);
	fleet_free(fleet);
}

static const struct test_case tests[] = {
	{ "slack", test_slack },
	{ "no burst", test_no_burst },
};

TEST_MAIN("rights_slack", tests)
