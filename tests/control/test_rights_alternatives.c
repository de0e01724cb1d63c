/*
 * Alternatives to loans that were considered, and the fault of each.
 *
 * These are simplified models made of token buckets without messages. They are
 * tests so that the reasons given in docs/design/rights.md can be run.
 */

#include <stdio.h>

#include "support/fleet.h"

#define S UINT64_C(1000000)
#define RATE 50.0
#define BURST 20
#define DAEMONS 16

static bool
take(struct fleet_bucket *bucket, uint64_t now_us)
{
	bucket->level = MIN(bucket->burst,
	    bucket->level +
		bucket->rate_per_s * (double)(now_us - bucket->updated_us) /
		    1e6);
	bucket->updated_us = now_us;
	if (bucket->level < 1)
		return false;
	bucket->level -= 1;
	return true;
}

/*
 * Offers each bucket a call per millisecond and returns by how many calls rate
 * and burst are exceeded.
 */
static double
excess_admitted(struct fleet_bucket *buckets, unsigned n, uint64_t for_us)
{
	double admitted = 0;
	uint64_t now_us;
	unsigned i;

	for (now_us = 0; now_us < for_us; now_us += 1000) {
		for (i = 0; i < n; i++)
			admitted += take(&buckets[i], now_us);
	}
	return admitted - (RATE * (double)for_us / 1e6 + BURST);
}

/*
 * Shares from the live host list alone. The platform removes a host that is
 * only cut off from it. The other 15 use 1/15 each at once, while the removed
 * host keeps using its 1/16, so that a sixteenth too much is admitted for as
 * long as the partition lasts.
 */
static void
test_live_list_shares(void)
{
	struct fleet_bucket buckets[DAEMONS];
	unsigned i, n;

	for (i = 0; i < DAEMONS; i++) {
		n = i == 0 ? DAEMONS : DAEMONS - 1;
		buckets[i] = (struct fleet_bucket){ .rate_per_s = RATE / n,
			.burst = (double)BURST / n,
			.level = (double)BURST / n };
	}
	TEST_CHECK(excess_admitted(buckets, DAEMONS, 60 * S) > 150,
	    "rate was not exceeded");
}

/*
 * A single owner of a team's bucket, chosen from the host list. Two daemons
 * with different lists choose two owners. While the lists differ, each owner
 * grants the whole rate, and the new one the whole burst again.
 */
static void
test_single_owner(void)
{
	struct fleet_bucket owners[2] = {
		{ .rate_per_s = RATE, .burst = BURST, .level = BURST },
		{ .rate_per_s = RATE, .burst = BURST, .level = BURST },
	};

	TEST_CHECK(excess_admitted(owners, 2, 5 * S) > RATE * 5,
	    "rate was not exceeded");
}

/*
 * Static shares never exceed the rate, but a share of 1.25 tokens refuses every
 * second call that arrives shortly after another.
 */
static void
test_static_shares(void)
{
	struct loom_rights_settings settings = { .shares_only = true };
	static const struct {
		bool one;
		double load;
		double least; /* fraction refused although within the rate */
	} cases[] = {
		{ false, 0.5, 0.15 },
		{ true, 0.5, 0.8 },
		{ false, 0.9, 0.3 },
		{ true, 0.9, 0.85 },
	};
	double weights[FLEET_DAEMONS_MAX] = { 0 };
	struct fleet_team *team;
	struct fleet *fleet;
	double wrongful;
	size_t i;

	weights[3] = 1;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fleet = fleet_new(DAEMONS, 3, 42, &settings);
		team = fleet_team(fleet, 0);
		fleet_set_manifest_all(fleet, RATE, BURST, DAEMONS);
		team->bound.level = BURST;
		fleet_run(fleet, fleet_now(fleet) + 10 * S);
		fleet_reset_counts(fleet);
		fleet_load(fleet, 0, cases[i].load * RATE,
		    cases[i].one ? weights : NULL, fleet_now(fleet) + 60 * S);
		wrongful =
		    (double)team->wrongful / (double)team->ideal_admitted;
		printf("point rights static shares load=%g%% %s: "
		       "wrongful %.1f%%\n",
		    cases[i].load * 100, cases[i].one ? "one" : "spread",
		    wrongful * 100);
		TEST_CHECK(team->worst > -1e-6, "over");
		TEST_CHECK(wrongful > cases[i].least, "%f", wrongful);
		fleet_free(fleet);
	}
}

static const struct test_case tests[] = {
	{ "shares of the live list", test_live_list_shares },
	{ "single owner", test_single_owner },
	{ "static shares", test_static_shares },
};

TEST_MAIN("rights rivals", tests)
