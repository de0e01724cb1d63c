#ifndef LOOM_SHED_H
#define LOOM_SHED_H

/*
 * Shedding thresholds.  Each call has a rank: importance first, then a cohort
 * made of its root request, which is the same at each hop.  A threshold (cut)
 * refuses all ranks at or above it.  An executor keeps a cut for each team and
 * carries it back in every answer and refusal to that team; the entry refuses
 * there what a deeper service would drop after others have worked on it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/manifest.h"

#define LOOM_COHORTS 256
#define LOOM_CUT_NONE ((uint16_t)(LOOM_IMPORTANCES * LOOM_COHORTS))

/* What an answer carries for each service that worked on it. */
struct loom_threshold {
	uint64_t service_id;
	uint16_t cut; /* LOOM_CUT_NONE: nothing is shed */
};

/* root_id: the root request's id, the same at each hop and different for
 * each attempt of the caller, so that nobody is unlucky for ever. */
uint16_t loom_shed_rank(enum loom_importance, uint64_t root_id);

/* One for each worker thread of an entry; no lock. */
struct loom_shed;

/* Owned by ctx; random is copied. */
struct loom_shed *loom_shed_new(void *ctx, const struct loom_random *random);

/*
 * May a call of this team and rank go on to a route whose closure of services
 * is given?  LOOM_OK, or LOOM_OVERLOAD with *retry_after_us.
 */
enum loom_result loom_shed_check(struct loom_shed *,
    const uint64_t *service_ids, uint32_t nservices, uint64_t team_id,
    uint16_t rank, uint64_t now_us, uint64_t *retry_after_us);

/* An answer to a call of this team brought a threshold. */
void loom_shed_note(struct loom_shed *, uint64_t team_id,
    const struct loom_threshold *, uint64_t now_us);

/* The cut in force; LOOM_CUT_NONE when none is known. */
uint16_t loom_shed_cut(const struct loom_shed *, uint64_t service_id,
    uint64_t team_id, uint64_t now_us);

#endif
