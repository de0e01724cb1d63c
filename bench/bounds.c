/*
 * Regression bounds: one row a figure, "firm pattern figure min|max value",
 * parted by tabs.
 */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bounds.h"

#define COLUMNS 5

struct bound {
	char *firm;
	char *pattern;
	char *figure;
	bool is_min;
	double value;
};

struct bounds {
	GArray *rows; /* struct bound */
};

static void
clear_bound(gpointer data)
{
	struct bound *bound = data;

	g_free(bound->firm);
	g_free(bound->pattern);
	g_free(bound->figure);
}

static void
add_row(struct bounds *bounds, const char *line)
{
	char **cells = g_strsplit(line, "\t", COLUMNS);
	struct bound bound;

	if (g_strv_length(cells) == COLUMNS) {
		bound = (struct bound){
			.firm = g_strdup(cells[0]),
			.pattern = g_strdup(cells[1]),
			.figure = g_strdup(cells[2]),
			.is_min = strcmp(cells[3], "min") == 0,
			.value = g_ascii_strtod(cells[4], NULL),
		};
		g_array_append_val(bounds->rows, bound);
	}
	g_strfreev(cells);
}

struct bounds *
bounds_load(const char *file)
{
	struct bounds *bounds;
	GError *error = NULL;
	char *text, **lines;
	int i;

	if (!g_file_get_contents(file, &text, NULL, &error)) {
		printf("%s\n", error->message);
		g_error_free(error);
		return NULL;
	}
	bounds = g_new0(struct bounds, 1);
	bounds->rows = g_array_new(FALSE, TRUE, sizeof(struct bound));
	g_array_set_clear_func(bounds->rows, clear_bound);
	lines = g_strsplit(text, "\n", 0);
	for (i = 0; lines[i] != NULL; i++) {
		if (lines[i][0] != '#')
			add_row(bounds, lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
	return bounds;
}

void
bounds_free(struct bounds *bounds)
{
	g_array_free(bounds->rows, TRUE);
	g_free(bounds);
}

static double
figure_of(const struct model_result *result, const char *figure)
{
	const struct {
		const char *name;
		double value;
	} figures[] = {
		{ "goodput", result->goodput },
		{ "recovery_s", result->recovery_s },
		{ "slowest_s", result->recovery_worst_s },
		{ "slowest_of_3_s", result->recovery_first_s },
		{ "worst_team", result->worst_team },
		{ "wrongful", result->wrongful },
		{ "wasted", result->wasted },
		{ "critical_served", result->served[LOOM_CRITICAL] },
		{ "critical_p99_ms", result->p99_ms[LOOM_CRITICAL] },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(figures); i++) {
		if (strcmp(figures[i].name, figure) == 0)
			return figures[i].value;
	}
	g_error("bounds.tsv: no figure is named %s", figure);
}

static bool
check_row(const struct bound *bound, const struct model_result *result)
{
	double value = figure_of(result, bound->figure);
	bool ok = bound->is_min ? value >= bound->value : value <= bound->value;

	/* A run that never got normal again has a recovery of -1. */
	if (value < 0)
		ok = false;
	if (!ok)
		printf("BROKEN %s %s: %s is %.4f, bound %s %.4f\n", bound->firm,
		    bound->pattern, bound->figure, value,
		    bound->is_min ? "min" : "max", bound->value);
	return ok;
}

bool
bounds_check(const struct bounds *bounds, const char *firm, const char *pattern,
    const struct model_result *result)
{
	const struct bound *bound;
	bool ok = true;
	guint i, rows = 0;

	for (i = 0; i < bounds->rows->len; i++) {
		bound = &g_array_index(bounds->rows, struct bound, i);
		if (strcmp(bound->firm, firm) != 0 ||
		    strcmp(bound->pattern, pattern) != 0)
			continue;
		rows++;
		ok = check_row(bound, result) && ok;
	}
	if (rows == 0)
		printf("BROKEN %s %s: no bounds\n", firm, pattern);
	return ok && rows > 0;
}

bool
bounds_value(const struct bounds *bounds, const char *firm, const char *pattern,
    const char *figure, double *value)
{
	const struct bound *bound;
	guint i;

	for (i = 0; i < bounds->rows->len; i++) {
		bound = &g_array_index(bounds->rows, struct bound, i);
		if (strcmp(bound->firm, firm) == 0 &&
		    strcmp(bound->pattern, pattern) == 0 &&
		    strcmp(bound->figure, figure) == 0) {
			*value = bound->value;
			return true;
		}
	}
	return false;
}
