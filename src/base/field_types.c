/*
 * Readers for the values of each field type, selected from a table.
 */

#include <math.h>
#include <string.h>

#include "base/fields_internal.h"

static void
report_type(struct field_context *context, const char *expected,
    struct json_object *value)
{
	field_report(context, context->source->codes->type,
	    "%s expected, not %s", expected,
	    json_type_to_name(json_object_get_type(value)));
}

/* Returns the text of a JSON string, or NULL after reporting a problem. */
static const char *
get_string(struct field_context *context, struct json_object *value)
{
	const char *text;

	if (!json_object_is_type(value, json_type_string)) {
		report_type(context, "a string", value);
		return NULL;
	}
	text = json_object_get_string(value);
	if (strlen(text) != (size_t)json_object_get_string_len(value)) {
		field_report(context, context->source->codes->range,
		    "a string must not hold a zero byte");
		return NULL;
	}
	return text;
}

static bool
passes_check(struct field_context *context, const struct loom_field *field,
    const char *text)
{
	enum loom_result code;

	code = field->check == NULL ? LOOM_OK : field->check(text);
	if (code == LOOM_OK)
		return true;
	field_report(context, code, "%s expected",
	    field->expects == NULL ? "another value" : field->expects);
	return false;
}

static void
read_string(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	const char *text = get_string(context, value);
	char **target = member;

	if (text == NULL || !passes_check(context, field, text))
		return;
	g_free(*target);
	*target = g_strdup(text);
}

static void
read_text(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	const char *text = get_string(context, value);

	if (text == NULL)
		return;
	if (strlen(text) >= field->size) {
		field_report(context, context->source->codes->range,
		    "longer than %zu characters", field->size - 1);
		return;
	}
	if (passes_check(context, field, text))
		g_strlcpy(member, text, field->size);
}

static bool
check_range(struct field_context *context, const struct loom_field *field,
    double number)
{
	bool bounded = field->min != 0 || field->max != 0;

	if (!bounded || (number >= field->min && number <= field->max))
		return true;
	field_report(context, context->source->codes->range,
	    "must be from %.15g to %.15g", field->min, field->max);
	return false;
}

static bool
get_integer(struct field_context *context, struct json_object *value,
    uint64_t limit, uint64_t *number)
{
	if (!json_object_is_type(value, json_type_int)) {
		report_type(context, "a whole number", value);
		return false;
	}
	*number = json_object_get_uint64(value);
	if (json_object_get_int64(value) < 0 || *number > limit) {
		field_report(context, context->source->codes->range,
		    "must be from 0 to %" G_GUINT64_FORMAT, (guint64)limit);
		return false;
	}
	return true;
}

static void
read_u32(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	uint64_t number;

	if (get_integer(context, value, UINT32_MAX, &number) &&
	    check_range(context, field, (double)number))
		*(uint32_t *)member = (uint32_t)number;
}

static void
read_u64(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	uint64_t number;

	if (get_integer(context, value, INT64_MAX, &number) &&
	    check_range(context, field, (double)number))
		*(uint64_t *)member = number;
}

static void
read_double(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	double number;

	if (!json_object_is_type(value, json_type_int) &&
	    !json_object_is_type(value, json_type_double)) {
		report_type(context, "a number", value);
		return;
	}
	number = json_object_get_double(value);
	if (!isfinite(number)) {
		field_report(context, context->source->codes->range,
		    "a finite number expected");
		return;
	}
	if (check_range(context, field, number))
		*(double *)member = number;
}

static void
read_bool(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	(void)field;
	if (!json_object_is_type(value, json_type_boolean)) {
		report_type(context, "true or false", value);
		return;
	}
	*(bool *)member = json_object_get_boolean(value) != 0;
}

static void
read_choice(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	const char *word = get_string(context, value);
	uint32_t i;
	char *choices;

	if (word == NULL)
		return;
	for (i = 0; field->words[i] != NULL; i++) {
		if (strcmp(field->words[i], word) == 0) {
			*(uint32_t *)member = i;
			return;
		}
	}
	choices = g_strjoinv(", ", (char **)field->words);
	field_report(context, context->source->codes->range,
	    "\"%s\" is none of %s", word, choices);
	g_free(choices);
}

static bool
check_array(struct field_context *context, struct json_object *value)
{
	if (json_object_is_type(value, json_type_array))
		return true;
	report_type(context, "a list", value);
	return false;
}

static void
read_strings(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	size_t i, n, parent = context->path->len;
	const char *text;
	GPtrArray *list;

	if (!check_array(context, value))
		return;
	list = g_ptr_array_new();
	n = json_object_array_length(value);
	for (i = 0; i < n; i++) {
		g_string_append_printf(context->path, "[%zu]", i);
		text = get_string(context, json_object_array_get_idx(value, i));
		if (text != NULL && passes_check(context, field, text))
			g_ptr_array_add(list, g_strdup(text));
		g_string_truncate(context->path, parent);
	}
	g_ptr_array_add(list, NULL);
	g_strfreev(*(char ***)member);
	*(char ***)member = (char **)g_ptr_array_free(list, FALSE);
}

static void
read_object(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	if (!json_object_is_type(value, json_type_object)) {
		report_type(context, "an object", value);
		return;
	}
	field_read_members(context, value, field->fields, member);
}

static void
read_list(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	size_t i, n, parent = context->path->len;
	GArray *list = *(GArray **)member;
	void *element;

	if (!check_array(context, value))
		return;
	n = json_object_array_length(value);
	g_array_set_size(list, (guint)n);
	for (i = 0; i < n; i++) {
		element = list->data + i * field->size;
		field_set_defaults(field->fields, element);
		g_string_append_printf(context->path, "[%zu]", i);
		read_object(context, field, json_object_array_get_idx(value, i),
		    element);
		g_string_truncate(context->path, parent);
	}
}

typedef void (*read_function)(struct field_context *, const struct loom_field *,
    struct json_object *, void *member);

static const read_function readers[] = {
	[LOOM_FIELD_STRING] = read_string,
	[LOOM_FIELD_TEXT] = read_text,
	[LOOM_FIELD_U32] = read_u32,
	[LOOM_FIELD_U64] = read_u64,
	[LOOM_FIELD_DOUBLE] = read_double,
	[LOOM_FIELD_BOOL] = read_bool,
	[LOOM_FIELD_CHOICE] = read_choice,
	[LOOM_FIELD_STRINGS] = read_strings,
	[LOOM_FIELD_OBJECT] = read_object,
	[LOOM_FIELD_LIST] = read_list,
};

void
field_read(struct field_context *context, const struct loom_field *field,
    struct json_object *value, void *member)
{
	readers[field->type](context, field, value, member);
}
