/*
 * The model's clock: a heap of events, and what each stands for.
 */

#include <string.h>
#include <talloc.h>

#include "model_private.h"

#define TICK_US (UINT64_C(10) * LOOM_US_PER_MS)
#define COLD_START_US (UINT64_C(2) * LOOM_US_PER_S)

static bool
event_before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static void
event_swap(struct event *a, struct event *b)
{
	struct event held = *a;

	*a = *b;
	*b = held;
}

void
event_push(struct event_heap *heap, const struct event *event)
{
	size_t i = heap->n++;

	if (heap->n > heap->size) {
		heap->size = heap->size == 0 ? 1024 : heap->size * 2;
		heap->events = g_renew(struct event, heap->events, heap->size);
	}
	heap->events[i] = *event;
	heap->events[i].sequence = heap->sequence++;
	while (i > 0 &&
	    event_before(&heap->events[i], &heap->events[(i - 1) / 2])) {
		event_swap(&heap->events[i], &heap->events[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

bool
event_pop(struct event_heap *heap, struct event *event)
{
	size_t i = 0, child;

	if (heap->n == 0)
		return false;
	*event = heap->events[0];
	heap->events[0] = heap->events[--heap->n];
	for (;;) {
		child = 2 * i + 1;
		if (child >= heap->n)
			return true;
		if (child + 1 < heap->n &&
		    event_before(
			&heap->events[child + 1], &heap->events[child]))
			child++;
		if (!event_before(&heap->events[child], &heap->events[i]))
			return true;
		event_swap(&heap->events[child], &heap->events[i]);
		i = child;
	}
}

bool
model_in_window(const struct model *model)
{
	return model->now_us >= model->pattern->from_us &&
	    model->now_us < model->pattern->until_us;
}

static uint64_t
random_next(void *arg)
{
	uint64_t high = g_rand_int(arg);

	return high << 32 | g_rand_int(arg);
}

/* The hosts of a service as one data centre sees them. */
static struct loom_balance *
balance_new(struct model *model, uint32_t service, uint32_t centre)
{
	struct loom_balance_host hosts[MODEL_TARGETS];
	struct loom_balance *balance;
	uint32_t i, n = model->firm->services[service].targets;

	balance = loom_balance_new(model->ctx, &model->random, COLD_START_US);
	for (i = 0; i < n; i++)
		hosts[i] = (struct loom_balance_host){
			.host_id = model->targets[service][i].host_id,
			.near = model->targets[service][i].centre == centre,
		};
	loom_balance_set_hosts(balance, hosts, n, 0);
	return balance;
}

static void
target_init(struct model *model, uint32_t service, uint32_t index)
{
	const struct model_service *spec = &model->firm->services[service];
	struct target *target = &model->targets[service][index];
	struct loom_admission_settings settings = {
		.limit = { .slots = spec->slots },
		.queue = spec->queue,
		.random = model->random,
	};

	target->service = service;
	target->index = index;
	target->centre = index % MODEL_CENTRES;
	target->host_id = service * 100 + index + 1;
	target->inner.tail = &target->inner.head;
	target->waiting.tail = &target->waiting.head;
	if (model->policy != MODEL_LOOM)
		return;
	target->admission = loom_admission_new(model->ctx, &settings, 0);
	target->shed = loom_shed_new(model->ctx, &model->random);
}

static void
balances_init(struct model *model)
{
	struct target *target;
	uint32_t s, i;

	for (s = 0; s + 1 < MODEL_SERVICES; s++) {
		for (i = 0; i < model->firm->services[s].targets; i++) {
			target = &model->targets[s][i];
			target->balance =
			    balance_new(model, s + 1, target->centre);
		}
	}
	for (i = 0; i < MODEL_CENTRES; i++) {
		model->entries[i].balance = balance_new(model, 0, i);
		model->entries[i].shed =
		    loom_shed_new(model->ctx, &model->random);
	}
}

static void
model_init(struct model *model)
{
	struct event first = { .kind = EVENT_ARRIVAL };
	struct event tick = { .kind = EVENT_TICK, .at_us = TICK_US };
	uint32_t s, i;

	for (s = 0; s < MODEL_SERVICES; s++) {
		for (i = 0; i < model->firm->services[s].targets; i++)
			target_init(model, s, i);
	}
	balances_init(model);
	tally_init(model);
	event_push(&model->heap, &first);
	event_push(&model->heap, &tick);
}

static void
handle_call_event(struct model *model, const struct event *event)
{
	struct call *call = event->object;

	if (call->generation == event->generation) {
		if (event->kind == EVENT_CALL)
			model_call_arrives(model, call);
		else if (event->kind == EVENT_WORK_DONE)
			model_work_done(model, call);
		else
			model_answer(model, call);
	}
	model_attempt_release(call->attempt);
}

static void
handle_timeout(struct model *model, struct attempt *attempt)
{
	if (!attempt->over) {
		if (model->policy == MODEL_LOOM)
			model_cancel(model, attempt);
		model_attempt_over(model, attempt, false, false, 0);
	}
	model_attempt_release(attempt);
}

static void
handle(struct model *model, const struct event *event)
{
	struct event tick = { .kind = EVENT_TICK };

	switch (event->kind) {
	case EVENT_ARRIVAL:
		model_arrival(model);
		break;
	case EVENT_TIMEOUT:
		handle_timeout(model, event->object);
		break;
	case EVENT_AGAIN:
		model_again(model, event->object);
		break;
	case EVENT_TICK:
		model_tick(model);
		tick.at_us = model->now_us + TICK_US;
		event_push(&model->heap, &tick);
		break;
	case EVENT_CALL:
	case EVENT_WORK_DONE:
	case EVENT_ANSWER:
		handle_call_event(model, event);
		break;
	}
}

void
model_run(const struct model_firm *firm, const struct model_pattern *pattern,
    enum model_policy policy, uint32_t seed, struct model_result *result)
{
	struct model *model = g_new0(struct model, 1);
	struct event event;

	model->firm = firm;
	model->pattern = pattern;
	model->policy = policy;
	model->rand = g_rand_new_with_seed(seed);
	model->random = (struct loom_random){
		.next = random_next,
		.arg = model->rand,
	};
	model->ctx = talloc_new(NULL);
	model_init(model);
	while (
	    event_pop(&model->heap, &event) && event.at_us < pattern->end_us) {
		model->now_us = event.at_us;
		handle(model, &event);
	}
	tally_report(model, result);
	tally_free(model);
	talloc_free(model->ctx);
	g_rand_free(model->rand);
	g_free(model->heap.events);
	g_free(model);
}
