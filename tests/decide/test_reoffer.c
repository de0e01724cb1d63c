/*
 * Tests repeats at an upstream that rejects calls, and what a service whose
 * upstreams all reject half of their calls still serves.
 */

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "decide/reoffer.h"
#include "decide/repeat_budget.h"
#include "loom/shed.h"
#include "loom/throttle.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S

static void
test_acceptance(void)
{
	static const struct {
		const char *name;
		unsigned accepted, rejected; /* in turn, one each 5 ms */
		unsigned pause_ms;
		double min, max;
	} rows[] = {
		{ "nothing known", 0, 0, 0, 1, 1 },
		{ "one rejection", 0, 1, 0, 0.6, 0.7 },
		{ "half rejected", 200, 200, 0, 0.45, 0.55 },
		{ "all rejected", 0, 200, 0, 0, 0.05 },
		{ "all rejected, a second ago", 0, 200, 1000, 0.05, 0.15 },
		{ "all rejected, five seconds ago", 0, 200, 5000, 0.85, 1 },
	};
	struct loom_acceptance acceptance;
	uint64_t now_us;
	double share;
	size_t i;
	unsigned j;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		acceptance = (struct loom_acceptance){ .updated_us = S };
		now_us = S;
		for (j = 0; j < MAX(rows[i].accepted, rows[i].rejected); j++) {
			now_us += 5 * MS;
			if (j < rows[i].accepted)
				loom_acceptance_note(&acceptance, true, now_us);
			if (j < rows[i].rejected)
				loom_acceptance_note(
				    &acceptance, false, now_us);
		}
		now_us += rows[i].pause_ms * MS;
		share = loom_acceptance_share(&acceptance, now_us);
		TEST_CHECK(share >= rows[i].min && share <= rows[i].max,
		    "%s: %.3f", rows[i].name, share);
	}
}

static void
test_verdicts(void)
{
	static const struct {
		const char *name;
		struct loom_rejected_call call;
		enum loom_reoffer_verdict verdict;
	} rows[] = {
		{ "half rejected",
		    { .offers = 1,
			.acceptance = 0.45,
			.body_available = true,
			.has_time = true },
		    LOOM_REOFFER_AGAIN },
		{ "last offer",
		    { .offers = LOOM_REOFFER_MAX,
			.acceptance = 0.45,
			.body_available = true,
			.has_time = true },
		    LOOM_REOFFER_END },
		{ "rejects nearly all",
		    { .offers = 1,
			.acceptance = 0.1,
			.body_available = true,
			.has_time = true },
		    LOOM_REOFFER_ELSEWHERE },
		{ "rejects nearly all, after the last offer",
		    { .offers = LOOM_REOFFER_MAX,
			.acceptance = 0.1,
			.body_available = true,
			.has_time = true },
		    LOOM_REOFFER_END },
		{ "the body has been passed on",
		    { .offers = 1, .acceptance = 0.45, .has_time = true },
		    LOOM_REOFFER_ELSEWHERE },
		{ "no time left",
		    { .offers = 1, .acceptance = 0.45, .body_available = true },
		    LOOM_REOFFER_ELSEWHERE },
		{ "its run makes calls",
		    { .offers = 1,
			.acceptance = 0.45,
			.body_available = true,
			.has_time = true,
			.is_bounded_otherwise = true },
		    LOOM_REOFFER_ELSEWHERE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		TEST_CHECK(
		    loom_reoffer_decide(&rows[i].call) == rows[i].verdict, "%s",
		    rows[i].name);
}

/* Calls that were rejected together must not return together. */
static void
test_pause(void)
{
	struct loom_random random = test_random_new(3);
	uint64_t pause_us, min_us = S, max_us = 0;
	unsigned i;

	for (i = 0; i < 1000; i++) {
		pause_us = loom_reoffer_pause_us(&random);
		min_us = MIN(min_us, pause_us);
		max_us = MAX(max_us, pause_us);
	}
	TEST_CHECK(min_us >= MS && min_us < 2 * MS && max_us > 3 * MS &&
		max_us <= 5 * MS,
	    "%u to %u us", (unsigned)min_us, (unsigned)max_us);
	test_random_free(&random);
}

/*
 * A model of one service at the end of call chains, in steps of 1 ms.  Requests
 * make their calls there one after another; all upstreams reject calls at
 * random for some time.
 */
#define UPSTREAMS 16
#define UPSTREAM_SLOTS 10
#define CALL_MS 20
#define GAP_MS 10 /* between two calls of a request */
#define ROOM_USED 0.9 /* by all that is offered */
#define REJECTED 0.55
#define FAULT_BEGIN_MS 20000
#define FAULT_END_MS 28500
#define END_MS 33000
#define RECOVERED_MS (FAULT_END_MS + 2500)
#define REPORT_DELAY_MS 300
#define RATIO 0.2
#define WINDOW_MS 10000
#define ELSEWHERE_RATIO 0.1 /* of first calls; as src/decide/retry.c */
#define REQUESTS_MAX 8192
#define SERVICE 7
#define SHARE_MIN 0.02 /* as in src/decide/admission.c */
#define KINDS 3

static const struct {
	enum loom_importance importance;
	unsigned calls;
	double share; /* of the requests */
} kinds[KINDS] = {
	{ LOOM_CRITICAL, 8, 0.15 },
	{ LOOM_HIGH, 4, 0.35 },
	{ LOOM_LOW, 4, 0.5 },
};

struct model_upstream {
	struct loom_repeat_budget budget;
	struct loom_acceptance acceptance;
	struct loom_throttle_control control;
	double shares[REPORT_DELAY_MS]; /* by time modulo the delay */
	unsigned running;
};

struct model_request {
	bool used, running;
	bool counted; /* began while calls are rejected */
	unsigned kind;
	unsigned calls_left;
	unsigned upstream;
	unsigned offers; /* of this call, at this upstream */
	unsigned hosts; /* that this call was sent to */
	unsigned next_ms;
};

struct model {
	bool reoffers; /* false: retries at another host only */
	struct model_upstream upstreams[UPSTREAMS];
	struct model_request requests[REQUESTS_MAX];
	struct loom_throttle *entry;
	struct loom_random random;
	double elsewhere_credit;
	unsigned firsts[END_MS], repeats[END_MS];
	/* requests that began during the fault */
	unsigned offered[KINDS], whole[KINDS];
	unsigned late_offered, late_whole; /* began after RECOVERED_MS */
};

static void
note_share(
    struct model *model, const struct model_request *request, unsigned ms)
{
	const struct model_upstream *upstream =
	    &model->upstreams[request->upstream];

	loom_throttle_add_report(model->entry, SERVICE,
	    upstream->shares[ms % REPORT_DELAY_MS], S + ms * MS);
}

static void
begin_call(struct model *model, struct model_request *request, unsigned ms)
{
	request->upstream =
	    (unsigned)loom_random_below(&model->random, UPSTREAMS);
	request->offers = 0;
	request->hosts = 1;
	request->next_ms = ms + GAP_MS;
}

static void
begin_request(struct model *model, unsigned ms)
{
	double kind = loom_random_unit(&model->random);
	struct model_request *request = NULL;
	unsigned k = 0, i;

	while (k < KINDS - 1 && kind >= kinds[k].share)
		kind -= kinds[k++].share;
	if (ms >= FAULT_BEGIN_MS && ms < FAULT_END_MS)
		model->offered[k]++;
	if (ms >= RECOVERED_MS && ms < END_MS - 1000)
		model->late_offered++;
	if (!loom_throttle_admit(model->entry, SERVICE,
		loom_shed_rank(
		    kinds[k].importance, model->random.next(model->random.arg)),
		kinds[k].calls, S + ms * MS))
		return;
	for (i = 0; i < REQUESTS_MAX && request == NULL; i++) {
		if (!model->requests[i].used)
			request = &model->requests[i];
	}
	g_assert(request != NULL);
	*request = (struct model_request){
		.used = true,
		.kind = k,
		.counted = ms >= FAULT_BEGIN_MS && ms < FAULT_END_MS,
		.calls_left = kinds[k].calls,
	};
	begin_call(model, request, ms);
}

/* Another host, by the retry credit of the caller's daemon. */
static bool
send_elsewhere(struct model *model, struct model_request *request, unsigned ms)
{
	struct model_upstream *upstream;

	if (request->hosts >= 2 || model->elsewhere_credit < 1)
		return false;
	model->elsewhere_credit--;
	request->hosts++;
	request->offers = 0;
	request->upstream =
	    (request->upstream + 1 +
		(unsigned)loom_random_below(&model->random, UPSTREAMS - 1)) %
	    UPSTREAMS;
	upstream = &model->upstreams[request->upstream];
	if (model->reoffers &&
	    loom_repeat_budget_is_exhausted(&upstream->budget, S + ms * MS))
		return false;
	request->next_ms = ms + 3;
	return true;
}

static bool
repeat_call(struct model *model, struct model_request *request, unsigned ms)
{
	struct model_upstream *upstream = &model->upstreams[request->upstream];
	const struct loom_rejected_call call = {
		.offers = request->offers,
		.acceptance =
		    loom_acceptance_share(&upstream->acceptance, S + ms * MS),
		.body_available = true,
		.has_time = true,
	};

	if (!model->reoffers)
		return send_elsewhere(model, request, ms);
	switch (loom_reoffer_decide(&call)) {
	case LOOM_REOFFER_AGAIN:
		if (loom_repeat_budget_is_ahead(
			&upstream->budget, S + ms * MS) ||
		    !loom_repeat_budget_take(
			&upstream->budget, true, S + ms * MS))
			return send_elsewhere(model, request, ms);
		request->next_ms = ms + 1 +
		    (unsigned)(loom_reoffer_pause_us(&model->random) / MS);
		return true;
	case LOOM_REOFFER_ELSEWHERE:
		return send_elsewhere(model, request, ms);
	case LOOM_REOFFER_END:
		break;
	}
	return false;
}

static void
count_arrival(struct model *model, struct model_request *request, unsigned ms)
{
	struct model_upstream *upstream = &model->upstreams[request->upstream];
	bool first = request->offers == 0 && request->hosts == 1;

	if (first) {
		model->firsts[ms]++;
		model->elsewhere_credit = fmin(
		    model->elsewhere_credit + ELSEWHERE_RATIO, 10 * UPSTREAMS);
		loom_repeat_budget_note_first(&upstream->budget, S + ms * MS);
	} else {
		model->repeats[ms]++;
		/* A repeat at the same upstream was counted when it was
		 * decided on. */
		if (request->offers == 0)
			loom_repeat_budget_note_repeat(
			    &upstream->budget, S + ms * MS);
	}
	request->offers++;
}

static void
offer_call(struct model *model, struct model_request *request, unsigned ms)
{
	struct model_upstream *upstream = &model->upstreams[request->upstream];
	bool rejected = ms >= FAULT_BEGIN_MS && ms < FAULT_END_MS &&
	    loom_random_unit(&model->random) < REJECTED;

	count_arrival(model, request, ms);
	loom_acceptance_note(&upstream->acceptance, !rejected, S + ms * MS);
	if (!rejected) {
		request->running = true;
		upstream->running++;
		request->next_ms = ms + CALL_MS;
	} else if (!repeat_call(model, request, ms)) {
		note_share(model, request, ms);
		request->used = false;
	}
}

static void
end_call(struct model *model, struct model_request *request, unsigned ms)
{
	request->running = false;
	model->upstreams[request->upstream].running--;
	note_share(model, request, ms);
	if (--request->calls_left > 0) {
		begin_call(model, request, ms);
		return;
	}
	request->used = false;
	if (request->counted)
		model->whole[request->kind]++;
	if (ms >= RECOVERED_MS && ms < END_MS - 1000)
		model->late_whole++;
}

static void
step_upstream(struct model *model, struct model_upstream *upstream, unsigned ms)
{
	const uint64_t now_us = S + ms * MS;
	double acceptance =
	    loom_acceptance_share(&upstream->acceptance, now_us);
	double share = 1;

	if (ms % 10 == 0)
		loom_throttle_control_update(&upstream->control,
		    (double)upstream->running / UPSTREAM_SLOTS, now_us);
	if (model->reoffers && !loom_acceptance_is_hopeless(acceptance))
		share = loom_repeat_budget_share(
		    &upstream->budget, acceptance, now_us);
	upstream->shares[ms % REPORT_DELAY_MS] =
	    fmin(fmax(share, SHARE_MIN), upstream->control.share);
}

static void
run_model(struct model *model, uint32_t seed, bool reoffers)
{
	const double calls_per_ms =
	    ROOM_USED * UPSTREAMS * UPSTREAM_SLOTS / CALL_MS;
	double mean_calls = 0, due = 0;
	struct model_request *request;
	unsigned ms, i;

	memset(model, 0, sizeof(*model));
	model->reoffers = reoffers;
	model->random = test_random_new(seed);
	model->entry = loom_throttle_new(NULL);
	for (i = 0; i < KINDS; i++)
		mean_calls += kinds[i].share * kinds[i].calls;
	for (i = 0; i < UPSTREAMS; i++) {
		loom_repeat_budget_init(
		    &model->upstreams[i].budget, RATIO, WINDOW_MS * MS, S);
		loom_throttle_control_init(&model->upstreams[i].control, S);
		for (ms = 0; ms < REPORT_DELAY_MS; ms++)
			model->upstreams[i].shares[ms] = 1;
	}
	for (ms = 0; ms < END_MS; ms++) {
		due += calls_per_ms / mean_calls;
		while (due > 0) {
			begin_request(model, ms);
			due += log(1 - loom_random_unit(&model->random));
		}
		for (i = 0; i < REQUESTS_MAX; i++) {
			request = &model->requests[i];
			if (!request->used || request->next_ms != ms)
				continue;
			if (request->running)
				end_call(model, request, ms);
			else
				offer_call(model, request, ms);
		}
		for (i = 0; i < UPSTREAMS; i++)
			step_upstream(model, &model->upstreams[i], ms);
	}
	talloc_free(model->entry);
	test_random_free(&model->random);
}

/* The most repeats per first call in any window, by the service-wide rule. */
static double
worst_ratio(const struct model *model)
{
	const unsigned half = WINDOW_MS / 2;
	double firsts[3], repeats, worst = 0;
	unsigned end, i, j;

	for (end = 2 * WINDOW_MS; end < END_MS; end += 100) {
		repeats = firsts[0] = firsts[1] = firsts[2] = 0;
		for (i = 0; i < WINDOW_MS; i++) {
			repeats += model->repeats[end - i];
			for (j = 0; j < 3; j++)
				firsts[j] += model->firsts[end - i - j * half];
		}
		worst = fmax(worst,
		    repeats / fmax(fmax(firsts[0], firsts[1]), firsts[2]));
	}
	return worst;
}

static double
whole_share(const struct model *model, unsigned kind)
{
	return (double)model->whole[kind] / model->offered[kind];
}

static unsigned
all_whole(const struct model *model)
{
	unsigned whole = 0, k;

	for (k = 0; k < KINDS; k++)
		whole += model->whole[k];
	return whole;
}

/*
 * Guards against chains that end at one rejected call each while half of the
 * service's capacity and the whole budget of repeats are unused.
 */
static void
test_rejecting_service(void)
{
	static struct model before, after;
	uint32_t seed;
	unsigned k;

	for (seed = 1; seed <= 3; seed++) {
		run_model(&before, seed, false);
		run_model(&after, seed, true);
		for (k = 0; k < KINDS; k++)
			printf("seed %u: kind %u: whole %u of %u, without "
			       "reoffers %u\n",
			    seed, k, after.whole[k], after.offered[k],
			    before.whole[k]);
		printf("seed %u: worst ratio %.3f, without %.3f; after the "
		       "fault %u of %u\n",
		    seed, worst_ratio(&after), worst_ratio(&before),
		    after.late_whole, after.late_offered);
		TEST_CHECK(whole_share(&after, 0) > 0.35 &&
			whole_share(&before, 0) < 0.05,
		    "seed %u: critical %.3f, without %.3f", seed,
		    whole_share(&after, 0), whole_share(&before, 0));
		TEST_CHECK(all_whole(&after) > 1.5 * all_whole(&before),
		    "seed %u: %u whole, without %u", seed, all_whole(&after),
		    all_whole(&before));
		TEST_CHECK(worst_ratio(&after) <= RATIO,
		    "seed %u: %.3f repeats per first call", seed,
		    worst_ratio(&after));
		TEST_CHECK(after.late_whole >= 0.95 * after.late_offered,
		    "seed %u: %u of %u after the fault", seed, after.late_whole,
		    after.late_offered);
	}
}

/* Guards against repeated runs whose own calls nobody counts as repeats. */
static void
test_nested_rate(void)
{
	static const struct {
		const char *name;
		unsigned sent, nested;
		unsigned pause_s;
		bool may_nest;
	} rows[] = {
		{ "nothing known", 0, 0, 0, true },
		{ "few calls", 10, 0, 0, true },
		{ "a last service", 1000, 0, 0, false },
		{ "a last service, some probes", 1000, 10, 0, false },
		{ "one run in ten makes a call", 1000, 100, 0, true },
		{ "a chain", 1000, 4000, 0, true },
		{ "long ago", 1000, 0, 60, true },
	};
	unsigned j;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct loom_nested_rate rate = { 0 };
		bool may_nest;

		for (j = 0; j < rows[i].sent; j++)
			loom_nested_rate_note_sent(&rate, S);
		for (j = 0; j < rows[i].nested; j++)
			loom_nested_rate_note_nested(&rate, S);
		may_nest =
		    loom_nested_rate_may_nest(&rate, S + rows[i].pause_s * S);
		TEST_CHECK(may_nest == rows[i].may_nest, "%s", rows[i].name);
	}
}

static const struct test_case tests[] = {
	{ "nested calls", test_nested_rate },
	{ "acceptance", test_acceptance },
	{ "verdicts", test_verdicts },
	{ "pause", test_pause },
	{ "rejecting service", test_rejecting_service },
};

TEST_MAIN("reoffer", tests)
