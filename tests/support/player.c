/*
 * The player of loads against one admission.
 */

#include <math.h>
#include <talloc.h>

#include "loom/shed.h"
#include "support/player.h"
#include "support/test.h"

#define STEP_US LOOM_US_PER_MS
#define TICK_STEPS 10
#define DEADLINE_MS 1000
#define LEAD_MS 600 /* of light use, one call after the other */
#define LEAD_GAP_US (UINT64_C(10) * LOOM_US_PER_MS)

enum play_state {
	PLAY_WAITS,
	PLAY_RUNS, /* forwarded; the upstream may still queue it */
	PLAY_DONE,
};

struct play_call {
	struct loom_waiting waiting;
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
	GPtrArray *calls; /* not done */
	struct play_outcome light; /* of the calls at ease */
	uint64_t now_us;
	uint64_t start_us; /* when the loads begin */
	uint32_t running; /* in the upstream's slots */
	void *ctx;
};

static void
settle(struct player *player, struct play_call *call)
{
	if (call->state == PLAY_DONE)
		player->result->broken++;
	call->state = PLAY_DONE;
}

static void
refused(struct player *player, struct play_call *call)
{
	struct play_outcome *outcome = call->outcome;
	uint64_t wait_us = player->now_us - call->arrived_us;

	if (call->state != PLAY_WAITS || call->waiting.code == LOOM_OK)
		player->result->broken++;
	settle(player, call);
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
forward(struct player *player, struct play_call *call)
{
	if (call->state != PLAY_WAITS)
		player->result->broken++;
	call->state = PLAY_RUNS;
	call->forwarded_us = player->now_us;
}

static void
handle_moved(struct player *player, const struct loom_moved *moved)
{
	struct loom_waiting *w, *next;

	for (w = moved->go; w != NULL; w = next) {
		next = w->next;
		forward(player, w->arg);
	}
	for (w = moved->refused; w != NULL; w = next) {
		next = w->next;
		refused(player, w->arg);
	}
}

static void
offer(struct player *player, const struct play_load *load,
    struct play_outcome *outcome)
{
	struct play_call *call = talloc_zero(player->ctx, struct play_call);
	uint32_t deadline_ms =
	    load->deadline_ms > 0 ? load->deadline_ms : DEADLINE_MS;
	struct loom_moved moved;
	enum loom_admit verdict;

	call->load = load;
	call->outcome = outcome;
	call->arrived_us = player->now_us;
	call->waiting = (struct loom_waiting){
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
	loom_moved_init(&moved);
	verdict = loom_admission_offer(
	    player->admission, &call->waiting, player->now_us, &moved);
	if (verdict == LOOM_ADMITTED)
		forward(player, call);
	else if (verdict == LOOM_REFUSED)
		refused(player, call);
	handle_moved(player, &moved);
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
arrivals(struct player *player, const struct play_load loads[PLAY_LOADS])
{
	static const struct play_load light = { .team = UINT64_MAX };
	double expected, draw;
	int i;

	if (player->now_us < player->start_us &&
	    player->now_us % LEAD_GAP_US == 0)
		offer(player, &light, &player->light);
	for (i = 0; i < PLAY_LOADS; i++) {
		if (!is_within(player, loads[i].from_ms, loads[i].until_ms))
			continue;
		/* Exponential gaps, counted within one step. */
		expected = loads[i].per_s * STEP_US / LOOM_US_PER_S;
		draw = -log(1.0 - loom_random_unit(&player->random));
		while (draw < expected) {
			offer(player, &loads[i], &player->result->loads[i]);
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
	/* Between 0.75 and 1.25 of it. */
	took_ms *= 0.75 + 0.5 * loom_random_unit(&player->random);
	return (uint64_t)(took_ms * LOOM_US_PER_MS);
}

/* The upstream starts what it has slots for, in order. */
static void
upstream_starts(struct player *player)
{
	uint32_t slots = player->upstream->real_slots;
	struct play_call *call;
	guint i;

	if (slots == 0)
		slots = player->upstream->slots;
	for (i = 0; i < player->calls->len && player->running < slots; i++) {
		call = g_ptr_array_index(player->calls, i);
		if (call->state != PLAY_RUNS || call->ends_us != 0)
			continue;
		call->ends_us = player->now_us + service_us(player, call);
		player->running++;
	}
}

static void
finish(struct player *player, struct play_call *call)
{
	struct loom_call_result result = {
		.end = LOOM_CALL_OK,
		.latency_us = player->now_us - call->forwarded_us,
	};
	struct loom_moved moved;

	player->running--;
	settle(player, call);
	call->outcome->took_sum_us += player->now_us - call->arrived_us;
	if (player->now_us <= call->waiting.deadline_us)
		call->outcome->served++;
	else
		call->outcome->late++;
	loom_moved_init(&moved);
	loom_admission_done(
	    player->admission, &call->waiting, &result, player->now_us, &moved);
	handle_moved(player, &moved);
}

static void
give_up(struct player *player, struct play_call *call)
{
	if (!loom_admission_cancel(player->admission, &call->waiting)) {
		player->result->broken++;
		return;
	}
	settle(player, call);
	call->outcome->cancelled++;
}

static void
end_calls(struct player *player)
{
	struct play_call *call;
	uint64_t age_us;
	guint i;

	for (i = 0; i < player->calls->len; i++) {
		call = g_ptr_array_index(player->calls, i);
		age_us = player->now_us - call->arrived_us;
		if (call->state == PLAY_RUNS && call->ends_us != 0 &&
		    call->ends_us <= player->now_us)
			finish(player, call);
		else if (call->state == PLAY_WAITS &&
		    call->load->gives_up_ms > 0 &&
		    age_us >= call->load->gives_up_ms * LOOM_US_PER_MS)
			give_up(player, call);
	}
}

static void
forget_done(struct player *player)
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

static void
check_step(struct player *player, uint32_t inside_before)
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
step(struct player *player, const struct play_load loads[PLAY_LOADS],
    uint64_t number)
{
	uint32_t inside_before = player->result->state.inside;
	struct loom_moved moved;

	if (player->upstream->says_full)
		loom_admission_hint_full(player->admission, player->now_us);
	end_calls(player);
	if (number % TICK_STEPS == 0) {
		loom_moved_init(&moved);
		loom_admission_tick(player->admission, player->now_us, &moved);
		handle_moved(player, &moved);
	}
	arrivals(player, loads);
	upstream_starts(player);
	forget_done(player);
	check_step(player, inside_before);
}

/* Nobody may be left waiting once arrivals have ended for long enough. */
static void
check_end(struct player *player)
{
	struct play_outcome *outcome;
	uint32_t settled, offered;
	int i;

	outcome = &player->light;
	offered = outcome->offered;
	settled = outcome->served + outcome->late + outcome->refused;

	for (i = 0; i < PLAY_LOADS; i++) {
		outcome = &player->result->loads[i];
		offered += outcome->offered;
		settled += outcome->served + outcome->late + outcome->refused +
		    outcome->cancelled;
	}
	if (settled + player->calls->len != offered)
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
	uint32_t lead_ms = upstream->fresh ? 0 : LEAD_MS;
	uint64_t number;

	*result = (struct play_result){ .limit_min = UINT32_MAX };
	player.admission = loom_admission_new(player.ctx, &settings, 0);
	player.start_us = lead_ms * LOOM_US_PER_MS;
	for (number = 0; number < end_ms + lead_ms; number++) {
		player.now_us = number * STEP_US;
		step(&player, loads, number);
	}
	check_end(&player);
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
