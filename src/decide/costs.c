/*
 * Learns how many calls requests of each route make at which downstream
 * services.
 *
 * Load pattern: a service deep in the call graph is saturated, and entries
 * refuse the requests that lead to it. Answers tell the entries which requests
 * these are and how many calls each makes there: executors add the downstream
 * costs of their requests (daemon/throttle.c).
 */

#include <glib.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/costs.h"

/*
 * A route that is refused because of its cost gets no answers that could
 * correct the cost. So one request is admitted as a probe when no answer has
 * confirmed a cost for this long, while all others are still judged by it. When
 * a stale cost was discarded instead, everything was admitted until the first
 * answer came, which flooded a service that was already saturated.
 */
#define PROBE_INTERVAL_US (3 * LOOM_US_PER_S)
/*
 * Each probe that confirms a cost doubles the interval to the next one, up to
 * this many times, since the probes of all entries together take capacity from
 * regular requests.
 */
#define DOUBLINGS_MAX 3
/* Of a new report, in the exponential moving average. */
#define UPDATE_WEIGHT 0.2
/*
 * Complete answers are one in eight or more; after this many without one the
 * executors no longer send any.
 */
#define PARTIAL_ANSWERS_MAX 64
/* Slot time of a call, relative to the mean: what exceeds this is malformed. */
#define OWN_CALLS_MAX 1000.0

struct known_cost {
	struct loom_cost cost;
	uint64_t reported_us; /* when an answer last reported it */
	uint64_t probed_us; /* last report or admitted probe */
	uint32_t doublings; /* of the probe interval */
};

struct loom_route_costs {
	uint64_t route_id;
	uint64_t service_id; /* sent the last answer */
	double own_calls; /* at that service; 0: not stated */
	bool is_complete; /* the answer being recorded lists all costs */
	/* answers since the last complete one, if own_calls is stated */
	uint32_t partial_answers;
	struct known_cost costs[LOOM_COSTS_MAX];
	uint32_t n;
};

struct loom_costs {
	GHashTable *routes; /* route id to struct loom_route_costs, owned */
};

static int
costs_destroy(struct loom_costs *costs)
{
	g_hash_table_unref(costs->routes);
	return 0;
}

struct loom_costs *
loom_costs_new(void *ctx)
{
	struct loom_costs *costs = talloc_zero(ctx, struct loom_costs);

	if (costs == NULL)
		return NULL;
	costs->routes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	talloc_set_destructor(costs, costs_destroy);
	return costs;
}

static struct loom_route_costs *
find_or_create_route(struct loom_costs *costs, uint64_t route_id)
{
	struct loom_route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);

	if (route != NULL)
		return route;
	route = g_new0(struct loom_route_costs, 1);
	route->route_id = route_id;
	g_hash_table_insert(costs->routes, &route->route_id, route);
	return route;
}

static struct known_cost *
find_cost(struct loom_route_costs *route, uint64_t service_id)
{
	uint32_t i;

	for (i = 0; i < route->n; i++) {
		if (route->costs[i].cost.service_id == service_id)
			return &route->costs[i];
	}
	return NULL;
}

struct loom_route_costs *
loom_costs_answer_begin(
    struct loom_costs *costs, uint64_t route_id, uint64_t service_id)
{
	struct loom_route_costs *route = find_or_create_route(costs, route_id);

	route->service_id = service_id;
	route->is_complete = false;
	return route;
}

void
loom_costs_answer_complete(struct loom_route_costs *route, double calls)
{
	if (!(calls > 0) || calls > OWN_CALLS_MAX)
		return;
	if (route->own_calls <= 0)
		route->own_calls = calls;
	route->own_calls += (calls - route->own_calls) * UPDATE_WEIGHT;
	route->is_complete = true;
	route->partial_answers = 0;
}

/* Whether the executors of the route send complete answers at times. */
static bool
has_complete_answers(const struct loom_route_costs *route)
{
	return route->own_calls > 0;
}

/*
 * Complete answers may be seconds apart in the calm, so with these a cost is
 * stale later, and probes need not become rarer.
 */
static uint64_t
probe_interval_us(
    const struct loom_route_costs *route, const struct known_cost *known)
{
	return PROBE_INTERVAL_US
	    << (has_complete_answers(route) ? DOUBLINGS_MAX : known->doublings);
}

static bool
is_stale(const struct loom_route_costs *route, const struct known_cost *known,
    uint64_t now_us)
{
	const uint64_t stale_us = has_complete_answers(route)
	    ? probe_interval_us(route, known)
	    : PROBE_INTERVAL_US;

	return now_us - known->reported_us >= stale_us;
}

/*
 * Whether the answer being recorded may omit costs that are not zero. It then
 * reports some cost only because the service there is overloaded. An executor
 * that is wrong about a cost would report it with each answer, and those that
 * are right would contradict it with one in eight only. So such answers confirm
 * costs and do not change them.
 */
static bool
is_partial(const struct loom_route_costs *route)
{
	return has_complete_answers(route) && !route->is_complete;
}

void
loom_costs_answer_add(struct loom_route_costs *route, uint64_t service_id,
    double calls, uint64_t now_us)
{
	struct known_cost *known = find_cost(route, service_id);

	if (known == NULL) {
		if (route->n == LOOM_COSTS_MAX || is_partial(route))
			return;
		known = &route->costs[route->n++];
		known->cost = (struct loom_cost){
			.service_id = service_id,
			.calls = calls,
		};
		known->reported_us = now_us;
	}
	if (is_stale(route, known, now_us))
		known->doublings = MIN(known->doublings + 1, DOUBLINGS_MAX);
	if (!is_partial(route))
		known->cost.calls +=
		    (calls - known->cost.calls) * UPDATE_WEIGHT;
	known->reported_us = known->probed_us = now_us;
}

/*
 * Weight of an answer that omits the cost. Executors omit services that their
 * requests do not call, so an omission counts as zero. Without this, a cost
 * that one executor had once estimated wrongly persisted, and a route that
 * never calls the saturated service was refused on its behalf. A stale cost has
 * only the answer to the probe, which then decides alone.
 */
static double
omission_weight(const struct loom_route_costs *route,
    const struct known_cost *known, uint64_t now_us)
{
	return is_stale(route, known, now_us) ? 1.0 : UPDATE_WEIGHT;
}

/*
 * A partial answer leaves the costs that it omits as they are. They have to be
 * known when an overload begins; when answers omitted all services that carried
 * their load, the costs had decayed by then and were learned too slowly.
 */
static void
end_partial_answer(struct loom_route_costs *route)
{
	if (++route->partial_answers > PARTIAL_ANSWERS_MAX)
		route->own_calls = 0;
}

void
loom_costs_answer_end(struct loom_route_costs *route, uint64_t now_us)
{
	struct known_cost *known;
	uint32_t i;

	if (is_partial(route)) {
		end_partial_answer(route);
		return;
	}
	for (i = 0; i < route->n; i++) {
		known = &route->costs[i];
		if (known->reported_us < now_us)
			known->cost.calls *=
			    1.0 - omission_weight(route, known, now_us);
	}
}

uint64_t
loom_costs_known(const struct loom_costs *costs, uint64_t route_id,
    struct loom_cost out[LOOM_COSTS_MAX], uint32_t *n)
{
	const struct loom_route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);
	uint32_t i;

	*n = route == NULL ? 0 : route->n;
	for (i = 0; i < *n; i++)
		out[i] = route->costs[i].cost;
	return route == NULL ? 0 : route->service_id;
}

double
loom_costs_own(const struct loom_costs *costs, uint64_t route_id)
{
	const struct loom_route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);

	return route == NULL || route->own_calls <= 0 ? 1 : route->own_calls;
}

/* Whether the current request is admitted as a probe of this cost. */
static bool
claim_probe(const struct loom_route_costs *route, struct known_cost *known,
    uint64_t now_us)
{
	if (now_us - known->probed_us < probe_interval_us(route, known))
		return false;
	known->probed_us = now_us;
	return true;
}

uint32_t
loom_costs_to_check(struct loom_costs *costs, uint64_t route_id,
    uint64_t now_us, struct loom_cost out[LOOM_COSTS_MAX])
{
	struct loom_route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);
	struct known_cost *known;
	double calls_min = LOOM_COSTS_CALLS_MIN;
	uint32_t i, n = 0;

	if (route != NULL && route->own_calls > 0)
		calls_min = LOOM_COSTS_WORK_MIN;
	for (i = 0; route != NULL && i < route->n; i++) {
		known = &route->costs[i];
		if (known->cost.calls >= calls_min &&
		    !claim_probe(route, known, now_us))
			out[n++] = known->cost;
	}
	return n;
}
