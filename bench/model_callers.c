/*
 * Callers: open-loop Poisson arrivals of requests, a timeout, and callers who
 * send again, three attempts in all.
 */

#include <math.h>
#include <talloc.h>

#include "model_private.h"

#define ATTEMPTS 3
#define QUIET_US (UINT64_C(800) * LOOM_US_PER_MS)
#define QUIET_LOAD 0.3
#define STUBBORN_WAIT_US (UINT64_C(10) * LOOM_US_PER_MS)

/* Shares of critical, high, normal, low. */
static const double importance_share[LOOM_IMPORTANCE_COUNT] = { 0.1, 0.2, 0.5,
	0.2 };

static double
unit(struct model *model)
{
	return g_rand_double(model->rand);
}

static double
team_load(const struct model *model, uint32_t team)
{
	const struct model_pattern *pattern = model->pattern;
	double share = model->firm->team_share[team];

	if (pattern->flood_factor > 0 && model_in_window(model) &&
	    (int)team == pattern->flood_team)
		share *= pattern->flood_factor;
	return share;
}

static double
load_now(const struct model *model)
{
	double load = 0;
	uint32_t i;

	for (i = 0; i < MODEL_TEAMS; i++)
		load += team_load(model, i);
	/* A daemon has seen its upstream at ease before a surge comes. */
	if (model->now_us < QUIET_US)
		return load * QUIET_LOAD;
	if (model_in_window(model))
		return load * model->pattern->load;
	return load * model->pattern->base_load;
}

static uint32_t
draw_team(struct model *model)
{
	double total = 0, point;
	uint32_t i;

	for (i = 0; i < MODEL_TEAMS; i++)
		total += team_load(model, i);
	point = unit(model) * total;
	for (i = 0; i + 1 < MODEL_TEAMS; i++) {
		point -= team_load(model, i);
		if (point < 0)
			break;
	}
	return i;
}

static enum loom_importance
draw_importance(struct model *model)
{
	double point = unit(model);
	int i;

	if (model->pattern->flat)
		return LOOM_NORMAL;
	for (i = 0; i + 1 < LOOM_IMPORTANCE_COUNT; i++) {
		point -= importance_share[i];
		if (point < 0)
			break;
	}
	return (enum loom_importance)i;
}

static void
start_attempt(struct model *model, struct request *request)
{
	struct attempt *attempt = talloc_zero(model->ctx, struct attempt);
	struct event timeout = { .kind = EVENT_TIMEOUT, .object = attempt };

	request->attempts++;
	attempt->request = request;
	attempt->is_long = request->is_long;
	attempt->root_id = model->random.next(model->random.arg);
	attempt->deadline_us = model->now_us + MODEL_DEADLINE_US;
	attempt->centre =
	    (uint32_t)loom_random_below(&model->random, MODEL_CENTRES);
	attempt->refs = 2; /* the timeout's, and ours until it is started */
	timeout.at_us = attempt->deadline_us;
	event_push(&model->heap, &timeout);
	if (model_in_window(model))
		model->tally.attempts[request->team]++;
	else if (model->now_us < model->pattern->from_us)
		model->tally.steady_attempts++;
	model_start(model, attempt);
	model_attempt_release(attempt);
}

void
model_arrival(struct model *model)
{
	struct request *request = talloc_zero(model->ctx, struct request);
	struct event next = { .kind = EVENT_ARRIVAL };
	double rate, gap_us;

	rate = load_now(model) * model->firm->capacity_per_s;
	gap_us = -log(1.0 - unit(model)) / rate * (double)LOOM_US_PER_S;
	next.at_us = model->now_us + (uint64_t)gap_us;
	event_push(&model->heap, &next);

	request->team = draw_team(model);
	request->importance = draw_importance(model);
	request->first_us = model->now_us;
	request->in_window = model_in_window(model);
	request->is_long = unit(model) < model->pattern->long_share;
	if (request->in_window)
		model->tally.offered[request->team][request->importance]++;
	model->tally.bin_offered[model->now_us / MODEL_BIN_US]++;
	start_attempt(model, request);
}

void
model_again(struct model *model, struct request *request)
{
	start_attempt(model, request);
}

static void
request_served(struct model *model, struct request *request)
{
	uint64_t took_us = model->now_us - request->first_us;
	float took_ms = (float)took_us / LOOM_US_PER_MS;

	if (took_us <= MODEL_DEADLINE_US)
		model->tally.bin_served[request->first_us / MODEL_BIN_US]++;
	if (model_in_window(model))
		model->tally.done_in_window++;
	/* Later ones are served, but not by the window's capacity. */
	if (!request->in_window ||
	    model->now_us > model->pattern->until_us + MODEL_DEADLINE_US)
		return;
	model->tally.served[request->team][request->importance]++;
	g_array_append_val(
	    model->tally.latency_ms[request->importance], took_ms);
}

static void
send_again(
    struct model *model, struct request *request, uint64_t retry_after_us)
{
	struct event again = { .kind = EVENT_AGAIN, .object = request };
	uint32_t attempts = model->pattern->attempts;

	if (attempts == 0)
		attempts = ATTEMPTS;
	if (request->attempts >= attempts) {
		talloc_free(request);
		return;
	}
	again.at_us = model->now_us + STUBBORN_WAIT_US;
	if (!model->pattern->stubborn && retry_after_us > 0)
		again.at_us = model->now_us + retry_after_us;
	event_push(&model->heap, &again);
}

void
model_attempt_over(struct model *model, struct attempt *attempt, bool ok,
    bool refused, uint64_t retry_after_us)
{
	struct request *request = attempt->request;

	attempt->over = true;
	attempt->request = NULL;
	if (refused && model_in_window(model))
		model->tally.refused[request->team]++;
	if (refused && model->now_us < model->pattern->from_us)
		model->tally.steady_refused++;
	if (ok) {
		request_served(model, request);
		talloc_free(request);
		return;
	}
	model->tally.wasted_us += attempt->work_us;
	/* What is still done for it from now on is added as it is done. */
	send_again(model, request, retry_after_us);
}

void
model_attempt_release(struct attempt *attempt)
{
	if (--attempt->refs > 0)
		return;
	if (!attempt->over)
		talloc_free(attempt->request);
	talloc_free(attempt);
}
