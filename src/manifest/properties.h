#ifndef LOOM_MANIFEST_PROPERTIES_H
#define LOOM_MANIFEST_PROPERTIES_H

/*
 * The properties of each kind of declaration, formatted as text for
 * loom_manifest_diff().
 */

#include "loom/manifest.h"

/* A declaration and the manifest that holds it. */
struct declaration {
	const struct loom_manifest *manifest;
	const void *data; /* a struct loom_team, loom_route, ... */
};

/* A property of a declaration. */
struct property {
	const char *label; /* NULL in the last entry of a table */
	/* Appends the value to the text. */
	void (*write)(GString *, const struct declaration *);
};

extern const struct property fleet_properties[];
extern const struct property key_properties[];
extern const struct property route_properties[];
extern const struct property service_properties[];
extern const struct property team_properties[];

#endif
