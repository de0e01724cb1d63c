/*
 * Simulates load against one struct loom_admission.
 */

#include <math.h>
#include <talloc.h>

#include "loom/shed.h"
#include "support/simulation.h"
#include "support/test.h"

#define STEP_US LOOM_US_PER_MS
#define STEPS_PER_TICK 10
#define DEFAULT_DEADLINE_MS 1000
#define WARM_UP_MS 600 /* light load before the loads begin */
#define WARM_UP_GAP_US (UINT64_C(10) * LOOM_US_PER_MS)

enum simulated_call_state {
	CALL_WAITING,
	CALL_FORWARDED, /* the upstream may still queue it */
	CALL_DONE,
};

struct simulated_call {
	struct loom_admission_call waiting;
	const struct simulated_load *load;
	struct load_outcome *outcome;
	enum simulated_call_state state;
	uint64_t arrived_us;
	uint64_t forwarded_us;
	uint64_t ends_us; /* 0 while the upstream queues it */
};

struct simulation {
	const struct simulated_upstream *upstream;
	struct loom_admission *admission;
	struct loom_random random;
	struct simulation_result *result;
	GPtrArray *calls; /* those not yet done */
	struct load_outcome warm_up; /* of the warm-up calls */
	uint64_t now_us;
	uint64_t start_us; /* end of the warm-up, when the loads begin */
	uint32_t running; /* calls that occupy a slot of the upstream */
	void *ctx;
};

/* Mark a call as done.  Ending a call twice violates an invariant. */
static void
end_call(struct simulation *simulation, struct simulated_call *call)
{
	if (call->state == CALL_DONE)
		simulation->result->broken++;
	call->state = CALL_DONE;
}

/* Record the refusal of a call. */
static void
refused(struct simulation *simulation, struct simulated_call *call)
{
	struct load_outcome *outcome = call->outcome;
	uint64_t wait_us = simulation->now_us - call->arrived_us;

	if (call->state != CALL_WAITING || call->waiting.code == LOOM_OK)
		simulation->result->broken++;
	end_call(simulation, call);
	outcome->refused++;
	outcome->refused_wait_sum_us += wait_us;
	outcome->refused_wait_max_us =
	    MAX(outcome->refused_wait_max_us, wait_us);
	outcome->retry_after_max_us =
	    MAX(outcome->retry_after_max_us, call->waiting.retry_after_us);
	if (outcome->retry_after_min_us == 0 ||
	    call->waiting.retry_after_us < outcome->retry_after_min_us)
		outcome->retry_after_min_us = call->waiting.retry_after_us;
}

static void
record_forwarding(struct simulation *simulation, struct simulated_call *call)
{
	if (call->state != CALL_WAITING)
		simulation->result->broken++;
	call->state = CALL_FORWARDED;
	call->forwarded_us = simulation->now_us;
}

static void
record_moved_calls(
    struct simulation *simulation, const struct loom_verdicts *moved)
{
	struct loom_admission_call *w, *next;

	for (w = moved->admitted; w != NULL; w = next) {
		next = w->next;
		record_forwarding(simulation, w->arg);
	}
	for (w = moved->refused; w != NULL; w = next) {
		next = w->next;
		refused(simulation, w->arg);
	}
}

static void
offer_call(struct simulation *simulation, const struct simulated_load *load,
    struct load_outcome *outcome)
{
	struct simulated_call *call =
	    talloc_zero(simulation->ctx, struct simulated_call);
	uint32_t deadline_ms =
	    load->deadline_ms > 0 ? load->deadline_ms : DEFAULT_DEADLINE_MS;
	struct loom_verdicts moved;
	enum loom_admission_verdict verdict;

	call->load = load;
	call->outcome = outcome;
	call->arrived_us = simulation->now_us;
	call->waiting = (struct loom_admission_call){
		.team_id = load->team,
		.team_weight = load->weight,
		.importance = load->importance,
		.rank = loom_shed_rank(load->importance,
		    simulation->random.next(simulation->random.arg)),
		.call_class = load->call_class,
		.deadline_us =
		    simulation->now_us + deadline_ms * LOOM_US_PER_MS,
		.arg = call,
	};
	outcome->offered++;
	g_ptr_array_add(simulation->calls, call);
	loom_verdicts_init(&moved);
	verdict = loom_admission_offer(
	    simulation->admission, &call->waiting, simulation->now_us, &moved);
	if (verdict == LOOM_ADMITTED)
		record_forwarding(simulation, call);
	else if (verdict == LOOM_REFUSED)
		refused(simulation, call);
	record_moved_calls(simulation, &moved);
}

static bool
is_within(
    const struct simulation *simulation, uint32_t from_ms, uint32_t until_ms)
{
	uint64_t time_us = simulation->now_us - simulation->start_us;

	return simulation->now_us >= simulation->start_us &&
	    time_us >= from_ms * LOOM_US_PER_MS &&
	    time_us < until_ms * LOOM_US_PER_MS;
}

static void
generate_arrivals(struct simulation *simulation,
    const struct simulated_load loads[SIMULATED_LOADS])
{
	static const struct simulated_load warm_up_load = { .team =
								UINT64_MAX };
	double expected, draw;
	int i;

	if (simulation->now_us < simulation->start_us &&
	    simulation->now_us % WARM_UP_GAP_US == 0)
		offer_call(simulation, &warm_up_load, &simulation->warm_up);
	for (i = 0; i < SIMULATED_LOADS; i++) {
		if (!is_within(simulation, loads[i].from_ms, loads[i].until_ms))
			continue;
		/* A Poisson process: count the exponentially distributed gaps
		 * that fit into one step. */
		expected = loads[i].per_s * STEP_US / LOOM_US_PER_S;
		draw = -log(1.0 - loom_random_unit(&simulation->random));
		while (draw < expected) {
			offer_call(simulation, &loads[i],
			    &simulation->result->loads[i]);
			draw +=
			    -log(1.0 - loom_random_unit(&simulation->random));
		}
	}
}

static uint64_t
service_us(
    const struct simulation *simulation, const struct simulated_call *call)
{
	const struct simulated_upstream *upstream = simulation->upstream;
	double took_ms = call->load->service_ms > 0 ? call->load->service_ms
						    : upstream->service_ms;

	if (is_within(
		simulation, upstream->slow_from_ms, upstream->slow_until_ms))
		took_ms *= upstream->slow_factor;
	/* Vary the service time uniformly by up to 25%. */
	took_ms *= 0.75 + 0.5 * loom_random_unit(&simulation->random);
	return (uint64_t)(took_ms * LOOM_US_PER_MS);
}

/* Let the upstream start forwarded calls in arrival order while it has free
 * slots. */
static void
start_queued_calls(struct simulation *simulation)
{
	uint32_t slots = simulation->upstream->actual_slots;
	struct simulated_call *call;
	guint i;

	if (slots == 0)
		slots = simulation->upstream->slots;
	for (i = 0; i < simulation->calls->len && simulation->running < slots;
	     i++) {
		call = g_ptr_array_index(simulation->calls, i);
		if (call->state != CALL_FORWARDED || call->ends_us != 0)
			continue;
		call->ends_us =
		    simulation->now_us + service_us(simulation, call);
		simulation->running++;
	}
}

static void
complete_call(struct simulation *simulation, struct simulated_call *call)
{
	struct loom_call_result result = {
		.end = LOOM_CALL_OK,
		.latency_us = simulation->now_us - call->forwarded_us,
	};
	struct loom_verdicts moved;

	simulation->running--;
	end_call(simulation, call);
	call->outcome->duration_sum_us += simulation->now_us - call->arrived_us;
	if (simulation->now_us <= call->waiting.deadline_us)
		call->outcome->served++;
	else
		call->outcome->late++;
	loom_verdicts_init(&moved);
	loom_admission_done(simulation->admission, &call->waiting, &result,
	    simulation->now_us, &moved);
	record_moved_calls(simulation, &moved);
}

static void
cancel_call(struct simulation *simulation, struct simulated_call *call)
{
	if (!loom_admission_cancel(simulation->admission, &call->waiting)) {
		simulation->result->broken++;
		return;
	}
	end_call(simulation, call);
	call->outcome->cancelled++;
}

static void
complete_and_cancel_calls(struct simulation *simulation)
{
	struct simulated_call *call;
	uint64_t age_us;
	guint i;

	for (i = 0; i < simulation->calls->len; i++) {
		call = g_ptr_array_index(simulation->calls, i);
		age_us = simulation->now_us - call->arrived_us;
		if (call->state == CALL_FORWARDED && call->ends_us != 0 &&
		    call->ends_us <= simulation->now_us)
			complete_call(simulation, call);
		else if (call->state == CALL_WAITING &&
		    call->load->cancel_after_ms > 0 &&
		    age_us >= call->load->cancel_after_ms * LOOM_US_PER_MS)
			cancel_call(simulation, call);
	}
}

static void
free_done_calls(struct simulation *simulation)
{
	struct simulated_call *call;
	guint i, kept = 0;

	for (i = 0; i < simulation->calls->len; i++) {
		call = g_ptr_array_index(simulation->calls, i);
		if (call->state == CALL_DONE)
			talloc_free(call);
		else
			simulation->calls->pdata[kept++] = call;
	}
	g_ptr_array_set_size(simulation->calls, (gint)kept);
}

/* Calls already inside are not ended when the limit falls below their number,
 * so their number may exceed the limit but must not grow. */
static void
check_invariants(struct simulation *simulation, uint32_t inside_before)
{
	struct loom_admission_state state;
	struct simulation_result *result = simulation->result;

	loom_admission_state(simulation->admission, &state);
	if (state.inside > MAX(state.limit, inside_before))
		result->broken++;
	if (state.waiting > simulation->upstream->queue)
		result->broken++;
	result->limit_min = MIN(result->limit_min, state.limit);
	result->limit_max = MAX(result->limit_max, state.limit);
	result->state = state;
}

static void
run_step(struct simulation *simulation,
    const struct simulated_load loads[SIMULATED_LOADS], uint64_t step_index)
{
	uint32_t inside_before = simulation->result->state.inside;
	struct loom_verdicts moved;

	if (simulation->upstream->reports_full)
		loom_admission_hint_full(
		    simulation->admission, simulation->now_us);
	complete_and_cancel_calls(simulation);
	if (step_index % STEPS_PER_TICK == 0) {
		loom_verdicts_init(&moved);
		loom_admission_tick(
		    simulation->admission, simulation->now_us, &moved);
		record_moved_calls(simulation, &moved);
	}
	generate_arrivals(simulation, loads);
	start_queued_calls(simulation);
	free_done_calls(simulation);
	check_invariants(simulation, inside_before);
}

/* Check that each offered call either has exactly one outcome or is still
 * tracked, and that the admission counts no calls once all are done. */
static void
check_totals(struct simulation *simulation)
{
	struct load_outcome *outcome;
	uint32_t ended, offered;
	int i;

	outcome = &simulation->warm_up;
	offered = outcome->offered;
	ended = outcome->served + outcome->late + outcome->refused;
	for (i = 0; i < SIMULATED_LOADS; i++) {
		outcome = &simulation->result->loads[i];
		offered += outcome->offered;
		ended += outcome->served + outcome->late + outcome->refused +
		    outcome->cancelled;
	}
	if (ended + simulation->calls->len != offered)
		simulation->result->broken++;
	if (simulation->result->state.inside > 0 ||
	    simulation->result->state.waiting > 0) {
		if (simulation->calls->len == 0)
			simulation->result->broken++;
	}
}

void
simulate_load(const struct simulated_upstream *upstream,
    const struct simulated_load loads[SIMULATED_LOADS], uint32_t end_ms,
    uint32_t seed, struct simulation_result *result)
{
	struct simulation simulation = {
		.upstream = upstream,
		.random = test_random_new(seed),
		.result = result,
		.calls = g_ptr_array_new(),
		.ctx = talloc_new(NULL),
	};
	struct loom_admission_settings settings = {
		.limit = {
			.slots = upstream->slots,
			.cold_start_us =
			    upstream->cold_start_ms * LOOM_US_PER_MS,
		},
		.queue = upstream->queue,
		.random = simulation.random,
	};
	uint32_t warm_up_ms = upstream->fresh ? 0 : WARM_UP_MS;
	uint64_t step_index;

	*result = (struct simulation_result){ .limit_min = UINT32_MAX };
	simulation.admission = loom_admission_new(simulation.ctx, &settings, 0);
	simulation.start_us = warm_up_ms * LOOM_US_PER_MS;
	for (step_index = 0; step_index < end_ms + warm_up_ms; step_index++) {
		simulation.now_us = step_index * STEP_US;
		run_step(&simulation, loads, step_index);
	}
	check_totals(&simulation);
	g_ptr_array_free(simulation.calls, TRUE);
	talloc_free(simulation.ctx);
	test_random_free(&simulation.random);
}

double
served_share(const struct load_outcome *outcome)
{
	if (outcome->offered == 0)
		return 1.0;
	return (double)outcome->served / outcome->offered;
}
