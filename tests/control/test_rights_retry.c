/*
 * When callers over their team's rate are told to come back.
 */

#include <stdio.h>

#include "support/fleet.h"

#define S UINT64_C(1000000)
#define LENGTH_S 10

/*
 * Guards against callers of small teams told to come back long after a token is
 * there. A team sends somewhat more than its rate: what is refused in a second
 * needs that much of a second of the rate, and callers who return within it are
 * spread over the time that their load takes. How long that is depends on how
 * far the team is over its rate, and not on how many daemons its calls reach: a
 * daemon that refuses one call in a while knows of no other.
 */
static void
test_told_times(void)
{
	static const struct {
		const char *name;
		unsigned daemons;
		double rate_per_s;
		uint32_t burst;
		double load; /* of the rate */
		double told_min_s, told_max_s; /* mean */
	} rows[] = {
		{ "large, one daemon", 1, 500, 100, 1.5, 0.1, 0.6 },
		{ "large, spread", 64, 500, 100, 1.5, 0.1, 0.6 },
		{ "small, spread", 64, 30, 30, 1.5, 0.1, 0.6 },
		{ "small, far over, spread", 64, 30, 30, 4, 0.8, 3 },
		{ "small, little over, spread", 64, 30, 30, 1.1, 0, 0.4 },
	};
	const struct fleet_team *team;
	struct fleet *fleet;
	double told_s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		fleet = fleet_new(rows[i].daemons, 3, 5, NULL);
		fleet_set_manifest_all(
		    fleet, rows[i].rate_per_s, rows[i].burst, rows[i].daemons);
		fleet_load(fleet, 0, rows[i].load * rows[i].rate_per_s, NULL,
		    fleet_now(fleet) + 6 * S);
		fleet_reset_counts(fleet);
		fleet_load(fleet, 0, rows[i].load * rows[i].rate_per_s, NULL,
		    fleet_now(fleet) + LENGTH_S * S);
		team = fleet_team(fleet, 0);
		told_s = (double)team->retry_us / 1e6 /
		    (double)(team->arrived - team->admitted);
		printf("point rights, retry after, %s: mean %.2f s\n",
		    rows[i].name, told_s);
		TEST_CHECK(told_s >= rows[i].told_min_s &&
			told_s <= rows[i].told_max_s,
		    "%s: %.3f s", rows[i].name, told_s);
		fleet_free(fleet);
	}
}

static const struct test_case tests[] = {
	{ "told times", test_told_times },
};

TEST_MAIN("rights_retry", tests)
