/*
 * What changes from one manifest to the next.  Each kind of declaration is a
 * table of facts, and each fact a function that writes it as text: two
 * declarations differ in a fact when the texts differ, so that what is
 * compared and what is printed can never be two things.
 */

#include <string.h>

#include "loom/explain.h"
#include "manifest/facts.h"

/* from and to are declarations of the same name. */
static void
diff_facts(GString *text, const char *what, const struct fact *facts,
    const struct item *from, const struct item *to)
{
	GString *before = g_string_new(NULL), *after = g_string_new(NULL);

	for (; facts->label != NULL; facts++) {
		g_string_truncate(before, 0);
		g_string_truncate(after, 0);
		facts->write(before, from);
		facts->write(after, to);
		if (strcmp(before->str, after->str) != 0)
			g_string_append_printf(text, "%s: %s %s -> %s\n", what,
			    facts->label, before->str, after->str);
	}
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
}

static void
list_facts(GString *text, const char *what, const struct fact *facts,
    const struct item *item)
{
	const char *between = "";

	g_string_append_printf(text, "%s: added: ", what);
	for (; facts->label != NULL; facts++) {
		g_string_append_printf(text, "%s%s ", between, facts->label);
		facts->write(text, item);
		between = "; ";
	}
	g_string_append_c(text, '\n');
}

/* How to walk one kind of declaration. */
struct kind {
	const char *label;
	const struct fact *facts;
	const char *removed; /* what a caller then sees */
	uint32_t (*count)(const struct loom_manifest *);
	/* The declaration at i; its name is written to name. */
	const void *(*at)(
	    const struct loom_manifest *, uint32_t i, GString *name);
};

static uint32_t
count_teams(const struct loom_manifest *manifest)
{
	return manifest->nteams;
}

static const void *
team_at(const struct loom_manifest *manifest, uint32_t i, GString *name)
{
	g_string_assign(name, manifest->teams[i].name);
	return &manifest->teams[i];
}

static uint32_t
count_keys(const struct loom_manifest *manifest)
{
	return manifest->nkeys;
}

/* A key that gets another digest under its old id is another key: the name
 * holds the digest, and print_name() leaves it out. */
static const void *
key_at(const struct loom_manifest *manifest, uint32_t i, GString *name)
{
	const struct loom_key *key = &manifest->keys[i];
	size_t j;

	g_string_printf(name, "%s of team %s", key->id,
	    manifest->teams[key->team_index].name);
	g_string_append_c(name, '\n');
	for (j = 0; j < sizeof(key->digest); j++)
		g_string_append_printf(name, "%02x", key->digest[j]);
	return key;
}

static uint32_t
count_services(const struct loom_manifest *manifest)
{
	return manifest->nservices;
}

static const void *
service_at(const struct loom_manifest *manifest, uint32_t i, GString *name)
{
	g_string_assign(name, manifest->services[i].name);
	return &manifest->services[i];
}

static uint32_t
count_routes(const struct loom_manifest *manifest)
{
	return manifest->nroutes;
}

static const void *
route_at(const struct loom_manifest *manifest, uint32_t i, GString *name)
{
	g_string_assign(name, manifest->routes[i].name);
	return &manifest->routes[i];
}

static const struct kind kinds[] = {
	{
	    .label = "team",
	    .facts = team_facts,
	    .removed = "its keys are unknown from now on",
	    .count = count_teams,
	    .at = team_at,
	},
	{
	    .label = "key",
	    .facts = key_facts,
	    .removed = "refused as unknown from now on",
	    .count = count_keys,
	    .at = key_at,
	},
	{
	    .label = "service",
	    .facts = service_facts,
	    .removed = "no request reaches it",
	    .count = count_services,
	    .at = service_at,
	},
	{
	    .label = "route",
	    .facts = route_facts,
	    .removed = "its requests match no route, or another",
	    .count = count_routes,
	    .at = route_at,
	},
};

/* "team x": the name up to its first line end. */
static char *
label_name(const struct kind *kind, const char *name)
{
	return g_strdup_printf(
	    "%s %.*s", kind->label, (int)strcspn(name, "\n"), name);
}

/* Name to declaration; names owned. */
static GHashTable *
index_kind(const struct kind *kind, const struct loom_manifest *manifest)
{
	GHashTable *table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GString *name = g_string_new(NULL);
	const void *of;
	uint32_t i;

	for (i = 0; i < kind->count(manifest); i++) {
		of = kind->at(manifest, i, name);
		g_hash_table_insert(table, g_strdup(name->str), (void *)of);
	}
	g_string_free(name, TRUE);
	return table;
}

static void
diff_present(GString *text, const struct kind *kind,
    const struct loom_manifest *from, const struct loom_manifest *to)
{
	GHashTable *before = index_kind(kind, from);
	GString *name = g_string_new(NULL);
	struct item old, new_item;
	char *what;
	uint32_t i;

	for (i = 0; i < kind->count(to); i++) {
		new_item = (struct item){ to, kind->at(to, i, name) };
		old = (struct item){ from,
			g_hash_table_lookup(before, name->str) };
		what = label_name(kind, name->str);
		if (old.of == NULL)
			list_facts(text, what, kind->facts, &new_item);
		else
			diff_facts(text, what, kind->facts, &old, &new_item);
		g_free(what);
	}
	g_string_free(name, TRUE);
	g_hash_table_unref(before);
}

static void
diff_removed(GString *text, const struct kind *kind,
    const struct loom_manifest *from, const struct loom_manifest *to)
{
	GHashTable *after = index_kind(kind, to);
	GString *name = g_string_new(NULL);
	char *what;
	uint32_t i;

	for (i = 0; i < kind->count(from); i++) {
		kind->at(from, i, name);
		if (g_hash_table_contains(after, name->str))
			continue;
		what = label_name(kind, name->str);
		g_string_append_printf(
		    text, "%s: removed: %s\n", what, kind->removed);
		g_free(what);
	}
	g_string_free(name, TRUE);
	g_hash_table_unref(after);
}

char *
loom_manifest_diff(
    const struct loom_manifest *from, const struct loom_manifest *to)
{
	struct item old_fleet = { from, &from->fleet };
	struct item new_fleet = { to, &to->fleet };
	GString *text = g_string_new(NULL);
	size_t i;

	diff_facts(text, "fleet", fleet_facts, &old_fleet, &new_fleet);
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		diff_removed(text, &kinds[i], from, to);
		diff_present(text, &kinds[i], from, to);
	}
	return g_string_free(text, FALSE);
}
