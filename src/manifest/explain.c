/*
 * What a request of one team to one route meets.  Refusals that depend on
 * the manifest say how; those that depend on the moment say on what.
 */

#include "loom/explain.h"
#include "loom/json.h"

struct subject {
	const struct loom_manifest *manifest;
	const struct loom_team *team;
	const struct loom_route *route;
	const struct loom_service *service;
};

/* A refusal that a request may meet; write adds the reason. */
struct reason {
	enum loom_result code;
	bool (*applies)(const struct subject *); /* NULL: always */
	void (*write)(GString *, const struct subject *);
};

static bool
needs_ticket(const struct subject *subject)
{
	return !subject->route->repeatable;
}

static bool
may_repeat(const struct subject *subject)
{
	return subject->route->repeatable &&
	    subject->manifest->fleet.retry_budget > 0;
}

static uint32_t
count_keys(const struct subject *subject, bool withdrawn)
{
	const struct loom_manifest *manifest = subject->manifest;
	uint32_t i, n = 0;

	for (i = 0; i < manifest->nkeys; i++) {
		if (&manifest->teams[manifest->keys[i].team_index] ==
			subject->team &&
		    manifest->keys[i].withdrawn == withdrawn)
			n++;
	}
	return n;
}

static bool
has_withdrawn_keys(const struct subject *subject)
{
	return count_keys(subject, true) > 0;
}

static void
write_key_ids(GString *text, const struct subject *subject, bool withdrawn)
{
	const struct loom_manifest *manifest = subject->manifest;
	const char *between = "";
	uint32_t i;

	for (i = 0; i < manifest->nkeys; i++) {
		if (&manifest->teams[manifest->keys[i].team_index] !=
			subject->team ||
		    manifest->keys[i].withdrawn != withdrawn)
			continue;
		g_string_append_printf(
		    text, "%s%s", between, manifest->keys[i].id);
		between = ", ";
	}
}

static void
write_key_missing(GString *text, const struct subject *subject)
{
	(void)subject;
	g_string_append(text, "the request carries no key");
}

static void
write_key_unknown(GString *text, const struct subject *subject)
{
	uint32_t n = count_keys(subject, false);

	if (n == 0) {
		g_string_append(text,
		    "the team has no key in force: every "
		    "request of it is refused");
		return;
	}
	g_string_append(text, "the key is none of the team's: ");
	write_key_ids(text, subject, false);
}

static void
write_key_withdrawn(GString *text, const struct subject *subject)
{
	g_string_append(text, "the key is a withdrawn one: ");
	write_key_ids(text, subject, true);
}

static void
write_body(GString *text, const struct subject *subject)
{
	g_string_append_printf(text,
	    "the body is over %" G_GUINT64_FORMAT " bytes",
	    (guint64)subject->route->max_body_bytes);
}

static void
write_rate(GString *text, const struct subject *subject)
{
	const struct loom_team *team = subject->team;

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
write_overload(GString *text, const struct subject *subject)
{
	static const char *const when[] = {
		[LOOM_CRITICAL] = "shed last, after all other importances",
		[LOOM_HIGH] = "shed after normal and low, before critical",
		[LOOM_NORMAL] = "shed after low, before high and critical",
		[LOOM_LOW] = "shed first",
	};

	g_string_append_printf(text,
	    "service %s, or one that it calls, is overloaded; importance "
	    "%s is %s",
	    subject->service->name,
	    loom_importance_name(subject->route->importance),
	    when[subject->route->importance]);
}

static void
write_queue(GString *text, const struct subject *subject)
{
	g_string_append_printf(text,
	    "the deadline (%u ms when the caller names none) would pass in "
	    "the queue of at most %u",
	    subject->route->deadline_ms, subject->service->queue);
}

static void
write_no_target(GString *text, const struct subject *subject)
{
	g_string_append_printf(text,
	    "the list of hosts names no live upstream of service %s",
	    subject->service->name);
}

static void
write_ticket(GString *text, const struct subject *subject)
{
	(void)subject;
	g_string_append(text,
	    "the request carries no ticket; the refusal brings a fresh one");
}

static void
write_ticket_lost(GString *text, const struct subject *subject)
{
	(void)subject;
	g_string_append(text,
	    "the daemon that issued the ticket is gone: "
	    "the request may have run");
}

static void
write_retry_budget(GString *text, const struct subject *subject)
{
	g_string_append_printf(text,
	    "a hop failed and the whole chain has used its %u retries",
	    subject->manifest->fleet.retry_budget);
}

static void
write_deadline(GString *text, const struct subject *subject)
{
	(void)subject;
	g_string_append(text, "the deadline passed while the request ran");
}

static void
write_quarantine(GString *text, const struct subject *subject)
{
	g_string_append_printf(text,
	    "the same request crashed upstreams of service %s before",
	    subject->service->name);
}

static const struct reason reasons[] = {
	{ LOOM_KEY_MISSING, NULL, write_key_missing },
	{ LOOM_KEY_UNKNOWN, NULL, write_key_unknown },
	{ LOOM_KEY_WITHDRAWN, has_withdrawn_keys, write_key_withdrawn },
	{ LOOM_BODY_TOO_LARGE, NULL, write_body },
	{ LOOM_TEAM_RATE, NULL, write_rate },
	{ LOOM_TICKET_NEEDED, needs_ticket, write_ticket },
	{ LOOM_TICKET_LOST, needs_ticket, write_ticket_lost },
	{ LOOM_OVERLOAD, NULL, write_overload },
	{ LOOM_QUEUE_DEADLINE, NULL, write_queue },
	{ LOOM_NO_TARGET, NULL, write_no_target },
	{ LOOM_RETRY_BUDGET, may_repeat, write_retry_budget },
	{ LOOM_DEADLINE, NULL, write_deadline },
	{ LOOM_QUARANTINED, NULL, write_quarantine },
};

static void
write_repeats(GString *text, const struct subject *subject)
{
	uint32_t budget = subject->manifest->fleet.retry_budget;
	char *why;

	if (subject->route->repeatable) {
		g_string_append_printf(text,
		    "  ticket: not needed\n"
		    "  repeatable: yes; at most %u retries over the whole "
		    "chain\n",
		    budget);
		return;
	}
	why =
	    loom_manifest_why_not_repeatable(subject->manifest, subject->route);
	g_string_append_printf(text,
	    "  ticket: needed\n"
	    "  repeatable: no, never once it may have run; not idempotent "
	    "by: %s\n",
	    why);
	g_free(why);
}

static void
write_subject(GString *text, const struct subject *subject)
{
	const struct loom_route *route = subject->route;
	uint32_t i;

	g_string_append_printf(text,
	    "A request of team %s to route %s (%s %s%s, service %s)\n",
	    subject->team->name, route->name, route->method, route->path,
	    route->prefix ? "*" : "", subject->service->name);
	g_string_append_printf(text,
	    "  importance: %s\n"
	    "  deadline: %u ms when the caller names none\n"
	    "  calls:",
	    loom_importance_name(route->importance), route->deadline_ms);
	for (i = 0; i < route->ncalls; i++)
		g_string_append_printf(text, "%s %s", i == 0 ? "" : ",",
		    subject->manifest->routes[route->calls[i]].name);
	g_string_append(text, route->ncalls == 0 ? " none\n" : "\n");
	write_repeats(text, subject);
}

static void
write_reasons(GString *text, const struct subject *subject)
{
	const struct loom_result_info *info;
	size_t i;

	g_string_append(text, "It is refused when\n");
	for (i = 0; i < G_N_ELEMENTS(reasons); i++) {
		if (reasons[i].applies != NULL && !reasons[i].applies(subject))
			continue;
		info = loom_result_info(reasons[i].code);
		g_string_append_printf(text,
		    "  %d %s (HTTP %u, %s): ", (int)info->code, info->name,
		    (unsigned)info->http_status,
		    loom_outcome_name(info->outcome));
		reasons[i].write(text, subject);
		g_string_append_c(text, '\n');
	}
}

static bool
fail_absent(
    GError **error, const char *kind, const char *name, const char **known)
{
	const char *nearest = loom_nearest_name(name, known);

	if (nearest == NULL)
		return loom_fail(
		    error, LOOM_MANIFEST_ABSENT, "no %s \"%s\"", kind, name);
	return loom_fail(error, LOOM_MANIFEST_ABSENT,
	    "no %s \"%s\", did you mean \"%s\"?", kind, name, nearest);
}

static bool
find_team(struct subject *subject, const char *name, GError **error)
{
	const struct loom_manifest *manifest = subject->manifest;
	const char **known;
	uint32_t i;

	subject->team = loom_manifest_team(manifest, loom_name_id(name));
	if (subject->team != NULL)
		return true;
	known = g_new0(const char *, manifest->nteams + 1);
	for (i = 0; i < manifest->nteams; i++)
		known[i] = manifest->teams[i].name;
	fail_absent(error, "team", name, known);
	g_free(known);
	return false;
}

static bool
find_route(struct subject *subject, const char *name, GError **error)
{
	const struct loom_manifest *manifest = subject->manifest;
	const char **known;
	uint32_t i;

	subject->route = loom_manifest_route_by_name(manifest, name);
	if (subject->route != NULL)
		return true;
	known = g_new0(const char *, manifest->nroutes + 1);
	for (i = 0; i < manifest->nroutes; i++)
		known[i] = manifest->routes[i].name;
	fail_absent(error, "route", name, known);
	g_free(known);
	return false;
}

char *
loom_manifest_explain(const struct loom_manifest *manifest, const char *team,
    const char *route, GError **error)
{
	struct subject subject = { .manifest = manifest };
	GString *text;

	if (!find_team(&subject, team, error) ||
	    !find_route(&subject, route, error))
		return NULL;
	subject.service = &manifest->services[subject.route->service_index];
	text = g_string_new(NULL);
	write_subject(text, &subject);
	write_reasons(text, &subject);
	return g_string_free(text, FALSE);
}
