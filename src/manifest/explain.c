/*
 * Describes how a request of one team to one route is handled, and why it may
 * be refused.  A refusal that the manifest decides is described with the
 * declared values; one that depends on the state of the system at run time is
 * described with its condition.
 */

#include "loom/explain.h"
#include "loom/json.h"

/* The team, route and service of the request that is described. */
struct request {
	const struct loom_manifest *manifest;
	const struct loom_team *team;
	const struct loom_route *route;
	const struct loom_service *service;
};

/* A result code with which a request may be refused. */
struct refusal {
	enum loom_result code;
	bool (*applies)(const struct request *); /* NULL: always */
	/* Appends the reason for the refusal. */
	void (*write)(GString *, const struct request *);
};

static bool
needs_ticket(const struct request *request)
{
	return !request->route->repeatable;
}

static bool
may_retry(const struct request *request)
{
	return request->route->repeatable &&
	    request->manifest->fleet.retry_budget > 0;
}

/* Counts the team's keys that are withdrawn, or those that are not. */
static uint32_t
count_keys(const struct request *request, bool withdrawn)
{
	const struct loom_manifest *manifest = request->manifest;
	uint32_t i, count = 0;

	for (i = 0; i < manifest->nkeys; i++) {
		if (&manifest->teams[manifest->keys[i].team_index] ==
			request->team &&
		    manifest->keys[i].withdrawn == withdrawn)
			count++;
	}
	return count;
}

static bool
has_withdrawn_keys(const struct request *request)
{
	return count_keys(request, true) > 0;
}

static void
write_key_ids(GString *text, const struct request *request, bool withdrawn)
{
	const struct loom_manifest *manifest = request->manifest;
	const char *separator = "";
	uint32_t i;

	for (i = 0; i < manifest->nkeys; i++) {
		if (&manifest->teams[manifest->keys[i].team_index] !=
			request->team ||
		    manifest->keys[i].withdrawn != withdrawn)
			continue;
		g_string_append_printf(
		    text, "%s%s", separator, manifest->keys[i].id);
		separator = ", ";
	}
}

static void
write_key_missing(GString *text, const struct request *request)
{
	(void)request;
	g_string_append(text, "the request carries no key");
}

static void
write_key_unknown(GString *text, const struct request *request)
{
	uint32_t count = count_keys(request, false);

	if (count == 0) {
		g_string_append(text,
		    "the team has no active key: every "
		    "request of it is refused");
		return;
	}
	g_string_append(text, "the key is not one of the team's: ");
	write_key_ids(text, request, false);
}

static void
write_key_withdrawn(GString *text, const struct request *request)
{
	g_string_append(text, "the key has been withdrawn: ");
	write_key_ids(text, request, true);
}

static void
write_body_too_large(GString *text, const struct request *request)
{
	g_string_append_printf(text,
	    "the body is over %" G_GUINT64_FORMAT " bytes",
	    (guint64)request->route->max_body_bytes);
}

static void
write_team_rate(GString *text, const struct request *request)
{
	const struct loom_team *team = request->team;

	if (team->rate_per_s == 0 || team->burst == 0) {
		g_string_append(text,
		    "the team's rate or burst is 0: every "
		    "request of it is refused");
		return;
	}
	g_string_append_printf(text,
	    "the team is over %.15g requests a second with a burst of %u, "
	    "over all daemons together",
	    team->rate_per_s, team->burst);
}

static void
write_overload(GString *text, const struct request *request)
{
	static const char *const shedding_order[] = {
		[LOOM_CRITICAL] = "shed last, after all other importances",
		[LOOM_HIGH] = "shed after normal and low, before critical",
		[LOOM_NORMAL] = "shed after low, before high and critical",
		[LOOM_LOW] = "shed first",
	};

	g_string_append_printf(text,
	    "service %s, or one that it calls, is overloaded; importance "
	    "%s is %s",
	    request->service->name,
	    loom_importance_name(request->route->importance),
	    shedding_order[request->route->importance]);
}

static void
write_queue_deadline(GString *text, const struct request *request)
{
	g_string_append_printf(text,
	    "the deadline (%u ms when the caller names none) would pass in "
	    "the queue of at most %u",
	    request->route->deadline_ms, request->service->queue);
}

static void
write_no_target(GString *text, const struct request *request)
{
	g_string_append_printf(text,
	    "the list of hosts names no live upstream of service %s",
	    request->service->name);
}

static void
write_ticket_needed(GString *text, const struct request *request)
{
	(void)request;
	g_string_append(text,
	    "the request carries no ticket; the refusal includes a new one");
}

static void
write_ticket_lost(GString *text, const struct request *request)
{
	(void)request;
	g_string_append(text,
	    "the daemon that issued the ticket is gone: "
	    "the request may have run");
}

static void
write_retry_budget(GString *text, const struct request *request)
{
	g_string_append_printf(text,
	    "a hop failed and the whole chain has used its %u retries",
	    request->manifest->fleet.retry_budget);
}

static void
write_deadline(GString *text, const struct request *request)
{
	(void)request;
	g_string_append(text, "the deadline passed while the request ran");
}

static void
write_quarantined(GString *text, const struct request *request)
{
	g_string_append_printf(text,
	    "the same request crashed upstreams of service %s before",
	    request->service->name);
}

static const struct refusal refusals[] = {
	{ LOOM_KEY_MISSING, NULL, write_key_missing },
	{ LOOM_KEY_UNKNOWN, NULL, write_key_unknown },
	{ LOOM_KEY_WITHDRAWN, has_withdrawn_keys, write_key_withdrawn },
	{ LOOM_BODY_TOO_LARGE, NULL, write_body_too_large },
	{ LOOM_TEAM_RATE, NULL, write_team_rate },
	{ LOOM_TICKET_NEEDED, needs_ticket, write_ticket_needed },
	{ LOOM_TICKET_LOST, needs_ticket, write_ticket_lost },
	{ LOOM_OVERLOAD, NULL, write_overload },
	{ LOOM_QUEUE_DEADLINE, NULL, write_queue_deadline },
	{ LOOM_NO_TARGET, NULL, write_no_target },
	{ LOOM_RETRY_BUDGET, may_retry, write_retry_budget },
	{ LOOM_DEADLINE, NULL, write_deadline },
	{ LOOM_QUARANTINED, NULL, write_quarantined },
};

static void
write_retry_rules(GString *text, const struct request *request)
{
	uint32_t budget = request->manifest->fleet.retry_budget;
	char *call_chain;

	if (request->route->repeatable) {
		g_string_append_printf(text,
		    "  ticket: not needed\n"
		    "  repeatable: yes; at most %u retries over the whole "
		    "chain\n",
		    budget);
		return;
	}
	call_chain = loom_manifest_non_idempotent_chain(
	    request->manifest, request->route);
	g_string_append_printf(text,
	    "  ticket: needed\n"
	    "  repeatable: no, not after it may have run; not idempotent "
	    "because of: %s\n",
	    call_chain);
	g_free(call_chain);
}

static void
write_request(GString *text, const struct request *request)
{
	const struct loom_route *route = request->route;
	uint32_t i;

	g_string_append_printf(text,
	    "A request of team %s to route %s (%s %s%s, service %s)\n",
	    request->team->name, route->name, route->method, route->path,
	    route->prefix ? "*" : "", request->service->name);
	g_string_append_printf(text,
	    "  importance: %s\n"
	    "  deadline: %u ms when the caller names none\n"
	    "  calls:",
	    loom_importance_name(route->importance), route->deadline_ms);
	for (i = 0; i < route->ncalls; i++)
		g_string_append_printf(text, "%s %s", i == 0 ? "" : ",",
		    request->manifest->routes[route->calls[i]].name);
	g_string_append(text, route->ncalls == 0 ? " none\n" : "\n");
	write_retry_rules(text, request);
}

static void
write_refusals(GString *text, const struct request *request)
{
	const struct loom_result_info *info;
	size_t i;

	g_string_append(text, "It is refused when\n");
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		if (refusals[i].applies != NULL &&
		    !refusals[i].applies(request))
			continue;
		info = loom_result_info(refusals[i].code);
		g_string_append_printf(text,
		    "  %d %s (HTTP %u, %s): ", (int)info->code, info->name,
		    (unsigned)info->http_status,
		    loom_outcome_name(info->outcome));
		refusals[i].write(text, request);
		g_string_append_c(text, '\n');
	}
}

/* Sets the error for a name that the manifest does not declare. */
static bool
report_undeclared(GError **error, const char *kind, const char *name,
    const char **declared_names)
{
	const char *nearest = loom_nearest_name(name, declared_names);

	if (nearest == NULL)
		return loom_set_error(
		    error, LOOM_MANIFEST_ABSENT, "no %s \"%s\"", kind, name);
	return loom_set_error(error, LOOM_MANIFEST_ABSENT,
	    "no %s \"%s\", did you mean \"%s\"?", kind, name, nearest);
}

static bool
find_team(struct request *request, const char *name, GError **error)
{
	const struct loom_manifest *manifest = request->manifest;
	const char **declared_names;
	uint32_t i;

	request->team = loom_manifest_team(manifest, loom_name_id(name));
	if (request->team != NULL)
		return true;
	declared_names = g_new0(const char *, manifest->nteams + 1);
	for (i = 0; i < manifest->nteams; i++)
		declared_names[i] = manifest->teams[i].name;
	report_undeclared(error, "team", name, declared_names);
	g_free(declared_names);
	return false;
}

static bool
find_route(struct request *request, const char *name, GError **error)
{
	const struct loom_manifest *manifest = request->manifest;
	const char **declared_names;
	uint32_t i;

	request->route = loom_manifest_route_by_name(manifest, name);
	if (request->route != NULL)
		return true;
	declared_names = g_new0(const char *, manifest->nroutes + 1);
	for (i = 0; i < manifest->nroutes; i++)
		declared_names[i] = manifest->routes[i].name;
	report_undeclared(error, "route", name, declared_names);
	g_free(declared_names);
	return false;
}

char *
loom_manifest_explain(const struct loom_manifest *manifest, const char *team,
    const char *route, GError **error)
{
	struct request request = { .manifest = manifest };
	GString *text;

	if (!find_team(&request, team, error) ||
	    !find_route(&request, route, error))
		return NULL;
	request.service = &manifest->services[request.route->service_index];
	text = g_string_new(NULL);
	write_request(text, &request);
	write_refusals(text, &request);
	return g_string_free(text, FALSE);
}
