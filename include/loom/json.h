#ifndef LOOM_JSON_H
#define LOOM_JSON_H

/*
 * JSON with comments, read by json-c.  A reader walks an object by a table of
 * fields; unknown names are refused with the nearest known one.
 */

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/result.h"

/*
 * Parse text of len bytes.  Returns an owned object, or NULL with *line
 * (from 1) and a message (borrowed, static) of the place that is wrong.
 */
struct json_object *loom_json_parse(
    const char *text, size_t len, unsigned *line, const char **message);

/* Read and parse a whole file.  Owned; NULL with LOOM_FILE_UNREADABLE or
 * LOOM_JSON_SYNTAX. */
struct json_object *loom_json_load(const char *file, GError **error);

/* The name in names (NULL-terminated) that is nearest to word by edit
 * distance; NULL when none is near.  Borrowed. */
const char *loom_nearest_name(const char *word, const char *const *names);

/* Members of an object that is being made. */
void loom_json_add_text(
    struct json_object *, const char *name, const char *text);
void loom_json_add_int(struct json_object *, const char *name, int64_t number);
void loom_json_add_bool(struct json_object *, const char *name, bool value);

#endif
