/*
 * Whether an upstream that takes connections again went down with a call.
 */

#include "decide/gone.h"
#include "support/test.h"

#define MS UINT64_C(1000)
#define NOW_MS 100000

/* When the witnesses were opened, last seen and found closed, in milliseconds
 * before now; a negative end is a witness that is still open. */
struct witness_case {
	int opened_ms;
	int seen_ms;
	int ended_ms;
};

/*
 * A call's connection breaks.  Only when both idle connections broke with it
 * is the upstream taken for crashed; everything else that ends connections
 * leaves the call without blame.
 */
static void
test_gone(void)
{
	static const struct {
		const char *name;
		struct witness_case witnesses[GONE_WITNESSES];
		bool gone;
	} cases[] = {
		{ "both with the call", { { 9000, 20, 0 }, { 8000, 20, 0 } },
		    true },
		{ "found by the look just before",
		    { { 9000, 60, 10 }, { 8000, 60, 10 } }, true },
		{ "one connection is closed: the call's own",
		    { { 9000, 20, -1 }, { 8000, 20, -1 } }, false },
		{ "the call's and one idle one",
		    { { 9000, 20, 0 }, { 8000, 20, -1 } }, false },
		{ "idle timeouts, each at its own time",
		    { { 60300, 320, 300 }, { 60000, 20, 0 } }, false },
		{ "both long ago", { { 9000, 520, 500 }, { 8000, 520, 500 } },
		    false },
		{ "this daemon was paused: nobody knows when",
		    { { 90000, 9000, 0 }, { 80000, 9000, 0 } }, false },
		{ "of one age: one idle timeout",
		    { { 60000, 20, 0 }, { 60000, 20, 0 } }, false },
		{ "nearly of one age", { { 60000, 20, 0 }, { 59800, 20, 0 } },
		    false },
		{ "as near as they are opened",
		    { { 60000, 20, 0 }, { 59750, 20, 0 } }, true },
	};
	struct gone_witness witnesses[GONE_WITNESSES];
	const struct witness_case *witness;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (j = 0; j < GONE_WITNESSES; j++) {
			witness = &cases[i].witnesses[j];
			witnesses[j] = (struct gone_witness){
				.ended = witness->ended_ms >= 0,
				.opened_us =
				    (uint64_t)(NOW_MS - witness->opened_ms) *
				    MS,
				.seen_us =
				    (uint64_t)(NOW_MS - witness->seen_ms) * MS,
				.ended_us =
				    (uint64_t)(NOW_MS - witness->ended_ms) * MS,
			};
		}
		TEST_CHECK(gone_with(witnesses, NOW_MS * MS) == cases[i].gone,
		    "%s", cases[i].name);
	}
}

/* Opened apart, or one idle timeout ends both. */
static void
test_may_open(void)
{
	CU_ASSERT_TRUE(gone_may_open(0, 5));
	CU_ASSERT_FALSE(gone_may_open(5, 5 + GONE_APART_US - 1));
	CU_ASSERT_TRUE(gone_may_open(5, 5 + GONE_APART_US));
}

static const struct test_case tests[] = {
	{ "gone", test_gone },
	{ "may open", test_may_open },
};

TEST_MAIN("gone", tests)
