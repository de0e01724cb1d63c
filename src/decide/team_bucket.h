#ifndef LOOM_DECIDE_TEAM_BUCKET_H
#define LOOM_DECIDE_TEAM_BUCKET_H

/*
 * One daemon's token bucket for one team: its share of the team's refill and
 * capacity, and the tokens in it.
 *
 * Shares are fractions of the whole and not tokens per second. Two daemons that
 * use different versions of a team's rate therefore still hold at most one
 * whole together, and a change of rate needs no protocol: the fleet admits at
 * most the larger of the two rates until the last daemon has the new one.
 */

#include <stdbool.h>
#include <stdint.h>

#include "decide/headroom.h"

/*
 * The whole of a team's rate and burst. 1/17,000 of it is represented with an
 * error of at most 4 in a million.
 */
#define LOOM_SHARE_WHOLE (UINT64_C(1) << 32)

/* Microtokens that one call costs. */
#define LOOM_TOKEN_UTOK UINT64_C(1000000)

/* Both in units of 1/LOOM_SHARE_WHOLE. */
struct loom_share {
	uint64_t refill;
	uint64_t capacity;
};

/*
 * The share that the daemon holds of every team alike: the share it owns, plus
 * what daemons below lent it, minus what it lent to its pool.
 */
struct loom_base_share {
	uint64_t parts;
	uint64_t until_us; /* the earliest expiry among its components */
};

/*
 * After a change of pool the new pool's loan exists beside the old pool's,
 * which is running out.
 */
#define LOOM_LENDERS_MAX 2

/* A loan from a pool. */
struct loom_borrowed {
	uint64_t lender_host_id; /* 0 for a free entry */
	uint64_t lender_incarnation;
	uint64_t seq; /* of the last grant applied */
	struct loom_share share;
	/* by this daemon's clock, from sending the request */
	uint64_t until_us;
};

struct loom_team_bucket {
	double rate_per_s; /* of the whole team */
	uint32_t burst; /* of the whole team, calls */
	uint64_t at_us; /* time for which level_utok is valid */
	uint64_t level_utok;
	struct loom_borrowed borrowed[LOOM_LENDERS_MAX];
	/* upper bound of what daemons below may be using */
	struct loom_share lent;
	/* free capacity at each use of the bucket */
	struct loom_headroom headroom;
};

/* A grant as received from a pool. */
struct loom_grant {
	uint64_t lender_host_id;
	uint64_t lender_incarnation;
	uint64_t seq;
	struct loom_share share; /* total of the loan, not an increment */
	uint64_t tokens_utok; /* sent with this grant; covered by the share */
	uint64_t until_us; /* time of the request plus the duration */
};

/* Capacity in microtokens of a fraction of the team's burst. */
uint64_t loom_capacity_utok(const struct loom_team_bucket *, uint64_t parts);

/* The smallest fraction of the team's burst that holds so many microtokens. */
uint64_t loom_capacity_parts(const struct loom_team_bucket *, uint64_t utok);

/*
 * The share usable here at a time: base share plus loans taken, minus loans
 * made.
 */
struct loom_share loom_bucket_usable_share(const struct loom_team_bucket *,
    const struct loom_base_share *, uint64_t at_us);

/*
 * Refills up to now_us. Loans and the base share that expire before now_us
 * count only until they expire.
 */
void loom_bucket_advance(
    struct loom_team_bucket *, const struct loom_base_share *, uint64_t now_us);

/* Advances to now_us and takes one token. False if there is none. */
bool loom_bucket_take(
    struct loom_team_bucket *, const struct loom_base_share *, uint64_t now_us);

/* Identifies, to loom_bucket_give_back(), tokens that are taken now. */
uint64_t loom_bucket_stamp(struct loom_team_bucket *, uint64_t now_us);

/*
 * Gives back tokens of calls that did not run, taken at a stamp or later, here
 * or at a daemon below. Only so much returns as the bucket would hold now if
 * they had been here since then: less, or nothing, if it was nearly full.
 * Returns how much did.
 */
uint64_t loom_bucket_give_back(struct loom_team_bucket *,
    const struct loom_base_share *, uint64_t utok, uint64_t stamp_us,
    uint64_t now_us);

/* Adds tokens. Tokens beyond the capacity are lost. */
void loom_bucket_add(struct loom_team_bucket *, const struct loom_base_share *,
    uint64_t utok, uint64_t now_us);

/* Sets the team's rate and burst. */
void loom_bucket_set_limits(struct loom_team_bucket *,
    const struct loom_base_share *, double rate_per_s, uint32_t burst,
    uint64_t now_us);

/* The loan from this incarnation of a lender; NULL when there is none. */
struct loom_borrowed *loom_bucket_find_loan(
    struct loom_team_bucket *, uint64_t host_id, uint64_t incarnation);

/*
 * Applies a grant. Returns false, and its tokens are lost, when it has expired,
 * is repeated or older than one already applied, or comes from a third lender
 * while two loans run.
 */
bool loom_bucket_apply_grant(struct loom_team_bucket *,
    const struct loom_base_share *, const struct loom_grant *, uint64_t now_us);

/*
 * Microseconds until the bucket holds utok; UINT64_MAX if refill never gets
 * there.
 */
uint64_t loom_bucket_wait_us(const struct loom_team_bucket *,
    const struct loom_base_share *, uint64_t utok, uint64_t now_us);

#endif
