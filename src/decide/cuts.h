#ifndef DECIDE_CUTS_H
#define DECIDE_CUTS_H

/*
 * The shedding threshold (cut) that one executor keeps for each team.
 * Not thread-safe: the owner holds a lock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/manifest.h"
#include "loom/shed.h"

struct loom_cuts;

/* Owned by ctx. */
struct loom_cuts *loom_cuts_new(void *ctx);

/* A call of the team came to the executor; went on to the upstream; was
 * turned away. */
void loom_cuts_offered(struct loom_cuts *, uint64_t team_id, uint16_t rank);
void loom_cuts_served(struct loom_cuts *, uint64_t team_id);
void loom_cuts_refused(struct loom_cuts *, uint64_t team_id, uint16_t rank);

/* Move the cuts.  used is the part of the upstream's limit that was in use
 * lately, 1 when calls wait.  Returns whether any cut is in force. */
bool loom_cuts_tick(struct loom_cuts *, double used, uint64_t now_us);

/* Forget what was counted since the last tick that moved cuts: it was not the
 * teams' doing. */
void loom_cuts_forget(struct loom_cuts *, uint64_t now_us);

uint16_t loom_cuts_of(const struct loom_cuts *, uint64_t team_id);

#endif
