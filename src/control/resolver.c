/*
 * A host's control address has three sources, which may disagree after a host
 * was replaced.  An address that was pinned always wins.  Next comes an address
 * that the host itself sent recently, since the host list lags behind; then the
 * host list; and then an older address from the host, which may have moved
 * since.
 */

#include <glib.h>

#include "control/resolver.h"
#include "loom/clock.h"
#include "loom/inner.h"

#define LEARNED_FRESH_US (60 * LOOM_US_PER_S)
/* Twice a fleet of 17,000 hosts; takes about 4 MB. */
#define LEARNED_MAX 34000

struct learned {
	uint64_t host_id; /* key */
	uint64_t learned_us;
	char address[LOOM_ADDRESS_SIZE];
};

struct resolver {
	GHashTable *learned; /* host id to struct learned */
	GHashTable *pinned; /* host id to struct learned */
	struct loom_hosts *hosts; /* acquired; NULL until the first list */
};

static int
resolver_destroy(struct resolver *resolver)
{
	g_hash_table_destroy(resolver->learned);
	g_hash_table_destroy(resolver->pinned);
	if (resolver->hosts != NULL)
		loom_hosts_release(resolver->hosts);
	return 0;
}

static GHashTable *
table_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

struct resolver *
resolver_new(TALLOC_CTX *mem_ctx)
{
	struct resolver *resolver = talloc_zero(mem_ctx, struct resolver);

	if (resolver == NULL)
		return NULL;
	resolver->learned = table_new();
	resolver->pinned = table_new();
	talloc_set_destructor(resolver, resolver_destroy);
	return resolver;
}

static void
store_address(
    GHashTable *table, uint64_t host_id, const char *address, uint64_t now_us)
{
	struct learned *entry = g_hash_table_lookup(table, &host_id);

	if (entry == NULL) {
		entry = g_new0(struct learned, 1);
		entry->host_id = host_id;
		g_hash_table_insert(table, &entry->host_id, entry);
	}
	entry->learned_us = now_us;
	g_strlcpy(entry->address, address, sizeof(entry->address));
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct learned *entry = value;
	const uint64_t *now_us = arg;

	(void)key;
	return *now_us - entry->learned_us > LEARNED_FRESH_US;
}

void
resolver_learn(struct resolver *resolver, uint64_t host_id, const char *address,
    uint64_t now_us)
{
	if (g_hash_table_size(resolver->learned) >= LEARNED_MAX)
		g_hash_table_foreach_remove(
		    resolver->learned, is_expired, &now_us);
	if (g_hash_table_size(resolver->learned) < LEARNED_MAX)
		store_address(resolver->learned, host_id, address, now_us);
}

void
resolver_pin(struct resolver *resolver, uint64_t host_id, const char *address)
{
	store_address(resolver->pinned, host_id, address, 0);
}

void
resolver_set_hosts(struct resolver *resolver, struct loom_hosts *hosts)
{
	if (resolver->hosts != NULL)
		loom_hosts_release(resolver->hosts);
	resolver->hosts = loom_hosts_acquire(hosts);
}

const char *
resolver_find(
    const struct resolver *resolver, uint64_t host_id, uint64_t now_us)
{
	const struct learned *learned, *pinned;
	const struct loom_host *host = NULL;

	pinned = g_hash_table_lookup(resolver->pinned, &host_id);
	if (pinned != NULL)
		return pinned->address;
	learned = g_hash_table_lookup(resolver->learned, &host_id);
	if (learned != NULL && now_us - learned->learned_us <= LEARNED_FRESH_US)
		return learned->address;
	if (resolver->hosts != NULL)
		host = loom_hosts_find(resolver->hosts, host_id);
	if (host != NULL && host->control[0] != '\0')
		return host->control;
	return learned != NULL ? learned->address : NULL;
}
