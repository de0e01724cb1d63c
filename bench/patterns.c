/*
 * The firms' sizes and the patterns of load that the bench plays.
 *
 * The deepest service is the narrowest, so that overload arises where three
 * hops have already worked on a request.
 */

#include "patterns.h"
#include "loom/clock.h"

#define SECONDS(s) ((uint64_t)((s) * (double)LOOM_US_PER_S))

const struct model_firm model_firms[] = {
	{
	    .name = "derwent",
	    .services = {
		{ .targets = 5, .slots = 50, .queue = 100, .own_us = 5000 },
		{ .targets = 4, .slots = 40, .queue = 80, .own_us = 5000 },
		{ .targets = 4, .slots = 30, .queue = 60, .own_us = 5000 },
		{ .targets = 3, .slots = 15, .queue = 30, .own_us = 20000 },
	    },
	    .capacity_per_s = 2250,
	    .far_us = 1000,
	    .team_share = { .3, .25, .15, .1, .08, .06, .04, .02 },
	},
	{
	    .name = "daugava",
	    .services = {
		{ .targets = 6, .slots = 200, .queue = 400, .own_us = 5000 },
		{ .targets = 5, .slots = 150, .queue = 300, .own_us = 5000 },
		{ .targets = 4, .slots = 100, .queue = 200, .own_us = 5000 },
		{ .targets = 3, .slots = 60, .queue = 120, .own_us = 50000 },
	    },
	    .capacity_per_s = 3600,
	    .far_us = 500,
	    .team_share = { .35, .25, .12, .1, .08, .05, .03, .02 },
	},
};

#define WINDOW \
	.from_us = SECONDS(2), .until_us = SECONDS(6), .end_us = SECONDS(10)

const struct model_pattern model_patterns[] = {
	{ .name = "steady", WINDOW, .base_load = .8, .load = .8 },
	{ .name = "burst",
	    .from_us = SECONDS(2),
	    .until_us = SECONDS(2.3),
	    .end_us = SECONDS(6),
	    .base_load = .6,
	    .load = 4 },
	{ .name = "load-1", WINDOW, .base_load = .7, .load = 1 },
	{ .name = "load-1.5", WINDOW, .base_load = .7, .load = 1.5 },
	{ .name = "load-3", WINDOW, .base_load = .7, .load = 3 },
	{ .name = "load-3-stubborn",
	    WINDOW,
	    .base_load = .7,
	    .load = 3,
	    .stubborn = true,
	    .attempts = 5 },
	{ .name = "load-10", WINDOW, .base_load = .7, .load = 10 },
	{ .name = "one-team-floods",
	    WINDOW,
	    .base_load = .7,
	    .load = .7,
	    .flat = true,
	    .flood_team = 0,
	    .flood_factor = 10 },
	{ .name = "small-team-floods",
	    WINDOW,
	    .base_load = .7,
	    .load = .7,
	    .flat = true,
	    .flood_team = 7,
	    .flood_factor = 100 },
	{ .name = "slow-target",
	    WINDOW,
	    .base_load = .6,
	    .load = .6,
	    .slow_service = 3,
	    .slow_target = 0,
	    .slow_factor = 5,
	    .capacity_factor = 2.2 / 3 },
	{ .name = "slow-deep",
	    WINDOW,
	    .base_load = .7,
	    .load = .7,
	    .slow_service = 3,
	    .slow_target = MODEL_ALL_TARGETS,
	    .slow_factor = 3,
	    .capacity_factor = 1.0 / 3 },
	{ .name = "few-slots",
	    WINDOW,
	    .base_load = .3,
	    .load = 1.2,
	    .slow_service = 3,
	    .real_share = .6,
	    .capacity_factor = .6 },
	{ .name = "contention",
	    WINDOW,
	    .base_load = .25,
	    .load = 1.2,
	    .slow_service = 3,
	    .contention_share = .4,
	    .capacity_factor = .4 },
	{ .name = "long-short",
	    WINDOW,
	    .base_load = .4,
	    .load = 1.4,
	    .long_share = .05,
	    .long_factor = 3,
	    .capacity_factor = 1.0 / 1.1 },
};

const size_t model_nfirms = sizeof(model_firms) / sizeof(model_firms[0]);
const size_t model_npatterns =
    sizeof(model_patterns) / sizeof(model_patterns[0]);
