/*
 * The computations behind the load tool's figures, and its settings.
 */

#include <math.h>
#include <string.h>

#include "load/arrivals.h"
#include "load/latency.h"
#include "load/ledger.h"
#include "load/results.h"
#include "load/retry.h"
#include "load/run.h"
#include "load/token_bucket.h"
#include "support/test.h"

#define US_PER_S 1000000

static void
test_percentiles(void)
{
	static const struct {
		uint32_t n; /* samples n..1 us, added in descending order */
		double percent;
		uint32_t expected_us;
	} cases[] = {
		{ 0, 50, 0 },
		{ 1, 0, 1 },
		{ 1, 99, 1 },
		{ 2, 50, 1 },
		{ 2, 51, 2 },
		{ 100, 50, 50 },
		{ 100, 99, 99 },
		{ 100, 100, 100 },
		{ 1000, 99.9, 999 },
	};
	struct load_latency latency;
	uint32_t i, us;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		load_latency_init(&latency);
		for (us = cases[i].n; us > 0; us--)
			load_latency_add(&latency, us);
		us = load_latency_percentile(&latency, cases[i].percent);
		TEST_CHECK(us == cases[i].expected_us, "case %u: %u", i, us);
		load_latency_clear(&latency);
	}
}

/* The number of arrivals of a Poisson process has the mean rate * time.  It
 * must be within five standard deviations for these fixed seeds. */
static void
test_arrivals(void)
{
	static const struct load_surge surges[] = {
		{ (char *)"a", 2000, 4000, 5 },
		{ (char *)"b", 0, 10000, 100 },
		{ (char *)"a", 8000, 9000, 0 },
	};
	static const struct {
		uint32_t seed, from_s, until_s;
		double expected;
	} cases[] = {
		{ 1, 0, 2, 400 },
		{ 1, 2, 4, 2000 },
		{ 1, 4, 8, 800 },
		{ 1, 8, 9, 0 },
		{ 2, 0, 10, 200 * (2 + 10 + 4 + 1) },
	};
	struct load_arrivals arrivals;
	uint64_t at_us, before_us;
	uint32_t i, count;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		arrivals = (struct load_arrivals){
			.rand = g_rand_new_with_seed(cases[i].seed),
			.team = "a",
			.rate_per_s = 200,
			.surges = surges,
			.nsurges = G_N_ELEMENTS(surges),
		};
		count = 0;
		before_us = 0;
		while ((at_us = load_arrivals_next(&arrivals)) <
		    cases[i].until_s * US_PER_S) {
			count += at_us >= cases[i].from_s * US_PER_S;
			TEST_CHECK(at_us >= before_us, "order");
			before_us = at_us;
		}
		TEST_CHECK(fabs(count - cases[i].expected) <=
			5 * sqrt(cases[i].expected),
		    "case %u: %u", i, count);
		g_rand_free(arrivals.rand);
	}
}

static void
test_arrivals_without_rate(void)
{
	static const struct load_surge off = { (char *)"a", 10, 20, 0 };
	struct load_arrivals arrivals = {
		.rand = g_rand_new_with_seed(1),
		.team = "a",
		.surges = &off,
		.nsurges = 1,
	};

	TEST_CHECK(load_arrivals_next(&arrivals) == LOAD_NEVER, "no rate");
	g_rand_free(arrivals.rand);
}

static void
test_token_bucket(void)
{
	static const struct {
		uint64_t at_us;
		bool expected;
	} cases[] = {
		{ 0, true },
		{ 0, true },
		{ 0, false },
		{ US_PER_S / 10 - 1, false },
		{ US_PER_S / 10, true },
		{ 10 * US_PER_S, true },
		{ 10 * US_PER_S, true },
		{ 10 * US_PER_S, false },
	};
	struct load_token_bucket bucket;
	uint32_t i;

	load_token_bucket_init(&bucket, 10, 2, 0);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		TEST_CHECK(load_token_bucket_try_take(
			       &bucket, cases[i].at_us) == cases[i].expected,
		    "case %u", i);
}

/* The rules of docs/CALLERS.md for each end of an attempt. */
static void
test_retry_decisions(void)
{
	static const struct {
		const char *name;
		enum load_retry_policy retry;
		uint32_t attempts_left;
		bool needs_ticket, has_ticket;
		uint32_t remaining_ms;
		enum load_attempt_end end;
		bool sent;
		enum loom_result code;
		enum loom_outcome outcome;
		uint32_t retry_after_ms;
		bool offers_ticket;
		enum load_action action;
		uint32_t wait_ms;
	} cases[] = {
		{ "answer", LOAD_RETRY_POLITE, 2, false, false, 1000,
		    LOAD_END_SUCCESS, true, LOOM_OK, LOOM_OUTCOME_NONE, 0,
		    false, LOAD_ACTION_FINISH, 0 },
		{ "upstream's own error", LOAD_RETRY_IMPATIENT, 2, false, false,
		    1000, LOAD_END_ERROR_STATUS, true, LOOM_OK,
		    LOOM_OUTCOME_NONE, 0, false, LOAD_ACTION_FINISH, 0 },
		{ "polite waits", LOAD_RETRY_POLITE, 2, false, false, 1000,
		    LOAD_END_REFUSED, true, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN,
		    250, false, LOAD_ACTION_START_OVER, 250 },
		{ "polite without Retry-After", LOAD_RETRY_POLITE, 2, false,
		    false, 1000, LOAD_END_REFUSED, true, LOOM_OVERLOAD,
		    LOOM_OUTCOME_NOT_RUN, 0, false, LOAD_ACTION_START_OVER,
		    100 },
		{ "impatient does not", LOAD_RETRY_IMPATIENT, 2, false, false,
		    1000, LOAD_END_REFUSED, true, LOOM_OVERLOAD,
		    LOOM_OUTCOME_NOT_RUN, 250, false, LOAD_ACTION_START_OVER,
		    10 },
		{ "none", LOAD_RETRY_NONE, 2, false, false, 1000,
		    LOAD_END_REFUSED, true, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN,
		    250, false, LOAD_ACTION_FINISH, 0 },
		{ "no attempt left", LOAD_RETRY_POLITE, 0, false, false, 1000,
		    LOAD_END_REFUSED, true, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN,
		    250, false, LOAD_ACTION_FINISH, 0 },
		{ "too late to wait", LOAD_RETRY_POLITE, 2, false, false, 250,
		    LOAD_END_REFUSED, true, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN,
		    250, false, LOAD_ACTION_FINISH, 0 },
		{ "ticket offered", LOAD_RETRY_NONE, 0, true, false, 1000,
		    LOAD_END_REFUSED, true, LOOM_TICKET_NEEDED,
		    LOOM_OUTCOME_NOT_RUN, 0, true, LOAD_ACTION_SEND_TICKET, 0 },
		{ "unknown, with ticket", LOAD_RETRY_POLITE, 2, true, true,
		    1000, LOAD_END_REFUSED, true, LOOM_DEADLINE,
		    LOOM_OUTCOME_UNKNOWN, 0, false, LOAD_ACTION_RESEND, 100 },
		{ "unknown, may not be repeated", LOAD_RETRY_IMPATIENT, 2, true,
		    false, 1000, LOAD_END_INCOMPLETE, true, LOOM_OK,
		    LOOM_OUTCOME_NONE, 0, false, LOAD_ACTION_FINISH, 0 },
		{ "unknown, idempotent", LOAD_RETRY_POLITE, 2, false, false,
		    1000, LOAD_END_INCOMPLETE, true, LOOM_OK, LOOM_OUTCOME_NONE,
		    0, false, LOAD_ACTION_START_OVER, 100 },
		{ "not-run, with ticket", LOAD_RETRY_POLITE, 2, true, true,
		    1000, LOAD_END_REFUSED, true, LOOM_TICKET_SPENT,
		    LOOM_OUTCOME_NOT_RUN, 0, false, LOAD_ACTION_START_OVER,
		    100 },
		{ "no connection, with ticket", LOAD_RETRY_POLITE, 2, true,
		    true, 1000, LOAD_END_INCOMPLETE, false, LOOM_OK,
		    LOOM_OUTCOME_NONE, 0, false, LOAD_ACTION_RESEND, 100 },
		{ "ran", LOAD_RETRY_IMPATIENT, 2, true, true, 1000,
		    LOAD_END_REFUSED, true, LOOM_TICKET_RAN, LOOM_OUTCOME_RAN,
		    0, false, LOAD_ACTION_FINISH, 0 },
	};
	struct load_request_state state;
	struct load_attempt attempt;
	struct load_decision decision;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		state = (struct load_request_state){
			.retry = cases[i].retry,
			.attempts_left = cases[i].attempts_left,
			.needs_ticket = cases[i].needs_ticket,
			.has_ticket = cases[i].has_ticket,
			.remaining_us = cases[i].remaining_ms * 1000,
		};
		attempt = (struct load_attempt){
			.end = cases[i].end,
			.sent = cases[i].sent,
			.refusal = { .code = cases[i].code,
			    .outcome = cases[i].outcome,
			    .retry_after_ms = cases[i].retry_after_ms },
		};
		if (cases[i].offers_ticket)
			strcpy(attempt.refusal.ticket, "t");
		decision = load_decide_retry(&state, &attempt);
		TEST_CHECK(decision.action == cases[i].action &&
			decision.wait_us == cases[i].wait_ms * 1000,
		    "%s: action %d wait %u", cases[i].name, decision.action,
		    (unsigned)decision.wait_us);
	}
}

/*
 * Each kind of contradiction between claims and ledgers is found, and
 * consistent claims cause no violation.
 */
static void
test_ledger(void)
{
	static const char *const once[] = { "POST /orders", "POST /pay", NULL };
	static const struct {
		const char *name;
		const char *lines[5];
		struct load_claim claims[3];
		const char *expected; /* "KIND TEXT", "" for none */
	} cases[] = {
		{ "answered", { "start r.1 GET /a t", "done r.1 GET /a t" },
		    { { (char *)"r.1", "GET", "/a?x=1", true, 0 } }, "" },
		{ "answered, never done",
		    { "start r.1 GET /a t", "cancelled r.1 GET /a t" },
		    { { (char *)"r.1", "GET", "/a", true, 0 } },
		    "answer-missing r.1" },
		{ "answered, only an inner call done",
		    { "start r.1 GET /b t", "done r.1 GET /b t" },
		    { { (char *)"r.1", "GET", "/a", true, 0 } },
		    "answer-missing r.1" },
		{ "stored answer of another attempt",
		    { "start r.1 POST /orders t", "done r.1 POST /orders t" },
		    { { (char *)"r.1", "POST", "/orders", false,
			  LOOM_OUTCOME_UNKNOWN },
			{ (char *)"r.2", "POST", "/orders", true, 0 } },
		    "" },
		{ "not-run", { "start q.1 GET /a t" },
		    { { (char *)"r.1", "GET", "/a", false,
			LOOM_OUTCOME_NOT_RUN } },
		    "" },
		{ "not-run, yet started", { "start r.1 GET /a t" },
		    { { (char *)"r.1", "GET", "/a", false,
			LOOM_OUTCOME_NOT_RUN } },
		    "not-run-ran r.1" },
		{ "not-run, yet started by an inner call",
		    { "start r.1 GET /b t" },
		    { { (char *)"r.1", "GET", "/a", false,
			LOOM_OUTCOME_NOT_RUN } },
		    "not-run-ran r.1" },
		{ "not-run, the next attempt ran",
		    { "start r.2 GET /a t", "done r.2 GET /a t" },
		    { { (char *)"r.1", "GET", "/a", false,
			  LOOM_OUTCOME_NOT_RUN },
			{ (char *)"r.2", "GET", "/a", true, 0 } },
		    "" },
		{ "unknown may have run", { "start r.1 GET /a t" },
		    { { (char *)"r.1", "GET", "/a", false,
			LOOM_OUTCOME_UNKNOWN } },
		    "" },
		{ "ran twice by two tickets",
		    { "start r.1 POST /orders t", "start r.2 POST /orders t",
			"done r.2 POST /orders t" },
		    { { (char *)"r.1", "POST", "/orders", false,
			  LOOM_OUTCOME_UNKNOWN },
			{ (char *)"r.2", "POST", "/orders", true, 0 } },
		    "ran-twice r POST /orders" },
		{ "inner call ran twice",
		    { "start r.1 POST /pay t", "start r.1 POST /pay t" },
		    { { (char *)"r.1", "GET", "/a", false,
			LOOM_OUTCOME_UNKNOWN } },
		    "ran-twice r POST /pay" },
		{ "an idempotent one may run twice",
		    { "start r.1 GET /a t", "start r.2 GET /a t",
			"done r.2 GET /a t" },
		    { { (char *)"r.2", "GET", "/a", true, 0 } }, "" },
		{ "lines of another run, and malformed lines",
		    { "start x.1 POST /pay t", "start x.1 POST /pay t", "",
			"start - POST /pay", "nonsense" },
		    { { (char *)"r.1", "GET", "/a", false,
			LOOM_OUTCOME_NOT_RUN } },
		    "" },
	};
	const struct load_violation *violation;
	struct load_ledger *ledger;
	GArray *claims, *violations;
	GString *found;
	uint32_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		ledger = load_ledger_new();
		claims = g_array_new(FALSE, FALSE, sizeof(struct load_claim));
		for (j = 0; j < 5 && cases[i].lines[j] != NULL; j++)
			load_ledger_add_line(ledger, cases[i].lines[j]);
		for (j = 0; j < 3 && cases[i].claims[j].id != NULL; j++)
			g_array_append_val(claims, cases[i].claims[j]);
		violations = load_ledger_check(ledger, claims, once);
		found = g_string_new(NULL);
		for (j = 0; j < violations->len; j++) {
			violation = &g_array_index(
			    violations, struct load_violation, j);
			g_string_append_printf(found, "%s %s",
			    load_violation_name(violation->kind),
			    violation->text);
		}
		TEST_CHECK(strcmp(found->str, cases[i].expected) == 0,
		    "%s: \"%s\"", cases[i].name, found->str);
		g_string_free(found, TRUE);
		load_violations_free(violations);
		g_array_free(claims, TRUE);
		load_ledger_free(ledger);
	}
}

static const char settings_text[] =
    "{ \"entries\": [ \"127.0.0.1:1\" ], // one\n"
    "\"teams\": [ { \"name\": \"a\", \"key\": \"k\", \"rate_per_s\": 1,\n"
    "\"granted_per_s\": 10, \"granted_burst\": 1,\n"
    "\"routes\": [ { \"method\": \"GET\", \"path\": \"/a\" } ] } ],\n"
    "\"surges\": [ { \"team\": \"%s\", \"from_ms\": 1000,\n"
    "\"until_ms\": %u, \"times\": 5 } ] }";

static bool
read_settings(const char *team, unsigned until_ms, struct load_settings *out)
{
	struct loom_problem *problems = NULL;
	char *text = g_strdup_printf(settings_text, team, until_ms);
	bool ok;

	ok = loom_settings_parse(text, strlen(text), "test",
		 load_settings_fields, out, &problems) &&
	    load_settings_check(out, "test", &problems);
	loom_problems_free(problems);
	g_free(text);
	return ok;
}

static void
test_settings(void)
{
	static const struct {
		const char *team;
		unsigned until_ms;
		bool ok;
	} cases[] = {
		{ "a", 2000, true },
		{ "b", 2000, false },
		{ "a", 1000, false },
	};
	struct load_settings settings;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		TEST_CHECK(read_settings(cases[i].team, cases[i].until_ms,
			       &settings) == cases[i].ok,
		    "case %u", i);
		loom_fields_free(load_settings_fields, &settings);
	}
}

/* The example in docs/LOAD.md, which users copy, must be valid settings. */
static void
test_documented_example(void)
{
	static const char fence[] = "```jsonc\n";
	struct loom_problem *problems = NULL;
	struct load_settings settings;
	char *page = NULL, *start = NULL, *end = NULL, *text;
	bool ok = false;

	if (g_file_get_contents("docs/LOAD.md", &page, NULL, NULL))
		start = strstr(page, fence);
	if (start != NULL)
		end = strstr(start, "\n```\n");
	if (end != NULL) {
		start += strlen(fence);
		ok = loom_settings_parse(start, (size_t)(end - start),
		    "docs/LOAD.md", load_settings_fields, &settings, &problems);
	}
	if (ok) {
		ok = load_settings_check(&settings, "docs/LOAD.md", &problems);
		loom_fields_free(load_settings_fields, &settings);
	}
	text = loom_problems_text(problems);
	TEST_CHECK(ok, "%s", text);
	loom_problems_free(problems);
	g_free(text);
	g_free(page);
}

/* Windows of 0.25 s; the surge lasts from 1 s to 2 s. */
static void
test_recovery(void)
{
	static const struct {
		const char *good; /* one digit per window: good of ten */
		int64_t expected_ms;
	} cases[] = {
		{ "9999"
		  "1111"
		  "9999",
		    0 },
		{ "9999"
		  "1111"
		  "11999",
		    500 },
		{ "9999"
		  "1111"
		  "919999",
		    500 },
		{ "9999"
		  "1111"
		  "1111",
		    -1 },
		{ "5555"
		  "1111"
		  "4555",
		    250 },
	};
	struct load_settings settings;
	struct load_results *results;
	const struct load_route *route;
	const char *window;
	uint32_t i, j;

	read_settings("a", 2000, &settings);
	route = &g_array_index(
	    g_array_index(settings.teams, struct load_team, 0).routes,
	    struct load_route, 0);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		results = load_results_new(&settings);
		for (window = cases[i].good; *window != '\0'; window++) {
			for (j = 0; j < 10; j++)
				load_results_count_finished(results, 0, route,
				    j < (uint32_t)(*window - '0')
					? LOAD_FINISH_GOOD
					: LOAD_FINISH_REFUSED,
				    (uint64_t)(window - cases[i].good) *
					LOAD_WINDOW_US,
				    1);
		}
		TEST_CHECK(
		    load_results_recovery_ms(results) == cases[i].expected_ms,
		    "case %u: %d", i, (int)load_results_recovery_ms(results));
		load_results_free(results);
	}
	loom_fields_free(load_settings_fields, &settings);
}

/* A refusal because of the team's rate is wrongful if the reference bucket had
 * a token for the attempt.  A refusal because of overload is not. */
static void
test_wrongful_refusals(void)
{
	const struct loom_refusal rate = loom_refusal_for_code(LOOM_TEAM_RATE);
	const struct loom_refusal overload =
	    loom_refusal_for_code(LOOM_OVERLOAD);
	struct load_settings settings;
	struct load_results *results;
	bool within;

	read_settings("a", 2000, &settings);
	results = load_results_new(&settings);
	within = load_results_count_attempt(results, 0, 0);
	load_results_count_refusal(results, 0, &rate, within);
	within = load_results_count_attempt(results, 0, 1);
	load_results_count_refusal(results, 0, &rate, within);
	within = load_results_count_attempt(results, 0, US_PER_S);
	load_results_count_refusal(results, 0, &overload, within);
	TEST_CHECK(results->teams[0].within == 2, "within");
	TEST_CHECK(results->teams[0].wrongful == 1, "wrongful");
	load_results_free(results);
	loom_fields_free(load_settings_fields, &settings);
}

static const struct test_case tests[] = {
	{ "percentiles", test_percentiles },
	{ "arrivals", test_arrivals },
	{ "arrivals without a rate", test_arrivals_without_rate },
	{ "token bucket", test_token_bucket },
	{ "retry decisions", test_retry_decisions },
	{ "ledger", test_ledger },
	{ "settings", test_settings },
	{ "documented example", test_documented_example },
	{ "recovery", test_recovery },
	{ "wrongful refusals", test_wrongful_refusals },
};

TEST_MAIN("load", tests)
