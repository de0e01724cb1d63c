#ifndef LOOM_MANIFEST_BUILD_H
#define LOOM_MANIFEST_BUILD_H

/*
 * The state of one joining of documents.
 */

#include "manifest/internal.h"

struct build {
	struct loom_manifest *manifest;
	struct loom_problem **problems;
	/* "team x" and the like to where it was declared; owned */
	GHashTable *declared;
	GPtrArray *route_files; /* borrowed: file of each route */
	GHashTable *routes; /* name to struct loom_route; all borrowed */
	GHashTable *services; /* name to struct loom_service; all borrowed */
	bool ok;
};

/* Add a problem; the manifest will not be given out. */
void build_report(struct build *, enum loom_result, const char *where,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/*
 * Turn the names that a document's routes refer to into indexes.  first is
 * the index of its first route; returns that of the next document's.
 */
uint32_t build_resolve(
    struct build *, const struct loom_document *, uint32_t first);

#endif
