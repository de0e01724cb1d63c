/*
 * Joining documents into a manifest.  What is declared twice or refers to
 * nothing is reported with the file and place of its declaration; a manifest
 * comes out whole or not at all.
 */

#include <sodium.h>
#include <string.h>

#include "manifest/build.h"

/* Takes over what and where.  kind and what together are unique. */
static void
declare(struct build *build, char *what, char *where)
{
	const char *first = g_hash_table_lookup(build->declared, what);

	if (first == NULL) {
		g_hash_table_insert(build->declared, what, where);
		return;
	}
	build_report(build, LOOM_MANIFEST_DUPLICATE, where,
	    "%s is declared already at %s", what, first);
	g_free(what);
	g_free(where);
}

/* Two names with one number would share a rate or a list of hosts. */
static void
declare_id(
    struct build *build, const char *kind, const char *name, const char *where)
{
	char *what = g_strdup_printf(
	    "%s number %016" G_GINT64_MODIFIER "x", kind, loom_name_id(name));
	const char *first = g_hash_table_lookup(build->declared, what);

	if (first != NULL && strcmp(first, name) != 0)
		build_report(build, LOOM_MANIFEST_ID_CLASH, where,
		    "\"%s\" and \"%s\" have the same number: rename one", name,
		    first);
	if (first == NULL)
		g_hash_table_insert(build->declared, what, g_strdup(name));
	else
		g_free(what);
}

static char *
digest_text(const char *sha256)
{
	char *lower = g_ascii_strdown(sha256, -1);
	char *text = g_strdup_printf("a key with the SHA-256 %s", lower);

	g_free(lower);
	return text;
}

static void
add_keys(struct build *build, const struct team_entry *team,
    uint32_t team_index, const char *team_where)
{
	struct loom_manifest *manifest = build->manifest;
	const struct key_entry *entry;
	struct loom_key *key;
	guint i;

	for (i = 0; i < team->keys->len; i++) {
		entry = &g_array_index(team->keys, struct key_entry, i);
		key = &manifest->keys[manifest->nkeys++];
		key->team_index = team_index;
		key->withdrawn = entry->withdrawn;
		g_strlcpy(key->id, entry->id, sizeof(key->id));
		sodium_hex2bin(key->digest, sizeof(key->digest), entry->sha256,
		    strlen(entry->sha256), NULL, NULL, NULL);
		declare(build,
		    g_strdup_printf(
			"key \"%s\" of team \"%s\"", entry->id, team->name),
		    g_strdup_printf("%s.keys[%u].id", team_where, i));
		declare(build, digest_text(entry->sha256),
		    g_strdup_printf("%s.keys[%u].sha256", team_where, i));
	}
}

static void
add_teams(struct build *build, const struct loom_document *document)
{
	struct loom_manifest *manifest = build->manifest;
	const struct team_entry *entry;
	struct loom_team *team;
	char *where;
	guint i;

	for (i = 0; i < document->body.teams->len; i++) {
		entry =
		    &g_array_index(document->body.teams, struct team_entry, i);
		team = &manifest->teams[manifest->nteams];
		g_strlcpy(team->name, entry->name, sizeof(team->name));
		team->id = loom_name_id(entry->name);
		team->rate_per_s = entry->rate_per_s;
		team->burst = entry->burst;
		where = g_strdup_printf("%s:teams[%u]", document->file, i);
		add_keys(build, entry, manifest->nteams, where);
		declare_id(build, "team", entry->name, where);
		declare(
		    build, g_strdup_printf("team \"%s\"", entry->name), where);
		manifest->nteams++;
	}
}

static void
add_services(struct build *build, const struct loom_document *document)
{
	struct loom_manifest *manifest = build->manifest;
	const struct service_entry *entry;
	struct loom_service *service;
	char *where;
	guint i;

	for (i = 0; i < document->body.services->len; i++) {
		entry = &g_array_index(
		    document->body.services, struct service_entry, i);
		service = &manifest->services[manifest->nservices++];
		g_strlcpy(service->name, entry->name, sizeof(service->name));
		service->id = loom_name_id(entry->name);
		service->slots = entry->slots;
		service->queue = entry->queue;
		service->cold_start_ms = entry->cold_start_ms;
		g_strlcpy(service->load_path, entry->load_path,
		    sizeof(service->load_path));
		where = g_strdup_printf("%s:services[%u]", document->file, i);
		g_hash_table_insert(build->services, service->name, service);
		declare_id(build, "service", entry->name, where);
		declare(build, g_strdup_printf("service \"%s\"", entry->name),
		    where);
	}
}

static void
copy_path(struct loom_route *route, const char *path)
{
	size_t len = g_strlcpy(route->path, path, sizeof(route->path));

	route->prefix = len > 0 && path[len - 1] == '*';
	if (route->prefix)
		route->path[len - 1] = '\0';
}

static void
add_routes(struct build *build, const struct loom_document *document)
{
	struct loom_manifest *manifest = build->manifest;
	const struct route_entry *entry;
	struct loom_route *route;
	guint i;

	for (i = 0; i < document->body.routes->len; i++) {
		entry = &g_array_index(
		    document->body.routes, struct route_entry, i);
		route = &manifest->routes[manifest->nroutes++];
		g_strlcpy(route->name, entry->name, sizeof(route->name));
		g_strlcpy(route->method, entry->method, sizeof(route->method));
		copy_path(route, entry->path);
		route->idempotent = entry->idempotent;
		route->importance = (enum loom_importance)entry->importance;
		route->deadline_ms = entry->deadline_ms;
		route->max_body_bytes = entry->max_body_bytes;
		g_ptr_array_add(build->route_files, document->file);
		g_hash_table_insert(build->routes, route->name, route);
		declare(build, g_strdup_printf("route \"%s\"", entry->name),
		    g_strdup_printf("%s:routes[%u].name", document->file, i));
		declare(build,
		    g_strdup_printf("%s %s", entry->method, entry->path),
		    g_strdup_printf("%s:routes[%u].path", document->file, i));
	}
}

static void
take_fleet(struct build *build, const struct loom_document *document)
{
	if (!document->body.fleet_seen)
		return;
	build->manifest->fleet = document->body.fleet;
	declare(build, g_strdup("the section \"fleet\""),
	    g_strdup_printf("%s:fleet", document->file));
}

static uint32_t
count_keys(const struct loom_document *document)
{
	const struct team_entry *team;
	uint32_t n = 0;
	guint i;

	for (i = 0; i < document->body.teams->len; i++) {
		team =
		    &g_array_index(document->body.teams, struct team_entry, i);
		n += team->keys->len;
	}
	return n;
}

static void
allocate(struct loom_manifest *manifest, struct loom_document *const *documents,
    size_t ndocuments)
{
	size_t teams = 0, keys = 0, services = 0, routes = 0, i;

	for (i = 0; i < ndocuments; i++) {
		teams += documents[i]->body.teams->len;
		services += documents[i]->body.services->len;
		routes += documents[i]->body.routes->len;
		keys += count_keys(documents[i]);
	}
	manifest->teams = g_new0(struct loom_team, teams);
	manifest->keys = g_new0(struct loom_key, keys);
	manifest->services = g_new0(struct loom_service, services);
	manifest->routes = g_new0(struct loom_route, routes);
}

static void
destroy_manifest(void *object)
{
	struct loom_manifest *manifest = object;
	uint32_t i;

	manifest_index_free(manifest->index);
	for (i = 0; i < manifest->nroutes; i++)
		g_free(manifest->routes[i].calls);
	g_free(manifest->routes);
	g_free(manifest->services);
	g_free(manifest->keys);
	g_free(manifest->teams);
	g_free(manifest);
}

static int
compare_keys(const void *a, const void *b)
{
	const struct loom_key *left = a, *right = b;

	return memcmp(left->digest, right->digest, sizeof(left->digest));
}

static void
join(struct build *build, struct loom_document *const *documents,
    size_t ndocuments)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t first = 0;
	size_t i;

	for (i = 0; i < ndocuments; i++) {
		declare(build,
		    g_strdup_printf("document \"%s\"", documents[i]->body.name),
		    g_strdup_printf("%s:document", documents[i]->file));
		take_fleet(build, documents[i]);
		add_teams(build, documents[i]);
		add_services(build, documents[i]);
		add_routes(build, documents[i]);
	}
	for (i = 0; i < ndocuments; i++)
		first = build_resolve(build, documents[i], first);
	if (!manifest_closure(manifest,
		(const char *const *)build->route_files->pdata,
		build->problems))
		build->ok = false;
	if (manifest->nkeys > 0)
		qsort(manifest->keys, manifest->nkeys, sizeof(*manifest->keys),
		    compare_keys);
}

struct loom_manifest *
loom_manifest_build(struct loom_document *const *documents, size_t ndocuments,
    uint64_t generation, struct loom_problem **problems)
{
	struct loom_manifest *manifest = g_new0(struct loom_manifest, 1);
	struct build build = {
		.manifest = manifest,
		.problems = problems,
		.declared = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free),
		.route_files = g_ptr_array_new(),
		.routes = g_hash_table_new(g_str_hash, g_str_equal),
		.services = g_hash_table_new(g_str_hash, g_str_equal),
		.ok = true,
	};

	loom_ref_init(&manifest->ref, destroy_manifest);
	manifest->generation = generation;
	manifest->fleet = (struct loom_fleet)LOOM_FLEET_DEFAULT;
	allocate(manifest, documents, ndocuments);
	join(&build, documents, ndocuments);
	if (build.ok)
		manifest->index = manifest_index_new(manifest);
	g_hash_table_unref(build.declared);
	g_ptr_array_unref(build.route_files);
	g_hash_table_unref(build.routes);
	g_hash_table_unref(build.services);
	if (build.ok)
		return manifest;
	loom_manifest_release(manifest);
	return NULL;
}

struct loom_manifest *
loom_manifest_acquire(struct loom_manifest *manifest)
{
	loom_ref_acquire(&manifest->ref);
	return manifest;
}

void
loom_manifest_release(struct loom_manifest *manifest)
{
	loom_ref_release(&manifest->ref, manifest);
}
