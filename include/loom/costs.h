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

struct loom_costs;

struct loom_costs *loom_costs_new(void *ctx);

/* An answer to a request of the route came from this service, which names what
 * the request cost further down: loom_costs_note() for each, then
 * loom_costs_answer_end(). */
void loom_costs_answer(
    struct loom_costs *, uint64_t route_id, uint64_t service_id);
void loom_costs_note(struct loom_costs *, uint64_t route_id,
    uint64_t service_id, double calls, uint64_t now_us);
void loom_costs_answer_end(
    struct loom_costs *, uint64_t route_id, uint64_t now_us);

/* The service that answered last; 0 before any answer. */
uint64_t loom_costs_service(const struct loom_costs *, uint64_t route_id);

/* What requests of the route cost below that service; how many are in out. */
uint32_t loom_costs_known(const struct loom_costs *, uint64_t route_id,
    struct loom_cost out[LOOM_COSTS_MAX]);

/* By which of them a root request that comes now is let in or refused. */
uint32_t loom_costs_judge(struct loom_costs *, uint64_t route_id,
    uint64_t now_us, struct loom_cost out[LOOM_COSTS_MAX]);

#endif
