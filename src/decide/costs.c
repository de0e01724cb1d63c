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
 * How long what a route costs is believed without a word of it.  A route that
 * is refused for its cost gets no answers that would correct it: without an
 * end to the belief a cost that was once taken for true refuses its requests
 * for good.  One that is let in in part has a word in each second.
 */
#define BELIEVED_US (3 * LOOM_US_PER_S)
/* Fewer calls than this are the noise of the estimate. */
#define CALLS_MIN 0.3
/* Of a new word on a cost: the last few count most. */
#define WEIGHT 0.2

struct told_cost {
	struct loom_cost cost;
	uint64_t told_us; /* when an answer last named it */
};

struct route_costs {
	uint64_t route_id;
	uint64_t service_id; /* that ran the last one */
	struct told_cost costs[LOOM_COSTS_MAX];
	uint32_t n;
};

struct loom_costs {
	GHashTable *routes; /* route id to struct route_costs, owned */
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

static struct route_costs *
find_or_make(struct loom_costs *costs, uint64_t route_id)
{
	struct route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);

	if (route != NULL)
		return route;
	route = g_new0(struct route_costs, 1);
	route->route_id = route_id;
	g_hash_table_insert(costs->routes, &route->route_id, route);
	return route;
}

static struct told_cost *
find_cost(struct route_costs *route, uint64_t service_id)
{
	uint32_t i;

	for (i = 0; i < route->n; i++) {
		if (route->costs[i].cost.service_id == service_id)
			return &route->costs[i];
	}
	return NULL;
}

void
loom_costs_answer(
    struct loom_costs *costs, uint64_t route_id, uint64_t service_id)
{
	find_or_make(costs, route_id)->service_id = service_id;
}

void
loom_costs_note(struct loom_costs *costs, uint64_t route_id,
    uint64_t service_id, double calls, uint64_t now_us)
{
	struct route_costs *route = find_or_make(costs, route_id);
	struct told_cost *told = find_cost(route, service_id);

	if (told == NULL) {
		if (route->n == LOOM_COSTS_MAX)
			return;
		told = &route->costs[route->n++];
		told->cost = (struct loom_cost){
			.service_id = service_id,
			.calls = calls,
		};
	}
	told->cost.calls += (calls - told->cost.calls) * WEIGHT;
	told->told_us = now_us;
}

/*
 * Executors leave out what their requests do not cost.  Without this a cost
 * that one of them once had taken for true stood for as long as it is believed
 * without a word, and a route that never goes to the narrow service was refused
 * for its sake all that time.
 */
void
loom_costs_answer_end(
    struct loom_costs *costs, uint64_t route_id, uint64_t now_us)
{
	struct route_costs *route = find_or_make(costs, route_id);
	uint32_t i;

	for (i = 0; i < route->n; i++) {
		if (route->costs[i].told_us < now_us)
			route->costs[i].cost.calls *= 1.0 - WEIGHT;
	}
}

uint64_t
loom_costs_service(const struct loom_costs *costs, uint64_t route_id)
{
	const struct route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);

	return route == NULL ? 0 : route->service_id;
}

uint32_t
loom_costs_known(const struct loom_costs *costs, uint64_t route_id,
    uint64_t now_us, struct loom_cost out[LOOM_COSTS_MAX])
{
	const struct route_costs *route =
	    g_hash_table_lookup(costs->routes, &route_id);
	uint32_t i, n = 0;

	for (i = 0; route != NULL && i < route->n; i++) {
		if (now_us - route->costs[i].told_us < BELIEVED_US)
			out[n++] = route->costs[i].cost;
	}
	return n;
}

uint32_t
loom_costs_judge(struct loom_costs *costs, uint64_t route_id, uint64_t now_us,
    struct loom_cost out[LOOM_COSTS_MAX])
{
	struct loom_cost known[LOOM_COSTS_MAX];
	uint32_t i, count, n = 0;

	count = loom_costs_known(costs, route_id, now_us, known);
	for (i = 0; i < count; i++) {
		if (known[i].calls >= CALLS_MIN)
			out[n++] = known[i];
	}
	return n;
}
