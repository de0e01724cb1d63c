#ifndef LOOM_FIELDS_INTERNAL_H
#define LOOM_FIELDS_INTERNAL_H

/*
 * Shared by fields.c, which traverses objects, and field_types.c, which reads
 * values.
 */

#include "loom/fields.h"

/* State of reading a whole object. */
struct field_context {
	const struct loom_field_source *source; /* borrowed */
	struct loom_problem **problems; /* borrowed */
	GString *path; /* owned by loom_fields_read(): "routes[2].path" */
	bool ok;
};

/* Adds a problem at the current path. */
void field_report(struct field_context *, enum loom_result, const char *fmt,
    ...) G_GNUC_PRINTF(3, 4);

/* Reads the members of an object into out, which must hold its defaults. */
void field_read_members(struct field_context *, struct json_object *,
    const struct loom_field *fields, void *out);

void field_set_defaults(const struct loom_field *fields, void *out);

/* Reads a value into the struct member of its field. */
void field_read(struct field_context *, const struct loom_field *,
    struct json_object *, void *member);

#endif
