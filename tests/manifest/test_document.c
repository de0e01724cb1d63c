/*
 * Tests parsing one document: the type, range and syntax of its fields, unknown
 * names, the line number of syntax errors, and that one call reports all
 * problems.
 */

#include <string.h>

#include "loom/sign.h"
#include "manifest/manifest_support.h"

#define HEAD "{'document': 'd', 'version': 1, "
#define SHA "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
#define TEAM(rest) HEAD "'teams': [{'name': 't', 'rate_per_s': 1, " rest "}]}"
#define SERVICE(rest) HEAD "'services': [{'name': 's', " rest "}]}"
#define ROUTE(rest)                                                            \
	HEAD "'routes': [{'name': 'r', 'service': 's', 'method': 'GET', " rest \
	     "}]}"

static const char *const valid[] = {
	"{'document': 'd', // a name\n 'version': 1 /* first */}",
	HEAD "'fleet': {'slots': 3, 'retry_budget': 0, 'retry_ratio': 1}}",
	TEAM("'burst': 0"),
	TEAM("'burst': 1, 'keys': [{'id': 'k', 'sha256': '" SHA "'}]"),
	SERVICE("'slots': 1, 'queue': 0, 'load_path': '/load'"),
	ROUTE("'path': '/a/*'"),
	HEAD "'routes': [{'name': 'r', 'service': 's', 'method': 'HEAD', "
	     "'path': '/a'}]}",
};

static const struct {
	const char *text;
	const char *where;
	const char *message; /* a substring of the message */
	enum loom_result code;
} cases[] = {
	/* syntax */
	{ "{\n'document' 'd'}", "a.jsonc:2", "", LOOM_MANIFEST_SYNTAX },
	{ "", "a.jsonc:1", "", LOOM_MANIFEST_SYNTAX },
	{ HEAD, "a.jsonc:1", "", LOOM_MANIFEST_SYNTAX },
	{ "[]", "a.jsonc", "an object", LOOM_MANIFEST_TYPE },
	{ "7 ", "a.jsonc", "an object", LOOM_MANIFEST_TYPE },
	/* top-level fields */
	{ "{'version': 1}", "a.jsonc:document", "", LOOM_MANIFEST_MISSING },
	{ "{'document': 'd'}", "a.jsonc:version", "", LOOM_MANIFEST_MISSING },
	{ "{'document': 'd e', 'version': 1}", "a.jsonc:document", "letters",
	    LOOM_MANIFEST_NAME },
	{ "{'document': '', 'version': 1}", "a.jsonc:document", "letters",
	    LOOM_MANIFEST_NAME },
	{ "{'document': 'd', 'version': 0}", "a.jsonc:version", "from 1",
	    LOOM_MANIFEST_RANGE },
	{ "{'document': 'd', 'version': -1}", "a.jsonc:version", "from 0",
	    LOOM_MANIFEST_RANGE },
	{ "{'document': 'd', 'version': 1.5}", "a.jsonc:version",
	    "a whole number expected, not double", LOOM_MANIFEST_TYPE },
	{ "{'document': 'd', 'version': 99999999999999999999}",
	    "a.jsonc:version", "from 0", LOOM_MANIFEST_RANGE },
	{ HEAD "'fleet': 3}", "a.jsonc:fleet", "an object",
	    LOOM_MANIFEST_TYPE },
	{ HEAD "'fleet': {'retry_ratio': 1.01}}", "a.jsonc:fleet.retry_ratio",
	    "from 0 to 1", LOOM_MANIFEST_RANGE },
	{ HEAD "'fleet': {'retry_ratio': NaN}}", "a.jsonc:fleet.retry_ratio",
	    "finite", LOOM_MANIFEST_RANGE },
	{ HEAD "'fleet': {'slotz': 1}}", "a.jsonc:fleet.slotz",
	    "did you mean \"slots\"?", LOOM_MANIFEST_UNKNOWN },
	{ HEAD "'taems': []}", "a.jsonc:taems", "did you mean \"teams\"?",
	    LOOM_MANIFEST_UNKNOWN },
	{ HEAD "'zebra-crossing': []}", "a.jsonc:zebra-crossing",
	    "unknown name", LOOM_MANIFEST_UNKNOWN },
	{ HEAD "'teams': {}}", "a.jsonc:teams", "a list", LOOM_MANIFEST_TYPE },
	{ HEAD "'teams': [null]}", "a.jsonc:teams[0]", "not null",
	    LOOM_MANIFEST_TYPE },
	/* teams and keys */
	{ TEAM("'brust': 0"), "a.jsonc:teams[0].brust",
	    "did you mean \"burst\"?", LOOM_MANIFEST_UNKNOWN },
	{ TEAM("'burst': '3'"), "a.jsonc:teams[0].burst", "not string",
	    LOOM_MANIFEST_TYPE },
	{ TEAM("'burst': 5000000000"), "a.jsonc:teams[0].burst", "",
	    LOOM_MANIFEST_RANGE },
	{ HEAD "'teams': [{'name': 't', 'rate_per_s': -1, 'burst': 1}]}",
	    "a.jsonc:teams[0].rate_per_s", "from 0", LOOM_MANIFEST_RANGE },
	{ TEAM("'burst': 1, 'keys': [{'id': 'k', 'sha256': '" SHA "0'}]"),
	    "a.jsonc:teams[0].keys[0].sha256", "longer", LOOM_MANIFEST_RANGE },
	{ TEAM("'burst': 1, 'keys': [{'id': 'k', 'sha256': 'abc'}]"),
	    "a.jsonc:teams[0].keys[0].sha256", "64 hex", LOOM_MANIFEST_KEY },
	{ TEAM("'burst': 1, 'keys': [{'sha256': '" SHA "'}]"),
	    "a.jsonc:teams[0].keys[0].id", "missing", LOOM_MANIFEST_MISSING },
	{ TEAM("'burst': 1, 'keys': [{'id': 'k', 'sha256': '" SHA
	       "', 'withdrawn': 'yes'}]"),
	    "a.jsonc:teams[0].keys[0].withdrawn", "true or false",
	    LOOM_MANIFEST_TYPE },
	/* services */
	{ SERVICE("'slots': 0"), "a.jsonc:services[0].slots", "from 1",
	    LOOM_MANIFEST_RANGE },
	{ SERVICE("'load_path': 'load'"), "a.jsonc:services[0].load_path",
	    "begins with", LOOM_MANIFEST_PATH },
	{ SERVICE("'load_path': '/load*'"), "a.jsonc:services[0].load_path",
	    "begins with", LOOM_MANIFEST_PATH },
	/* routes */
	{ ROUTE("'path': 'a'"), "a.jsonc:routes[0].path", "begins with",
	    LOOM_MANIFEST_PATH },
	{ ROUTE("'path': '/a*b'"), "a.jsonc:routes[0].path", "\"*\"",
	    LOOM_MANIFEST_PATH },
	{ ROUTE("'path': '/a?b'"), "a.jsonc:routes[0].path", "query",
	    LOOM_MANIFEST_PATH },
	{ ROUTE("'path': '/a/../b'"), "a.jsonc:routes[0].path", "",
	    LOOM_MANIFEST_PATH },
	{ ROUTE("'path': '/a b'"), "a.jsonc:routes[0].path", "",
	    LOOM_MANIFEST_PATH },
	{ ROUTE("'path': '/a\\u0000b'"), "a.jsonc:routes[0].path", "zero byte",
	    LOOM_MANIFEST_RANGE },
	{ ROUTE("'path': '/a', 'importance': 'urgent'"),
	    "a.jsonc:routes[0].importance", "critical, high, normal, low",
	    LOOM_MANIFEST_RANGE },
	{ ROUTE("'path': '/a', 'calls': 'b'"), "a.jsonc:routes[0].calls",
	    "a list", LOOM_MANIFEST_TYPE },
	{ ROUTE("'path': '/a', 'calls': ['b', 7]"),
	    "a.jsonc:routes[0].calls[1]", "a string", LOOM_MANIFEST_TYPE },
	{ ROUTE("'path': '/a', 'deadline_ms': 0"),
	    "a.jsonc:routes[0].deadline_ms", "from 1", LOOM_MANIFEST_RANGE },
	{ HEAD "'routes': [{'name': 'r', 'service': 's', 'method': 'get', "
	       "'path': '/a', 'idempotent': true}]}",
	    "a.jsonc:routes[0].method", "capitals", LOOM_MANIFEST_PATH },
	/* "idempotent" is required except for GET and HEAD */
	{ HEAD "'routes': [{'name': 'r', 'service': 's', 'method': 'PUT', "
	       "'path': '/a'}]}",
	    "a.jsonc:routes[0].idempotent", "method PUT",
	    LOOM_MANIFEST_IDEMPOTENT },
	{ HEAD "'routes': [{'name': 'r', 'service': 's', 'method': '*', "
	       "'path': '/a'}]}",
	    "a.jsonc:routes[0].idempotent", "method *",
	    LOOM_MANIFEST_IDEMPOTENT },
};

static void
test_valid(void)
{
	struct loom_problem *problems = NULL;
	struct loom_document *document;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(valid); i++) {
		document = test_document(valid[i], &problems);
		TEST_CHECK(document != NULL, "%s", valid[i]);
		if (document != NULL)
			loom_document_release(document);
	}
	CU_ASSERT_PTR_NULL(problems);
	loom_problems_free(problems);
}

static void
check_case(size_t i)
{
	struct loom_problem *problems = NULL;
	bool found;
	char *text;

	TEST_CHECK(test_document(cases[i].text, &problems) == NULL, "%s",
	    cases[i].text);
	found = problems != NULL && problems->code == cases[i].code &&
	    strcmp(problems->where, cases[i].where) == 0 &&
	    strstr(problems->message, cases[i].message) != NULL;
	text = loom_problems_text(problems);
	TEST_CHECK(found, "%s: %s", cases[i].text, text);
	g_free(text);
	loom_problems_free(problems);
}

static void
test_refused(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		check_case(i);
}

static void
test_all_problems_at_once(void)
{
	struct loom_problem *problems = NULL;
	char *text;

	CU_ASSERT_PTR_NULL(test_document("{'document': 7, 'versoin': 1, "
					 "'teams': [{}], "
					 "'routes': [{'method': 'POST'}]}",
	    &problems));
	text = loom_problems_text(problems);
	CU_ASSERT_STRING_EQUAL(text,
	    "a.jsonc:document: 3004 MANIFEST_TYPE: "
	    "a string expected, not int\n"
	    "a.jsonc:versoin: 3003 MANIFEST_UNKNOWN: "
	    "unknown name, did you mean \"version\"?\n"
	    "a.jsonc:teams[0].name: 3006 MANIFEST_MISSING: missing\n"
	    "a.jsonc:teams[0].rate_per_s: 3006 MANIFEST_MISSING: missing\n"
	    "a.jsonc:teams[0].burst: 3006 MANIFEST_MISSING: missing\n"
	    "a.jsonc:routes[0].name: 3006 MANIFEST_MISSING: missing\n"
	    "a.jsonc:routes[0].service: 3006 MANIFEST_MISSING: missing\n"
	    "a.jsonc:routes[0].path: 3006 MANIFEST_MISSING: missing\n"
	    "a.jsonc:version: 3006 MANIFEST_MISSING: missing\n"
	    "a.jsonc:routes[0].idempotent: 3013 MANIFEST_IDEMPOTENT: "
	    "must be given for method POST\n");
	g_free(text);
	loom_problems_free(problems);
}

/* A document too large for the platform must be rejected when it is parsed, so
 * that it already fails in the operators' pipeline. */
static void
test_too_large(void)
{
	char *text = g_strnfill(LOOM_DOCUMENT_BYTES_MAX + 1, ' ');
	struct loom_problem *problems = NULL;

	CU_ASSERT_PTR_NULL(loom_document_parse(
	    text, LOOM_DOCUMENT_BYTES_MAX + 1, "a.jsonc", &problems));
	CU_ASSERT_EQUAL(problems->code, LOOM_MANIFEST_TOO_LARGE);
	loom_problems_free(problems);
	g_free(text);
}

/* A document truncated at any byte is rejected, never accepted in part. */
static void
test_truncated_documents(void)
{
	char *text = test_quote(ROUTE("'path': '/a', 'calls': ['x']"));
	struct loom_problem *problems = NULL;
	size_t len;

	for (len = 0; len < strlen(text); len++) {
		TEST_CHECK(loom_document_parse(
			       text, len, "a.jsonc", &problems) == NULL,
		    "%zu bytes", len);
	}
	CU_ASSERT_EQUAL(loom_problems_count(problems), strlen(text));
	loom_problems_free(problems);
	g_free(text);
}

static const struct test_case tests[] = {
	{ "valid", test_valid },
	{ "refused", test_refused },
	{ "all problems at once", test_all_problems_at_once },
	{ "too large", test_too_large },
	{ "truncated documents", test_truncated_documents },
};

TEST_MAIN("manifest document", tests)
