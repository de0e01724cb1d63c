#ifndef LOOM_MANIFEST_BUILD_H
#define LOOM_MANIFEST_BUILD_H

/*
 * State shared by the files that merge documents into one manifest.
 *
 * loom_manifest_build_partial() uses the manifest even when the documents
 * conflict; loom_manifest_build() discards it in that case.
 */

#include <talloc.h>

#include "manifest/internal.h"

/* Where an element is declared.  Formatted as text only when a problem is
 * reported, as a large fleet merges tens of thousands of declarations at each
 * change. */
struct declaration {
	const struct loom_document *document; /* borrowed */
	uint32_t index; /* in the document's array */
	uint32_t key; /* keys only: index in the team's array */
	bool dropped; /* omitted from a partial manifest (drop.c) */
	/* of a dropped element: index of the one it was merged into, or
	 * NO_INDEX */
	uint32_t merged_into;
};

#define NO_INDEX G_MAXUINT32

struct build {
	struct loom_manifest *manifest;
	struct loom_problem **problems;
	/* parallel to the manifest's arrays; allocated in this context */
	struct declaration *teams;
	struct declaration *keys;
	struct declaration *services;
	struct declaration *routes;
	/* the first with a "fleet" section; borrowed */
	const struct loom_document *fleet;
	bool ok; /* no problem was reported */
};

/* Adds a problem and clears .ok, so that a strict build fails. */
void build_report(struct build *, enum loom_result, const char *where,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/* Reports duplicate declarations and merges each into the first one. */
void build_check_unique(struct build *);

/* Merge the second declaration of an element into the first; both are indexes
 * of the manifest's arrays. */
void build_merge_teams(struct build *, uint32_t first, uint32_t second);
void build_merge_services(struct build *, uint32_t first, uint32_t second);
void build_merge_digests(struct build *, uint32_t first, uint32_t second);
void build_merge_routes(struct build *, uint32_t first, uint32_t second);

/* Removes dropped elements from the manifest's arrays and updates the indexes
 * that refer to them. */
void build_remove_dropped(struct build *);

/* Resolves the service and route names in routes to indexes. */
void build_resolve(struct build *);

/* Sets .repeatable of all routes; reports cycles of calls. */
void build_compute_repeatable(struct build *);

#endif
