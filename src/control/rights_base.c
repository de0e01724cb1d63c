/*
 * The part of every team alike that this daemon holds.
 *
 * Own parts are lent to a pool whole and for all teams at once, so a renewal
 * costs the same for one team as for a thousand; only what daemons borrow
 * back names teams.
 */

#include "control/rights_internal.h"

/* A child that did not renew is no longer counted on this long before its
 * loan ends, so that the base shrinks in order and not by its end at use. */
#define DROP_EARLY_US (2 * LOOM_LOAN_RENEW_US)

/* Long enough for calls that wait, and a renewal. */
#define SHORT_LOAN_US (LOOM_LOAN_STEP_US / 4)

/* Once parts are back they are lent to the next pool, which counts them at its
 * next tick and begins without a token. */
#define REASSIGN_US (2 * LOOM_LOAN_RENEW_US)

/* What a forerunner lent has ended when a daemon owns anything again. */
_Static_assert(LOOM_OWN_WITHHELD_US > LOOM_LOAN_LONGEST_US &&
	2 * LOOM_POOL_STAGES_MAX * LOOM_LOAN_STEP_US <= LOOM_LOAN_LONGEST_US &&
	LOOM_OWN_WITHHELD_LARGE_US > LOOM_LOAN_LONGEST_US +
		LOOM_POOL_STAGES_MAX * LOOM_LOAN_IDLE_RENEW_LARGE_US,
    "a restarted daemon must outwait its forerunner's loans");

static uint64_t
committed_parts(const struct rights_base_loan *lend, uint64_t now_us)
{
	uint64_t parts = 0;

	if (now_us < lend->until_us)
		parts = lend->parts;
	if (now_us < lend->old_until_us)
		parts = MAX(parts, lend->old_parts);
	return parts;
}

uint64_t
rights_lent_up(const struct loom_rights *rights, uint64_t now_us)
{
	uint64_t parts = 0;
	unsigned i;

	for (i = 0; i < RIGHTS_BASE_LOANS_MAX; i++)
		parts += committed_parts(&rights->base_loans[i], now_us);
	return parts;
}

/* Lent to this daemon by its children until at_us at least; *until_us is
 * lowered to the earliest end among them. */
static uint64_t
pooled_until(
    const struct loom_rights *rights, uint64_t at_us, uint64_t *until_us)
{
	struct rights_child *child;
	GHashTableIter iter;
	uint64_t parts = 0;

	g_hash_table_iter_init(&iter, rights->children);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&child)) {
		if (child->lend_parts == 0 || child->lend_until_us < at_us)
			continue;
		parts += child->lend_parts;
		*until_us = MIN(*until_us, child->lend_until_us);
	}
	return parts;
}

/*
 * A team must be brought up to now under the old base: with the new one it
 * would refill for time in which this part was not here.  And its level must
 * fit the new one before anything is lent: a worker that read the clock a
 * moment earlier would still find the old level.
 */
static void
recompute_levels(struct rights_shard *shard, const struct loom_base_share *base,
    uint64_t now_us)
{
	struct rights_team *team;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, shard->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
		loom_bucket_advance(&team->bucket, &shard->base, now_us);
		loom_bucket_add(&team->bucket, base, 0, now_us);
	}
}

static void
set_base(
    struct loom_rights *rights, struct loom_base_share base, uint64_t now_us)
{
	struct rights_shard *shard;
	unsigned i;

	for (i = 0; i < RIGHTS_SHARDS; i++) {
		shard = &rights->shards[i];
		g_mutex_lock(&shard->lock);
		/* a mere extension of a base that still runs needs no walk
		 * over all teams */
		if (shard->base.parts != base.parts ||
		    now_us >= shard->base.until_us)
			recompute_levels(shard, &base, now_us);
		shard->base = base;
		g_mutex_unlock(&shard->lock);
	}
	rights->base = base;
}

/*
 * When most of what was lent here runs out, because this pool is being left
 * or cut off, short loans still put the rest to use.
 */
static void
refresh_grantable(struct loom_rights *rights, uint64_t now_us)
{
	uint64_t duration_us = loom_loan_to_child_us(rights->choice.stage);
	uint64_t until_us = now_us + LOOM_LOAN_RENEW_US;
	uint64_t ignored = UINT64_MAX, pooled;

	rights->grantable_until_us = until_us;
	pooled = pooled_until(rights, until_us + duration_us, &ignored);
	if (pooled < rights->pooled_parts / 2) {
		duration_us = SHORT_LOAN_US;
		pooled = pooled_until(rights, until_us + duration_us, &ignored);
	}
	rights->grantable_us = duration_us;
	pooled += rights->own_parts;
	rights->grantable_parts =
	    pooled - MIN(pooled, rights_lent_up(rights, now_us));
}

void
rights_refresh_base(struct loom_rights *rights, uint64_t now_us)
{
	struct loom_base_share base = { 0 };
	uint64_t parts;

	rights->base_changed = false;
	rights->own_parts = loom_ownership_parts(&rights->own, now_us);
	atomic_store(&rights->shares, rights->own.shares);
	/* own parts end at use too, should the process be stopped for long */
	base.until_us = now_us + rights->own.list_lag_us;
	rights->pooled_parts =
	    pooled_until(rights, now_us + DROP_EARLY_US, &base.until_us);
	parts = rights->own_parts + rights->pooled_parts;
	base.parts = parts - MIN(parts, rights_lent_up(rights, now_us));
	set_base(rights, base, now_us);
	refresh_grantable(rights, now_us);
}

void
rights_refresh_if_stale(struct loom_rights *rights, uint64_t now_us)
{
	if (now_us >= rights->grantable_until_us)
		rights_refresh_base(rights, now_us);
}

/* The most of any team that daemons below use out of the base and not out
 * of a loan from above: so much must stay here. */
static uint64_t
parts_used_below(struct loom_rights *rights, uint64_t now_us)
{
	struct loom_share in, out;
	struct rights_team *team;
	uint64_t most = 0;
	unsigned i, k;

	for (i = 0; i < rights->teams->len; i++) {
		team = g_ptr_array_index(rights->teams, i);
		in = (struct loom_share){ 0 };
		rights_lock(team);
		out = team->bucket.lent;
		for (k = 0; k < LOOM_LENDERS_MAX; k++) {
			if (now_us >= team->bucket.borrowed[k].until_us)
				continue;
			in.refill += team->bucket.borrowed[k].share.refill;
			in.capacity += team->bucket.borrowed[k].share.capacity;
		}
		rights_unlock(team);
		if (out.refill > in.refill)
			most = MAX(most, out.refill - in.refill);
		if (out.capacity > in.capacity)
			most = MAX(most, out.capacity - in.capacity);
	}
	return most;
}

static bool
is_lent_to_parent(
    const struct loom_rights *rights, const struct rights_base_loan *lend)
{
	return lend->host_id == rights->parent.host_id &&
	    lend->incarnation == rights->parent.incarnation;
}

/* The parent's entry, or one that is over; NULL when all are in use. */
static struct rights_base_loan *
find_base_loan(struct loom_rights *rights, uint64_t now_us)
{
	struct rights_base_loan *unused = NULL;
	unsigned i;

	for (i = 0; i < RIGHTS_BASE_LOANS_MAX; i++) {
		if (is_lent_to_parent(rights, &rights->base_loans[i]))
			return &rights->base_loans[i];
		if (committed_parts(&rights->base_loans[i], now_us) == 0)
			unused = &rights->base_loans[i];
	}
	if (unused != NULL)
		*unused = (struct rights_base_loan){
			.host_id = rights->parent.host_id,
			.incarnation = rights->parent.incarnation,
		};
	return unused;
}

static uint64_t
lent_until_us(const struct rights_base_loan *lend)
{
	return MAX(lend->until_us, lend->old_until_us);
}

uint64_t
rights_lent_until_us(const struct loom_rights *rights, uint64_t host_id)
{
	uint64_t until_us = 0;
	unsigned i;

	for (i = 0; i < RIGHTS_BASE_LOANS_MAX; i++) {
		if (rights->base_loans[i].host_id == host_id)
			until_us = MAX(
			    until_us, lent_until_us(&rights->base_loans[i]));
	}
	return until_us;
}

uint64_t
rights_lent_elsewhere_until_us(
    const struct loom_rights *rights, uint64_t now_us)
{
	const bool answers = rights_pool_responds(rights, now_us);
	uint64_t until_us = 0;
	unsigned i;

	for (i = 0; i < RIGHTS_BASE_LOANS_MAX; i++) {
		if (!answers ||
		    !is_lent_to_parent(rights, &rights->base_loans[i]))
			until_us = MAX(
			    until_us, lent_until_us(&rights->base_loans[i]));
	}
	return until_us == 0 ? 0 : until_us + REASSIGN_US;
}

static uint64_t
lendable_parts(struct loom_rights *rights, const struct rights_base_loan *lend,
    uint64_t duration_us, uint64_t now_us)
{
	uint64_t parts, taken, until_us = UINT64_MAX;

	parts = rights->own_parts +
	    pooled_until(rights, now_us + duration_us, &until_us);
	taken = parts_used_below(rights, now_us) +
	    rights_lent_up(rights, now_us) - committed_parts(lend, now_us);
	return parts - MIN(parts, taken);
}

uint64_t
rights_lendable_up(
    struct loom_rights *rights, uint64_t duration_us, uint64_t now_us)
{
	struct rights_base_loan *lend;

	lend = find_base_loan(rights, now_us);
	return lend == NULL ? 0
			    : lendable_parts(rights, lend, duration_us, now_us);
}

uint64_t
rights_lend_up(
    struct loom_rights *rights, uint64_t duration_us, uint64_t now_us)
{
	struct rights_base_loan *lend;
	uint64_t parts;

	lend = find_base_loan(rights, now_us);
	if (lend == NULL)
		return 0;
	parts = lendable_parts(rights, lend, duration_us, now_us);
	if (parts < lend->parts && now_us < lend->until_us) {
		lend->old_parts = committed_parts(lend, now_us);
		lend->old_until_us = MAX(lend->until_us, lend->old_until_us);
	}
	/* a shorter loan does not call back a longer one that was sent */
	lend->parts = parts;
	lend->until_us = MAX(lend->until_us, now_us + duration_us);
	return parts;
}
