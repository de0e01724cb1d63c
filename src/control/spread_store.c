/*
 * Store of the newest versions.
 *
 * Each item's id, number and digest are hashed to 64 bits.  A bucket's digest
 * is the exclusive or of its items' hashes, so that a change updates it with
 * two operations and the order of arrival does not matter.  Peers are
 * authenticated, so the hash need not resist forgery.
 */

#include <string.h>

#include "control/spread_store.h"

/* The most recent arrivals are remembered for summaries. */
#define RECENT_MAX 64

struct arrival {
	uint64_t id;
	uint64_t arrived_us;
};

struct spread_store {
	const struct loom_spread_ops *ops; /* borrowed */
	void *arg; /* borrowed */
	GHashTable *items; /* id: struct loom_spread_item */
	uint64_t buckets[SPREAD_NBUCKETS];
	struct arrival recent[RECENT_MAX]; /* ring buffer */
	uint64_t narrivals;
};

static void
item_release_value(struct spread_store *store, struct loom_spread_item *item)
{
	g_free(item->text);
	g_clear_pointer(&item->compressed, g_free);
	if (item->object != NULL)
		store->ops->release(store->arg, item->kind, item->object);
}

static int
store_destroy(struct spread_store *store)
{
	struct loom_spread_item *item;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		item = value;
		item_release_value(store, item);
		g_free(item->name);
		g_free(item);
	}
	g_hash_table_destroy(store->items);
	return 0;
}

struct spread_store *
spread_store_new(
    TALLOC_CTX *mem_ctx, const struct loom_spread_ops *ops, void *arg)
{
	struct spread_store *store = talloc_zero(mem_ctx, struct spread_store);

	if (store == NULL)
		return NULL;
	store->ops = ops;
	store->arg = arg;
	store->items = g_hash_table_new(g_int64_hash, g_int64_equal);
	talloc_set_destructor(store, store_destroy);
	return store;
}

struct loom_spread_item *
spread_store_find(const struct spread_store *store, uint64_t id)
{
	return g_hash_table_lookup(store->items, &id);
}

static uint64_t
digest_word(const uint8_t *digest)
{
	uint64_t word = 0;
	unsigned i;

	for (i = 0; i < sizeof(word); i++)
		word = word << 8 | digest[i];
	return word;
}

struct spread_id
spread_id_of(const struct loom_spread_item *item)
{
	return (struct spread_id){
		.id = item->id,
		.number = item->version.number,
		.digest = digest_word(item->version.digest),
	};
}

static uint64_t
mix_bits(uint64_t x)
{
	x = (x ^ x >> 32) * UINT64_C(0xd6e8feb86659fd93);
	x = (x ^ x >> 32) * UINT64_C(0xd6e8feb86659fd93);
	return x ^ x >> 32;
}

static void
toggle_digest(struct spread_store *store, const struct loom_spread_item *item)
{
	struct spread_id id = spread_id_of(item);
	uint64_t hash =
	    mix_bits(mix_bits(mix_bits(id.id) + id.number) + id.digest);

	store->buckets[id.id % SPREAD_NBUCKETS] ^= hash;
}

static void
note_arrival(struct spread_store *store, uint64_t id, uint64_t now_us)
{
	struct arrival *arrival =
	    &store->recent[store->narrivals++ % RECENT_MAX];

	arrival->id = id;
	arrival->arrived_us = now_us;
}

static struct loom_spread_item *
item_new(struct spread_store *store, enum loom_spread_kind kind,
    const char *name, uint64_t id)
{
	struct loom_spread_item *item = g_new0(struct loom_spread_item, 1);

	item->id = id;
	item->name = g_strdup(name);
	item->kind = kind;
	g_hash_table_insert(store->items, &item->id, item);
	return item;
}

bool
spread_store_put(struct spread_store *store, enum loom_spread_kind kind,
    const char *name, const struct loom_spread_version *version,
    const char *text, size_t len, void *object, uint64_t now_us)
{
	uint64_t id = loom_name_id(name);
	struct loom_spread_item *item = spread_store_find(store, id);

	if (item != NULL) {
		/* A version is never replaced by an older one, which a stale
		 * platform or peer may send at any time. */
		if (loom_spread_compare(version, &item->version) <= 0)
			return false;
		toggle_digest(store, item);
		item_release_value(store, item);
	} else {
		item = item_new(store, kind, name, id);
	}
	item->version = *version;
	item->text = g_memdup2(text, len);
	item->len = len;
	item->object = object;
	item->received_us = now_us;
	toggle_digest(store, item);
	note_arrival(store, id, now_us);
	return true;
}

GPtrArray *
spread_store_items(const struct spread_store *store, enum loom_spread_kind kind)
{
	GPtrArray *items = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct loom_spread_item *)value)->kind == kind)
			g_ptr_array_add(items, value);
	}
	return items;
}

uint64_t
spread_store_root(const struct spread_store *store)
{
	uint64_t root = 0;
	unsigned i;

	for (i = 0; i < SPREAD_NBUCKETS; i++)
		root ^= store->buckets[i];
	return root;
}

const uint64_t *
spread_store_buckets(const struct spread_store *store)
{
	return store->buckets;
}

void
spread_store_list(const struct spread_store *store, uint64_t mask, GArray *ids)
{
	GHashTableIter iter;
	struct spread_id id;
	gpointer value;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		id = spread_id_of(value);
		if (mask >> id.id % SPREAD_NBUCKETS & 1)
			g_array_append_val(ids, id);
	}
}

uint32_t
spread_store_recent(const struct spread_store *store, uint64_t since_us,
    struct spread_id *out, uint32_t max)
{
	const struct arrival *arrival;
	uint64_t left = MIN(store->narrivals, RECENT_MAX);
	uint32_t n = 0;

	while (left-- > 0 && n < max) {
		arrival = &store->recent[(store->narrivals -
					     MIN(store->narrivals, RECENT_MAX) +
					     left) %
		    RECENT_MAX];
		if (arrival->arrived_us < since_us)
			break;
		out[n++] = spread_id_of(spread_store_find(store, arrival->id));
	}
	return n;
}

int
spread_store_compare(
    const struct spread_store *store, const struct spread_id *id)
{
	const struct loom_spread_item *item = spread_store_find(store, id->id);
	uint64_t digest;

	if (item == NULL)
		return -1;
	if (item->version.number != id->number)
		return item->version.number < id->number ? -1 : 1;
	digest = digest_word(item->version.digest);
	if (digest == id->digest)
		return 0;
	return digest < id->digest ? -1 : 1;
}
