/*
 * Resolves references between declarations: a route's services and calls.
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

/* Takes ownership of where.  names is NULL-terminated. */
static void
report_unknown(struct build *build, char *where, const char *kind,
    const char *name, const char *const *names)
{
	const char *nearest = loom_nearest_name(name, names);

	if (nearest != NULL)
		build_report(build, LOOM_MANIFEST_REFERENCE, where,
		    "no %s \"%s\", did you mean \"%s\"?", kind, name, nearest);
	else
		build_report(build, LOOM_MANIFEST_REFERENCE, where,
		    "no %s \"%s\"", kind, name);
	g_free(where);
}

/* Takes ownership of where. */
static void
report_unknown_service(struct build *build, char *where, const char *name)
{
	const struct loom_manifest *manifest = build->manifest;
	const char **names = g_new0(const char *, manifest->nservices + 1);
	uint32_t i;

	for (i = 0; i < manifest->nservices; i++)
		names[i] = manifest->services[i].name;
	report_unknown(build, where, "service", name, names);
	g_free(names);
}

/* Returns the index of the named service.  Reports an unknown one and returns
 * NO_INDEX.  member is the field of the route that refers to it. */
static uint32_t
resolve_service(struct build *build, const struct declaration *declaration,
    const char *member, const char *name)
{
	const struct loom_service *service;

	service = loom_manifest_service(build->manifest, name);
	if (service != NULL)
		return (uint32_t)(service - build->manifest->services);
	report_unknown_service(build,
	    g_strdup_printf("%s:routes[%u].%s", declaration->document->file,
		declaration->index, member),
	    name);
	return NO_INDEX;
}

/* Omits parts whose service is unknown. */
static void
resolve_parts(struct build *build, struct loom_route *route,
    const struct declaration *declaration, const GArray *parts)
{
	const struct split_entry *entry;
	uint32_t service_index;
	guint i;

	if (parts->len > 0)
		route->splits = g_new(struct loom_route_split, parts->len);
	for (i = 0; i < parts->len; i++) {
		entry = &g_array_index(parts, struct split_entry, i);
		service_index = resolve_service(
		    build, declaration, "split", entry->service);
		if (service_index == NO_INDEX)
			continue;
		route->splits[route->nsplits++] = (struct loom_route_split){
			.service_index = service_index,
			.weight = entry->weight,
		};
	}
}

static char *
call_location(const struct declaration *declaration, guint call)
{
	return g_strdup_printf("%s:routes[%u].calls[%u]",
	    declaration->document->file, declaration->index, call);
}

static void
report_unknown_call(struct build *build, const struct declaration *declaration,
    guint call, const char *name)
{
	const struct loom_manifest *manifest = build->manifest;
	const char **names = g_new0(const char *, manifest->nroutes + 1);
	uint32_t i;

	for (i = 0; i < manifest->nroutes; i++)
		names[i] = manifest->routes[i].name;
	report_unknown(
	    build, call_location(declaration, call), "route", name, names);
	g_free(names);
}

static void
report_duplicate_call(struct build *build,
    const struct declaration *declaration, guint call, const char *name)
{
	char *where = call_location(declaration, call);

	build_report(build, LOOM_MANIFEST_DUPLICATE, where,
	    "call \"%s\" is listed twice", name);
	g_free(where);
}

/* Omits unknown calls.  A call that is listed several times is resolved at its
 * last occurrence and reported at each earlier one. */
static void
resolve_calls(struct build *build, struct loom_route *route,
    const struct declaration *declaration, char **calls)
{
	const char *const *names = (const char *const *)calls;
	const struct loom_route *target;
	guint i, n = g_strv_length(calls);

	if (n > 0)
		route->calls = g_new(uint32_t, n);
	for (i = 0; i < n; i++) {
		target = loom_manifest_route_by_name(build->manifest, names[i]);
		if (target == NULL)
			report_unknown_call(build, declaration, i, names[i]);
		else if (!g_strv_contains(names + i + 1, names[i]))
			route->calls[route->ncalls++] =
			    (uint32_t)(target - build->manifest->routes);
		if (g_strv_contains(names + i + 1, names[i]))
			report_duplicate_call(build, declaration, i, names[i]);
	}
}

static void
resolve_route(struct build *build, uint32_t route_index)
{
	struct loom_route *route = &build->manifest->routes[route_index];
	const struct declaration *declaration = &build->routes[route_index];
	const struct route_entry *entry;

	entry = &g_array_index(declaration->document->body.routes,
	    struct route_entry, declaration->index);
	route->service_index =
	    resolve_service(build, declaration, "service", entry->service);
	resolve_parts(build, route, declaration, entry->splits);
	resolve_calls(build, route, declaration, entry->calls);
}

void
build_resolve(struct build *build)
{
	uint32_t i;

	for (i = 0; i < build->manifest->nroutes; i++)
		resolve_route(build, i);
}
