/*
 * Tests that the documentation pages and the example manifests agree with the
 * code.
 */

#include "loom/explain.h"
#include "manifest/internal.h"
#include "manifest/manifest_support.h"

#define FENCE "```jsonc\n"

static char *
read_page(const char *file)
{
	char *text = NULL;

	TEST_CHECK(g_file_get_contents(file, &text, NULL, NULL), "%s", file);
	return text == NULL ? g_strdup("") : text;
}

static void
test_results_page(void)
{
	char *page = read_page("docs/RESULTS.md");
	char *table = loom_result_markdown();

	TEST_CHECK(strcmp(page, table) == 0,
	    "run build/bin/loom-manifest table >docs/RESULTS.md");
	g_free(table);
	g_free(page);
}

/* Operators copy the first example of this page, so it must be valid. */
static void
test_manifest_page(void)
{
	char *page = read_page("docs/MANIFEST.md");
	char *start = strstr(page, FENCE);
	char *end = start == NULL ? NULL : strstr(start, "\n```\n");
	struct loom_problem *problems = NULL;
	struct loom_document *document = NULL;
	struct loom_manifest *manifest = NULL;
	char *text;

	if (end != NULL) {
		start += strlen(FENCE);
		document = loom_document_parse(start, (size_t)(end - start),
		    "docs/MANIFEST.md", &problems);
	}
	if (document != NULL) {
		manifest = loom_manifest_build(&document, 1, 1, &problems);
		loom_document_release(document);
	}
	text = loom_problems_text(problems);
	TEST_CHECK(manifest != NULL, "%s", text);
	if (manifest != NULL)
		loom_manifest_release(manifest);
	loom_problems_free(problems);
	g_free(text);
	g_free(page);
}

static bool
code_has_name(const char *number, const char *name)
{
	const struct loom_result_info *table;
	size_t i, n;

	table = loom_result_table(&n);
	for (i = 0; i < n; i++) {
		if ((int)table[i].code ==
		    (int)g_ascii_strtoll(number, NULL, 10))
			return strcmp(table[i].name, name) == 0;
	}
	return false;
}

/* Operators look up result codes by number: checks that every mention such as
 * "2100 `TEAM_RATE`" in a page has the right name for its number. */
static void
check_codes(const char *file)
{
	GRegex *pattern =
	    g_regex_new("\\b([0-9]{4}) `?([A-Z]+_[A-Z_]+)", 0, 0, NULL);
	char *page = read_page(file), *number, *name;
	GMatchInfo *match;
	unsigned found = 0;

	g_regex_match(pattern, page, 0, &match);
	for (; g_match_info_matches(match); found++) {
		number = g_match_info_fetch(match, 1);
		name = g_match_info_fetch(match, 2);
		TEST_CHECK(code_has_name(number, name), "%s: %s %s", file,
		    number, name);
		g_free(number);
		g_free(name);
		g_match_info_next(match, NULL);
	}
	TEST_CHECK(found > 0, "%s", file);
	g_match_info_free(match);
	g_regex_unref(pattern);
	g_free(page);
}

static void
test_codes_of_pages(void)
{
	check_codes("docs/MANIFEST.md");
	check_codes("docs/OPERATORS.md");
}

static void
check_fields(const char *page, const struct loom_field *fields)
{
	char *word;

	for (; fields->name != NULL; fields++) {
		word = g_strdup_printf("`%s`", fields->name);
		TEST_CHECK(strstr(page, word) != NULL, "%s", word);
		g_free(word);
		if (fields->fields != NULL)
			check_fields(page, fields->fields);
	}
}

static void
test_manifest_page_has_all_fields(void)
{
	char *page = read_page("docs/MANIFEST.md");

	check_fields(page, manifest_document_fields);
	g_free(page);
}

struct expected_route {
	const char *name;
	enum loom_importance importance;
	bool repeatable;
};

static void
check_example(const char *file, const struct expected_route *routes, size_t n)
{
	struct loom_problem *problems = NULL;
	const struct loom_route *route;
	struct loom_manifest *manifest;
	char *text;
	size_t i;

	manifest = loom_manifest_load(&file, 1, &problems);
	text = loom_problems_text(problems);
	TEST_CHECK(manifest != NULL, "%s", text);
	g_free(text);
	loom_problems_free(problems);
	if (manifest == NULL)
		return;
	TEST_CHECK(manifest->nteams == 8, "%s", file);
	TEST_CHECK(manifest->nservices == 4, "%s", file);
	for (i = 0; i < n; i++) {
		route = loom_manifest_route_by_name(manifest, routes[i].name);
		TEST_CHECK(route != NULL &&
			route->importance == routes[i].importance &&
			route->repeatable == routes[i].repeatable,
		    "%s %s", file, routes[i].name);
	}
	loom_manifest_release(manifest);
}

static void
test_examples(void)
{
	static const struct expected_route derwent[] = {
		{ "order.create", LOOM_CRITICAL, false },
		{ "payment.take", LOOM_CRITICAL, false },
		{ "waiver.claim", LOOM_HIGH, false },
		{ "audio.upload", LOOM_HIGH, true },
		{ "order.read", LOOM_NORMAL, true },
		{ "order.list", LOOM_LOW, true },
	};
	static const struct expected_route daugava[] = {
		{ "round.sign-off", LOOM_CRITICAL, false },
		{ "photo.upload", LOOM_CRITICAL, true },
		{ "consumables.order", LOOM_HIGH, false },
		{ "stock.take", LOOM_NORMAL, false },
		{ "round.read", LOOM_NORMAL, true },
	};

	check_example("examples/derwent.jsonc", derwent, G_N_ELEMENTS(derwent));
	check_example("examples/daugava.jsonc", daugava, G_N_ELEMENTS(daugava));
}

static const struct test_case tests[] = {
	{ "results page", test_results_page },
	{ "manifest page", test_manifest_page },
	{ "manifest page has all fields", test_manifest_page_has_all_fields },
	{ "codes of pages", test_codes_of_pages },
	{ "examples", test_examples },
};

TEST_MAIN("manifest docs", tests)
