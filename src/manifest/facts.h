#ifndef LOOM_MANIFEST_FACTS_H
#define LOOM_MANIFEST_FACTS_H

/*
 * Declarations as facts in words.
 */

#include "loom/manifest.h"

/* A declaration within its manifest. */
struct item {
	const struct loom_manifest *manifest;
	const void *of; /* a struct loom_team, loom_route, ... */
};

struct fact {
	const char *label; /* NULL ends the table */
	void (*write)(GString *, const struct item *);
};

extern const struct fact fleet_facts[];
extern const struct fact key_facts[];
extern const struct fact route_facts[];
extern const struct fact service_facts[];
extern const struct fact team_facts[];

#endif
