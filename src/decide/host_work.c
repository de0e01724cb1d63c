/*
 * Work at the hosts of a service, as an entry knows it.
 *
 * At a service whose calls take 15, 55 and 880 ms the latency of a host tells
 * which calls it last ended and not how fast it is.  So the time of a call is
 * taken apart into the cost of its route and the slowness of the host, each a
 * moving mean that is corrected for the other: a route that runs on fast hosts
 * only does not look cheap for that, and neither does a host slow that gets the
 * long calls.
 *
 * An entry of many sends a host a call or two a second.  What a host reported
 * last about its wait and pace is of little use after half a second, so with
 * its age it gives way to what the host usually reports.
 *
 * A host may report anything.  The entry measures how long its calls took, and
 * where that differs from the report by a much larger factor than at other
 * hosts, what the host reports is corrected by the factor.
 */

#include <glib.h>

#include "decide/host_work.h"
#include "loom/clock.h"
#include "loom/load_report.h"

/* Weight of a new report in the moving means. */
#define REPORT_WEIGHT 0.1
/* Measured times scatter more than reported ones, which are means. */
#define EXCESS_WEIGHT 0.05
/* Reports that count as having agreed before the first, so that a single long
 * call is not taken for a wrong report. */
#define EXCESS_PRIOR 4
#define EXCESS_SAMPLE_MAX 20.0
/* Up to this factor over or under the mean of all hosts, excess is scatter. */
#define EXCESS_SCATTER 2.0

#define SLOWNESS_MIN 0.05
#define SLOWNESS_MAX 20.0

/* At this age, a reported wait or pace has half of its weight. */
#define REPORT_HALF_WEIGHT_US (300.0 * LOOM_US_PER_MS)
/* A host that has not reported for longer is taken as unknown, so that one that
 * gets no calls because it was slow is tried again. */
#define REPORT_MAX_AGE_US (10 * LOOM_US_PER_S)
/* Slowness has half of its weight at this age, and after so many reports: a
 * host whose first calls took long by chance would get no others. */
#define SLOWNESS_HALF_WEIGHT_US (5.0 * LOOM_US_PER_S)
#define SLOWNESS_HALF_WEIGHT_REPORTS 2.0

static void
update_mean(double *mean, double sample, double weight)
{
	*mean += (sample - *mean) * weight;
}

/* Weight of a new report after n earlier ones: at first the plain mean. */
static double
next_weight(uint32_t n)
{
	return MAX(REPORT_WEIGHT, 1.0 / (n + 1));
}

const struct route_cost *
route_costs_find(const struct route_costs *costs, uint64_t route_id)
{
	uint32_t i;

	for (i = 0; i < ROUTE_COSTS_MAX; i++) {
		if (costs->routes[i].used_us != 0 &&
		    costs->routes[i].route_id == route_id)
			return &costs->routes[i];
	}
	return &costs->mean;
}

static struct route_cost *
find_or_replace(struct route_costs *costs, uint64_t route_id)
{
	struct route_cost *oldest = &costs->routes[0];
	uint32_t i;

	for (i = 0; i < ROUTE_COSTS_MAX; i++) {
		if (costs->routes[i].used_us != 0 &&
		    costs->routes[i].route_id == route_id)
			return &costs->routes[i];
		if (costs->routes[i].used_us < oldest->used_us)
			oldest = &costs->routes[i];
	}
	*oldest = (struct route_cost){ .route_id = route_id };
	return oldest;
}

/* Weight of the slowness by the number of its reports. */
static double
certainty(const struct host_work *work)
{
	return work->ncosts / (work->ncosts + SLOWNESS_HALF_WEIGHT_REPORTS);
}

bool
host_work_is_known(const struct host_work *work, uint64_t now_us)
{
	return work->reported_us != 0 &&
	    now_us < work->reported_us + REPORT_MAX_AGE_US;
}

void
host_work_means_add(struct host_work_means *means, const struct host_work *work,
    uint64_t now_us)
{
	if (!host_work_is_known(work, now_us))
		return;
	means->wait_us += work->usual_wait_us;
	means->slowness += work->slowness * certainty(work);
	means->certainty += certainty(work);
	means->excess +=
	    CLAMP(work->excess, 1 / EXCESS_SCATTER, EXCESS_SCATTER);
	means->nknown++;
}

void
host_work_means_end(struct host_work_means *means)
{
	const double n = MAX(means->nknown, 1);

	means->wait_us /= n;
	means->slowness =
	    means->certainty <= 0 ? 1 : means->slowness / means->certainty;
	means->excess = means->nknown == 0 ? 1 : means->excess / n;
}

static void
learn_route(
    struct route_cost *cost, double own_us, double nested_us, uint64_t now_us)
{
	const double weight = next_weight(cost->nreports);

	cost->used_us = MAX(now_us, 1);
	update_mean(&cost->own_us, own_us, weight);
	update_mean(&cost->nested_us, nested_us, weight);
	if (cost->nreports < UINT16_MAX)
		cost->nreports++;
}

/*
 * A report that is unlike the route's cost is first taken for the slowness of
 * the host.  Otherwise a single slow host would change the estimates of all.
 */
static void
learn_cost(struct host_work *work, struct route_costs *costs, uint64_t route_id,
    const struct loom_work_report *report, uint64_t now_us)
{
	struct route_cost *cost = find_or_replace(costs, route_id);
	const double own_us = (double)MAX(report->own_us, 1);
	const double nested_us = (double)(report->run_us - report->own_us);

	if (cost->nreports > 0)
		update_mean(&work->slowness,
		    CLAMP(own_us / cost->own_us, SLOWNESS_MIN, SLOWNESS_MAX),
		    next_weight(work->ncosts));
	if (work->ncosts < UINT16_MAX)
		work->ncosts++;
	learn_route(cost, own_us / work->slowness, nested_us, now_us);
	learn_route(&costs->mean, own_us / work->slowness, nested_us, now_us);
}

/* Returns the time that a call takes by the report. */
static double
reported_time_us(const struct loom_work_report *report)
{
	double own_us = (double)report->own_us;

	if (report->pace_percent != 0)
		own_us *= (double)report->pace_percent / LOOM_PACE_USUAL;
	return MAX((double)report->wait_us +
		(double)(report->run_us - report->own_us) + own_us,
	    1);
}

void
host_work_note_report(struct host_work *work, struct route_costs *costs,
    uint64_t route_id, const struct loom_work_report *report,
    uint64_t latency_us, uint64_t now_us)
{
	if (work->reported_us == 0)
		*work = (struct host_work){ .slowness = 1, .excess = 1 };
	work->reported_us = MAX(now_us, 1);
	work->pace_percent = report->pace_percent;
	work->wait_us = (double)report->wait_us;
	work->nsent = 0;
	work->sent_us = 0;
	update_mean(
	    &work->usual_wait_us, work->wait_us, next_weight(work->nreports));
	if (work->nreports < UINT16_MAX)
		work->nreports++;
	if (report->run_us == 0 || report->own_us > report->run_us)
		return;
	learn_cost(work, costs, route_id, report, now_us);
	if (latency_us > 0)
		update_mean(&work->excess,
		    MIN((double)latency_us / reported_time_us(report),
			EXCESS_SAMPLE_MAX),
		    MAX(EXCESS_WEIGHT, 1.0 / (work->nreports + EXCESS_PRIOR)));
}

void
host_work_note_sent(
    struct host_work *work, const struct route_costs *costs, uint64_t route_id)
{
	const struct route_cost *cost = route_costs_find(costs, route_id);

	work->nsent++;
	work->sent_us += cost->own_us + cost->nested_us;
}

/* Weight of what was reported last; it decreases with the age. */
static double
age_weight(const struct host_work *work, double half_weight_us, uint64_t now_us)
{
	const double age = work->reported_us >= now_us
	    ? 0
	    : (double)(now_us - work->reported_us) / half_weight_us;

	return 1.0 / (1.0 + age * age);
}

/* The slowness as far as it is certain, on the scale of the route costs. */
static double
certain_slowness(const struct host_work *work,
    const struct host_work_means *means, uint64_t now_us)
{
	const double weight =
	    certainty(work) * age_weight(work, SLOWNESS_HALF_WEIGHT_US, now_us);

	return means->slowness + (work->slowness - means->slowness) * weight;
}

double
host_work_slowness(const struct host_work *work,
    const struct host_work_means *means, uint64_t now_us)
{
	return host_work_is_known(work, now_us)
	    ? certain_slowness(work, means, now_us) / means->slowness
	    : 1;
}

/* Slot time of the own calls that the last report cannot include. */
static double
unreported_us(const struct host_work *work, uint32_t in_flight)
{
	if (work->nsent <= in_flight)
		return work->sent_us;
	return work->sent_us * in_flight / work->nsent;
}

double
host_work_wait_us(const struct host_work *work,
    const struct host_work_means *means, struct host_work_calls calls,
    uint64_t now_us)
{
	const double sent_us =
	    unreported_us(work, calls.in_flight) / MAX(calls.slots, 1);

	if (!host_work_is_known(work, now_us))
		return means->wait_us + sent_us;
	return work->usual_wait_us + sent_us +
	    (work->wait_us - work->usual_wait_us) *
	    age_weight(work, REPORT_HALF_WEIGHT_US, now_us);
}

double
host_work_correction(const struct host_work *work,
    const struct host_work_means *means, uint64_t now_us)
{
	const double excess = work->excess / means->excess;

	if (!host_work_is_known(work, now_us) ||
	    (excess < EXCESS_SCATTER && excess > 1 / EXCESS_SCATTER))
		return 1;
	return excess;
}

double
host_work_finish_us(const struct host_work *work,
    const struct host_work_means *means, const struct route_cost *cost,
    struct host_work_calls calls, uint64_t now_us)
{
	const double wait_us = host_work_wait_us(work, means, calls, now_us);
	double pace = 1;

	if (!host_work_is_known(work, now_us))
		return wait_us + cost->nested_us +
		    cost->own_us * means->slowness;
	if (work->pace_percent != 0)
		pace += ((double)work->pace_percent / LOOM_PACE_USUAL - 1) *
		    age_weight(work, REPORT_HALF_WEIGHT_US, now_us);
	return (wait_us + cost->nested_us +
		   cost->own_us * certain_slowness(work, means, now_us) *
		       pace) *
	    host_work_correction(work, means, now_us);
}
