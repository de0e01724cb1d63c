/*
 * Encodes and decodes refusals as problem documents (RFC 9457), with json-c.
 *
 * {"type":"urn:vanillaloom:result:2101","title":"shed: the service is
 *  overloaded","status":503,"code":2101,"name":"OVERLOAD",
 *  "outcome":"not-run","final":false,"retry_after_ms":250}
 *
 * Decoding is strict about the outcome: a document that is not understood must
 * not be read as "not-run", which would allow a retry of a call that may have
 * been executed.
 */

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loom/json.h"
#include "loom/outcome.h"
#include "loom/retry_after.h"

#define TYPE_PREFIX "urn:vanillaloom:result:"
#define DOCUMENT_MAX 4096
/*
 * A host id in hex, because not every JSON implementation supports 64-bit
 * numbers.
 */
#define HEIR_DIGITS 16

static void
add_text(struct json_object *object, const char *name, const char *text)
{
	if (text[0] != '\0')
		json_object_object_add(
		    object, name, json_object_new_string(text));
}

static void
add_int(struct json_object *object, const char *name, int64_t value)
{
	json_object_object_add(object, name, json_object_new_int64(value));
}

char *
loom_refusal_json(const struct loom_refusal *refusal)
{
	const struct loom_result_info *info = loom_result_info(refusal->code);
	struct json_object *object = json_object_new_object();
	char type[sizeof(TYPE_PREFIX) + 12], heir[HEIR_DIGITS + 1];
	char *text;

	snprintf(type, sizeof(type), TYPE_PREFIX "%d", (int)info->code);
	add_text(object, "type", type);
	add_text(object, "title", info->text);
	add_int(object, "status", info->http_status);
	add_int(object, "code", (int)info->code);
	add_text(object, "name", info->name);
	add_text(object, "outcome", loom_outcome_name(refusal->outcome));
	json_object_object_add(
	    object, "final", json_object_new_boolean(refusal->final));
	if (refusal->retry_after_ms != 0)
		add_int(object, "retry_after_ms", refusal->retry_after_ms);
	if (refusal->successor_host_id != 0) {
		snprintf(heir, sizeof(heir), "%016" PRIx64,
		    refusal->successor_host_id);
		add_text(object, "heir", heir);
	}
	add_text(object, "trace_id", refusal->trace_id);
	add_text(object, "ticket", refusal->ticket);
	add_text(object, "detail", refusal->detail);
	text = g_strdup(json_object_to_json_string_ext(
	    object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
	return text;
}

static bool
read_int(struct json_object *object, const char *name, int64_t min, int64_t max,
    int64_t *value)
{
	struct json_object *field;

	if (!json_object_object_get_ex(object, name, &field))
		return false;
	if (!json_object_is_type(field, json_type_int))
		return false;
	*value = json_object_get_int64(field);
	return *value >= min && *value <= max;
}

/* Returns false if the text does not fit; sets out to "" if it is missing. */
static bool
read_text(struct json_object *object, const char *name, char *out, size_t size)
{
	struct json_object *field;

	out[0] = '\0';
	if (!json_object_object_get_ex(object, name, &field))
		return true;
	if (!json_object_is_type(field, json_type_string))
		return false;
	if ((size_t)json_object_get_string_len(field) >= size)
		return false;
	memcpy(out, json_object_get_string(field),
	    (size_t)json_object_get_string_len(field));
	out[json_object_get_string_len(field)] = '\0';
	return true;
}

static bool
read_outcome(struct json_object *object, enum loom_outcome *outcome)
{
	static const enum loom_outcome outcomes[] = {
		LOOM_OUTCOME_NOT_RUN,
		LOOM_OUTCOME_RAN,
		LOOM_OUTCOME_UNKNOWN,
	};
	char name[16];
	size_t i;

	if (!read_text(object, "outcome", name, sizeof(name)))
		return false;
	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		if (strcmp(name, loom_outcome_name(outcomes[i])) == 0) {
			*outcome = outcomes[i];
			return true;
		}
	}
	return false;
}

static bool
read_code(struct json_object *object, struct loom_refusal *refusal)
{
	const struct loom_result_info *info;
	int64_t code, status;

	if (!read_int(object, "code", 1, INT32_MAX, &code))
		return false;
	if (!read_int(object, "status", 100, 599, &status))
		return false;
	info = loom_result_info((enum loom_result)code);
	if (info->code != (enum loom_result)code)
		return false;
	refusal->code = info->code;
	return info->http_status == status;
}

static bool
read_final(struct json_object *object, bool *final)
{
	struct json_object *field;

	if (!json_object_object_get_ex(object, "final", &field) ||
	    !json_object_is_type(field, json_type_boolean))
		return false;
	*final = json_object_get_boolean(field);
	return true;
}

static bool
read_heir(struct json_object *object, uint64_t *heir_host_id)
{
	char text[HEIR_DIGITS + 1];
	size_t len;

	*heir_host_id = 0;
	if (!read_text(object, "heir", text, sizeof(text)))
		return false;
	len = strspn(text, "0123456789abcdef");
	if (text[len] != '\0')
		return false;
	if (len != 0)
		*heir_host_id = strtoull(text, NULL, 16);
	return len == 0 || len == HEIR_DIGITS;
}

static bool
read_refusal(struct json_object *object, struct loom_refusal *refusal)
{
	struct json_object *unused;
	int64_t retry_after_ms = 0;

	if (!json_object_is_type(object, json_type_object))
		return false;
	if (!read_code(object, refusal) ||
	    !read_outcome(object, &refusal->outcome) ||
	    !read_final(object, &refusal->final))
		return false;
	if (json_object_object_get_ex(object, "retry_after_ms", &unused) &&
	    !read_int(object, "retry_after_ms", 0, LOOM_RETRY_AFTER_MAX_MS,
		&retry_after_ms))
		return false;
	refusal->retry_after_ms = (uint32_t)retry_after_ms;
	/*
	 * A result code for a call that was executed cannot be combined with
	 * the outcome "not-run". A code whose usual outcome is unknown can.
	 */
	if (refusal->outcome == LOOM_OUTCOME_NOT_RUN &&
	    loom_result_info(refusal->code)->outcome == LOOM_OUTCOME_RAN)
		return false;
	if (!read_heir(object, &refusal->successor_host_id))
		return false;
	return read_text(object, "trace_id", refusal->trace_id,
		   sizeof(refusal->trace_id)) &&
	    read_text(
		object, "ticket", refusal->ticket, sizeof(refusal->ticket)) &&
	    read_text(
		object, "detail", refusal->detail, sizeof(refusal->detail));
}

bool
loom_refusal_parse(const char *text, size_t len, struct loom_refusal *refusal)
{
	struct json_object *object;
	const char *message;
	unsigned line;
	bool ok;

	memset(refusal, 0, sizeof(*refusal));
	if (len > DOCUMENT_MAX)
		return false;
	object = loom_json_parse(text, len, &line, &message);
	if (object == NULL)
		return false;
	ok = read_refusal(object, refusal);
	json_object_put(object);
	if (!ok)
		memset(refusal, 0, sizeof(*refusal));
	return ok;
}
