#ifndef LOOM_DECIDE_HOST_WORK_H
#define LOOM_DECIDE_HOST_WORK_H

/*
 * What an entry knows of the work at the hosts of one service, from the reports
 * on their answers (loom/work_report.h): what calls of each route cost at the
 * service, how slow each host is, and how long a call would wait there.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/work_report.h"

/* Routes that are told apart; the one used longest ago is replaced. */
#define ROUTE_COSTS_MAX 64

struct route_cost {
	uint64_t route_id;
	uint64_t used_us; /* 0: unused */
	double own_us; /* at a host of slowness 1 and at usual pace */
	double nested_us;
	uint32_t nreports; /* counted up to a bound */
};

struct route_costs {
	struct route_cost routes[ROUTE_COSTS_MAX];
	struct route_cost mean; /* of all calls */
};

/* Knowledge of one host; zeroed: none. */
struct host_work {
	uint64_t reported_us; /* time of the last report; 0: never */
	/* reports, and those with a cost; counted up to a bound */
	uint32_t nreports;
	uint32_t ncosts;
	uint32_t pace_percent; /* 0: unknown */
	double wait_us; /* as last reported */
	double usual_wait_us; /* moving mean of the reports */
	double slowness; /* own time over that of the route */
	double excess; /* measured over reported time, moving mean */
	/* own calls sent since the report, and their slot time */
	uint32_t nsent;
	double sent_us;
};

/* Of all hosts that may be chosen; what is assumed of one that is unknown. */
struct host_work_means {
	double wait_us;
	double slowness;
	double certainty; /* sum of the weights of the slownesses */
	double excess;
	uint32_t nknown; /* hosts that report */
};

/* Expected cost of a call of the route; the mean of all for a new route. */
const struct route_cost *route_costs_find(
    const struct route_costs *, uint64_t route_id);

/* Whether the host has reported lately. */
bool host_work_is_known(const struct host_work *, uint64_t now_us);

/* Adds a host to the means, to be ended by host_work_means_end(). */
void host_work_means_add(
    struct host_work_means *, const struct host_work *, uint64_t now_us);
void host_work_means_end(struct host_work_means *);

/*
 * Takes in a report on an answer to a call of the route.  latency_us is the
 * time that the call took, 0 if it did not run.
 */
void host_work_note_report(struct host_work *, struct route_costs *,
    uint64_t route_id, const struct loom_work_report *, uint64_t latency_us,
    uint64_t now_us);

/* A call of the route was sent to the host. */
void host_work_note_sent(
    struct host_work *, const struct route_costs *, uint64_t route_id);

/* Returns how slow the host is, 1 for the mean of the hosts. */
double host_work_slowness(
    const struct host_work *, const struct host_work_means *, uint64_t now_us);

/* Facts about a host that the owner keeps. */
struct host_work_calls {
	uint32_t slots; /* 0: unknown */
	uint32_t in_flight; /* own calls */
};

/* Returns how long a call that is sent now would wait for a slot. */
double host_work_wait_us(const struct host_work *,
    const struct host_work_means *, struct host_work_calls, uint64_t now_us);

/* Returns the factor by which the host's figures are too low; 1 unless it is
 * far from that of other hosts. */
double host_work_correction(
    const struct host_work *, const struct host_work_means *, uint64_t now_us);

/* Returns the time in which a call of this cost would be finished. */
double host_work_finish_us(const struct host_work *,
    const struct host_work_means *, const struct route_cost *,
    struct host_work_calls, uint64_t now_us);

#endif
