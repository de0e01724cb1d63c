/*
 * Sizing of loans.
 *
 * Load pattern: callers of a team are spread over many daemons or sit at one,
 * and move.  If all refill stayed in the pool, each call would wait for a
 * token; if all of it were lent, the tokens would lie where no call comes.
 * So a daemon is lent most but not all of the refill that it uses up, which
 * leaves its bucket near empty and spills nothing, and asks for the rest; and
 * it holds about one token ahead, so that the next call need not wait.
 */

#include "decide/loan.h"
#include "decide/integer.h"

/* Part of its demand that a daemon is lent as refill.  At 1 or more, random
 * quiet moments fill its small bucket and the overflow is lost to the team. */
#define REFILL_LENT_PER_DEMAND 0.9
/* Refill needs room for the calls' random gaps: none is lent to a borrower
 * of fewer tokens, and all of the part above to one of so many more. */
#define REFILL_CAPACITY_MIN_TOKENS 1.5
#define REFILL_CAPACITY_RAMP_TOKENS 4.0
/* Of all refill; the rest serves daemons that ask for single tokens. */
#define REFILL_LENT_MAX_PART 0.9
/* Calls per second.  Slower daemons get tokens only: their refill would
 * mostly end as overflow. */
#define REFILL_DEMAND_MIN_PER_S 20.0
/* Of the capacity that goes out ahead of need.  The rest stays with the pool:
 * refill of the pool that finds no capacity is lost. */
#define CAPACITY_LENT_MAX_PART 0.7
/* Below this part of the pool's capacity nothing is given ahead. */
#define SCARCE_PART 0.15
/* Tokens held ahead: what comes during a round trip and its delays. */
#define PREFETCH_S 0.010
#define PREFETCH_POOL_S 0.040
/*
 * Pattern: teams far from their rate, at every daemon.  With one token ahead
 * each call costs a question and its answer, and eight such teams cost a
 * daemon 26 KB a second.  Far under the rate the pool refills at once; while
 * it has half of what it did not lend, borrowers hold what they use until the
 * next renewal.  Nearer to the rate those tokens lie where no call comes.
 */
#define PLENTY_PART 0.5
#define PREFETCH_PLENTY_S 0.25
/* A borrower's part of the lendable capacity, by demand, below which it is
 * given no more ahead.  Many borrowers of few calls each would leave nothing
 * for one another: 42% of the calls of 64 daemons at half of a rate of 500/s
 * waited in place of 1%. */
#define PLENTY_TOKENS_MIN 2.0
/* Calls this far below the rate would find the one bucket of the whole fleet
 * full now and then too: what overflows then is nobody's loss. */
#define UNDER_RATE_PART 0.7
/* Silence, in calls that should have come, after which they went away, and
 * what is still believed of the average then. */
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
	    less(LOOM_LOAN_LONGEST_US, steps_us) / (stages > 0 ? stages : 1));
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
	/* the grant may be lost, and then the older one is still in use */
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
    const struct loom_loan_request *ask, double part)
{
	double all = ask->demand_all_per_s > ask->demand_per_s
	    ? ask->demand_all_per_s
	    : ask->demand_per_s;
	double lendable, want;

	if (ask->demand_per_s < REFILL_DEMAND_MIN_PER_S ||
	    team->rate_per_s <= 0)
		return 0;
	lendable = REFILL_LENT_MAX_PART * team->rate_per_s *
	    (double)ask->team_share.refill / (double)LOOM_WHOLE;
	want = part * ask->demand_per_s;
	if (part * all > lendable)
		want = lendable * ask->demand_per_s / all;
	if (want > team->rate_per_s)
		want = team->rate_per_s;
	return min_u64(ask->lendable.refill,
	    (uint64_t)(want / team->rate_per_s * (double)LOOM_WHOLE));
}

/*
 * Room for the refill of a borrower that uses much: by its part of the
 * demand, while most of the pool's capacity is not lent.  Any other borrower
 * gets just the capacity of the tokens it is given: capacity that lies empty
 * at a borrower is missing at the pool, whose refill then overflows.
 */
static uint64_t
refill_capacity_utok(
    const struct loom_team_bucket *team, const struct loom_loan_request *ask)
{
	double all = ask->demand_all_per_s > ask->demand_per_s
	    ? ask->demand_all_per_s
	    : ask->demand_per_s;
	double room;

	if (ask->demand_per_s < REFILL_DEMAND_MIN_PER_S)
		return 0;
	room = CAPACITY_LENT_MAX_PART *
	    (double)loom_capacity_utok(team, ask->team_share.capacity) *
	    ask->demand_per_s / all;
	if (room < REFILL_CAPACITY_MIN_TOKENS * (double)LOOM_TOKEN_UTOK)
		return 0;
	return (uint64_t)room;
}

/*
 * Tokens for calls that wait: whole calls, the first may lack less.  If not
 * even that is there, the first in line gets what there is: refill at its end
 * may complete it.
 */
static uint64_t
tokens_for_waiting_calls(
    const struct loom_loan_request *ask, uint64_t usable_utok)
{
	uint64_t calls;

	if (ask->need_utok == 0)
		return 0;
	if (usable_utok < ask->first_utok)
		return ask->first_in_line ? usable_utok : 0;
	calls = (usable_utok - ask->first_utok) / LOOM_TOKEN_UTOK;
	return min_u64(
	    ask->need_utok, ask->first_utok + calls * LOOM_TOKEN_UTOK);
}

/*
 * Tokens ahead of calls: from what is above the mark, and only as long as
 * most of the capacity is not lent.  What a borrower wants only in plenty
 * comes from above the mark of plenty.
 */
static uint64_t
tokens_to_prefetch(const struct loom_loan_request *ask, uint64_t level_utok,
    uint64_t low_level_utok, uint64_t plenty_level_utok,
    uint64_t plenty_max_utok, uint64_t left_utok)
{
	uint64_t modest = less(loom_loan_prefetch_target_utok(ask->demand_per_s,
				   ask->borrower_is_pool, false),
	    ask->held_utok);
	uint64_t ahead;

	modest = min_u64(ask->prefetch_utok, modest);
	ahead = min_u64(modest, less(level_utok, low_level_utok));
	if (ask->plenty)
		ahead +=
		    min_u64(min_u64(ask->prefetch_utok - modest,
				less(plenty_max_utok, ask->held_utok + ahead)),
			less(less(level_utok, plenty_level_utok), ahead));
	return min_u64(ahead, left_utok);
}

/*
 * A borrower with room for refill and its pool fill up alike.  Otherwise one
 * of them overflows while the other still has room, and the team loses what
 * one bucket would have kept.
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
	double part = (double)whole.refill / (double)LOOM_WHOLE;

	return demand_per_s < UNDER_RATE_PART * part * team->rate_per_s;
}

/* The pool's level above which it gives more ahead. */
static uint64_t
plenty_threshold(const struct loom_loan_request *ask, uint64_t scarce_utok)
{
	return max_u64(
	    scarce_utok, (uint64_t)(PLENTY_PART * (double)ask->spare_utok));
}

/* The most that a borrower holds ahead in plenty. */
static uint64_t
plenty_prefetch_max_utok(
    const struct loom_loan_request *ask, uint64_t team_capacity_utok)
{
	double all = ask->demand_all_per_s > ask->demand_per_s
	    ? ask->demand_all_per_s
	    : ask->demand_per_s;
	double room;

	if (all <= 0)
		return 0;
	room = CAPACITY_LENT_MAX_PART * (double)team_capacity_utok *
	    ask->demand_per_s / all;
	if (room < PLENTY_TOKENS_MIN * (double)LOOM_TOKEN_UTOK)
		return 0;
	return (uint64_t)room;
}

struct loom_loan_decision
loom_loan_decide(
    const struct loom_team_bucket *team, const struct loom_loan_request *ask)
{
	struct loom_loan_decision answer = { 0 };
	uint64_t whole = loom_capacity_utok(team, ask->team_share.capacity);
	uint64_t mark = (uint64_t)(SCARCE_PART * (double)whole);
	uint64_t plenty = plenty_threshold(ask, mark);
	uint64_t lent = loom_capacity_utok(team, ask->lent_to_others.capacity);
	uint64_t need, ahead, more, held, free, left, level, room;

	held = ask->held_utok;
	free = less(loom_capacity_utok(team, ask->lendable.capacity), held);
	need = tokens_for_waiting_calls(ask, min_u64(ask->level_utok, free));
	answer.unmet_utok = ask->need_utok - need;
	if (ask->borrower_is_pool || need < ask->first_utok)
		held += need;
	else
		answer.transit_utok = need;
	left =
	    less(less((uint64_t)(CAPACITY_LENT_MAX_PART * (double)whole), lent),
		held);
	level = ask->level_utok - need;
	answer.scarce = level <= mark;
	answer.plenty = ask->plenty && level > plenty;
	more = plenty_prefetch_max_utok(ask, whole);
	ahead = tokens_to_prefetch(ask, level, mark, plenty, more, left);
	held += ahead;
	room = min_u64(left - ahead, refill_capacity_utok(team, ask));
	answer.share.refill = refill_share(
	    team, ask, refill_part(ask->borrower_is_pool, held + room));
	if (answer.share.refill == 0)
		room = 0;
	answer.share.capacity = min_u64(
	    ask->lendable.capacity, loom_capacity_parts(team, held + room));
	/* lent capacity goes with the tokens that it holds, or a full pool
	 * would lose them at each loan */
	left = less(ask->spare_utok,
	    loom_capacity_utok(
		team, less(answer.share.capacity, ask->committed.capacity)));
	level -= ahead;
	room = less(loom_capacity_utok(team, answer.share.capacity), held);
	room = min_u64(room,
	    max_u64(less(level, left),
		tokens_to_balance(level, left, held, held + room)));
	answer.added_utok = need + ahead + min_u64(room, level);
	return answer;
}

uint64_t
loom_loan_prefetch_target_utok(double demand_per_s, bool is_pool, bool plenty)
{
	double ahead = is_pool ? PREFETCH_POOL_S : PREFETCH_S;

	if (plenty)
		ahead = PREFETCH_PLENTY_S;
	return (uint64_t)((1 + demand_per_s * ahead) * (double)LOOM_TOKEN_UTOK);
}

double
loom_loan_reported_demand_per_s(double average_per_s, uint64_t silent_us)
{
	if (average_per_s * (double)silent_us > SILENT_CALLS * 1e6)
		return average_per_s / SILENT_DIVISOR;
	return average_per_s;
}

uint64_t
loom_loan_retry_after_us(
    double refill_per_s, double refused_per_s, uint64_t wait_us, double unit)
{
	double window_us = RETRY_AFTER_MAX_US;
	double after_us;

	if (refill_per_s > 0)
		window_us = (1 + refused_per_s) / refill_per_s * 1e6;
	after_us = (double)wait_us + unit * window_us;
	if (after_us > RETRY_AFTER_MAX_US)
		after_us = unit * RETRY_AFTER_MAX_US;
	return (uint64_t)after_us + 1;
}
