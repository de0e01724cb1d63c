#ifndef LOOM_FIELDS_INTERNAL_H
#define LOOM_FIELDS_INTERNAL_H

/*
 * What the walk over an object and the readers of single types share.
 */

#include "loom/fields.h"

/* One reading of a whole object. */
struct walk {
	const struct loom_field_source *source; /* borrowed */
	struct loom_problem **problems; /* borrowed */
	GString *path; /* owned by the outermost call: "routes[2].path" */
	bool ok;
};

/* Add a problem at the walk's present path. */
void field_report(struct walk *, enum loom_result, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* Read the members of an object into out, which has its defaults already. */
void field_read_members(struct walk *, struct json_object *,
    const struct loom_field *fields, void *out);

void field_set_defaults(const struct loom_field *fields, void *out);

/* Read one value into the member of its field. */
void field_read(struct walk *, const struct loom_field *, struct json_object *,
    void *member);

#endif
