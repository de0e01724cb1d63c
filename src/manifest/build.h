#ifndef LOOM_MANIFEST_BUILD_H
#define LOOM_MANIFEST_BUILD_H

/*
 * The state of one joining of documents.
 */

#include "manifest/internal.h"

/* Where something is declared.  Written as text only for a problem: a large
 * fleet joins tens of thousands of declarations at each change. */
struct place {
	const struct loom_document *document; /* borrowed */
	uint32_t index; /* in the document's list */
	uint32_t key; /* in its team's list: of keys alone */
};

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

/* Report what is declared twice. */
void build_check_unique(struct build *);

/* Turn the names that routes refer to into indexes. */
void build_resolve(struct build *);

/* Set .repeatable of all routes; problems for calls in a circle. */
void build_closure(struct build *);

#endif
