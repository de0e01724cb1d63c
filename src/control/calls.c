/*
 * The calls that this daemon's upstream is running, by call id.
 */

#include <talloc.h>

#include "control/id_hash.h"
#include "loom/calls.h"

#define SHARDS 16

struct calls_shard {
	GMutex lock; /* also guards the talloc hierarchy below ctx */
	void *ctx; /* owns the calls */
	GHashTable *calls; /* struct loom_live_call by its context.call */
};

struct loom_calls {
	struct calls_shard shards[SHARDS];
};

static void
call_free(gpointer call)
{
	talloc_free(call);
}

struct loom_calls *
loom_calls_new(void)
{
	struct loom_calls *calls = talloc_zero(NULL, struct loom_calls);
	size_t i;

	for (i = 0; i < SHARDS; i++) {
		g_mutex_init(&calls->shards[i].lock);
		calls->shards[i].calls = g_hash_table_new_full(
		    id128_hash, id128_equal, NULL, call_free);
		calls->shards[i].ctx = talloc_new(NULL);
	}
	return calls;
}

void
loom_calls_free(struct loom_calls *calls)
{
	size_t i;

	if (calls == NULL)
		return;
	for (i = 0; i < SHARDS; i++) {
		g_hash_table_destroy(calls->shards[i].calls);
		talloc_free(calls->shards[i].ctx);
		g_mutex_clear(&calls->shards[i].lock);
	}
	talloc_free(calls);
}

static struct calls_shard *
shard_of(struct loom_calls *calls, const struct loom_id128 *id)
{
	return &calls->shards[id128_shard(id, SHARDS)];
}

enum loom_result
loom_calls_begin(struct loom_calls *calls, const struct loom_live_call *call)
{
	struct calls_shard *shard = shard_of(calls, &call->context.call);
	struct loom_live_call *copy;
	bool known;

	g_mutex_lock(&shard->lock);
	known = g_hash_table_contains(shard->calls, &call->context.call);
	if (!known) {
		copy = talloc_memdup(shard->ctx, call, sizeof(*call));
		g_hash_table_insert(shard->calls, &copy->context.call, copy);
	}
	g_mutex_unlock(&shard->lock);
	return known ? LOOM_CONTEXT_REPLAYED : LOOM_OK;
}

void
loom_calls_end(struct loom_calls *calls, const struct loom_id128 *id)
{
	struct calls_shard *shard = shard_of(calls, id);

	g_mutex_lock(&shard->lock);
	g_hash_table_remove(shard->calls, id);
	g_mutex_unlock(&shard->lock);
}

static bool
same_call(const struct loom_context *a, const struct loom_context *b)
{
	return a->team_id == b->team_id && id128_equal(&a->root, &b->root) &&
	    memcmp(a->key_prefix, b->key_prefix, LOOM_KEY_PREFIX_SIZE) == 0;
}

enum loom_result
loom_calls_find(struct loom_calls *calls, const struct loom_context *context,
    uint64_t now_us, struct loom_live_call *out)
{
	struct calls_shard *shard = shard_of(calls, &context->call);
	enum loom_result code = LOOM_CONTEXT_INVALID;
	const struct loom_live_call *call;

	g_mutex_lock(&shard->lock);
	call = g_hash_table_lookup(shard->calls, &context->call);
	if (call != NULL && same_call(&call->context, context)) {
		code =
		    now_us < call->deadline_us ? LOOM_OK : LOOM_CONTEXT_EXPIRED;
		if (out != NULL)
			*out = *call;
	}
	g_mutex_unlock(&shard->lock);
	return code;
}

/*
 * Locks the shard and returns the live call, or NULL if there is none.  The
 * caller unlocks the shard in either case.
 */
static struct loom_live_call *
lock_call(struct calls_shard *shard, const struct loom_id128 *id)
{
	g_mutex_lock(&shard->lock);
	return g_hash_table_lookup(shard->calls, id);
}

void
loom_calls_nested_begin(
    struct loom_calls *calls, const struct loom_id128 *id, uint64_t now_us)
{
	struct calls_shard *shard = shard_of(calls, id);
	struct loom_live_call *call = lock_call(shard, id);

	if (call != NULL && call->nested_count++ == 0)
		call->nested_since_us = now_us;
	g_mutex_unlock(&shard->lock);
}

void
loom_calls_nested_end(
    struct loom_calls *calls, const struct loom_id128 *id, uint64_t now_us)
{
	struct calls_shard *shard = shard_of(calls, id);
	struct loom_live_call *call = lock_call(shard, id);

	if (call != NULL && call->nested_count > 0 && --call->nested_count == 0)
		call->nested_us += now_us - call->nested_since_us;
	g_mutex_unlock(&shard->lock);
}

uint64_t
loom_calls_nested_us(
    struct loom_calls *calls, const struct loom_id128 *id, uint64_t now_us)
{
	struct calls_shard *shard = shard_of(calls, id);
	const struct loom_live_call *call = lock_call(shard, id);
	uint64_t nested_us = 0;

	if (call != NULL) {
		nested_us = call->nested_us;
		if (call->nested_count > 0)
			nested_us += now_us - call->nested_since_us;
	}
	g_mutex_unlock(&shard->lock);
	return nested_us;
}

size_t
loom_calls_count(struct loom_calls *calls)
{
	size_t i, n = 0;

	for (i = 0; i < SHARDS; i++) {
		g_mutex_lock(&calls->shards[i].lock);
		n += g_hash_table_size(calls->shards[i].calls);
		g_mutex_unlock(&calls->shards[i].lock);
	}
	return n;
}
