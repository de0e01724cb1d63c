/*
 * Costs of the classes of calls at one upstream.
 */

#include <glib.h>
#include <talloc.h>

#include "loom/work_cost.h"

/* Weight of a new sample in the means. */
#define SAMPLE_WEIGHT 0.05

struct class_cost {
	uint64_t class_id; /* 0: unused */
	uint64_t used_us;
	double slot_us;
	double own_us;
};

struct loom_work_costs {
	struct class_cost classes[LOOM_WORK_CLASSES];
	double mean_slot_us;
	double mean_own_us;
};

struct loom_work_costs *
loom_work_costs_new(void *ctx)
{
	return talloc_zero(ctx, struct loom_work_costs);
}

static const struct class_cost *
find(const struct loom_work_costs *costs, uint64_t class_id)
{
	uint32_t i;

	for (i = 0; i < LOOM_WORK_CLASSES; i++) {
		if (costs->classes[i].class_id == class_id)
			return &costs->classes[i];
	}
	return NULL;
}

/* Returns the entry of the class, or of the one that was used longest ago. */
static struct class_cost *
find_or_replace(struct loom_work_costs *costs, uint64_t class_id)
{
	struct class_cost *oldest = &costs->classes[0];
	uint32_t i;

	for (i = 0; i < LOOM_WORK_CLASSES; i++) {
		if (costs->classes[i].class_id == class_id)
			return &costs->classes[i];
		if (costs->classes[i].used_us < oldest->used_us)
			oldest = &costs->classes[i];
	}
	*oldest = (struct class_cost){ .class_id = class_id };
	return oldest;
}

static void
update_mean(double *mean, uint64_t sample)
{
	if (*mean <= 0)
		*mean = (double)sample;
	*mean += ((double)sample - *mean) * SAMPLE_WEIGHT;
}

void
loom_work_costs_note(struct loom_work_costs *costs, uint64_t class_id,
    uint64_t slot_us, uint64_t own_us, uint64_t now_us)
{
	struct class_cost *cost = find_or_replace(costs, class_id);

	cost->used_us = now_us;
	update_mean(&cost->slot_us, slot_us);
	update_mean(&cost->own_us, own_us);
	update_mean(&costs->mean_slot_us, slot_us);
	update_mean(&costs->mean_own_us, own_us);
}

double
loom_work_costs_slot_us(const struct loom_work_costs *costs, uint64_t class_id)
{
	const struct class_cost *cost = find(costs, class_id);

	return cost == NULL ? costs->mean_slot_us : cost->slot_us;
}

double
loom_work_costs_own_us(const struct loom_work_costs *costs, uint64_t class_id)
{
	const struct class_cost *cost = find(costs, class_id);

	return cost == NULL ? costs->mean_own_us : cost->own_us;
}

double
loom_work_costs_mean_slot_us(const struct loom_work_costs *costs)
{
	return costs->mean_slot_us;
}

double
loom_work_costs_remaining_us(
    const struct loom_work_costs *costs, uint64_t class_id, uint64_t elapsed_us)
{
	(void)elapsed_us;
	return loom_work_costs_slot_us(costs, class_id);
}
