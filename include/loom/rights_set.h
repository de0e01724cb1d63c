#ifndef LOOM_RIGHTS_SET_H
#define LOOM_RIGHTS_SET_H

/*
 * All teams' rates, in partitions.
 *
 * Each partition is responsible for some of the teams (loom/rights.h) and
 * chooses its own pools, so that the requests of a fleet are spread over
 * several hosts. All daemons of a fleet must use the same number of partitions.
 * A team that another daemon assigns to a different partition finds no pool
 * there and is limited to this daemon's owned share.
 */

#include "loom/rights.h"

struct loom_rights_set;

/* Operations of the whole set; `part` is the struct loom_rights_set. */
extern const struct loom_component_ops loom_rights_set_ops;

/*
 * Like loom_rights_new(), for settings->partitions partitions.
 * settings->partition is ignored.
 */
struct loom_rights_set *loom_rights_set_new(TALLOC_CTX *ctx,
    const struct loom_self *self, const struct loom_sender *sender,
    const struct loom_random *random, const struct loom_rights_waker *waker,
    const struct loom_rights_settings *settings, uint64_t now_us);

/*
 * The partition responsible for a team, borrowed; for loom_rights_take(),
 * _wait(), _cancel() and _team_status(). Any thread.
 */
struct loom_rights *loom_rights_set_find(
    const struct loom_rights_set *, uint64_t team_id);

uint32_t loom_rights_set_count(const struct loom_rights_set *);
struct loom_rights *loom_rights_set_at(
    const struct loom_rights_set *, uint32_t i);

/* Like loom_rights_run(), for all partitions. Control thread. */
void loom_rights_set_run(struct loom_rights_set *, uint64_t now_us);

#endif
