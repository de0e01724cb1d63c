#ifndef LOOM_EXCESS_H
#define LOOM_EXCESS_H

/*
 * Tests whether an upstream makes more calls while requests of a route run. The
 * caller assigns the numbers of routes and inner routes. Not thread-safe.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/fanout.h"

struct loom_excess;

/* Owned by ctx (talloc). */
struct loom_excess *loom_excess_new(void *ctx);

/* The upstream made a call. Times must not decrease. */
void loom_excess_add_call(
    struct loom_excess *, uint32_t inner, uint64_t now_us);

/* A request of the route ran from began_us to now_us. */
void loom_excess_add_request(
    struct loom_excess *, uint32_t route, uint64_t began_us, uint64_t now_us);

/*
 * Discards what was measured under the number, which is reused for another
 * route.
 */
void loom_excess_reset_inner(struct loom_excess *, uint32_t inner);
void loom_excess_reset_route(struct loom_excess *, uint32_t route);

/*
 * Whether the measurements rule out that a request of the route makes this many
 * calls.
 */
bool loom_excess_rules_out(
    const struct loom_excess *, uint32_t route, uint32_t inner, double calls);

/*
 * Whether the measurements confirm that requests of the route make such calls.
 */
bool loom_excess_confirms(
    const struct loom_excess *, uint32_t route, uint32_t inner);

#endif
