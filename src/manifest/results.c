/*
 * Writes the table of result codes as Markdown.
 */

#include <stdlib.h>
#include <string.h>

#include "loom/explain.h"

static int
compare_codes(const void *a, const void *b)
{
	const struct loom_result_info *left = a, *right = b;

	return (left->code > right->code) - (left->code < right->code);
}

static void
append_row(GString *text, const struct loom_result_info *row)
{
	char status[8] = "-";

	if (row->http_status != 0)
		g_snprintf(
		    status, sizeof(status), "%u", (unsigned)row->http_status);
	g_string_append_printf(text, "| %d | `%s` | %s | %s | %s |\n",
	    (int)row->code, row->name, status,
	    row->outcome == LOOM_OUTCOME_NONE ? "-"
					      : loom_outcome_name(row->outcome),
	    row->text);
}

char *
loom_result_markdown(void)
{
	struct loom_result_info *rows;
	GString *text;
	size_t i, n;

	text = g_string_new(
	    "# Result codes\n"
	    "\n"
	    "Printed by `loom-manifest table`; a test holds this page against "
	    "the code.\n"
	    "\n"
	    "A refusal that a caller sees has an HTTP status and an outcome: "
	    "`not-run` (no byte\n"
	    "of the request reached any upstream), `ran`, or `unknown` (it may "
	    "have run). A\n"
	    "row gives the outcome that a code has as a rule; a refusal may "
	    "know better, and\n"
	    "what the refusal itself says is what counts.\n"
	    "\n"
	    "The HTTP library answers what it cannot parse (400, 414, 431 and "
	    "505, see\n"
	    "[CALLERS.md](CALLERS.md)) without a number; "
	    "`loom_malformed_requests_total`\n"
	    "counts these. They are the only ones.\n"
	    "\n"
	    "| code | name | HTTP | outcome | meaning |\n"
	    "|---|---|---|---|---|\n");
	loom_result_table(&n);
	rows = g_memdup2(loom_result_table(&n), n * sizeof(*rows));
	qsort(rows, n, sizeof(*rows), compare_codes);
	for (i = 0; i < n; i++)
		append_row(text, &rows[i]);
	g_free(rows);
	return g_string_free(text, FALSE);
}
