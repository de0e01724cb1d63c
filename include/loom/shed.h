#ifndef LOOM_SHED_H
#define LOOM_SHED_H

/*
 * Load shedding at the entry.  Each call has a rank: its importance first, then
 * a cohort derived from its root request, which is the same at each hop.  A
 * shedding threshold (cut) refuses all calls whose rank is at or above it.  An
 * executor keeps a cut for each team and returns it with every answer and
 * refusal to that team.  The entry then refuses calls that a service deeper in
 * the call chain would refuse after others have worked on them.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/manifest.h"

#define LOOM_COHORTS 256
#define LOOM_CUT_NONE ((uint16_t)(LOOM_IMPORTANCE_COUNT * LOOM_COHORTS))

/* An answer carries one of these for each service that worked on it. */
struct loom_threshold {
	uint64_t service_id;
	uint16_t cut; /* LOOM_CUT_NONE: nothing is shed */
};

/* root_id identifies the root request: the same at each hop, and different for
 * each attempt of the caller, so that no caller is refused every time. */
uint16_t loom_shed_rank(enum loom_importance, uint64_t root_id);

/* One for each worker thread of an entry; takes no lock. */
struct loom_shed;

/* Owned by ctx; random is copied. */
struct loom_shed *loom_shed_new(void *ctx, const struct loom_random *random);

/*
 * Returns LOOM_OK if a call of this team and rank may go on to a route, else
 * LOOM_OVERLOAD with *retry_after_us set.  service_ids lists the services that
 * the route calls, directly or indirectly.
 */
enum loom_result loom_shed_check(struct loom_shed *,
    const uint64_t *service_ids, uint32_t nservices, uint64_t team_id,
    uint16_t rank, uint64_t now_us, uint64_t *retry_after_us);

/* Records a threshold that came with an answer to a call of this team. */
void loom_shed_record(struct loom_shed *, uint64_t team_id,
    const struct loom_threshold *, uint64_t now_us);

/* The current cut; LOOM_CUT_NONE when none is known. */
uint16_t loom_shed_cut(const struct loom_shed *, uint64_t service_id,
    uint64_t team_id, uint64_t now_us);

#endif
