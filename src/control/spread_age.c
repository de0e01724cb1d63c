/*
 * Age of this daemon's data, and the queries that keep it low.
 *
 * Once per interval a query goes to one peer: to a reader, or in a large data
 * centre to a peer that queries a reader itself.  It lists the latest changes,
 * so that it repairs lost pushes as well.  If the replies do not keep the age
 * low enough, other peers are queried, near and far, and at last the platform
 * is read.
 */

#include "control/spread_private.h"
#include "loom/event.h"

/*
 * Targets at a high age, in turn: the daemons of the first ranks, which read
 * the platform before others do, then a random one of the data centre and a
 * random one of the others.
 */
#define FIRST_RANKS 4
#define WIDE_ROUNDS (FIRST_RANKS + 2)
/* At a high age, so many queries are sent per usual interval. */
#define WIDE_QUERY_RATE 3

struct loom_age_timing
loom_spread_timing(uint64_t within_us)
{
	return loom_age_timing(
	    within_us != 0 ? within_us : LOOM_SPREAD_WITHIN_DEFAULT_US);
}

uint64_t
spread_age_note_query(
    struct loom_spread *spread, uint64_t host_id, uint64_t now_us)
{
	uint64_t number = ++spread->last_query_number;

	spread->queries[number % SPREAD_QUERIES_MAX] = (struct spread_query){
		.number = number,
		.host_id = host_id,
		.asked_us = now_us,
	};
	return number;
}

void
spread_age_update(struct loom_spread *spread)
{
	if (spread->pending_as_of_us == 0 ||
	    spread->pending_root != spread_store_root(spread->store))
		return;
	loom_age_advance(&spread->age, spread->pending_as_of_us);
	spread->pending_as_of_us = 0;
}

/*
 * The reply's root covers all that the peer held when it stated its age, which
 * proves that this data was complete up to as_of_us.  What is missing of it
 * here has been requested already, so the time is recorded once the store has
 * the same root.
 */
void
spread_age_note_reply(struct loom_spread *spread, uint64_t host_id,
    const struct spread_have *have, uint64_t now_us)
{
	const struct spread_query *query =
	    &spread->queries[have->in_reply_to % SPREAD_QUERIES_MAX];
	uint64_t as_of_us;

	if (have->in_reply_to == 0 || query->number != have->in_reply_to ||
	    query->host_id != host_id)
		return;
	spread->last_reply_us = now_us;
	if (have->age_ms == SPREAD_AGE_UNKNOWN)
		return;
	as_of_us = loom_age_peer_as_of_us(
	    query->asked_us, (uint64_t)have->age_ms * LOOM_US_PER_MS);
	if (as_of_us <= spread->age.as_of_us)
		return;
	spread->pending_root = have->root;
	spread->pending_as_of_us = as_of_us;
	spread_age_update(spread);
}

static uint64_t
host_at_rank(const struct loom_spread *spread, uint32_t rank)
{
	uint64_t id;

	if (rank >= spread->live->len)
		return 0;
	id = g_array_index(spread->live, uint64_t, rank);
	return id != spread->self.host_id ? id : 0;
}

static uint64_t
default_target(struct loom_spread *spread)
{
	uint32_t parent = loom_spread_parent(spread->rank);

	/* Readers query another data centre every other time, since the
	 * platform may be stale for all readers of a data centre. */
	if (spread->watching && spread->query_round % 2 == 0)
		return spread->remote_peer;
	/* Readers query each other. */
	if (parent == UINT32_MAX)
		parent = (spread->rank + 1) % LOOM_SPREAD_READERS;
	return host_at_rank(spread, parent);
}

static uint64_t
wide_target(struct loom_spread *spread)
{
	uint32_t query_round = spread->query_round % WIDE_ROUNDS;

	if (spread->live->len == 0)
		return spread_peers_random_seed(spread);
	if (query_round < FIRST_RANKS)
		return host_at_rank(spread, query_round);
	return query_round == FIRST_RANKS ? spread_peers_random_local(spread)
					  : spread_peers_random_remote(spread);
}

static void
query_peer(struct loom_spread *spread, uint64_t age_us, uint64_t now_us)
{
	const bool wide = age_us >= spread->timing.wide_query_age_us;
	uint64_t interval_us = spread->timing.query_interval_us;
	uint64_t target;

	if (now_us < spread->next_query_us)
		return;
	if (wide)
		interval_us /= WIDE_QUERY_RATE;
	spread->next_query_us = now_us + interval_us / 2 +
	    loom_random_below(&spread->random, interval_us);
	spread->query_round++;
	target = wide ? wide_target(spread) : default_target(spread);
	if (target == 0)
		target = spread_peers_random_local(spread);
	spread_send_summary(spread, target, true, now_us);
}

static bool
is_isolated(const struct loom_spread *spread, uint64_t now_us)
{
	return now_us - spread->last_reply_us >
	    spread->timing.wide_query_age_us;
}

static uint64_t
read_delay_us(struct loom_spread *spread, uint64_t now_us)
{
	const struct loom_age_reader reader = {
		.rank = spread->rank,
		.nreaders = LOOM_SPREAD_READERS,
		.nhosts = spread->live->len,
		.isolated = is_isolated(spread, now_us),
	};

	return loom_age_read_delay_us(
	    &reader, &spread->timing, &spread->random);
}

/* Reads the platform at a high age.  A daemon that watches it has a call in
 * progress already. */
static void
read_platform(struct loom_spread *spread, uint64_t age_us, uint64_t now_us)
{
	if (age_us < spread->timing.platform_read_age_us || spread->watching) {
		spread->next_read_us = 0;
		return;
	}
	if (spread->next_read_us == 0)
		spread->next_read_us = now_us + read_delay_us(spread, now_us);
	if (now_us < spread->next_read_us)
		return;
	loom_counter_add(spread->counters.own_readings, 1);
	spread->ops->fetch(spread->arg);
	spread->next_read_us =
	    now_us + spread->timing.answer_us + read_delay_us(spread, now_us);
}

/*
 * Logs when the age passes a limit and when it is below it again.  The limit is
 * the age that triggers a read of the platform, plus the time for that read and
 * for applying its result.
 */
static void
log_staleness(struct loom_spread *spread, uint64_t age_us, uint64_t now_us)
{
	const uint64_t limit_us =
	    spread->timing.platform_read_age_us + 2 * spread->timing.answer_us;
	const bool stale = age_us > limit_us;
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", stale ? "behind" : "in touch"),
		LOOM_F_INT("age_ms", age_us / LOOM_US_PER_MS),
		LOOM_F_INT("rank", spread->rank),
		LOOM_F_BOOL("watching", spread->watching),
		LOOM_F_END,
	};

	if (stale == spread->reported_stale)
		return;
	spread->reported_stale = stale;
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
	log_staleness(spread, age_us, now_us);
	query_peer(spread, age_us, now_us);
	read_platform(spread, age_us, now_us);
}
