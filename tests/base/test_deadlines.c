/*
 * The deadline heap compared with a linear search.
 */

#include <string.h>

#include "base/deadlines.h"
#include "support/test.h"

#define DEADLINES 300
#define STEPS 20000
#define SEEDS 5

static uint64_t
earliest(const struct deadline *all)
{
	uint64_t at_us = UINT64_MAX;
	size_t i;

	for (i = 0; i < DEADLINES; i++) {
		if (all[i].index != 0)
			at_us = MIN(at_us, all[i].at_us);
	}
	return at_us;
}

static void
test_against_search(void)
{
	struct deadline all[DEADLINES];
	struct deadlines deadlines = { 0 };
	const struct deadline *first;
	struct deadline *entry;
	GRand *rand;
	uint32_t seed, step;

	for (seed = 1; seed <= SEEDS; seed++) {
		rand = g_rand_new_with_seed(seed);
		memset(all, 0, sizeof(all));
		for (step = 0; step < STEPS; step++) {
			entry = &all[g_rand_int_range(rand, 0, DEADLINES)];
			if (entry->index != 0)
				deadlines_remove(&deadlines, entry);
			else
				deadlines_add(&deadlines, entry,
				    g_rand_int_range(rand, 0, 1000));
			first = deadlines_first(&deadlines);
			if (!TEST_CHECK(
				(first == NULL ? UINT64_MAX : first->at_us) ==
				    earliest(all),
				"seed %u step %u", seed, step))
				break;
		}
		deadlines_clear(&deadlines);
		g_rand_free(rand);
	}
}

static void
test_remove_twice(void)
{
	struct deadlines deadlines = { 0 };
	struct deadline entry = { 0 };

	deadlines_add(&deadlines, &entry, 7);
	CU_ASSERT_PTR_EQUAL(deadlines_first(&deadlines), &entry);
	deadlines_remove(&deadlines, &entry);
	deadlines_remove(&deadlines, &entry);
	CU_ASSERT_PTR_NULL(deadlines_first(&deadlines));
	deadlines_clear(&deadlines);
}

static const struct test_case tests[] = {
	{ "against linear search", test_against_search },
	{ "removed twice", test_remove_twice },
};

TEST_MAIN("deadlines", tests)
