#ifndef LOOM_PROBLEM_H
#define LOOM_PROBLEM_H

/*
 * A list of all that is wrong with a text, so that a person mends it in one
 * go instead of one error at a time.
 */

#include <glib.h>

#include "loom/result.h"

/* One thing wrong with a document or a settings file. */
struct loom_problem {
	enum loom_result code;
	char *where; /* owned: "file:line", or "file:routes[2].path" */
	char *message; /* owned */
	struct loom_problem *next;
};

/* Append to *problems (owned by the caller); where is copied. */
void loom_problem_add(struct loom_problem **problems, enum loom_result,
    const char *where, const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/* How many of them there are. */
size_t loom_problems_count(const struct loom_problem *);

/*
 * All as text, owned by the caller (g_free): one a line,
 * "where: code NAME: message".
 */
char *loom_problems_text(const struct loom_problem *);

void loom_problems_free(struct loom_problem *);

/* For a program that ends by them: print all on standard error and free them.
 * Returns EXIT_FAILURE. */
int loom_problems_print(struct loom_problem *);

#endif
