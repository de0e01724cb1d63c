/*
 * Replay protection: the call ids of received peer contexts.
 *
 * Each id is kept until check_age() would reject its context anyway, so that
 * there is no gap between the two checks. The set is bounded. When it is full
 * of valid ids, a new call is refused, because forgetting an old id would
 * permit its replay. A shard removes expired ids when its size has doubled
 * since the last sweep, so each id is visited about twice.
 */

#include <talloc.h>

#include "control/id_hash.h"
#include "loom/clock.h"

#define SHARD_COUNT 16
#define SWEEP_MIN_ENTRIES 64
/*
 * Minimum interval between sweeps of a full shard; otherwise each refusal would
 * scan the whole shard.
 */
#define FULL_SWEEP_INTERVAL_US (100 * LOOM_US_PER_MS)

struct replay_entry {
	struct loom_id128 id; /* the key, must be first */
	uint64_t expires_us;
};

struct replay_shard {
	GMutex lock; /* also protects the talloc hierarchy under ctx */
	void *ctx; /* owns the entries */
	GHashTable *entries; /* struct replay_entry, owned */
	uint32_t sweep_threshold; /* number of entries */
	uint64_t last_sweep_us; /* 0 for never */
};

struct loom_replay_set {
	struct replay_shard shards[SHARD_COUNT];
	uint32_t shard_capacity;
};

static void
entry_free(gpointer entry)
{
	talloc_free(entry);
}

struct loom_replay_set *
loom_replay_set_new(uint32_t capacity)
{
	struct loom_replay_set *replay =
	    talloc_zero(NULL, struct loom_replay_set);
	size_t i;

	replay->shard_capacity = MAX(capacity / SHARD_COUNT, 1);
	for (i = 0; i < SHARD_COUNT; i++) {
		g_mutex_init(&replay->shards[i].lock);
		replay->shards[i].entries = g_hash_table_new_full(
		    id128_hash, id128_equal, entry_free, NULL);
		replay->shards[i].ctx = talloc_new(NULL);
		replay->shards[i].sweep_threshold = SWEEP_MIN_ENTRIES;
	}
	return replay;
}

void
loom_replay_set_free(struct loom_replay_set *replay)
{
	size_t i;

	if (replay == NULL)
		return;
	for (i = 0; i < SHARD_COUNT; i++) {
		g_hash_table_destroy(replay->shards[i].entries);
		talloc_free(replay->shards[i].ctx);
		g_mutex_clear(&replay->shards[i].lock);
	}
	talloc_free(replay);
}

static gboolean
entry_expired(gpointer key, gpointer value, gpointer now_us)
{
	const struct replay_entry *entry = key;

	(void)value;
	return entry->expires_us < *(uint64_t *)now_us;
}

static bool
make_room(struct replay_shard *shard, uint32_t capacity, uint64_t now_us)
{
	uint32_t count = g_hash_table_size(shard->entries);
	bool full = count >= capacity;

	if (count < shard->sweep_threshold && !full)
		return true;
	if (full && now_us < shard->last_sweep_us + FULL_SWEEP_INTERVAL_US)
		return false;
	shard->last_sweep_us = now_us;
	g_hash_table_foreach_remove(shard->entries, entry_expired, &now_us);
	count = g_hash_table_size(shard->entries);
	shard->sweep_threshold = MAX(SWEEP_MIN_ENTRIES, 2 * count);
	return count < capacity;
}

static enum loom_result
admit(struct replay_shard *shard, uint32_t capacity,
    const struct loom_context *context, uint64_t now_us)
{
	struct replay_entry *entry;

	if (g_hash_table_contains(shard->entries, &context->call))
		return LOOM_CONTEXT_REPLAYED;
	if (!make_room(shard, capacity, now_us))
		return LOOM_OVERLOAD;
	entry = talloc_zero(shard->ctx, struct replay_entry);
	entry->id = context->call;
	entry->expires_us = context->audience_stamp_us + context->remaining_us +
	    LOOM_CLOCK_SKEW_US;
	g_hash_table_add(shard->entries, entry);
	return LOOM_OK;
}

enum loom_result
loom_replay_set_admit(struct loom_replay_set *replay,
    const struct loom_context *context, uint64_t now_us)
{
	struct replay_shard *shard =
	    &replay->shards[id128_shard(&context->call, SHARD_COUNT)];
	enum loom_result code;

	g_mutex_lock(&shard->lock);
	code = admit(shard, replay->shard_capacity, context, now_us);
	g_mutex_unlock(&shard->lock);
	return code;
}
