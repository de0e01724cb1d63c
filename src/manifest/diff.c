/*
 * Lists the changes from one manifest to another.  Each kind of declaration has
 * a table of its properties.  Two declarations differ in a property when its
 * formatted values differ.  Comparing the printed text ensures that every
 * difference found is visible in the output, and the other way round.
 */

#include <string.h>

#include "loom/explain.h"
#include "manifest/properties.h"

/* Writes each property that differs between two declarations of one name. */
static void
diff_properties(GString *text, const char *title,
    const struct property *properties, const struct declaration *from,
    const struct declaration *to)
{
	GString *before = g_string_new(NULL), *after = g_string_new(NULL);

	for (; properties->label != NULL; properties++) {
		g_string_truncate(before, 0);
		g_string_truncate(after, 0);
		properties->write(before, from);
		properties->write(after, to);
		if (strcmp(before->str, after->str) != 0)
			g_string_append_printf(text, "%s: %s %s -> %s\n", title,
			    properties->label, before->str, after->str);
	}
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
}

/* Writes a declaration that is new, with all its properties. */
static void
write_added(GString *text, const char *title, const struct property *properties,
    const struct declaration *declaration)
{
	const char *separator = "";

	g_string_append_printf(text, "%s: added: ", title);
	for (; properties->label != NULL; properties++) {
		g_string_append_printf(
		    text, "%s%s ", separator, properties->label);
		properties->write(text, declaration);
		separator = "; ";
	}
	g_string_append_c(text, '\n');
}

/* How to enumerate and compare one kind of declaration. */
struct declaration_kind {
	const char *label;
	const struct property *properties;
	const char *removal_effect; /* the effect of a removal on callers */
	uint32_t (*count)(const struct loom_manifest *);
	/* Returns declaration i and sets name to its unique name. */
	const void *(*get)(
	    const struct loom_manifest *, uint32_t i, GString *name);
};

static uint32_t
count_teams(const struct loom_manifest *manifest)
{
	return manifest->nteams;
}

static const void *
get_team(const struct loom_manifest *manifest, uint32_t i, GString *name)
{
	g_string_assign(name, manifest->teams[i].name);
	return &manifest->teams[i];
}

static uint32_t
count_keys(const struct loom_manifest *manifest)
{
	return manifest->nkeys;
}

/*
 * A key whose digest changes under the same id is a different key, so that the
 * name includes the digest.  The digest follows a newline, where
 * format_title() cuts the name, and is never printed.
 */
static const void *
get_key(const struct loom_manifest *manifest, uint32_t i, GString *name)
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
get_service(const struct loom_manifest *manifest, uint32_t i, GString *name)
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
get_route(const struct loom_manifest *manifest, uint32_t i, GString *name)
{
	g_string_assign(name, manifest->routes[i].name);
	return &manifest->routes[i];
}

static const struct declaration_kind kinds[] = {
	{
	    .label = "team",
	    .properties = team_properties,
	    .removal_effect = "its keys are unknown from now on",
	    .count = count_teams,
	    .get = get_team,
	},
	{
	    .label = "key",
	    .properties = key_properties,
	    .removal_effect = "refused as unknown from now on",
	    .count = count_keys,
	    .get = get_key,
	},
	{
	    .label = "service",
	    .properties = service_properties,
	    .removal_effect = "no request reaches it",
	    .count = count_services,
	    .get = get_service,
	},
	{
	    .label = "route",
	    .properties = route_properties,
	    .removal_effect = "its requests match no route, or another",
	    .count = count_routes,
	    .get = get_route,
	},
};

/* Formats "team x", with the name up to its first newline. */
static char *
format_title(const struct declaration_kind *kind, const char *name)
{
	return g_strdup_printf(
	    "%s %.*s", kind->label, (int)strcspn(name, "\n"), name);
}

/* Maps names to declarations; the table owns the names. */
static GHashTable *
index_by_name(
    const struct declaration_kind *kind, const struct loom_manifest *manifest)
{
	GHashTable *table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GString *name = g_string_new(NULL);
	const void *data;
	uint32_t i;

	for (i = 0; i < kind->count(manifest); i++) {
		data = kind->get(manifest, i, name);
		g_hash_table_insert(table, g_strdup(name->str), (void *)data);
	}
	g_string_free(name, TRUE);
	return table;
}

static void
write_added_and_changed(GString *text, const struct declaration_kind *kind,
    const struct loom_manifest *from, const struct loom_manifest *to)
{
	GHashTable *old_by_name = index_by_name(kind, from);
	GString *name = g_string_new(NULL);
	struct declaration old_declaration, new_declaration;
	char *title;
	uint32_t i;

	for (i = 0; i < kind->count(to); i++) {
		new_declaration =
		    (struct declaration){ to, kind->get(to, i, name) };
		old_declaration = (struct declaration){ from,
			g_hash_table_lookup(old_by_name, name->str) };
		title = format_title(kind, name->str);
		if (old_declaration.data == NULL)
			write_added(
			    text, title, kind->properties, &new_declaration);
		else
			diff_properties(text, title, kind->properties,
			    &old_declaration, &new_declaration);
		g_free(title);
	}
	g_string_free(name, TRUE);
	g_hash_table_unref(old_by_name);
}

static void
write_removed(GString *text, const struct declaration_kind *kind,
    const struct loom_manifest *from, const struct loom_manifest *to)
{
	GHashTable *new_by_name = index_by_name(kind, to);
	GString *name = g_string_new(NULL);
	char *title;
	uint32_t i;

	for (i = 0; i < kind->count(from); i++) {
		kind->get(from, i, name);
		if (g_hash_table_contains(new_by_name, name->str))
			continue;
		title = format_title(kind, name->str);
		g_string_append_printf(
		    text, "%s: removed: %s\n", title, kind->removal_effect);
		g_free(title);
	}
	g_string_free(name, TRUE);
	g_hash_table_unref(new_by_name);
}

char *
loom_manifest_diff(
    const struct loom_manifest *from, const struct loom_manifest *to)
{
	struct declaration old_fleet = { from, &from->fleet };
	struct declaration new_fleet = { to, &to->fleet };
	GString *text = g_string_new(NULL);
	size_t i;

	diff_properties(
	    text, "fleet", fleet_properties, &old_fleet, &new_fleet);
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		write_removed(text, &kinds[i], from, to);
		write_added_and_changed(text, &kinds[i], from, to);
	}
	return g_string_free(text, FALSE);
}
