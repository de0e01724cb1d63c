/*
 * Merges documents into a manifest.  A duplicate declaration or an unresolved
 * reference is reported with the file and location of its declaration.
 * loom_manifest_build() then fails as a whole;
 * loom_manifest_build_partial() returns a manifest without the elements that
 * are invalid or in conflict.
 */

#include <string.h>
#include <talloc.h>

#include "manifest/build.h"

/* declaration is that of the team. */
static void
add_keys(struct build *build, const struct team_entry *team,
    uint32_t team_index, const struct declaration *declaration)
{
	struct loom_manifest *manifest = build->manifest;
	const struct key_entry *entry;
	struct loom_key *key;
	guint i;

	for (i = 0; i < team->keys->len; i++) {
		entry = &g_array_index(team->keys, struct key_entry, i);
		build->keys[manifest->nkeys] = *declaration;
		build->keys[manifest->nkeys].key = i;
		key = &manifest->keys[manifest->nkeys++];
		key->team_index = team_index;
		key->withdrawn = entry->withdrawn;
		g_strlcpy(key->id, entry->id, sizeof(key->id));
		memcpy(key->digest, entry->digest, sizeof(key->digest));
	}
}

static void
add_teams(struct build *build, const struct loom_document *document)
{
	struct loom_manifest *manifest = build->manifest;
	const struct team_entry *entry;
	struct loom_team *team;
	struct declaration *declaration;
	guint i;

	for (i = 0; i < document->body.teams->len; i++) {
		entry =
		    &g_array_index(document->body.teams, struct team_entry, i);
		team = &manifest->teams[manifest->nteams];
		g_strlcpy(team->name, entry->name, sizeof(team->name));
		team->id = loom_name_id(entry->name);
		team->rate_per_s = entry->rate_per_s;
		team->burst = entry->burst;
		team->unlimited = entry->unlimited;
		team->has_importance = entry->importance_seen;
		team->importance = (enum loom_importance)entry->importance;
		declaration = &build->teams[manifest->nteams];
		declaration->document = document;
		declaration->index = i;
		declaration->merged_into = NO_INDEX;
		add_keys(build, entry, manifest->nteams, declaration);
		manifest->nteams++;
	}
}

static void
add_services(struct build *build, const struct loom_document *document)
{
	struct loom_manifest *manifest = build->manifest;
	const struct service_entry *entry;
	struct loom_service *service;
	guint i;

	for (i = 0; i < document->body.services->len; i++) {
		entry = &g_array_index(
		    document->body.services, struct service_entry, i);
		build->services[manifest->nservices] =
		    (struct declaration){ .document = document,
			    .index = i,
			    .merged_into = NO_INDEX };
		service = &manifest->services[manifest->nservices++];
		g_strlcpy(service->name, entry->name, sizeof(service->name));
		service->id = loom_name_id(entry->name);
		service->slots = entry->slots;
		service->queue = entry->queue;
		service->cold_start_ms = entry->cold_start_ms;
		service->cold_per_s = entry->cold_per_s;
		g_strlcpy(service->health_path, entry->health_path,
		    sizeof(service->health_path));
		g_strlcpy(service->load_path, entry->load_path,
		    sizeof(service->load_path));
	}
}

/* A trailing "*" marks a prefix and is not stored. */
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
		build->routes[manifest->nroutes] =
		    (struct declaration){ .document = document,
			    .index = i,
			    .merged_into = NO_INDEX };
		route = &manifest->routes[manifest->nroutes++];
		g_strlcpy(route->name, entry->name, sizeof(route->name));
		route->id = loom_name_id(entry->name);
		g_strlcpy(route->method, entry->method, sizeof(route->method));
		g_strlcpy(route->host, entry->host, sizeof(route->host));
		copy_path(route, entry->path);
		route->is_public = entry->is_public;
		route->timeout_ms = entry->timeout_ms;
		route->aim_ms = entry->aim_ms;
		route->max_attempts = entry->max_attempts;
		route->idempotent = entry->idempotent;
		route->importance = (enum loom_importance)entry->importance;
		route->deadline_ms = entry->deadline_ms;
		route->max_body_bytes = entry->max_body_bytes;
	}
}

static void
report_duplicate_document(struct build *build,
    const struct loom_document *first, const struct loom_document *second)
{
	char *where = g_strdup_printf("%s:document", second->file);

	build_report(build, LOOM_MANIFEST_DUPLICATE, where,
	    "document \"%s\" is declared already at %s:document",
	    second->body.name, first->file);
	g_free(where);
}

static void
check_document_names(struct build *build,
    struct loom_document *const *documents, size_t ndocuments)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	const struct loom_document *first;
	size_t i;

	for (i = 0; i < ndocuments; i++) {
		first = g_hash_table_lookup(seen, documents[i]->body.name);
		if (first != NULL)
			report_duplicate_document(build, first, documents[i]);
		else
			g_hash_table_insert(
			    seen, documents[i]->body.name, documents[i]);
	}
	g_hash_table_unref(seen);
}

/* Takes the stricter of each pair of settings.  The larger number of slots is
 * the stricter one, as it gives each slot a smaller share of every rate. */
static void
merge_fleets(struct loom_fleet *kept, const struct loom_fleet *other)
{
	kept->slots = MAX(kept->slots, other->slots);
	kept->retry_budget = MIN(kept->retry_budget, other->retry_budget);
	kept->retry_ratio = MIN(kept->retry_ratio, other->retry_ratio);
	kept->tickets = kept->tickets || other->tickets;
	kept->entry_decides = kept->entry_decides && other->entry_decides;
}

static void
add_fleet(struct build *build, const struct loom_document *document)
{
	char *where;

	if (!document->body.fleet_seen)
		return;
	if (build->fleet == NULL) {
		build->fleet = document;
		build->manifest->fleet = document->body.fleet;
		return;
	}
	merge_fleets(&build->manifest->fleet, &document->body.fleet);
	where = g_strdup_printf("%s:fleet", document->file);
	build_report(build, LOOM_MANIFEST_DUPLICATE, where,
	    "the section \"fleet\" is declared already at %s:fleet",
	    build->fleet->file);
	g_free(where);
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
allocate_arrays(struct build *build, struct loom_document *const *documents,
    size_t ndocuments)
{
	struct loom_manifest *manifest = build->manifest;
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
	manifest->routes = g_new0(struct loom_route, routes + 1);
	build->teams = talloc_zero_array(build, struct declaration, teams);
	build->keys = talloc_zero_array(build, struct declaration, keys);
	build->services =
	    talloc_zero_array(build, struct declaration, services);
	build->routes = talloc_zero_array(build, struct declaration, routes);
}

static void
destroy_manifest(void *object)
{
	struct loom_manifest *manifest = object;
	uint32_t i;

	manifest_index_free(manifest->index);
	for (i = 0; i < manifest->nroutes; i++) {
		g_free(manifest->routes[i].splits);
		g_free(manifest->routes[i].calls);
	}
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
sort_keys(struct loom_manifest *manifest)
{
	if (manifest->nkeys > 0)
		qsort(manifest->keys, manifest->nkeys, sizeof(*manifest->keys),
		    compare_keys);
}

/*
 * The route of a request that an entry with another manifest has admitted and
 * that this manifest does not list.  Whether such a request may be repeated is
 * unknown, so it is attempted only once.
 */
static void
set_unlisted_route(struct loom_manifest *manifest)
{
	struct loom_route *route = &manifest->routes[manifest->nroutes];

	*route = (struct loom_route){
		.name = "unlisted",
		.method = "*",
		.importance = LOOM_NORMAL,
		.max_attempts = 1,
		.max_body_bytes = UINT64_MAX,
	};
	route->id = loom_name_id(route->name);
}

/* Keys are sorted last, as build->keys is in document order until then. */
static void
merge_documents(struct build *build, struct loom_document *const *documents,
    size_t ndocuments)
{
	size_t i;

	check_document_names(build, documents, ndocuments);
	for (i = 0; i < ndocuments; i++) {
		build->manifest->version =
		    MAX(build->manifest->version, documents[i]->body.version);
		add_fleet(build, documents[i]);
		add_teams(build, documents[i]);
		add_services(build, documents[i]);
		add_routes(build, documents[i]);
	}
	build->manifest->index = manifest_index_new(build->manifest);
	build_check_unique(build);
	build_resolve(build);
	build_remove_dropped(build);
	build_compute_repeatable(build);
	sort_keys(build->manifest);
	set_unlisted_route(build->manifest);
}

/* *ok is set to whether no problem was reported; the manifest is returned in
 * either case. */
static struct loom_manifest *
build_manifest(struct loom_document *const *documents, size_t ndocuments,
    uint64_t generation, struct loom_problem **problems, bool *ok)
{
	struct loom_manifest *manifest = g_new0(struct loom_manifest, 1);
	struct build *build = talloc_zero(NULL, struct build);

	loom_ref_init(&manifest->ref, destroy_manifest);
	manifest->generation = generation;
	manifest->fleet = (struct loom_fleet)LOOM_FLEET_DEFAULT;
	build->manifest = manifest;
	build->problems = problems;
	build->ok = true;
	allocate_arrays(build, documents, ndocuments);
	merge_documents(build, documents, ndocuments);
	*ok = build->ok;
	talloc_free(build);
	return manifest;
}

struct loom_manifest *
loom_manifest_build(struct loom_document *const *documents, size_t ndocuments,
    uint64_t generation, struct loom_problem **problems)
{
	struct loom_manifest *manifest;
	bool ok;

	manifest =
	    build_manifest(documents, ndocuments, generation, problems, &ok);
	if (ok)
		return manifest;
	loom_manifest_release(manifest);
	return NULL;
}

static int
compare_names(const void *a, const void *b)
{
	const struct loom_document *const *left = a, *const *right = b;

	return strcmp((*left)->body.name, (*right)->body.name);
}

/* Sorts the documents by name, so that the result does not depend on their
 * order in the argument. */
struct loom_manifest *
loom_manifest_build_partial(struct loom_document *const *documents,
    size_t ndocuments, uint64_t generation, struct loom_problem **problems)
{
	struct loom_document **sorted =
	    talloc_array(NULL, struct loom_document *, ndocuments);
	struct loom_manifest *manifest;
	size_t i;
	bool ok;

	for (i = 0; i < ndocuments; i++)
		sorted[i] = documents[i];
	if (ndocuments > 0)
		qsort(sorted, ndocuments, sizeof(struct loom_document *),
		    compare_names);
	manifest =
	    build_manifest(sorted, ndocuments, generation, problems, &ok);
	talloc_free(sorted);
	return manifest;
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
