/*
 * An attempt's way through the chain: entry, executor, upstream, the hop
 * below, and back.  Only here the policies differ.
 */

#include <math.h>

#include "model_private.h"

#define NEAR_US UINT64_C(100) /* one way within a data centre */
#define HOP_TRIES 3
#define RANDOM_PART 0.5 /* of the work; the rest is the same each time */

static const uint64_t service_ids[MODEL_SERVICES] = { 1, 2, 3, 4 };

static void
push_call_event(struct model *model, struct call *call, enum event_kind kind,
    uint64_t delay_us)
{
	struct event event = {
		.kind = kind,
		.at_us = model->now_us + delay_us,
		.generation = call->generation,
		.object = call,
	};

	call->attempt->refs++;
	event_push(&model->heap, &event);
}

static void
fifo_push(struct fifo *fifo, struct call *call)
{
	call->next = NULL;
	*fifo->tail = call;
	fifo->tail = &call->next;
	fifo->n++;
	call->attempt->refs++;
}

static struct call *
fifo_pop(struct fifo *fifo)
{
	struct call *call = fifo->head;

	if (call == NULL)
		return NULL;
	fifo->head = call->next;
	if (fifo->head == NULL)
		fifo->tail = &fifo->head;
	fifo->n--;
	return call;
}

static void
fifo_remove(struct fifo *fifo, struct call *call)
{
	struct call **link = &fifo->head;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	if (*link == NULL)
		fifo->tail = link;
	fifo->n--;
	model_attempt_release(call->attempt);
}

static uint32_t
centre_above(const struct call *call)
{
	const struct attempt *attempt = call->attempt;

	if (call->hop == 0)
		return attempt->centre;
	return attempt->calls[call->hop - 1].target->centre;
}

static uint64_t
one_way_us(const struct model *model, const struct call *call)
{
	if (centre_above(call) == call->target->centre)
		return NEAR_US;
	return model->firm->far_us;
}

static struct loom_balance *
balance_above(struct model *model, const struct call *call)
{
	if (call->hop == 0)
		return model->entries[call->attempt->centre].balance;
	return call->attempt->calls[call->hop - 1].target->balance;
}

static struct loom_shed *
shed_above(struct model *model, const struct call *call)
{
	if (call->hop == 0)
		return model->entries[call->attempt->centre].shed;
	return call->attempt->calls[call->hop - 1].target->shed;
}

static struct target *
pick(struct model *model, const struct call *call)
{
	uint32_t n = model->firm->services[call->hop].targets;
	uint64_t host_id;

	if (model->policy != MODEL_LOOM)
		return &model->targets[call->hop]
				      [loom_random_below(&model->random, n)];
	host_id = loom_balance_pick(
	    balance_above(model, call), NULL, 0, model->now_us);
	return &model->targets[call->hop][(host_id - 1) % 100];
}

static void
send(struct model *model, struct attempt *attempt, uint32_t hop)
{
	struct call *call = &attempt->calls[hop];

	call->attempt = attempt;
	call->hop = hop;
	call->generation++;
	call->tries++;
	call->nested_us = 0;
	call->refused = false;
	call->cut = LOOM_CUT_NONE;
	call->state = CALL_SENT;
	call->sent_us = model->now_us;
	call->target = pick(model, call);
	loom_balance_note_sent(
	    balance_above(model, call), call->target->host_id, model->now_us);
	push_call_event(model, call, EVENT_CALL, one_way_us(model, call));
}

/* May the attempt go on to this hop and all below it? */
static bool
let_through(struct model *model, struct attempt *attempt, uint32_t hop,
    struct loom_shed *shed, uint64_t *retry_after_us)
{
	const struct request *request = attempt->request;

	if (model->policy != MODEL_LOOM)
		return true;
	return loom_shed_check(shed, &service_ids[hop], MODEL_SERVICES - hop,
		   request->team,
		   loom_shed_rank(request->importance, attempt->root_id),
		   model->now_us, retry_after_us) == LOOM_OK;
}

void
model_start(struct model *model, struct attempt *attempt)
{
	uint64_t retry_after_us = 0;
	int i;

	for (i = 0; i < MODEL_SERVICES; i++)
		attempt->cuts[i] = LOOM_CUT_NONE;
	if (let_through(model, attempt, 0, model->entries[attempt->centre].shed,
		&retry_after_us))
		send(model, attempt, 0);
	else
		model_attempt_over(model, attempt, false, true, retry_after_us);
}

static bool
is_slow(const struct model *model, const struct target *target)
{
	const struct model_pattern *pattern = model->pattern;

	if (pattern->slow_factor <= 0 || !model_in_window(model))
		return false;
	if ((int)target->service != pattern->slow_service)
		return false;
	return pattern->slow_target == MODEL_ALL_TARGETS ||
	    pattern->slow_target == (int)target->index;
}

static double
contention(const struct model *model, const struct target *target)
{
	double knee = model->pattern->contention_share *
	    model->firm->services[target->service].slots;

	if (knee <= 0 || (int)target->service != model->pattern->slow_service ||
	    target->working <= knee)
		return 1.0;
	return target->working / knee * (target->working / knee);
}

static double
work_us(struct model *model, const struct call *call)
{
	double work = model->firm->services[call->hop].own_us;
	double draw = -log(1.0 - g_rand_double(model->rand));

	if (call->attempt->is_long)
		work *= model->pattern->long_factor;
	if (is_slow(model, call->target))
		work *= model->pattern->slow_factor;
	work *= contention(model, call->target);
	return work * (1.0 - RANDOM_PART + RANDOM_PART * draw);
}

static uint32_t
real_slots(const struct model *model, const struct target *target)
{
	double slots = model->firm->services[target->service].slots;

	if (model->pattern->real_share > 0 &&
	    (int)target->service == model->pattern->slow_service)
		slots *= model->pattern->real_share;
	return (uint32_t)slots;
}

static void
work(struct model *model, struct call *call)
{
	double took_us = work_us(model, call);

	call->state = CALL_WORKING;
	call->attempt->work_us += took_us;
	model->tally.work_us += took_us;
	if (call->attempt->over)
		model->tally.wasted_us += took_us;
	push_call_event(model, call, EVENT_WORK_DONE, (uint64_t)took_us);
}

/* The upstream gets the call: it runs, or waits inside. */
static void
begin(struct model *model, struct call *call)
{
	struct target *target = call->target;

	call->begun_us = model->now_us;
	if (target->working < real_slots(model, target)) {
		target->working++;
		work(model, call);
		return;
	}
	call->state = CALL_INNER;
	fifo_push(&target->inner, call);
}

static void
slot_free(struct model *model, struct target *target)
{
	struct call *call;

	target->working--;
	if (target->working >= real_slots(model, target))
		return;
	call = fifo_pop(&target->inner);
	if (call == NULL)
		return;
	target->working++;
	work(model, call);
	model_attempt_release(call->attempt);
}

static void
answer(struct model *model, struct call *call, bool ok)
{
	call->ok = ok;
	call->state = CALL_ANSWERED;
	if (call->cut < call->attempt->cuts[call->hop])
		call->attempt->cuts[call->hop] = call->cut;
	push_call_event(model, call, EVENT_ANSWER, one_way_us(model, call));
}

static void
handle_moved(struct model *model, struct loom_verdicts *moved)
{
	struct loom_admission_call *w, *next;
	struct call *call;

	for (w = moved->refused; w != NULL; w = next) {
		next = w->next;
		call = w->arg;
		call->refused = true;
		call->cut = w->cut;
		answer(model, call, false);
	}
	for (w = moved->admitted; w != NULL; w = next) {
		next = w->next;
		begin(model, w->arg);
	}
}

static void
offer(struct model *model, struct call *call)
{
	const struct request *request = call->attempt->request;
	struct loom_admission_call *w = &call->waiting;
	struct loom_verdicts moved;
	enum loom_admission_verdict verdict;

	*w = (struct loom_admission_call){
		.team_id = request->team,
		.team_weight =
		    (uint32_t)(model->firm->team_share[request->team] * 1000),
		.importance = request->importance,
		.rank =
		    loom_shed_rank(request->importance, call->attempt->root_id),
		.call_class = call->attempt->is_long,
		.deadline_us = call->attempt->deadline_us,
		.arg = call,
	};
	loom_verdicts_init(&moved);
	call->state = CALL_WAITING;
	verdict = loom_admission_offer(
	    call->target->admission, w, model->now_us, &moved);
	if (verdict == LOOM_ADMITTED) {
		begin(model, call);
	} else if (verdict == LOOM_REFUSED) {
		call->refused = true;
		call->cut = w->cut;
		answer(model, call, false);
	}
	handle_moved(model, &moved);
}

static void
fixed_offer(struct model *model, struct call *call)
{
	const struct model_service *spec;
	struct target *target = call->target;

	spec = &model->firm->services[target->service];
	if (target->inside < spec->slots) {
		target->inside++;
		begin(model, call);
	} else if (target->waiting.n < spec->queue) {
		call->state = CALL_WAITING;
		fifo_push(&target->waiting, call);
	} else {
		call->refused = true;
		answer(model, call, false);
	}
}

void
model_call_arrives(struct model *model, struct call *call)
{
	if (model->policy == MODEL_LOOM)
		offer(model, call);
	else if (model->policy == MODEL_NO_CONTROL)
		begin(model, call);
	else
		fixed_offer(model, call);
}

static void
fixed_done(struct model *model, struct target *target)
{
	struct call *call = fifo_pop(&target->waiting);

	if (call == NULL) {
		target->inside--;
		return;
	}
	begin(model, call);
	model_attempt_release(call->attempt);
}

static void
loom_done(struct model *model, struct call *call, enum loom_call_end end)
{
	struct loom_call_result result = {
		.end = end,
		.latency_us = model->now_us - call->begun_us,
		.nested_us = call->nested_us,
	};
	struct loom_verdicts moved;

	loom_verdicts_init(&moved);
	loom_admission_done(call->target->admission, &call->waiting, &result,
	    model->now_us, &moved);
	call->cut = call->waiting.cut;
	handle_moved(model, &moved);
}

/* The upstream is done with the call. */
static void
finish(struct model *model, struct call *call, bool ok)
{
	slot_free(model, call->target);
	if (model->policy == MODEL_LOOM)
		loom_done(model, call, LOOM_CALL_OK);
	else if (model->policy != MODEL_NO_CONTROL)
		fixed_done(model, call->target);
	answer(model, call, ok);
}

void
model_work_done(struct model *model, struct call *call)
{
	struct attempt *attempt = call->attempt;
	uint64_t retry_after_us = 0;
	uint32_t below = call->hop + 1;

	if (below == MODEL_SERVICES) {
		finish(model, call, true);
		return;
	}
	if (!let_through(
		model, attempt, below, call->target->shed, &retry_after_us)) {
		finish(model, call, false);
		return;
	}
	call->state = CALL_DEEPER;
	attempt->calls[below].tries = 0;
	send(model, attempt, below);
}

static void
note_answer(struct model *model, struct call *call)
{
	struct attempt *attempt = call->attempt;
	struct loom_threshold threshold;
	uint32_t i;

	loom_balance_note_done(balance_above(model, call),
	    call->target->host_id,
	    call->refused ? LOOM_TARGET_REFUSED : LOOM_TARGET_OK,
	    model->now_us - call->sent_us, model->now_us);
	if (model->policy != MODEL_LOOM)
		return;
	for (i = call->hop; i < MODEL_SERVICES; i++) {
		if (attempt->calls[i].tries == 0)
			continue;
		threshold = (struct loom_threshold){
			.service_id = service_ids[i],
			.cut = attempt->cuts[i],
		};
		loom_shed_record(shed_above(model, call),
		    attempt->request->team, &threshold, model->now_us);
	}
}

void
model_answer(struct model *model, struct call *call)
{
	struct attempt *attempt = call->attempt;
	struct call *above;

	note_answer(model, call);
	if (!call->ok && model->policy == MODEL_HOP_RETRIES &&
	    call->tries < HOP_TRIES) {
		send(model, attempt, call->hop);
		return;
	}
	if (call->hop == 0) {
		if (!attempt->over)
			model_attempt_over(model, attempt, call->ok, !call->ok,
			    call->waiting.retry_after_us);
		return;
	}
	above = &attempt->calls[call->hop - 1];
	above->nested_us += model->now_us - call->sent_us;
	if (!call->ok)
		above->waiting.retry_after_us = call->waiting.retry_after_us;
	finish(model, above, call->ok);
}

static void
cancel_call(struct model *model, struct call *call)
{
	enum call_state state = call->state;

	if (state == CALL_IDLE)
		return;
	call->generation++;
	call->state = CALL_IDLE;
	loom_balance_note_done(balance_above(model, call),
	    call->target->host_id, LOOM_TARGET_CANCELLED, 0, model->now_us);
	if (state == CALL_WAITING)
		loom_admission_cancel(call->target->admission, &call->waiting);
	if (state == CALL_INNER)
		fifo_remove(&call->target->inner, call);
	if (state == CALL_WORKING || state == CALL_DEEPER)
		slot_free(model, call->target);
	if (state == CALL_INNER || state == CALL_WORKING ||
	    state == CALL_DEEPER)
		loom_done(model, call, LOOM_CALL_FAILED);
}

/* Deepest first; the deadline has passed and the whole chain stops. */
void
model_cancel(struct model *model, struct attempt *attempt)
{
	struct call *call;
	int hop;

	for (hop = MODEL_SERVICES - 1; hop >= 0; hop--) {
		call = &attempt->calls[hop];
		if (call->state != CALL_DEEPER || hop + 1 == MODEL_SERVICES) {
			cancel_call(model, call);
			continue;
		}
		call->nested_us +=
		    model->now_us - attempt->calls[hop + 1].sent_us;
		cancel_call(model, call);
	}
}

void
model_tick(struct model *model)
{
	struct loom_verdicts moved;
	uint32_t s, i;

	if (model->policy != MODEL_LOOM)
		return;
	for (s = 0; s < MODEL_SERVICES; s++) {
		for (i = 0; i < model->firm->services[s].targets; i++) {
			loom_verdicts_init(&moved);
			loom_admission_tick(model->targets[s][i].admission,
			    model->now_us, &moved);
			handle_moved(model, &moved);
		}
	}
}
