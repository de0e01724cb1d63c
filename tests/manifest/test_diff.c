/*
 * Tests the descriptions of a manifest: the changes between two manifests, why
 * a route is not repeatable, and why a request is refused.  The texts must not
 * contain the digest of a key.
 */

#include "loom/explain.h"
#include "manifest/manifest_support.h"

#define DIGEST_A                           \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B                           \
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb" \
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define DOCUMENT(teams, services, routes)                  \
	"{'document': 'a', 'version': 1, 'teams': [" teams \
	"], 'services': [" services "], 'routes': [" routes "]}"
#define TEAM(rate, keys) \
	"{'name': 't', 'rate_per_s': " rate ", 'burst': 9, 'keys': [" keys "]}"
#define KEY(id, digest, withdrawn) \
	"{'id': '" id "', 'sha256': '" digest "', 'withdrawn': " withdrawn "}"
#define SERVICE(slots) "{'name': 's', 'slots': " slots ", 'queue': 5}"
#define ROUTE(name, rest) \
	"{'name': '" name "', 'service': 's', 'path': '/" name "', " rest "}"
#define ORDER(rest) ROUTE("order", "'method': 'GET', " rest)
#define PAY(idempotent) \
	ROUTE("pay", "'method': 'POST', 'idempotent': " idempotent)

static struct loom_manifest *
build_manifest(const char *text)
{
	const char *texts[] = { text, NULL };
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest = test_manifest(texts, &problems);
	char *problems_text = loom_problems_text(problems);

	TEST_CHECK(manifest != NULL, "%s: %s", text, problems_text);
	g_free(problems_text);
	loom_problems_free(problems);
	return manifest;
}

static void
test_changes(void)
{
	static const struct {
		const char *from, *to, *changes;
	} cases[] = {
		{ DOCUMENT(TEAM("1", KEY("k", DIGEST_A, "false")), SERVICE("2"),
		      ORDER("'calls': ['pay']") "," PAY("false")),
		    DOCUMENT(TEAM("1", KEY("k", DIGEST_A, "false")),
			SERVICE("2"),
			PAY("false") "," ORDER("'calls': ['pay']")),
		    "" },
		{ DOCUMENT(TEAM("1", ""), "", ""),
		    DOCUMENT(TEAM("2.5", ""), "", ""),
		    "team t: rate 1/s -> 2.5/s\n" },
		{ DOCUMENT("", "", ""), DOCUMENT(TEAM("1", ""), "", ""),
		    "team t: added: rate 1/s; burst 9\n" },
		{ DOCUMENT(TEAM("1", KEY("k", DIGEST_A, "false")), "", ""),
		    DOCUMENT("", "", ""),
		    "team t: removed: its keys are unknown from now on\n"
		    "key k of team t: removed: "
		    "refused as unknown from now on\n" },
		{ DOCUMENT(TEAM("1", KEY("k", DIGEST_A, "false")), "", ""),
		    DOCUMENT(TEAM("1", KEY("k", DIGEST_A, "true")), "", ""),
		    "key k of team t: state granted -> withdrawn\n" },
		/* A new digest under the same id makes it a different key. */
		{ DOCUMENT(TEAM("1", KEY("k", DIGEST_A, "false")), "", ""),
		    DOCUMENT(TEAM("1", KEY("k", DIGEST_B, "false")), "", ""),
		    "key k of team t: removed: "
		    "refused as unknown from now on\n"
		    "key k of team t: added: state granted\n" },
		{ DOCUMENT("", SERVICE("2"), ""),
		    DOCUMENT("", SERVICE("3"), ""),
		    "service s: slots 2 -> 3\n" },
		{ DOCUMENT("", SERVICE("2"), ORDER("'importance': 'low'")),
		    DOCUMENT("", SERVICE("2"),
			ORDER("'importance': 'critical', "
			      "'deadline_ms': 5")),
		    "route order: importance low -> critical\n"
		    "route order: deadline 10000 ms -> 5 ms\n" },
		/* Route order is unchanged, but a route that it calls is not.
		 */
		{ DOCUMENT("", SERVICE("2"),
		      ORDER("'calls': ['pay']") "," PAY("true")),
		    DOCUMENT("", SERVICE("2"),
			ORDER("'calls': ['pay']") "," PAY("false")),
		    "route order: repeatable yes -> no (order -> pay)\n"
		    "route pay: idempotent yes -> no\n"
		    "route pay: repeatable yes -> no (pay)\n" },
		{ "{'document': 'a', 'version': 1}",
		    "{'document': 'a', 'version': 2, 'fleet': {'slots': 4, "
		    "'retry_budget': 1, 'retry_ratio': 0.25}}",
		    "fleet: slots as the hosts' list says -> 4\n"
		    "fleet: retry budget 2 -> 1\n"
		    "fleet: retry ratio 0.1 -> 0.25\n" },
	};
	struct loom_manifest *from, *to;
	char *changes;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		from = build_manifest(cases[i].from);
		to = build_manifest(cases[i].to);
		if (from == NULL || to == NULL)
			return;
		changes = loom_manifest_diff(from, to);
		TEST_CHECK(strcmp(changes, cases[i].changes) == 0, "%zu: %s", i,
		    changes);
		TEST_CHECK(strstr(changes, DIGEST_A) == NULL, "%zu", i);
		g_free(changes);
		loom_manifest_release(from);
		loom_manifest_release(to);
	}
}

#define EXPLAIN_DOCUMENT                                                          \
	DOCUMENT(                                                                 \
	    TEAM("1",                                                             \
		KEY("k", DIGEST_A,                                                \
		    "false")) ",{'name': 'empty', 'rate_per_s': 0, 'burst': 0}, " \
			      "{'name': 'left', 'rate_per_s': 1, 'burst': 1, "    \
			      "'keys': [" KEY("old", DIGEST_B, "true") "]}",      \
	    SERVICE("2"),                                                         \
	    ORDER("'calls': ['pay']") "," PAY("false") "," ROUTE(                 \
		"list", "'method': 'GET', 'importance': 'low'"))

static void
test_explain(void)
{
	static const struct {
		const char *team, *route;
		const char *part;
		bool expected; /* whether the text contains part */
	} cases[] = {
		{ "t", "order", "not idempotent because of: order -> pay\n",
		    true },
		{ "t", "order", "ticket: needed\n", true },
		{ "t", "order", "2300 TICKET_NEEDED (HTTP 428, not-run)",
		    true },
		{ "t", "order", "RETRY_BUDGET", false },
		{ "t", "pay", "not idempotent because of: pay\n", true },
		{ "t", "list", "repeatable: yes; at most 2 retries", true },
		{ "t", "list", "TICKET", false },
		{ "t", "list", "importance low is shed first", true },
		{ "t", "list", "KEY_WITHDRAWN", false },
		{ "t", "list", "is not one of the team's: k\n", true },
		{ "left", "list", "has been withdrawn: old\n", true },
		{ "left", "list", "has no active key: every request", true },
		{ "empty", "list", "rate or burst is 0: every request", true },
		{ "t", "list", DIGEST_A, false },
	};
	struct loom_manifest *manifest = build_manifest(EXPLAIN_DOCUMENT);
	char *text;
	size_t i;

	if (manifest == NULL)
		return;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = loom_manifest_explain(
		    manifest, cases[i].team, cases[i].route, NULL);
		TEST_CHECK(text != NULL &&
			(strstr(text, cases[i].part) != NULL) ==
			    cases[i].expected,
		    "%s %s %s: %s", cases[i].team, cases[i].route,
		    cases[i].part, text);
		g_free(text);
	}
	loom_manifest_release(manifest);
}

static void
test_explain_absent(void)
{
	static const struct {
		const char *team, *route, *message;
	} cases[] = {
		{ "lft", "order", "no team \"lft\", did you mean \"left\"?" },
		{ "t", "odrer", "no route \"odrer\", did you mean \"order\"?" },
		{ "t", "zebra-crossing", "no route \"zebra-crossing\"" },
	};
	struct loom_manifest *manifest = build_manifest(EXPLAIN_DOCUMENT);
	GError *error;
	size_t i;

	if (manifest == NULL)
		return;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		error = NULL;
		TEST_CHECK(loom_manifest_explain(manifest, cases[i].team,
			       cases[i].route, &error) == NULL,
		    "%zu", i);
		TEST_CHECK(error != NULL &&
			strcmp(error->message, cases[i].message) == 0,
		    "%zu: %s", i, error == NULL ? "" : error->message);
		TEST_CHECK(test_error_code_free(error) == LOOM_MANIFEST_ABSENT,
		    "%zu", i);
	}
	loom_manifest_release(manifest);
}

static const struct test_case tests[] = {
	{ "changes", test_changes },
	{ "explain", test_explain },
	{ "explain absent", test_explain_absent },
};

TEST_MAIN("manifest diff", tests)
