#ifndef LOOM_FANOUT_H
#define LOOM_FANOUT_H

/*
 * Estimates how many calls on each inner route a request of a route makes, from
 * nothing but the requests that ran at an upstream and the calls that it made
 * meanwhile. Not thread-safe.
 */

#include <stdint.h>

/*
 * Capacity of the table of routes, and of that of inner routes; the least used
 * route is replaced.
 */
#define LOOM_FANOUT_ROUTES 8

struct loom_fanout;

struct loom_fanout *loom_fanout_new(void *ctx, uint64_t now_us);

/* The upstream began to run a request of this route, or finished one. */
void loom_fanout_begin(
    struct loom_fanout *, uint64_t route_id, uint64_t now_us);
void loom_fanout_end(struct loom_fanout *, uint64_t route_id, uint64_t began_us,
    uint64_t now_us);

/* The upstream made a call on this inner route. */
void loom_fanout_add_call(
    struct loom_fanout *, uint64_t inner_id, uint64_t now_us);

/* Writes the known inner routes to ids; returns their number. */
uint32_t loom_fanout_inner_routes(
    const struct loom_fanout *, uint64_t ids[LOOM_FANOUT_ROUTES]);

/*
 * Returns the estimated calls on the inner route per request of the route, at
 * least 0.
 */
double loom_fanout_calls_per_request(
    const struct loom_fanout *, uint64_t route_id, uint64_t inner_id);

#endif
