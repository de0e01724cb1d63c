/*
 * The daemon as a pool, independent of its children's messages: recalls tokens
 * when calls wait for them, gives away tokens that would overflow, and ends
 * expired loans.
 */

#include "control/rights_internal.h"

/* A child that has been silent for so long and has no loans is removed. */
#define CHILD_FORGET_US UINT64_C(5000000)
/*
 * Interval between recalls. It starts at the minimum and doubles while recalls
 * return less than a token.
 */
#define RECALL_GAP_MIN_US UINT64_C(4000)
#define RECALL_GAP_MAX_US UINT64_C(128000)
/* Number of children in one recall; only those that hold tokens count. */
#define RECALL_CHILDREN_MAX 16
/* A child that holds less than this is not sent a recall. */
#define RECALL_MIN_UTOK (LOOM_TOKEN_UTOK / 20)
/* A level above this fraction of the capacity counts as surplus. */
#define SURPLUS_LEVEL_PART 0.8

/*
 * The borrower of refill with the most free capacity; NULL for none. The shard
 * must be locked.
 */
static struct rights_child_loan *
borrower_with_room(struct rights_team *team)
{
	struct rights_child_loan *loan, *found = NULL;
	GHashTableIter iter;
	uint64_t room, most = 0;

	g_hash_table_iter_init(&iter, team->child_loans);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&loan)) {
		if (loan->lender_loan.committed.refill == 0 || loan->waiting)
			continue;
		room = loom_capacity_utok(
		    &team->bucket, loan->lender_loan.committed.capacity);
		room -= MIN(room, loan->held_utok);
		if (room > most) {
			most = room;
			found = loan;
		}
	}
	return found;
}

/*
 * Whether the pool's bucket is nearly full. It would overflow before the next
 * renewal, while a borrower whose calls come faster than its refill has free
 * capacity.
 */
static bool
has_surplus(struct rights_team *team, uint64_t now_us)
{
	const struct loom_base_share *base = &team->shard->base;
	struct loom_share net;

	if (team->bucket.lent.refill == 0 || rights_is_under_rate(team, now_us))
		return false;
	loom_bucket_advance(&team->bucket, base, now_us);
	net = loom_bucket_usable_share(&team->bucket, base, now_us);
	return (double)team->bucket.level_utok > SURPLUS_LEVEL_PART *
	    (double)loom_capacity_utok(&team->bucket, net.capacity);
}

void
rights_push_surplus(struct loom_rights *rights, uint64_t now_us)
{
	struct rights_child_loan *loan;
	struct rights_team *team;
	unsigned i;

	rights_refresh_if_stale(rights, now_us);
	for (i = 0; i < rights->teams->len; i++) {
		team = g_ptr_array_index(rights->teams, i);
		rights_start_down(rights);
		rights_lock(team);
		loan = NULL;
		if (has_surplus(team, now_us))
			loan = borrower_with_room(team);
		if (loan != NULL)
			rights_grant(rights, team, loan, 0, now_us);
		rights_unlock(team);
		if (loan != NULL)
			rights_send_down(rights, loan->child, now_us);
	}
}

bool
rights_recall_allowed(const struct rights_team *team, uint64_t now_us)
{
	return g_hash_table_size(team->child_loans) > 0 &&
	    now_us >= team->recalled_us + team->recall_gap_us;
}

/*
 * When a recall returns less than one call's worth, the tokens are used up and
 * not scattered over the children. Recalls then become less frequent, so that a
 * team above its rate does not cost a message to each daemon for each refused
 * call.
 */
static void
update_recall_gap(struct rights_team *team)
{
	if (team->returned_utok >= LOOM_TOKEN_UTOK)
		team->recall_gap_us = RECALL_GAP_MIN_US;
	else
		team->recall_gap_us =
		    MIN(2 * team->recall_gap_us, RECALL_GAP_MAX_US);
	if (team->recall_gap_us == 0)
		team->recall_gap_us = RECALL_GAP_MIN_US;
	team->returned_utok = 0;
}

void
rights_recall(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	struct rights_child_loan *loan;
	GHashTableIter iter;
	unsigned n = 0;

	team->recall_pending = false;
	/*
	 * When demand is far above the rate, children hold only their refill
	 * and soon use it; a recall would only move tokens around.
	 */
	if (rights->parent.host_id == 0 && rights_is_over_rate(team, now_us))
		return;
	update_recall_gap(team);
	team->recalled_us = now_us;
	g_hash_table_iter_init(&iter, team->child_loans);
	while (n < RECALL_CHILDREN_MAX &&
	    g_hash_table_iter_next(&iter, NULL, (gpointer *)&loan)) {
		if (loan->waiting || loan->held_utok < RECALL_MIN_UTOK)
			continue;
		rights_start_down(rights);
		rights_add_entry(rights, team)->flags =
		    LOOM_RIGHTS_RECALL | LOOM_RIGHTS_NO_PREFETCH;
		loan->held_utok = 0;
		rights_send_down(rights, loan->child, now_us);
		n++;
	}
}

static void
expire_team_loans(struct rights_team *team, uint64_t now_us)
{
	const struct loom_share none = { 0 };
	struct rights_child_loan *loan;
	GHashTableIter iter;
	double demand = 0;

	rights_lock(team);
	loom_bucket_advance(&team->bucket, &team->shard->base, now_us);
	rights_end_transits(team, now_us);
	g_hash_table_iter_init(&iter, team->child_loans);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&loan)) {
		if (now_us < loan->lender_loan.until_us) {
			demand += loan->lender_loan.demand_per_s;
			continue;
		}
		rights_stop_waiting(team, loan);
		rights_update_lent(team, &loan->lender_loan.committed, &none);
		loan->child->nloans--;
		g_hash_table_iter_remove(&iter);
	}
	team->demand_below_per_s = demand;
	rights_unlock(team);
}

void
rights_expire_loans(struct loom_rights *rights, uint64_t now_us)
{
	struct rights_child *child;
	GHashTableIter iter;
	unsigned i;

	for (i = 0; i < rights->teams->len; i++)
		expire_team_loans(g_ptr_array_index(rights->teams, i), now_us);
	g_hash_table_iter_init(&iter, rights->children);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&child)) {
		if (child->nloans == 0 && now_us >= child->lend_until_us &&
		    now_us >= child->received_us + CHILD_FORGET_US)
			g_hash_table_iter_remove(&iter);
	}
}

void
rights_announce_leaving(struct loom_rights *rights, uint64_t now_us)
{
	struct rights_child *child;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, rights->children);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&child)) {
		rights_start_down(rights);
		rights_send_down(rights, child, now_us);
	}
}
