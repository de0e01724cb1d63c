/*
 * The path of a call: takes a token or waits for one. Runs on any thread; the
 * only lock is that of the team's shard.
 */

#include "control/rights_internal.h"

/* Retry delay of a call whose team is unknown. */
#define RETRY_UNKNOWN_US UINT64_C(1000000)

/*
 * Maximum number of calls of one team that wait at one daemon. They wait for a
 * loan within LOOM_RIGHTS_WAIT_US, and a loan for more calls would be too
 * large.
 */
#define WAITERS_MAX 256

static struct rights_shard *
shard_of(struct loom_rights *rights, uint64_t team_id)
{
	return &rights->shards[team_id % RIGHTS_SHARDS];
}

void
rights_lock(struct rights_team *team)
{
	g_mutex_lock(&team->shard->lock);
}

void
rights_unlock(struct rights_team *team)
{
	g_mutex_unlock(&team->shard->lock);
}

struct rights_team *
rights_team_locked(struct loom_rights *rights, uint64_t team_id)
{
	struct rights_shard *shard = shard_of(rights, team_id);
	struct rights_team *team;

	g_mutex_lock(&shard->lock);
	team = g_hash_table_lookup(shard->teams, &team_id);
	if (team == NULL)
		g_mutex_unlock(&shard->lock);
	return team;
}

/* Adds the team to the list of the control thread. */
static void
mark_dirty(struct loom_rights *rights, struct rights_team *team)
{
	struct rights_team *head;

	if (atomic_exchange(&team->dirty, true))
		return;
	head = atomic_load(&rights->dirty);
	do {
		team->next_dirty = head;
	} while (!atomic_compare_exchange_weak(&rights->dirty, &head, team));
	if (rights->waker.wake != NULL)
		rights->waker.wake(rights->waker.arg);
}

void
rights_watch(struct loom_rights *rights, struct rights_team *team)
{
	if (team->watched)
		return;
	team->watched = true;
	g_ptr_array_add(rights->watched, team);
}

static uint64_t
retry_after(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	const struct loom_base_share *base = &team->shard->base;
	struct loom_share net =
	    loom_bucket_usable_share(&team->bucket, base, now_us);
	unsigned shares = atomic_load(&rights->shares);
	uint64_t wait_us, least = LOOM_SHARE_WHOLE;
	double per_s;

	wait_us =
	    loom_bucket_wait_us(&team->bucket, base, LOOM_TOKEN_UTOK, now_us);
	if (wait_us == UINT64_MAX)
		wait_us = 0;
	if (team->no_tokens_until_us > now_us)
		wait_us = MAX(wait_us, team->no_tokens_until_us - now_us);
	if (shares > 0)
		least = LOOM_SHARE_WHOLE / shares;
	per_s = team->bucket.rate_per_s * (double)MAX(net.refill, least) /
	    (double)LOOM_SHARE_WHOLE;
	return loom_loan_retry_after_us(team->bucket.rate_per_s, per_s,
	    loom_demand_per_s(&team->refused, now_us), wait_us,
	    loom_random_unit(&rights->random));
}

/*
 * Whether the owned share is lent to a pool that cannot lend it back. Nobody
 * then knows whether the team is over its rate.
 */
static bool
is_lent_elsewhere(struct loom_rights *rights, uint64_t now_us)
{
	return now_us < atomic_load(&rights->lent_elsewhere_until_us);
}

/* Whether a token can arrive within the wait, by refill here or by a loan. */
static bool
token_may_arrive(
    struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	uint64_t wait_us;

	if (team->nwaiters >= WAITERS_MAX || team->bucket.burst == 0)
		return false;
	wait_us = loom_bucket_wait_us(&team->bucket, &team->shard->base,
	    (team->nwaiters + 1) * LOOM_TOKEN_UTOK, now_us);
	if (wait_us <= LOOM_RIGHTS_WAIT_US || is_lent_elsewhere(rights, now_us))
		return true;
	return atomic_load(&rights->may_borrow) &&
	    now_us >= team->no_tokens_until_us;
}

/*
 * Whether to request tokens before the next call comes: less than one is left.
 */
static bool
should_prefetch(const struct rights_team *team, uint64_t now_us)
{
	return team->bucket.level_utok < LOOM_TOKEN_UTOK && !team->scarce &&
	    now_us >= team->no_tokens_until_us &&
	    now_us >= team->requested_us + RIGHTS_REQUEST_RETRY_US;
}

static enum loom_result
take_locked(struct loom_rights *rights, struct rights_team *team,
    uint64_t now_us, uint64_t *retry_after_us, uint64_t *taken_us)
{
	/*
	 * The worker may have been suspended since it read the clock, and a
	 * loan that it would use by that time may have ended.
	 */
	now_us = MAX(now_us, atomic_load(&rights->clock_us));
	loom_demand_add(&team->demand, 1, now_us);
	team->called_us = now_us;
	/* Calls that already wait are served first. */
	if (team->nwaiters == 0 &&
	    loom_bucket_take(&team->bucket, &team->shard->base, now_us)) {
		*taken_us = loom_bucket_stamp(&team->bucket, now_us);
		if (atomic_load(&rights->may_borrow) &&
		    should_prefetch(team, now_us))
			mark_dirty(rights, team);
		return LOOM_OK;
	}
	if (token_may_arrive(rights, team, now_us))
		return LOOM_RIGHTS_PENDING;
	*retry_after_us = retry_after(rights, team, now_us);
	loom_demand_add(&team->refused, 1, now_us);
	return LOOM_TEAM_RATE;
}

enum loom_result
loom_rights_take(struct loom_rights *rights, uint64_t team_id, uint64_t now_us,
    uint64_t *retry_after_us, uint64_t *taken_us)
{
	struct rights_team *team = rights_team_locked(rights, team_id);
	enum loom_result result;

	*taken_us = 0;
	*retry_after_us = 0;
	if (team == NULL) {
		*retry_after_us = RETRY_UNKNOWN_US;
		return LOOM_TEAM_RATE;
	}
	result = take_locked(rights, team, now_us, retry_after_us, taken_us);
	rights_unlock(team);
	if (result == LOOM_TEAM_RATE)
		loom_counter_add(rights->counters.refused, 1);
	return result;
}

/*
 * Notes tokens that found no room in the bucket here; the next message to the
 * pool carries them.
 */
static void
give_to_pool(struct loom_rights *rights, struct rights_team *team,
    uint64_t utok, uint64_t taken_us)
{
	if (utok == 0 || atomic_load(&rights->pool_host_id) == 0)
		return;
	team->given_us =
	    team->given_utok == 0 ? taken_us : MIN(team->given_us, taken_us);
	team->given_utok += utok;
}

void
loom_rights_give_back(struct loom_rights *rights, uint64_t team_id,
    uint64_t taken_us, uint64_t now_us)
{
	struct rights_team *team = rights_team_locked(rights, team_id);
	uint64_t utok;

	if (team == NULL)
		return;
	/* As for taking: the time read may be older than a loan's end. */
	now_us = MAX(now_us, atomic_load(&rights->clock_us));
	utok = loom_bucket_give_back(&team->bucket, &team->shard->base,
	    LOOM_TOKEN_UTOK, taken_us, now_us);
	give_to_pool(rights, team, LOOM_TOKEN_UTOK - utok, taken_us);
	if (team->nwaiters > 0)
		mark_dirty(rights, team);
	rights_unlock(team);
	loom_counter_add(rights->counters.given_back, 1);
}

/*
 * When a wait for a silent pool ends. At most half of the time until the call's
 * deadline is spent waiting, since the call still has to run.
 */
static uint64_t
wait_limit_us(const struct loom_rights_waiter *waiter, uint64_t now_us)
{
	uint64_t left_us =
	    waiter->deadline_us - MIN(waiter->deadline_us, now_us);
	uint64_t wait_us = LOOM_RIGHTS_SILENT_WAIT_US;

	if (waiter->deadline_us != 0)
		wait_us = MIN(wait_us, left_us / 2);
	return MAX(now_us + wait_us, waiter->until_us);
}

void
loom_rights_wait(struct loom_rights *rights, uint64_t team_id,
    struct loom_rights_waiter *waiter, uint64_t now_us)
{
	struct rights_team *team = rights_team_locked(rights, team_id);

	/*
	 * Teams are never removed from their shard, and loom_rights_take()
	 * returned LOOM_RIGHTS_PENDING for this one.
	 */
	g_assert(team != NULL);
	waiter->next = NULL;
	waiter->team_id = team_id;
	waiter->since_us = now_us;
	waiter->until_us = now_us + rights->settings.wait_us;
	waiter->silent_until_us = wait_limit_us(waiter, now_us);
	waiter->retry_after_us = 0;
	waiter->taken_us = 0;
	waiter->state = RIGHTS_WAITER_QUEUED;
	*team->last_waiter = waiter;
	team->last_waiter = &waiter->next;
	team->nwaiters++;
	mark_dirty(rights, team);
	rights_unlock(team);
	loom_counter_add(rights->counters.waited, 1);
}

bool
loom_rights_cancel(
    struct loom_rights *rights, struct loom_rights_waiter *waiter)
{
	struct rights_team *team = rights_team_locked(rights, waiter->team_id);
	struct loom_rights_waiter **link;
	bool found = false;

	g_assert(team != NULL);
	for (link = &team->first_waiter; *link != NULL; link = &(*link)->next) {
		if (*link != waiter)
			continue;
		*link = waiter->next;
		if (waiter->next == NULL)
			team->last_waiter = link;
		team->nwaiters--;
		found = true;
		break;
	}
	rights_unlock(team);
	return found;
}

static void
finish_first(struct rights_team *team, enum loom_result result,
    uint64_t retry_after_us, struct loom_rights_waiter ***done)
{
	struct loom_rights_waiter *waiter = team->first_waiter;

	if (result == LOOM_OK)
		waiter->taken_us =
		    loom_bucket_stamp(&team->bucket, team->bucket.at_us);
	team->first_waiter = waiter->next;
	if (team->first_waiter == NULL)
		team->last_waiter = &team->first_waiter;
	team->nwaiters--;
	waiter->state = RIGHTS_WAITER_DONE;
	waiter->result = result;
	waiter->retry_after_us = retry_after_us;
	waiter->next = NULL;
	**done = waiter;
	*done = &waiter->next;
}

/*
 * Whether nothing has come from the pool since the call arrived, and for longer
 * than from a pool that is merely slow.
 */
static bool
is_silent(const struct rights_parent *parent,
    const struct loom_rights_waiter *waiter, uint64_t now_us)
{
	uint64_t late_us =
	    MIN(RIGHTS_LATE_RESPONSES * parent->response_us, RIGHTS_SILENT_US);

	return parent->host_id != 0 && parent->received_us < waiter->since_us &&
	    now_us >= parent->received_us + late_us;
}

/* Whether it is unknown if the team is over its rate. */
static bool
is_rate_unknown(struct loom_rights *rights,
    const struct loom_rights_waiter *waiter, uint64_t now_us)
{
	return is_lent_elsewhere(rights, now_us) ||
	    is_silent(&rights->parent, waiter, now_us);
}

/*
 * Whether no token will arrive before the first waiter's timeout: the pool said
 * that it has none, and refill here is too slow.
 */
static bool
is_wait_futile(const struct rights_team *team, uint64_t now_us)
{
	uint64_t until_us = team->first_waiter->until_us;

	if (now_us >= until_us)
		return true;
	if (team->no_tokens_until_us < until_us)
		return false;
	return loom_bucket_wait_us(&team->bucket, &team->shard->base,
		   LOOM_TOKEN_UTOK, now_us) > until_us - now_us;
}

/*
 * The result of the first waiting call, which found no token: the reason to
 * refuse it, or LOOM_RIGHTS_PENDING.
 */
static enum loom_result
result_of_first(
    struct loom_rights *rights, const struct rights_team *team, uint64_t now_us)
{
	const struct loom_rights_waiter *waiter = team->first_waiter;

	if (is_rate_unknown(rights, waiter, now_us))
		return now_us < waiter->silent_until_us ? LOOM_RIGHTS_PENDING
							: LOOM_RATE_UNKNOWN;
	return is_wait_futile(team, now_us) ? LOOM_TEAM_RATE
					    : LOOM_RIGHTS_PENDING;
}

static void
refuse_first(struct loom_rights *rights, struct rights_team *team,
    enum loom_result result, uint64_t now_us, struct loom_rights_waiter ***done)
{
	if (result == LOOM_RATE_UNKNOWN) {
		finish_first(team, result, 0, done);
		loom_counter_add(rights->counters.unknown, 1);
		return;
	}
	finish_first(team, result, retry_after(rights, team, now_us), done);
	loom_demand_add(&team->refused, 1, now_us);
	loom_counter_add(rights->counters.refused, 1);
}

void
rights_serve_waiters(struct loom_rights *rights, struct rights_team *team,
    uint64_t now_us, struct loom_rights_waiter ***done)
{
	enum loom_result result;

	while (team->first_waiter != NULL &&
	    loom_bucket_take(&team->bucket, &team->shard->base, now_us))
		finish_first(team, LOOM_OK, 0, done);
	while (team->first_waiter != NULL) {
		result = result_of_first(rights, team, now_us);
		if (result == LOOM_RIGHTS_PENDING)
			break;
		refuse_first(rights, team, result, now_us, done);
	}
}

/*
 * A slow pool is not sent requests for calls whose normal wait is over: more
 * requests would delay it further.
 */
uint32_t
rights_waiters_to_request_for(const struct loom_rights *rights,
    const struct rights_team *team, uint64_t now_us)
{
	const struct loom_rights_waiter *waiter = team->first_waiter;
	uint32_t n = team->nwaiters;

	if (rights->parent.overdue_since_us == 0)
		return n;
	for (; waiter != NULL && waiter->until_us <= now_us;
	     waiter = waiter->next)
		n--;
	return n;
}

void
rights_serve_transit(struct rights_team *team, uint64_t utok, uint64_t now_us,
    struct loom_rights_waiter ***done)
{
	struct loom_team_bucket *bucket = &team->bucket;

	loom_bucket_advance(bucket, &team->shard->base, now_us);
	bucket->level_utok += utok;
	while (team->first_waiter != NULL &&
	    bucket->level_utok >= LOOM_TOKEN_UTOK) {
		bucket->level_utok -= LOOM_TOKEN_UTOK;
		finish_first(team, LOOM_OK, 0, done);
	}
	/* Tokens that no call took have no capacity here and are lost. */
	loom_bucket_add(bucket, &team->shard->base, 0, now_us);
}

void
rights_call_waiters(struct loom_rights_waiter *done)
{
	struct loom_rights_waiter *next;

	for (; done != NULL; done = next) {
		next = done->next;
		done->done(done, done->result, done->retry_after_us);
	}
}
