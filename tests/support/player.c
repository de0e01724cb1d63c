/*
 * Simulates load against one struct loom_admission.
 */

#include <math.h>
#include <talloc.h>

#include "loom/shed.h"
#include "support/player.h"
#include "support/test.h"

#define STEP_US LOOM_US_PER_MS
#define STEPS_PER_TICK 10
#define DEFAULT_DEADLINE_MS 1000
#define WARM_UP_MS 600 /* light load before the loads begin */
#define WARM_UP_GAP_US (UINT64_C(10) * LOOM_US_PER_MS)

enum play_state {
	PLAY_WAITING,
	PLAY_FORWARDED, /* the upstream may still queue it */
	PLAY_DONE,
};

struct play_call {
	struct loom_admission_call waiting;
	const struct play_load *load;
	struct play_outcome *outcome;
	enum play_state state;
	uint64_t arrived_us;
	uint64_t forwarded_us;
	uint64_t ends_us; /* 0 while the upstream queues it */
};

struct player {
	const struct play_upstream *upstream;
	struct loom_admission *admission;
	struct loom_random random;
	struct play_result *result;
	GPtrArray *calls; /* those not yet done */
	struct play_outcome warm_up; /* of the warm-up calls */
	uint64_t now_us;
	uint64_t start_us; /* end of the warm-up, when the loads begin */
	uint32_t running; /* calls that occupy a slot of the upstream */
	void *ctx;
};

/* Mark a call as done.  Ending a call twice violates an invariant. */
static void
end_call(struct player *player, struct play_call *call)
{
	if (call->state == PLAY_DONE)
		player->result->broken++;
	call->state = PLAY_DONE;
}

/* Record the refusal of a call. */
static void
refused(struct player *player, struct play_call *call)
{
	struct play_outcome *outcome = call->outcome;
	uint64_t wait_us = player->now_us - call->arrived_us;

	if (call->state != PLAY_WAITING || call->waiting.code == LOOM_OK)
		player->result->broken++;
	end_call(player, call);
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
record_forwarding(struct player *player, struct play_call *call)
{
	if (call->state != PLAY_WAITING)
		player->result->broken++;
	call->state = PLAY_FORWARDED;
	call->forwarded_us = player->now_us;
}

static void
record_moved_calls(struct player *player, const struct loom_verdicts *moved)
{
	struct loom_admission_call *w, *next;

	for (w = moved->admitted; w != NULL; w = next) {
		next = w->next;
		record_forwarding(player, w->arg);
	}
	for (w = moved->refused; w != NULL; w = next) {
		next = w->next;
		refused(player, w->arg);
	}
}

static void
offer_call(struct player *player, const struct play_load *load,
    struct play_outcome *outcome)
{
	struct play_call *call = talloc_zero(player->ctx, struct play_call);
	uint32_t deadline_ms =
	    load->deadline_ms > 0 ? load->deadline_ms : DEFAULT_DEADLINE_MS;
	struct loom_verdicts moved;
	enum loom_admission_verdict verdict;

	call->load = load;
	call->outcome = outcome;
	call->arrived_us = player->now_us;
	call->waiting = (struct loom_admission_call){
		.team_id = load->team,
		.team_weight = load->weight,
		.importance = load->importance,
		.rank = loom_shed_rank(
		    load->importance, player->random.next(player->random.arg)),
		.call_class = load->call_class,
		.deadline_us = player->now_us + deadline_ms * LOOM_US_PER_MS,
		.arg = call,
	};
	outcome->offered++;
	g_ptr_array_add(player->calls, call);
	loom_verdicts_init(&moved);
	verdict = loom_admission_offer(
	    player->admission, &call->waiting, player->now_us, &moved);
	if (verdict == LOOM_ADMITTED)
		record_forwarding(player, call);
	else if (verdict == LOOM_REFUSED)
		refused(player, call);
	record_moved_calls(player, &moved);
}

static bool
is_within(const struct player *player, uint32_t from_ms, uint32_t until_ms)
{
	uint64_t time_us = player->now_us - player->start_us;

	return player->now_us >= player->start_us &&
	    time_us >= from_ms * LOOM_US_PER_MS &&
	    time_us < until_ms * LOOM_US_PER_MS;
}

static void
generate_arrivals(
    struct player *player, const struct play_load loads[PLAY_LOADS])
{
	static const struct play_load warm_up_load = { .team = UINT64_MAX };
	double expected, draw;
	int i;

	if (player->now_us < player->start_us &&
	    player->now_us % WARM_UP_GAP_US == 0)
		offer_call(player, &warm_up_load, &player->warm_up);
	for (i = 0; i < PLAY_LOADS; i++) {
		if (!is_within(player, loads[i].from_ms, loads[i].until_ms))
			continue;
		/* A Poisson process: count the exponentially distributed gaps
		 * that fit into one step. */
		expected = loads[i].per_s * STEP_US / LOOM_US_PER_S;
		draw = -log(1.0 - loom_random_unit(&player->random));
		while (draw < expected) {
			offer_call(
			    player, &loads[i], &player->result->loads[i]);
			draw += -log(1.0 - loom_random_unit(&player->random));
		}
	}
}

static uint64_t
service_us(const struct player *player, const struct play_call *call)
{
	const struct play_upstream *upstream = player->upstream;
	double took_ms = call->load->service_ms > 0 ? call->load->service_ms
						    : upstream->service_ms;

	if (is_within(player, upstream->slow_from_ms, upstream->slow_until_ms))
		took_ms *= upstream->slow_factor;
	/* Vary the service time uniformly by up to 25%. */
	took_ms *= 0.75 + 0.5 * loom_random_unit(&player->random);
	return (uint64_t)(took_ms * LOOM_US_PER_MS);
}

/* Let the upstream start forwarded calls in arrival order while it has free
 * slots. */
static void
start_queued_calls(struct player *player)
{
	uint32_t slots = player->upstream->real_slots;
	struct play_call *call;
	guint i;

	if (slots == 0)
		slots = player->upstream->slots;
	for (i = 0; i < player->calls->len && player->running < slots; i++) {
		call = g_ptr_array_index(player->calls, i);
		if (call->state != PLAY_FORWARDED || call->ends_us != 0)
			continue;
		call->ends_us = player->now_us + service_us(player, call);
		player->running++;
	}
}

static void
complete_call(struct player *player, struct play_call *call)
{
	struct loom_call_result result = {
		.end = LOOM_CALL_OK,
		.latency_us = player->now_us - call->forwarded_us,
	};
	struct loom_verdicts moved;

	player->running--;
	end_call(player, call);
	call->outcome->took_sum_us += player->now_us - call->arrived_us;
	if (player->now_us <= call->waiting.deadline_us)
		call->outcome->served++;
	else
		call->outcome->late++;
	loom_verdicts_init(&moved);
	loom_admission_done(
	    player->admission, &call->waiting, &result, player->now_us, &moved);
	record_moved_calls(player, &moved);
}

static void
cancel_call(struct player *player, struct play_call *call)
{
	if (!loom_admission_cancel(player->admission, &call->waiting)) {
		player->result->broken++;
		return;
	}
	end_call(player, call);
	call->outcome->cancelled++;
}

static void
complete_and_cancel_calls(struct player *player)
{
	struct play_call *call;
	uint64_t age_us;
	guint i;

	for (i = 0; i < player->calls->len; i++) {
		call = g_ptr_array_index(player->calls, i);
		age_us = player->now_us - call->arrived_us;
		if (call->state == PLAY_FORWARDED && call->ends_us != 0 &&
		    call->ends_us <= player->now_us)
			complete_call(player, call);
		else if (call->state == PLAY_WAITING &&
		    call->load->gives_up_ms > 0 &&
		    age_us >= call->load->gives_up_ms * LOOM_US_PER_MS)
			cancel_call(player, call);
	}
}

static void
free_done_calls(struct player *player)
{
	struct play_call *call;
	guint i, kept = 0;

	for (i = 0; i < player->calls->len; i++) {
		call = g_ptr_array_index(player->calls, i);
		if (call->state == PLAY_DONE)
			talloc_free(call);
		else
			player->calls->pdata[kept++] = call;
	}
	g_ptr_array_set_size(player->calls, (gint)kept);
}

/* Calls already inside are not ended when the limit falls below their number,
 * so their number may exceed the limit but must not grow. */
static void
check_invariants(struct player *player, uint32_t inside_before)
{
	struct loom_admission_state state;
	struct play_result *result = player->result;

	loom_admission_state(player->admission, &state);
	if (state.inside > MAX(state.limit, inside_before))
		result->broken++;
	if (state.waiting > player->upstream->queue)
		result->broken++;
	result->limit_min = MIN(result->limit_min, state.limit);
	result->limit_max = MAX(result->limit_max, state.limit);
	result->state = state;
}

static void
run_step(struct player *player, const struct play_load loads[PLAY_LOADS],
    uint64_t step_index)
{
	uint32_t inside_before = player->result->state.inside;
	struct loom_verdicts moved;

	if (player->upstream->says_full)
		loom_admission_hint_full(player->admission, player->now_us);
	complete_and_cancel_calls(player);
	if (step_index % STEPS_PER_TICK == 0) {
		loom_verdicts_init(&moved);
		loom_admission_tick(player->admission, player->now_us, &moved);
		record_moved_calls(player, &moved);
	}
	generate_arrivals(player, loads);
	start_queued_calls(player);
	free_done_calls(player);
	check_invariants(player, inside_before);
}

/* Check that each offered call either has exactly one outcome or is still
 * tracked, and that the admission counts no calls once all are done. */
static void
check_totals(struct player *player)
{
	struct play_outcome *outcome;
	uint32_t ended, offered;
	int i;

	outcome = &player->warm_up;
	offered = outcome->offered;
	ended = outcome->served + outcome->late + outcome->refused;
	for (i = 0; i < PLAY_LOADS; i++) {
		outcome = &player->result->loads[i];
		offered += outcome->offered;
		ended += outcome->served + outcome->late + outcome->refused +
		    outcome->cancelled;
	}
	if (ended + player->calls->len != offered)
		player->result->broken++;
	if (player->result->state.inside > 0 ||
	    player->result->state.waiting > 0) {
		if (player->calls->len == 0)
			player->result->broken++;
	}
}

void
play(const struct play_upstream *upstream,
    const struct play_load loads[PLAY_LOADS], uint32_t end_ms, uint32_t seed,
    struct play_result *result)
{
	struct player player = {
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
		.random = player.random,
	};
	uint32_t warm_up_ms = upstream->fresh ? 0 : WARM_UP_MS;
	uint64_t step_index;

	*result = (struct play_result){ .limit_min = UINT32_MAX };
	player.admission = loom_admission_new(player.ctx, &settings, 0);
	player.start_us = warm_up_ms * LOOM_US_PER_MS;
	for (step_index = 0; step_index < end_ms + warm_up_ms; step_index++) {
		player.now_us = step_index * STEP_US;
		run_step(&player, loads, step_index);
	}
	check_totals(&player);
	g_ptr_array_free(player.calls, TRUE);
	talloc_free(player.ctx);
	test_random_free(&player.random);
}

double
play_served(const struct play_outcome *outcome)
{
	if (outcome->offered == 0)
		return 1.0;
	return (double)outcome->served / outcome->offered;
}
