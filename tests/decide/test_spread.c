/*
 * Table tests of the gossip protocol's decisions.
 */

#include <string.h>

#include "loom/clock.h"
#include "loom/spread_policy.h"
#include "support/test.h"

#define S LOOM_US_PER_S

static void
test_compare(void)
{
	static const struct {
		uint64_t a, b;
		uint8_t a_digest, b_digest;
		int order;
	} cases[] = {
		{ 1, 2, 9, 0, -1 },
		{ 2, 1, 0, 9, 1 },
		{ 2, 2, 1, 1, 0 },
		{ 2, 2, 1, 2, -1 },
		{ 2, 2, 0xff, 1, 1 },
		{ UINT64_MAX, 0, 0, 0, 1 },
	};
	struct loom_spread_version a, b;
	int order;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		a = (struct loom_spread_version){ cases[i].a,
			{ cases[i].a_digest } };
		b = (struct loom_spread_version){ cases[i].b,
			{ cases[i].b_digest } };
		order = loom_spread_compare(&a, &b);
		order = (order > 0) - (order < 0);
		TEST_CHECK(order == cases[i].order, "case %zu", i);
	}
}

#define IDS 100

static void
fill_ids(uint64_t *ids)
{
	uint32_t i;

	for (i = 0; i < IDS; i++)
		ids[i] = (i + 1) * UINT64_C(0x1234567);
}

/*
 * Each daemon has a rank of its own, and one that is not listed has none.  A
 * removed host moves the others by at most one rank, so that readers seldom
 * change.
 */
static void
test_rank(void)
{
	uint64_t ids[IDS], remaining[IDS], removed;
	uint32_t ranks[IDS], i, rank;
	bool seen[IDS] = { false };

	fill_ids(ids);
	loom_spread_sort_by_rank(ids, IDS);
	for (i = 0; i < IDS; i++) {
		ranks[i] = loom_spread_rank(ids, IDS, ids[i]);
		CU_ASSERT_FATAL(ranks[i] < IDS);
		CU_ASSERT(!seen[ranks[i]]);
		seen[ranks[i]] = true;
	}
	CU_ASSERT_EQUAL(loom_spread_rank(ids, IDS, 5), IDS);
	CU_ASSERT_EQUAL(loom_spread_rank(ids, 0, 5), 0);
	memcpy(remaining, ids, sizeof(remaining));
	removed = remaining[IDS / 2];
	remaining[IDS / 2] = remaining[IDS - 1];
	loom_spread_sort_by_rank(remaining, IDS - 1);
	for (i = 0; i < IDS; i++) {
		if (ids[i] == removed)
			continue;
		rank = loom_spread_rank(remaining, IDS - 1, ids[i]);
		CU_ASSERT(rank == ranks[i] || rank + 1 == ranks[i]);
	}
	CU_ASSERT_EQUAL(loom_spread_rank(remaining, IDS - 1, removed), IDS - 1);
}

/*
 * The chain of first neighbours passes through all daemons, so each is notified
 * by another; and each is notified by no more daemons than it notifies, so none
 * is overloaded.
 */
static void
test_neighbours(void)
{
	static const struct {
		uint32_t n, max, count;
	} cases[] = {
		{ 0, 3, 0 },
		{ 1, 3, 0 },
		{ 2, 3, 1 },
		{ IDS, 1, 1 },
		{ IDS, 0, 0 },
	};
	uint64_t ids[IDS], out[3], at;
	uint32_t ntold[IDS] = { 0 }, i, j, count, steps;

	fill_ids(ids);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		TEST_CHECK(loom_spread_neighbours(ids, cases[i].n, ids[0], out,
			       cases[i].max) == cases[i].count,
		    "case %u", i);
	at = ids[0];
	for (steps = 0; steps < IDS; steps++) {
		count = loom_spread_neighbours(ids, IDS, at, out, 3);
		CU_ASSERT(count >= 1 && count <= 3);
		for (i = 0; i < count; i++) {
			CU_ASSERT(out[i] != at);
			for (j = 0; j < IDS; j++)
				ntold[j] += ids[j] == out[i];
		}
		at = out[0];
		CU_ASSERT((at == ids[0]) == (steps == IDS - 1));
	}
	for (j = 0; j < IDS; j++)
		CU_ASSERT(ntold[j] >= 1 && ntold[j] <= 3);
}

/* All daemons but the readers have a parent, no parent has more children than
 * allowed, and every chain of parents ends at a reader within a few steps. */
static void
test_parents(void)
{
	static const uint32_t sizes[] = { 1, 2, 3, 19, 66, 130, 850, 17000 };
	uint32_t *asked, rank, at, steps;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		asked = g_new0(uint32_t, sizes[i]);
		for (rank = 0; rank < sizes[i]; rank++) {
			at = rank;
			for (steps = 0; loom_spread_parent(at) != UINT32_MAX;
			     steps++)
				at = loom_spread_parent(at);
			CU_ASSERT(at < LOOM_SPREAD_READERS);
			TEST_CHECK(steps <= 4, "%u of %u: %u steps", rank,
			    sizes[i], steps);
			if (steps > 0)
				asked[loom_spread_parent(rank)]++;
		}
		for (rank = 0; rank < sizes[i]; rank++)
			CU_ASSERT(asked[rank] <= LOOM_SPREAD_CHILDREN_MAX);
		g_free(asked);
	}
	CU_ASSERT_EQUAL(loom_spread_parent(0), UINT32_MAX);
	CU_ASSERT_EQUAL(loom_spread_parent(LOOM_SPREAD_READERS), 0);
}

static void
test_ready(void)
{
	static const struct {
		const char *name;
		struct loom_spread_start_state state;
		bool ready;
	} cases[] = {
		{ "nothing", { .versions_applied = false }, false },
		{ "nothing in force",
		    { .platform_answered = true,
			.since_answer_us = 60 * S,
			.agreeing_peers = 9 },
		    false },
		{ "platform down, one peer of many",
		    { .versions_applied = true,
			.known_peers = 9,
			.any_peer_replied = true,
			.ready_peers = 1,
			.agreeing_peers = 1 },
		    false },
		{ "platform down, two peers",
		    { .versions_applied = true,
			.known_peers = 9,
			.any_peer_replied = true,
			.ready_peers = 2,
			.agreeing_peers = 2 },
		    true },
		{ "platform down, the only peer",
		    { .versions_applied = true,
			.known_peers = 1,
			.any_peer_replied = true,
			.ready_peers = 1,
			.agreeing_peers = 1 },
		    true },
		{ "platform down, starting peers",
		    { .versions_applied = true,
			.known_peers = 9,
			.any_peer_replied = true },
		    false },
		{ "platform and a peer",
		    { .versions_applied = true,
			.known_peers = 9,
			.platform_answered = true,
			.any_peer_replied = true,
			.ready_peers = 1,
			.agreeing_peers = 1 },
		    true },
		{ "platform, a peer that differs",
		    { .versions_applied = true,
			.known_peers = 9,
			.platform_answered = true,
			.since_answer_us = 29 * S,
			.any_peer_replied = true,
			.ready_peers = 3 },
		    false },
		{ "platform, peers differ for long",
		    { .versions_applied = true,
			.known_peers = 9,
			.platform_answered = true,
			.since_answer_us = 30 * S,
			.any_peer_replied = true,
			.ready_peers = 3 },
		    true },
		{ "first of a fleet, at once",
		    { .versions_applied = true, .platform_answered = true },
		    false },
		{ "first of a fleet, later",
		    { .versions_applied = true,
			.platform_answered = true,
			.since_answer_us = 2 * S },
		    true },
		{ "all start, at once",
		    { .versions_applied = true,
			.known_peers = 9,
			.platform_answered = true,
			.since_answer_us = 2 * S,
			.any_peer_replied = true },
		    false },
		{ "all start, later",
		    { .versions_applied = true,
			.known_peers = 9,
			.platform_answered = true,
			.since_answer_us = 3 * S,
			.any_peer_replied = true },
		    true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		TEST_CHECK(loom_spread_ready(&cases[i].state) == cases[i].ready,
		    "%s", cases[i].name);
}

static const struct test_case tests[] = {
	{ "compare", test_compare },
	{ "rank", test_rank },
	{ "neighbours", test_neighbours },
	{ "parents", test_parents },
	{ "ready", test_ready },
};

TEST_MAIN("spread policy", tests)
