/*
 * Costs of the classes of calls at one upstream.
 *
 * Load pattern: calls that look alike cost very different amounts of work, and
 * one class may mix short calls with calls of many times their length.  A
 * moving latency over all calls tells which calls ended last, and a mean for
 * each class does not tell that a call which has run for three times its mean
 * is one of the long ones.  So each class has a distribution: a histogram of
 * slot times with bins that grow by a constant factor, in which old samples
 * lose weight with each new one.
 *
 * The weight of new samples grows instead of that of old ones shrinking, so
 * that a sample changes one bin; the weights are scaled down now and then.
 */

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/work_cost.h"

/* Two bins for each doubling. */
#define BINS 44
#define BINS_PER_DOUBLING 2
#define FIRST_BIN_US 64.0

/* Calls after which the weight of a sample has fallen to 1/e.  Of a class: few
 * enough for a change of cost to be seen within some tens of calls, enough for
 * a tail of one call in thirty to be present. */
#define CLASS_MEMORY_CALLS 48.0
#define ALL_MEMORY_CALLS 512.0
/* Of the dispersion over classes: enough for a class that makes up one call in
 * fifty to be represented. */
#define DISPERSION_MEMORY_CALLS 2048.0
#define DISPERSION_CALLS_MIN 64
/* Keeps the growing weights well within the range of a float. */
#define SAMPLE_WEIGHT_MAX 1e12

/* Until a class has this many calls, the mean of all classes counts for the
 * missing ones. */
#define PRIOR_CALLS 8.0

/*
 * A class has changed when this many consecutive calls all lie where only this
 * share of the earlier calls lay, on the same side.  By chance that happens
 * once in some hundred thousand calls.
 */
#define CHANGE_CALLS 4
#define CHANGE_SHARE 0.05
/* Weight that the calls from before the change keep. */
#define CHANGE_KEPT 0.05

/* After a pause this long, the load may be of another kind. */
#define PAUSE_US (60 * LOOM_US_PER_S)
#define PAUSE_KEPT 0.25

/*
 * Weight, in calls, of a call that goes on for as long again as it has lasted.
 * It decides for a call that has lasted longer than all that are remembered,
 * about which the histogram says nothing.
 */
#define OPEN_TAIL_CALLS 0.5

struct bin {
	float weight;
	float slot_us; /* weighted sum */
};

struct distribution {
	double sample_weight; /* of the next sample; 0: no sample yet */
	double weight; /* sums over all samples, weighted */
	double slot_us;
	double own_us;
	struct bin bins[BINS];
};

struct class_cost {
	struct distribution distribution;
	uint64_t used; /* number of the last note; 0: never */
	uint64_t noted_us;
	uint32_t above, below; /* consecutive samples in the tails */
};

struct loom_work_costs {
	uint64_t class_ids[LOOM_WORK_CLASSES]; /* valid where used != 0 */
	struct class_cost classes[LOOM_WORK_CLASSES];
	struct distribution all;
	uint64_t notes;
	/* moving means over calls of the mean cost of their class and of its
	 * square */
	double class_us;
	double class_us2;
};

struct loom_work_costs *
loom_work_costs_new(void *ctx)
{
	return talloc_zero(ctx, struct loom_work_costs);
}

static double
bin_lower_us(uint32_t i)
{
	if (i == 0)
		return 0;
	return FIRST_BIN_US * exp2((double)(i - 1) / BINS_PER_DOUBLING);
}

static uint32_t
bin_index(double slot_us)
{
	double i;

	if (slot_us < FIRST_BIN_US)
		return 0;
	i = 1 + floor(log2(slot_us / FIRST_BIN_US) * BINS_PER_DOUBLING);
	return i < BINS ? (uint32_t)i : BINS - 1;
}

static void
scale(struct distribution *d, double factor)
{
	uint32_t i;

	d->weight *= factor;
	d->slot_us *= factor;
	d->own_us *= factor;
	for (i = 0; i < BINS; i++) {
		d->bins[i].weight = (float)(d->bins[i].weight * factor);
		d->bins[i].slot_us = (float)(d->bins[i].slot_us * factor);
	}
}

static void
add_sample(
    struct distribution *d, double slot_us, double own_us, double memory_calls)
{
	struct bin *bin = &d->bins[bin_index(slot_us)];

	if (d->sample_weight > SAMPLE_WEIGHT_MAX) {
		scale(d, 1 / d->sample_weight);
		d->sample_weight = 1;
	}
	if (d->sample_weight <= 0)
		d->sample_weight = 1;
	d->weight += d->sample_weight;
	d->slot_us += slot_us * d->sample_weight;
	d->own_us += own_us * d->sample_weight;
	bin->weight += (float)d->sample_weight;
	bin->slot_us += (float)(slot_us * d->sample_weight);
	d->sample_weight *= 1 + 1 / memory_calls;
}

/* The calls that are remembered, in units of the latest one. */
static double
remembered_calls(const struct distribution *d)
{
	return d->sample_weight > 0 ? d->weight / d->sample_weight : 0;
}

/* Returns the entry of the class, or NULL. */
static const struct class_cost *
find(const struct loom_work_costs *costs, uint64_t class_id)
{
	uint32_t i;

	for (i = 0; i < LOOM_WORK_CLASSES; i++) {
		if (costs->class_ids[i] == class_id &&
		    costs->classes[i].used != 0)
			return &costs->classes[i];
	}
	return NULL;
}

/*
 * Returns the entry of the class, or makes the one that was used longest ago
 * its entry.  Entries are ordered by the number of the note: times may be equal
 * or step back.
 */
static struct class_cost *
find_or_replace(struct loom_work_costs *costs, uint64_t class_id)
{
	uint32_t i, oldest = 0;

	for (i = 0; i < LOOM_WORK_CLASSES; i++) {
		if (costs->class_ids[i] == class_id &&
		    costs->classes[i].used != 0)
			return &costs->classes[i];
		if (costs->classes[i].used < costs->classes[oldest].used)
			oldest = i;
	}
	memset(&costs->classes[oldest], 0, sizeof(costs->classes[oldest]));
	costs->class_ids[oldest] = class_id;
	return &costs->classes[oldest];
}

/* Share of the remembered calls in the bins from first to last. */
static double
share_in(const struct distribution *d, uint32_t first, uint32_t last)
{
	double weight = 0;
	uint32_t i;

	for (i = first; i <= last; i++)
		weight += d->bins[i].weight;
	return d->weight > 0 ? weight / d->weight : 1;
}

/*
 * Forgets most of what is known when the class has changed its cost.  Without
 * that, a class that becomes four times as expensive is placed by too low a
 * cost for a hundred calls.
 */
static void
check_change(struct class_cost *cost, double slot_us)
{
	struct distribution *d = &cost->distribution;
	const uint32_t i = bin_index(slot_us);

	if (remembered_calls(d) < PRIOR_CALLS)
		return;
	/* A run in a tail stays one as its own samples fill that tail. */
	if (share_in(d, i, BINS - 1) <=
	    CHANGE_SHARE + cost->above / remembered_calls(d))
		cost->above++;
	else
		cost->above = 0;
	if (share_in(d, 0, i) <=
	    CHANGE_SHARE + cost->below / remembered_calls(d))
		cost->below++;
	else
		cost->below = 0;
	if (cost->above < CHANGE_CALLS && cost->below < CHANGE_CALLS)
		return;
	scale(d, CHANGE_KEPT);
	cost->above = 0;
	cost->below = 0;
}

/* The first calls count fully, so that the means start without a bias. */
static void
note_class_mean(struct loom_work_costs *costs, double mean_us)
{
	const double weight =
	    1 / MIN((double)costs->notes, DISPERSION_MEMORY_CALLS);

	costs->class_us += (mean_us - costs->class_us) * weight;
	costs->class_us2 += (mean_us * mean_us - costs->class_us2) * weight;
}

void
loom_work_costs_note(struct loom_work_costs *costs, uint64_t class_id,
    uint64_t slot_us, uint64_t own_us, uint64_t now_us)
{
	struct class_cost *cost = find_or_replace(costs, class_id);
	const double slot = (double)slot_us;
	const double own = (double)MIN(own_us, slot_us);

	if (cost->used != 0 && now_us > cost->noted_us + PAUSE_US)
		scale(&cost->distribution, PAUSE_KEPT);
	cost->used = ++costs->notes;
	cost->noted_us = now_us;
	check_change(cost, slot);
	add_sample(&cost->distribution, slot, own, CLASS_MEMORY_CALLS);
	add_sample(&costs->all, slot, own, ALL_MEMORY_CALLS);
	note_class_mean(costs, loom_work_costs_slot_us(costs, class_id));
}

double
loom_work_costs_dispersion(const struct loom_work_costs *costs)
{
	if (costs->notes < DISPERSION_CALLS_MIN || costs->class_us <= 0)
		return 0;
	return costs->class_us2 / (costs->class_us * costs->class_us);
}

static double
mean(double sum_us, double weight)
{
	return weight > 0 ? sum_us / weight : 0;
}

/* Fills up the calls that a new class lacks with the mean of all classes. */
static double
mean_with_prior(
    const struct distribution *d, double class_mean_us, double all_mean_us)
{
	const double known = MIN(remembered_calls(d) / PRIOR_CALLS, 1);

	return known * class_mean_us + (1 - known) * all_mean_us;
}

double
loom_work_costs_slot_us(const struct loom_work_costs *costs, uint64_t class_id)
{
	const struct class_cost *cost = find(costs, class_id);
	const double all_us = loom_work_costs_mean_slot_us(costs);
	const struct distribution *d;

	if (cost == NULL)
		return all_us;
	d = &cost->distribution;
	return mean_with_prior(d, mean(d->slot_us, d->weight), all_us);
}

double
loom_work_costs_own_us(const struct loom_work_costs *costs, uint64_t class_id)
{
	const struct class_cost *cost = find(costs, class_id);
	const double all_us = mean(costs->all.own_us, costs->all.weight);
	const struct distribution *d;

	if (cost == NULL)
		return all_us;
	d = &cost->distribution;
	return mean_with_prior(d, mean(d->own_us, d->weight), all_us);
}

double
loom_work_costs_mean_slot_us(const struct loom_work_costs *costs)
{
	return mean(costs->all.slot_us, costs->all.weight);
}

double
loom_work_costs_own_share(const struct loom_work_costs *costs)
{
	if (costs->all.slot_us <= 0)
		return 1;
	return costs->all.own_us / costs->all.slot_us;
}

/*
 * Mean of the time beyond elapsed_us over the remembered calls that lasted
 * longer.  Of the bin that elapsed_us lies in, the part above it counts, as if
 * its calls were evenly distributed.
 */
static double
remaining_us(const struct distribution *d, double elapsed_us)
{
	const uint32_t at = bin_index(elapsed_us);
	double lower_us = bin_lower_us(at), upper_us = bin_lower_us(at + 1);
	double weight = OPEN_TAIL_CALLS * d->sample_weight;
	double sum_us = weight * elapsed_us;
	double part;
	uint32_t i;

	part = elapsed_us < upper_us ? d->bins[at].weight *
		(upper_us - elapsed_us) / (upper_us - lower_us)
				     : 0;
	weight += part;
	sum_us += part * (upper_us - elapsed_us) / 2;
	for (i = at + 1; i < BINS; i++) {
		weight += d->bins[i].weight;
		sum_us += d->bins[i].slot_us - d->bins[i].weight * elapsed_us;
	}
	return MAX(mean(sum_us, weight), 0);
}

double
loom_work_costs_remaining_us(
    const struct loom_work_costs *costs, uint64_t class_id, uint64_t elapsed_us)
{
	const struct class_cost *cost = find(costs, class_id);
	double all_us;

	if (elapsed_us == 0)
		return loom_work_costs_slot_us(costs, class_id);
	all_us = remaining_us(&costs->all, (double)elapsed_us);
	if (cost == NULL)
		return all_us;
	return mean_with_prior(&cost->distribution,
	    remaining_us(&cost->distribution, (double)elapsed_us), all_us);
}
