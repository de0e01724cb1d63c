/*
 * Choice of a host by work, where hosts report it: at a service whose calls
 * take 15, 55 and 880 ms, on hosts of unequal speed, by entries of which each
 * sends a host a call or two a second.
 *
 * A host's latency tells which calls it last ended. By it long calls go to slow
 * hosts as often as to fast ones and finish late, although fast hosts have
 * room. So each host is scored by the time in which it is expected to finish
 * this call (host_work.h).
 *
 * All entries see the same hosts as best, and what they know of them is older
 * than the time in which these fill up. So two things spread the calls. The
 * score grows with the reported utilization before calls wait: slowly at first,
 * so that fast hosts are used while they have room, then without bound. And the
 * host is drawn at random, with a weight that falls steeply with the score,
 * instead of taking the least of a few.
 *
 * Traffic between data centres is expensive: a far host is drawn too, and taken
 * only if it is better than the best near one by the factor for far hosts,
 * which decreases as near hosts fill up or are expected to finish calls late.
 */

#include <glib.h>
#include <math.h>

#include "decide/balance_private.h"

/* Calls are placed by work if at least one target in two reports it. */
#define REPORTING_MIN_DIVISOR 2

/*
 * Targets of each distance that are estimated for a call, drawn at random where
 * there are more.  To find the eligible ones is cheap for each target.
 */
#define CANDIDATES_MAX 32

struct work_view {
	struct host_work_means means; /* of the eligible targets */
	const struct route_cost *cost; /* of the call that is placed */
	double mean_used;
	double mean_latency_us;
};

static void
view_work(const struct loom_balance *balance, uint32_t n, uint64_t now_us,
    struct work_view *view)
{
	const struct target *target;
	uint32_t i;

	for (i = 0; i < n; i++) {
		target = balance->eligible[i];
		host_work_means_add(&view->means, &target->work, now_us);
		view->mean_used += target->utilization / n;
	}
	host_work_means_end(&view->means);
}

/* Utilization as reported, with the own calls sent since. */
static double
expected_utilization(
    const struct target *target, const struct work_view *view, uint64_t now_us)
{
	double used = view->mean_used +
	    (target->utilization - view->mean_used) *
		balance_utilization_weight(target, now_us);

	/* A host that takes less time than it reports is not less used. */
	used *=
	    MAX(host_work_correction(&target->work, &view->means, now_us), 1);
	if (target->host.slots > 0)
		used += (double)MIN(target->work.nsent, target->in_flight) /
		    target->host.slots;
	return MIN(used, SCORED_UTILIZATION_MAX);
}

static struct host_work_calls
own_calls(const struct target *target)
{
	return (struct host_work_calls){
		.slots = target->host.slots,
		.in_flight = target->in_flight,
	};
}

static void
estimate_finish(
    struct target *target, const struct work_view *view, uint64_t now_us)
{
	const double unresponsive_us = balance_unresponsive_us(target, now_us);

	target->finish_us = host_work_finish_us(
	    &target->work, &view->means, view->cost, own_calls(target), now_us);
	if (unresponsive_us > UNRESPONSIVE_LATENCIES * view->mean_latency_us)
		target->finish_us = MAX(target->finish_us, unresponsive_us);
}

/* The factor for far targets, given the load of the eligible near ones. */
static double
effective_far_cost(const struct loom_balance *balance, uint32_t n,
    uint32_t nnear, const struct work_view *view, uint64_t now_us)
{
	const double min_cost = MIN(balance->far_cost, FAR_COST_BUSY_MAX);
	double used = 0, near_us = 0, all_us = 0, fraction;
	uint32_t i;

	for (i = 0; i < n; i++)
		all_us += balance->eligible[i]->finish_us / n;
	for (i = 0; i < nnear; i++) {
		near_us += balance->eligible[i]->finish_us / nnear;
		used +=
		    expected_utilization(balance->eligible[i], view, now_us) /
		    nnear;
	}
	fraction = CLAMP(1.0 - used / NEAR_FULL_UTILIZATION, 0, 1);
	fraction *= CLAMP(NEAR_SLOW_RATIO - near_us / MAX(all_us, 1), 0, 1);
	return min_cost + (balance->far_cost - min_cost) * fraction;
}

/* Factor of the score of a target with this utilization. */
static double
crowding(double used)
{
	return 1.0 + used * used * used * used / (1.0 - used);
}

static void
score_all(struct loom_balance *balance, uint32_t n, double far_cost,
    const struct work_view *view, uint64_t now_us)
{
	struct target *target;
	uint32_t i;

	for (i = 0; i < n; i++) {
		target = balance->eligible[i];
		target->score = MAX(target->finish_us, 1) *
		    crowding(expected_utilization(target, view, now_us)) *
		    balance_penalty(balance, target, far_cost, now_us);
	}
}

/* The 8th power of the best score over this one: a target that takes a tenth
 * longer gets half as many calls. */
static double
weight(double best_score, double score)
{
	const double ratio = best_score / score;
	const double squared = ratio * ratio;

	return squared * squared * squared * squared;
}

/* Least score of the eligible targets from first to end. */
static double
least_score(const struct loom_balance *balance, uint32_t first, uint32_t end)
{
	double score = HUGE_VAL;
	uint32_t i;

	for (i = first; i < end; i++)
		score = MIN(score, balance->eligible[i]->score);
	return score;
}

/* Draws one of the eligible targets from first to end; NULL if none is. */
static struct target *
draw(struct loom_balance *balance, uint32_t first, uint32_t end)
{
	const double best_score = least_score(balance, first, end);
	struct target **eligible = balance->eligible;
	double sum = 0, at;
	uint32_t i;

	if (first == end)
		return NULL;
	for (i = first; i < end; i++)
		sum += weight(best_score, eligible[i]->score);
	at = loom_random_unit(&balance->random) * sum;
	for (i = first; i + 1 < end; i++) {
		at -= weight(best_score, eligible[i]->score);
		if (at < 0)
			break;
	}
	return eligible[i];
}

/* Returns the least time in which another target would finish the call; the
 * distance of a far one counts as time. */
static uint64_t
next_best_us(const struct loom_balance *balance, uint32_t n,
    const struct target *chosen, double far_cost)
{
	const struct target *target;
	double least_us = HUGE_VAL, finish_us;
	uint32_t i;

	for (i = 0; i < n; i++) {
		target = balance->eligible[i];
		finish_us = target->finish_us;
		if (!target->host.near)
			finish_us *= far_cost;
		if (target != chosen)
			least_us = MIN(least_us, finish_us);
	}
	return n < 2 ? 0 : (uint64_t)MAX(least_us, 1);
}

/* Moves a random choice of at most CANDIDATES_MAX of the targets from first to
 * end to to; returns the position after the last one. */
static uint32_t
sample(struct loom_balance *balance, uint32_t first, uint32_t end, uint32_t to)
{
	struct target **eligible = balance->eligible;
	const uint32_t chosen = MIN(end - first, CANDIDATES_MAX);
	struct target *target;
	uint32_t i, j;

	for (i = 0; i < chosen; i++) {
		j = first + i;
		if (end - first > chosen)
			j += (uint32_t)loom_random_below(
			    &balance->random, end - first - i);
		target = eligible[j];
		eligible[j] = eligible[first + i];
		eligible[first + i] = target;
		eligible[to + i] = target;
	}
	return to + chosen;
}

void
loom_balance_pick_for(struct loom_balance *balance, uint64_t route_id,
    const uint64_t *tried, uint32_t ntried, uint64_t now_us,
    struct loom_balance_choice *choice)
{
	struct work_view view = {
		.cost = route_costs_find(&balance->costs, route_id),
		.mean_latency_us = balance_mean_latency_us(balance),
	};
	const struct target *near, *far, *chosen;
	double far_cost;
	uint32_t n, nnear, end, i;

	*choice = (struct loom_balance_choice){ .host_id = 0 };
	n = balance_collect(
	    balance, tried, ntried, now_us, view.mean_latency_us, &nnear);
	if (n == 0)
		return;
	if (balance->costs.mean.nreports == 0) {
		choice->host_id = balance_pick_by_latency(
		    balance, n, nnear, view.mean_latency_us, now_us);
		return;
	}
	end = n;
	n = sample(balance, 0, nnear, 0);
	i = nnear;
	nnear = n;
	n = sample(balance, i, end, n);
	view_work(balance, n, now_us, &view);
	if (view.means.nknown * REPORTING_MIN_DIVISOR < n) {
		choice->host_id = balance_pick_by_latency(
		    balance, n, nnear, view.mean_latency_us, now_us);
		return;
	}
	for (i = 0; i < n; i++)
		estimate_finish(balance->eligible[i], &view, now_us);
	far_cost = effective_far_cost(balance, n, nnear, &view, now_us);
	score_all(balance, n, far_cost, &view, now_us);
	near = draw(balance, 0, nnear);
	far = draw(balance, nnear, n);
	chosen = near;
	if (far != NULL && far->score < least_score(balance, 0, nnear))
		chosen = far;
	if (chosen == NULL)
		return;
	choice->host_id = chosen->host.host_id;
	choice->by_work = true;
	choice->else_us = next_best_us(balance, n, chosen, far_cost);
}

void
loom_balance_note_work(struct loom_balance *balance, uint64_t host_id,
    uint64_t route_id, const struct loom_work_report *report,
    uint64_t latency_us, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target != NULL)
		host_work_note_report(&target->work, &balance->costs, route_id,
		    report, latency_us, now_us);
}

void
loom_balance_note_sent_route(
    struct loom_balance *balance, uint64_t host_id, uint64_t route_id)
{
	struct target *target = balance_find(balance, host_id);

	if (target != NULL)
		host_work_note_sent(&target->work, &balance->costs, route_id);
}

bool
loom_balance_work_at(const struct loom_balance *balance, uint32_t index,
    uint64_t now_us, struct loom_balance_work *state)
{
	struct host_work_means means = { .nknown = 0 };
	const struct target *target;
	uint32_t i;

	if (index >= balance->ntargets)
		return false;
	for (i = 0; i < balance->ntargets; i++)
		host_work_means_add(&means, &balance->targets[i].work, now_us);
	host_work_means_end(&means);
	target = &balance->targets[index];
	*state = (struct loom_balance_work){
		.host_id = target->host.host_id,
		.known = host_work_is_known(&target->work, now_us),
		.eligible = balance_accepts_calls(target, now_us) &&
		    !balance_ejected(target, now_us),
	};
	if (!state->known)
		return true;
	state->age_us = now_us - target->work.reported_us;
	state->pace_percent = target->work.pace_percent;
	state->slowness = host_work_slowness(&target->work, &means, now_us);
	state->wait_us =
	    host_work_wait_us(&target->work, &means, own_calls(target), now_us);
	state->correction = host_work_correction(&target->work, &means, now_us);
	state->used = target->utilization;
	return true;
}
