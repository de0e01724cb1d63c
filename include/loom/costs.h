#ifndef LOOM_COSTS_H
#define LOOM_COSTS_H

/*
 * How many calls a request of a route makes at each service below the one that
 * runs it, as answers tell.  One table for each worker thread, no lock.
 */

#include <stdbool.h>
#include <stdint.h>

/* Services below one route: a header of them takes 1.5 KB at most. */
#define LOOM_COSTS_MAX 32

struct loom_cost {
	uint64_t service_id;
	double calls; /* that one request makes there */
};

/* Fewer calls than this are the noise of the estimate. */
#define LOOM_COSTS_CALLS_MIN 0.3

struct loom_costs;
struct loom_route_costs; /* of one route, owned by the table */

struct loom_costs *loom_costs_new(void *ctx);

/* An answer to a request of the route came from this service, which names what
 * the request cost further down: loom_costs_note() for each, then
 * loom_costs_answer_end(). */
struct loom_route_costs *loom_costs_answer(
    struct loom_costs *, uint64_t route_id, uint64_t service_id);
void loom_costs_note(struct loom_route_costs *, uint64_t service_id,
    double calls, uint64_t now_us);
void loom_costs_answer_end(struct loom_route_costs *, uint64_t now_us);

/* The service that answered last, 0 before any answer; and what requests of
 * the route cost below it, *n of them in out. */
uint64_t loom_costs_known(const struct loom_costs *, uint64_t route_id,
    struct loom_cost out[LOOM_COSTS_MAX], uint32_t *n);

/* By which of them a root request that comes now is let in or refused; how
 * many are in out. */
uint32_t loom_costs_judge(struct loom_costs *, uint64_t route_id,
    uint64_t now_us, struct loom_cost out[LOOM_COSTS_MAX]);

#endif
