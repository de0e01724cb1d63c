/*
 * References between declarations: a route's service and its calls.
 */

#include "loom/json.h"
#include "manifest/build.h"

void
build_report(struct build *build, enum loom_result code, const char *where,
    const char *fmt, ...)
{
	char *message;
	va_list ap;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	loom_problem_add(build->problems, code, where, "%s", message);
	g_free(message);
	build->ok = false;
}

/* What the name stands for, or NULL and a problem that names the nearest
 * known one. */
static void *
resolve(struct build *build, GHashTable *table, const char *kind,
    const char *name, const char *where)
{
	void *found = g_hash_table_lookup(table, name);
	const char **names;
	const char *nearest;

	if (found != NULL)
		return found;
	names = (const char **)g_hash_table_get_keys_as_array(table, NULL);
	nearest = loom_nearest_name(name, names);
	if (nearest != NULL)
		build_report(build, LOOM_MANIFEST_REFERENCE, where,
		    "no %s \"%s\", did you mean \"%s\"?", kind, name, nearest);
	else
		build_report(build, LOOM_MANIFEST_REFERENCE, where,
		    "no %s \"%s\"", kind, name);
	g_free(names);
	return NULL;
}

static void
resolve_calls(struct build *build, struct loom_route *route,
    const struct route_entry *entry, const char *file, guint at)
{
	const char *const *names = (const char *const *)entry->calls;
	const struct loom_route *target;
	guint i, n = g_strv_length(entry->calls);
	char *where;

	route->calls = g_new(uint32_t, n);
	for (i = 0; i < n; i++) {
		where = g_strdup_printf("%s:routes[%u].calls[%u]", file, at, i);
		target =
		    resolve(build, build->routes, "route", names[i], where);
		if (target != NULL)
			route->calls[route->ncalls++] =
			    (uint32_t)(target - build->manifest->routes);
		if (g_strv_contains(names + i + 1, names[i]))
			build_report(build, LOOM_MANIFEST_DUPLICATE, where,
			    "call \"%s\" is listed twice", names[i]);
		g_free(where);
	}
}

uint32_t
build_resolve(
    struct build *build, const struct loom_document *document, uint32_t first)
{
	const struct loom_service *service;
	const struct route_entry *entry;
	struct loom_route *route;
	char *where;
	guint i;

	for (i = 0; i < document->body.routes->len; i++) {
		entry = &g_array_index(
		    document->body.routes, struct route_entry, i);
		route = &build->manifest->routes[first + i];
		where =
		    g_strdup_printf("%s:routes[%u].service", document->file, i);
		service = resolve(
		    build, build->services, "service", entry->service, where);
		if (service != NULL)
			route->service_index =
			    (uint32_t)(service - build->manifest->services);
		g_free(where);
		resolve_calls(build, route, entry, document->file, i);
	}
	return first + i;
}
