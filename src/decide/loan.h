#ifndef LOOM_DECIDE_LOAN_H
#define LOOM_DECIDE_LOAN_H

/*
 * Loans of one team's rights from a pool to a daemon below it: how long they
 * run, how much is lent, and what the lender must still count as lent.
 */

#include <stdbool.h>
#include <stdint.h>

#include "decide/holding.h"

/*
 * Loans nest: what is lent on must end before what it was taken from.  Each
 * stage therefore runs one step longer than the stage below it.  A step
 * outlasts two lost renewals.
 */
#define LOOM_LOAN_STEP_US UINT64_C(400000)
#define LOOM_LOAN_RENEW_US UINT64_C(100000)

/*
 * A daemon that neither borrows nor lends of any team renews its base so
 * seldom.  Pattern: a fleet of thousands in which a team's calls come to few
 * daemons.  Renewed as often as loans in use, the parts of all the others
 * cost more bytes than control may spend.  They are lent the longer for it,
 * at each stage, so a pool's death takes them away the longer, and a daemon
 * that starts waits the longer for its own part (ownership.h).  Fleets that
 * are not large renew as seldom as costs a start nothing.
 */
#define LOOM_LOAN_IDLE_RENEW_US UINT64_C(800000)
#define LOOM_LOAN_IDLE_RENEW_LARGE_US UINT64_C(1000000)

/* The longest loan in a fleet that is not large. */
#define LOOM_LOAN_LONGEST_US (8 * LOOM_LOAN_STEP_US)

/* A loan by the pool of a stage (1 for the lowest) to a daemon below it. */
uint64_t loom_loan_to_child_us(uint32_t stage);

/* A daemon's base, lent to the pool above; stage 0 for a daemon that is no
 * pool.  Longer the lower, so that each pool may lend on what it got. */
uint64_t loom_loan_to_parent_us(uint32_t stage, uint32_t stages);

/* Between two renewals of a daemon with nothing in use. */
uint64_t loom_loan_idle_renew_us(uint32_t stages, bool large_fleet);

/* Its loan: as above, and for one such time at each stage. */
uint64_t loom_loan_idle_to_parent_us(
    uint32_t stage, uint32_t stages, bool large_fleet);

/*
 * A borrower's clock may run slower than its lender's.  It ends each loan
 * early by this part, 1/256: quartz is off by 1/10,000 at the worst.
 */
uint64_t loom_loan_borrower_duration_us(uint64_t duration_us);

/*
 * Tokens for calls that wait are used up on arrival.  They need capacity only
 * until they have arrived or are too old to be taken: a short time, where
 * capacity lent for a whole loan would be missing at the pool, whose refill
 * then overflows.
 */
#define LOOM_LOAN_TRANSIT_US UINT64_C(12000)

/* What a pool keeps of a loan to one daemon below. */
struct loom_lender_loan {
	uint64_t sent_seq; /* of the last grant sent */
	struct loom_share committed; /* the most that may be in use there */
	uint64_t until_us; /* by the lender's clock, from its send time */
	double demand_per_s; /* as the borrower reported it */
	uint64_t need_utok; /* for calls that wait there */
	uint64_t first_utok; /* the first of those calls lacks this */
	uint64_t need_until_us; /* those calls are refused then */
};

/*
 * The borrower says that it keeps so much, having seen grant got_seq.  The
 * part that it no longer uses comes back at once if no later grant is on the
 * way to it, which could bring that part back to life there.
 */
void loom_lender_loan_confirm(
    struct loom_lender_loan *, uint64_t got_seq, struct loom_share keep);

/* Count a grant before it is sent. */
void loom_lender_loan_sent(struct loom_lender_loan *, uint64_t seq,
    struct loom_share share, uint64_t until_us);

/* What a borrower asks for, and what the pool could give. */
struct loom_loan_request {
	struct loom_share
	    lendable; /* lendable to it in all, till the loan ends */
	struct loom_share lent_to_others; /* lent to other borrowers */
	struct loom_share
	    team_share; /* held by the pool, lent parts included */
	uint64_t level_utok; /* the pool's tokens */
	uint64_t spare_utok; /* capacity of the pool before this loan */
	struct loom_share committed; /* lent to the borrower by now */
	double demand_per_s; /* of the borrower */
	double demand_all_per_s; /* at the pool and below */
	uint64_t held_utok; /* the borrower's tokens and what it lent on */
	uint64_t need_utok;
	uint64_t first_utok;
	uint64_t prefetch_utok; /* wanted against the next call's waiting */
	bool borrower_is_pool;
	bool first_in_line; /* no other borrower waits */
	bool plenty; /* by the pool above, or calls far under the rate */
};

struct loom_loan_decision {
	struct loom_share share; /* the loan's new total */
	uint64_t added_utok; /* to add there */
	/* of these, for calls that wait: not covered by the share */
	uint64_t transit_utok;
	uint64_t unmet_utok; /* of the need */
	bool scarce; /* nothing is given ahead for now */
	bool plenty; /* more is given ahead */
};

/* Decide one loan; team gives the rate and burst of the whole. */
struct loom_loan_decision loom_loan_decide(
    const struct loom_team_bucket *team, const struct loom_loan_request *);

/* Whether calls, here and below, are far fewer than a pool's share lets in. */
bool loom_loan_is_under_rate(const struct loom_team_bucket *team,
    struct loom_share whole, double demand_per_s);

/* How many tokens a borrower wants to hold, in microtokens. */
uint64_t loom_loan_prefetch_target_utok(
    double demand_per_s, bool is_pool, bool plenty);

/*
 * The demand that a borrower reports.  Pattern: a team's calls move to another
 * daemon.  The average forgets them in seconds, and as long the refill lent
 * here would overflow; a silence that long has a chance of two in a hundred
 * while calls still come at the average rate.
 */
double loom_loan_reported_demand_per_s(
    double average_per_s, uint64_t silent_us);

/*
 * When a refused call should come back, in microseconds.
 *
 * Pattern: many refused callers.  If all were told the same time they would
 * come back as one burst and be refused again.  So each gets a random time in
 * a window that is as long as the refused calls of one second take to be
 * admitted.
 */
uint64_t loom_loan_retry_after_us(
    double refill_per_s, double refused_per_s, uint64_t wait_us, double unit);

#endif
