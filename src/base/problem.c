/*
 * A linked list of problems in the order in which they were found.  For
 * everything that is read by a table of fields, that is the order of the text.
 */

#include <stdio.h>
#include <stdlib.h>

#include "loom/problem.h"

void
loom_problem_add(struct loom_problem **problems, enum loom_result code,
    const char *where, const char *fmt, ...)
{
	struct loom_problem *problem = g_new0(struct loom_problem, 1);
	va_list ap;

	problem->code = code;
	problem->where = g_strdup(where);
	va_start(ap, fmt);
	problem->message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	while (*problems != NULL)
		problems = &(*problems)->next;
	*problems = problem;
}

size_t
loom_problems_count(const struct loom_problem *problem)
{
	size_t n = 0;

	for (; problem != NULL; problem = problem->next)
		n++;
	return n;
}

char *
loom_problems_text(const struct loom_problem *problem)
{
	GString *text = g_string_new(NULL);

	for (; problem != NULL; problem = problem->next)
		g_string_append_printf(text, "%s: %d %s: %s\n", problem->where,
		    (int)problem->code, loom_result_info(problem->code)->name,
		    problem->message);
	return g_string_free(text, FALSE);
}

void
loom_problems_free(struct loom_problem *problem)
{
	struct loom_problem *next;

	for (; problem != NULL; problem = next) {
		next = problem->next;
		g_free(problem->where);
		g_free(problem->message);
		g_free(problem);
	}
}

int
loom_problems_print(struct loom_problem *problems)
{
	char *text = loom_problems_text(problems);

	fputs(text, stderr);
	g_free(text);
	loom_problems_free(problems);
	return EXIT_FAILURE;
}
