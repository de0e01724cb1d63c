#ifndef LOOM_PROBLEM_H
#define LOOM_PROBLEM_H

/*
 * A list of all errors in a document, so that the user can correct them in one
 * pass instead of one at a time.
 */

#include <glib.h>

#include "loom/result.h"

/* One error in a document or a settings file. */
struct loom_problem {
	enum loom_result code;
	char *where; /* owned: "file:line", or "file:routes[2].path" */
	char *message; /* owned */
	struct loom_problem *next;
};

/* Appends a problem to *problems (owned by the caller); where is copied. */
void loom_problem_add(struct loom_problem **problems, enum loom_result,
    const char *where, const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/* The number of problems in the list. */
size_t loom_problems_count(const struct loom_problem *);

/*
 * The list as text, one problem a line: "where: code NAME: message".  Owned by
 * the caller, g_free().
 */
char *loom_problems_text(const struct loom_problem *);

void loom_problems_free(struct loom_problem *);

/*
 * Prints all problems on standard error and frees them, for a program that
 * exits because of them.  Returns EXIT_FAILURE.
 */
int loom_problems_print(struct loom_problem *);

#endif
