#ifndef LOOM_FIELDS_H
#define LOOM_FIELDS_H

/*
 * Reading a JSON object into a struct by a table of fields.  The manifest's
 * documents, the host lists and the settings files are all read this way, so
 * that each refuses unknown names, wrong types and values out of range in the
 * same words.
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
	LOOM_FIELD_STRING, /* char *, owned; NULL without a default */
	LOOM_FIELD_TEXT, /* char[size], always terminated */
	LOOM_FIELD_U32, /* uint32_t */
	LOOM_FIELD_U64, /* uint64_t; bounds are exact up to 2^53 */
	LOOM_FIELD_DOUBLE, /* double, finite */
	LOOM_FIELD_BOOL, /* bool */
	LOOM_FIELD_CHOICE, /* uint32_t: index of the word in words */
	LOOM_FIELD_STRINGS, /* char **, owned, NULL-terminated, never NULL */
	LOOM_FIELD_OBJECT, /* a struct in place, read by fields */
	LOOM_FIELD_LIST, /* GArray *, owned: structs of size bytes */
};

struct loom_field {
	const char *name; /* NULL ends the table */
	enum loom_field_type type;
	bool required;
	size_t offset; /* of the member in the struct */
	size_t size; /* TEXT: bytes of the array; LIST: of an element */
	/* offset of a bool that tells whether the field stood in the text;
	 * 0 when that does not matter */
	size_t seen_offset;
	/* numbers: the bounds, both inclusive; none when both are 0 */
	double min;
	double max;
	double number_default; /* numbers, BOOL and CHOICE */
	const char *text_default; /* STRING and TEXT; NULL for none */
	const char *const *words; /* CHOICE: NULL-terminated */
	const struct loom_field *fields; /* OBJECT and LIST */
	/* STRING, TEXT and each of STRINGS: LOOM_OK, or the code to report
	 * with expects as the message; may be NULL */
	enum loom_result (*check)(const char *text);
	const char *expects; /* "an address ip:port" */
};

/* Which numbers the kinds of problem get. */
struct loom_field_codes {
	enum loom_result syntax;
	enum loom_result unknown;
	enum loom_result type;
	enum loom_result range;
	enum loom_result missing;
};

/* What is read, for messages; all borrowed. */
struct loom_field_source {
	const char *file;
	const struct loom_field_codes *codes;
};

/* Parse the text; owned.  NULL with a problem that names file and line. */
struct json_object *loom_fields_parse(const struct loom_field_source *,
    const char *text, size_t len, struct loom_problem **problems);

/*
 * Read object into out, which is overwritten: each field receives its value
 * or its default.  Problems are appended to *problems, all of them; returns
 * whether there was none.  out must go to loom_fields_free() either way.
 */
bool loom_fields_read(const struct loom_field_source *, struct json_object *,
    const struct loom_field *fields, void *out, struct loom_problem **problems);

/* Release what the fields of out own and set it to NULL. */
void loom_fields_free(const struct loom_field *fields, void *out);

#endif
