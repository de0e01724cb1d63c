#ifndef LOOM_DECIDE_TEAM_ROOM_H
#define LOOM_DECIDE_TEAM_ROOM_H

/*
 * Compares what teams use of a service with what they are entitled to.  One
 * object for each service and worker thread, without a lock.  Its time must not
 * step back.
 */

#include <stdint.h>

struct team_room;

/* Owned by ctx. */
struct team_room *team_room_new(void *ctx);

/*
 * Returns what the team offered in the last seconds, relative to its share by
 * weight of what all teams offered; 1 if weight is 0.  Records the work of the
 * present request for the following calls.
 */
double team_room_offer(struct team_room *, uint64_t team_id, double weight,
    double work, uint64_t now_us);

#endif
