/*
 * Tests of partial manifests, which daemons build from conflicting documents.
 *
 * Two operators publish at the same time; each document passed the pipeline's
 * check against the old version of the other.  A daemon that rejected
 * the set would still accept keys that have since been withdrawn, and one that
 * starts at that moment would have no manifest at all.  So all valid elements
 * must take effect, conflicts must be resolved on the safe side, and the order
 * in which documents arrive must not matter.
 */

#include "loom/explain.h"
#include "manifest/manifest_support.h"

#define DIGEST_A                           \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B                           \
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb" \
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define DOCUMENT(name, rest) "{'document': '" name "', 'version': 1, " rest "}"
#define TEAM(name, rate, keys)                                      \
	"{'name': '" name "', 'rate_per_s': " rate ", 'burst': 9, " \
	"'keys': [" keys "]}"
#define KEY(id, digest, withdrawn) \
	"{'id': '" id "', 'sha256': '" digest "', 'withdrawn': " withdrawn "}"
#define SERVICE(name, slots) \
	"{'name': '" name "', 'slots': " slots ", 'queue': 5}"
#define ROUTE(name, service, path, idempotent, calls)                        \
	"{'name': '" name "', 'service': '" service                          \
	"', 'method': 'POST', 'path': '" path "', 'idempotent': " idempotent \
	", 'calls': [" calls "]}"

static const struct {
	const char *texts[3];
	size_t problems;
	/* texts that the listing of the manifest must and must not contain */
	const char *contains[4];
	const char *omits;
} cases[] = {
	/* a team in two documents gets no more than either allows */
	{ .texts = { DOCUMENT("a", "'teams': [" TEAM("t", "8", "") "]"),
	      DOCUMENT("b",
		  "'teams': [" TEAM("u", "1", "") "," TEAM(
		      "t", "5", KEY("k", DIGEST_A, "false")) "]") },
	    .problems = 1,
	    .contains = { "team t: added: rate 5/s; burst 9\n",
		"team u: ", "key k of team t: added: state granted\n" },
	    .omits = "rate 8/s" },
	/* a withdrawal takes effect although another document is invalid */
	{ .texts = { DOCUMENT("a",
			 "'teams': [" TEAM(
			     "t", "8", KEY("k", DIGEST_A, "true")) "]"),
	      DOCUMENT(
		  "b", "'routes': [" ROUTE("r", "gone", "/", "true", "") "]") },
	    .problems = 1,
	    .contains = { "key k of team t: added: state withdrawn\n" },
	    .omits = "route r" },
	/* a key granted by one document and withdrawn by the other */
	{ .texts = { DOCUMENT("a",
			 "'teams': [" TEAM(
			     "t", "8", KEY("k", DIGEST_A, "false")) "]"),
	      DOCUMENT("b",
		  "'teams': [" TEAM(
		      "t", "8", KEY("k", DIGEST_A, "true")) "]") },
	    .problems = 2,
	    .contains = { "key k of team t: added: state withdrawn\n" },
	    .omits = "granted" },
	/* a key of two teams could attribute a request to the wrong team */
	{ .texts = { DOCUMENT("a",
			 "'teams': [" TEAM(
			     "t", "8", KEY("k", DIGEST_A, "false")) "]"),
	      DOCUMENT("b",
		  "'teams': [" TEAM("u", "8",
		      KEY("k", DIGEST_A, "false") "," KEY(
			  "l", DIGEST_B, "false")) "]") },
	    .problems = 1,
	    .contains = { "key k of team t: added: state withdrawn\n",
		"key k of team u: added: state withdrawn\n",
		"key l of team u: added: state granted\n" },
	    .omits = "key k of team t: added: state granted" },
	{ .texts = { DOCUMENT("a", "'services': [" SERVICE("s", "8") "]"),
	      DOCUMENT("b", "'services': [" SERVICE("s", "4") "]") },
	    .problems = 1,
	    .contains = { "service s: added: slots 4; " },
	    .omits = "slots 8" },
	/* a route is moved between documents; only one version takes a
	 * payment */
	{ .texts = { DOCUMENT("a",
			 "'services': [" SERVICE(
			     "s", "1") "], 'routes': [" ROUTE("x", "s", "/x",
			     "true", "") "," ROUTE("top", "s", "/top", "true",
			     "'x'") "]"),
	      DOCUMENT("b",
		  "'routes': [" ROUTE(
		      "x", "s", "/x", "true", "'pay'") "," ROUTE("pay", "s",
		      "/pay", "false", "") "]") },
	    .problems = 2,
	    .contains = { "repeatable no (x -> pay); calls pay;",
		"repeatable no (top -> x -> pay)" },
	    .omits = "repeatable yes" },
	{ .texts = { DOCUMENT("a",
			 "'services': [" SERVICE(
			     "s", "1") "], 'routes': [" ROUTE("x", "s", "/x",
			     "true", "") "]"),
	      DOCUMENT(
		  "b", "'routes': [" ROUTE("x", "s", "/y", "false", "") "]") },
	    .problems = 1,
	    .contains = { "match POST /x; importance normal; idempotent no;" },
	    .omits = "idempotent yes" },
	/* only the route to an unknown service is omitted */
	{ .texts = { DOCUMENT("a",
	      "'services': [" SERVICE("s", "1") "], 'routes': [" ROUTE(
		  "lost", "gone", "/l", "true", "") "," ROUTE("x", "s", "/x",
		  "true", "'lost', 'none'") "]") },
	    .problems = 2,
	    .contains = { "route x: added: service s;",
		"repeatable yes; calls none" },
	    .omits = "route lost" },
	/* routes in a cycle are kept, but neither they nor their callers are
	 * repeatable */
	{ .texts = { DOCUMENT("a",
			 "'services': [" SERVICE(
			     "s", "1") "], 'routes': [" ROUTE("x", "s", "/x",
			     "true", "'y'") "," ROUTE("top", "s", "/top",
			     "true", "'x'") "]"),
	      DOCUMENT("b",
		  "'routes': [" ROUTE("y", "s", "/y", "true", "'x'") "]") },
	    .problems = 1,
	    .contains = { "route x: added", "route y: added",
		"route top: added" },
	    .omits = "repeatable yes" },
	{ .texts = { DOCUMENT("a", "'fleet': {'slots': 4, 'retry_budget': 3}"),
	      DOCUMENT("b", "'fleet': {'slots': 6, 'retry_budget': 1}") },
	    .problems = 1,
	    .contains = { "fleet: slots as the hosts' list says -> 6\n",
		"fleet: retry budget 2 -> 1\n" },
	    .omits = "-> 4" },
};

/* Returns the contents of the partial manifest as its difference from an empty
 * manifest; owned. */
static char *
list_manifest(struct loom_document *const *documents, size_t n,
    struct loom_problem **problems)
{
	struct loom_manifest *empty, *manifest;
	char *text;

	empty = loom_manifest_build(NULL, 0, 1, problems);
	manifest = loom_manifest_build_partial(documents, n, 2, problems);
	text = loom_manifest_diff(empty, manifest);
	loom_manifest_release(empty);
	loom_manifest_release(manifest);
	return text;
}

static void
check_case(size_t case_index)
{
	struct loom_document *documents[2], *reversed[2];
	struct loom_problem *problems = NULL, *reversed_problems = NULL;
	char *text, *reversed_text;
	size_t i, n;

	for (n = 0; cases[case_index].texts[n] != NULL; n++) {
		documents[n] =
		    test_document(cases[case_index].texts[n], &problems);
		if (!TEST_CHECK(documents[n] != NULL, "case %zu", case_index))
			return;
	}
	for (i = 0; i < n; i++)
		reversed[i] = documents[n - 1 - i];
	text = list_manifest(documents, n, &problems);
	reversed_text = list_manifest(reversed, n, &reversed_problems);
	TEST_CHECK(strcmp(text, reversed_text) == 0,
	    "case %zu: %s, reversed %s", case_index, text, reversed_text);
	TEST_CHECK(loom_problems_count(problems) == cases[case_index].problems,
	    "case %zu: %zu problems", case_index,
	    loom_problems_count(problems));
	for (i = 0; cases[case_index].contains[i] != NULL; i++)
		TEST_CHECK(strstr(text, cases[case_index].contains[i]) != NULL,
		    "case %zu: %s", case_index, text);
	TEST_CHECK(strstr(text, cases[case_index].omits) == NULL,
	    "case %zu: %s", case_index, text);
	loom_problems_free(problems);
	loom_problems_free(reversed_problems);
	for (i = 0; i < n; i++)
		loom_document_release(documents[i]);
	g_free(reversed_text);
	g_free(text);
}

static void
test_conflicts(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		check_case(i);
}

static unsigned
draw(const struct loom_random *random, unsigned bound)
{
	return (unsigned)loom_random_below(random, bound);
}

/* Returns a document with names drawn from small sets, so that several such
 * documents often conflict. */
static struct loom_document *
random_document(const struct loom_random *random, unsigned number,
    struct loom_problem **problems)
{
	GString *text = g_string_new(NULL);
	struct loom_document *document;
	unsigned i;

	g_string_printf(text,
	    "{'document': 'd%u', 'version': 1, 'services': [{'name': 's%u'}], "
	    "'teams': [{'name': 't%u', 'rate_per_s': 1, 'burst': 1, 'keys': "
	    "[{'id': 'k', 'sha256': '%064u'}]}], 'routes': [",
	    number, draw(random, 3), draw(random, 4), draw(random, 6));
	for (i = 0; i < 3; i++)
		g_string_append_printf(text,
		    "%s{'name': 'r%u', 'service': 's%u', 'method': 'PUT', "
		    "'path': '/%u', 'idempotent': %s, 'calls': ['r%u']}",
		    i == 0 ? "" : ",", draw(random, 12), draw(random, 3),
		    draw(random, 12), draw(random, 4) == 0 ? "false" : "true",
		    draw(random, 12));
	g_string_append(text, "]}");
	document = test_document(text->str, problems);
	g_string_free(text, TRUE);
	return document;
}

static void
check_route(const struct loom_manifest *manifest,
    const struct loom_route *route, unsigned round)
{
	const struct loom_route *callee;
	uint32_t i;

	TEST_CHECK(route->service_index < manifest->nservices, "%u", round);
	TEST_CHECK(!route->repeatable || route->idempotent, "%u", round);
	TEST_CHECK(loom_manifest_route_by_name(manifest, route->name) == route,
	    "%u", round);
	for (i = 0; i < route->ncalls; i++) {
		if (!TEST_CHECK(
			route->calls[i] < manifest->nroutes, "%u", round))
			continue;
		callee = &manifest->routes[route->calls[i]];
		TEST_CHECK(
		    !route->repeatable || callee->repeatable, "%u", round);
	}
}

static void
check_manifest(const struct loom_manifest *manifest, unsigned round)
{
	uint32_t i;

	for (i = 0; i < manifest->nkeys; i++)
		TEST_CHECK(manifest->keys[i].team_index < manifest->nteams,
		    "%u", round);
	for (i = 0; i < manifest->nroutes; i++)
		check_route(manifest, &manifest->routes[i], round);
}

/* The partial manifest must always be consistent, and the strict build must
 * fail exactly if the partial one reports problems. */
static void
check_round(const struct loom_random *random, unsigned round)
{
	struct loom_problem *problems = NULL, *strict_problems = NULL;
	struct loom_manifest *partial, *strict;
	struct loom_document *documents[3];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(documents); i++) {
		documents[i] = random_document(random, i, &problems);
		if (documents[i] == NULL)
			CU_FAIL_FATAL("a generated document is invalid");
	}
	partial = loom_manifest_build_partial(
	    documents, G_N_ELEMENTS(documents), 1, &problems);
	check_manifest(partial, round);
	strict = loom_manifest_build(
	    documents, G_N_ELEMENTS(documents), 1, &strict_problems);
	TEST_CHECK((strict != NULL) == (problems == NULL), "%u", round);
	TEST_CHECK((strict != NULL) == (strict_problems == NULL), "%u", round);
	if (strict != NULL)
		loom_manifest_release(strict);
	loom_manifest_release(partial);
	for (i = 0; i < G_N_ELEMENTS(documents); i++)
		loom_document_release(documents[i]);
	loom_problems_free(problems);
	loom_problems_free(strict_problems);
}

static void
test_random_sets(void)
{
	struct loom_random random = test_random_new(11);
	unsigned round;

	for (round = 0; round < 500; round++)
		check_round(&random, round);
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "conflicts", test_conflicts },
	{ "random sets", test_random_sets },
};

TEST_MAIN("manifest partial", tests)
