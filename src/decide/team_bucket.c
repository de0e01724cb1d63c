/*
 * One team's token bucket at one daemon.
 *
 * Why the fleet as a whole never admits too much: consider an ideal bucket with
 * the team's whole rate and burst. As long as all shares together are at most
 * one whole at each moment, the tokens at all daemons together never exceed the
 * ideal bucket's level. They are refilled no faster, and when the ideal bucket
 * is full they are limited by their capacities, which add up to no more. A call
 * takes one token from both. Each function here must therefore keep the shares
 * within the whole; it may lose tokens but must never create any.
 *
 * Expiries are applied when the bucket is next used, in the order of their
 * times, and not by a timer. A process that was paused for longer than a loan
 * thus finds the loan expired before it can use it.
 *
 * A token that is given back leaves the bucket as if it had never been taken:
 * each time at which the level was limited by the capacity is noted, and only
 * what would have been within the capacity at all of them returns. The daemons
 * have then done what they would have done without that call, so that the sum
 * is as safe as without it, whatever became of the loan that the token was of.
 * The same holds for the bucket of a pool: the borrower could have sent it the
 * token when it was taken.
 */

#include <string.h>

#include "decide/integer.h"
#include "decide/team_bucket.h"

uint64_t
loom_capacity_utok(const struct loom_team_bucket *bucket, uint64_t parts)
{
	double tokens =
	    (double)parts * bucket->burst / (double)LOOM_SHARE_WHOLE;

	return (uint64_t)(tokens * (double)LOOM_TOKEN_UTOK);
}

uint64_t
loom_capacity_parts(const struct loom_team_bucket *bucket, uint64_t utok)
{
	double tokens = (double)utok / (double)LOOM_TOKEN_UTOK;

	if (bucket->burst == 0 || tokens >= bucket->burst)
		return LOOM_SHARE_WHOLE;
	return min_u64(LOOM_SHARE_WHOLE,
	    (uint64_t)(tokens * (double)LOOM_SHARE_WHOLE / bucket->burst) + 1);
}

struct loom_share
loom_bucket_usable_share(const struct loom_team_bucket *bucket,
    const struct loom_base_share *base, uint64_t at_us)
{
	struct loom_share net = { 0 };
	unsigned i;

	if (at_us < base->until_us)
		net = (struct loom_share){ base->parts, base->parts };
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (at_us >= bucket->borrowed[i].until_us)
			continue;
		net.refill += bucket->borrowed[i].share.refill;
		net.capacity += bucket->borrowed[i].share.capacity;
	}
	net.refill = saturating_sub(net.refill, bucket->lent.refill);
	net.capacity = saturating_sub(net.capacity, bucket->lent.capacity);
	return net;
}

static void
limit_level(struct loom_team_bucket *bucket, uint64_t capacity_parts)
{
	uint64_t capacity = loom_capacity_utok(bucket, capacity_parts);

	bucket->level_utok = min_u64(bucket->level_utok, capacity);
	loom_headroom_note(
	    &bucket->headroom, capacity - bucket->level_utok, bucket->at_us);
}

static void
clamp_level(struct loom_team_bucket *bucket, const struct loom_base_share *base)
{
	limit_level(bucket,
	    loom_bucket_usable_share(bucket, base, bucket->at_us).capacity);
}

/* The first expiry after bucket->at_us; UINT64_MAX for none. */
static uint64_t
next_expiry_us(
    const struct loom_team_bucket *bucket, const struct loom_base_share *base)
{
	uint64_t end = UINT64_MAX;
	unsigned i;

	if (base->until_us > bucket->at_us)
		end = base->until_us;
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (bucket->borrowed[i].until_us > bucket->at_us)
			end = min_u64(end, bucket->borrowed[i].until_us);
	}
	return end;
}

static void
refill_to(struct loom_team_bucket *bucket, const struct loom_base_share *base,
    uint64_t to_us)
{
	struct loom_share net =
	    loom_bucket_usable_share(bucket, base, bucket->at_us);
	double elapsed_us = (double)(to_us - bucket->at_us);
	double part = (double)net.refill / (double)LOOM_SHARE_WHOLE;

	/* Tokens per second equal microtokens per microsecond. */
	bucket->level_utok +=
	    (uint64_t)(part * bucket->rate_per_s * elapsed_us);
	bucket->at_us = to_us;
	limit_level(bucket, net.capacity);
}

void
loom_bucket_advance(struct loom_team_bucket *bucket,
    const struct loom_base_share *base, uint64_t now_us)
{
	uint64_t end;

	while ((end = next_expiry_us(bucket, base)) <= now_us) {
		refill_to(bucket, base, end);
		clamp_level(bucket, base);
	}
	if (now_us > bucket->at_us)
		refill_to(bucket, base, now_us);
}

bool
loom_bucket_take(struct loom_team_bucket *bucket,
    const struct loom_base_share *base, uint64_t now_us)
{
	loom_bucket_advance(bucket, base, now_us);
	if (bucket->level_utok < LOOM_TOKEN_UTOK)
		return false;
	bucket->level_utok -= LOOM_TOKEN_UTOK;
	return true;
}

uint64_t
loom_bucket_stamp(struct loom_team_bucket *bucket, uint64_t now_us)
{
	return loom_headroom_stamp(&bucket->headroom, now_us);
}

uint64_t
loom_bucket_give_back(struct loom_team_bucket *bucket,
    const struct loom_base_share *base, uint64_t utok, uint64_t stamp_us,
    uint64_t now_us)
{
	loom_bucket_advance(bucket, base, now_us);
	clamp_level(bucket, base);
	utok = min_u64(utok, loom_headroom_since(&bucket->headroom, stamp_us));
	bucket->level_utok += utok;
	loom_headroom_occupy(&bucket->headroom, stamp_us, utok);
	return utok;
}

void
loom_bucket_add(struct loom_team_bucket *bucket,
    const struct loom_base_share *base, uint64_t utok, uint64_t now_us)
{
	loom_bucket_advance(bucket, base, now_us);
	bucket->level_utok += utok;
	clamp_level(bucket, base);
}

void
loom_bucket_set_limits(struct loom_team_bucket *bucket,
    const struct loom_base_share *base, double rate_per_s, uint32_t burst,
    uint64_t now_us)
{
	loom_bucket_advance(bucket, base, now_us);
	bucket->rate_per_s = rate_per_s;
	bucket->burst = burst;
	clamp_level(bucket, base);
}

struct loom_borrowed *
loom_bucket_find_loan(
    struct loom_team_bucket *bucket, uint64_t host_id, uint64_t incarnation)
{
	unsigned i;

	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (bucket->borrowed[i].lender_host_id == host_id &&
		    bucket->borrowed[i].lender_incarnation == incarnation)
			return &bucket->borrowed[i];
	}
	return NULL;
}

/* Entries of lenders whose loans have expired are reused. */
static struct loom_borrowed *
find_or_add_loan(struct loom_team_bucket *bucket,
    const struct loom_grant *grant, uint64_t now_us)
{
	struct loom_borrowed *in;
	unsigned i;

	in = loom_bucket_find_loan(
	    bucket, grant->lender_host_id, grant->lender_incarnation);
	if (in != NULL)
		return in;
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		in = &bucket->borrowed[i];
		if (in->until_us > now_us)
			continue;
		memset(in, 0, sizeof(*in));
		in->lender_host_id = grant->lender_host_id;
		in->lender_incarnation = grant->lender_incarnation;
		return in;
	}
	return NULL;
}

bool
loom_bucket_apply_grant(struct loom_team_bucket *bucket,
    const struct loom_base_share *base, const struct loom_grant *grant,
    uint64_t now_us)
{
	struct loom_share old = { 0 };
	struct loom_borrowed *in;

	loom_bucket_advance(bucket, base, now_us);
	in = find_or_add_loan(bucket, grant, now_us);
	if (in == NULL || grant->seq <= in->seq)
		return false;
	/*
	 * The grant counts as received even if it is too late to use: the
	 * lender takes a share back only after the borrower has reported this
	 * sequence number.
	 */
	in->seq = grant->seq;
	if (grant->until_us <= now_us)
		return false;
	if (in->until_us > now_us)
		old = in->share;
	/*
	 * A pool that lends less than before cannot withdraw what this daemon
	 * has lent on, because that runs until its own end. The previous total
	 * then stays in force, and the pool is told what is kept.
	 */
	/*
	 * A share that grows must not inherit the later expiry of the previous
	 * one.
	 */
	if (grant->until_us > in->until_us ||
	    grant->share.refill > old.refill ||
	    grant->share.capacity > old.capacity)
		in->until_us = grant->until_us;
	in->share.refill = max_u64(
	    grant->share.refill, min_u64(old.refill, bucket->lent.refill));
	in->share.capacity = max_u64(grant->share.capacity,
	    min_u64(old.capacity, bucket->lent.capacity));
	bucket->level_utok += grant->tokens_utok;
	clamp_level(bucket, base);
	return true;
}

uint64_t
loom_bucket_wait_us(const struct loom_team_bucket *bucket,
    const struct loom_base_share *base, uint64_t utok, uint64_t now_us)
{
	struct loom_share net = loom_bucket_usable_share(bucket, base, now_us);
	double per_us =
	    (double)net.refill / (double)LOOM_SHARE_WHOLE * bucket->rate_per_s;

	if (bucket->level_utok >= utok)
		return 0;
	if (per_us <= 0 || loom_capacity_utok(bucket, net.capacity) < utok)
		return UINT64_MAX;
	return (uint64_t)((double)(utok - bucket->level_utok) / per_us) + 1;
}
