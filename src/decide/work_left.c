/*
 * The work that one upstream still has to do.
 *
 * Load pattern: calls of 15 ms and of nearly a second at one service, on
 * machines of uneven speed, some of which take 2.5 times as long for half a
 * second at a time.  The number of calls at an upstream then says little about
 * when it will be free: ten short calls are gone before one long call is half
 * done.
 *
 * The sums are exact in the calls and their ages, not in means of ages for each
 * class: a class with a heavy tail has its work in the few calls that have run
 * for long, which a mean age hides.  To walk over the calls for each question
 * would cost time in proportion to the load, so the sums are kept up with each
 * call that comes or goes, and corrected for the ages of all calls after an
 * interval that grows with their number: no more than about one call each
 * CORRECT_CALL_US is looked at.
 */

#include <glib.h>
#include <math.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/work_left.h"

#define CORRECT_MIN_US (5 * LOOM_US_PER_MS)
#define CORRECT_CALL_US UINT64_C(20)

/* The reported pace changes many times a second: after this time its deviation
 * from the mean counts for 1/e. */
#define PACE_AGE_US (300.0 * LOOM_US_PER_MS)
/* Time constant of the mean of the reported pace. */
#define PACE_MEAN_US (5.0 * LOOM_US_PER_S)

struct loom_work_left {
	const struct loom_work_costs *costs; /* borrowed */
	struct loom_work_item *items;
	uint32_t running;
	uint32_t waiting;
	/* expected to remain, at the usual pace */
	double running_us;
	double waiting_us[LOOM_IMPORTANCE_COUNT];
	uint64_t corrected_us;
	/* as reported */
	double pace;
	double mean_pace;
	uint32_t others;
	uint64_t reported_us; /* 0: never */
};

struct loom_work_left *
loom_work_left_new(void *ctx, const struct loom_work_costs *costs)
{
	struct loom_work_left *left = talloc_zero(ctx, struct loom_work_left);

	if (left == NULL)
		return NULL;
	left->costs = costs;
	left->pace = 1;
	left->mean_pace = 1;
	return left;
}

static uint64_t
since_us(uint64_t then_us, uint64_t now_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

/* Weight of the last report. */
static double
report_weight(const struct loom_work_left *left, uint64_t now_us)
{
	if (left->reported_us == 0)
		return 0;
	return exp(-(double)since_us(left->reported_us, now_us) / PACE_AGE_US);
}

double
loom_work_left_pace(const struct loom_work_left *left, uint64_t now_us)
{
	return left->mean_pace +
	    (left->pace - left->mean_pace) * report_weight(left, now_us);
}

/* Time that a slot is held, relative to the usual: calls of its own do not last
 * longer for the pace of this upstream. */
static double
slot_pace(const struct loom_work_left *left, uint64_t now_us)
{
	const double own = loom_work_costs_own_share(left->costs);

	return 1 + own * (loom_work_left_pace(left, now_us) - 1);
}

static double *
sum_of(struct loom_work_left *left, const struct loom_work_item *item)
{
	return item->stage == LOOM_WORK_RUNNING
	    ? &left->running_us
	    : &left->waiting_us[item->importance];
}

static uint32_t *
count_of(struct loom_work_left *left, const struct loom_work_item *item)
{
	return item->stage == LOOM_WORK_RUNNING ? &left->running
						: &left->waiting;
}

static void
enter(struct loom_work_left *left, struct loom_work_item *item,
    enum loom_work_stage stage)
{
	item->stage = stage;
	item->left_us = loom_work_costs_slot_us(left->costs, item->class_id);
	item->next = left->items;
	item->link = &left->items;
	if (item->next != NULL)
		item->next->link = &item->next;
	left->items = item;
	*sum_of(left, item) += item->left_us;
	(*count_of(left, item))++;
}

void
loom_work_left_end(struct loom_work_left *left, struct loom_work_item *item)
{
	if (item->stage == LOOM_WORK_NONE)
		return;
	*sum_of(left, item) -= item->left_us;
	(*count_of(left, item))--;
	*item->link = item->next;
	if (item->next != NULL)
		item->next->link = item->link;
	item->stage = LOOM_WORK_NONE;
}

void
loom_work_left_wait(struct loom_work_left *left, struct loom_work_item *item,
    uint64_t class_id, enum loom_importance importance)
{
	loom_work_left_end(left, item);
	item->class_id = class_id;
	item->importance = importance;
	enter(left, item, LOOM_WORK_WAITING);
}

void
loom_work_left_run(struct loom_work_left *left, struct loom_work_item *item,
    uint64_t class_id, enum loom_importance importance, uint64_t now_us)
{
	loom_work_left_end(left, item);
	item->class_id = class_id;
	item->importance = importance;
	item->started_us = now_us;
	item->started_pace = loom_work_left_pace(left, now_us);
	enter(left, item, LOOM_WORK_RUNNING);
}

/*
 * Other calls are those that the upstream counts beyond the ones it was sent
 * from here.  There may be fewer than those, since some are on their way.
 */
void
loom_work_left_report(struct loom_work_left *left,
    const struct loom_load_report *report, uint64_t now_us)
{
	const uint64_t there = (uint64_t)report->running + report->waiting;
	const double elapsed_us = (double)since_us(left->reported_us, now_us);

	if (report->pace_percent == 0)
		return;
	left->others = there > left->running
	    ? (uint32_t)MIN(there - left->running, UINT32_MAX)
	    : 0;
	left->pace = CLAMP((double)report->pace_percent / LOOM_PACE_USUAL,
	    LOOM_WORK_PACE_MIN, LOOM_WORK_PACE_MAX);
	if (left->reported_us == 0)
		left->mean_pace = left->pace;
	else
		left->mean_pace += (left->pace - left->mean_pace) *
		    (1 - exp(-elapsed_us / PACE_MEAN_US));
	left->reported_us = now_us;
}

uint64_t
loom_work_left_usual_us(const struct loom_work_left *left,
    const struct loom_work_item *item, uint64_t own_us, uint64_t now_us)
{
	const double ended_pace = loom_work_left_pace(left, now_us);

	if (item->stage != LOOM_WORK_RUNNING)
		return own_us;
	return (
	    uint64_t)((double)own_us * 2 / (item->started_pace + ended_pace));
}

static double
expected_left_us(const struct loom_work_left *left,
    const struct loom_work_item *item, double pace, uint64_t now_us)
{
	const double elapsed_us =
	    (double)since_us(item->started_us, now_us) / pace;

	if (item->stage == LOOM_WORK_WAITING)
		return loom_work_costs_slot_us(left->costs, item->class_id);
	return loom_work_costs_remaining_us(
	    left->costs, item->class_id, (uint64_t)elapsed_us);
}

/* Brings the sums up to the ages of the calls. */
static void
correct(struct loom_work_left *left, uint64_t now_us)
{
	const double pace = slot_pace(left, now_us);
	const uint64_t calls = (uint64_t)left->running + left->waiting;
	struct loom_work_item *item;
	uint32_t i;

	if (now_us >= left->corrected_us &&
	    now_us <
		left->corrected_us + CORRECT_MIN_US + calls * CORRECT_CALL_US)
		return;
	left->corrected_us = now_us;
	left->running_us = 0;
	for (i = 0; i < LOOM_IMPORTANCE_COUNT; i++)
		left->waiting_us[i] = 0;
	for (item = left->items; item != NULL; item = item->next) {
		item->left_us = expected_left_us(left, item, pace, now_us);
		*sum_of(left, item) += item->left_us;
	}
}

static uint32_t
others(const struct loom_work_left *left, uint64_t now_us)
{
	const uint32_t known = MIN(left->others, left->running + left->waiting);

	return (uint32_t)(known * report_weight(left, now_us));
}

/*
 * With all slots taken, the call waits until the next of them is free and then
 * for those that wait before it.  Slots become free one after the other, so
 * the next one takes the mean remaining time of a running call over the number
 * of slots.
 *
 * Other calls at the upstream at most double this: that they are there is only
 * reported.
 */
uint64_t
loom_work_left_wait_us(struct loom_work_left *left,
    enum loom_importance importance, uint32_t limit, uint64_t now_us)
{
	const uint32_t other = others(left, now_us);
	const uint32_t taken = left->running + other;
	const double mean_us = loom_work_costs_mean_slot_us(left->costs);
	double ahead_us = mean_us, other_us = 0;
	uint32_t i;

	if (limit == 0 || taken + left->waiting < limit)
		return 0;
	correct(left, now_us);
	if (left->running > 0)
		ahead_us = MAX(left->running_us, 0) / left->running;
	for (i = 0; i <= importance && i < LOOM_IMPORTANCE_COUNT; i++)
		ahead_us += MAX(left->waiting_us[i], 0);
	if (taken > limit)
		other_us = MIN(taken - limit, other) * mean_us;
	ahead_us += MIN(other_us, ahead_us);
	return (uint64_t)(ahead_us / limit * slot_pace(left, now_us));
}

uint64_t
loom_work_left_run_us(
    const struct loom_work_left *left, uint64_t class_id, uint64_t now_us)
{
	return (uint64_t)(loom_work_costs_slot_us(left->costs, class_id) *
	    slot_pace(left, now_us));
}

void
loom_work_left_state(const struct loom_work_left *left, uint64_t now_us,
    struct loom_work_left_state *state)
{
	*state = (struct loom_work_left_state){
		.running = left->running,
		.waiting = left->waiting,
		.others = others(left, now_us),
		.pace = loom_work_left_pace(left, now_us),
	};
}
