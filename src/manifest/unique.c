/*
 * Checks that declarations are unique.  Each constraint has a hash and an
 * equality function over one of the manifest's arrays, and a function that
 * reports a duplicate.
 */

#include <string.h>

#include "manifest/build.h"

struct unique_constraint {
	GHashFunc hash;
	GEqualFunc equal;
	/* reports the element at index second as a duplicate of first */
	void (*report)(struct build *, uint32_t first, uint32_t second);
	/* merges second into first on the safe side; NULL: keep both */
	void (*merge)(struct build *, uint32_t first, uint32_t second);
};

static char *
list_location(
    const struct declaration *declaration, const char *list, const char *member)
{
	return g_strdup_printf("%s:%s[%u]%s", declaration->document->file, list,
	    declaration->index, member);
}

static char *
key_location(const struct declaration *declaration, const char *member)
{
	return g_strdup_printf("%s:teams[%u].keys[%u]%s",
	    declaration->document->file, declaration->index, declaration->key,
	    member);
}

/* Takes ownership of all three strings. */
static void
report_duplicate(struct build *build, char *what, char *first, char *second)
{
	build_report(build, LOOM_MANIFEST_DUPLICATE, second,
	    "%s is declared already at %s", what, first);
	g_free(what);
	g_free(first);
	g_free(second);
}

/*
 * Reports a duplicate name, or two names whose hashes (IDs) collide: these
 * would share a rate or a list of hosts.  Takes ownership of first and second,
 * the locations of the two declarations.
 */
static void
report_duplicate_name_or_id(struct build *build, const char *kind,
    const char *first_name, const char *name, char *first, char *second)
{
	if (strcmp(first_name, name) == 0) {
		report_duplicate(build,
		    g_strdup_printf("%s \"%s\"", kind, name), first, second);
		return;
	}
	build_report(build, LOOM_MANIFEST_ID_CLASH, second,
	    "%s \"%s\" has the same ID as \"%s\" at %s: rename one", kind, name,
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

	report_duplicate_name_or_id(build, "team", teams[first].name,
	    teams[second].name,
	    list_location(&build->teams[first], "teams", ""),
	    list_location(&build->teams[second], "teams", ""));
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

	report_duplicate_name_or_id(build, "service", services[first].name,
	    services[second].name,
	    list_location(&build->services[first], "services", ""),
	    list_location(&build->services[second], "services", ""));
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

	report_duplicate(build,
	    g_strdup_printf("key \"%s\" of team \"%s\"", key->id,
		build->manifest->teams[key->team_index].name),
	    key_location(&build->keys[first], ".id"),
	    key_location(&build->keys[second], ".id"));
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
	report_duplicate(build, g_strdup("a key with this SHA-256"),
	    key_location(&build->keys[first], ".sha256"),
	    key_location(&build->keys[second], ".sha256"));
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
	report_duplicate(build,
	    g_strdup_printf(
		"route \"%s\"", build->manifest->routes[second].name),
	    list_location(&build->routes[first], "routes", ".name"),
	    list_location(&build->routes[second], "routes", ".name"));
}

static guint
hash_route_pattern(gconstpointer item)
{
	const struct loom_route *route = item;

	return g_str_hash(route->path) * 33 + g_str_hash(route->method) +
	    g_str_hash(route->host) * 31 + route->prefix;
}

static gboolean
equal_route_patterns(gconstpointer a, gconstpointer b)
{
	const struct loom_route *left = a, *right = b;

	return left->prefix == right->prefix &&
	    strcmp(left->host, right->host) == 0 &&
	    strcmp(left->path, right->path) == 0 &&
	    strcmp(left->method, right->method) == 0;
}

static void
report_route_pattern(struct build *build, uint32_t first, uint32_t second)
{
	const struct loom_route *route = &build->manifest->routes[second];

	report_duplicate(build,
	    g_strdup_printf("%s %s%s%s", route->method, route->host,
		route->path, route->prefix ? "*" : ""),
	    list_location(&build->routes[first], "routes", ".path"),
	    list_location(&build->routes[second], "routes", ".path"));
}

static const struct unique_constraint unique_team = {
	.hash = hash_team,
	.equal = equal_teams,
	.report = report_team,
	.merge = build_merge_teams,
};

static const struct unique_constraint unique_service = {
	.hash = hash_service,
	.equal = equal_services,
	.report = report_service,
	.merge = build_merge_services,
};

static const struct unique_constraint unique_key_id = {
	.hash = hash_key_id,
	.equal = equal_key_ids,
	.report = report_key_id,
};

static const struct unique_constraint unique_digest = {
	.hash = hash_digest,
	.equal = equal_digests,
	.report = report_digest,
	.merge = build_merge_digests,
};

static const struct unique_constraint unique_route_name = {
	.hash = hash_route_name,
	.equal = equal_route_names,
	.report = report_route_name,
	.merge = build_merge_routes,
};

static const struct unique_constraint unique_route_pattern = {
	.hash = hash_route_pattern,
	.equal = equal_route_patterns,
	.report = report_route_pattern,
	.merge = build_merge_routes,
};

/* An array of the manifest, and the declarations of its elements. */
struct elements {
	const void *items;
	size_t item_bytes;
	const struct declaration *declarations;
	uint32_t n;
};

static uint32_t
index_of(const struct elements *elements, gconstpointer item)
{
	return (uint32_t)(((const char *)item - (const char *)elements->items) /
	    (ptrdiff_t)elements->item_bytes);
}

/* If the first of two equal elements was dropped by another constraint, the
 * second one takes its place in the table of elements seen. */
static void
check_unique(struct build *build, const struct unique_constraint *constraint,
    const struct elements *elements)
{
	GHashTable *seen =
	    g_hash_table_new(constraint->hash, constraint->equal);
	gpointer item, found;
	uint32_t first, i;

	for (i = 0; i < elements->n; i++) {
		item = (char *)elements->items + i * elements->item_bytes;
		if (!g_hash_table_lookup_extended(seen, item, &found, NULL)) {
			g_hash_table_add(seen, item);
			continue;
		}
		first = index_of(elements, found);
		constraint->report(build, first, i);
		if (constraint->merge == NULL)
			continue;
		if (!elements->declarations[first].dropped)
			constraint->merge(build, first, i);
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
		.declarations = build->teams,
		.n = manifest->nteams,
	};
	const struct elements keys = {
		.items = manifest->keys,
		.item_bytes = sizeof(*manifest->keys),
		.declarations = build->keys,
		.n = manifest->nkeys,
	};
	const struct elements services = {
		.items = manifest->services,
		.item_bytes = sizeof(*manifest->services),
		.declarations = build->services,
		.n = manifest->nservices,
	};
	const struct elements routes = {
		.items = manifest->routes,
		.item_bytes = sizeof(*manifest->routes),
		.declarations = build->routes,
		.n = manifest->nroutes,
	};

	check_unique(build, &unique_team, &teams);
	check_unique(build, &unique_key_id, &keys);
	check_unique(build, &unique_digest, &keys);
	check_unique(build, &unique_service, &services);
	check_unique(build, &unique_route_name, &routes);
	check_unique(build, &unique_route_pattern, &routes);
}
