/*
 * The limit on repeated sending of values: who is served after a change, and
 * how often a peer is that repeats its request.
 */

#include "decide/send_limit.h"
#include "loom/clock.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S

/* Guards against peers of a data centre that get a change late since others
 * were served before them. */
static void
test_all_peers_at_once(void)
{
	struct send_limit *limit = send_limit_new(NULL);
	uint64_t peer, version;

	for (version = 1; version <= 20; version++) {
		for (peer = 1; peer <= 1000; peer++)
			TEST_CHECK(send_limit_admit(
				       limit, peer, 7, version, version * MS),
			    "peer %u, version %u", (unsigned)peer,
			    (unsigned)version);
	}
	talloc_free(limit);
}

/* Guards against a lost message that delays a version: a request that is
 * repeated after half a second is served. */
static void
test_repeat_after_loss(void)
{
	struct send_limit *limit = send_limit_new(NULL);

	CU_ASSERT_TRUE(send_limit_admit(limit, 1, 7, 1, S));
	CU_ASSERT_FALSE(send_limit_admit(limit, 1, 7, 1, S + 50 * MS));
	CU_ASSERT_TRUE(send_limit_admit(limit, 1, 7, 1, S + 500 * MS));
	CU_ASSERT_TRUE(send_limit_admit(limit, 1, 8, 1, S + 500 * MS));
	talloc_free(limit);
}

/* Guards against a peer whose requests without end use up the bandwidth. */
static void
test_endless_requests(void)
{
	static const struct {
		uint64_t for_s;
		unsigned most;
	} cases[] = { { 1, 4 }, { 10, 7 }, { 60, 11 }, { 600, 29 } };
	struct send_limit *limit;
	unsigned sent, i;
	uint64_t at_us;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		limit = send_limit_new(NULL);
		sent = 0;
		for (at_us = S; at_us < (1 + cases[i].for_s) * S; at_us += MS)
			sent += send_limit_admit(limit, 1, 7, 1, at_us);
		TEST_CHECK(sent <= cases[i].most, "%u times in %u s", sent,
		    (unsigned)cases[i].for_s);
		talloc_free(limit);
	}
}

static const struct test_case tests[] = {
	{ "all peers at once", test_all_peers_at_once },
	{ "repeat after loss", test_repeat_after_loss },
	{ "endless requests", test_endless_requests },
};

TEST_MAIN("limit on sending", tests)
