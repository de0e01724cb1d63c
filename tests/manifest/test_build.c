/*
 * Documents joined: references, duplicates, circles, the closure of
 * non-idempotence, look-ups.
 */

#include <string.h>

#include "manifest/manifest_support.h"

#define ROUTE(name, idempotent, calls)                                        \
	"{'name': '" name "', 'service': 's', 'method': 'POST', "             \
	"'path': '/" name "', 'idempotent': " idempotent ", 'calls': [" calls \
	"]}"
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

static const struct test_case tests[] = {
	{ "lookups", test_lookups },
};

TEST_MAIN("manifest build", tests)
