/*
 * Estimates which routes' requests make the calls of an upstream.
 *
 * Load pattern: an upstream serves several routes, of which some make many
 * calls to a saturated service and others none. If all of them were refused on
 * its behalf, uploads that never call it would be turned away.
 *
 * Calls do not say which request made them. But the number of running requests
 * of each route varies all the time, and the calls vary with it: a
 * least-squares fit of the calls made in a time bin to the time that each
 * route's requests ran in it yields calls per second of each route. Multiplied
 * by the mean duration of a request this is the number of calls per request.
 * The fit is a recursive least squares with exponential forgetting; all inner
 * routes share one covariance matrix, because they have the same regressors.
 * The coefficients start at zero, so that the first calls are attributed to
 * routes in proportion to their running time. Routes are told apart within 8 s
 * at 8 and 80 requests per second (test_throttle).
 *
 * By chance, the fit alone attributes a part of the calls to a rare route that
 * runs beside the one that makes them all, and a larger part when the
 * downstream service is saturated (excess.c). The rare route's requests would
 * then be refused on behalf of a service that they never reach. So the calls on
 * an inner route are attributed to the route with the most running time, unless
 * loom_excess_rules_out() rules that out, and to other routes only once
 * loom_excess_confirms() confirms them.
 *
 * The regressor is the time that requests ran, not the number that started:
 * requests that span two bins would add an error as large as the whole part of
 * a rare route.
 */

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/excess.h"
#include "loom/fanout.h"

/*
 * Several times the duration of a request, so that calls mostly fall into the
 * same bin as the requests that make them; short enough that ten bins pass
 * within seconds.
 */
#define BIN_US (UINT64_C(250) * LOOM_US_PER_MS)
/* A changed call graph is learned within 60 bins, or 15 s. */
#define FORGETTING_FACTOR 0.985
/*
 * Initial variance of an unknown coefficient, relative to the variance of the
 * calls in a bin: far larger than the square of any real coefficient in calls
 * per second.
 */
#define COVARIANCE_START 1e4
/*
 * Bounds the variance of an unused route, which would otherwise grow without
 * limit.
 */
#define COVARIANCE_MAX 1e5
#define USAGE_DECAY 0.9 /* per bin; the least used route is replaced first */

#define ROUTES LOOM_FANOUT_ROUTES

struct route_table {
	uint64_t ids[ROUTES]; /* 0 if unused */
	double counts[ROUTES]; /* of the current bin: seconds run, or calls */
	double usage[ROUTES]; /* decayed sum of counts */
};

struct loom_fanout {
	struct route_table routes;
	uint32_t running[ROUTES]; /* requests of each route */
	/* number of requests, decayed like routes.usage */
	double started[ROUTES];
	double ended[ROUTES];
	struct route_table inner_routes;
	double calls_per_s[ROUTES][ROUTES]; /* [inner][route] */
	double covariance[ROUTES][ROUTES];
	struct loom_excess *excess; /* owned */
	uint64_t bin_start_us; /* when the current bin began */
	uint64_t counted_until_us; /* running time up to here is in counts */
};

struct loom_fanout *
loom_fanout_new(void *ctx, uint64_t now_us)
{
	struct loom_fanout *fanout = talloc_zero(ctx, struct loom_fanout);

	if (fanout == NULL)
		return NULL;
	fanout->bin_start_us = fanout->counted_until_us = now_us;
	fanout->excess = loom_excess_new(fanout);
	return fanout;
}

static uint32_t
find_route(const struct route_table *table, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < ROUTES && table->ids[i] != id; i++)
		;
	return i;
}

static uint32_t
least_used(const struct route_table *table)
{
	uint32_t i, least = 0;

	for (i = 0; i < ROUTES; i++) {
		if (table->ids[i] == 0)
			return i;
		if (table->usage[i] < table->usage[least])
			least = i;
	}
	return least;
}

static uint32_t
replace_least_used(struct route_table *table, uint64_t id)
{
	uint32_t i = least_used(table);

	table->ids[i] = id;
	table->counts[i] = 0;
	table->usage[i] = 0;
	return i;
}

static void
reset_covariance(struct loom_fanout *fanout, uint32_t route)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++) {
		fanout->covariance[i][route] = 0;
		fanout->covariance[route][i] = 0;
	}
	fanout->covariance[route][route] = COVARIANCE_START;
}

static void
reset_route(struct loom_fanout *fanout, uint32_t route)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++)
		fanout->calls_per_s[i][route] = 0;
	reset_covariance(fanout, route);
}

/* gain = P * x / (FORGETTING_FACTOR + x' * P * x), P being the covariance. */
static void
compute_gain(const struct loom_fanout *fanout, double gain[ROUTES])
{
	const double *x = fanout->routes.counts;
	double sum = FORGETTING_FACTOR;
	uint32_t i, j;

	for (i = 0; i < ROUTES; i++) {
		gain[i] = 0;
		for (j = 0; j < ROUTES; j++)
			gain[i] += fanout->covariance[i][j] * x[j];
	}
	for (i = 0; i < ROUTES; i++)
		sum += x[i] * gain[i];
	for (i = 0; i < ROUTES; i++)
		gain[i] /= sum;
}

static void
update_calls(struct loom_fanout *fanout, const double gain[ROUTES])
{
	double error;
	uint32_t inner, i;

	for (inner = 0; inner < ROUTES; inner++) {
		error = fanout->inner_routes.counts[inner];
		for (i = 0; i < ROUTES; i++)
			error -= fanout->calls_per_s[inner][i] *
			    fanout->routes.counts[i];
		for (i = 0; i < ROUTES; i++)
			fanout->calls_per_s[inner][i] += gain[i] * error;
	}
}

static void
update_covariance(struct loom_fanout *fanout, const double gain[ROUTES])
{
	double projected[ROUTES] = { 0 };
	uint32_t i, j;

	for (j = 0; j < ROUTES; j++) {
		for (i = 0; i < ROUTES; i++)
			projected[j] +=
			    fanout->routes.counts[i] * fanout->covariance[i][j];
	}
	for (i = 0; i < ROUTES; i++) {
		for (j = 0; j < ROUTES; j++)
			fanout->covariance[i][j] = (fanout->covariance[i][j] -
						       gain[i] * projected[j]) /
			    FORGETTING_FACTOR;
	}
	for (i = 0; i < ROUTES; i++) {
		if (fanout->covariance[i][i] > COVARIANCE_MAX)
			reset_covariance(fanout, i);
	}
}

static void
clear_bin(struct route_table *table)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++) {
		table->usage[i] =
		    table->usage[i] * USAGE_DECAY + table->counts[i];
		table->counts[i] = 0;
	}
}

static void
count_running_time(struct loom_fanout *fanout, uint64_t now_us)
{
	double elapsed_s =
	    (double)(now_us - fanout->counted_until_us) / LOOM_US_PER_S;
	uint32_t i;

	for (i = 0; i < ROUTES; i++)
		fanout->routes.counts[i] += fanout->running[i] * elapsed_s;
	fanout->counted_until_us = now_us;
}

/*
 * Ends the current bin if it is over. A bin in which nothing ran is not fitted:
 * it carries no information, and would only fade what has been learned.
 */
static void
close_bin(struct loom_fanout *fanout, uint64_t now_us)
{
	double gain[ROUTES], run_s = 0;
	uint32_t i;

	count_running_time(fanout, now_us);
	if (now_us < fanout->bin_start_us + BIN_US)
		return;
	fanout->bin_start_us = now_us;
	for (i = 0; i < ROUTES; i++)
		run_s += fanout->routes.counts[i];
	if (run_s > 0) {
		compute_gain(fanout, gain);
		update_calls(fanout, gain);
		update_covariance(fanout, gain);
	}
	for (i = 0; i < ROUTES; i++) {
		fanout->started[i] *= USAGE_DECAY;
		fanout->ended[i] *= USAGE_DECAY;
	}
	clear_bin(&fanout->routes);
	clear_bin(&fanout->inner_routes);
}

void
loom_fanout_begin(
    struct loom_fanout *fanout, uint64_t route_id, uint64_t now_us)
{
	uint32_t route;

	close_bin(fanout, now_us);
	route = find_route(&fanout->routes, route_id);
	if (route == ROUTES) {
		route = replace_least_used(&fanout->routes, route_id);
		fanout->running[route] = 0;
		fanout->started[route] = 0;
		fanout->ended[route] = 0;
		reset_route(fanout, route);
		loom_excess_reset_route(fanout->excess, route);
	}
	fanout->running[route]++;
	fanout->started[route]++;
}

void
loom_fanout_end(struct loom_fanout *fanout, uint64_t route_id,
    uint64_t began_us, uint64_t now_us)
{
	uint32_t route;

	close_bin(fanout, now_us);
	route = find_route(&fanout->routes, route_id);
	/* the slot may have been reused for another route meanwhile */
	if (route == ROUTES || fanout->running[route] == 0)
		return;
	fanout->running[route]--;
	fanout->ended[route]++;
	loom_excess_add_request(fanout->excess, route, began_us, now_us);
}

void
loom_fanout_add_call(
    struct loom_fanout *fanout, uint64_t inner_id, uint64_t now_us)
{
	uint32_t inner;

	close_bin(fanout, now_us);
	inner = find_route(&fanout->inner_routes, inner_id);
	if (inner == ROUTES) {
		inner = replace_least_used(&fanout->inner_routes, inner_id);
		memset(fanout->calls_per_s[inner], 0,
		    sizeof(fanout->calls_per_s[inner]));
		loom_excess_reset_inner(fanout->excess, inner);
	}
	fanout->inner_routes.counts[inner]++;
	loom_excess_add_call(fanout->excess, inner, now_us);
}

uint32_t
loom_fanout_inner_routes(
    const struct loom_fanout *fanout, uint64_t ids[LOOM_FANOUT_ROUTES])
{
	uint32_t i, n = 0;

	for (i = 0; i < ROUTES; i++) {
		if (fanout->inner_routes.ids[i] != 0)
			ids[n++] = fanout->inner_routes.ids[i];
	}
	return n;
}

/*
 * Number of requests that the counted calls and running times correspond to.
 * Requests that still run count as half, being half done on average. With
 * completed requests alone, the estimate was hundreds of calls per request
 * after a start, when many requests had begun and the first had just ended.
 */
static double
count_requests(const struct loom_fanout *fanout, uint32_t route)
{
	return (fanout->started[route] + fanout->ended[route]) / 2;
}

static double
fitted_calls(const struct loom_fanout *fanout, uint32_t route, uint32_t inner)
{
	double mean_run_s;

	if (fanout->ended[route] <= 0)
		return 0;
	mean_run_s =
	    fanout->routes.usage[route] / count_requests(fanout, route);
	return MAX(fanout->calls_per_s[inner][route], 0) * mean_run_s;
}

static bool
is_ruled_out(const struct loom_fanout *fanout, uint32_t route, uint32_t inner)
{
	return loom_excess_rules_out(
	    fanout->excess, route, inner, fitted_calls(fanout, route, inner));
}

/* Whether no other route that may make these calls has more running time. */
static bool
is_busiest_candidate(
    const struct loom_fanout *fanout, uint32_t route, uint32_t inner)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++) {
		if (fanout->routes.usage[i] > fanout->routes.usage[route] &&
		    !is_ruled_out(fanout, i, inner))
			return false;
	}
	return true;
}

static bool
makes_calls(const struct loom_fanout *fanout, uint32_t route, uint32_t inner)
{
	if (fanout->routes.ids[route] == 0 ||
	    is_ruled_out(fanout, route, inner))
		return false;
	return is_busiest_candidate(fanout, route, inner) ||
	    loom_excess_confirms(fanout->excess, route, inner);
}

/*
 * The route's fraction of the calls. What the fit attributed to routes that
 * make no such calls is divided among those that do; a single one gets all.
 */
static double
fraction_of_calls(
    const struct loom_fanout *fanout, uint32_t route, uint32_t inner)
{
	double total = 0;
	uint32_t i, n = 0;

	for (i = 0; i < ROUTES; i++) {
		if (!makes_calls(fanout, i, inner))
			continue;
		total +=
		    fitted_calls(fanout, i, inner) * count_requests(fanout, i);
		n++;
	}
	if (n == 1)
		return 1;
	return total > 0 ? fitted_calls(fanout, route, inner) *
		count_requests(fanout, route) / total
			 : 0;
}

double
loom_fanout_calls_per_request(
    const struct loom_fanout *fanout, uint64_t route_id, uint64_t inner_id)
{
	uint32_t route = find_route(&fanout->routes, route_id);
	uint32_t inner = find_route(&fanout->inner_routes, inner_id);

	if (route == ROUTES || inner == ROUTES || fanout->ended[route] <= 0 ||
	    !makes_calls(fanout, route, inner))
		return 0;
	return fraction_of_calls(fanout, route, inner) *
	    fanout->inner_routes.usage[inner] / count_requests(fanout, route);
}
