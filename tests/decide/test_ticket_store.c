/*
 * The states of tickets at their executor, without locks or messages.
 */

#include <string.h>

#include "decide/ticket_store.h"
#include "support/test.h"

#define INCARNATION 3
#define TEAM 9

static const struct loom_ticket_limits small_limits = {
	.cached_bytes = 2000,
	.answer_bytes = 1000,
	.waiters = 2,
	.teams = 2,
};
static const struct loom_request_digest order = { .head = "order" };
static const struct loom_request_digest other = { .head = "other" };

static void
ignore_done(void *arg, enum loom_result code, enum loom_outcome outcome,
    struct loom_answer *answer)
{
	(void)arg;
	(void)code;
	(void)outcome;
	(void)answer;
}

static struct loom_ticket_waiter waiter = { .done = ignore_done };

static struct loom_ticket_begin
begin(struct ticket_store *store, uint64_t number,
    const struct loom_request_digest *digest, bool frozen)
{
	const struct ticket_key key = { INCARNATION, TEAM, number };
	struct loom_ticket_begin out;

	ticket_store_begin(store, &key, digest, &waiter, frozen, &out);
	return out;
}

static uint64_t
issue(struct ticket_store *store, uint32_t count)
{
	uint64_t first;

	CU_ASSERT_EQUAL_FATAL(
	    ticket_store_issue(store, INCARNATION, TEAM, count, &first),
	    LOOM_OK);
	return first;
}

static void
finish(struct ticket_store *store, struct loom_ticket_run *run,
    enum loom_outcome outcome, size_t body_bytes)
{
	struct loom_answer *answer = NULL;
	char body[2048] = { 0 };

	if (body_bytes != 0)
		answer = loom_answer_new(200, "", 0, body, body_bytes);
	g_array_free(ticket_store_finish(store, run, outcome, answer), TRUE);
	loom_answer_release(answer);
}

static void
test_window(void)
{
	struct ticket_window window = { 0 };
	uint64_t n;
	int state;

	ticket_window_issue(&window, 10);
	for (n = 0; n < 10; n++)
		ticket_window_set(&window, n, (enum ticket_state)(n % 4));
	for (n = 0; n < 10; n++)
		TEST_CHECK(
		    ticket_window_get(&window, n) == n % 4, "%d", (int)n);
	CU_ASSERT_EQUAL(
	    ticket_window_get(&window, 10), TICKET_STATE_NOT_ISSUED);
	CU_ASSERT_EQUAL(ticket_window_bytes(&window), 3);
	ticket_window_issue(&window, TICKET_WINDOW_SIZE - 9);
	/*
	 * Number 0 is below the window; number 4096 uses its bits and is
	 * unused.
	 */
	CU_ASSERT_EQUAL(ticket_window_get(&window, 0), TICKET_STATE_EXPIRED);
	ticket_window_set(&window, 0, TICKET_STATE_RAN);
	state = ticket_window_get(&window, TICKET_WINDOW_SIZE);
	CU_ASSERT_EQUAL(state, TICKET_STATE_UNUSED);
	CU_ASSERT_EQUAL(ticket_window_get(&window, 1), TICKET_STATE_USED);
	CU_ASSERT_EQUAL(ticket_window_bytes(&window), TICKET_WINDOW_BYTES);
}

/* How the first run ended, and the expected result for a repeated request. */
static const struct {
	const char *name;
	const struct loom_request_digest *digest;
	enum {
		WHILE_RUNNING,
		RAN_KEPT,
		RAN_LARGE,
		CUT,
		ABANDONED
	} end;
	enum loom_ticket_verdict verdict;
	enum loom_result code;
	enum loom_outcome outcome;
} repeat_cases[] = {
	{ "attaches while it runs", &order, WHILE_RUNNING,
	    LOOM_TICKET_VERDICT_ATTACHED, LOOM_OK, LOOM_OUTCOME_NONE },
	{ "another request while it runs", &other, WHILE_RUNNING,
	    LOOM_TICKET_VERDICT_REFUSED, LOOM_TICKET_MISMATCH,
	    LOOM_OUTCOME_UNKNOWN },
	{ "kept answer", &order, RAN_KEPT, LOOM_TICKET_VERDICT_ANSWER, LOOM_OK,
	    LOOM_OUTCOME_RAN },
	{ "another request after it ran", &other, RAN_KEPT,
	    LOOM_TICKET_VERDICT_REFUSED, LOOM_TICKET_MISMATCH,
	    LOOM_OUTCOME_UNKNOWN },
	{ "answer too large to keep", &order, RAN_LARGE,
	    LOOM_TICKET_VERDICT_REFUSED, LOOM_TICKET_RAN, LOOM_OUTCOME_RAN },
	{ "upstream cut", &order, CUT, LOOM_TICKET_VERDICT_REFUSED,
	    LOOM_TICKET_UNKNOWN, LOOM_OUTCOME_UNKNOWN },
	{ "refused before it ran", &order, ABANDONED,
	    LOOM_TICKET_VERDICT_REFUSED, LOOM_TICKET_SPENT,
	    LOOM_OUTCOME_NOT_RUN },
};

/*
 * A caller on an unreliable link repeats its order with the same ticket, during
 * the first run and after it.  The order must run once and have one answer.
 */
static void
test_repeated(void)
{
	struct loom_ticket_begin first, second;
	struct ticket_store *store;
	uint64_t number;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(repeat_cases); i++) {
		store = ticket_store_new(&small_limits);
		number = issue(store, 1);
		first = begin(store, number, &order, false);
		CU_ASSERT_EQUAL(first.verdict, LOOM_TICKET_VERDICT_RUN);
		if (repeat_cases[i].end == RAN_KEPT)
			finish(store, first.run, LOOM_OUTCOME_RAN, 10);
		if (repeat_cases[i].end == RAN_LARGE)
			finish(store, first.run, LOOM_OUTCOME_RAN, 1001);
		if (repeat_cases[i].end == CUT)
			finish(store, first.run, LOOM_OUTCOME_UNKNOWN, 0);
		if (repeat_cases[i].end == ABANDONED)
			g_array_free(
			    ticket_store_abandon(store, first.run), TRUE);
		second = begin(store, number, repeat_cases[i].digest, false);
		TEST_CHECK(second.verdict == repeat_cases[i].verdict, "%s: %d",
		    repeat_cases[i].name, second.verdict);
		TEST_CHECK(second.code == repeat_cases[i].code, "%s: %d",
		    repeat_cases[i].name, second.code);
		TEST_CHECK(second.outcome == repeat_cases[i].outcome, "%s: %d",
		    repeat_cases[i].name, second.outcome);
		loom_answer_release(second.answer);
		ticket_store_free(store);
	}
}

/*
 * The answer cache stays within its limit.  The least recently used answer is
 * evicted, and its ticket still does not run repeat_cases.
 */
static void
test_kept_bound(void)
{
	struct ticket_store *store = ticket_store_new(&small_limits);
	struct loom_ticket_begin got;
	uint64_t n;

	issue(store, 20);
	for (n = 0; n < 20; n++) {
		got = begin(store, n, &order, false);
		finish(store, got.run, LOOM_OUTCOME_RAN, 300);
		CU_ASSERT_TRUE(ticket_store_cached_bytes(store) <= 2000);
		got = begin(store, 0, &order, false);
		CU_ASSERT_EQUAL(got.verdict, LOOM_TICKET_VERDICT_ANSWER);
		loom_answer_release(got.answer);
	}
	got = begin(store, 1, &order, false);
	CU_ASSERT_EQUAL(got.code, LOOM_TICKET_RAN);
	ticket_store_free(store);
}

/* Waiters and teams are bounded; detaching a waiter frees its place. */
static void
test_bounds(void)
{
	struct ticket_store *store = ticket_store_new(&small_limits);
	const struct ticket_key key = { INCARNATION, TEAM, 0 };
	struct loom_ticket_begin run;
	uint64_t first;

	issue(store, 1);
	run = begin(store, 0, &order, false);
	begin(store, 0, &order, false);
	begin(store, 0, &order, false);
	CU_ASSERT_EQUAL(begin(store, 0, &order, false).code, LOOM_TICKET_BUSY);
	CU_ASSERT_TRUE(ticket_store_detach(store, &key, &waiter));
	CU_ASSERT_EQUAL(begin(store, 0, &order, false).verdict,
	    LOOM_TICKET_VERDICT_ATTACHED);
	finish(store, run.run, LOOM_OUTCOME_RAN, 1);
	CU_ASSERT_FALSE(ticket_store_detach(store, &key, &waiter));
	CU_ASSERT_EQUAL(
	    ticket_store_issue(store, INCARNATION, TEAM + 1, 1, &first),
	    LOOM_OK);
	CU_ASSERT_EQUAL(
	    ticket_store_issue(store, INCARNATION, TEAM + 2, 1, &first),
	    LOOM_OVERLOAD);
	ticket_store_free(store);
}

/*
 * Tickets that must not run: without a window, below the window, not yet
 * issued, and unused while the host shuts down.
 */
static void
test_not_run_here(void)
{
	struct ticket_store *store = ticket_store_new(&small_limits);

	CU_ASSERT_EQUAL(begin(store, 0, &order, false).code, LOOM_TICKET_LOST);
	issue(store, TICKET_WINDOW_SIZE + 1);
	CU_ASSERT_EQUAL(
	    begin(store, 0, &order, false).code, LOOM_TICKET_EXPIRED);
	CU_ASSERT_EQUAL(
	    begin(store, TICKET_WINDOW_SIZE + 1, &order, false).code,
	    LOOM_TICKET_INVALID);
	CU_ASSERT_EQUAL(begin(store, 1, &order, true).code, LOOM_TICKET_MOVING);
	ticket_store_free(store);
}

/*
 * A call does not poll until near its deadline for a ticket whose handover
 * takes long; its caller is told early to retry.
 */
static void
test_poll_limit(void)
{
	static const struct {
		uint64_t remaining_us;
		uint32_t waits; /* until the caller gets the refusal */
	} cases[] = {
		{ 0, 0 },
		{ LOOM_TICKET_MOVING_POLL_US, 0 },
		{ 3 * LOOM_TICKET_MOVING_POLL_US, 2 },
		{ 10 * LOOM_US_PER_S, 20 },
		{ 3600 * LOOM_US_PER_S, 20 },
	};
	uint64_t left_us;
	uint32_t waits;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		left_us = cases[i].remaining_us;
		for (waits = 0; loom_ticket_may_poll(waits, left_us); waits++)
			left_us -= LOOM_TICKET_MOVING_POLL_US;
		TEST_CHECK(waits == cases[i].waits, "case %zu: %u", i, waits);
	}
}

static const struct test_case tests[] = {
	{ "window", test_window },
	{ "repeated request", test_repeated },
	{ "kept answers are bounded", test_kept_bound },
	{ "waiters and teams are bounded", test_bounds },
	{ "not run here", test_not_run_here },
	{ "poll limit", test_poll_limit },
};

TEST_MAIN("ticket store", tests)
