#ifndef LOOM_JSON_H
#define LOOM_JSON_H

/*
 * JSON with comments, parsed with json-c, and helpers to suggest the nearest
 * known name and to build objects.  loom/fields.h reads a parsed object into a
 * struct.
 */

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/result.h"

/*
 * Parses len bytes of text.  Returns an owned object.  On failure returns NULL
 * and sets *line (starting at 1) and *message (borrowed, static) to the
 * location and the reason.
 */
struct json_object *loom_json_parse(
    const char *text, size_t len, unsigned *line, const char **message);

/*
 * Reads and parses a whole file.  Returns an owned object, or NULL with the
 * error LOOM_FILE_UNREADABLE or LOOM_JSON_SYNTAX.
 */
struct json_object *loom_json_load(const char *file, GError **error);

/*
 * Returns the name in names (NULL-terminated) with the smallest edit distance
 * to word, or NULL if none is close.  The result is borrowed.
 */
const char *loom_nearest_name(const char *word, const char *const *names);

/* Add a member to an object. */
void loom_json_add_text(
    struct json_object *, const char *name, const char *text);
void loom_json_add_int(struct json_object *, const char *name, int64_t number);
void loom_json_add_bool(struct json_object *, const char *name, bool value);

#endif
