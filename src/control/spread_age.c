/*
 * How old the knowledge of this daemon is, and whom it asks to make it younger.
 *
 * A question goes to one peer each beat: to a reader, or in a large data centre
 * to one that asks a reader itself.  It names the latest changes, so that it
 * repairs lost pushes as well.  When the answers prove too little others are
 * asked, near and far, and at last the platform.
 */

#include "control/spread_private.h"
#include "loom/event.h"

/* Of those asked elsewhere: the first few ranks in turn, which read for
 * themselves before others do, then any. */
#define FIRST_RANKS 4
#define TURNS (FIRST_RANKS + 2)
/* So many are asked in the time of one beat. */
#define ELSEWHERE_PACE 3

struct loom_age_plan
loom_spread_plan(uint64_t within_us)
{
	return loom_age_plan(
	    within_us != 0 ? within_us : LOOM_SPREAD_WITHIN_US);
}

uint64_t
spread_age_ask(struct loom_spread *spread, uint64_t host_id, uint64_t now_us)
{
	uint64_t number = ++spread->last_question;

	spread->questions[number % SPREAD_QUESTIONS] = (struct spread_question){
		.number = number,
		.host_id = host_id,
		.asked_us = now_us,
	};
	return number;
}

void
spread_age_check(struct loom_spread *spread)
{
	if (spread->proof_us == 0 ||
	    spread->proof_root != spread_store_root(spread->store))
		return;
	loom_age_hold(&spread->age, spread->proof_us);
	spread->proof_us = 0;
}

/*
 * The answer's root names all that the peer held when it told its age.  What
 * of it is not held here yet has been asked for: the proof waits for it.
 */
void
spread_age_answered(struct loom_spread *spread, uint64_t host_id,
    const struct spread_have *have, uint64_t now_us)
{
	const struct spread_question *question =
	    &spread->questions[have->answers % SPREAD_QUESTIONS];
	uint64_t proof_us;

	if (have->answers == 0 || question->number != have->answers ||
	    question->host_id != host_id)
		return;
	spread->heard_us = now_us;
	if (have->age_ms == SPREAD_AGE_NEVER)
		return;
	proof_us = loom_age_proof(
	    question->asked_us, (uint64_t)have->age_ms * LOOM_US_PER_MS);
	if (proof_us <= spread->age.held_us)
		return;
	spread->proof_root = have->root;
	spread->proof_us = proof_us;
	spread_age_check(spread);
}

static uint64_t
of_rank(const struct loom_spread *spread, uint32_t rank)
{
	uint64_t id;

	if (rank >= spread->live->len)
		return 0;
	id = g_array_index(spread->live, uint64_t, rank);
	return id != spread->self.host_id ? id : 0;
}

static uint64_t
usual_target(struct loom_spread *spread)
{
	uint32_t parent = loom_spread_parent(spread->rank);

	/* A platform may be stale for all readers of a data centre. */
	if (spread->watching && spread->turn % 2 == 0)
		return spread->bridge;
	/* Readers ask each other. */
	if (parent == UINT32_MAX)
		parent = (spread->rank + 1) % LOOM_SPREAD_READERS;
	return of_rank(spread, parent);
}

static uint64_t
other_target(struct loom_spread *spread)
{
	uint32_t turn = spread->turn % TURNS;

	if (spread->live->len == 0)
		return spread_peers_seed(spread);
	if (turn < FIRST_RANKS)
		return of_rank(spread, turn);
	return turn == FIRST_RANKS ? spread_peers_local(spread)
				   : spread_peers_remote(spread);
}

static void
ask_peer(struct loom_spread *spread, uint64_t age_us, uint64_t now_us)
{
	const bool elsewhere = age_us >= spread->plan.elsewhere_us;
	uint64_t gap_us = spread->plan.beat_us;
	uint64_t target;

	if (now_us < spread->beat_us)
		return;
	if (elsewhere)
		gap_us /= ELSEWHERE_PACE;
	spread->beat_us =
	    now_us + gap_us / 2 + loom_random_below(&spread->random, gap_us);
	spread->turn++;
	target = elsewhere ? other_target(spread) : usual_target(spread);
	if (target == 0)
		target = spread_peers_local(spread);
	spread_send_summary(spread, target, true, now_us);
}

static bool
is_alone(const struct loom_spread *spread, uint64_t now_us)
{
	return now_us - spread->heard_us > spread->plan.elsewhere_us;
}

static uint64_t
read_delay_us(struct loom_spread *spread, uint64_t now_us)
{
	const struct loom_age_reader reader = {
		.rank = spread->rank,
		.readers = LOOM_SPREAD_READERS,
		.hosts = spread->live->len,
		.alone = is_alone(spread, now_us),
	};

	return loom_age_read_delay_us(&reader, &spread->plan, &spread->random);
}

/* One that watches has a call under way already. */
static void
read_self(struct loom_spread *spread, uint64_t age_us, uint64_t now_us)
{
	if (age_us < spread->plan.self_us || spread->watching) {
		spread->read_us = 0;
		return;
	}
	if (spread->read_us == 0)
		spread->read_us = now_us + read_delay_us(spread, now_us);
	if (now_us < spread->read_us)
		return;
	loom_counter_add(spread->counters.own_readings, 1);
	spread->ops->fetch(spread->arg);
	spread->read_us =
	    now_us + spread->plan.answer_us + read_delay_us(spread, now_us);
}

/* Late by a reading and the gap between two sets in force. */
static void
report(struct loom_spread *spread, uint64_t age_us, uint64_t now_us)
{
	const uint64_t limit_us =
	    spread->plan.self_us + 2 * spread->plan.answer_us;
	const bool behind = age_us > limit_us;
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", behind ? "behind" : "in touch"),
		LOOM_F_INT("age_ms", age_us / LOOM_US_PER_MS),
		LOOM_F_INT("rank", spread->rank),
		LOOM_F_BOOL("watching", spread->watching),
		LOOM_F_END,
	};

	if (behind == spread->behind)
		return;
	spread->behind = behind;
	if (loom_event_admit(NULL, now_us))
		loom_event_write(LOOM_EVENT_PLATFORM, fields);
}

void
spread_age_tick(struct loom_spread *spread, uint64_t now_us)
{
	uint64_t age_us = loom_age_us(&spread->age, now_us);

	if (!atomic_load(&spread->ready))
		return;
	if (age_us == UINT64_MAX)
		age_us = now_us - spread->started_us;
	loom_gauge_set(
	    spread->counters.age_ms, (int64_t)(age_us / LOOM_US_PER_MS));
	report(spread, age_us, now_us);
	ask_peer(spread, age_us, now_us);
	read_self(spread, age_us, now_us);
}
