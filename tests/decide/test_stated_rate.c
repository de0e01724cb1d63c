/*
 * The rate that an upstream states: what is believed, from when and until when,
 * and the pace of the calls that follows from it.
 */

#include <glib.h>
#include <string.h>

#include <talloc.h>

#include "decide/start_rate.h"
#include "decide/stated_rate.h"
#include "loom/admission.h"
#include "loom/throttle.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S

/* Guards against a malformed statement that stops all calls, or lets all
 * through. */
static void
test_parse(void)
{
	static const struct {
		const char *text;
		bool ok;
		double per_s;
	} rows[] = {
		{ "13.9", true, 13.9 },
		{ "4", true, 4 },
		{ "0.25", true, 0.25 },
		{ "0", true, 0.001 },
		{ "0.0000001", true, 0.001 },
		{ "1000000", true, 1e6 },
		{ "1000001", true, 0 },
		{ "99999999999999999999999999999999", true, 0 },
		{ "", false, 0 },
		{ " 5", false, 0 },
		{ "5 ", false, 0 },
		{ "-5", false, 0 },
		{ "+5", false, 0 },
		{ "1e3", false, 0 },
		{ "0x10", false, 0 },
		{ "nan", false, 0 },
		{ "inf", false, 0 },
		{ ".5", false, 0 },
		{ "5.", false, 0 },
		{ "1.2.3", false, 0 },
		{ "1,5", false, 0 },
		{ "5, 7", false, 0 },
		{ "none", false, 0 },
		{ "999999999999999999999999999999999", false, 0 },
	};
	double per_s;
	bool ok;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		per_s = 0;
		ok = stated_rate_parse(rows[i].text, &per_s);
		TEST_CHECK(ok == rows[i].ok && (!ok || per_s == rows[i].per_s),
		    "\"%s\": %d, %g", rows[i].text, ok, per_s);
	}
}

#define ANSWERS_MAX 6

/* Guards against a bound that ends with one answer out of order, that never
 * ends, and that is forgotten with the daemon's restart. */
static void
test_believed(void)
{
	static const struct {
		const char *name;
		double from_peer; /* before all answers; 0: none */
		struct {
			uint64_t at_ms;
			const char *text; /* "-": none */
		} answers[ANSWERS_MAX];
		double per_s; /* after all of them */
	} rows[] = {
		{ "nothing heard", 0, { { 0 } }, 0 },
		{ "stated", 0, { { 0, "12" } }, 12 },
		{ "rises", 0, { { 0, "12" }, { 10, "40" } }, 40 },
		{ "falls", 0, { { 0, "12" }, { 10, "0.5" } }, 0.5 },
		{ "one answer without", 0, { { 0, "12" }, { 10, "-" } }, 12 },
		{ "without by turns", 0,
		    { { 0, "12" }, { 400, "-" }, { 450, "12" }, { 800, "-" },
			{ 1200, "-" } },
		    12 },
		{ "ends", 0, { { 0, "12" }, { 100, "-" }, { 600, "-" } }, 0 },
		{ "ends and is back", 0,
		    { { 0, "12" }, { 100, "-" }, { 600, "-" }, { 700, "9" } },
		    9 },
		{ "malformed", 0, { { 0, "12" }, { 900, "x" } }, 12 },
		{ "malformed between answers without", 0,
		    { { 0, "12" }, { 100, "-" }, { 300, "x" }, { 600, "-" } },
		    0 },
		{ "malformed alone", 0, { { 0, "-1" } }, 0 },
		{ "no bound at all", 0, { { 0, "12" }, { 10, "2000000" } }, 0 },
		{ "told by a peer", 7, { { 0 } }, 7 },
		{ "a peer and the upstream", 7, { { 0, "12" } }, 12 },
		{ "the upstream knows better", 7, { { 0, "-" } }, 0 },
	};
	const char *text;
	struct stated_rate rate;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		rate = (struct stated_rate){ 0 };
		if (rows[i].from_peer > 0)
			stated_rate_note_peer(&rate, rows[i].from_peer);
		for (j = 0; j < ANSWERS_MAX; j++) {
			text = rows[i].answers[j].text;
			if (text == NULL)
				break;
			stated_rate_note_answer(&rate,
			    strcmp(text, "-") == 0 ? NULL : text,
			    S + rows[i].answers[j].at_ms * MS);
		}
		TEST_CHECK(rate.per_s == rows[i].per_s, "%s: %g", rows[i].name,
		    rate.per_s);
	}
}

/* A peer's word from before does not replace what the upstream says. */
static void
test_late_peer(void)
{
	struct stated_rate rate = { 0 };

	stated_rate_note_answer(&rate, "12", S);
	stated_rate_note_peer(&rate, 500);
	CU_ASSERT_DOUBLE_EQUAL(rate.per_s, 12, 0);
}

#define WINDOW_US (4 * S)
#define STARTS_MAX 20000

/* The most starts in any window. */
static unsigned
most_in_window(const uint64_t *starts_us, unsigned n)
{
	unsigned first = 0, most = 0, i;

	for (i = 0; i < n; i++) {
		while (starts_us[i] - starts_us[first] >= WINDOW_US)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/*
 * Guards against bursts: with calls always waiting, and after a second without
 * any, an upstream gets no more in any window than it bears, and most of what
 * it takes.
 */
static void
test_pace(void)
{
	static const double rates[] = { 0.001, 0.3, 1, 2.5, 13.9, 120, 900 };
	static uint64_t starts_us[STARTS_MAX];
	struct start_rate rate;
	unsigned n, i, most;
	uint64_t at_us;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		rate = (struct start_rate){ 0 };
		start_rate_set(&rate, rates[i], S);
		n = 0;
		for (at_us = S; at_us < 17 * S; at_us += 500) {
			if (at_us / S % 8 == 7)
				continue;
			while (n < STARTS_MAX &&
			    start_rate_may_start(&rate, at_us)) {
				start_rate_take(&rate);
				starts_us[n++] = at_us;
			}
		}
		most = most_in_window(starts_us, n);
		TEST_CHECK(most <= 1.5 * 4 * rates[i] + 5,
		    "%u in 4 s at %g a second", most, rates[i]);
		TEST_CHECK(
		    n >= 0.8 * 14 * rates[i], "%u in 14 s at %g", n, rates[i]);
	}
}

/* A rate that changes all the time never allows more than the highest. */
static void
test_changing_rate(void)
{
	struct start_rate rate = { 0 };
	uint64_t starts_us[STARTS_MAX], at_us;
	unsigned n = 0, most;

	for (at_us = S; at_us < 13 * S; at_us += MS) {
		start_rate_set(&rate, at_us / MS % 3 == 0 ? 20 : 5, at_us);
		while (n < STARTS_MAX && start_rate_may_start(&rate, at_us)) {
			start_rate_take(&rate);
			starts_us[n++] = at_us;
		}
	}
	most = most_in_window(starts_us, n);
	TEST_CHECK(most <= 1.5 * 4 * 20 + 5, "%u in 4 s", most);
}

/* The token of a call that is not sent is not lost. */
static void
test_given_back(void)
{
	struct start_rate rate = { 0 };

	start_rate_set(&rate, 1, S);
	CU_ASSERT_FALSE(start_rate_may_start(&rate, S));
	CU_ASSERT_TRUE(start_rate_may_start(&rate, 2 * S));
	start_rate_take(&rate);
	CU_ASSERT_FALSE(start_rate_may_start(&rate, 2 * S));
	start_rate_give_back(&rate);
	CU_ASSERT_TRUE(start_rate_may_start(&rate, 2 * S));
	start_rate_set(&rate, 0, 2 * S);
	start_rate_take(&rate);
	CU_ASSERT_TRUE(start_rate_may_start(&rate, 2 * S));
}

#define SERVICE_US (20 * MS)
#define OFFER_US (4 * MS)
#define CALLS_MAX 4000
#define LOAD_US (12 * S)

struct paced_call {
	struct loom_admission_call call;
	uint64_t started_us; /* 0: not yet */
	bool ended;
};

struct paced_run {
	struct loom_admission *admission;
	struct paced_call *calls;
	unsigned ncalls;
	uint64_t starts_us[CALLS_MAX];
	unsigned nstarts;
};

static void
start_call(struct paced_run *run, struct paced_call *call, uint64_t now_us)
{
	call->started_us = now_us;
	loom_admission_sent(run->admission, &call->call, now_us);
	run->starts_us[run->nstarts++] = now_us;
}

static void
apply_verdicts(
    struct paced_run *run, struct loom_verdicts *verdicts, uint64_t now_us)
{
	struct loom_admission_call *waiting, *next;

	for (waiting = verdicts->admitted; waiting != NULL; waiting = next) {
		next = waiting->next;
		start_call(run, waiting->arg, now_us);
	}
	for (waiting = verdicts->refused; waiting != NULL; waiting = next) {
		next = waiting->next;
		((struct paced_call *)waiting->arg)->ended = true;
	}
}

static void
offer_call(struct paced_run *run, uint64_t now_us)
{
	struct paced_call *call = &run->calls[run->ncalls++];
	struct loom_verdicts verdicts;
	enum loom_admission_verdict verdict;

	call->call = (struct loom_admission_call){
		.importance = LOOM_NORMAL,
		.team_id = 1,
		.deadline_us = now_us + 2 * S,
		.arg = call,
	};
	loom_verdicts_init(&verdicts);
	verdict = loom_admission_offer(
	    run->admission, &call->call, now_us, &verdicts);
	if (verdict == LOOM_ADMITTED)
		start_call(run, call, now_us);
	call->ended = verdict == LOOM_REFUSED;
	apply_verdicts(run, &verdicts, now_us);
}

static void
end_calls(struct paced_run *run, uint64_t now_us)
{
	const struct loom_call_result result = { .latency_us = SERVICE_US };
	struct loom_verdicts verdicts;
	struct paced_call *call;
	unsigned i;

	for (i = 0; i < run->ncalls; i++) {
		call = &run->calls[i];
		if (call->ended || call->started_us == 0 ||
		    now_us < call->started_us + SERVICE_US)
			continue;
		call->ended = true;
		loom_verdicts_init(&verdicts);
		loom_admission_done(
		    run->admission, &call->call, &result, now_us, &verdicts);
		apply_verdicts(run, &verdicts, now_us);
	}
}

/* Offers calls, all of them or only those that no other host takes. */
static void
run_load(struct paced_run *run, bool others_take)
{
	struct loom_verdicts verdicts;
	uint64_t now_us;

	for (now_us = S; now_us < S + LOAD_US; now_us += MS) {
		if (now_us % OFFER_US == 0 &&
		    (!others_take ||
			loom_admission_may_start(run->admission, now_us)))
			offer_call(run, now_us);
		end_calls(run, now_us);
		if (now_us % (10 * MS) != 0)
			continue;
		loom_verdicts_init(&verdicts);
		loom_admission_tick(run->admission, now_us, &verdicts);
		apply_verdicts(run, &verdicts, now_us);
	}
}

/*
 * Guards against an upstream that gets more than it states, whether its calls
 * can go elsewhere or not, and against a share that falls for all hosts of the
 * service although the others have room.
 */
static void
test_admission(void)
{
	static const struct {
		const char *name;
		double per_s;
		bool others_take;
		double share_min;
	} rows[] = {
		{ "others take the rest", 13.9, true, 0.95 },
		{ "others take the rest, slow pace", 0.6, true, 0.95 },
		{ "the only host", 40, false, 0 },
		{ "the only host, slow pace", 0.6, false, 0 },
	};
	const struct loom_admission_settings settings = {
		.limit = { .slots = 100 },
		.queue = 300,
		.random = test_random_new(1),
	};
	struct paced_run *run;
	unsigned most;
	double share;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		run = g_new0(struct paced_run, 1);
		run->admission = loom_admission_new(NULL, &settings, S);
		run->calls = g_new0(struct paced_call, CALLS_MAX);
		loom_admission_set_rate(run->admission, rows[i].per_s, S);
		run_load(run, rows[i].others_take);
		most = most_in_window(run->starts_us, run->nstarts);
		share = loom_admission_throttle_share(run->admission);
		TEST_CHECK(most <= 1.5 * 4 * rows[i].per_s + 5, "%s: %u in 4 s",
		    rows[i].name, most);
		TEST_CHECK(run->nstarts >= 0.7 * 12 * rows[i].per_s,
		    "%s: %u in 12 s", rows[i].name, run->nstarts);
		TEST_CHECK(share >= rows[i].share_min, "%s: share %.2f",
		    rows[i].name, share);
		talloc_free(run->admission);
		g_free(run->calls);
		g_free(run);
	}
	test_random_free((struct loom_random *)&settings.random);
}

static const struct test_case tests[] = {
	{ "parse", test_parse },
	{ "believed", test_believed },
	{ "late peer", test_late_peer },
	{ "pace", test_pace },
	{ "changing rate", test_changing_rate },
	{ "given back", test_given_back },
	{ "admission", test_admission },
};

TEST_MAIN("stated rate", tests)
