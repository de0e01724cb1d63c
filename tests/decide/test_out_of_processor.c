/*
 * Entries that offer a daemon twice what its part of a core can do, while its
 * upstream has slots to spare: what it lets in must fit its processor, whatever
 * a call costs it.
 *
 * A fake clock; the decisions are the real ones.  Each call takes half of its
 * cost when it comes and half when its upstream has answered; what is not done
 * yet waits for the event loop in order.  Entries hear of the share by answers,
 * some tens of milliseconds late.
 */

#include <string.h>
#include <talloc.h>

#include "loom/admission.h"
#include "loom/keep.h"
#include "support/test.h"

#define SERVICE 1
#define SLOTS 152
#define SERVICE_US (40 * LOOM_US_PER_MS)
/* Of a core, as a host may have. */
#define CORE 0.4
#define STEP_US (1 * LOOM_US_PER_MS)
#define TICK_US (10 * LOOM_US_PER_MS)
#define BUSY_US (100 * LOOM_US_PER_MS)
#define NEWS_US (30 * LOOM_US_PER_MS)
#define WARM_US (4 * LOOM_US_PER_S)
#define RUN_US (10 * LOOM_US_PER_S)
#define IN_TIME_US (300 * LOOM_US_PER_MS)
/* Of the room that there is, in time; of what was let in, in vain. */
#define SERVED_MIN 0.7
#define WASTED_MAX 0.02

struct call {
	struct loom_waiting waiting;
	uint64_t sent_us;
	uint64_t until_us; /* its upstream answers */
	bool answered; /* waits for its second half */
};

struct model {
	struct loom_admission *adm;
	struct loom_keep_gate *gate;
	struct loom_random random;
	double cost_us; /* of processor, a call */
	GQueue loop; /* of struct call: what is ready for the event loop */
	GQueue inside; /* at the upstream, the next to end first */
	GQueue news; /* struct news: shares on their way to entries */
	double left_us; /* of the processor, not used up by the last step */
	double
	    busy; /* steps with work left, of the steps since the last look */
	uint32_t steps;
	uint32_t offered, let_in, in_time, late, refused; /* once it is warm */
	uint64_t lag_max_us;
};

struct news {
	double share;
	uint64_t at_us;
};

static uint64_t
lag_us(const struct model *model)
{
	double waiting_us =
	    g_queue_get_length((GQueue *)&model->loop) * model->cost_us / 2;

	return (uint64_t)(waiting_us / CORE);
}

static void
offer(struct model *model, uint64_t now_us)
{
	const bool warm = now_us >= WARM_US;
	uint16_t rank =
	    loom_shed_rank(LOOM_LOW, model->random.next(model->random.arg));
	struct call *call;

	model->offered += warm;
	if (!loom_keep_pass(model->gate, SERVICE, rank, 1, now_us))
		return;
	model->let_in += warm;
	call = g_new0(struct call, 1);
	call->sent_us = now_us;
	call->waiting = (struct loom_waiting){
		.team_id = 1,
		.importance = LOOM_CRITICAL,
		.rank = rank,
		.deadline_us = now_us + 700 * LOOM_US_PER_MS,
		.arg = call,
	};
	g_queue_push_tail(&model->loop, call);
}

static void
go(struct model *model, struct call *call, uint64_t now_us)
{
	call->until_us = now_us + SERVICE_US;
	g_queue_push_tail(&model->inside, call);
}

static void
refused(struct model *model, struct call *call, uint64_t now_us)
{
	model->refused += now_us >= WARM_US;
	g_free(call);
}

static void
move(struct model *model, struct loom_moved *moved, uint64_t now_us)
{
	struct loom_waiting *waiting, *next;

	for (waiting = moved->go; waiting != NULL; waiting = next) {
		next = waiting->next;
		go(model, waiting->arg, now_us);
	}
	for (waiting = moved->refused; waiting != NULL; waiting = next) {
		next = waiting->next;
		refused(model, waiting->arg, now_us);
	}
}

static void
come_in(struct model *model, struct call *call, uint64_t now_us)
{
	struct loom_moved moved;
	enum loom_admit admit;

	loom_moved_init(&moved);
	admit =
	    loom_admission_offer(model->adm, &call->waiting, now_us, &moved);
	move(model, &moved, now_us);
	if (admit == LOOM_ADMITTED)
		go(model, call, now_us);
	else if (admit == LOOM_REFUSED)
		refused(model, call, now_us);
}

static void
give_answer(struct model *model, struct call *call, uint64_t now_us)
{
	const struct loom_call_result result = {
		.end = LOOM_CALL_OK,
		.latency_us = now_us - (call->until_us - SERVICE_US),
	};
	struct news *news = g_new(struct news, 1);
	struct loom_moved moved;

	loom_moved_init(&moved);
	loom_admission_done(
	    model->adm, &call->waiting, &result, now_us, &moved);
	move(model, &moved, now_us);
	*news = (struct news){
		.share = loom_admission_keep(model->adm),
		.at_us = now_us + NEWS_US,
	};
	g_queue_push_tail(&model->news, news);
	if (now_us >= WARM_US) {
		if (now_us - call->sent_us <= IN_TIME_US)
			model->in_time++;
		else
			model->late++;
	}
	g_free(call);
}

static void
work(struct model *model, uint64_t now_us)
{
	struct call *call;

	model->left_us = MIN(model->left_us, 0) + STEP_US * CORE;
	while (model->left_us > 0 &&
	    (call = g_queue_pop_head(&model->loop)) != NULL) {
		model->left_us -= model->cost_us / 2;
		if (call->answered)
			give_answer(model, call, now_us);
		else
			come_in(model, call, now_us);
	}
	model->busy += model->left_us <= 0;
	model->steps++;
}

static void
hear(struct model *model, uint64_t now_us)
{
	struct news *news;

	while ((news = g_queue_peek_head(&model->news)) != NULL &&
	    news->at_us <= now_us) {
		g_queue_pop_head(&model->news);
		loom_keep_note(model->gate, SERVICE, news->share, now_us);
		g_free(news);
	}
}

static void
end_upstream(struct model *model, uint64_t now_us)
{
	struct call *call;

	while ((call = g_queue_peek_head(&model->inside)) != NULL &&
	    call->until_us <= now_us) {
		g_queue_pop_head(&model->inside);
		call->answered = true;
		g_queue_push_tail(&model->loop, call);
	}
}

static void
tick(struct model *model, uint64_t now_us)
{
	struct loom_moved moved;

	if (now_us % BUSY_US == 0) {
		loom_admission_note_busy(
		    model->adm, model->busy / MAX(model->steps, 1));
		model->busy = 0;
		model->steps = 0;
	}
	loom_admission_note_lag(model->adm, lag_us(model));
	loom_moved_init(&moved);
	loom_admission_tick(model->adm, now_us, &moved);
	move(model, &moved, now_us);
}

static void
play(struct model *model, double offered_per_s)
{
	double arrivals = 0;
	uint64_t now_us;

	for (now_us = STEP_US; now_us < RUN_US; now_us += STEP_US) {
		hear(model, now_us);
		end_upstream(model, now_us);
		arrivals += offered_per_s * STEP_US / LOOM_US_PER_S;
		while (arrivals >= 1) {
			arrivals -= 1;
			offer(model, now_us);
		}
		work(model, now_us);
		if (now_us % TICK_US == 0)
			tick(model, now_us);
		if (now_us >= WARM_US)
			model->lag_max_us =
			    MAX(model->lag_max_us, lag_us(model));
	}
}

static void
model_clear(struct model *model)
{
	g_queue_clear_full(&model->loop, g_free);
	g_queue_clear_full(&model->inside, g_free);
	g_queue_clear_full(&model->news, g_free);
	test_random_free(&model->random);
	talloc_free(model->gate);
	talloc_free(model->adm);
}

/* Guards against a daemon that lets in by its slots what its processor cannot
 * do: calls wait for its event loop until their callers have left. */
static void
test_twice_the_processor(void)
{
	static const double costs_us[] = { 50, 200, 800 };
	struct loom_admission_settings settings = {
		.limit = { .slots = SLOTS },
		.queue = 3 * SLOTS,
	};
	const double slots_per_s = SLOTS * (double)LOOM_US_PER_S / SERVICE_US;
	double room_per_s, served_per_s;
	struct model model;
	uint32_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(costs_us); i++) {
		for (seed = 1; seed <= 3; seed++) {
			model = (struct model){
				.gate = loom_keep_gate_new(NULL),
				.random = test_random_new(seed),
				.cost_us = costs_us[i],
			};
			settings.random = model.random;
			model.adm = loom_admission_new(NULL, &settings, 0);
			room_per_s = MIN(
			    slots_per_s, CORE * LOOM_US_PER_S / costs_us[i]);
			play(&model, 2 * room_per_s);
			served_per_s = model.in_time * (double)LOOM_US_PER_S /
			    (RUN_US - WARM_US);
			TEST_CHECK(served_per_s >= SERVED_MIN * room_per_s,
			    "%.0f us, seed %u: %.0f of %.0f a second in time",
			    costs_us[i], seed, served_per_s, room_per_s);
			TEST_CHECK(model.late + model.refused <=
				WASTED_MAX * model.let_in,
			    "%.0f us, seed %u: %u late, %u refused of %u let in",
			    costs_us[i], seed, model.late, model.refused,
			    model.let_in);
			model_clear(&model);
		}
	}
}

static const struct test_case tests[] = {
	{ "twice what the processor can do", test_twice_the_processor },
};

TEST_MAIN("out_of_processor", tests)
