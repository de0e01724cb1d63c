/*
 * Sizing of loans.
 *
 * Load pattern: a team's callers are spread over many daemons or concentrated
 * at one, and move. If the pool kept all refill, each call would wait for a
 * token; if it lent all of it, tokens would accumulate at daemons that receive
 * no calls.
 *
 * A daemon is therefore lent most, but not all, of the refill that it uses. Its
 * bucket stays nearly empty, so that nothing overflows, and it requests the
 * remaining tokens. It also holds about one token in advance, so that the next
 * call need not wait.
 */

#include "decide/loan.h"
#include "decide/integer.h"

/*
 * Fraction of its demand that a daemon is lent as refill. With 1 or plenty_max,
 * its small bucket would fill during random pauses and the team would lose the
 * overflow.
 */
#define REFILL_LENT_PER_DEMAND 0.9
/*
 * Refill needs capacity to absorb the random gaps between calls. A borrower
 * with a capacity of REFILL_CAPACITY_MIN_TOKENS or less is lent no refill;
 * above that the lent fraction grows, and it is complete after another
 * REFILL_CAPACITY_RAMP_TOKENS.
 */
#define REFILL_CAPACITY_MIN_TOKENS 1.5
#define REFILL_CAPACITY_RAMP_TOKENS 4.0
/*
 * Largest fraction of the pool's refill that is lent. The rest serves daemons
 * that request single tokens.
 */
#define REFILL_LENT_MAX_PART 0.9
/*
 * Daemons with fewer calls per second are sent tokens only: most refill lent to
 * them would overflow.
 */
#define REFILL_DEMAND_MIN_PER_S 20.0
/*
 * Largest fraction of the capacity that is lent in advance. The rest stays with
 * the pool, which loses its refill when it has no capacity for it.
 */
#define CAPACITY_LENT_MAX_PART 0.7
/*
 * At or below this fraction of the pool's capacity no tokens are given in
 * advance.
 */
#define SCARCE_PART 0.15
/* Seconds of demand held in advance, to cover a round trip and its delays. */
#define PREFETCH_S 0.010
#define PREFETCH_POOL_S 0.040
/*
 * Load pattern: teams far below their rate, with calls at every daemon. With
 * one token in advance each call costs a request and a response, and eight such
 * teams cost a daemon 26 KB a second. Far below the rate the pool refills at
 * once, so while it has half of the capacity that it did not lend, borrowers
 * hold as many tokens as they use until the next renewal. Near the rate those
 * tokens would sit unused at daemons that receive no calls.
 */
#define PLENTY_PART 0.5
#define PREFETCH_PLENTY_S 0.25
/*
 * A borrower whose share of the lendable capacity, by demand, is below this
 * many tokens gets no additional tokens in advance. Many borrowers with few
 * calls each would otherwise leave nothing for one another: with 64 daemons at
 * half of a rate of 500/s, 42% of the calls waited instead of 1%.
 */
#define PLENTY_TOKENS_MIN 2.0
/*
 * Demand below this fraction of the rate counts as far below it. With so few
 * calls a single bucket for the whole fleet would also be full at times, so
 * overflow costs the team nothing.
 */
#define UNDER_RATE_PART 0.7
/*
 * After a silence in which this many calls were expected, the calls are assumed
 * to have moved away; the reported demand is then the average divided by
 * SILENT_DIVISOR.
 */
#define SILENT_CALLS 4.0
#define SILENT_DIVISOR 4.0
#define RETRY_AFTER_MAX_US 60e6
#define CLOCK_DRIFT_DIVISOR 256

uint64_t
loom_loan_to_child_us(uint32_t stage)
{
	return (stage == 0 ? 1 : stage) * LOOM_LOAN_STEP_US;
}

uint64_t
loom_loan_to_parent_us(uint32_t stage, uint32_t stages)
{
	return (2 * (uint64_t)stages - stage) * LOOM_LOAN_STEP_US;
}

uint64_t
loom_loan_idle_renew_us(uint32_t stages, bool large_fleet)
{
	uint64_t steps_us = loom_loan_to_parent_us(0, stages);

	if (large_fleet)
		return LOOM_LOAN_IDLE_RENEW_LARGE_US;
	return min_u64(LOOM_LOAN_IDLE_RENEW_US,
	    saturating_sub(LOOM_LOAN_LONGEST_US, steps_us) /
		(stages > 0 ? stages : 1));
}

uint64_t
loom_loan_idle_to_parent_us(uint32_t stage, uint32_t stages, bool large_fleet)
{
	return loom_loan_to_parent_us(stage, stages) +
	    (stages - stage) * loom_loan_idle_renew_us(stages, large_fleet);
}

uint64_t
loom_loan_borrower_duration_us(uint64_t duration_us)
{
	return duration_us - duration_us / CLOCK_DRIFT_DIVISOR;
}

void
loom_lender_loan_confirm(
    struct loom_lender_loan *loan, uint64_t got_seq, struct loom_share keep)
{
	if (got_seq != loan->sent_seq)
		return;
	loan->committed.refill = min_u64(loan->committed.refill, keep.refill);
	loan->committed.capacity =
	    min_u64(loan->committed.capacity, keep.capacity);
}

void
loom_lender_loan_sent(struct loom_lender_loan *loan, uint64_t seq,
    struct loom_share share, uint64_t until_us)
{
	/*
	 * The grant may be lost, and the borrower then keeps using the previous
	 * one. The record therefore covers both.
	 */
	loan->sent_seq = seq;
	loan->committed.refill = max_u64(loan->committed.refill, share.refill);
	loan->committed.capacity =
	    max_u64(loan->committed.capacity, share.capacity);
	loan->until_us = max_u64(loan->until_us, until_us);
}

static double
refill_part(bool is_pool, uint64_t capacity_utok)
{
	double tokens = (double)capacity_utok / (double)LOOM_TOKEN_UTOK;
	double room =
	    (tokens - REFILL_CAPACITY_MIN_TOKENS) / REFILL_CAPACITY_RAMP_TOKENS;

	if (is_pool)
		return REFILL_LENT_PER_DEMAND;
	if (room <= 0)
		return 0;
	return room < 1 ? REFILL_LENT_PER_DEMAND * room
			: REFILL_LENT_PER_DEMAND;
}

static uint64_t
refill_share(const struct loom_team_bucket *team,
    const struct loom_loan_request *request, double part)
{
	double all = request->demand_all_per_s > request->demand_per_s
	    ? request->demand_all_per_s
	    : request->demand_per_s;
	double lendable, want;

	if (request->demand_per_s < REFILL_DEMAND_MIN_PER_S ||
	    team->rate_per_s <= 0)
		return 0;
	lendable = REFILL_LENT_MAX_PART * team->rate_per_s *
	    (double)request->team_share.refill / (double)LOOM_SHARE_WHOLE;
	want = part * request->demand_per_s;
	if (part * all > lendable)
		want = lendable * request->demand_per_s / all;
	if (want > team->rate_per_s)
		want = team->rate_per_s;
	return min_u64(request->lendable.refill,
	    (uint64_t)(want / team->rate_per_s * (double)LOOM_SHARE_WHOLE));
}

/*
 * Capacity for the refill of a borrower with high demand, in proportion to its
 * part of the demand, as long as most of the pool's capacity is not lent. Other
 * borrowers get only as much capacity as the tokens they are sent occupy:
 * unused capacity at a borrower is missing at the pool, whose refill then
 * overflows.
 */
static uint64_t
refill_capacity_utok(const struct loom_team_bucket *team,
    const struct loom_loan_request *request)
{
	double all = request->demand_all_per_s > request->demand_per_s
	    ? request->demand_all_per_s
	    : request->demand_per_s;
	double room;

	if (request->demand_per_s < REFILL_DEMAND_MIN_PER_S)
		return 0;
	room = CAPACITY_LENT_MAX_PART *
	    (double)loom_capacity_utok(team, request->team_share.capacity) *
	    request->demand_per_s / all;
	if (room < REFILL_CAPACITY_MIN_TOKENS * (double)LOOM_TOKEN_UTOK)
		return 0;
	return (uint64_t)room;
}

/*
 * Tokens for waiting calls. Only whole calls are served, except that the first
 * may need less than a token. If not even the first can be served and no other
 * borrower is waiting, it gets all there is: refill at the borrower may
 * complete the token.
 */
static uint64_t
tokens_for_waiting_calls(
    const struct loom_loan_request *request, uint64_t usable_utok)
{
	uint64_t calls;

	if (request->need_utok == 0)
		return 0;
	if (usable_utok < request->first_utok)
		return request->first_in_line ? usable_utok : 0;
	calls = (usable_utok - request->first_utok) / LOOM_TOKEN_UTOK;
	return min_u64(
	    request->need_utok, request->first_utok + calls * LOOM_TOKEN_UTOK);
}

/*
 * Tokens to give in advance of calls. A borrower's normal target is met only
 * from the pool's level above low_level_utok, and what it wants beyond that
 * only from the level above plenty_level_utok. left_utok limits both, so that
 * most of the capacity is not lent.
 */
static uint64_t
tokens_to_prefetch(const struct loom_loan_request *request, uint64_t level_utok,
    uint64_t low_level_utok, uint64_t plenty_level_utok,
    uint64_t plenty_max_utok, uint64_t left_utok)
{
	uint64_t normal =
	    saturating_sub(loom_loan_prefetch_target_utok(request->demand_per_s,
			       request->borrower_is_pool, false),
		request->held_utok);
	uint64_t prefetch;

	normal = min_u64(request->prefetch_utok, normal);
	prefetch = min_u64(normal, saturating_sub(level_utok, low_level_utok));
	if (request->plenty)
		prefetch += min_u64(min_u64(request->prefetch_utok - normal,
					saturating_sub(plenty_max_utok,
					    request->held_utok + prefetch)),
		    saturating_sub(
			saturating_sub(level_utok, plenty_level_utok),
			prefetch));
	return min_u64(prefetch, left_utok);
}

/*
 * Tokens that fill the borrower to the same fraction as its pool. Otherwise one
 * of them overflows while the other still has free capacity, and the team loses
 * tokens that a single bucket would have kept.
 */
static uint64_t
tokens_to_balance(
    uint64_t level_utok, uint64_t capacity_utok, uint64_t held, uint64_t room)
{
	double fill, target;

	if (capacity_utok + room == 0)
		return 0;
	fill = (double)(level_utok + held) / (double)(capacity_utok + room);
	target = fill * (double)room;
	return target > (double)held ? (uint64_t)target - held : 0;
}

bool
loom_loan_is_under_rate(const struct loom_team_bucket *team,
    struct loom_share whole, double demand_per_s)
{
	double part = (double)whole.refill / (double)LOOM_SHARE_WHOLE;

	return demand_per_s < UNDER_RATE_PART * part * team->rate_per_s;
}

/* The pool's level above which it gives plenty_max tokens in advance. */
static uint64_t
plenty_threshold(const struct loom_loan_request *request, uint64_t scarce_utok)
{
	return max_u64(
	    scarce_utok, (uint64_t)(PLENTY_PART * (double)request->spare_utok));
}

/* The most that a borrower holds in advance when tokens are plentiful. */
static uint64_t
plenty_prefetch_max_utok(
    const struct loom_loan_request *request, uint64_t team_capacity_utok)
{
	double all = request->demand_all_per_s > request->demand_per_s
	    ? request->demand_all_per_s
	    : request->demand_per_s;
	double room;

	if (all <= 0)
		return 0;
	room = CAPACITY_LENT_MAX_PART * (double)team_capacity_utok *
	    request->demand_per_s / all;
	if (room < PLENTY_TOKENS_MIN * (double)LOOM_TOKEN_UTOK)
		return 0;
	return (uint64_t)room;
}

struct loom_loan_decision
loom_loan_decide(const struct loom_team_bucket *team,
    const struct loom_loan_request *request)
{
	struct loom_loan_decision decision = { 0 };
	uint64_t whole = loom_capacity_utok(team, request->team_share.capacity);
	uint64_t low_level = (uint64_t)(SCARCE_PART * (double)whole);
	uint64_t plenty = plenty_threshold(request, low_level);
	uint64_t lent =
	    loom_capacity_utok(team, request->lent_to_others.capacity);
	uint64_t need, prefetch, plenty_max, held, lendable, left, level, room;

	held = request->held_utok;
	lendable = saturating_sub(
	    loom_capacity_utok(team, request->lendable.capacity), held);
	/*
	 * Waiting calls come first. Their tokens need a loan of capacity only
	 * if they stay in the borrower's bucket; otherwise they are used on
	 * arrival.
	 */
	need = tokens_for_waiting_calls(
	    request, min_u64(request->level_utok, lendable));
	decision.unmet_utok = request->need_utok - need;
	if (request->borrower_is_pool || need < request->first_utok)
		held += need;
	else
		decision.transit_utok = need;
	/* Capacity that may still be lent in advance. */
	left = saturating_sub(
	    saturating_sub(
		(uint64_t)(CAPACITY_LENT_MAX_PART * (double)whole), lent),
	    held);
	level = request->level_utok - need;
	decision.scarce = level <= low_level;
	decision.plenty = request->plenty && level > plenty;
	plenty_max = plenty_prefetch_max_utok(request, whole);
	prefetch = tokens_to_prefetch(
	    request, level, low_level, plenty, plenty_max, left);
	held += prefetch;
	/* The loan: refill, and capacity for it and for the tokens held. */
	room = min_u64(left - prefetch, refill_capacity_utok(team, request));
	decision.share.refill = refill_share(
	    team, request, refill_part(request->borrower_is_pool, held + room));
	if (decision.share.refill == 0)
		room = 0;
	decision.share.capacity = min_u64(
	    request->lendable.capacity, loom_capacity_parts(team, held + room));
	/*
	 * Capacity is lent together with the tokens in it; a full pool would
	 * otherwise lose those tokens with each loan.
	 */
	left = saturating_sub(request->spare_utok,
	    loom_capacity_utok(team,
		saturating_sub(
		    decision.share.capacity, request->committed.capacity)));
	/*
	 * Then fill the lent capacity: with the tokens that the pool has no
	 * capacity left for, but at least to the same fraction as the pool.
	 */
	level -= prefetch;
	room = saturating_sub(
	    loom_capacity_utok(team, decision.share.capacity), held);
	room = min_u64(room,
	    max_u64(saturating_sub(level, left),
		tokens_to_balance(level, left, held, held + room)));
	decision.added_utok = need + prefetch + min_u64(room, level);
	return decision;
}

uint64_t
loom_loan_prefetch_target_utok(double demand_per_s, bool is_pool, bool plenty)
{
	double prefetch = is_pool ? PREFETCH_POOL_S : PREFETCH_S;

	if (plenty)
		prefetch = PREFETCH_PLENTY_S;
	return (
	    uint64_t)((1 + demand_per_s * prefetch) * (double)LOOM_TOKEN_UTOK);
}

double
loom_loan_reported_demand_per_s(double average_per_s, uint64_t silent_us)
{
	if (average_per_s * (double)silent_us > SILENT_CALLS * 1e6)
		return average_per_s / SILENT_DIVISOR;
	return average_per_s;
}

uint64_t
loom_loan_retry_after_us(double rate_per_s, double refill_per_s,
    double refused_per_s, uint64_t wait_us, double unit)
{
	double window_us = RETRY_AFTER_MAX_US;
	double after_us;

	if (rate_per_s > 0 && refill_per_s > 0)
		window_us =
		    (1 / rate_per_s + refused_per_s / refill_per_s) * 1e6;
	after_us = (double)wait_us + unit * window_us;
	if (after_us > RETRY_AFTER_MAX_US)
		after_us = unit * RETRY_AFTER_MAX_US;
	return (uint64_t)after_us + 1;
}
