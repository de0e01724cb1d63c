#ifndef LOOM_FIELDS_H
#define LOOM_FIELDS_H

/*
 * Reads a JSON object into a struct as described by a table of fields.  The
 * manifest's documents, the host lists and the settings files are all read this
 * way, so that unknown names, wrong types and values out of range are reported
 * in the same words everywhere.  For an unknown name, the nearest known one is
 * suggested.
 *
 *	struct listen { char *address; uint32_t port; };
 *
 *	static const struct loom_field listen_fields[] = {
 *		{ .name = "address", .type = LOOM_FIELD_STRING,
 *		    .offset = offsetof(struct listen, address),
 *		    .text_default = "127.0.0.1" },
 *		{ .name = "port", .type = LOOM_FIELD_U32, .required = true,
 *		    .offset = offsetof(struct listen, port),
 *		    .min = 1, .max = 65535 },
 *		{ .name = NULL },
 *	};
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/json.h"
#include "loom/problem.h"

enum loom_field_type {
	LOOM_FIELD_STRING, /* char *, owned; NULL if there is no default */
	LOOM_FIELD_TEXT, /* char[size], always NUL-terminated */
	LOOM_FIELD_U32, /* uint32_t */
	LOOM_FIELD_U64, /* uint64_t; bounds are exact up to 2^53 */
	LOOM_FIELD_DOUBLE, /* double, finite */
	LOOM_FIELD_BOOL, /* bool */
	LOOM_FIELD_CHOICE, /* uint32_t: index in words */
	LOOM_FIELD_STRINGS, /* char **, owned, NULL-terminated, never NULL */
	LOOM_FIELD_OBJECT, /* an embedded struct, read by fields */
	LOOM_FIELD_LIST, /* GArray *, owned: structs of size bytes */
};

struct loom_field {
	const char *name; /* NULL ends the table */
	enum loom_field_type type;
	bool required;
	size_t offset; /* of the member in the struct */
	size_t size; /* TEXT: bytes of the array; LIST: bytes of an element */
	/*
	 * offset of a bool that is set to whether the field is present in the
	 * text; 0 if not needed
	 */
	size_t present_offset;
	/* numbers: inclusive bounds; unbounded if both are 0 */
	double min;
	double max;
	double number_default; /* numbers, BOOL and CHOICE */
	const char *text_default; /* STRING and TEXT; NULL for none */
	const char *const *words; /* CHOICE: NULL-terminated */
	const struct loom_field *fields; /* OBJECT and LIST */
	/*
	 * STRING, TEXT and each of STRINGS: validates a value.  Returns
	 * LOOM_OK, or the code to report with expects in the message; may be
	 * NULL
	 */
	enum loom_result (*check)(const char *text);
	const char *expects; /* "an address ip:port" */
};

/* Result codes for each kind of problem. */
struct loom_field_codes {
	enum loom_result syntax;
	enum loom_result unknown;
	enum loom_result type;
	enum loom_result range;
	enum loom_result missing;
};

/* The text being read, for messages; all pointers are borrowed. */
struct loom_field_source {
	const char *file;
	const struct loom_field_codes *codes;
};

/*
 * Parses the text into an owned object.  On failure returns NULL and adds a
 * problem with file and line.
 */
struct json_object *loom_fields_parse(const struct loom_field_source *,
    const char *text, size_t len, struct loom_problem **problems);

/*
 * Reads the object into out, which is overwritten: each field receives its
 * value or its default.  Appends all problems to *problems and returns whether
 * there were none.  out must be passed to loom_fields_free() in either case.
 */
bool loom_fields_read(const struct loom_field_source *, struct json_object *,
    const struct loom_field *fields, void *out, struct loom_problem **problems);

/* Frees what the fields of out own and sets those pointers to NULL. */
void loom_fields_free(const struct loom_field *fields, void *out);

#endif
