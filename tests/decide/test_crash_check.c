/*
 * Detection of crashes of an upstream that accepts connections again at once.
 */

#include "decide/crash_check.h"
#include "support/test.h"

#define MS UINT64_C(1000)
#define NOW_MS 100000

/*
 * When a witness was opened, last seen open and found closed, in milliseconds
 * before now. A negative found_closed_ago_ms means that it is still open.
 */
struct witness_case {
	int opened_ago_ms;
	int last_open_ago_ms;
	int found_closed_ago_ms;
};

/*
 * When a call's connection breaks, the upstream counts as crashed only if both
 * idle connections broke with it. Anything else that closes connections must
 * not put the blame on the call.
 */
static void
test_crash_detected(void)
{
	static const struct {
		const char *name;
		struct witness_case witnesses[CRASH_WITNESS_COUNT];
		bool crashed;
	} cases[] = {
		{ "both witnesses close with the call",
		    { { 9000, 20, 0 }, { 8000, 20, 0 } }, true },
		{ "found closed by the check just before",
		    { { 9000, 60, 10 }, { 8000, 60, 10 } }, true },
		{ "only the call's own connection closes",
		    { { 9000, 20, -1 }, { 8000, 20, -1 } }, false },
		{ "the call's connection and one witness close",
		    { { 9000, 20, 0 }, { 8000, 20, -1 } }, false },
		{ "each witness reaches its idle timeout at its own time",
		    { { 60300, 320, 300 }, { 60000, 20, 0 } }, false },
		{ "both closed long ago",
		    { { 9000, 520, 500 }, { 8000, 520, 500 } }, false },
		{ "this daemon was paused, closing time unknown",
		    { { 90000, 9000, 0 }, { 80000, 9000, 0 } }, false },
		{ "same age, same idle timeout",
		    { { 60000, 20, 0 }, { 60000, 20, 0 } }, false },
		{ "nearly the same age", { { 60000, 20, 0 }, { 59800, 20, 0 } },
		    false },
		{ "opened with the smallest allowed spacing",
		    { { 60000, 20, 0 }, { 59750, 20, 0 } }, true },
	};
	struct crash_witness witnesses[CRASH_WITNESS_COUNT];
	const struct witness_case *witness;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (j = 0; j < CRASH_WITNESS_COUNT; j++) {
			witness = &cases[i].witnesses[j];
			witnesses[j] = (struct crash_witness){
				.ended = witness->found_closed_ago_ms >= 0,
				.opened_us = (uint64_t)(NOW_MS -
						 witness->opened_ago_ms) *
				    MS,
				.last_open_us = (uint64_t)(NOW_MS -
						    witness->last_open_ago_ms) *
				    MS,
				.ended_us = (uint64_t)(NOW_MS -
						witness->found_closed_ago_ms) *
				    MS,
			};
		}
		TEST_CHECK(crash_check_upstream_gone(witnesses, NOW_MS * MS) ==
			cases[i].crashed,
		    "%s", cases[i].name);
	}
}

/* Witnesses opened close together could be closed by the same idle timeout. */
static void
test_witness_spacing(void)
{
	CU_ASSERT_TRUE(crash_check_may_open_witness(0, 5));
	CU_ASSERT_FALSE(
	    crash_check_may_open_witness(5, 5 + CRASH_WITNESS_SPACING_US - 1));
	CU_ASSERT_TRUE(
	    crash_check_may_open_witness(5, 5 + CRASH_WITNESS_SPACING_US));
}

static const struct test_case tests[] = {
	{ "gone", test_crash_detected },
	{ "witness spacing", test_witness_spacing },
};

TEST_MAIN("gone", tests)
