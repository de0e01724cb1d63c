/*
 * The base share: the share that this daemon holds of every team alike.
 *
 * The owned share is lent to a pool as a whole and for all teams at once, so
 * that a renewal costs the same for one team as for a thousand. Only what
 * daemons borrow back is recorded by team.
 */

#include "control/rights_internal.h"

/*
 * A child's base loan that is not renewed stops counting this long before it
 * expires. The base share then shrinks in a regular refresh and not by its
 * expiry when a bucket is used.
 */
#define DROP_EARLY_US (2 * LOOM_LOAN_RENEW_US)

/* Long enough for waiting calls and a renewal. */
#define SHORT_LOAN_US (LOOM_LOAN_STEP_US / 4)

/*
 * Allowance after a base loan has ended: the share is then lent to the next
 * pool, which counts it from its next tick and starts without tokens.
 */
#define REASSIGN_US (2 * LOOM_LOAN_RENEW_US)

/*
 * A daemon must own nothing after a start until all loans of the previous
 * process on its host have ended.
 */
_Static_assert(LOOM_OWN_WITHHELD_US > LOOM_LOAN_LONGEST_US &&
	2 * LOOM_POOL_STAGES_MAX * LOOM_LOAN_STEP_US <= LOOM_LOAN_LONGEST_US &&
	LOOM_OWN_WITHHELD_LARGE_US > LOOM_LOAN_LONGEST_US +
		LOOM_POOL_STAGES_MAX * LOOM_LOAN_IDLE_RENEW_LARGE_US,
    "a restarted daemon must outlast its predecessor's loans");

static uint64_t
committed_parts(const struct rights_base_loan *loan, uint64_t now_us)
{
	uint64_t parts = 0;

	if (now_us < loan->until_us)
		parts = loan->parts;
	if (now_us < loan->old_until_us)
		parts = MAX(parts, loan->old_parts);
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

/*
 * What children loan to this daemon until at_us or later; *until_us is lowered
 * to the earliest end of these loans.
 */
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
 * Switches all teams of a shard to a new base share. Each bucket is first
 * advanced with the old one, or it would be refilled for a time in which the
 * new share was not held here. Its level is then limited to the new capacity
 * before anything is lent, because a worker that read the clock earlier would
 * still find the old level.
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
		/*
		 * If only the end of a valid base share moved, the teams need
		 * no update.
		 */
		if (shard->base.parts != base.parts ||
		    now_us >= shard->base.until_us)
			recompute_levels(shard, &base, now_us);
		shard->base = base;
		g_mutex_unlock(&shard->lock);
	}
	rights->base = base;
}

/*
 * Computes how much can be lent to children, and for how long. If most of what
 * was lent to this daemon is running out, because the pool is being left or is
 * cut off, shorter loans still make use of the rest.
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
	/*
	 * The owned share expires as well, in case the process is paused for
	 * long.
	 */
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

/*
 * The largest share of any team that children borrowed out of the base share
 * and not out of a loan from above. It must not be lent to the parent.
 */
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
    const struct loom_rights *rights, const struct rights_base_loan *loan)
{
	return loan->host_id == rights->parent.host_id &&
	    loan->incarnation == rights->parent.incarnation;
}

/*
 * The parent's entry, or an expired one that is reset for it; NULL when all are
 * in use.
 */
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
lent_until_us(const struct rights_base_loan *loan)
{
	return MAX(loan->until_us, loan->old_until_us);
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
	const bool responds = rights_pool_responds(rights, now_us);
	uint64_t until_us = 0;
	unsigned i;

	for (i = 0; i < RIGHTS_BASE_LOANS_MAX; i++) {
		if (!responds ||
		    !is_lent_to_parent(rights, &rights->base_loans[i]))
			until_us = MAX(
			    until_us, lent_until_us(&rights->base_loans[i]));
	}
	return until_us == 0 ? 0 : until_us + REASSIGN_US;
}

static uint64_t
lendable_parts(struct loom_rights *rights, const struct rights_base_loan *loan,
    uint64_t duration_us, uint64_t now_us)
{
	uint64_t parts, taken, until_us = UINT64_MAX;

	parts = rights->own_parts +
	    pooled_until(rights, now_us + duration_us, &until_us);
	taken = parts_used_below(rights, now_us) +
	    rights_lent_up(rights, now_us) - committed_parts(loan, now_us);
	return parts - MIN(parts, taken);
}

uint64_t
rights_lendable_up(
    struct loom_rights *rights, uint64_t duration_us, uint64_t now_us)
{
	struct rights_base_loan *loan;

	loan = find_base_loan(rights, now_us);
	return loan == NULL ? 0
			    : lendable_parts(rights, loan, duration_us, now_us);
}

uint64_t
rights_lend_up(
    struct loom_rights *rights, uint64_t duration_us, uint64_t now_us)
{
	struct rights_base_loan *loan;
	uint64_t parts;

	loan = find_base_loan(rights, now_us);
	if (loan == NULL)
		return 0;
	parts = lendable_parts(rights, loan, duration_us, now_us);
	if (parts < loan->parts && now_us < loan->until_us) {
		loan->old_parts = committed_parts(loan, now_us);
		loan->old_until_us = MAX(loan->until_us, loan->old_until_us);
	}
	/* A shorter loan does not end a longer one that was sent before. */
	loan->parts = parts;
	loan->until_us = MAX(loan->until_us, now_us + duration_us);
	return parts;
}
