/*
 * The platform that docs/PLATFORM.md describes: one call that lists the values
 * under a prefix which changed after a revision.  The whole answer is checked
 * before the first value is handed over, so that a malformed one changes
 * nothing.
 */

#include <curl/curl.h>
#include <inttypes.h>
#include <string.h>

#include "loom/counter.h"
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

struct values_state {
	char *prefix; /* owned */
	uint64_t after; /* the revision that was read last */
	bool read_once; /* a first answer came; now calls may wait */
	struct loom_counter *went_back; /* borrowed */
};

static void *
values_open(TALLOC_CTX *mem_ctx, const char *prefix, void *arg)
{
	struct values_state *state = talloc_zero(mem_ctx, struct values_state);

	(void)arg;
	if (state == NULL)
		return NULL;
	state->prefix = talloc_strdup(state, prefix);
	state->went_back = loom_counter("loom_platform_went_back_total", NULL,
	    "Answers with a lower revision than the one before.");
	return state;
}

/* A reader that has read nothing yet asks without waiting: an empty prefix
 * must count as an answer at once. */
static void
values_call(void *arg, uint32_t wait_ms, struct loom_platform_call *call)
{
	struct values_state *state = arg;
	char *prefix = curl_easy_escape(NULL, state->prefix, 0);

	call->wait_ms = state->read_once ? wait_ms : 0;
	call->path =
	    g_strdup_printf("/v1/values?prefix=%s&after=%" PRIu64 "&wait_ms=%u",
		prefix, state->after, call->wait_ms);
	curl_free(prefix);
}

static enum loom_platform_next
values_answer(void *arg, const struct loom_platform_answer *answer,
    loom_platform_take take, void *take_arg, GError **error)
{
	struct values_state *state = arg;
	uint64_t revision;

	if (answer->status != 200) {
		loom_fail(
		    error, LOOM_PLATFORM_STATUS, "status %u", answer->status);
		return LOOM_PLATFORM_FAILED;
	}
	if (!loom_platform_answer(answer->text, answer->len, state->prefix,
		take, take_arg, &revision, error))
		return LOOM_PLATFORM_FAILED;
	/* A stale or restored platform counts from a lower revision.  It is
	 * followed from there: waiting for the old number again would miss
	 * every change until then, and the owner refuses what is older. */
	if (revision < state->after)
		loom_counter_add(state->went_back, 1);
	state->after = revision;
	state->read_once = true;
	return LOOM_PLATFORM_WHOLE;
}

const struct loom_platform_source loom_platform_values = {
	.open = values_open,
	.call = values_call,
	.answer = values_answer,
};
