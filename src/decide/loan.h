#ifndef LOOM_DECIDE_LOAN_H
#define LOOM_DECIDE_LOAN_H

/*
 * Loans of a share of one team's rate and burst from a pool to a daemon below
 * it in the tree: how long a loan runs, how much is lent, and what the lender
 * must still count as lent.
 */

#include <stdbool.h>
#include <stdint.h>

#include "decide/team_bucket.h"

/*
 * A daemon may lend on what it has borrowed, so the loan it makes must end
 * before the loan it took. Each stage of the tree therefore uses loans that are
 * one step longer than those of the stage below. A step is long enough to
 * survive two lost renewals.
 */
#define LOOM_LOAN_STEP_US UINT64_C(400000)
#define LOOM_LOAN_RENEW_US UINT64_C(100000)

/*
 * Renewal interval of a daemon that borrows and lends nothing for any team: it
 * only renews the loan of its base share.
 *
 * Load pattern: a fleet of thousands of hosts in which a team's calls reach few
 * daemons. Renewing the base shares of all the other daemons as often as loans
 * in use would exceed the bandwidth budget for control messages. The loans are
 * longer in return, at each stage, with two costs: when a pool dies, the shares
 * lent to it are unavailable for longer, and a daemon that starts waits longer
 * before it owns its share (ownership.h). Fleets that are not large use the
 * longest interval that does not lengthen the wait after a start.
 */
#define LOOM_LOAN_IDLE_RENEW_US UINT64_C(800000)
#define LOOM_LOAN_IDLE_RENEW_LARGE_US UINT64_C(1000000)

/* The longest loan in a fleet that is not large. */
#define LOOM_LOAN_LONGEST_US (8 * LOOM_LOAN_STEP_US)

/*
 * Duration of a loan from the pool of a stage (1 is the lowest) to a daemon
 * below it.
 */
uint64_t loom_loan_to_child_us(uint32_t stage);

/*
 * Duration of the loan of a daemon's base share to the pool above it; stage is
 * 0 for a daemon that is not a pool. Lower stages lend for longer, so that each
 * pool can lend on what it received.
 */
uint64_t loom_loan_to_parent_us(uint32_t stage, uint32_t stages);

/* Time between two renewals of a daemon that uses nothing of any team. */
uint64_t loom_loan_idle_renew_us(uint32_t stages, bool large_fleet);

/*
 * Duration of the base share's loan for such a daemon: that of
 * loom_loan_to_parent_us() plus one idle renewal interval for each stage above.
 */
uint64_t loom_loan_idle_to_parent_us(
    uint32_t stage, uint32_t stages, bool large_fleet);

/*
 * The duration that the borrower uses for a loan. Its clock may run slower than
 * the lender's, so it ends each loan early by 1/256 of the duration. Quartz
 * clocks are off by 1/10,000 at worst.
 */
uint64_t loom_loan_borrower_duration_us(uint64_t duration_us);

/*
 * How long the lender reserves capacity for tokens sent to waiting calls. Those
 * calls use the tokens on arrival, so the capacity is needed only until the
 * tokens have arrived or are too old to be accepted. Lending it for a whole
 * loan would leave the pool short of capacity, and its refill would overflow.
 */
#define LOOM_LOAN_TRANSIT_US UINT64_C(12000)

/* The lender's record of a loan to one daemon below. */
struct loom_lender_loan {
	uint64_t sent_seq; /* sequence number of the last grant sent */
	/* upper bound of what the borrower may be using */
	struct loom_share committed;
	uint64_t until_us; /* end by the lender's clock, counted from sending */
	double demand_per_s; /* as the borrower reported it */
	uint64_t need_utok; /* for calls waiting at the borrower */
	uint64_t first_utok; /* what the first of those calls lacks */
	uint64_t need_until_us; /* when those calls are refused */
};

/*
 * Handles the borrower's report that it keeps the share `keep` and that got_seq
 * is the last grant it received. The rest of the loan returns to the lender
 * only if no later grant is in flight, because such a grant would let the
 * borrower use that rest again.
 */
void loom_lender_loan_confirm(
    struct loom_lender_loan *, uint64_t got_seq, struct loom_share keep);

/* Records a grant. Must be called before the grant is sent. */
void loom_lender_loan_sent(struct loom_lender_loan *, uint64_t seq,
    struct loom_share share, uint64_t until_us);

/* A borrower's request together with what the pool can lend. */
struct loom_loan_request {
	struct loom_share
	    lendable; /* what may be lent to the borrower for the whole loan */
	struct loom_share lent_to_others; /* already lent to other borrowers */
	struct loom_share
	    team_share; /* what the pool holds, including what it lent */
	uint64_t level_utok; /* the pool's tokens */
	uint64_t spare_utok; /* capacity of the pool before this loan */
	struct loom_share committed; /* already lent to the borrower */
	double demand_per_s; /* of the borrower */
	/* calls at the pool and at all daemons below */
	double demand_all_per_s;
	/* the borrower's tokens and the capacity that it lent on */
	uint64_t held_utok;
	uint64_t need_utok;
	uint64_t first_utok;
	/* wanted in advance, so that the next call need not wait */
	uint64_t prefetch_utok;
	bool borrower_is_pool;
	bool first_in_line; /* no other borrower is waiting */
	/* the pool above said so, or calls are far below the rate */
	bool plenty;
};

struct loom_loan_decision {
	struct loom_share share; /* total of the loan, not an increment */
	uint64_t added_utok; /* tokens to send to the borrower */
	/* of added_utok, for waiting calls: outside the share */
	uint64_t transit_utok;
	uint64_t unmet_utok; /* part of need_utok that could not be given */
	bool scarce; /* the pool gives no tokens in advance for now */
	bool plenty; /* the pool gives more tokens in advance */
};

/* Decides one loan. `team` supplies the rate and burst of the whole team. */
struct loom_loan_decision loom_loan_decide(
    const struct loom_team_bucket *team, const struct loom_loan_request *);

/*
 * Whether the demand, here and below, is far below what the pool's share of the
 * rate admits.
 */
bool loom_loan_is_under_rate(const struct loom_team_bucket *team,
    struct loom_share whole, double demand_per_s);

/* How many tokens a borrower wants to hold in advance, in microtokens. */
uint64_t loom_loan_prefetch_target_utok(
    double demand_per_s, bool is_pool, bool plenty);

/*
 * The demand that a borrower reports to its pool.
 *
 * Load pattern: a team's calls move to another daemon. The moving average takes
 * seconds to forget them, and until then the refill lent here would overflow.
 * After a silence in which SILENT_CALLS calls (loan.c) were expected, a much
 * lower demand is reported; at the average rate such a silence occurs by chance
 * with probability 2%.
 */
double loom_loan_reported_demand_per_s(
    double average_per_s, uint64_t silent_us);

/*
 * After how many microseconds a refused call should be retried.
 *
 * Load pattern: many refused callers. If all were told the same time, they
 * would return as one burst and be refused again. Each is given a random time
 * in a window as long as the team's rate needs for this call, and the refill
 * here for the calls refused here in the last second before it. A call must not
 * count itself among those: of a team whose calls are spread over many daemons
 * each refuses one in a while, and by its small part of the refill that one
 * alone would take seconds. `unit` is a random number in [0, 1).
 */
uint64_t loom_loan_retry_after_us(double rate_per_s, double refill_per_s,
    double refused_per_s, uint64_t wait_us, double unit);

#endif
