#ifndef LOOM_MANIFEST_BUILD_H
#define LOOM_MANIFEST_BUILD_H

/*
 * The state of one joining of documents.
 */

#include <talloc.h>

#include "manifest/internal.h"

/* Where something is declared.  Written as text only for a problem: a large
 * fleet joins tens of thousands of declarations at each change. */
struct place {
	const struct loom_document *document; /* borrowed */
	uint32_t index; /* in the document's list */
	uint32_t key; /* in its team's list: of keys alone */
	bool dropped; /* left out of a partial manifest (drop.c) */
	/* the element that stands for a dropped one; NO_INDEX for none */
	uint32_t same_as;
};

#define NO_INDEX G_MAXUINT32

struct build {
	struct loom_manifest *manifest;
	struct loom_problem **problems;
	/* one for each element of the manifest's arrays; owned by this */
	struct place *teams;
	struct place *keys;
	struct place *services;
	struct place *routes;
	const struct loom_document *fleet; /* has the section; borrowed */
	bool ok;
};

/* Add a problem; the manifest will not be given out. */
void build_report(struct build *, enum loom_result, const char *where,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/* Report what is declared twice, and merge it into the first. */
void build_check_unique(struct build *);

/* Let first stand for second as well; indexes of the manifest's arrays. */
void build_merge_teams(struct build *, uint32_t first, uint32_t second);
void build_merge_services(struct build *, uint32_t first, uint32_t second);
void build_merge_digests(struct build *, uint32_t first, uint32_t second);
void build_merge_routes(struct build *, uint32_t first, uint32_t second);

/* Take what was dropped out of the manifest's arrays. */
void build_drop(struct build *);

/* Turn the names that routes refer to into indexes. */
void build_resolve(struct build *);

/* Set .repeatable of all routes; problems for calls in a circle. */
void build_closure(struct build *);

#endif
