#ifndef LOOM_COSTS_H
#define LOOM_COSTS_H

/*
 * Learns from answers how many calls a request of a route makes at each service
 * downstream of the one that runs it. One table for each worker thread, without
 * a lock.
 *
 * Where executors know the work of calls, a call counts as the slot time of its
 * route relative to the mean of all calls at its service: a cost of 8 is the
 * slot time of eight mean calls, whether one call takes it or twenty.
 */

#include <stdbool.h>
#include <stdint.h>

/*
 * Downstream services per route: a header that lists them takes 1.5 KB at most.
 */
#define LOOM_COSTS_MAX 32

struct loom_cost {
	uint64_t service_id;
	double calls; /* made there by one request */
};

/* Fewer calls than this are within the error of the estimate. */
#define LOOM_COSTS_CALLS_MIN 0.3
/*
 * The same of routes whose costs are measured as work. Refusing a request that
 * takes less than this part of a mean call frees next to nothing.
 */
#define LOOM_COSTS_WORK_MIN 0.1

struct loom_costs;
struct loom_route_costs; /* of one route, owned by the table */

struct loom_costs *loom_costs_new(void *ctx);

/*
 * Begins to record an answer to a request of the route, received from this
 * service. loom_costs_answer_add() has to follow for each downstream cost that
 * the answer reports, and loom_costs_answer_end() after the last one.
 */
struct loom_route_costs *loom_costs_answer_begin(
    struct loom_costs *, uint64_t route_id, uint64_t service_id);
void loom_costs_answer_add(struct loom_route_costs *, uint64_t service_id,
    double calls, uint64_t now_us);
void loom_costs_answer_end(struct loom_route_costs *, uint64_t now_us);

/*
 * The answer states what a request of the route takes at the answering service
 * itself, in mean calls there, and reports every downstream cost. Called right
 * after loom_costs_answer_begin(). Once a route has such answers, the ones
 * between them may omit costs; what they report is confirmed and not changed.
 */
void loom_costs_answer_complete(struct loom_route_costs *, double calls);

/*
 * Returns what a request of the route takes at the service that runs it, in
 * mean calls there; 1 if no answer states it.
 */
double loom_costs_own(const struct loom_costs *, uint64_t route_id);

/*
 * Returns the service that answered last, or 0 if none did, and writes the *n
 * known downstream costs of the route's requests to out.
 */
uint64_t loom_costs_known(const struct loom_costs *, uint64_t route_id,
    struct loom_cost out[LOOM_COSTS_MAX], uint32_t *n);

/*
 * Writes the costs by which a root request that arrives now has to be judged to
 * out; returns their number. A cost that the request shall probe is left out.
 */
uint32_t loom_costs_to_check(struct loom_costs *, uint64_t route_id,
    uint64_t now_us, struct loom_cost out[LOOM_COSTS_MAX]);

#endif
