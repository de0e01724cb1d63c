#ifndef LOOM_CONTROL_ID_HASH_H
#define LOOM_CONTROL_ID_HASH_H

/*
 * GHashTable functions for 128-bit ids.  These are random or hashes themselves,
 * so their leading bytes serve as the hash value.
 */

#include <glib.h>
#include <string.h>

#include "loom/context.h"

static inline guint
id128_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static inline gboolean
id128_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct loom_id128)) == 0;
}

/* Selects a shard by a byte that id128_hash() does not use. */
static inline size_t
id128_shard(const struct loom_id128 *id, size_t nshards)
{
	return id->bytes[15] % nshards;
}

#endif
