#ifndef LOOM_DECIDE_HOLDING_H
#define LOOM_DECIDE_HOLDING_H

/*
 * What one daemon holds of one team: its share of refill and capacity, and
 * the tokens in it.
 *
 * Shares are parts of a whole and not tokens per second.  So two daemons
 * that have different versions of a team's rate in force still hold at most
 * one whole between them, and a changed rate needs no protocol of its own:
 * the fleet admits at most the larger of the two until the last daemon has
 * the newer one.
 */

#include <stdbool.h>
#include <stdint.h>

/* All of a team's rights.  A 17,000th is still known to 4 in a million. */
#define LOOM_WHOLE (UINT64_C(1) << 32)

/* Microtokens of one call. */
#define LOOM_TOKEN_UTOK UINT64_C(1000000)

/* Parts of LOOM_WHOLE. */
struct loom_share {
	uint64_t refill;
	uint64_t capacity;
};

/* What the daemon holds of every team alike: its own part, and what the
 * daemons below lent it, less what it lent upward. */
struct loom_base_share {
	uint64_t parts;
	uint64_t until_us; /* the earliest end of what is in it */
};

/* The new pool's loan beside the one of its forerunner that runs out. */
#define LOOM_LENDERS_MAX 2

/* A loan from a pool. */
struct loom_borrowed {
	uint64_t lender_host_id; /* 0 for a free entry */
	uint64_t lender_incarnation;
	uint64_t seq; /* of the last grant taken in */
	struct loom_share share;
	uint64_t until_us; /* by this daemon's clock, from its ask time */
};

struct loom_team_bucket {
	double rate_per_s; /* of the whole team */
	uint32_t burst; /* of the whole team, calls */
	uint64_t at_us; /* the level is of this time */
	uint64_t level_utok;
	struct loom_borrowed borrowed[LOOM_LENDERS_MAX];
	struct loom_share lent; /* what daemons below may still be using */
};

/* A grant as it arrives. */
struct loom_grant {
	uint64_t lender_host_id;
	uint64_t lender_incarnation;
	uint64_t seq;
	struct loom_share share; /* the loan's new total */
	uint64_t tokens_utok; /* added by this grant, within the share */
	uint64_t until_us; /* ask time and the loan's duration */
};

/* Tokens of a part of the team's capacity, in microtokens. */
uint64_t loom_capacity_utok(const struct loom_team_bucket *, uint64_t parts);

/* The smallest part of the capacity that holds so many microtokens. */
uint64_t loom_capacity_parts(const struct loom_team_bucket *, uint64_t utok);

/* Usable here at a time: base and loans, less what was lent. */
struct loom_share loom_bucket_usable_share(const struct loom_team_bucket *,
    const struct loom_base_share *, uint64_t at_us);

/* Refill up to now, ending on the way what ends before. */
void loom_bucket_advance(
    struct loom_team_bucket *, const struct loom_base_share *, uint64_t now_us);

/* Take one token. */
bool loom_bucket_take(
    struct loom_team_bucket *, const struct loom_base_share *, uint64_t now_us);

/* Put tokens in; what the capacity does not hold is lost. */
void loom_bucket_add(struct loom_team_bucket *, const struct loom_base_share *,
    uint64_t utok, uint64_t now_us);

/* A new rate and burst are in force here. */
void loom_bucket_set_limits(struct loom_team_bucket *,
    const struct loom_base_share *, double rate_per_s, uint32_t burst,
    uint64_t now_us);

/* The entry of a lender's incarnation; NULL when there is none. */
struct loom_borrowed *loom_bucket_find_loan(
    struct loom_team_bucket *, uint64_t host_id, uint64_t incarnation);

/* Take a grant in.  False when it is late, repeated, overtaken by a later
 * one, or from a third lender at once: its tokens are lost. */
bool loom_bucket_apply_grant(struct loom_team_bucket *,
    const struct loom_base_share *, const struct loom_grant *, uint64_t now_us);

/* Microseconds until there are so many tokens; UINT64_MAX for never. */
uint64_t loom_bucket_wait_us(const struct loom_team_bucket *,
    const struct loom_base_share *, uint64_t utok, uint64_t now_us);

#endif
