#ifndef DECIDE_CUTS_H
#define DECIDE_CUTS_H

/*
 * The shedding threshold (cut) that one executor keeps for each team.  Not
 * thread-safe: the owner holds a lock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/manifest.h"
#include "loom/shed.h"

struct loom_cuts;

/* Owned by ctx. */
struct loom_cuts *loom_cuts_new(void *ctx);

/* Count a call of the team that arrived at the executor, was sent to the
 * upstream, or was refused. */
void loom_cuts_offered(struct loom_cuts *, uint64_t team_id, uint16_t rank);
void loom_cuts_served(struct loom_cuts *, uint64_t team_id);
void loom_cuts_refused(struct loom_cuts *, uint64_t team_id, uint16_t rank);

/* Updates the cuts.  used is the part of the upstream's limit that was recently
 * in use, 1 when calls wait.  Returns whether any cut is in force. */
bool loom_cuts_tick(struct loom_cuts *, double used, uint64_t now_us);

/* Discards the counts of the current windows and starts new ones: for a time at
 * which refusals were not caused by the teams. */
void loom_cuts_restart_windows(struct loom_cuts *, uint64_t now_us);

uint16_t loom_cuts_get(const struct loom_cuts *, uint64_t team_id);

#endif
