/*
 * Tests of merging documents into a manifest: references, duplicates, cycles
 * of calls, repeatable routes, lookups.
 */

#include <string.h>

#include "manifest/manifest_support.h"

#define ROUTE(name, idempotent, calls)                                        \
	"{'name': '" name "', 'service': 's', 'method': 'POST', "             \
	"'path': '/" name "', 'idempotent': " idempotent ", 'calls': [" calls \
	"]}"
/* All but the last two digits of a SHA-256. */
#define DIGEST                            \
	"0000000000000000000000000000000" \
	"0000000000000000000000000000000"
#define SERVICE "'services': [{'name': 's'}]"

static void
test_lookups(void)
{
	static const char *const texts[] = {
		"{'document': 'a', 'version': 1, 'teams': [{'name': 't', "
		"'rate_per_s': 5.5, 'burst': 3, 'keys': [{'id': 'k', "
		"'sha256': 'BA7816BF8F01CFEA414140DE5DAE2223B00361A396177A9CB4"
		"10FF61F20015AD'}]}]}",
		"{'document': 'b', 'version': 1, 'services': [{'name': 's', "
		"'slots': 7}], 'routes': ["
		"{'name': 'all', 'service': 's', 'method': 'GET', "
		"'path': '/a*'},"
		"{'name': 'deep', 'service': 's', 'method': 'GET', "
		"'path': '/a/b/*'},"
		"{'name': 'exact', 'service': 's', 'method': 'GET', "
		"'path': '/a/b/c'},"
		"{'name': 'any', 'service': 's', 'method': '*', "
		"'path': '/a/b/c', 'idempotent': false}]}",
		NULL,
	};
	static const struct {
		const char *method, *path, *route;
	} cases[] = {
		{ "GET", "/a", "all" },
		{ "GET", "/abc?x=/a/b/c", "all" },
		{ "GET", "/a/b", "all" },
		{ "GET", "/a/b/", "deep" },
		{ "GET", "/a/b/d", "deep" },
		{ "GET", "/a/b/c", "exact" },
		{ "GET", "/a/b/c?q", "exact" },
		{ "GET", "/a/b/c/d", "deep" },
		{ "PUT", "/a/b/c", "any" },
		{ "PUT", "/a/b/d", NULL },
		{ "GET", "/", NULL },
		{ "GET", "", NULL },
	};
	struct loom_problem *problems = NULL;
	uint8_t digest[LOOM_DIGEST_SIZE];
	const struct loom_route *route;
	struct loom_manifest *manifest;
	const struct loom_key *key;
	size_t i;

	manifest = test_manifest(texts, &problems);
	CU_ASSERT_PTR_NULL(problems);
	CU_ASSERT_PTR_NOT_NULL_FATAL(manifest);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		route = loom_manifest_route(
		    manifest, cases[i].method, cases[i].path);
		TEST_CHECK(g_strcmp0(route == NULL ? NULL : route->name,
			       cases[i].route) == 0,
		    "%s %s", cases[i].method, cases[i].path);
	}
	loom_key_digest("abc", 3, digest);
	key = loom_manifest_key(manifest, digest);
	CU_ASSERT_PTR_NOT_NULL_FATAL(key);
	CU_ASSERT_STRING_EQUAL(manifest->teams[key->team_index].name, "t");
	digest[LOOM_DIGEST_SIZE - 1] ^= 1;
	CU_ASSERT_PTR_NULL(loom_manifest_key(manifest, digest));
	digest[0] ^= 0x80;
	CU_ASSERT_PTR_NULL(loom_manifest_key(manifest, digest));
	CU_ASSERT_EQUAL(loom_manifest_service(manifest, "s")->slots, 7);
	CU_ASSERT_EQUAL(loom_manifest_service(manifest, "s")->queue, 28);
	CU_ASSERT_PTR_NULL(loom_manifest_service(manifest, "x"));
	CU_ASSERT_EQUAL(
	    loom_manifest_team(manifest, loom_name_id("t"))->burst, 3);
	CU_ASSERT_PTR_NULL(loom_manifest_team(manifest, loom_name_id("x")));
	CU_ASSERT_PTR_NOT_NULL(loom_manifest_route_by_name(manifest, "deep"));
	CU_ASSERT_EQUAL(manifest->fleet.slots, 0);
	CU_ASSERT_EQUAL(manifest->fleet.retry_budget, 2);
	CU_ASSERT_DOUBLE_EQUAL(manifest->fleet.retry_ratio, 0.1, 1e-9);
	loom_manifest_acquire(manifest);
	loom_manifest_release(manifest);
	loom_manifest_release(manifest);
}

/*
 * A path that an upstream may interpret as another path must match no route.
 * Otherwise "/photos/../payments" matches the route of the photos, which may be
 * repeated; the upstream normalizes the path and takes a payment, once for
 * each repetition.
 */
static void
test_ambiguous_paths(void)
{
	static const char *const texts[] = {
		"{'document': 'a', 'version': 1, " SERVICE ", 'routes': ["
		"{'name': 'any', 'service': 's', 'method': '*', 'path': '/*', "
		"'idempotent': true}]}",
		NULL,
	};
	static const struct {
		const char *path;
		bool matches;
	} cases[] = {
		{ "/", true },
		{ "/a", true },
		{ "/a/", true },
		{ "/a/.b", true },
		{ "/a/b..", true },
		{ "/a/...", true },
		{ "/a/%41%2", true },
		{ "/a?/../b", true },
		{ "", false },
		{ "a", false },
		{ "/..", false },
		{ "/../", false },
		{ "/a/../b", false },
		{ "/a/./b", false },
		{ "/a/.", false },
		{ "//b", false },
		{ "/a//b", false },
		{ "/a/%2e%2E/b", false },
		{ "/a/.%2e", false },
		{ "/a/x%2f..%2fb", false },
		{ "/a\\..\\b", false },
		{ "/a%5C..%5cb", false },
		{ "/a%00", false },
	};
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;
	size_t i;

	manifest = test_manifest(texts, &problems);
	CU_ASSERT_PTR_NOT_NULL_FATAL(manifest);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		TEST_CHECK((loom_manifest_route(manifest, "GET",
				cases[i].path) != NULL) == cases[i].matches,
		    "%s", cases[i].path);
	}
	loom_manifest_release(manifest);
}

/* Duplicates and unresolved references, within and across documents. */
static void
test_problems(void)
{
	static const struct {
		const char *texts[3];
		const char *problem;
	} cases[] = {
		{ { "{'document': 'a', 'version': 1}",
		      "{'document': 'a', 'version': 2}" },
		    "a.jsonc:document: 3008 MANIFEST_DUPLICATE: document "
		    "\"a\" is declared already at a.jsonc:document\n" },
		{ { "{'document': 'a', 'version': 1, 'fleet': {}}",
		      "{'document': 'b', 'version': 2, 'fleet': {}}" },
		    "a.jsonc:fleet: 3008 MANIFEST_DUPLICATE: the section "
		    "\"fleet\" is declared already at a.jsonc:fleet\n" },
		{ { "{'document': 'a', 'version': 1, " SERVICE "}",
		      "{'document': 'b', 'version': 1, " SERVICE "}" },
		    "a.jsonc:services[0]: 3008 MANIFEST_DUPLICATE: service "
		    "\"s\" is declared already at a.jsonc:services[0]\n" },
		{ { "{'document': 'a', 'version': 1, 'teams': ["
		    "{'name': 't', 'rate_per_s': 1, 'burst': 1},"
		    "{'name': 't', 'rate_per_s': 2, 'burst': 1}]}" },
		    "a.jsonc:teams[1]: 3008 MANIFEST_DUPLICATE: team \"t\" is "
		    "declared already at a.jsonc:teams[0]\n" },
		{ { "{'document': 'a', 'version': 1, 'teams': ["
		    "{'name': 't', 'rate_per_s': 1, 'burst': 1, 'keys': ["
		    "{'id': 'k', 'sha256': '" DIGEST "0a'}]},"
		    "{'name': 'u', 'rate_per_s': 1, 'burst': 1, 'keys': ["
		    "{'id': 'k', 'sha256': '" DIGEST "0A'}]}]}" },
		    "a.jsonc:teams[1].keys[0].sha256: 3008 "
		    "MANIFEST_DUPLICATE: a key with this SHA-256 is "
		    "declared already at "
		    "a.jsonc:teams[0].keys[0].sha256\n" },
		{ { "{'document': 'a', 'version': 1, 'teams': ["
		    "{'name': 't', 'rate_per_s': 1, 'burst': 1, 'keys': ["
		    "{'id': 'k', 'sha256': '" DIGEST "0a'},"
		    "{'id': 'k', 'sha256': '" DIGEST "0b'}]}]}" },
		    "a.jsonc:teams[0].keys[1].id: 3008 MANIFEST_DUPLICATE: "
		    "key \"k\" of team \"t\" is declared already at "
		    "a.jsonc:teams[0].keys[0].id\n" },
		{ { "{'document': 'a', 'version': 1, " SERVICE
		    ", 'routes': [" ROUTE("x", "true", "") "," ROUTE(
			"x", "true", "") "]}" },
		    "a.jsonc:routes[1].name: 3008 MANIFEST_DUPLICATE: route "
		    "\"x\" is declared already at a.jsonc:routes[0].name\n"
		    "a.jsonc:routes[1].path: 3008 MANIFEST_DUPLICATE: POST /x "
		    "is declared already at a.jsonc:routes[0].path\n" },
		{ { "{'document': 'a', 'version': 1, "
		    "'services': [{'name': 'orders'}]}",
		      "{'document': 'b', 'version': 1, 'routes': ["
		      "{'name': 'r', 'service': 'oders', 'method': 'GET', "
		      "'path': '/', 'calls': ['q', 'q']}]}" },
		    "a.jsonc:routes[0].service: 3009 MANIFEST_REFERENCE: no "
		    "service \"oders\", did you mean \"orders\"?\n"
		    "a.jsonc:routes[0].calls[0]: 3009 MANIFEST_REFERENCE: no "
		    "route \"q\", did you mean \"r\"?\n"
		    "a.jsonc:routes[0].calls[0]: 3008 MANIFEST_DUPLICATE: "
		    "call \"q\" is listed twice\n"
		    "a.jsonc:routes[0].calls[1]: 3009 MANIFEST_REFERENCE: no "
		    "route \"q\", did you mean \"r\"?\n" },
		{ { "{'document': 'a', 'version': 1, " SERVICE
		    ", 'routes': [" ROUTE("x", "true", "'x'") "]}" },
		    "a.jsonc:routes[0].calls: 3010 MANIFEST_CYCLE: "
		    "calls form a cycle: x -> x\n" },
		/* a route that leads to a cycle is not listed as part of it */
		{ { "{'document': 'a', 'version': 1, " SERVICE
		    ", 'routes': [" ROUTE("top", "true", "'x'") "," ROUTE(
			"x", "true", "'y'") "," ROUTE("y", "true",
			"'x', 'leaf'") "," ROUTE("leaf", "true",
			"") "," ROUTE("z", "true", "'z'") "]}" },
		    "a.jsonc:routes[1].calls: 3010 MANIFEST_CYCLE: "
		    "calls form a cycle: x -> y -> x\n"
		    "a.jsonc:routes[4].calls: 3010 MANIFEST_CYCLE: "
		    "calls form a cycle: z -> z\n" },
	};
	struct loom_problem *problems;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		problems = NULL;
		TEST_CHECK(test_manifest(cases[i].texts, &problems) == NULL,
		    "%s", cases[i].texts[0]);
		text = loom_problems_text(problems);
		TEST_CHECK(strcmp(text, cases[i].problem) == 0, "%s: %s",
		    cases[i].texts[0], text);
		g_free(text);
		loom_problems_free(problems);
	}
}

/*
 * A route that leads to a route which is not idempotent must not be repeatable.
 * Otherwise an order that is repeated after a lost connection charges the
 * customer twice: the route of the order is idempotent, but it takes a payment
 * two calls deeper.
 */
static void
test_repeatable(void)
{
	static const char *const texts[] = {
		"{'document': 'a', 'version': 1, " SERVICE
		", 'routes': [" ROUTE("order", "true",
		    "'price', 'bill'") "," ROUTE("price", "true",
		    "") "," ROUTE("bill", "true", "'pay'") "," ROUTE("pay",
		    "false", "'log'") "," ROUTE("log", "true", "") "]}",
		NULL,
	};
	static const struct {
		const char *route;
		bool repeatable;
	} cases[] = {
		{ "order", false },
		{ "price", true },
		{ "bill", false },
		{ "pay", false },
		{ "log", true },
	};
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;
	size_t i;

	manifest = test_manifest(texts, &problems);
	CU_ASSERT_PTR_NOT_NULL_FATAL(manifest);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		TEST_CHECK(loom_manifest_route_by_name(manifest, cases[i].route)
			       ->repeatable == cases[i].repeatable,
		    "%s", cases[i].route);
	}
	loom_manifest_release(manifest);
}

#define CHAIN_LENGTH 28

/* The longest chain of calls planned for: a payment in its last call makes the
 * first route not repeatable. */
static void
test_deep_chain(void)
{
	GString *text = g_string_new(
	    "{'document': 'a', 'version': 1, " SERVICE ", 'routes': [");
	const char *texts[] = { NULL, NULL };
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;
	unsigned i;

	for (i = 0; i < CHAIN_LENGTH; i++) {
		g_string_append_printf(text,
		    "%s{'name': 'r%u', 'service': 's', 'method': 'GET', "
		    "'path': '/%u', 'idempotent': %s, 'calls': [",
		    i == 0 ? "" : ",", i, i,
		    i < CHAIN_LENGTH - 1 ? "true" : "false");
		if (i < CHAIN_LENGTH - 1)
			g_string_append_printf(text, "'r%u'", i + 1);
		g_string_append(text, "]}");
	}
	g_string_append(text, "]}");
	texts[0] = text->str;
	manifest = test_manifest(texts, &problems);
	CU_ASSERT_PTR_NOT_NULL_FATAL(manifest);
	CU_ASSERT_FALSE(
	    loom_manifest_route_by_name(manifest, "r0")->repeatable);
	loom_manifest_release(manifest);
	g_string_free(text, TRUE);
}

/* The ID of a name is part of messages between different releases, so it must
 * not change. */
static void
test_name_id_is_stable(void)
{
	CU_ASSERT_EQUAL(loom_name_id("orders"), UINT64_C(0x57617cf57ab966e6));
	CU_ASSERT_NOT_EQUAL(loom_name_id("orders"), loom_name_id("order"));
}

static const struct test_case tests[] = {
	{ "lookups", test_lookups },
	{ "ambiguous paths", test_ambiguous_paths },
	{ "problems", test_problems },
	{ "repeatable routes", test_repeatable },
	{ "deep chain", test_deep_chain },
	{ "name id is stable", test_name_id_is_stable },
};

TEST_MAIN("manifest build", tests)
