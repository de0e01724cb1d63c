#ifndef LOOM_DECIDE_WORK_KNOWN_H
#define LOOM_DECIDE_WORK_KNOWN_H

/*
 * Whether this daemon decides by work in place of the number of calls.
 *
 * Work is worth counting where the number of calls says little about it: where
 * the classes of calls at an upstream differ much in cost, or where an upstream
 * tells that its machine is slower at times.  A chain of calls that leads there
 * is decided by work at each of its services, so a daemon also takes it from
 * reports of others.  These state how long ago the reason was last seen where
 * it arose; daemons that only repeat it can not keep it alive.
 */

#include <stdbool.h>
#include <stdint.h>

/* No clock of its own; zeroed at first. */
struct work_known {
	uint64_t seen_us; /* when a reason was last seen; 0: never */
};

/* The upstream reported its pace. */
void work_known_note_pace(struct work_known *, uint64_t now_us);

/* The dispersion of the costs at the upstream (loom_work_costs_dispersion()).
 */
void work_known_note_dispersion(
    struct work_known *, double dispersion, uint64_t now_us);

/* Another daemon saw a reason, or heard of one, that is this old, the time of
 * the message included: a reason that grew younger on its way would never end.
 */
void work_known_note_peer(
    struct work_known *, uint64_t age_us, uint64_t now_us);

bool work_known_is(const struct work_known *, uint64_t now_us);

/* The age of the reason, to be told to others, rounded up; valid if
 * work_known_is(). */
uint32_t work_known_age_ms(const struct work_known *, uint64_t now_us);

#endif
