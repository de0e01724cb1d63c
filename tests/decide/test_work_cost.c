/*
 * Tests of the costs of classes of calls: calls that look alike cost very
 * different amounts of work, and their costs change.
 */

#include <math.h>
#include <talloc.h>

#include "loom/work_cost.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define SEED 11
#define CLASS 7
#define OTHER 8
#define GAP_US (10 * MS)

static uint64_t now_us;

static void
note(struct loom_work_costs *costs, uint64_t class_id, uint64_t slot_us)
{
	now_us += GAP_US;
	loom_work_costs_note(costs, class_id, slot_us, slot_us / 2, now_us);
}

/* Notes n calls, of which long_share take long_us and the others short_us. */
static void
note_mix(struct loom_work_costs *costs, uint32_t n, uint64_t short_us,
    uint64_t long_us, double long_share)
{
	struct loom_random random = test_random_new(SEED);
	uint32_t i;

	for (i = 0; i < n; i++) {
		bool is_long = loom_random_unit(&random) < long_share;

		note(costs, CLASS, is_long ? long_us : short_us);
	}
	test_random_free(&random);
}

/*
 * Guards against an expected remaining time that falls to nothing as a call of
 * a mixed class goes on: it is then certainly one of the long ones.
 */
static void
test_remaining_time(void)
{
	static const struct {
		const char *name;
		uint64_t short_us, long_us;
		double long_share;
		uint64_t elapsed_us;
		double min_us, max_us;
	} rows[] = {
		{ "even class, just begun", 20 * MS, 20 * MS, 0, 0, 19e3,
		    21e3 },
		{ "even class, half done", 20 * MS, 20 * MS, 0, 10 * MS, 8e3,
		    13e3 },
		{ "two kinds, just begun", 15 * MS, 880 * MS, 0.5, 0, 3e5,
		    6e5 },
		{ "two kinds, past the short", 15 * MS, 880 * MS, 0.5, 40 * MS,
		    7.5e5, 8.5e5 },
		{ "two kinds, long half done", 15 * MS, 880 * MS, 0.5, 440 * MS,
		    3.5e5, 5e5 },
		{ "one in thirty, just begun", 20 * MS, 140 * MS, 1 / 30.0, 0,
		    20e3, 32e3 },
		{ "one in thirty, past the short", 20 * MS, 140 * MS, 1 / 30.0,
		    40 * MS, 50e3, 101e3 },
		{ "longer than all before", 20 * MS, 20 * MS, 0, 200 * MS,
		    150e3, 250e3 },
	};
	struct loom_work_costs *costs;
	double left_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_work_costs_new(NULL);
		note_mix(costs, 300, rows[i].short_us, rows[i].long_us,
		    rows[i].long_share);
		left_us = loom_work_costs_remaining_us(
		    costs, CLASS, rows[i].elapsed_us);
		TEST_CHECK(
		    left_us >= rows[i].min_us && left_us <= rows[i].max_us,
		    "%s: %.0f us", rows[i].name, left_us);
		talloc_free(costs);
	}
}

/* Guards against placing a class by the cost that it once had. */
static void
test_changed_cost(void)
{
	static const struct {
		const char *name;
		uint64_t before_us, after_us;
	} rows[] = {
		{ "four times as much", 20 * MS, 80 * MS },
		{ "a quarter", 80 * MS, 20 * MS },
		{ "twice", 20 * MS, 41 * MS },
	};
	struct loom_work_costs *costs;
	double mean_us, error;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_work_costs_new(NULL);
		note_mix(costs, 300, rows[i].before_us, rows[i].before_us, 0);
		note_mix(costs, 40, rows[i].after_us, rows[i].after_us, 0);
		mean_us = loom_work_costs_slot_us(costs, CLASS);
		error = fabs(mean_us / (double)rows[i].after_us - 1);
		TEST_CHECK(error < 0.15, "%s: %.0f us after 40 calls",
		    rows[i].name, mean_us);
		talloc_free(costs);
	}
}

/* Guards against taking the long calls of a heavy tail for a change: the mean,
 * 24 ms, is followed within a fifth. */
static void
test_tail_is_no_change(void)
{
	struct loom_work_costs *costs = loom_work_costs_new(NULL);
	double mean_us, min_us = INFINITY, max_us = 0;
	uint32_t i;

	note_mix(costs, 300, 20 * MS, 140 * MS, 1 / 30.0);
	for (i = 0; i < 3000; i++) {
		note(costs, CLASS, i % 30 == 0 ? 140 * MS : 20 * MS);
		mean_us = loom_work_costs_slot_us(costs, CLASS);
		min_us = MIN(min_us, mean_us);
		max_us = MAX(max_us, mean_us);
	}
	TEST_CHECK(min_us > 0.8 * 24e3 && max_us < 1.2 * 24e3,
	    "between %.0f and %.0f us", min_us, max_us);
	talloc_free(costs);
}

/* Guards against a class without calls that counts as free, or as known after
 * one call. */
static void
test_newcomer(void)
{
	struct loom_work_costs *costs = loom_work_costs_new(NULL);
	double unknown_us, one_us, known_us;
	uint32_t i;

	TEST_CHECK(loom_work_costs_slot_us(costs, CLASS) == 0 &&
		loom_work_costs_remaining_us(costs, CLASS, MS) >= 0,
	    "something is known before the first call");
	for (i = 0; i < 100; i++)
		note(costs, OTHER, 100 * MS);
	unknown_us = loom_work_costs_slot_us(costs, CLASS);
	TEST_CHECK(
	    fabs(unknown_us - 100e3) < 1e3, "unknown: %.0f us", unknown_us);
	note(costs, CLASS, 10 * MS);
	one_us = loom_work_costs_slot_us(costs, CLASS);
	TEST_CHECK(
	    one_us > 50e3 && one_us < 99e3, "after one call: %.0f us", one_us);
	for (i = 0; i < 10; i++)
		note(costs, CLASS, 10 * MS);
	known_us = loom_work_costs_slot_us(costs, CLASS);
	TEST_CHECK(known_us < 12e3, "after eleven calls: %.0f us", known_us);
	TEST_CHECK(
	    fabs(loom_work_costs_own_us(costs, CLASS) / known_us - 0.5) < 0.01,
	    "own time is not half of the slot time");
	talloc_free(costs);
}

/* Guards against a flood of rare classes that pushes out those in use. */
static void
test_many_classes(void)
{
	struct loom_work_costs *costs = loom_work_costs_new(NULL);
	double slot_us;
	uint64_t i;

	for (i = 0; i < 40 * LOOM_WORK_CLASSES; i++) {
		note(costs, 1000 + i, 100 * MS);
		if (i % (LOOM_WORK_CLASSES / 2) == 0)
			note(costs, CLASS, 5 * MS);
	}
	slot_us = loom_work_costs_slot_us(costs, CLASS);
	TEST_CHECK(slot_us < 6e3, "class in use: %.0f us", slot_us);
	slot_us = loom_work_costs_slot_us(costs, 1000);
	TEST_CHECK(slot_us > 80e3,
	    "replaced class: %.0f us, not the mean of "
	    "all",
	    slot_us);
	talloc_free(costs);
}

/* Guards against classes that are lost, or figures that are no numbers, when
 * time stands still or steps back or far ahead. */
static void
test_time_steps(void)
{
	static const int64_t steps_us[] = { 0, -(int64_t)(5 * MS),
		3600 * (int64_t)LOOM_US_PER_S, -(int64_t)LOOM_US_PER_S };
	struct loom_work_costs *costs = loom_work_costs_new(NULL);
	uint64_t at_us = UINT64_C(10000) * LOOM_US_PER_S;
	double slot_us;
	uint32_t i;

	for (i = 0; i < 400; i++) {
		at_us += (uint64_t)steps_us[i % G_N_ELEMENTS(steps_us)];
		loom_work_costs_note(costs, CLASS, 20 * MS, 30 * MS, at_us);
	}
	slot_us = loom_work_costs_slot_us(costs, CLASS);
	TEST_CHECK(fabs(slot_us - 20e3) < 1, "%.0f us", slot_us);
	TEST_CHECK(loom_work_costs_own_us(costs, CLASS) <= slot_us + 1,
	    "own time above the slot time");
	talloc_free(costs);
}

/* Guards against weights that overflow, or a tail that is rounded away, after
 * very many calls. */
static void
test_many_calls(void)
{
	struct loom_work_costs *costs = loom_work_costs_new(NULL);
	double slot_us, left_us;
	uint32_t i;

	for (i = 0; i < 300000; i++)
		note(costs, CLASS, i % 10 == 0 ? 200 * MS : 20 * MS);
	slot_us = loom_work_costs_slot_us(costs, CLASS);
	left_us = loom_work_costs_remaining_us(costs, CLASS, 50 * MS);
	TEST_CHECK(fabs(slot_us - 38e3) < 4e3, "mean %.0f us", slot_us);
	TEST_CHECK(fabs(left_us - 145e3) < 15e3, "remaining %.0f us", left_us);
	talloc_free(costs);
}

static const struct test_case tests[] = {
	{ "remaining time", test_remaining_time },
	{ "changed cost", test_changed_cost },
	{ "tail is no change", test_tail_is_no_change },
	{ "newcomer", test_newcomer },
	{ "many classes", test_many_classes },
	{ "time steps", test_time_steps },
	{ "many calls", test_many_calls },
};

TEST_MAIN("work cost", tests)
