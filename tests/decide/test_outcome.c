/* What is reported about each failed call, and who may retry it. */

#include <string.h>

#include "loom/outcome.h"
#include "support/test.h"

#define NOT_RUN LOOM_OUTCOME_NOT_RUN
#define UNKNOWN LOOM_OUTCOME_UNKNOWN
#define RAN LOOM_OUTCOME_RAN
#define UP LOOM_LEG_UPSTREAM
#define PEER LOOM_LEG_PEER

static const struct loom_refusal overload = {
	.code = LOOM_OVERLOAD,
	.outcome = NOT_RUN,
	.final = true,
};
static const struct loom_refusal draining = {
	.code = LOOM_DRAINING,
	.outcome = NOT_RUN,
};
static const struct loom_refusal upstream_cut = {
	.code = LOOM_UPSTREAM_CUT,
	.outcome = UNKNOWN,
};
static const struct loom_refusal upstream_crashed = {
	.code = LOOM_UPSTREAM_CRASHED,
	.outcome = UNKNOWN,
};
static const struct loom_refusal ticket_ran = {
	.code = LOOM_TICKET_RAN,
	.outcome = RAN,
	.final = true,
};
static const struct loom_refusal team_rate = {
	.code = LOOM_TEAM_RATE,
	.outcome = NOT_RUN,
};

/* The facts of a failure and the expected decision. */
static const struct {
	const char *name;
	enum loom_leg leg;
	enum loom_failure failure;
	bool sent : 1;
	bool repeatable : 1;
	bool ticketed : 1;
	const struct loom_refusal *refusal;
	enum loom_result code;
	enum loom_outcome outcome;
	bool retry : 1;
	bool final : 1;
} failures[] = {
	{ "upstream refuses the connection", UP, LOOM_FAILURE_CONNECT, false,
	    false, false, NULL, LOOM_UPSTREAM_CONNECT, NOT_RUN, false, false },
	{ "upstream cut before a byte", UP, LOOM_FAILURE_CUT, false, false,
	    false, NULL, LOOM_UPSTREAM_CUT, NOT_RUN, false, false },
	{ "upstream cut after a byte", UP, LOOM_FAILURE_CUT, true, false, false,
	    NULL, LOOM_UPSTREAM_CUT, UNKNOWN, false, false },
	{ "upstream crashed, so no retry elsewhere", UP, LOOM_FAILURE_CRASH,
	    true, true, false, NULL, LOOM_UPSTREAM_CRASHED, UNKNOWN, false,
	    true },
	{ "upstream cut during its answer", UP, LOOM_FAILURE_ANSWER_CUT, true,
	    false, false, NULL, LOOM_UPSTREAM_CUT, UNKNOWN, false, false },
	{ "deadline in the queue", UP, LOOM_FAILURE_DEADLINE, false, false,
	    false, NULL, LOOM_QUEUE_DEADLINE, NOT_RUN, false, true },
	{ "deadline while running", UP, LOOM_FAILURE_DEADLINE, true, false,
	    false, NULL, LOOM_DEADLINE, UNKNOWN, false, true },
	{ "caller gone before a byte", UP, LOOM_FAILURE_CALLER_GONE, false,
	    false, false, NULL, LOOM_CALLER_GONE, NOT_RUN, false, true },
	{ "caller gone after a byte", UP, LOOM_FAILURE_CALLER_GONE, true, false,
	    false, NULL, LOOM_CALLER_GONE, UNKNOWN, false, true },
	{ "executor spends a ticket that it refuses", UP, LOOM_FAILURE_LOCAL,
	    false, false, true, &overload, LOOM_OVERLOAD, NOT_RUN, false,
	    true },
	{ "peer cannot be reached", PEER, LOOM_FAILURE_CONNECT, false, false,
	    false, NULL, LOOM_PEER_CONNECT, NOT_RUN, true, true },
	{ "peer cannot be reached, with a ticket", PEER, LOOM_FAILURE_CONNECT,
	    false, false, true, NULL, LOOM_PEER_CONNECT, UNKNOWN, false, true },
	{ "peer cut before a byte", PEER, LOOM_FAILURE_CUT, false, false, false,
	    NULL, LOOM_PEER_CUT, NOT_RUN, true, true },
	{ "peer cut after a byte", PEER, LOOM_FAILURE_CUT, true, false, false,
	    NULL, LOOM_PEER_CUT, UNKNOWN, false, true },
	{ "peer cut after a byte, repeatable", PEER, LOOM_FAILURE_CUT, true,
	    true, false, NULL, LOOM_PEER_CUT, UNKNOWN, true, true },
	{ "answer cut after the caller may have received part of it", PEER,
	    LOOM_FAILURE_ANSWER_CUT, true, true, false, NULL, LOOM_PEER_CUT,
	    UNKNOWN, false, true },
	{ "peer sheds the call, overload is final", PEER, LOOM_FAILURE_REFUSED,
	    true, true, false, &overload, LOOM_OVERLOAD, NOT_RUN, false, true },
	{ "peer draining, not run there, so another may run it", PEER,
	    LOOM_FAILURE_REFUSED, true, false, false, &draining, LOOM_DRAINING,
	    NOT_RUN, true, true },
	{ "peer's upstream cut, not repeatable", PEER, LOOM_FAILURE_REFUSED,
	    true, false, false, &upstream_cut, LOOM_UPSTREAM_CUT, UNKNOWN,
	    false, true },
	{ "peer's upstream cut, repeatable", PEER, LOOM_FAILURE_REFUSED, true,
	    true, false, &upstream_cut, LOOM_UPSTREAM_CUT, UNKNOWN, true,
	    true },
	{ "peer's upstream crashed, repeatable", PEER, LOOM_FAILURE_REFUSED,
	    true, true, false, &upstream_crashed, LOOM_UPSTREAM_CRASHED,
	    UNKNOWN, false, true },
	{ "peer reports that it ran", PEER, LOOM_FAILURE_REFUSED, true, false,
	    true, &ticket_ran, LOOM_TICKET_RAN, RAN, false, true },
	{ "executor's not-run is passed on with a ticket", PEER,
	    LOOM_FAILURE_REFUSED, true, false, true, &overload, LOOM_OVERLOAD,
	    NOT_RUN, false, true },
	{ "entry refuses over rate", PEER, LOOM_FAILURE_LOCAL, false, false,
	    false, &team_rate, LOOM_TEAM_RATE, NOT_RUN, false, true },
	{ "entry does not know what a ticket's executor did", PEER,
	    LOOM_FAILURE_LOCAL, false, false, true, &team_rate, LOOM_TEAM_RATE,
	    UNKNOWN, false, true },
};

/*
 * Guards against a duplicate payment. The connection to the executor breaks at
 * some byte; if a daemon reported not-run too early or retried the call, the
 * payment would be made twice.
 */
static void
test_failure_decisions(void)
{
	struct loom_failure_verdict verdict;
	struct loom_failure_facts facts;
	const char *name;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(failures); i++) {
		name = failures[i].name;
		facts = (struct loom_failure_facts){
			.leg = failures[i].leg,
			.failure = failures[i].failure,
			.sent = failures[i].sent,
			.repeatable = failures[i].repeatable,
			.ticketed = failures[i].ticketed,
			.refusal = failures[i].refusal,
		};
		verdict = loom_failure_decide(&facts);
		TEST_CHECK(verdict.code == failures[i].code, "%s: %d", name,
		    verdict.code);
		TEST_CHECK(verdict.outcome == failures[i].outcome, "%s: %s",
		    name, loom_outcome_name(verdict.outcome));
		TEST_CHECK(verdict.retry_here == failures[i].retry, "%s", name);
		TEST_CHECK(verdict.final == failures[i].final, "%s", name);
	}
}

/*
 * For every combination: once a byte was sent on this leg, the leg does not
 * report not-run, and a request with a ticket is never tried elsewhere.
 */
static void
test_no_false_not_run(void)
{
	struct loom_failure_verdict verdict;
	struct loom_failure_facts facts;
	unsigned bits;
	int failure;

	for (failure = 0; failure < LOOM_FAILURE_COUNT; failure++) {
		for (bits = 0; bits < 16; bits++) {
			facts = (struct loom_failure_facts){
				.leg = bits & 1 ? PEER : UP,
				.failure = (enum loom_failure)failure,
				.sent = (bits & 2) != 0,
				.repeatable = (bits & 4) != 0,
				.ticketed = (bits & 8) != 0,
			};
			verdict = loom_failure_decide(&facts);
			TEST_CHECK(!facts.sent || verdict.outcome != NOT_RUN,
			    "failure %d bits %u", failure, bits);
			TEST_CHECK(!facts.ticketed || !verdict.retry_here,
			    "failure %d bits %u", failure, bits);
		}
	}
}

static void
test_refusal_round_trip(void)
{
	struct loom_refusal refusal = loom_refusal_for_code(LOOM_TICKET_NEEDED);
	struct loom_refusal copy;
	char *text;

	refusal.final = true;
	refusal.retry_after_ms = 250;
	refusal.successor_host_id = UINT64_C(0xfedcba9876543210);
	strcpy(refusal.trace_id, "0af7651916cd43dd8448eb211c80319c");
	strcpy(refusal.ticket, "abc_-");
	strcpy(refusal.detail, "a \"quote\"\nand a line");
	text = loom_refusal_json(&refusal);
	CU_ASSERT_TRUE(loom_refusal_parse(text, strlen(text), &copy));
	CU_ASSERT_EQUAL(copy.code, refusal.code);
	CU_ASSERT_EQUAL(copy.outcome, refusal.outcome);
	CU_ASSERT_EQUAL(copy.final, refusal.final);
	CU_ASSERT_EQUAL(copy.retry_after_ms, refusal.retry_after_ms);
	CU_ASSERT_EQUAL(copy.successor_host_id, refusal.successor_host_id);
	CU_ASSERT_STRING_EQUAL(copy.trace_id, refusal.trace_id);
	CU_ASSERT_STRING_EQUAL(copy.ticket, refusal.ticket);
	CU_ASSERT_STRING_EQUAL(copy.detail, refusal.detail);
	g_free(text);
}

static void
test_refusal_parse(void)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{ "{\"code\":2101,\"status\":503,\"outcome\":\"not-run\","
		  "\"final\":true}",
		    true },
		{ "{\"code\":2101,\"status\":500,\"outcome\":\"not-run\","
		  "\"final\":true}",
		    false },
		{ "{\"code\":9999,\"status\":503,\"outcome\":\"not-run\","
		  "\"final\":true}",
		    false },
		{ "{\"code\":2101,\"status\":503,\"outcome\":\"none\","
		  "\"final\":true}",
		    false },
		{ "{\"code\":2101,\"status\":503,\"final\":true}", false },
		{ "{\"code\":2101,\"status\":503,\"outcome\":\"not-run\"}",
		    false },
		{ "{\"code\":2304,\"status\":409,\"outcome\":\"not-run\","
		  "\"final\":true}",
		    false },
		{ "{\"code\":2101,\"status\":503,\"outcome\":\"not-run\","
		  "\"final\":true,\"retry_after_ms\":-1}",
		    false },
		{ "{\"code\":2101,\"status\":503,\"outcome\":\"not-run\","
		  "\"final\":true,\"ticket\":7}",
		    false },
		{ "{\"code\":2313,\"status\":421,\"outcome\":\"unknown\","
		  "\"final\":true,\"heir\":\"0123\"}",
		    false },
		{ "{\"code\":2313,\"status\":421,\"outcome\":\"unknown\","
		  "\"final\":true,\"heir\":\"000000000000000g\"}",
		    false },
		{ "[]", false },
		{ "<html>", false },
		{ "", false },
	};
	struct loom_refusal refusal;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		TEST_CHECK(loom_refusal_parse(cases[i].text,
			       strlen(cases[i].text), &refusal) == cases[i].ok,
		    "%s", cases[i].text);
	}
}

static const struct test_case tests[] = {
	{ "failure decisions", test_failure_decisions },
	{ "no false not-run", test_no_false_not_run },
	{ "refusal round trip", test_refusal_round_trip },
	{ "refusal parse", test_refusal_parse },
};

TEST_MAIN("outcome", tests)
