#ifndef LOOM_BALANCE_H
#define LOOM_BALANCE_H

/*
 * Load balancing among the hosts (targets) of a service: the better of two
 * random choices by calls in flight and measured latency.
 *
 * Each worker thread has one balancer per service, so no lock is needed.
 * Targets are identified by host id.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/work_report.h"

struct loom_balance;

/* One target, as the host list describes it. */
struct loom_balance_host {
	uint64_t host_id;
	bool near; /* in the data centre of this host */
	bool draining; /* listed as draining */
	bool evacuated; /* gets no calls for now */
	uint32_t slots; /* calls that its upstream runs at a time; 0: unknown */
	uint64_t instance_id; /* of the upstream's current run */
	uint32_t cold_ms; /* as listed */
	uint32_t cold_starts; /* calls in a second while cold; 0: no bound */
	uint32_t cold_start_ms; /* duration of a whole cold start */
};

enum loom_target_result {
	LOOM_TARGET_OK, /* the upstream answered, with any status */
	LOOM_TARGET_REFUSED, /* the target's daemon shed the call */
	LOOM_TARGET_HANDED_BACK, /* it would take the call, later than others */
	LOOM_TARGET_FAILED, /* no connection, broken, or no answer in time */
	LOOM_TARGET_CANCELLED, /* given up here; not a failure of the target */
};

/* The balancer is owned by ctx; random is copied. */
struct loom_balance *loom_balance_new(
    void *ctx, const struct loom_random *random, uint64_t cold_start_us);

/*
 * Sets the factor by which the score of a target in another data centre is
 * multiplied; LOOM_FAR_COST by default. A smaller factor would send calls to
 * another data centre for a gain of a few per cent, which is not worth it. Use
 * a larger one where traffic between data centres is expensive.
 */
#define LOOM_FAR_COST 1.25
void loom_balance_set_far_cost(struct loom_balance *, double far_cost);

/*
 * Replaces the list of hosts. Statistics of hosts that remain are kept. New
 * hosts go through a cold start, except for those of the very first list.
 */
void loom_balance_set_hosts(struct loom_balance *,
    const struct loom_balance_host *hosts, uint32_t nhosts, uint64_t now_us);

/*
 * Chooses a host for the next call; returns its id, or 0 if there is none.
 * Hosts in tried have had this call already and are never returned: to try one
 * again, leave it out of the list.
 */
uint64_t loom_balance_pick(struct loom_balance *, const uint64_t *tried,
    uint32_t ntried, uint64_t now_us);

struct loom_balance_choice {
	uint64_t host_id; /* 0: there is none */
	bool by_work; /* enough hosts report their work */
	/* expected time in which the next best host would finish the call; 0:
	 * unknown */
	uint64_t else_us;
};

/*
 * Chooses like loom_balance_pick(), but by the time in which each host is
 * expected to finish a call of this route, where hosts report their work.
 */
void loom_balance_pick_for(struct loom_balance *, uint64_t route_id,
    const uint64_t *tried, uint32_t ntried, uint64_t now_us,
    struct loom_balance_choice *choice);

/*
 * Records what a host reported about its work in an answer to a call of the
 * route, which took latency_us; 0 if it did not run.
 */
void loom_balance_note_work(struct loom_balance *, uint64_t host_id,
    uint64_t route_id, const struct loom_work_report *, uint64_t latency_us,
    uint64_t now_us);

/* Records, besides loom_balance_note_sent(), the route of the call. */
void loom_balance_note_sent_route(
    struct loom_balance *, uint64_t host_id, uint64_t route_id);

/* What is known of a host's work, for operators. */
struct loom_balance_work {
	uint64_t host_id;
	bool eligible; /* takes calls and is not ejected */
	bool known; /* the host has reported lately; else none of the rest is */
	uint64_t age_us; /* of the last report */
	uint32_t pace_percent; /* 0: unknown */
	double slowness; /* 1: the mean of the hosts */
	double wait_us; /* expected now */
	double correction; /* factor of its figures, by measured times */
	double used; /* as last reported */
};

/* Returns false if there are no more hosts than index. */
bool loom_balance_work_at(const struct loom_balance *, uint32_t index,
    uint64_t now_us, struct loom_balance_work *);

/* Record that a call was sent to a host, and how it ended. */
void loom_balance_note_sent(
    struct loom_balance *, uint64_t host_id, uint64_t now_us);
void loom_balance_note_done(struct loom_balance *, uint64_t host_id,
    enum loom_target_result, uint64_t latency_us, uint64_t now_us);

enum loom_probe_result {
	LOOM_PROBE_NO_ANSWER, /* no answer */
	LOOM_PROBE_NOT_SERVING, /* answered, but is not serving at the moment */
	LOOM_PROBE_SERVING,
};

/*
 * Returns a host that should be probed, or 0: one that has been unresponsive
 * for too long, or that has reported that it is draining. No other probe of the
 * host becomes due until loom_balance_note_probe() records the result.
 */
uint64_t loom_balance_probe_due(struct loom_balance *, uint64_t now_us);
void loom_balance_note_probe(struct loom_balance *, uint64_t host_id,
    enum loom_probe_result, uint64_t now_us);

/*
 * Records the utilization that a host reported: its calls running or waiting,
 * divided by the number that may run at once.
 */
void loom_balance_note_utilization(
    struct loom_balance *, uint64_t host_id, double used, uint64_t now_us);

/*
 * Records how many calls a second a host may send to its upstream, which is
 * cold or has just been; 0: any number.
 */
void loom_balance_note_start_bound(
    struct loom_balance *, uint64_t host_id, uint32_t bound, uint64_t now_us);

/*
 * Records the rate that the upstream of a host states, in requests a second; 0
 * for none.  loom_balance_stated_rate() returns it.
 */
void loom_balance_note_stated_rate(
    struct loom_balance *, uint64_t host_id, double per_s);
double loom_balance_stated_rate(const struct loom_balance *, uint64_t host_id);

/*
 * Records that the upstream of a host has said that it leaves.  The host gets
 * no calls until another run of the upstream is listed, and at the latest after
 * LOOM_LEFT_US, since a run under the same name cannot be told from it.
 */
#define LOOM_LEFT_US (60 * LOOM_US_PER_S)
void loom_balance_note_left(
    struct loom_balance *, uint64_t host_id, uint64_t now_us);
bool loom_balance_has_left(
    const struct loom_balance *, uint64_t host_id, uint64_t now_us);

/*
 * Records that a host reported that it is draining. It gets no new calls for a
 * few seconds, or until a probe finds it serving again.
 */
void loom_balance_note_draining(
    struct loom_balance *, uint64_t host_id, uint64_t now_us);

/* Number of hosts that are neither draining nor ejected. */
uint32_t loom_balance_available_count(
    const struct loom_balance *, uint64_t now_us);

#endif
