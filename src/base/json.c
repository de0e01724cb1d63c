/*
 * JSON with comments.  json-c's tokener accepts both kinds of comment unless it
 * is in strict mode.  It does not report the line of an error, so the line is
 * counted here.
 */

#include <string.h>

#include "loom/json.h"

#define JSON_DEPTH_MAX 32
#define NAME_LENGTH_MAX 64
#define SUGGESTION_DISTANCE_MAX 3

static unsigned
line_at(const char *text, size_t offset)
{
	unsigned line = 1;
	size_t i;

	for (i = 0; i < offset; i++) {
		if (text[i] == '\n')
			line++;
	}
	return line;
}

static bool
is_whitespace(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		/* strchr() also finds the terminator of its string. */
		if (strchr(" \t\r\n", text[i]) == NULL || text[i] == '\0')
			return false;
	}
	return true;
}

static const char *
parse_error_text(enum json_tokener_error error)
{
	if (error == json_tokener_continue)
		return "the text ends too early";
	return json_tokener_error_desc(error);
}

struct json_object *
loom_json_parse(
    const char *text, size_t len, unsigned *line, const char **message)
{
	struct json_tokener *tokener;
	struct json_object *object;
	size_t end;

	tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
	object = json_tokener_parse_ex(tokener, text, (int)len);
	end = json_tokener_get_parse_end(tokener);
	*message = NULL;
	*line = 0;
	if (json_tokener_get_error(tokener) != json_tokener_success)
		*message = parse_error_text(json_tokener_get_error(tokener));
	else if (object == NULL)
		*message = "null is not allowed here";
	else if (!is_whitespace(text + end, len - end))
		*message = "text after the end of the value";
	if (*message != NULL) {
		*line = line_at(text, end < len ? end : len);
		json_object_put(object);
		object = NULL;
	}
	json_tokener_free(tokener);
	return object;
}

struct json_object *
loom_json_load(const char *file, GError **error)
{
	struct json_object *object = NULL;
	GError *cause = NULL;
	const char *message;
	unsigned line;
	char *text;
	gsize len;

	if (!g_file_get_contents(file, &text, &len, &cause)) {
		loom_set_error(
		    error, LOOM_FILE_UNREADABLE, "%s", cause->message);
		g_error_free(cause);
		return NULL;
	}
	object = loom_json_parse(text, len, &line, &message);
	if (object == NULL)
		loom_set_error(
		    error, LOOM_JSON_SYNTAX, "%s:%u: %s", file, line, message);
	g_free(text);
	return object;
}

static unsigned
min3(unsigned a, unsigned b, unsigned c)
{
	return MIN(MIN(a, b), c);
}

/*
 * Levenshtein distance, computed with a single row of the matrix.  A name
 * longer than NAME_LENGTH_MAX is treated as unrelated.
 */
static unsigned
edit_distance(const char *a, const char *b)
{
	unsigned row[NAME_LENGTH_MAX + 1];
	unsigned diagonal, above;
	size_t i, j, alen = strlen(a), blen = strlen(b);

	if (alen > NAME_LENGTH_MAX || blen > NAME_LENGTH_MAX)
		return NAME_LENGTH_MAX;
	for (j = 0; j <= blen; j++)
		row[j] = (unsigned)j;
	for (i = 1; i <= alen; i++) {
		diagonal = row[0];
		row[0] = (unsigned)i;
		for (j = 1; j <= blen; j++) {
			above = row[j];
			row[j] = min3(above + 1, row[j - 1] + 1,
			    diagonal + (a[i - 1] != b[j - 1]));
			diagonal = above;
		}
	}
	return row[blen];
}

const char *
loom_nearest_name(const char *word, const char *const *names)
{
	const char *nearest = NULL;
	unsigned distance, best = SUGGESTION_DISTANCE_MAX + 1;

	for (; *names != NULL; names++) {
		distance = edit_distance(word, *names);
		if (distance < best) {
			best = distance;
			nearest = *names;
		}
	}
	return nearest;
}

void
loom_json_add_text(
    struct json_object *object, const char *name, const char *text)
{
	json_object_object_add(object, name, json_object_new_string(text));
}

void
loom_json_add_int(struct json_object *object, const char *name, int64_t number)
{
	json_object_object_add(object, name, json_object_new_int64(number));
}

void
loom_json_add_bool(struct json_object *object, const char *name, bool value)
{
	json_object_object_add(object, name, json_object_new_boolean(value));
}
