/*
 * Tests which routes the calls of an upstream are attributed to, from the calls
 * made while their requests run.
 */

#include <talloc.h>

#include "loom/excess.h"
#include "loom/fanout.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S
/* The clock of a host that has run for a day. */
#define START (86400 * S)

enum {
	LOOKUP,
	UPLOAD,
	KINDS
};

#define CALL 99
#define REQUESTS_MAX 1024

struct request {
	bool active;
	unsigned kind;
	uint64_t began_us;
	uint64_t next_us; /* time of its next step */
	unsigned calls_left;
	bool waits; /* for the saturated service */
};

struct simulation {
	struct loom_fanout *fanout;
	struct loom_excess *excess;
	struct loom_random random;
	struct request requests[REQUESTS_MAX];
	uint64_t available_us; /* when the service accepts the next call */
	uint64_t call_interval_us; /* between calls that it accepts */
};

struct load {
	const char *name;
	double per_s[KINDS];
	unsigned calls[KINDS]; /* consecutive calls that a request makes */
	uint64_t call_interval_us;
	unsigned seconds;
	bool upload_makes_calls; /* expected result */
};

static void
begin_request(
    struct simulation *sim, unsigned kind, unsigned calls, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < REQUESTS_MAX && sim->requests[i].active; i++)
		;
	if (i == REQUESTS_MAX)
		return;
	loom_fanout_begin(sim->fanout, kind + 1, now_us);
	sim->requests[i] = (struct request){
		.active = true,
		.kind = kind,
		.began_us = now_us,
		.next_us = now_us + (calls > 0 ? 5 : 130) * MS,
		.calls_left = calls,
	};
}

/*
 * The downstream service accepts calls at a fixed interval, and answers each
 * 40 ms later.
 */
static void
make_call(struct simulation *sim, struct request *request, uint64_t now_us)
{
	loom_fanout_add_call(sim->fanout, CALL, now_us);
	loom_excess_add_call(sim->excess, 0, now_us);
	sim->available_us =
	    MAX(sim->available_us + sim->call_interval_us, now_us);
	request->next_us = sim->available_us + 40 * MS;
	request->calls_left--;
}

static void
step(struct simulation *sim, uint64_t now_us)
{
	struct request *request;
	unsigned i;

	for (i = 0; i < REQUESTS_MAX; i++) {
		request = &sim->requests[i];
		if (!request->active || now_us < request->next_us)
			continue;
		if (request->calls_left > 0) {
			make_call(sim, request, now_us);
			continue;
		}
		request->active = false;
		loom_fanout_end(
		    sim->fanout, request->kind + 1, request->began_us, now_us);
		loom_excess_add_request(
		    sim->excess, request->kind, request->began_us, now_us);
	}
}

static struct simulation *
simulate(const struct load *load, uint64_t seed)
{
	struct simulation *sim = talloc_zero(NULL, struct simulation);
	uint64_t now_us;
	unsigned kind;

	sim->fanout = loom_fanout_new(sim, START);
	sim->excess = loom_excess_new(sim);
	sim->random = test_random_new(seed);
	sim->call_interval_us = load->call_interval_us;
	for (now_us = START; now_us < START + load->seconds * S; now_us += MS) {
		for (kind = 0; kind < KINDS; kind++) {
			if (loom_random_unit(&sim->random) <
			    load->per_s[kind] / 1e3)
				begin_request(
				    sim, kind, load->calls[kind], now_us);
		}
		step(sim, now_us);
	}
	test_random_free(&sim->random);
	return sim;
}

/*
 * Guards against refusing uploads because of a service that uploads never call.
 * When that service is saturated, calls are made at its rate, whatever runs,
 * and the constant part of them was attributed to the uploads, which run at a
 * constant rate. The lookups that do make the calls must be recognized all the
 * while.
 */
static void
test_attribution(void)
{
	static const struct load rows[] = {
		{ .name = "saturated, few uploads",
		    .per_s = { [LOOKUP] = 120, [UPLOAD] = 15 },
		    .calls = { [LOOKUP] = 4 },
		    .call_interval_us = 2 * MS,
		    .seconds = 5 },
		{ .name = "saturated, many uploads",
		    .per_s = { [LOOKUP] = 130, [UPLOAD] = 60 },
		    .calls = { [LOOKUP] = 4 },
		    .call_interval_us = 2 * MS,
		    .seconds = 5 },
		{ .name = "not saturated",
		    .per_s = { [LOOKUP] = 60, [UPLOAD] = 15 },
		    .calls = { [LOOKUP] = 4 },
		    .call_interval_us = MS / 2,
		    .seconds = 5 },
		{ .name = "both make calls",
		    .per_s = { [LOOKUP] = 60, [UPLOAD] = 30 },
		    .calls = { [LOOKUP] = 4, [UPLOAD] = 4 },
		    .call_interval_us = MS / 2,
		    .seconds = 30,
		    .upload_makes_calls = true },
	};
	struct simulation *sim;
	double upload, lookup;
	uint64_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		for (seed = 1; seed <= 8; seed++) {
			sim = simulate(&rows[i], seed);
			lookup = loom_fanout_calls_per_request(
			    sim->fanout, LOOKUP + 1, CALL);
			upload = loom_fanout_calls_per_request(
			    sim->fanout, UPLOAD + 1, CALL);
			TEST_CHECK(lookup > 1, "%s, seed %u: lookup %.2f",
			    rows[i].name, (unsigned)seed, lookup);
			TEST_CHECK((upload > 0.3) == rows[i].upload_makes_calls,
			    "%s, seed %u: upload %.2f", rows[i].name,
			    (unsigned)seed, upload);
			talloc_free(sim);
		}
	}
}

/*
 * A load that doubles within two seconds must not be taken for calls of any
 * route.
 */
static void
test_rising_load(void)
{
	struct loom_excess *excess = loom_excess_new(NULL);
	struct loom_random random = test_random_new(7);
	uint64_t now_us, began_us = 0;
	double per_ms;

	for (now_us = START; now_us < START + 2 * S; now_us += MS) {
		per_ms = 0.5 + 0.5 * (double)(now_us - START) / (2.0 * S);
		if (loom_random_unit(&random) < per_ms)
			loom_excess_add_call(excess, 0, now_us);
		if (now_us % (20 * MS) != 0)
			continue;
		began_us = now_us - 120 * MS;
		if (began_us > START + 200 * MS)
			loom_excess_add_request(excess, 3, began_us, now_us);
	}
	TEST_CHECK(!loom_excess_confirms(excess, 3, 0),
	    "calls attributed to the route");
	TEST_CHECK(loom_excess_rules_out(excess, 3, 0, 40),
	    "40 calls per request not ruled out");
	talloc_free(excess);
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "attribution", test_attribution },
	{ "rising load", test_rising_load },
};

TEST_MAIN("excess", tests)
