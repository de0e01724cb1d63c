/*
 * Reading the platform's answers.  The whole answer is checked before the
 * first value is handed over, so that a malformed one changes nothing.
 */

#include <string.h>

#include "loom/json.h"
#include "loom/platform.h"

static bool
read_revision(struct json_object *object, uint64_t *revision)
{
	struct json_object *field;
	int64_t number;

	if (!json_object_object_get_ex(object, "revision", &field) ||
	    !json_object_is_type(field, json_type_int))
		return false;
	number = json_object_get_int64(field);
	*revision = (uint64_t)number;
	return number >= 0;
}

static bool
read_string(struct json_object *object, const char *name, size_t max,
    const char **text, size_t *len)
{
	struct json_object *field;

	if (!json_object_object_get_ex(object, name, &field) ||
	    !json_object_is_type(field, json_type_string))
		return false;
	*text = json_object_get_string(field);
	*len = (size_t)json_object_get_string_len(field);
	return *len <= max;
}

static bool
read_value(struct json_object *object, const char *prefix,
    struct loom_platform_value *value)
{
	size_t name_len;

	return json_object_is_type(object, json_type_object) &&
	    read_revision(object, &value->revision) &&
	    read_string(object, "name", LOOM_PLATFORM_NAME_MAX, &value->name,
		&name_len) &&
	    strlen(value->name) == name_len &&
	    g_str_has_prefix(value->name, prefix) &&
	    read_string(object, "value", LOOM_PLATFORM_VALUE_MAX, &value->text,
		&value->len);
}

static bool
read_values(struct json_object *list, const char *prefix, GArray *values,
    GError **error)
{
	struct loom_platform_value value;
	size_t i, n;

	n = json_object_array_length(list);
	for (i = 0; i < n; i++) {
		if (!read_value(
			json_object_array_get_idx(list, i), prefix, &value))
			return loom_fail(error, LOOM_PLATFORM_ANSWER,
			    "values[%zu] is malformed", i);
		g_array_append_val(values, value);
	}
	return true;
}

bool
loom_platform_answer(const char *text, size_t len, const char *prefix,
    void (*value)(void *arg, const struct loom_platform_value *), void *arg,
    uint64_t *revision, GError **error)
{
	struct json_object *answer, *list;
	const char *message;
	GArray *values = NULL;
	bool ok = false;
	unsigned line;
	guint i;

	answer = loom_json_parse(text, len, &line, &message);
	if (answer == NULL) {
		loom_fail(
		    error, LOOM_PLATFORM_ANSWER, "line %u: %s", line, message);
		return false;
	}
	if (!json_object_is_type(answer, json_type_object) ||
	    !read_revision(answer, revision) ||
	    !json_object_object_get_ex(answer, "values", &list) ||
	    !json_object_is_type(list, json_type_array)) {
		loom_fail(error, LOOM_PLATFORM_ANSWER,
		    "no revision or no list of values");
		goto done;
	}
	values = g_array_new(FALSE, FALSE, sizeof(struct loom_platform_value));
	ok = read_values(list, prefix, values, error);
	for (i = 0; ok && i < values->len; i++)
		value(
		    arg, &g_array_index(values, struct loom_platform_value, i));
	g_array_free(values, TRUE);
done:
	json_object_put(answer);
	return ok;
}
