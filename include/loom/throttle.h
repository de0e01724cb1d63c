#ifndef LOOM_THROTTLE_H
#define LOOM_THROTTLE_H

/*
 * Limits root requests to what the downstream services that they lead to can
 * carry.
 *
 * An executor maintains a share between 0 and 1: the fraction of the load
 * offered by the whole fleet that its own upstream can serve. The share travels
 * back with answers, from daemon to daemon. An entry admits that fraction of
 * the root requests that lead to the service, the most important ones first.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/shed.h"

/* The executor's state. loom_throttle_control_init() sets both shares to 1. */
struct loom_throttle_control {
	/* integral term; follows the utilization over seconds */
	double integral_share;
	double share; /* reported to entries: lower while a queue stands */
	uint64_t updated_us;
	/* shortest queue in this and the last window, relative to the limit */
	double queue_min[2];
	uint64_t window_start_us; /* start of the current window */
	/* Set by the owner: the share comes back within about a second when
	 * there is room. */
	bool fast_recovery;
	double mean_utilization; /* of the last tenths of a second */
	/* lowest share in this and the last window */
	double share_min[2];
	uint64_t share_window_start_us;
};

void loom_throttle_control_init(
    struct loom_throttle_control *, uint64_t now_us);

/*
 * utilization: running and waiting calls, divided by the limit of running ones.
 * To be called every few milliseconds.
 */
void loom_throttle_control_update(
    struct loom_throttle_control *, double utilization, uint64_t now_us);

/* The entry's state: one for each worker thread, without a lock. */
struct loom_throttle;

struct loom_throttle *loom_throttle_new(void *ctx);

/* An answer reported the share of one of the service's executors. */
void loom_throttle_add_report(
    struct loom_throttle *, uint64_t service_id, double share, uint64_t now_us);

/*
 * An answer of one of the service's executors reported no share: it carries
 * whatever is offered.  Counts like a report of 1.
 */
void loom_throttle_add_omission(
    struct loom_throttle *, uint64_t service_id, uint64_t now_us);

/*
 * Returns the moving average of recently reported shares, 1 if there was no
 * report.
 */
double loom_throttle_share(
    const struct loom_throttle *, uint64_t service_id, uint64_t now_us);

/*
 * Returns the time since the last report about the service, 0 if there was
 * none.
 */
uint64_t loom_throttle_report_age_us(
    const struct loom_throttle *, uint64_t service_id, uint64_t now_us);

/*
 * Decides whether a root request of this rank, which makes that many calls at
 * the service, is within the share. Counts the calls as offered in either case.
 */
bool loom_throttle_admit(struct loom_throttle *, uint64_t service_id,
    uint16_t rank, double calls, uint64_t now_us);

/*
 * An answer measures costs at the service as work (loom/costs.h).  From then
 * on, and while such answers come, loom_throttle_admit_request() shares the
 * room out by work.
 */
void loom_throttle_add_work(
    struct loom_throttle *, uint64_t service_id, uint64_t now_us);

struct loom_throttle_request {
	uint64_t service_id;
	uint16_t rank;
	double calls;
	uint64_t team_id;
	double team_weight; /* share of the room; 0: as large as it needs */
};

/*
 * Like loom_throttle_admit().  While the room is shared out by work, requests
 * of one importance are admitted by their cost and by what their team uses
 * beyond its share by weight, and a part of each kind that is not critical
 * comes before all others that are not critical.
 */
bool loom_throttle_admit_request(struct loom_throttle *,
    const struct loom_throttle_request *, uint64_t now_us);

#endif
