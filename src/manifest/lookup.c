/*
 * Lookups in a manifest.  The index is built once per manifest and is
 * read-only afterwards, so that all threads use it without a lock.
 *
 * One hash table maps (host, path, is_prefix) to the routes of that path, which
 * form a linked list.  The longest matching prefix is found by trying each
 * length that a declared prefix has, longest first.  The number of lookups
 * therefore depends on the number of distinct lengths, not of routes.
 */

#include <sodium.h>
#include <string.h>

#include "manifest/internal.h"

/* The key of a path in the hash table; its texts need no terminating zero. */
struct path_key {
	const char *host; /* borrowed, like text */
	size_t host_len; /* 0: matches any host */
	const char *text;
	size_t len;
	bool is_prefix;
};

struct loom_manifest_index {
	/* struct path_key to the first route in the list of its path */
	GHashTable *paths;
	struct path_key *path_keys; /* owned: one per route */
	/* by route: the next route of the same path; NULL ends the list */
	const struct loom_route **next_same_path;
	GArray *prefix_lengths; /* of size_t, descending, distinct */
	GHashTable *route_names; /* to struct loom_route */
	GHashTable *service_names; /* to struct loom_service */
	GHashTable *team_ids; /* uint64_t to struct loom_team */
};

static guint
hash_path(gconstpointer key)
{
	const struct path_key *path = key;
	guint hash = path->is_prefix ? 5381 : 5387;
	size_t i;

	for (i = 0; i < path->host_len; i++)
		hash = hash * 33 + (guchar)path->host[i];
	for (i = 0; i < path->len; i++)
		hash = hash * 33 + (guchar)path->text[i];
	return hash;
}

static gboolean
paths_equal(gconstpointer a, gconstpointer b)
{
	const struct path_key *left = a, *right = b;

	return left->is_prefix == right->is_prefix && left->len == right->len &&
	    left->host_len == right->host_len &&
	    memcmp(left->host, right->host, left->host_len) == 0 &&
	    memcmp(left->text, right->text, left->len) == 0;
}

static gint
compare_lengths_descending(gconstpointer a, gconstpointer b)
{
	size_t left = *(const size_t *)a, right = *(const size_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

static void
add_prefix_length(GArray *lengths, size_t len)
{
	guint i;

	for (i = 0; i < lengths->len; i++) {
		if (g_array_index(lengths, size_t, i) == len)
			return;
	}
	g_array_append_val(lengths, len);
}

static void
index_route(struct loom_manifest_index *index,
    const struct loom_manifest *manifest, uint32_t route_index)
{
	struct loom_route *route = &manifest->routes[route_index];
	struct path_key *key = &index->path_keys[route_index];

	*key = (struct path_key){
		.host = route->host,
		.host_len = strlen(route->host),
		.text = route->path,
		.len = strlen(route->path),
		.is_prefix = route->prefix,
	};
	index->next_same_path[route_index] =
	    g_hash_table_lookup(index->paths, key);
	g_hash_table_replace(index->paths, key, route);
	if (route->prefix)
		add_prefix_length(index->prefix_lengths, key->len);
	if (!g_hash_table_contains(index->route_names, route->name))
		g_hash_table_insert(index->route_names, route->name, route);
}

struct loom_manifest_index *
manifest_index_new(const struct loom_manifest *manifest)
{
	struct loom_manifest_index *index =
	    g_new0(struct loom_manifest_index, 1);
	uint32_t i;

	index->paths = g_hash_table_new(hash_path, paths_equal);
	index->path_keys = g_new0(struct path_key, manifest->nroutes);
	index->next_same_path =
	    g_new0(const struct loom_route *, manifest->nroutes);
	index->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	index->route_names = g_hash_table_new(g_str_hash, g_str_equal);
	index->service_names = g_hash_table_new(g_str_hash, g_str_equal);
	index->team_ids = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (i = 0; i < manifest->nroutes; i++)
		index_route(index, manifest, i);
	g_array_sort(index->prefix_lengths, compare_lengths_descending);
	for (i = 0; i < manifest->nservices; i++)
		g_hash_table_insert(index->service_names,
		    manifest->services[i].name, &manifest->services[i]);
	for (i = 0; i < manifest->nteams; i++)
		g_hash_table_insert(index->team_ids, &manifest->teams[i].id,
		    &manifest->teams[i]);
	return index;
}

void
manifest_index_free(struct loom_manifest_index *index)
{
	if (index == NULL)
		return;
	g_hash_table_unref(index->paths);
	g_hash_table_unref(index->route_names);
	g_hash_table_unref(index->service_names);
	g_hash_table_unref(index->team_ids);
	g_array_free(index->prefix_lengths, TRUE);
	g_free(index->path_keys);
	g_free(index->next_same_path);
	g_free(index);
}

/*
 * Returns the first eight bytes of a digest, the sort key of the binary
 * search.  The timing of the search may leak these bytes.  They are a prefix of
 * a SHA-256, which does not help a caller to guess an API key.  The whole
 * digest is compared in constant time.
 */
static uint64_t
digest_prefix(const uint8_t digest[LOOM_DIGEST_SIZE])
{
	uint64_t value;

	memcpy(&value, digest, sizeof(value));
	return GUINT64_FROM_BE(value);
}

const struct loom_key *
loom_manifest_key(const struct loom_manifest *manifest,
    const uint8_t digest[LOOM_DIGEST_SIZE])
{
	uint64_t prefix = digest_prefix(digest);
	uint32_t low = 0, high = manifest->nkeys, middle;
	const struct loom_key *key;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (digest_prefix(manifest->keys[middle].digest) < prefix)
			low = middle + 1;
		else
			high = middle;
	}
	for (; low < manifest->nkeys; low++) {
		key = &manifest->keys[low];
		if (digest_prefix(key->digest) != prefix)
			return NULL;
		if (sodium_memcmp(key->digest, digest, LOOM_DIGEST_SIZE) == 0)
			return key;
	}
	return NULL;
}

void
loom_key_digest(const char *key, size_t len, uint8_t digest[LOOM_DIGEST_SIZE])
{
	crypto_hash_sha256(digest, (const unsigned char *)key, len);
}

/* Returns the path's route for the method, or else its route for any method. */
static const struct loom_route *
find_route_of_path(const struct loom_manifest *manifest, const char *method,
    const struct path_key *key)
{
	const struct loom_manifest_index *index = manifest->index;
	const struct loom_route *route, *any_method = NULL;

	route = g_hash_table_lookup(index->paths, key);
	while (route != NULL) {
		if (strcmp(route->method, method) == 0)
			return route;
		if (strcmp(route->method, "*") == 0)
			any_method = route;
		route = index->next_same_path[route - manifest->routes];
	}
	return any_method;
}

/*
 * Returns the route of the key's host that has the same path, or else the one
 * with the longest prefix of it.
 */
static const struct loom_route *
find_longest_match(const struct loom_manifest *manifest, const char *method,
    struct path_key key)
{
	const GArray *lengths = manifest->index->prefix_lengths;
	const struct loom_route *route;
	size_t path_len = key.len;
	guint i;

	route = find_route_of_path(manifest, method, &key);
	key.is_prefix = true;
	for (i = 0; route == NULL && i < lengths->len; i++) {
		key.len = g_array_index(lengths, size_t, i);
		if (key.len <= path_len)
			route = find_route_of_path(manifest, method, &key);
	}
	return route;
}

const struct loom_route *
loom_manifest_route(
    const struct loom_manifest *manifest, const char *method, const char *path)
{
	const struct path_key key = {
		.host = "",
		.text = path,
		.len = strcspn(path, "?#"),
	};

	if (!manifest_path_is_normalized(path, key.len))
		return NULL;
	return find_longest_match(manifest, method, key);
}

const struct loom_route *
loom_manifest_route_for_host(const struct loom_manifest *manifest,
    const char *host, const char *method, const char *path)
{
	const struct path_key key = {
		.host = host,
		.host_len = host == NULL ? 0 : strcspn(host, ":"),
		.text = path,
		.len = strcspn(path, "?#"),
	};
	const struct loom_route *route = NULL;

	if (key.host_len > 0)
		route = find_longest_match(manifest, method, key);
	return route != NULL ? route
			     : loom_manifest_route(manifest, method, path);
}

const struct loom_route *
loom_manifest_route_by_name(
    const struct loom_manifest *manifest, const char *name)
{
	return g_hash_table_lookup(manifest->index->route_names, name);
}

const struct loom_service *
loom_manifest_service(const struct loom_manifest *manifest, const char *name)
{
	return g_hash_table_lookup(manifest->index->service_names, name);
}

const struct loom_service *
loom_manifest_service_by_id(
    const struct loom_manifest *manifest, uint64_t service_id)
{
	uint32_t i;

	for (i = 0; i < manifest->nservices; i++) {
		if (manifest->services[i].id == service_id)
			return &manifest->services[i];
	}
	return NULL;
}

const struct loom_team *
loom_manifest_team(const struct loom_manifest *manifest, uint64_t team_id)
{
	return g_hash_table_lookup(manifest->index->team_ids, &team_id);
}

/*
 * SipHash-2-4 with a fixed public key, because a name must have the same id in
 * every daemon and every release.  loom_manifest_build() rejects a manifest in
 * which two names have the same id.
 */
uint64_t
loom_name_id(const char *name)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES] =
	    "loom_name_id v1";
	unsigned char out[crypto_shorthash_BYTES];
	uint64_t id;

	crypto_shorthash(out, (const unsigned char *)name, strlen(name), key);
	memcpy(&id, out, sizeof(id));
	return GUINT64_FROM_LE(id);
}
