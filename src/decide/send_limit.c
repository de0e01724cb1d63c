/*
 * Limit on repeated sending of values; see the header.
 */

#include <glib.h>

#include "decide/send_limit.h"
#include "loom/clock.h"

/* Well below the interval at which a peer repeats a request that got lost. */
#define REPEAT_US (100 * LOOM_US_PER_MS)
#define REPEAT_MAX_US (30 * LOOM_US_PER_S)
/* Entries are forgotten once they would no longer refuse anything. */
#define SWEEP_INTERVAL_US (2 * REPEAT_MAX_US)

struct sending {
	uint64_t peer_id; /* with value_id the key */
	uint64_t value_id;
	uint64_t digest; /* of the version sent last */
	uint64_t sent_us;
	uint64_t repeat_us; /* before it may be sent again */
};

struct send_limit {
	GHashTable *sendings;
	uint64_t next_sweep_us;
};

static guint
hash_sending(gconstpointer key)
{
	const struct sending *sending = key;

	return g_int64_hash(&sending->peer_id) ^
	    g_int64_hash(&sending->value_id);
}

static gboolean
equal_sendings(gconstpointer a, gconstpointer b)
{
	const struct sending *left = a, *right = b;

	return left->peer_id == right->peer_id &&
	    left->value_id == right->value_id;
}

static int
send_limit_destroy(struct send_limit *limit)
{
	g_hash_table_unref(limit->sendings);
	return 0;
}

struct send_limit *
send_limit_new(TALLOC_CTX *mem_ctx)
{
	struct send_limit *limit = talloc_zero(mem_ctx, struct send_limit);

	if (limit == NULL)
		return NULL;
	limit->sendings =
	    g_hash_table_new_full(hash_sending, equal_sendings, g_free, NULL);
	talloc_set_destructor(limit, send_limit_destroy);
	return limit;
}

static void
sweep(struct send_limit *limit, uint64_t now_us)
{
	const struct sending *sending;
	GHashTableIter iter;
	gpointer key;

	if (now_us < limit->next_sweep_us)
		return;
	limit->next_sweep_us = now_us + SWEEP_INTERVAL_US;
	g_hash_table_iter_init(&iter, limit->sendings);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		sending = key;
		if (now_us - sending->sent_us > REPEAT_MAX_US)
			g_hash_table_iter_remove(&iter);
	}
}

bool
send_limit_admit(struct send_limit *limit, uint64_t peer_id, uint64_t value_id,
    uint64_t digest, uint64_t now_us)
{
	const struct sending wanted = {
		.peer_id = peer_id,
		.value_id = value_id,
		.digest = digest,
		.sent_us = now_us,
		.repeat_us = REPEAT_US,
	};
	struct sending *sending;

	sweep(limit, now_us);
	sending = g_hash_table_lookup(limit->sendings, &wanted);
	if (sending == NULL) {
		g_hash_table_add(
		    limit->sendings, g_memdup2(&wanted, sizeof(wanted)));
		return true;
	}
	if (sending->digest != digest) {
		*sending = wanted;
		return true;
	}
	if (now_us - sending->sent_us < sending->repeat_us)
		return false;
	sending->sent_us = now_us;
	sending->repeat_us = MIN(2 * sending->repeat_us, REPEAT_MAX_US);
	return true;
}
