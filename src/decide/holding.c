/*
 * The bucket of one team at one daemon.
 *
 * Why the sum over all daemons is safe: let the ideal bucket be the one that
 * holds the team's whole rate and burst.  As long as all shares together are
 * at most one whole at each moment, the tokens of all daemons together stay
 * at or below the ideal level: they grow no faster, and when the ideal is
 * full they are bounded by their capacities.  A call takes one from both.  So
 * each rule here must keep the shares within the whole and may lose tokens
 * but never add one.
 *
 * Ends are applied when the bucket is next used, in the order of their times,
 * and not by a timer: a process that was stopped for longer than a loan finds
 * the loan ended before it can use it.
 */

#include <string.h>

#include "decide/holding.h"
#include "decide/integer.h"

uint64_t
loom_capacity_utok(const struct loom_holding *holding, uint64_t parts)
{
	double tokens = (double)parts * holding->burst / (double)LOOM_WHOLE;

	return (uint64_t)(tokens * (double)LOOM_TOKEN_UTOK);
}

uint64_t
loom_capacity_parts(const struct loom_holding *holding, uint64_t utok)
{
	double tokens = (double)utok / (double)LOOM_TOKEN_UTOK;

	if (holding->burst == 0 || tokens >= holding->burst)
		return LOOM_WHOLE;
	return min_u64(LOOM_WHOLE,
	    (uint64_t)(tokens * (double)LOOM_WHOLE / holding->burst) + 1);
}

struct loom_share
loom_holding_net(const struct loom_holding *holding,
    const struct loom_base *base, uint64_t at_us)
{
	struct loom_share net = { 0 };
	unsigned i;

	if (at_us < base->until_us)
		net = (struct loom_share){ base->parts, base->parts };
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (at_us >= holding->in[i].until_us)
			continue;
		net.refill += holding->in[i].share.refill;
		net.capacity += holding->in[i].share.capacity;
	}
	net.refill = less(net.refill, holding->out.refill);
	net.capacity = less(net.capacity, holding->out.capacity);
	return net;
}

static void
clip(struct loom_holding *holding, const struct loom_base *base)
{
	struct loom_share net = loom_holding_net(holding, base, holding->at_us);

	holding->level_utok = min_u64(
	    holding->level_utok, loom_capacity_utok(holding, net.capacity));
}

/* The first end after the holding's time; UINT64_MAX for none. */
static uint64_t
next_end(const struct loom_holding *holding, const struct loom_base *base)
{
	uint64_t end = UINT64_MAX;
	unsigned i;

	if (base->until_us > holding->at_us)
		end = base->until_us;
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (holding->in[i].until_us > holding->at_us)
			end = min_u64(end, holding->in[i].until_us);
	}
	return end;
}

static void
refill_to(
    struct loom_holding *holding, const struct loom_base *base, uint64_t to_us)
{
	struct loom_share net = loom_holding_net(holding, base, holding->at_us);
	double elapsed_us = (double)(to_us - holding->at_us);
	double part = (double)net.refill / (double)LOOM_WHOLE;

	/* tokens per second are microtokens per microsecond */
	holding->level_utok +=
	    (uint64_t)(part * holding->rate_per_s * elapsed_us);
	holding->level_utok = min_u64(
	    holding->level_utok, loom_capacity_utok(holding, net.capacity));
	holding->at_us = to_us;
}

void
loom_holding_advance(
    struct loom_holding *holding, const struct loom_base *base, uint64_t now_us)
{
	uint64_t end;

	while ((end = next_end(holding, base)) <= now_us) {
		refill_to(holding, base, end);
		clip(holding, base);
	}
	if (now_us > holding->at_us)
		refill_to(holding, base, now_us);
}

bool
loom_holding_take(
    struct loom_holding *holding, const struct loom_base *base, uint64_t now_us)
{
	loom_holding_advance(holding, base, now_us);
	if (holding->level_utok < LOOM_TOKEN_UTOK)
		return false;
	holding->level_utok -= LOOM_TOKEN_UTOK;
	return true;
}

void
loom_holding_put(struct loom_holding *holding, const struct loom_base *base,
    uint64_t utok, uint64_t now_us)
{
	loom_holding_advance(holding, base, now_us);
	holding->level_utok += utok;
	clip(holding, base);
}

void
loom_holding_limits(struct loom_holding *holding, const struct loom_base *base,
    double rate_per_s, uint32_t burst, uint64_t now_us)
{
	loom_holding_advance(holding, base, now_us);
	holding->rate_per_s = rate_per_s;
	holding->burst = burst;
	clip(holding, base);
}

struct loom_borrowed *
loom_holding_lender(
    struct loom_holding *holding, uint64_t host_id, uint64_t incarnation)
{
	unsigned i;

	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (holding->in[i].lender_host_id == host_id &&
		    holding->in[i].lender_incarnation == incarnation)
			return &holding->in[i];
	}
	return NULL;
}

/* An entry of a lender whose loan is over may be used anew. */
static struct loom_borrowed *
lender_or_new(struct loom_holding *holding, const struct loom_grant_in *grant,
    uint64_t now_us)
{
	struct loom_borrowed *in;
	unsigned i;

	in = loom_holding_lender(
	    holding, grant->lender_host_id, grant->lender_incarnation);
	if (in != NULL)
		return in;
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		in = &holding->in[i];
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
loom_holding_grant(struct loom_holding *holding, const struct loom_base *base,
    const struct loom_grant_in *grant, uint64_t now_us)
{
	struct loom_share old = { 0 };
	struct loom_borrowed *in;

	loom_holding_advance(holding, base, now_us);
	in = lender_or_new(holding, grant, now_us);
	if (in == NULL || grant->seq <= in->seq)
		return false;
	/* it counts as received also when it is too late to use: the lender
	 * waits for its number before it takes a part back */
	in->seq = grant->seq;
	if (grant->until_us <= now_us)
		return false;
	if (in->until_us > now_us)
		old = in->share;
	/*
	 * A pool that lends less than before must not take what this daemon
	 * lent on: that runs until its own end.  The old total stays, and
	 * the lender is told what is kept.
	 */
	/* a part that is new must not run on to the old part's later end */
	if (grant->until_us > in->until_us ||
	    grant->share.refill > old.refill ||
	    grant->share.capacity > old.capacity)
		in->until_us = grant->until_us;
	in->share.refill = max_u64(
	    grant->share.refill, min_u64(old.refill, holding->out.refill));
	in->share.capacity = max_u64(grant->share.capacity,
	    min_u64(old.capacity, holding->out.capacity));
	holding->level_utok += grant->tokens_utok;
	clip(holding, base);
	return true;
}

uint64_t
loom_holding_wait_us(const struct loom_holding *holding,
    const struct loom_base *base, uint64_t utok, uint64_t now_us)
{
	struct loom_share net = loom_holding_net(holding, base, now_us);
	double per_us =
	    (double)net.refill / (double)LOOM_WHOLE * holding->rate_per_s;

	if (holding->level_utok >= utok)
		return 0;
	if (per_us <= 0 || loom_capacity_utok(holding, net.capacity) < utok)
		return UINT64_MAX;
	return (uint64_t)((double)(utok - holding->level_utok) / per_us) + 1;
}
