#ifndef LOOM_EXPLAIN_H
#define LOOM_EXPLAIN_H

/*
 * Descriptions of a manifest as text, for the operators' pipeline.  The caller
 * owns the returned strings and frees them with g_free().  No text contains a
 * key or the digest of a key.
 */

#include "loom/manifest.h"

/*
 * Reads documents from files and merges them into one manifest.  Every document
 * is read even when another is invalid, so that one call reports all problems.
 * Returns NULL on failure, with every problem added to problems.
 */
struct loom_manifest *loom_manifest_load(
    const char *const *files, size_t nfiles, struct loom_problem **problems);

/*
 * Lists the changes from one manifest to another, one on each line.  Returns ""
 * if nothing changes.
 */
char *loom_manifest_diff(
    const struct loom_manifest *from, const struct loom_manifest *to);

/*
 * Describes how a request of a team to a route is handled: its importance,
 * deadline, ticket and retries, and each possible refusal with its reason.
 * Returns NULL and sets the error LOOM_MANIFEST_ABSENT if the manifest declares
 * no such team or route.
 */
char *loom_manifest_explain(const struct loom_manifest *, const char *team,
    const char *route, GError **error);

/*
 * Formats the shortest chain of declared calls from a route to one that is not
 * itself idempotent, as "a -> b -> c".  Returns NULL if the route is
 * repeatable.
 */
char *loom_manifest_non_idempotent_chain(
    const struct loom_manifest *, const struct loom_route *);

/*
 * Formats the table of result codes as Markdown, sorted by number, for
 * docs/RESULTS.md.
 */
char *loom_result_markdown(void);

#endif
