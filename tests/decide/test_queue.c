/*
 * The queue: which call is served next, and which one a full queue displaces.
 */

#include <string.h>
#include <talloc.h>

#include "loom/queue.h"
#include "support/test.h"

#define CALLS_MAX 16

/* A call is written as team letter and importance digit: "a2". "-2" is a nested
 * call, which has no team. */
static void
parse_calls(struct loom_admission_call calls[CALLS_MAX], const char *text)
{
	size_t i;

	for (i = 0; i < strlen(text) / 3 + 1; i++) {
		calls[i] = (struct loom_admission_call){
			.team_id = text[i * 3] == '-' ? LOOM_QUEUE_NO_TEAM
						      : (uint64_t)text[i * 3],
			.importance =
			    (enum loom_importance)(text[i * 3 + 1] - '0'),
			/* Teams in capital letters have three times the
			 * weight. */
			.team_weight = g_ascii_isupper(text[i * 3]) ? 3 : 1,
			.arg = (void *)&text[i * 3],
		};
	}
}

static const struct {
	const char *name;
	uint32_t bound;
	bool newest_first;
	const char *pushed; /* in this order */
	const char *displaced; /* one for each push; "--" for none */
	const char *popped;
} orders[] = {
	{ .name = "oldest first",
	    .bound = 9,
	    .pushed = "a2 a2 a2",
	    .popped = "0 1 2" },
	{ .name = "newest first",
	    .bound = 9,
	    .newest_first = true,
	    .pushed = "a2 a2 a2",
	    .popped = "2 1 0" },
	{ .name = "importance comes first",
	    .bound = 9,
	    .pushed = "a3 b2 a1 b0",
	    .popped = "3 2 1 0" },
	{ .name = "importance counts within one team",
	    .bound = 9,
	    .newest_first = true,
	    .pushed = "a0 a3 a3",
	    .popped = "0 2 1" },
	{ .name = "teams take turns",
	    .bound = 9,
	    .pushed = "a2 a2 a2 b2 b2",
	    .popped = "3 0 4 1 2" },
	{ .name = "turns follow weights",
	    .bound = 9,
	    .pushed = "a2 a2 A2 A2 A2 A2",
	    .popped = "2 0 3 4 5 1" },
	{ .name = "a full queue displaces the flooding team's calls",
	    .bound = 3,
	    .pushed = "a2 a2 a2 a2 a2",
	    .displaced = "-- -- --  3  4",
	    .popped = "0 1 2" },
	{ .name = "another team gets in",
	    .bound = 3,
	    .pushed = "a2 a2 a2 b2",
	    .displaced = "-- -- --  2",
	    .popped = "3 0 1" },
	{ .name = "an important call arrives late",
	    .bound = 3,
	    .pushed = "a2 a3 b2 a0 a0",
	    .displaced = "-- -- --  1  2",
	    .popped = "3 4 0" },
	{ .name = "a less important call does not displace",
	    .bound = 2,
	    .pushed = "a0 a1 b3",
	    .displaced = "-- --  2",
	    .popped = "0 1" },
	{ .name = "newest first displaces the oldest",
	    .bound = 2,
	    .newest_first = true,
	    .pushed = "a2 a2 a2",
	    .displaced = "-- --  0",
	    .popped = "2 1" },
	{ .name = "a small team keeps its one call",
	    .bound = 2,
	    .pushed = "A2 b2 A2",
	    .displaced = "-- --  2",
	    .popped = "1 0" },
	{ .name = "nested calls wait oldest first",
	    .bound = 9,
	    .newest_first = true,
	    .pushed = "-2 -2 -2",
	    .popped = "0 1 2" },
	{ .name = "nested calls are not displaced by others",
	    .bound = 2,
	    .newest_first = true,
	    .pushed = "-2 -2 a2 a2",
	    .displaced = "-- --  2  3",
	    .popped = "0 1" },
	{ .name = "a queue of nested calls alone is bounded",
	    .bound = 2,
	    .pushed = "-0 -0 -0",
	    .displaced = "-- --  2",
	    .popped = "0 1" },
};

static void
test_orders(void)
{
	struct loom_admission_call calls[CALLS_MAX], *displaced, *next_call;
	struct loom_queue *queue;
	const char *want;
	size_t i, j, n;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		queue = loom_queue_new(NULL, orders[i].bound);
		loom_queue_set_newest_first(
		    queue, LOOM_CRITICAL, orders[i].newest_first);
		parse_calls(calls, orders[i].pushed);
		n = strlen(orders[i].pushed) / 3 + 1;
		for (j = 0; j < n; j++) {
			displaced = loom_queue_push(queue, &calls[j], 0);
			want = orders[i].displaced != NULL
			    ? orders[i].displaced + j * 3
			    : "--";
			TEST_CHECK((displaced == NULL && want[0] == '-') ||
				(displaced != NULL &&
				    displaced - calls == want[1] - '0'),
			    "%s: push %zu", orders[i].name, j);
		}
		for (want = orders[i].popped; *want != '\0'; want++) {
			if (*want == ' ')
				continue;
			next_call = loom_queue_pop(queue);
			TEST_CHECK(next_call == &calls[*want - '0'],
			    "%s: popped %d, expected %c", orders[i].name,
			    next_call == NULL ? -1 : (int)(next_call - calls),
			    *want);
		}
		CU_ASSERT_PTR_NULL(loom_queue_pop(queue));
		talloc_free(queue);
	}
}

/*
 * A team that sends its next call only after the last one was served never has
 * two waiting.  It must not be served first each time because of that.
 */
static void
test_one_at_a_time(void)
{
	struct loom_admission_call calls[CALLS_MAX] = { 0 }, single = { 0 },
				   *next_call;
	struct loom_queue *queue = loom_queue_new(NULL, CALLS_MAX + 1);
	int i, single_served = 0;

	for (i = 0; i < CALLS_MAX; i++) {
		calls[i].team_id = 1 + (uint64_t)i % 2;
		loom_queue_push(queue, &calls[i], 0);
	}
	single.team_id = 3;
	loom_queue_push(queue, &single, 0);
	for (i = 0; i < 12; i++) {
		next_call = loom_queue_pop(queue);
		if (next_call != &single)
			continue;
		single_served++;
		loom_queue_push(queue, &single, 0);
	}
	TEST_CHECK(single_served == 4, "%d of 12", single_served);
	talloc_free(queue);
}

/* More teams pass through the queue than it has entries for idle ones. */
static void
test_many_teams(void)
{
	struct loom_queue *queue = loom_queue_new(NULL, 4);
	struct loom_admission_call calls[4], *call;
	uint64_t team;

	for (team = 0; team < 3000; team++) {
		call = &calls[team % 4];
		*call = (struct loom_admission_call){ .team_id = team * 128 };
		CU_ASSERT_PTR_NULL(loom_queue_push(queue, call, 0));
		if (team >= 3)
			CU_ASSERT_PTR_NOT_NULL(loom_queue_pop(queue));
	}
	CU_ASSERT_EQUAL(loom_queue_length(queue), 3);
	talloc_free(queue);
}

static void
test_ahead(void)
{
	static const struct {
		const char *waiting;
		const char *call;
		uint32_t ahead;
	} cases[] = {
		{ "a2 a2 a2", "a2", 3 },
		{ "a2 a2 a2", "a1", 0 },
		{ "a0 a1 a2", "a2", 3 },
		{ "a2 a2 a2 a2", "b2", 1 },
		{ "A2 A2 A2 A2", "b2", 3 },
		{ "a2 b2 c2", "d2", 3 },
	};
	struct loom_admission_call calls[CALLS_MAX], new_call[CALLS_MAX];
	struct loom_queue *queue;
	uint32_t ahead;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		queue = loom_queue_new(NULL, CALLS_MAX);
		parse_calls(calls, cases[i].waiting);
		for (j = 0; j < strlen(cases[i].waiting) / 3 + 1; j++)
			loom_queue_push(queue, &calls[j], 0);
		parse_calls(new_call, cases[i].call);
		ahead = loom_queue_calls_ahead(queue, new_call[0].team_id,
		    new_call[0].team_weight, new_call[0].importance);
		TEST_CHECK(ahead == cases[i].ahead, "%s before %s: %u",
		    cases[i].waiting, cases[i].call, ahead);
		talloc_free(queue);
	}
}

/* Guards against a host whose queue bound is that of another number of slots:
 * nested calls were refused as soon as 64 waited for 152 slots, and whole call
 * chains failed because of it. */
static void
test_bound_of_host(void)
{
	static const struct {
		uint32_t queue, service_slots, host_slots, bound;
	} rows[] = {
		{ 64, 16, 16, 64 },
		{ 64, 16, 152, 608 },
		{ 64, 16, 4, 16 },
		{ 40, 20, 0, 40 }, /* number of slots not known */
		{ 40, 0, 10, 40 },
		{ 4000000000U, 1, 4000000000U, UINT32_MAX },
	};
	uint32_t bound;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		bound = loom_queue_bound_for_host(
		    rows[i].queue, rows[i].service_slots, rows[i].host_slots);
		TEST_CHECK(
		    bound == rows[i].bound, "row %zu: bound %u", i, bound);
	}
}

static const struct test_case tests[] = {
	{ "bound of a host", test_bound_of_host },
	{ "orders", test_orders },
	{ "one call at a time", test_one_at_a_time },
	{ "many teams", test_many_teams },
	{ "calls ahead", test_ahead },
};

TEST_MAIN("queue", tests)
