/*
 * What must be declared once: each kind is a hash and a comparison over the
 * manifest's own arrays, and a function that reports a second one.
 */

#include <string.h>

#include "manifest/build.h"

struct uniqueness {
	GHashFunc hash;
	GEqualFunc equal;
	/* second is declared again; both are indexes of the array */
	void (*report)(struct build *, uint32_t first, uint32_t second);
	/* make first stand for both, on the safe side; NULL: keep both */
	void (*merge)(struct build *, uint32_t first, uint32_t second);
};

static char *
list_place(const struct place *place, const char *list, const char *member)
{
	return g_strdup_printf(
	    "%s:%s[%u]%s", place->document->file, list, place->index, member);
}

static char *
key_place(const struct place *place, const char *member)
{
	return g_strdup_printf("%s:teams[%u].keys[%u]%s", place->document->file,
	    place->index, place->key, member);
}

/* Takes over all three texts. */
static void
report_twice(struct build *build, char *what, char *first, char *second)
{
	build_report(build, LOOM_MANIFEST_DUPLICATE, second,
	    "%s is declared already at %s", what, first);
	g_free(what);
	g_free(first);
	g_free(second);
}

/* Two names with one number would share a rate or a list of hosts. */
static void
report_name_or_id(struct build *build, const char *kind, const char *first_name,
    const char *name, char *first, char *second)
{
	if (strcmp(first_name, name) == 0) {
		report_twice(build, g_strdup_printf("%s \"%s\"", kind, name),
		    first, second);
		return;
	}
	build_report(build, LOOM_MANIFEST_ID_CLASH, second,
	    "%s \"%s\" has the number of \"%s\" at %s: rename one", kind, name,
	    first_name, first);
	g_free(first);
	g_free(second);
}

static guint
hash_team(gconstpointer item)
{
	const struct loom_team *team = item;

	return g_int64_hash(&team->id);
}

static gboolean
equal_teams(gconstpointer a, gconstpointer b)
{
	const struct loom_team *left = a, *right = b;

	return left->id == right->id;
}

static void
report_team(struct build *build, uint32_t first, uint32_t second)
{
	const struct loom_team *teams = build->manifest->teams;

	report_name_or_id(build, "team", teams[first].name, teams[second].name,
	    list_place(&build->teams[first], "teams", ""),
	    list_place(&build->teams[second], "teams", ""));
}

static guint
hash_service(gconstpointer item)
{
	const struct loom_service *service = item;

	return g_int64_hash(&service->id);
}

static gboolean
equal_services(gconstpointer a, gconstpointer b)
{
	const struct loom_service *left = a, *right = b;

	return left->id == right->id;
}

static void
report_service(struct build *build, uint32_t first, uint32_t second)
{
	const struct loom_service *services = build->manifest->services;

	report_name_or_id(build, "service", services[first].name,
	    services[second].name,
	    list_place(&build->services[first], "services", ""),
	    list_place(&build->services[second], "services", ""));
}

static guint
hash_key_id(gconstpointer item)
{
	const struct loom_key *key = item;

	return g_str_hash(key->id) ^ key->team_index * 2654435761U;
}

static gboolean
equal_key_ids(gconstpointer a, gconstpointer b)
{
	const struct loom_key *left = a, *right = b;

	return left->team_index == right->team_index &&
	    strcmp(left->id, right->id) == 0;
}

static void
report_key_id(struct build *build, uint32_t first, uint32_t second)
{
	const struct loom_key *key = &build->manifest->keys[second];

	report_twice(build,
	    g_strdup_printf("key \"%s\" of team \"%s\"", key->id,
		build->manifest->teams[key->team_index].name),
	    key_place(&build->keys[first], ".id"),
	    key_place(&build->keys[second], ".id"));
}

static guint
hash_digest(gconstpointer item)
{
	const struct loom_key *key = item;
	guint hash;

	memcpy(&hash, key->digest, sizeof(hash));
	return hash;
}

static gboolean
equal_digests(gconstpointer a, gconstpointer b)
{
	const struct loom_key *left = a, *right = b;

	return memcmp(left->digest, right->digest, sizeof(left->digest)) == 0;
}

static void
report_digest(struct build *build, uint32_t first, uint32_t second)
{
	report_twice(build, g_strdup("a key with this SHA-256"),
	    key_place(&build->keys[first], ".sha256"),
	    key_place(&build->keys[second], ".sha256"));
}

static guint
hash_route_name(gconstpointer item)
{
	const struct loom_route *route = item;

	return g_str_hash(route->name);
}

static gboolean
equal_route_names(gconstpointer a, gconstpointer b)
{
	const struct loom_route *left = a, *right = b;

	return strcmp(left->name, right->name) == 0;
}

static void
report_route_name(struct build *build, uint32_t first, uint32_t second)
{
	report_twice(build,
	    g_strdup_printf(
		"route \"%s\"", build->manifest->routes[second].name),
	    list_place(&build->routes[first], "routes", ".name"),
	    list_place(&build->routes[second], "routes", ".name"));
}

static guint
hash_match(gconstpointer item)
{
	const struct loom_route *route = item;

	return g_str_hash(route->path) * 33 + g_str_hash(route->method) +
	    g_str_hash(route->host) * 31 + route->prefix;
}

static gboolean
equal_matches(gconstpointer a, gconstpointer b)
{
	const struct loom_route *left = a, *right = b;

	return left->prefix == right->prefix &&
	    strcmp(left->host, right->host) == 0 &&
	    strcmp(left->path, right->path) == 0 &&
	    strcmp(left->method, right->method) == 0;
}

static void
report_match(struct build *build, uint32_t first, uint32_t second)
{
	const struct loom_route *route = &build->manifest->routes[second];

	report_twice(build,
	    g_strdup_printf("%s %s%s%s", route->method, route->host,
		route->path, route->prefix ? "*" : ""),
	    list_place(&build->routes[first], "routes", ".path"),
	    list_place(&build->routes[second], "routes", ".path"));
}

static const struct uniqueness unique_team = {
	.hash = hash_team,
	.equal = equal_teams,
	.report = report_team,
	.merge = build_merge_teams,
};

static const struct uniqueness unique_service = {
	.hash = hash_service,
	.equal = equal_services,
	.report = report_service,
	.merge = build_merge_services,
};

static const struct uniqueness unique_key_id = {
	.hash = hash_key_id,
	.equal = equal_key_ids,
	.report = report_key_id,
};

static const struct uniqueness unique_digest = {
	.hash = hash_digest,
	.equal = equal_digests,
	.report = report_digest,
	.merge = build_merge_digests,
};

static const struct uniqueness unique_route_name = {
	.hash = hash_route_name,
	.equal = equal_route_names,
	.report = report_route_name,
	.merge = build_merge_routes,
};

static const struct uniqueness unique_match = {
	.hash = hash_match,
	.equal = equal_matches,
	.report = report_match,
	.merge = build_merge_routes,
};

/* An array of the manifest, and where its elements are declared. */
struct elements {
	const void *items;
	size_t item_bytes;
	const struct place *places;
	uint32_t n;
};

static uint32_t
index_of(const struct elements *elements, gconstpointer item)
{
	return (uint32_t)(((const char *)item - (const char *)elements->items) /
	    (ptrdiff_t)elements->item_bytes);
}

static void
check(struct build *build, const struct uniqueness *kind,
    const struct elements *elements)
{
	GHashTable *seen = g_hash_table_new(kind->hash, kind->equal);
	gpointer item, found;
	uint32_t first, i;

	for (i = 0; i < elements->n; i++) {
		item = (char *)elements->items + i * elements->item_bytes;
		if (!g_hash_table_lookup_extended(seen, item, &found, NULL)) {
			g_hash_table_add(seen, item);
			continue;
		}
		first = index_of(elements, found);
		kind->report(build, first, i);
		if (kind->merge == NULL)
			continue;
		if (!elements->places[first].dropped)
			kind->merge(build, first, i);
		else
			g_hash_table_add(seen, item);
	}
	g_hash_table_unref(seen);
}

void
build_check_unique(struct build *build)
{
	const struct loom_manifest *manifest = build->manifest;
	const struct elements teams = {
		.items = manifest->teams,
		.item_bytes = sizeof(*manifest->teams),
		.places = build->teams,
		.n = manifest->nteams,
	};
	const struct elements keys = {
		.items = manifest->keys,
		.item_bytes = sizeof(*manifest->keys),
		.places = build->keys,
		.n = manifest->nkeys,
	};
	const struct elements services = {
		.items = manifest->services,
		.item_bytes = sizeof(*manifest->services),
		.places = build->services,
		.n = manifest->nservices,
	};
	const struct elements routes = {
		.items = manifest->routes,
		.item_bytes = sizeof(*manifest->routes),
		.places = build->routes,
		.n = manifest->nroutes,
	};

	check(build, &unique_team, &teams);
	check(build, &unique_key_id, &keys);
	check(build, &unique_digest, &keys);
	check(build, &unique_service, &services);
	check(build, &unique_route_name, &routes);
	check(build, &unique_match, &routes);
}
