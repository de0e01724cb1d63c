#ifndef LOOM_EXPLAIN_H
#define LOOM_EXPLAIN_H

/*
 * A manifest in words, for the operators' pipeline.  All texts are owned by
 * the caller (g_free).  No text holds a key or a key's digest.
 */

#include "loom/manifest.h"

/*
 * Read and join documents from files.  Every document is read even when
 * another is wrong, so that all problems come at once.  NULL with problems.
 */
struct loom_manifest *loom_manifest_load(
    const char *const *files, size_t nfiles, struct loom_problem **problems);

/* What changes from one manifest to another: one change a line; "" for
 * nothing. */
char *loom_manifest_diff(
    const struct loom_manifest *from, const struct loom_manifest *to);

/*
 * What a request of a team to a route meets: importance, deadline, tickets,
 * retries, and each refusal with its reason.  NULL with
 * LOOM_MANIFEST_ABSENT when there is no such team or route.
 */
char *loom_manifest_explain(const struct loom_manifest *, const char *team,
    const char *route, GError **error);

/*
 * The declared calls that lead from a route to the nearest one that is not
 * idempotent itself: "a -> b -> c"; NULL when the route is repeatable.
 */
char *loom_manifest_why_not_repeatable(
    const struct loom_manifest *, const struct loom_route *);

/* The table of result codes as Markdown, by number: docs/RESULTS.md. */
char *loom_result_markdown(void);

#endif
