/*
 * The daemon as a pool: takes the base shares that daemons below lend it and
 * lends tokens and shares to those that receive calls.
 */

#include <math.h>
#include <string.h>

#include "control/rights_internal.h"

/*
 * A child is told to send no requests for at most this long, because a token
 * returned by another child may arrive at any time. A team above its rate uses
 * its refill where that was lent; for the pool's remaining tokens one request
 * of each child in this time is enough, instead of one for each call.
 */
#define NO_TOKENS_MAX_US UINT64_C(50000)
#define MHZ_PER_HZ 1000.0
/* The speeds of two clocks differ by less, as for loans. */
#define GIVEN_DRIFT_DIVISOR 256
/* Stamps of tokens may be ahead of the clock by some microseconds. */
#define GIVEN_MARGIN_US UINT64_C(1000)

void
rights_send_down(
    struct loom_rights *rights, struct rights_child *child, uint64_t now_us)
{
	struct loom_rights_down *down = &rights->down;
	size_t len;

	down->child_incarnation = child->from.incarnation;
	down->child_now_us = child->child_now_us;
	down->now_us = now_us;
	down->draining = rights->leaving;
	len = loom_rights_down_pack(down, rights->buf, sizeof(rights->buf));
	down->nentries = 0;
	g_assert(len > 0);
	loom_counter_add(rights->counters.down_messages, 1);
	loom_counter_add(rights->counters.bytes, (int64_t)len);
	rights->sender.send(rights->sender.arg, child->from.host_id,
	    rights_message_type(rights, LOOM_RIGHTS_DOWN), rights->buf, len);
}

void
rights_start_down(struct loom_rights *rights)
{
	rights->down.seq = ++rights->seq;
	rights->down.nentries = 0;
}

struct loom_rights_down_entry *
rights_add_entry(struct loom_rights *rights, const struct rights_team *team)
{
	struct loom_rights_down_entry *entry;

	entry = &rights->down.entries[rights->down.nentries++];
	memset(entry, 0, sizeof(*entry));
	entry->team_id = team->id;
	return entry;
}

static struct rights_child *
find_child(struct loom_rights *rights, const struct loom_message_source *from)
{
	struct rights_child *child;

	child = g_hash_table_lookup(rights->children, from);
	if (child != NULL)
		return child;
	child = g_new0(struct rights_child, 1);
	child->from = *from;
	child->number = ++rights->last_child;
	g_hash_table_add(rights->children, child);
	atomic_store(&rights->may_borrow, true);
	return child;
}

static struct rights_child_loan *
find_or_add_child_loan(struct rights_team *team, struct rights_child *child)
{
	struct rights_child_loan *out;

	out = g_hash_table_lookup(team->child_loans, &child->number);
	if (out != NULL)
		return out;
	out = g_new0(struct rights_child_loan, 1);
	out->child = child;
	child->nloans++;
	g_hash_table_insert(team->child_loans, &child->number, out);
	return out;
}

void
rights_update_lent(struct rights_team *team, const struct loom_share *old,
    const struct loom_share *new)
{
	struct loom_share *out = &team->bucket.lent;

	out->refill = out->refill - old->refill + new->refill;
	out->capacity = out->capacity - old->capacity + new->capacity;
}

static void
set_demand(
    struct rights_team *team, struct rights_child_loan *out, double per_s)
{
	team->demand_below_per_s += per_s - out->lender_loan.demand_per_s;
	if (team->demand_below_per_s < 0)
		team->demand_below_per_s = 0;
	out->lender_loan.demand_per_s = per_s;
}

void
rights_stop_waiting(struct rights_team *team, struct rights_child_loan *out)
{
	if (out->waiting)
		g_queue_remove(&team->waiting_children, out);
	out->waiting = false;
	out->lender_loan.need_utok = 0;
}

/*
 * Returns the duration of a loan and the share that may be lent for all of it.
 */
static uint64_t
lendable(struct loom_rights *rights, const struct rights_team *team,
    uint64_t now_us, struct loom_share *share)
{
	uint64_t duration_us = rights->grantable_us;
	uint64_t least_us = duration_us / 2;
	uint64_t left_us;
	unsigned i;

	share->refill = share->capacity = rights->grantable_parts;
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (team->bucket.borrowed[i].until_us < now_us + least_us)
			continue;
		left_us = team->bucket.borrowed[i].until_us - now_us;
		duration_us = MIN(duration_us, left_us);
		share->refill += team->bucket.borrowed[i].share.refill;
		share->capacity += team->bucket.borrowed[i].share.capacity;
	}
	return duration_us;
}

static struct loom_share
lent_to_others(
    const struct rights_team *team, const struct rights_child_loan *out)
{
	return (struct loom_share){
		.refill = team->bucket.lent.refill -
		    out->lender_loan.committed.refill,
		.capacity = team->bucket.lent.capacity -
		    out->lender_loan.committed.capacity,
	};
}

static struct loom_share
whole_share(const struct rights_team *team, uint64_t now_us)
{
	struct loom_team_bucket all = team->bucket;

	all.lent = (struct loom_share){ 0 };
	return loom_bucket_usable_share(&all, &team->shard->base, now_us);
}

static double
refill_per_s(const struct rights_team *team, uint64_t now_us)
{
	return team->bucket.rate_per_s *
	    (double)whole_share(team, now_us).refill / (double)LOOM_SHARE_WHOLE;
}

static double
demand_all_per_s(const struct rights_team *team, uint64_t now_us)
{
	return team->demand_below_per_s +
	    loom_demand_per_s(&team->demand, now_us);
}

/*
 * How long the demand must have been far below the rate. While a team's calls
 * move from one daemon to another, the reported demand falls at the first
 * before it rises at the second, and for about a second the team only appears
 * to be far below its rate.
 */
#define UNDER_RATE_US UINT64_C(2000000)
bool
rights_is_under_rate(struct rights_team *team, uint64_t now_us)
{
	if (!loom_loan_is_under_rate(&team->bucket, whole_share(team, now_us),
		demand_all_per_s(team, now_us)))
		team->near_rate_us = now_us;
	return now_us >= team->near_rate_us + UNDER_RATE_US;
}

void
rights_end_transits(struct rights_team *team, uint64_t now_us)
{
	const struct rights_transit *transit;
	guint n = 0;

	for (; n < team->transits->len; n++) {
		transit =
		    &g_array_index(team->transits, struct rights_transit, n);
		if (now_us < transit->until_us)
			break;
		team->bucket.lent.capacity -= transit->parts;
	}
	if (n > 0)
		g_array_remove_range(team->transits, 0, n);
}

static void
begin_transit(struct rights_team *team, uint64_t utok, uint64_t now_us)
{
	struct rights_transit transit = {
		.parts = loom_capacity_parts(&team->bucket, utok),
		.until_us = now_us + LOOM_LOAN_TRANSIT_US,
	};

	team->bucket.lent.capacity += transit.parts;
	g_array_append_val(team->transits, transit);
}

void
rights_grant(struct loom_rights *rights, struct rights_team *team,
    struct rights_child_loan *out, uint64_t prefetch_utok, uint64_t now_us)
{
	struct loom_team_bucket *bucket = &team->bucket;
	const struct loom_base_share *base = &team->shard->base;
	struct loom_loan_request request = {
		.committed = out->lender_loan.committed,
		.demand_per_s = out->lender_loan.demand_per_s,
		.held_utok = out->held_utok,
		.need_utok = out->lender_loan.need_utok,
		.first_utok = out->lender_loan.first_utok,
		.prefetch_utok = prefetch_utok,
		.borrower_is_pool = out->child->stage > 0,
		.first_in_line = g_queue_is_empty(&team->waiting_children),
	};
	struct loom_rights_down_entry *entry = rights_add_entry(rights, team);
	struct loom_share before = out->lender_loan.committed;
	struct loom_loan_decision decision;
	uint64_t duration_us;

	loom_bucket_advance(bucket, base, now_us);
	rights_end_transits(team, now_us);
	duration_us = lendable(rights, team, now_us, &request.lendable);
	request.lent_to_others = lent_to_others(team, out);
	request.lendable.refill -=
	    MIN(request.lendable.refill, request.lent_to_others.refill);
	request.lendable.capacity -=
	    MIN(request.lendable.capacity, request.lent_to_others.capacity);
	request.team_share = whole_share(team, now_us);
	request.level_utok = bucket->level_utok;
	request.spare_utok = loom_capacity_utok(
	    bucket, loom_bucket_usable_share(bucket, base, now_us).capacity);
	request.demand_all_per_s =
	    team->demand_below_per_s + loom_demand_per_s(&team->demand, now_us);
	request.plenty = rights->parent.host_id != 0
	    ? team->plenty
	    : rights_is_under_rate(team, now_us);
	decision = loom_loan_decide(bucket, &request);
	bucket->level_utok -= decision.added_utok;
	loom_lender_loan_sent(&out->lender_loan, rights->down.seq,
	    decision.share, now_us + duration_us);
	rights_update_lent(team, &before, &out->lender_loan.committed);
	if (decision.transit_utok > 0)
		begin_transit(team, decision.transit_utok, now_us);
	loom_bucket_add(bucket, base, 0, now_us);
	out->held_utok += decision.added_utok - decision.transit_utok;
	out->lender_loan.need_utok = decision.unmet_utok;
	if (decision.unmet_utok > 0 && decision.added_utok > 0)
		out->lender_loan.first_utok =
		    MIN(LOOM_TOKEN_UTOK, decision.unmet_utok);
	entry->flags = LOOM_RIGHTS_GRANT;
	if (decision.scarce)
		entry->flags |= LOOM_RIGHTS_NO_PREFETCH;
	if (decision.plenty)
		entry->flags |= LOOM_RIGHTS_MORE_PREFETCH;
	entry->share = decision.share;
	entry->tokens_utok = decision.added_utok;
	entry->transit_utok = decision.transit_utok;
	entry->duration_us = duration_us;
}

/*
 * The demand is far above the rate when it exceeds the refill of the pool's
 * share by a factor of OVER_RATE, and also by OVER_DEVIATIONS standard
 * deviations of the number of calls. Near the rate, an average over one second
 * varies that much by chance when calls are few.
 */
#define OVER_RATE 1.5
#define OVER_DEVIATIONS 3.0
bool
rights_is_over_rate(const struct rights_team *team, uint64_t now_us)
{
	double refill = refill_per_s(team, now_us);

	return demand_all_per_s(team, now_us) >
	    MAX(OVER_RATE * refill, refill + OVER_DEVIATIONS * sqrt(refill));
}

/*
 * At the root: how long no token will come by refill or recall; 0 if one may
 * come before the wait ends.
 */
static uint64_t
no_tokens_for_us(const struct rights_team *team,
    const struct rights_child_loan *out, uint64_t now_us)
{
	uint64_t wait_us;

	if (rights_is_over_rate(team, now_us))
		return NO_TOKENS_MAX_US;
	wait_us = loom_bucket_wait_us(&team->bucket, &team->shard->base,
	    rights_children_need(team) + out->lender_loan.first_utok, now_us);
	if (wait_us <= LOOM_RIGHTS_WAIT_US ||
	    rights_recall_allowed(team, now_us))
		return 0;
	/*
	 * Half of the time, since the child also gets tokens elsewhere
	 * meanwhile.
	 */
	return MIN(wait_us / 2, NO_TOKENS_MAX_US);
}

/*
 * Decides what happens to a child's waiting calls when there are no tokens now.
 * If refill, the pool above or a recall may supply some in time, the child is
 * queued; otherwise it is told to refuse its calls at once.
 */
static void
wait_or_refuse(struct loom_rights *rights, struct rights_team *team,
    struct rights_child_loan *out, uint64_t now_us)
{
	struct loom_rights_down_entry *entry;

	entry = &rights->down.entries[rights->down.nentries - 1];
	if (rights->parent.host_id != 0)
		entry->no_tokens_us = team->no_tokens_until_us -
		    MIN(now_us, team->no_tokens_until_us);
	else
		entry->no_tokens_us = no_tokens_for_us(team, out, now_us);
	if (entry->no_tokens_us > 0) {
		out->lender_loan.need_utok = 0;
		return;
	}
	out->lender_loan.need_until_us = now_us + LOOM_RIGHTS_WAIT_US;
	out->waiting = true;
	g_queue_push_tail(&team->waiting_children, out);
	rights_watch(rights, team);
}

/*
 * Takes tokens back that a child's calls did not use. The child holds no
 * capacity for them, so they return only as far as this pool had it all the
 * time since they were taken. By this pool's clock that was no earlier than the
 * time computed here: it starts from a lower bound of the clock when the
 * message was sent.
 */
static void
receive_given(struct loom_rights *rights, struct rights_team *team,
    const struct loom_rights_up_entry *entry, uint64_t now_us)
{
	const struct loom_rights_up *up = &rights->up_read;
	uint64_t age_us = up->now_us - MIN(up->now_us, entry->given_us);

	age_us += age_us / GIVEN_DRIFT_DIVISOR + GIVEN_MARGIN_US;
	if (entry->given_utok == 0 ||
	    up->pool_incarnation != rights->self.incarnation ||
	    up->pool_now_us > now_us || age_us >= up->pool_now_us)
		return;
	loom_bucket_give_back(&team->bucket, &team->shard->base,
	    entry->given_utok, up->pool_now_us - age_us, now_us);
}

static void
receive_entry(struct loom_rights *rights, struct rights_child *child,
    const struct loom_rights_up_entry *entry, uint64_t now_us)
{
	struct rights_team *team = rights_team_locked(rights, entry->team_id);
	struct rights_child_loan *out;
	struct loom_share before;

	if (team == NULL)
		return;
	loom_bucket_advance(&team->bucket, &team->shard->base, now_us);
	out = find_or_add_child_loan(team, child);
	rights_stop_waiting(team, out);
	before = out->lender_loan.committed;
	if (now_us >= out->lender_loan.until_us)
		out->lender_loan.committed = (struct loom_share){ 0 };
	loom_lender_loan_confirm(
	    &out->lender_loan, entry->received_seq, entry->kept_share);
	rights_update_lent(team, &before, &out->lender_loan.committed);
	loom_bucket_add(
	    &team->bucket, &team->shard->base, entry->returned_utok, now_us);
	team->returned_utok += entry->returned_utok;
	receive_given(rights, team, entry, now_us);
	set_demand(team, out, (double)entry->demand_mhz / MHZ_PER_HZ);
	out->held_utok = entry->held_utok;
	out->lender_loan.need_utok = entry->needed_utok;
	out->lender_loan.first_utok = entry->first_missing_utok;
	rights_grant(rights, team, out, entry->prefetch_utok, now_us);
	if (out->lender_loan.need_utok > 0)
		wait_or_refuse(rights, team, out, now_us);
	if (!g_queue_is_empty(&team->waiting_children) || team->nwaiters > 0)
		rights_watch(rights, team);
	rights_unlock(team);
}

/*
 * Records the loan of a child's base share. It counts from the time of this
 * pool's clock that the message echoes. The child sent the message later than
 * that, so its own end of the loan is later than the one recorded here.
 */
static void
receive_base_loan(struct loom_rights *rights, struct rights_child *child,
    const struct loom_rights_up *up, uint64_t now_us)
{
	uint64_t until_us;

	if (up->lend_us == 0 ||
	    up->pool_incarnation != rights->self.incarnation ||
	    up->pool_now_us > now_us)
		return;
	until_us =
	    up->pool_now_us + loom_loan_borrower_duration_us(up->lend_us);
	if (until_us <= now_us)
		return;
	if (child->lend_parts != up->lend_parts)
		rights->base_changed = true;
	child->lend_parts = up->lend_parts;
	child->lend_until_us = until_us;
}

void
rights_receive_up(struct loom_rights *rights,
    const struct loom_message_source *from, const uint8_t *payload, size_t len,
    uint64_t now_us)
{
	struct loom_rights_up *up = &rights->up_read;
	struct rights_child *child;
	uint32_t i;

	if (!loom_rights_up_unpack(up, payload, len)) {
		loom_counter_add(rights->counters.malformed, 1);
		return;
	}
	rights_refresh_if_stale(rights, now_us);
	child = find_child(rights, from);
	/*
	 * Repeated or older than one already received: its tokens may have been
	 * added already.
	 */
	if (up->seq <= child->seq)
		return;
	child->seq = up->seq;
	child->child_now_us = up->now_us;
	child->received_us = now_us;
	child->stage = up->stage;
	receive_base_loan(rights, child, up, now_us);
	rights_start_down(rights);
	for (i = 0; i < up->nentries; i++)
		receive_entry(rights, child, &up->entries[i], now_us);
	rights_send_down(rights, child, now_us);
	rights_note_child(rights, child, now_us);
}

uint64_t
rights_children_need(const struct rights_team *team)
{
	const struct rights_child_loan *out;
	uint64_t need_utok = 0;
	GList *link;

	for (link = team->waiting_children.head; link != NULL;
	     link = link->next) {
		out = link->data;
		need_utok += out->lender_loan.need_utok;
	}
	return need_utok;
}

/*
 * The first waiting child if it can be served now, else NULL. Children whose
 * calls are refused by now are dropped from the queue.
 */
static struct rights_child_loan *
next_to_serve(struct rights_team *team, uint64_t now_us)
{
	struct rights_child_loan *out;

	loom_bucket_advance(&team->bucket, &team->shard->base, now_us);
	while ((out = g_queue_peek_head(&team->waiting_children)) != NULL) {
		if (now_us < out->lender_loan.need_until_us)
			break;
		rights_stop_waiting(team, out);
	}
	if (out == NULL ||
	    team->bucket.level_utok < out->lender_loan.first_utok)
		return NULL;
	return out;
}

void
rights_serve_children(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	struct rights_child_loan *out;
	unsigned i, n = team->waiting_children.length;

	if (n == 0)
		return;
	rights_refresh_if_stale(rights, now_us);
	for (i = 0; i < n; i++) {
		rights_start_down(rights);
		rights_lock(team);
		out = next_to_serve(team, now_us);
		if (out != NULL) {
			g_queue_pop_head(&team->waiting_children);
			out->waiting = false;
			rights_grant(rights, team, out, 0, now_us);
		}
		if (out != NULL && out->lender_loan.need_utok > 0) {
			out->waiting = true;
			g_queue_push_tail(&team->waiting_children, out);
		}
		rights_unlock(team);
		if (out == NULL)
			return;
		rights_send_down(rights, out->child, now_us);
	}
}
