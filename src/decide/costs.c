/*
 * Load pattern: a service deep down is full, and entries refuse the requests
 * that lead to it.  Which those are, and how much of its room each takes, is
 * learned from answers: executors add what their requests cost further down
 * (daemon/keep.c).
 */

#include <glib.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/costs.h"

/*
 * A route that is refused for its cost gets no answers that would correct it.
 * So a cost that no answer has named for this long is tried with one request;
 * all others are judged by it meanwhile.  Forgotten instead, it let in all that
 * came until the first of them was answered, and flooded a service that was
 * full already.
 */
#define RETRY_US (3 * LOOM_US_PER_S)
/* Each try that confirms a cost doubles the time to the next, so often: tries
 * of all entries together take room from requests that count. */
#define DOUBLINGS_MAX 3
/* Of a new word on a cost: the last few count most. */
#define WEIGHT 0.2

struct told_cost {
	struct loom_cost cost;
	uint64_t told_us; /* when an answer last named it */
	uint64_t tried_us; /* or a request was last let past it */
	uint32_t doublings; /* of the time between tries */
};

struct loom_route_costs {
	uint64_t route_id;
	uint64_t service_id; /* that ran the last one */
	struct told_cost costs[LOOM_COSTS_MAX];
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
find_or_make(struct loom_costs *costs, uint64_t route_id)
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

static struct told_cost *
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
loom_costs_answer(
    struct loom_costs *costs, uint64_t route_id, uint64_t service_id)
{
	struct loom_route_costs *route = find_or_make(costs, route_id);

	route->service_id = service_id;
	return route;
}

static bool
is_stale(const struct told_cost *told, uint64_t now_us)
{
	return now_us - told->told_us >= RETRY_US;
}

void
loom_costs_note(struct loom_route_costs *route, uint64_t service_id,
    double calls, uint64_t now_us)
{
	struct told_cost *told = find_cost(route, service_id);

	if (told == NULL) {
		if (route->n == LOOM_COSTS_MAX)
			return;
		told = &route->costs[route->n++];
		told->cost = (struct loom_cost){
			.service_id = service_id,
			.calls = calls,
		};
		told->told_us = now_us;
	}
	if (is_stale(told, now_us))
		told->doublings = MIN(told->doublings + 1, DOUBLINGS_MAX);
	told->cost.calls += (calls - told->cost.calls) * WEIGHT;
	told->told_us = told->tried_us = now_us;
}

/*
 * Executors leave out what their requests do not cost.  Without this a cost
 * that one of them once had taken for true stood, and a route that never goes
 * to the narrow service was refused for its sake.  Of a cost that was tried the
 * one answer that there is decides.
 */
static double
weight_unsaid(const struct told_cost *told, uint64_t now_us)
{
	return is_stale(told, now_us) ? 1.0 : WEIGHT;
}

void
loom_costs_answer_end(struct loom_route_costs *route, uint64_t now_us)
{
	struct told_cost *told;
	uint32_t i;

	for (i = 0; i < route->n; i++) {
		told = &route->costs[i];
		if (told->told_us < now_us)
			told->cost.calls *= 1.0 - weight_unsaid(told, now_us);
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

/* Whether the request at hand is the one that tries it. */
static bool
tries(struct told_cost *told, uint64_t now_us)
{
	if (now_us - told->tried_us < RETRY_US << told->doublings)
		return false;
	told->tried_us = now_us;
	return true;
}

uint32_t
loom_costs_judge(struct loom_costs *costs, uint64_t route_id, uint64_t now_us,
    struct loom_cost out[LOOM_COSTS_MAX])
{
	struct loom_route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);
	struct told_cost *told;
	uint32_t i, n = 0;

	for (i = 0; route != NULL && i < route->n; i++) {
		told = &route->costs[i];
		if (told->cost.calls >= LOOM_COSTS_CALLS_MIN &&
		    !tries(told, now_us))
			out[n++] = told->cost;
	}
	return n;
}
