/*
 * Compares docs/SETTINGS.md with the table of settings, in both directions.
 */

#include <string.h>

#include "daemon/settings.h"
#include "support/test.h"

#define PAGE "docs/SETTINGS.md"
#define FENCE "```jsonc\n"

enum column {
	COLUMN_NAME = 1, /* 0 is the text before the first bar */
	COLUMN_DEFAULT,
	COLUMN_RANGE,
	COLUMN_MEANING,
	COLUMNS,
};

static char *
read_page(void)
{
	char *text = NULL;

	if (!TEST_CHECK(g_file_get_contents(PAGE, &text, NULL, NULL), PAGE))
		return g_strdup("");
	return text;
}

/*
 * Returns the cells of a setting's row, to be freed with g_strfreev(), or NULL
 * if the page has none.
 */
static char **
find_row(const char *page, const char *name)
{
	char *start = g_strdup_printf("\n| `%s` |", name);
	const char *line = strstr(page, start);
	char **cells = NULL;
	char *text;
	guint i;

	if (line != NULL) {
		text = g_strndup(line + 1, strcspn(line + 1, "\n"));
		cells = g_strsplit(text, "|", -1);
		for (i = 0; cells[i] != NULL; i++)
			g_strstrip(cells[i]);
		g_free(text);
	}
	g_free(start);
	return cells;
}

static char *
expected_default(const struct loom_field *field)
{
	if (field->required)
		return g_strdup("required");
	if (field->type == LOOM_FIELD_U32)
		return g_strdup_printf("%.0f", field->number_default);
	if (field->type == LOOM_FIELD_DOUBLE)
		return g_strdup_printf("%g", field->number_default);
	if (field->type == LOOM_FIELD_BOOL)
		return g_strdup(
		    field->number_default != 0 ? "`true`" : "`false`");
	if (field->text_default != NULL)
		return g_strdup_printf("`%s`", field->text_default);
	return g_strdup("none");
}

static void
check_row(const char *page, const struct loom_field *field)
{
	char **cells = find_row(page, field->name);
	char *expected = expected_default(field);
	char *range;

	if (cells == NULL || g_strv_length(cells) <= COLUMNS) {
		TEST_CHECK(false, "%s: no complete row", field->name);
		goto out;
	}
	TEST_CHECK(strcmp(cells[COLUMN_DEFAULT], expected) == 0,
	    "%s: default is %s, but %s in the page", field->name, expected,
	    cells[COLUMN_DEFAULT]);
	TEST_CHECK(cells[COLUMN_MEANING][0] != '\0', "%s", field->name);
	if (field->type != LOOM_FIELD_U32)
		goto out;
	range = g_strdup_printf("%.0f to %.0f", field->min, field->max);
	TEST_CHECK(strcmp(cells[COLUMN_RANGE], range) == 0,
	    "%s: range is %s, but %s in the page", field->name, range,
	    cells[COLUMN_RANGE]);
	g_free(range);
out:
	g_strfreev(cells);
	g_free(expected);
}

static void
test_each_setting(void)
{
	const struct loom_field *field;
	char *page = read_page();

	for (field = daemon_fields; field->name != NULL; field++)
		check_row(page, field);
	g_free(page);
}

static bool
is_setting(const char *name)
{
	const struct loom_field *field;

	for (field = daemon_fields; field->name != NULL; field++) {
		if (strcmp(field->name, name) == 0)
			return true;
	}
	return false;
}

static void
test_each_row(void)
{
	char *page = read_page();
	char **lines = g_strsplit(page, "\n", -1);
	char **line, **cells;

	for (line = lines; *line != NULL; line++) {
		if (!g_str_has_prefix(*line, "| `"))
			continue;
		cells = g_strsplit(*line, "`", 3);
		TEST_CHECK(
		    is_setting(cells[1]), "%s is not a setting", cells[1]);
		g_strfreev(cells);
	}
	g_strfreev(lines);
	g_free(page);
}

/* The example must be valid, since operators start by copying it. */
static void
test_example(void)
{
	struct loom_problem *problems = NULL;
	struct daemon_settings settings;
	char *page = read_page();
	char *start = strstr(page, FENCE);
	char *end = start == NULL ? NULL : strstr(start, "\n```\n");
	char *text;
	bool ok;

	if (!TEST_CHECK(end != NULL, "no example"))
		goto out;
	start += strlen(FENCE);
	ok = loom_settings_parse(start, (size_t)(end - start), PAGE,
	    daemon_fields, &settings, &problems);
	text = loom_problems_text(problems);
	TEST_CHECK(ok, "%s", text);
	if (ok)
		loom_fields_free(daemon_fields, &settings);
	loom_problems_free(problems);
	g_free(text);
out:
	g_free(page);
}

static const struct test_case tests[] = {
	{ "each setting is in the page", test_each_setting },
	{ "each row is a setting", test_each_row },
	{ "the example is valid", test_example },
};

TEST_MAIN("settings page", tests)
