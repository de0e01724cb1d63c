/*
 * One function for each property of a declaration, which appends its value as
 * text, and one table of properties for each kind of declaration.
 */

#include "manifest/properties.h"
#include "loom/explain.h"

static void
write_rate(GString *text, const struct declaration *declaration)
{
	const struct loom_team *team = declaration->data;

	g_string_append_printf(text, "%.15g/s", team->rate_per_s);
}

static void
write_burst(GString *text, const struct declaration *declaration)
{
	const struct loom_team *team = declaration->data;

	g_string_append_printf(text, "%u", team->burst);
}

const struct property team_properties[] = {
	{ "rate", write_rate },
	{ "burst", write_burst },
	{ NULL, NULL },
};

static void
write_slots(GString *text, const struct declaration *declaration)
{
	const struct loom_service *service = declaration->data;

	g_string_append_printf(text, "%u", service->slots);
}

static void
write_queue(GString *text, const struct declaration *declaration)
{
	const struct loom_service *service = declaration->data;

	g_string_append_printf(text, "%u", service->queue);
}

static void
write_cold_start(GString *text, const struct declaration *declaration)
{
	const struct loom_service *service = declaration->data;

	g_string_append_printf(text, "%u ms", service->cold_start_ms);
}

static void
write_cold_rate(GString *text, const struct declaration *declaration)
{
	const struct loom_service *service = declaration->data;

	if (service->cold_per_s > 0)
		g_string_append_printf(text, "%g/s", service->cold_per_s);
	else
		g_string_append(text, "unlimited");
}

static void
write_health_path(GString *text, const struct declaration *declaration)
{
	const struct loom_service *service = declaration->data;

	g_string_append(text,
	    service->health_path[0] == '\0' ? "none" : service->health_path);
}

static void
write_load_path(GString *text, const struct declaration *declaration)
{
	const struct loom_service *service = declaration->data;

	g_string_append(
	    text, service->load_path[0] == '\0' ? "none" : service->load_path);
}

const struct property service_properties[] = {
	{ "slots", write_slots },
	{ "queue", write_queue },
	{ "cold start", write_cold_start },
	{ "cold rate", write_cold_rate },
	{ "load path", write_load_path },
	{ "health path", write_health_path },
	{ NULL, NULL },
};

static void
write_route_service(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;

	g_string_append(
	    text, declaration->manifest->services[route->service_index].name);
}

static void
write_match(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;

	g_string_append_printf(text, "%s %s%s", route->method, route->path,
	    route->prefix ? "*" : "");
}

static void
write_importance(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;

	g_string_append(text, loom_importance_name(route->importance));
}

static void
write_idempotent(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;

	g_string_append(text, route->idempotent ? "yes" : "no");
}

static void
write_repeatable(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;
	char *call_chain;

	if (route->repeatable) {
		g_string_append(text, "yes");
		return;
	}
	call_chain =
	    loom_manifest_non_idempotent_chain(declaration->manifest, route);
	g_string_append_printf(text, "no (%s)", call_chain);
	g_free(call_chain);
}

static void
write_calls(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;
	uint32_t i;

	if (route->ncalls == 0)
		g_string_append(text, "none");
	for (i = 0; i < route->ncalls; i++)
		g_string_append_printf(text, "%s%s", i == 0 ? "" : ", ",
		    declaration->manifest->routes[route->calls[i]].name);
}

static void
write_deadline(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;

	g_string_append_printf(text, "%u ms", route->deadline_ms);
}

static void
write_body_limit(GString *text, const struct declaration *declaration)
{
	const struct loom_route *route = declaration->data;

	g_string_append_printf(text, "%" G_GUINT64_FORMAT " bytes",
	    (guint64)route->max_body_bytes);
}

const struct property route_properties[] = {
	{ "service", write_route_service },
	{ "match", write_match },
	{ "importance", write_importance },
	{ "idempotent", write_idempotent },
	{ "repeatable", write_repeatable },
	{ "calls", write_calls },
	{ "deadline", write_deadline },
	{ "body limit", write_body_limit },
	{ NULL, NULL },
};

static void
write_fleet_slots(GString *text, const struct declaration *declaration)
{
	const struct loom_fleet *fleet = declaration->data;

	if (fleet->slots == 0)
		g_string_append(text, "as the hosts' list says");
	else
		g_string_append_printf(text, "%u", fleet->slots);
}

static void
write_retry_budget(GString *text, const struct declaration *declaration)
{
	const struct loom_fleet *fleet = declaration->data;

	g_string_append_printf(text, "%u", fleet->retry_budget);
}

static void
write_retry_ratio(GString *text, const struct declaration *declaration)
{
	const struct loom_fleet *fleet = declaration->data;

	g_string_append_printf(text, "%.15g", fleet->retry_ratio);
}

const struct property fleet_properties[] = {
	{ "slots", write_fleet_slots },
	{ "retry budget", write_retry_budget },
	{ "retry ratio", write_retry_ratio },
	{ NULL, NULL },
};

static void
write_key_state(GString *text, const struct declaration *declaration)
{
	const struct loom_key *key = declaration->data;

	g_string_append(text, key->withdrawn ? "withdrawn" : "granted");
}

const struct property key_properties[] = {
	{ "state", write_key_state },
	{ NULL, NULL },
};
