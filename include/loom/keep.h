#ifndef LOOM_KEEP_H
#define LOOM_KEEP_H

/*
 * Which part of the root requests a narrow service below can carry.
 *
 * An executor keeps a share (1: all) of what is offered to the whole fleet
 * that its own upstream can take.  The share travels back with answers, from
 * daemon to daemon; an entry lets in so much of the root requests that lead
 * there, the important ones first.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/shed.h"

/* The executor's side; zeroed but for a share of 1 by the init. */
struct loom_keep_control {
	double steered; /* follows the use over seconds */
	double share; /* that entries are told: less while a queue stands */
	uint64_t ticked_us;
	/* the least queue, to the limit, of this window and the last one */
	double queue_min[2];
	uint64_t window_us; /* when this one began */
};

void loom_keep_control_init(struct loom_keep_control *, uint64_t now_us);

/* used: calls that run or wait, to the limit of those that may run.  To be
 * called each few milliseconds. */
void loom_keep_control_tick(
    struct loom_keep_control *, double used, uint64_t now_us);

/* The entry's side: one for each worker thread, no lock. */
struct loom_keep_gate;

struct loom_keep_gate *loom_keep_gate_new(void *ctx);

/* An answer brought the share of one of the service's executors. */
void loom_keep_note(struct loom_keep_gate *, uint64_t service_id, double share,
    uint64_t now_us);

/* The mean of what executors reported lately; 1 when none did. */
double loom_keep_share(
    const struct loom_keep_gate *, uint64_t service_id, uint64_t now_us);

/* Since when no executor's report of it has come; 0 when none ever did. */
uint64_t loom_keep_age_us(
    const struct loom_keep_gate *, uint64_t service_id, uint64_t now_us);

/* A root request of this rank makes so many calls at the service: is it within
 * the share?  Counts them as offered either way. */
bool loom_keep_pass(struct loom_keep_gate *, uint64_t service_id, uint16_t rank,
    double calls, uint64_t now_us);

#endif
