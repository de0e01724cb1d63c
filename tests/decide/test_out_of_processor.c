/*
 * Entries offer a daemon twice what its fraction of a core can process, while
 * its upstream has free slots. The load that the daemon admits must fit its
 * processor, whatever a call costs it.
 *
 * The clock is simulated, the decisions are made by the real code. Each call
 * takes half of its cost when it arrives and half when its upstream has
 * answered; work waits in order for the event loop. Entries learn the share
 * from answers, REPORT_DELAY_US late.
 */

#include <string.h>
#include <talloc.h>

#include "loom/admission.h"
#include "loom/throttle.h"
#include "support/test.h"

#define SERVICE 1
#define SLOTS 152
#define SERVICE_US (40 * LOOM_US_PER_MS)
/* Available fraction of a core, as on a shared host. */
#define CORE_FRACTION 0.4
#define STEP_US (1 * LOOM_US_PER_MS)
#define TICK_INTERVAL_US (10 * LOOM_US_PER_MS)
#define BUSY_INTERVAL_US (100 * LOOM_US_PER_MS)
#define REPORT_DELAY_US (30 * LOOM_US_PER_MS)
#define WARM_UP_US (4 * LOOM_US_PER_S)
#define RUN_US (10 * LOOM_US_PER_S)
#define IN_TIME_US (300 * LOOM_US_PER_MS)
/*
 * SERVED_MIN: calls answered in time, of those that the processor can do.
 * WASTED_MAX: calls refused or answered late, of those admitted.
 */
#define SERVED_MIN 0.7
#define WASTED_MAX 0.02

struct call {
	struct loom_admission_call waiting;
	uint64_t sent_us;
	uint64_t ends_us; /* when its upstream answers */
	bool answered; /* waits for its second half */
};

struct model {
	struct loom_admission *adm;
	struct loom_throttle *gate;
	struct loom_random random;
	double cost_us; /* processor time per call */
	GQueue ready; /* of struct call: work for the event loop */
	GQueue at_upstream; /* of struct call: the next to end first */
	GQueue reports; /* of struct report: shares on their way to entries */
	double budget_us; /* processor time left over by the last step */
	/* steps with work left, since loom_admission_set_busy() */
	double busy;
	uint32_t steps;
	/* counted after the warm-up */
	uint32_t offered, admitted, in_time, late, refused;
	uint64_t lag_max_us;
};

struct report {
	double share;
	uint64_t at_us;
};

static uint64_t
lag_us(const struct model *model)
{
	double waiting_us =
	    g_queue_get_length((GQueue *)&model->ready) * model->cost_us / 2;

	return (uint64_t)(waiting_us / CORE_FRACTION);
}

static void
offer(struct model *model, uint64_t now_us)
{
	const bool measured = now_us >= WARM_UP_US;
	uint16_t rank =
	    loom_shed_rank(LOOM_LOW, model->random.next(model->random.arg));
	struct call *call;

	model->offered += measured;
	if (!loom_throttle_admit(model->gate, SERVICE, rank, 1, now_us))
		return;
	model->admitted += measured;
	call = g_new0(struct call, 1);
	call->sent_us = now_us;
	call->waiting = (struct loom_admission_call){
		.team_id = 1,
		.importance = LOOM_CRITICAL,
		.rank = rank,
		.deadline_us = now_us + 700 * LOOM_US_PER_MS,
		.arg = call,
	};
	g_queue_push_tail(&model->ready, call);
}

static void
start_at_upstream(struct model *model, struct call *call, uint64_t now_us)
{
	call->ends_us = now_us + SERVICE_US;
	g_queue_push_tail(&model->at_upstream, call);
}

static void
drop_refused(struct model *model, struct call *call, uint64_t now_us)
{
	model->refused += now_us >= WARM_UP_US;
	g_free(call);
}

static void
apply_moved(struct model *model, struct loom_verdicts *moved, uint64_t now_us)
{
	struct loom_admission_call *waiting, *next;

	for (waiting = moved->admitted; waiting != NULL; waiting = next) {
		next = waiting->next;
		start_at_upstream(model, waiting->arg, now_us);
	}
	for (waiting = moved->refused; waiting != NULL; waiting = next) {
		next = waiting->next;
		drop_refused(model, waiting->arg, now_us);
	}
}

static void
receive_call(struct model *model, struct call *call, uint64_t now_us)
{
	struct loom_verdicts moved;
	enum loom_admission_verdict admit;

	loom_verdicts_init(&moved);
	admit =
	    loom_admission_offer(model->adm, &call->waiting, now_us, &moved);
	apply_moved(model, &moved, now_us);
	if (admit == LOOM_ADMITTED)
		start_at_upstream(model, call, now_us);
	else if (admit == LOOM_REFUSED)
		drop_refused(model, call, now_us);
}

static void
send_answer(struct model *model, struct call *call, uint64_t now_us)
{
	const struct loom_call_result result = {
		.end = LOOM_CALL_OK,
		.latency_us = now_us - (call->ends_us - SERVICE_US),
	};
	struct report *report = g_new(struct report, 1);
	struct loom_verdicts moved;

	loom_verdicts_init(&moved);
	loom_admission_done(
	    model->adm, &call->waiting, &result, now_us, &moved);
	apply_moved(model, &moved, now_us);
	*report = (struct report){
		.share = loom_admission_throttle_share(model->adm),
		.at_us = now_us + REPORT_DELAY_US,
	};
	g_queue_push_tail(&model->reports, report);
	if (now_us >= WARM_UP_US) {
		if (now_us - call->sent_us <= IN_TIME_US)
			model->in_time++;
		else
			model->late++;
	}
	g_free(call);
}

static void
run_event_loop(struct model *model, uint64_t now_us)
{
	struct call *call;

	model->budget_us = MIN(model->budget_us, 0) + STEP_US * CORE_FRACTION;
	while (model->budget_us > 0 &&
	    (call = g_queue_pop_head(&model->ready)) != NULL) {
		model->budget_us -= model->cost_us / 2;
		if (call->answered)
			send_answer(model, call, now_us);
		else
			receive_call(model, call, now_us);
	}
	model->busy += model->budget_us <= 0;
	model->steps++;
}

static void
deliver_reports(struct model *model, uint64_t now_us)
{
	struct report *report;

	while ((report = g_queue_peek_head(&model->reports)) != NULL &&
	    report->at_us <= now_us) {
		g_queue_pop_head(&model->reports);
		loom_throttle_add_report(
		    model->gate, SERVICE, report->share, now_us);
		g_free(report);
	}
}

static void
finish_upstream_calls(struct model *model, uint64_t now_us)
{
	struct call *call;

	while ((call = g_queue_peek_head(&model->at_upstream)) != NULL &&
	    call->ends_us <= now_us) {
		g_queue_pop_head(&model->at_upstream);
		call->answered = true;
		g_queue_push_tail(&model->ready, call);
	}
}

static void
tick(struct model *model, uint64_t now_us)
{
	struct loom_verdicts moved;

	if (now_us % BUSY_INTERVAL_US == 0) {
		loom_admission_set_busy(
		    model->adm, model->busy / MAX(model->steps, 1));
		model->busy = 0;
		model->steps = 0;
	}
	loom_admission_set_loop_lag(model->adm, lag_us(model));
	loom_verdicts_init(&moved);
	loom_admission_tick(model->adm, now_us, &moved);
	apply_moved(model, &moved, now_us);
}

static void
simulate(struct model *model, double offered_per_s)
{
	double arrivals = 0;
	uint64_t now_us;

	for (now_us = STEP_US; now_us < RUN_US; now_us += STEP_US) {
		deliver_reports(model, now_us);
		finish_upstream_calls(model, now_us);
		arrivals += offered_per_s * STEP_US / LOOM_US_PER_S;
		while (arrivals >= 1) {
			arrivals -= 1;
			offer(model, now_us);
		}
		run_event_loop(model, now_us);
		if (now_us % TICK_INTERVAL_US == 0)
			tick(model, now_us);
		if (now_us >= WARM_UP_US)
			model->lag_max_us =
			    MAX(model->lag_max_us, lag_us(model));
	}
}

static void
model_clear(struct model *model)
{
	g_queue_clear_full(&model->ready, g_free);
	g_queue_clear_full(&model->at_upstream, g_free);
	g_queue_clear_full(&model->reports, g_free);
	test_random_free(&model->random);
	talloc_free(model->gate);
	talloc_free(model->adm);
}

/*
 * Guards against a daemon that admits calls by its free slots although its
 * processor cannot handle them: calls wait for its event loop until their
 * callers have left.
 */
static void
test_processor_overload(void)
{
	static const double costs_us[] = { 50, 200, 800 };
	struct loom_admission_settings settings = {
		.limit = { .slots = SLOTS },
		.queue = 3 * SLOTS,
	};
	const double slots_per_s = SLOTS * (double)LOOM_US_PER_S / SERVICE_US;
	double capacity_per_s, served_per_s;
	struct model model;
	uint32_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(costs_us); i++) {
		for (seed = 1; seed <= 3; seed++) {
			model = (struct model){
				.gate = loom_throttle_new(NULL),
				.random = test_random_new(seed),
				.cost_us = costs_us[i],
			};
			settings.random = model.random;
			model.adm = loom_admission_new(NULL, &settings, 0);
			capacity_per_s = MIN(slots_per_s,
			    CORE_FRACTION * LOOM_US_PER_S / costs_us[i]);
			simulate(&model, 2 * capacity_per_s);
			served_per_s = model.in_time * (double)LOOM_US_PER_S /
			    (RUN_US - WARM_UP_US);
			TEST_CHECK(served_per_s >= SERVED_MIN * capacity_per_s,
			    "%.0f us, seed %u: %.0f of %.0f a second in time",
			    costs_us[i], seed, served_per_s, capacity_per_s);
			TEST_CHECK(model.late + model.refused <=
				WASTED_MAX * model.admitted,
			    "%.0f us, seed %u: %u late, %u refused of %u admitted",
			    costs_us[i], seed, model.late, model.refused,
			    model.admitted);
			model_clear(&model);
		}
	}
}

static const struct test_case tests[] = {
	{ "twice the capacity of the processor", test_processor_overload },
};

TEST_MAIN("out_of_processor", tests)
