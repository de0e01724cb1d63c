/*
 * Call ids of peer contexts that have arrived.
 *
 * Each id is kept until check_age() of the context would refuse it anyway,
 * so that no moment lies between the two.  The set is bounded: when it is
 * full of ids that are still good, a new call is refused rather than an old
 * one forgotten.  Expired ids are swept out when a shard has doubled, which
 * costs each id about two visits.
 */

#include <talloc.h>

#include "control/id_hash.h"
#include "loom/clock.h"

#define SHARDS 16
#define SWEEP_MIN 64
/* A full shard is swept at most this often, or each refusal would cost a
 * walk over all of it. */
#define FULL_SWEEP_US (100 * LOOM_US_PER_MS)

struct replay_entry {
	struct loom_id128 id; /* the key: first */
	uint64_t expires_us;
};

struct replay_shard {
	GMutex lock; /* of the talloc hierarchy below as well */
	void *ctx; /* owns the entries */
	GHashTable *entries; /* struct replay_entry, owned */
	uint32_t sweep_at; /* entries */
	uint64_t swept_us; /* 0 for never */
};

struct loom_replay {
	struct replay_shard shards[SHARDS];
	uint32_t shard_capacity;
};

static void
entry_free(gpointer entry)
{
	talloc_free(entry);
}

struct loom_replay *
loom_replay_new(uint32_t capacity)
{
	struct loom_replay *replay = talloc_zero(NULL, struct loom_replay);
	size_t i;

	replay->shard_capacity = MAX(capacity / SHARDS, 1);
	for (i = 0; i < SHARDS; i++) {
		g_mutex_init(&replay->shards[i].lock);
		replay->shards[i].entries = g_hash_table_new_full(
		    id128_hash, id128_equal, entry_free, NULL);
		replay->shards[i].ctx = talloc_new(NULL);
		replay->shards[i].sweep_at = SWEEP_MIN;
	}
	return replay;
}

void
loom_replay_free(struct loom_replay *replay)
{
	size_t i;

	if (replay == NULL)
		return;
	for (i = 0; i < SHARDS; i++) {
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

	if (count < shard->sweep_at && !full)
		return true;
	if (full && now_us < shard->swept_us + FULL_SWEEP_US)
		return false;
	shard->swept_us = now_us;
	g_hash_table_foreach_remove(shard->entries, entry_expired, &now_us);
	count = g_hash_table_size(shard->entries);
	shard->sweep_at = MAX(SWEEP_MIN, 2 * count);
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
loom_replay_admit(struct loom_replay *replay,
    const struct loom_context *context, uint64_t now_us)
{
	struct replay_shard *shard =
	    &replay->shards[id128_shard(&context->call, SHARDS)];
	enum loom_result code;

	g_mutex_lock(&shard->lock);
	code = admit(shard, replay->shard_capacity, context, now_us);
	g_mutex_unlock(&shard->lock);
	return code;
}
