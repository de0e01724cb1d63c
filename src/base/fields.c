/*
 * Reads the members of an object by a table of fields.  field_types.c reads the
 * values.
 *
 * json-c keeps only the last of several members with the same name, so
 * duplicate names within an object are not detected.
 */

#include <string.h>

#include "base/fields_internal.h"

/* Fields after these are not suggested for an unknown name. */
#define KNOWN_NAMES_MAX 64

void
field_report(
    struct field_context *context, enum loom_result code, const char *fmt, ...)
{
	char *message, *where;
	va_list ap;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	where = g_strdup_printf("%s%s%s", context->source->file,
	    context->path->len > 0 ? ":" : "", context->path->str);
	loom_problem_add(context->problems, code, where, "%s", message);
	context->ok = false;
	g_free(where);
	g_free(message);
}

static void *
member_of(const struct loom_field *field, void *out)
{
	return (char *)out + field->offset;
}

static void
set_default(const struct loom_field *field, void *member)
{
	double number = field->number_default;

	switch (field->type) {
	case LOOM_FIELD_STRING:
		*(char **)member = g_strdup(field->text_default);
		break;
	case LOOM_FIELD_TEXT:
		g_strlcpy(member,
		    field->text_default == NULL ? "" : field->text_default,
		    field->size);
		break;
	case LOOM_FIELD_U32:
	case LOOM_FIELD_CHOICE:
		*(uint32_t *)member = (uint32_t)number;
		break;
	case LOOM_FIELD_U64:
		*(uint64_t *)member = (uint64_t)number;
		break;
	case LOOM_FIELD_DOUBLE:
		*(double *)member = number;
		break;
	case LOOM_FIELD_BOOL:
		*(bool *)member = number != 0;
		break;
	case LOOM_FIELD_STRINGS:
		*(char ***)member = g_new0(char *, 1);
		break;
	case LOOM_FIELD_OBJECT:
		field_set_defaults(field->fields, member);
		break;
	case LOOM_FIELD_LIST:
		*(GArray **)member =
		    g_array_new(FALSE, TRUE, (guint)field->size);
		break;
	}
}

void
field_set_defaults(const struct loom_field *fields, void *out)
{
	const struct loom_field *field;

	for (field = fields; field->name != NULL; field++) {
		set_default(field, member_of(field, out));
		if (field->present_offset != 0)
			*(bool *)((char *)out + field->present_offset) = false;
	}
}

static const struct loom_field *
find_field(const struct loom_field *fields, const char *name)
{
	for (; fields->name != NULL; fields++) {
		if (strcmp(fields->name, name) == 0)
			return fields;
	}
	return NULL;
}

static void
report_unknown(struct field_context *context, const struct loom_field *fields,
    const char *name)
{
	const char *known[KNOWN_NAMES_MAX + 1];
	const char *nearest;
	size_t n = 0;

	for (; fields->name != NULL && n < KNOWN_NAMES_MAX; fields++)
		known[n++] = fields->name;
	known[n] = NULL;
	nearest = loom_nearest_name(name, known);
	if (nearest != NULL)
		field_report(context, context->source->codes->unknown,
		    "unknown name, did you mean \"%s\"?", nearest);
	else
		field_report(
		    context, context->source->codes->unknown, "unknown name");
}

static void
push_name(struct field_context *context, const char *name)
{
	if (context->path->len > 0)
		g_string_append_c(context->path, '.');
	g_string_append(context->path, name);
}

static void
report_missing(struct field_context *context, struct json_object *object,
    const struct loom_field *fields)
{
	size_t parent = context->path->len;

	for (; fields->name != NULL; fields++) {
		if (!fields->required ||
		    json_object_object_get_ex(object, fields->name, NULL))
			continue;
		push_name(context, fields->name);
		field_report(
		    context, context->source->codes->missing, "missing");
		g_string_truncate(context->path, parent);
	}
}

void
field_read_members(struct field_context *context, struct json_object *object,
    const struct loom_field *fields, void *out)
{
	struct json_object_iterator iter = json_object_iter_begin(object);
	struct json_object_iterator end = json_object_iter_end(object);
	size_t parent = context->path->len;
	const struct loom_field *field;
	const char *name;

	for (; !json_object_iter_equal(&iter, &end);
	     json_object_iter_next(&iter)) {
		name = json_object_iter_peek_name(&iter);
		field = find_field(fields, name);
		push_name(context, name);
		if (field == NULL) {
			report_unknown(context, fields, name);
		} else {
			if (field->present_offset != 0)
				*(bool *)((char *)out + field->present_offset) =
				    true;
			field_read(context, field,
			    json_object_iter_peek_value(&iter),
			    member_of(field, out));
		}
		g_string_truncate(context->path, parent);
	}
	report_missing(context, object, fields);
}

struct json_object *
loom_fields_parse(const struct loom_field_source *source, const char *text,
    size_t len, struct loom_problem **problems)
{
	struct json_object *object;
	const char *message;
	unsigned line;
	char *where;

	object = loom_json_parse(text, len, &line, &message);
	if (object != NULL)
		return object;
	where = g_strdup_printf("%s:%u", source->file, line);
	loom_problem_add(problems, source->codes->syntax, where, "%s", message);
	g_free(where);
	return NULL;
}

bool
loom_fields_read(const struct loom_field_source *source,
    struct json_object *object, const struct loom_field *fields, void *out,
    struct loom_problem **problems)
{
	struct field_context context = {
		.source = source,
		.problems = problems,
		.path = g_string_new(NULL),
		.ok = true,
	};

	field_set_defaults(fields, out);
	if (json_object_is_type(object, json_type_object))
		field_read_members(&context, object, fields, out);
	else
		field_report(
		    &context, source->codes->type, "an object expected");
	g_string_free(context.path, TRUE);
	return context.ok;
}

static void
free_list(const struct loom_field *field, GArray *list)
{
	guint i;

	if (list == NULL)
		return;
	for (i = 0; i < list->len; i++)
		loom_fields_free(field->fields, list->data + i * field->size);
	g_array_free(list, TRUE);
}

void
loom_fields_free(const struct loom_field *fields, void *out)
{
	const struct loom_field *field;
	void *member;

	for (field = fields; field->name != NULL; field++) {
		member = member_of(field, out);
		if (field->type == LOOM_FIELD_STRING) {
			g_clear_pointer((char **)member, g_free);
		} else if (field->type == LOOM_FIELD_STRINGS) {
			g_clear_pointer((char ***)member, g_strfreev);
		} else if (field->type == LOOM_FIELD_OBJECT) {
			loom_fields_free(field->fields, member);
		} else if (field->type == LOOM_FIELD_LIST) {
			free_list(field, *(GArray **)member);
			*(GArray **)member = NULL;
		}
	}
}
