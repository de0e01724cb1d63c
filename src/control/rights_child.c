/*
 * The daemon as a child of the pool above: lends it the base share and borrows
 * what callers here and below need.
 */

#include "control/rights_internal.h"

/* Calls per second below which a daemon keeps no tokens of a team. */
#define IDLE_PER_S 0.05
#define MHZ_PER_HZ 1000.0
/*
 * Requested in addition to what is missing. Shares and microtokens are
 * integers; after rounding, a call could lack one microtoken and request it
 * again and again.
 */
#define ROUNDING_UTOK UINT64_C(100)
/* A bucket within this distance of its capacity counts as full. */
#define FULL_MARGIN_UTOK (LOOM_TOKEN_UTOK / 20)
/* Number of responses over which the response time is averaged. */
#define RESPONSE_SMOOTHING 8

/*
 * A lower bound of the pool's clock now: its last message's time plus the time
 * since then, reduced by the clock drift that a loan's duration allows for.
 */
static uint64_t
pool_now_us(const struct rights_parent *parent, uint64_t now_us)
{
	return parent->now_us +
	    loom_loan_borrower_duration_us(
		now_us - MIN(now_us, parent->received_us));
}

/*
 * Notes that a message was sent to the pool. A response is overdue since the
 * pool's last message, but for no longer than one renewal interval.
 */
static void
expect_response(struct rights_parent *parent, uint64_t now_us)
{
	parent->sent_us = now_us;
	if (parent->overdue_since_us == 0)
		parent->overdue_since_us =
		    MAX(parent->received_us, now_us - LOOM_LOAN_RENEW_US);
}

void
rights_send_up(struct loom_rights *rights, uint64_t host_id, uint64_t now_us)
{
	size_t len;

	if (host_id == rights->parent.host_id)
		expect_response(&rights->parent, now_us);
	rights->up.seq = ++rights->seq;
	rights->up.now_us = now_us;
	rights->up.stage = rights->choice.stage;
	rights->up.pool_incarnation = rights->parent.incarnation;
	rights->up.pool_now_us = pool_now_us(&rights->parent, now_us);
	len =
	    loom_rights_up_pack(&rights->up, rights->buf, sizeof(rights->buf));
	rights->up.nentries = 0;
	rights->up.lend_parts = 0;
	rights->up.lend_us = 0;
	g_assert(len > 0);
	loom_counter_add(rights->counters.up_messages, 1);
	loom_counter_add(rights->counters.bytes, (int64_t)len);
	rights->sender.send(rights->sender.arg, host_id,
	    rights_message_type(rights, LOOM_RIGHTS_UP), rights->buf, len);
}

void
rights_flush_up(struct loom_rights *rights, uint64_t now_us)
{
	if (rights->up.nentries > 0 && rights->parent.host_id != 0)
		rights_send_up(rights, rights->parent.host_id, now_us);
	rights->up.nentries = 0;
}

/* Tokens that calls here and children wait for, regardless of the level. */
static uint64_t
demanded_utok(const struct loom_rights *rights, const struct rights_team *team,
    uint64_t now_us)
{
	return rights_waiters_to_request_for(rights, team, now_us) *
	    LOOM_TOKEN_UTOK +
	    rights_children_need(team);
}

/* The part of these tokens that has to be requested. */
static uint64_t
missing_utok(const struct rights_team *team, uint64_t wanted)
{
	if (wanted <= team->bucket.level_utok)
		return 0;
	return wanted - team->bucket.level_utok + ROUNDING_UTOK;
}

static uint64_t
need_utok(const struct loom_rights *rights, const struct rights_team *team,
    uint64_t now_us)
{
	return missing_utok(team, demanded_utok(rights, team, now_us));
}

bool
rights_may_request(const struct loom_rights *rights,
    const struct rights_team *team, uint64_t now_us)
{
	uint64_t response_us =
	    MIN(rights->parent.response_us, RIGHTS_REQUEST_RETRY_MAX_US / 2);

	if (rights->parent.host_id == 0 || now_us < team->no_tokens_until_us)
		return false;
	/*
	 * The pool keeps a request until it can answer it. Repeating it after
	 * each response without tokens would multiply messages under overload.
	 */
	if (now_us < team->requested_us +
		    MAX(RIGHTS_REQUEST_RETRY_US, 2 * response_us) &&
	    need_utok(rights, team, now_us) <= team->requested_utok)
		return false;
	return now_us >=
	    team->requested_us + MAX(RIGHTS_REQUEST_GAP_US, response_us);
}

/* The loan from the current pool, while it runs. */
static struct loom_borrowed *
current_loan(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	struct loom_borrowed *in;

	if (rights->parent.incarnation == 0)
		return NULL;
	in = loom_bucket_find_loan(
	    &team->bucket, rights->parent.host_id, rights->parent.incarnation);
	return in != NULL && now_us < in->until_us ? in : NULL;
}

static double
demand_per_s(const struct rights_team *team, uint64_t now_us)
{
	uint64_t silent_us = now_us - MIN(now_us, team->called_us);

	return team->demand_below_per_s +
	    loom_loan_reported_demand_per_s(
		loom_demand_per_s(&team->demand, now_us), silent_us);
}

/*
 * Fills in the tokens needed for calls waiting here and below, and those wanted
 * in advance.
 */
static void
fill_requested_tokens(struct loom_rights *rights, struct rights_team *team,
    uint64_t now_us, struct loom_rights_up_entry *entry)
{
	uint64_t level = team->bucket.level_utok;
	uint64_t waiting = demanded_utok(rights, team, now_us);
	uint64_t target, first = LOOM_TOKEN_UTOK;
	struct rights_child_loan *child;

	target = loom_loan_prefetch_target_utok(
	    demand_per_s(team, now_us), rights->choice.stage > 0, team->plenty);
	entry->needed_utok = missing_utok(team, waiting);
	if (team->nwaiters == 0 && waiting > 0) {
		child = g_queue_peek_head(&team->waiting_children);
		first = child->lender_loan.first_utok;
	}
	if (entry->needed_utok > 0)
		entry->first_missing_utok =
		    MIN(entry->needed_utok, first > level ? first - level : 1);
	if (!team->scarce && waiting + target > level)
		entry->prefetch_utok =
		    waiting + target - level - entry->needed_utok;
}

static void
fill_entry(struct loom_rights *rights, struct rights_team *team,
    uint64_t now_us, struct loom_rights_up_entry *entry)
{
	struct loom_borrowed *in = current_loan(rights, team, now_us);

	memset(entry, 0, sizeof(*entry));
	entry->team_id = team->id;
	entry->demand_mhz = (uint64_t)(demand_per_s(team, now_us) * MHZ_PER_HZ);
	entry->held_utok = team->bucket.level_utok +
	    loom_capacity_utok(&team->bucket, team->bucket.lent.capacity);
	entry->given_utok = team->given_utok;
	entry->given_us = team->given_us;
	team->given_utok = 0;
	team->given_us = 0;
	if (in == NULL)
		return;
	/*
	 * Without a loan of refill, capacity beyond the tokens held is of no
	 * use here.
	 */
	if (in->share.refill == 0)
		in->share.capacity = MIN(in->share.capacity,
		    loom_capacity_parts(&team->bucket, entry->held_utok));
	entry->received_seq = in->seq;
	entry->kept_share = in->share;
}

void
rights_add_request(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	struct loom_rights_up_entry *entry;

	entry = &rights->up.entries[rights->up.nentries++];
	fill_entry(rights, team, now_us, entry);
	fill_requested_tokens(rights, team, now_us, entry);
	team->requested_us = now_us;
	team->requested_utok = entry->needed_utok;
}

/*
 * Returns up to so many tokens, together with the capacity that they occupy,
 * because the pool may have no free capacity of its own for them.
 */
static void
return_tokens(struct rights_team *team, struct loom_borrowed *in, uint64_t utok,
    struct loom_rights_up_entry *entry)
{
	uint64_t parts, spare = 0;

	utok = MIN(utok, team->bucket.level_utok);
	parts = loom_capacity_parts(&team->bucket, utok);
	if (in != NULL) {
		spare = in->share.capacity -
		    MIN(in->share.capacity, team->bucket.lent.capacity);
		in->share.capacity -= MIN(parts, spare);
		entry->kept_share = in->share;
	}
	team->bucket.level_utok -= utok;
	entry->held_utok -= utok;
	entry->returned_utok = utok;
}

/* Returns everything of a team that has had no calls for long. */
static void
return_everything(struct loom_rights *rights, struct rights_team *team,
    uint64_t now_us, struct loom_rights_up_entry *entry)
{
	struct loom_borrowed *in = current_loan(rights, team, now_us);

	fill_entry(rights, team, now_us, entry);
	return_tokens(team, in, team->bucket.level_utok, entry);
	entry->kept_share = (struct loom_share){ 0 };
	if (in != NULL)
		in->share = entry->kept_share;
}

/*
 * Tokens to keep at a renewal. The rest can serve other daemons until the next
 * one.
 */
static uint64_t
renewal_keep_utok(struct loom_rights *rights, const struct rights_team *team,
    const struct loom_borrowed *in, uint64_t now_us)
{
	uint64_t keep;

	keep = loom_loan_prefetch_target_utok(
	    demand_per_s(team, now_us), rights->choice.stage > 0, team->plenty);
	if (in != NULL && !team->scarce)
		keep += (uint64_t)((double)in->share.refill /
		    (double)LOOM_SHARE_WHOLE * team->bucket.rate_per_s *
		    (double)LOOM_LOAN_RENEW_US / 2);
	return keep;
}

/* Whether calls wait here or a share is lent on. */
static bool
is_used(const struct rights_team *team)
{
	return team->nwaiters > 0 || team->bucket.lent.capacity > 0 ||
	    team->bucket.lent.refill > 0;
}

/* Whether nothing of the team is borrowed, lent on, waited for or used. */
static bool
is_idle(struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	struct loom_borrowed *in = current_loan(rights, team, now_us);

	return !is_used(team) && (in == NULL || in->share.capacity == 0) &&
	    demand_per_s(team, now_us) < IDLE_PER_S;
}

/*
 * Adds a team to a renewal: a request if it is in use, the return of all it
 * holds if it has no more calls, and nothing if it is idle.
 */
static void
renew_locked(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	struct loom_borrowed *in = current_loan(rights, team, now_us);
	bool used = is_used(team);
	struct loom_rights_up_entry *entry;
	uint64_t keep;
	bool full, no_open_request;

	loom_bucket_advance(&team->bucket, &team->shard->base, now_us);
	if (is_idle(rights, team, now_us))
		return;
	if (!used &&
	    (rights->leaving || demand_per_s(team, now_us) < IDLE_PER_S)) {
		return_everything(rights, team, now_us,
		    &rights->up.entries[rights->up.nentries++]);
		return;
	}
	/*
	 * While a response is outstanding, a later grant may be in flight and
	 * the pool could not take the capacity back yet. Tokens returned
	 * without their capacity would be lost.
	 */
	no_open_request = team->requested_us == 0;
	keep = renewal_keep_utok(rights, team, in, now_us);
	full = in != NULL && in->share.refill > 0 &&
	    team->bucket.level_utok + FULL_MARGIN_UTOK >=
		loom_capacity_utok(&team->bucket, in->share.capacity);
	rights_add_request(rights, team, now_us);
	entry = &rights->up.entries[rights->up.nentries - 1];
	if (no_open_request && (full || team->scarce) &&
	    team->bucket.level_utok > keep && entry->needed_utok == 0)
		return_tokens(team, in, team->bucket.level_utok - keep, entry);
}

/* How urgent a renewal is. */
enum urgency {
	RENEWAL_IDLE, /* nothing of any team is in use */
	RENEWAL_RELAXED, /* the pool has plenty of all that is in use */
	RENEWAL_URGENT,
};

static enum urgency
urgency_of_team(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	if (is_idle(rights, team, now_us))
		return RENEWAL_IDLE;
	return team->plenty && !is_used(team) ? RENEWAL_RELAXED
					      : RENEWAL_URGENT;
}

static enum urgency
urgency_of_all(struct loom_rights *rights, uint64_t now_us)
{
	enum urgency urgency = RENEWAL_IDLE;
	struct rights_team *team;
	unsigned i;

	if (rights->leaving)
		return RENEWAL_URGENT;
	for (i = 0; urgency != RENEWAL_URGENT && i < rights->teams->len; i++) {
		team = g_ptr_array_index(rights->teams, i);
		rights_lock(team);
		urgency = MAX(urgency, urgency_of_team(rights, team, now_us));
		rights_unlock(team);
	}
	return urgency;
}

static bool
is_large_fleet(const struct loom_rights *rights)
{
	return rights->hosts->nhosts > LOOM_OWN_LARGE_HOSTS;
}

/*
 * A loan survives two missing renewals. While the pool has plenty, every second
 * renewal is enough, as long as a lost one is repeated at once. When tokens are
 * few, every renewal is sent, because demand that is reported late causes
 * refusals.
 */
static bool
relaxed_renewal_due(const struct loom_rights *rights, uint64_t now_us)
{
	return rights->parent.overdue_since_us != 0 ||
	    now_us >= rights->parent.renewed_us + 2 * LOOM_LOAN_RENEW_US;
}

static bool
may_lend_up(const struct loom_rights *rights, uint64_t now_us)
{
	return rights->parent.incarnation != 0 &&
	    rights_pool_responds(rights, now_us) &&
	    rights->parent.leave_at_us == 0 && !rights->leaving;
}

/*
 * Whether a daemon with only idle teams has to renew. Apart from the regular
 * interval it does so when its base share changed, or when a renewal or its
 * response was lost, which the longer loan leaves time to repeat.
 */
static bool
idle_renewal_due(
    struct loom_rights *rights, uint64_t duration_us, uint64_t now_us)
{
	const struct rights_parent *parent = &rights->parent;
	uint64_t gap_us = loom_loan_idle_renew_us(
	    rights->choice.stages, is_large_fleet(rights));

	if (parent->overdue_since_us != 0 || now_us >= parent->sent_us + gap_us)
		return true;
	return may_lend_up(rights, now_us) &&
	    (!parent->lent_for_idle ||
		parent->lent_parts !=
		    rights_lendable_up(rights, duration_us, now_us));
}

static void
lend_base(struct loom_rights *rights, bool idle, uint64_t duration_us,
    uint64_t now_us)
{
	struct rights_parent *parent = &rights->parent;

	parent->lent_parts = rights_lend_up(rights, duration_us, now_us);
	parent->lent_for_idle = idle;
	rights->up.lend_parts = parent->lent_parts;
	rights->up.lend_us = duration_us;
	/* The share must be out of use here before the message is sent. */
	rights_refresh_base(rights, now_us);
}

void
rights_renew(struct loom_rights *rights, uint64_t now_us)
{
	const struct loom_pool_choice *choice = &rights->choice;
	struct rights_team *team;
	uint64_t duration_us;
	enum urgency urgency;
	unsigned i;

	if (rights->parent.host_id == 0)
		return;
	rights_flush_up(rights, now_us);
	urgency = urgency_of_all(rights, now_us);
	duration_us = urgency == RENEWAL_IDLE
	    ? loom_loan_idle_to_parent_us(
		  choice->stage, choice->stages, is_large_fleet(rights))
	    : loom_loan_to_parent_us(choice->stage, choice->stages);
	if (urgency == RENEWAL_IDLE &&
	    !idle_renewal_due(rights, duration_us, now_us))
		return;
	if (urgency == RENEWAL_RELAXED && !relaxed_renewal_due(rights, now_us))
		return;
	rights->parent.renewed_us = now_us;
	if (may_lend_up(rights, now_us))
		lend_base(rights, urgency == RENEWAL_IDLE, duration_us, now_us);
	for (i = 0; i < rights->teams->len; i++) {
		if (rights->up.nentries == LOOM_RIGHTS_ENTRIES_MAX)
			rights_flush_up(rights, now_us);
		team = g_ptr_array_index(rights->teams, i);
		rights_lock(team);
		renew_locked(rights, team, now_us);
		rights_unlock(team);
	}
	rights_send_up(rights, rights->parent.host_id, now_us);
}

static void
apply_grant(struct loom_rights *rights, const struct loom_message_source *from,
    struct rights_team *team, const struct loom_rights_down_entry *entry,
    uint64_t now_us)
{
	const struct loom_rights_down *down = &rights->down_read;
	struct loom_grant grant = {
		.lender_host_id = from->host_id,
		.lender_incarnation = from->incarnation,
		.seq = down->seq,
		.share = entry->share,
		.tokens_utok = entry->tokens_utok -
		    MIN(entry->tokens_utok, entry->transit_utok),
		.until_us = down->child_now_us +
		    loom_loan_borrower_duration_us(entry->duration_us),
	};

	if (!loom_bucket_apply_grant(
		&team->bucket, &team->shard->base, &grant, now_us))
		return;
	/* The pool reserves capacity for these tokens no longer than this. */
	if (entry->transit_utok > 0 &&
	    now_us < down->child_now_us +
		    loom_loan_borrower_duration_us(LOOM_LOAN_TRANSIT_US))
		rights_serve_transit(
		    team, entry->transit_utok, now_us, &rights->last_done);
}

/*
 * Handles a recall: returns the tokens that no call here waits for and passes
 * the recall on to the children.
 */
static void
return_recalled(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	uint64_t waiting = team->nwaiters * LOOM_TOKEN_UTOK;
	struct loom_rights_up_entry *entry;

	team->recall_pending = g_hash_table_size(team->child_loans) > 0;
	rights_watch(rights, team);
	loom_bucket_advance(&team->bucket, &team->shard->base, now_us);
	if (team->bucket.level_utok <= waiting)
		return;
	entry = &rights->up.entries[rights->up.nentries++];
	fill_entry(rights, team, now_us, entry);
	return_tokens(team, current_loan(rights, team, now_us),
	    team->bucket.level_utok - waiting, entry);
}

static void
receive_entry(struct loom_rights *rights,
    const struct loom_message_source *from,
    const struct loom_rights_down_entry *entry, uint64_t now_us)
{
	struct rights_team *team;

	if (rights->up.nentries == LOOM_RIGHTS_ENTRIES_MAX)
		rights_flush_up(rights, now_us);
	team = rights_team_locked(rights, entry->team_id);
	if (team == NULL)
		return;
	if ((entry->flags & LOOM_RIGHTS_GRANT) != 0)
		apply_grant(rights, from, team, entry, now_us);
	if (from->host_id == rights->parent.host_id) {
		team->scarce = (entry->flags & LOOM_RIGHTS_NO_PREFETCH) != 0;
		team->plenty = (entry->flags & LOOM_RIGHTS_MORE_PREFETCH) != 0;
		/*
		 * Tokens that have arrived are no longer requested; those for
		 * calls that began to wait since are.
		 */
		team->requested_utok -=
		    MIN(team->requested_utok, entry->tokens_utok);
		if ((entry->flags & LOOM_RIGHTS_GRANT) != 0 &&
		    need_utok(rights, team, now_us) == 0)
			team->requested_us = 0;
		if (entry->no_tokens_us > 0)
			team->no_tokens_until_us = now_us + entry->no_tokens_us;
		if ((entry->flags & LOOM_RIGHTS_RECALL) != 0)
			return_recalled(rights, team, now_us);
	}
	if (team->nwaiters > 0)
		rights_watch(rights, team);
	rights_unlock(team);
}

/*
 * Only the first message that echoes a time is the response to the message sent
 * then. Later ones carry what the pool sends on its own.
 */
static void
update_response_time(
    struct rights_parent *parent, uint64_t child_now_us, uint64_t now_us)
{
	if (child_now_us <= parent->newest_echo_us)
		return;
	parent->newest_echo_us = child_now_us;
	parent->response_us = parent->response_us * (RESPONSE_SMOOTHING - 1) +
	    (now_us - child_now_us);
	parent->response_us /= RESPONSE_SMOOTHING;
}

/*
 * Updates the parent's state. Returns false for a message of the parent that is
 * repeated or older than one already received.
 */
static bool
note_parent_message(struct loom_rights *rights,
    const struct loom_message_source *from, uint64_t now_us)
{
	const struct loom_rights_down *down = &rights->down_read;
	struct rights_parent *parent = &rights->parent;

	if (from->host_id != parent->host_id)
		return true;
	if (from->incarnation != parent->incarnation) {
		parent->incarnation = from->incarnation;
		parent->seq = 0;
		parent->lent_for_idle = false;
	}
	if (down->seq <= parent->seq)
		return false;
	parent->seq = down->seq;
	parent->now_us = down->now_us;
	parent->received_us = now_us;
	update_response_time(parent, down->child_now_us, now_us);
	/* A response to an older message leaves the last one unanswered. */
	parent->overdue_since_us =
	    down->child_now_us >= parent->sent_us ? 0 : now_us;
	return true;
}

void
rights_receive_down(struct loom_rights *rights,
    const struct loom_message_source *from, const uint8_t *payload, size_t len,
    uint64_t now_us)
{
	struct loom_rights_down *down = &rights->down_read;
	uint32_t i;

	if (!loom_rights_down_unpack(down, payload, len)) {
		loom_counter_add(rights->counters.malformed, 1);
		return;
	}
	/*
	 * Ignore responses to a previous process on this host, also those whose
	 * echoed time lies in the future of this clock.
	 */
	if (down->child_incarnation != rights->self.incarnation ||
	    down->child_now_us > now_us)
		return;
	if (!note_parent_message(rights, from, now_us))
		return;
	for (i = 0; i < down->nentries; i++)
		receive_entry(rights, from, &down->entries[i], now_us);
	rights_flush_up(rights, now_us);
	if (down->draining) {
		rights_set_silent(rights, from->host_id);
		rights_choose_parent(rights, now_us);
	} else if (g_hash_table_remove(rights->silent_hosts, &from->host_id)) {
		rights_choose_parent(rights, now_us);
	}
}
