/*
 * The gossip protocol's creation, ticks and hooks for its owner.
 */

#include "control/spread_private.h"

#define TICK_US (100 * LOOM_US_PER_MS)
/* Minimum interval between pushes; one message then announces many changes. */
#define PUSH_INTERVAL_US (200 * LOOM_US_PER_MS)
/* A tick this late means that the process was paused. */
#define PAUSE_THRESHOLD_US (2 * LOOM_US_PER_S)

/*
 * Returns whether this daemon pushes a change to all its neighbours.  All
 * readers of a data centre get a change from the platform at about the same
 * time, so each name is assigned to one reader that pushes it to all.  The
 * others notify only their first neighbour, which is enough if the assigned
 * reader is gone; if each notified all, a reader would send each value twice or
 * more and need a sixth more bandwidth.
 */
static bool
pushes_to_all(const struct loom_spread *spread, uint64_t id)
{
	return !spread->watching || spread->rank >= LOOM_SPREAD_READERS ||
	    id % LOOM_SPREAD_READERS == spread->rank;
}

static void
push_changes(struct loom_spread *spread, uint64_t now_us)
{
	struct spread_have for_first = { .kind = SPREAD_PUSH };
	struct spread_have for_all = { .kind = SPREAD_PUSH };
	struct spread_id change;
	uint32_t count, i;
	uint64_t id;

	if (spread->push_queue->len == 0 ||
	    now_us - spread->last_push_us < PUSH_INTERVAL_US)
		return;
	spread->last_push_us = now_us;
	count = MIN(spread->push_queue->len, SPREAD_HAVE_IDS_MAX);
	for (i = 0; i < count; i++) {
		id = g_array_index(spread->push_queue, uint64_t, i);
		change = spread_id_of(spread_store_find(spread->store, id));
		for_first.ids[for_first.nids++] = change;
		if (pushes_to_all(spread, id))
			for_all.ids[for_all.nids++] = change;
	}
	g_array_remove_range(spread->push_queue, 0, count);
	if (spread->nneighbours > 0)
		spread_send_have(
		    spread, spread->neighbours[0], &for_first, now_us);
	if (for_all.nids == 0)
		return;
	for (i = 1; i < spread->nneighbours; i++)
		spread_send_have(
		    spread, spread->neighbours[i], &for_all, now_us);
	/* Readers also notify one daemon of another data centre, whose own
	 * readers may all be cut off or gone. */
	if (spread->watching)
		spread_send_have(spread, spread->remote_peer, &for_all, now_us);
}

/* Queries several peers at once, while starting or after a pause.  Each replies
 * with its root and its latest ids. */
static void
query_peers(struct loom_spread *spread, uint64_t now_us)
{
	spread_send_summary(
	    spread, spread_peers_random_seed(spread), true, now_us);
	spread_send_summary(
	    spread, spread_peers_random_local(spread), true, now_us);
	spread_send_summary(
	    spread, spread_peers_random_remote(spread), true, now_us);
}

/* While starting, reads the platform first, since peers then need to send only
 * what it lacks, and queries peers until ready. */
static void
startup_tick(struct loom_spread *spread, uint64_t now_us)
{
	spread_fetch_while_starting(spread, now_us);
	if (now_us < spread->next_startup_query_us)
		return;
	if (spread->next_startup_query_us != 0)
		query_peers(spread, now_us);
	spread->next_startup_query_us = now_us +
	    SPREAD_STARTUP_INTERVAL_US / 2 +
	    loom_random_below(&spread->random, SPREAD_STARTUP_INTERVAL_US);
}

static void
on_tick(void *part, uint64_t now_us)
{
	struct loom_spread *spread = part;

	if (spread->last_tick_us != 0 &&
	    now_us - spread->last_tick_us > PAUSE_THRESHOLD_US) {
		/* Much may have changed meanwhile: catch up at once. */
		spread->last_exchange_us = 0;
		query_peers(spread, now_us);
		spread->ops->fetch(spread->arg);
	}
	spread->last_tick_us = now_us;
	spread_peers_rotate(spread, now_us);
	spread_pull_tick(spread, now_us);
	spread_apply_tick(spread, now_us);
	push_changes(spread, now_us);
	spread_age_tick(spread, now_us);
	if (atomic_load(&spread->ready))
		spread_update_role(spread);
	else
		startup_tick(spread, now_us);
}

static void
on_hosts(void *part, struct loom_hosts *hosts, uint64_t now_us)
{
	(void)now_us;
	spread_peers_set(part, hosts);
}

void
loom_spread_platform_value(struct loom_spread *spread, const char *name,
    uint64_t revision, const char *text, size_t len, uint64_t now_us)
{
	spread_receive_value(
	    spread, SPREAD_FROM_PLATFORM, name, revision, text, len, now_us);
}

void
loom_spread_platform_answered(struct loom_spread *spread,
    enum loom_spread_kind kind, uint64_t sent_us, uint64_t now_us)
{
	uint64_t oldest_us = sent_us;
	unsigned i;

	if (spread->answered_us[kind] == 0)
		spread->first_answer_us[kind] = now_us;
	spread->answered_us[kind] = now_us;
	spread->sent_us[kind] = sent_us;
	for (i = 0; i < LOOM_SPREAD_KINDS; i++)
		oldest_us = MIN(oldest_us, spread->sent_us[i]);
	loom_age_advance(&spread->age, oldest_us);
}

uint64_t
loom_spread_age_us(const struct loom_spread *spread, uint64_t now_us)
{
	return loom_age_us(&spread->age, now_us);
}

const struct loom_spread_item *
loom_spread_find(const struct loom_spread *spread, const char *name)
{
	return spread_store_find(spread->store, loom_name_id(name));
}

static void
register_counters(struct spread_counters *counters)
{
	counters->accepted = loom_counter("loom_spread_accepted_total", NULL,
	    "Versions newer than the one held.");
	counters->old = loom_counter("loom_spread_old_total", NULL,
	    "Copies not newer than the one held.");
	counters->refused = loom_counter("loom_spread_refused_total", NULL,
	    "Copies refused for their signature or content.");
	counters->malformed = loom_counter("loom_spread_malformed_total", NULL,
	    "Messages of the spread that do not decode.");
	counters->exchanges = loom_counter("loom_spread_exchanges_total", NULL,
	    "Comparisons of whole stores that were started.");
	counters->held_back = loom_counter("loom_spread_held_back_total", NULL,
	    "Requests for values not served: sent to that peer a moment ago.");
	counters->own_readings = loom_counter("loom_spread_own_readings_total",
	    NULL, "Readings of the platform for want of a peer that knows.");
	counters->age_ms = loom_gauge("loom_spread_age_milliseconds", NULL,
	    "How old the knowledge of documents and hosts is.");
	counters->bad_set = loom_counter("loom_spread_bad_sets_total", NULL,
	    "Sets of versions that do not join and were not put in force.");
}

static int
spread_destroy(struct loom_spread *spread)
{
	spread_pull_free(spread);
	spread_apply_free(spread);
	g_array_free(spread->local, TRUE);
	g_array_free(spread->live, TRUE);
	g_array_free(spread->remote, TRUE);
	g_array_free(spread->push_queue, TRUE);
	return 0;
}

struct loom_spread *
loom_spread_new(TALLOC_CTX *mem_ctx, const struct loom_spread_options *options,
    const struct loom_spread_ops *ops, void *arg, uint64_t now_us)
{
	struct loom_spread *spread = talloc_zero(mem_ctx, struct loom_spread);

	if (spread == NULL)
		return NULL;
	spread->self = options->self;
	spread->sender = options->sender;
	spread->random = options->random;
	spread->ops = ops;
	spread->arg = arg;
	spread->platform_is_current = options->platform_is_current;
	spread->timing = loom_spread_timing(options->within_us);
	spread->started_us = now_us;
	spread->nseeds = options->nseeds;
	spread->seeds = talloc_memdup(
	    spread, options->seeds, options->nseeds * sizeof(uint64_t));
	spread->local = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	spread->live = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	spread->remote = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	spread->push_queue = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	spread_pull_init(spread);
	spread->send_limit = send_limit_new(spread);
	spread_apply_init(spread);
	register_counters(&spread->counters);
	talloc_set_destructor(spread, spread_destroy);
	spread->store = spread_store_new(spread, ops, arg);
	if (spread->store == NULL || spread->send_limit == NULL)
		TALLOC_FREE(spread);
	return spread;
}

const struct loom_component_ops loom_spread_part = {
	.name = "spread",
	.first_type = SPREAD_HAVE,
	.last_type = SPREAD_LAST,
	.tick_us = TICK_US,
	.message = spread_handle_message,
	.tick = on_tick,
	.hosts_changed = on_hosts,
};
