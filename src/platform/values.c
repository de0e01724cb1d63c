/*
 * Source for the product's own platform API (docs/PLATFORM.md): one HTTP call
 * lists the values under a prefix that changed after a given revision. The
 * whole response is validated before the first value is delivered, so that a
 * malformed response changes nothing.
 */

#include <curl/curl.h>
#include <inttypes.h>
#include <string.h>

#include "loom/counter.h"
#include "loom/json.h"
#include "loom/platform.h"

static bool
get_revision(struct json_object *object, uint64_t *revision)
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
get_string(struct json_object *object, const char *name, size_t max,
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

/* Parses one element of "values". Names outside the prefix are malformed. */
static bool
parse_value(struct json_object *object, const char *prefix,
    struct loom_platform_value *value)
{
	size_t name_len;

	return json_object_is_type(object, json_type_object) &&
	    get_revision(object, &value->revision) &&
	    get_string(object, "name", LOOM_PLATFORM_NAME_MAX, &value->name,
		&name_len) &&
	    strlen(value->name) == name_len &&
	    g_str_has_prefix(value->name, prefix) &&
	    get_string(object, "value", LOOM_PLATFORM_VALUE_MAX, &value->text,
		&value->len);
}

static bool
parse_values(struct json_object *list, const char *prefix, GArray *values,
    GError **error)
{
	struct loom_platform_value value;
	size_t i, n;

	n = json_object_array_length(list);
	for (i = 0; i < n; i++) {
		if (!parse_value(
			json_object_array_get_idx(list, i), prefix, &value))
			return loom_set_error(error, LOOM_PLATFORM_ANSWER,
			    "values[%zu] is malformed", i);
		g_array_append_val(values, value);
	}
	return true;
}

bool
loom_platform_response(const char *text, size_t len, const char *prefix,
    void (*value)(void *arg, const struct loom_platform_value *), void *arg,
    uint64_t *revision, GError **error)
{
	struct json_object *response, *list;
	const char *message;
	GArray *values = NULL;
	bool ok = false;
	unsigned line;
	guint i;

	response = loom_json_parse(text, len, &line, &message);
	if (response == NULL) {
		loom_set_error(
		    error, LOOM_PLATFORM_ANSWER, "line %u: %s", line, message);
		return false;
	}
	if (!json_object_is_type(response, json_type_object) ||
	    !get_revision(response, revision) ||
	    !json_object_object_get_ex(response, "values", &list) ||
	    !json_object_is_type(list, json_type_array)) {
		loom_set_error(error, LOOM_PLATFORM_ANSWER,
		    "\"revision\" or \"values\" is missing or has the wrong type");
		goto done;
	}
	values = g_array_new(FALSE, FALSE, sizeof(struct loom_platform_value));
	ok = parse_values(list, prefix, values, error);
	for (i = 0; ok && i < values->len; i++)
		value(
		    arg, &g_array_index(values, struct loom_platform_value, i));
	g_array_free(values, TRUE);
done:
	json_object_put(response);
	return ok;
}

struct values_state {
	char *prefix; /* owned */
	uint64_t last_revision; /* as of the last response */
	bool has_response; /* a valid response was read; calls may wait */
	struct loom_counter *revision_decreases; /* borrowed */
};

static void *
values_open(TALLOC_CTX *mem_ctx, const char *prefix, void *arg)
{
	struct values_state *state = talloc_zero(mem_ctx, struct values_state);

	(void)arg;
	if (state == NULL)
		return NULL;
	state->prefix = talloc_strdup(state, prefix);
	state->revision_decreases =
	    loom_counter("loom_platform_went_back_total", NULL,
		"Answers with a lower revision than the one before.");
	return state;
}

/*
 * Builds a long-poll call. The first call doesn't wait: the owner must get a
 * response at once even when no value exists under the prefix.
 */
static void
values_build_call(
    void *arg, uint32_t wait_ms, struct loom_platform_request *call)
{
	struct values_state *state = arg;
	char *prefix = curl_easy_escape(NULL, state->prefix, 0);

	call->wait_ms = state->has_response ? wait_ms : 0;
	call->path =
	    g_strdup_printf("/v1/values?prefix=%s&after=%" PRIu64 "&wait_ms=%u",
		prefix, state->last_revision, call->wait_ms);
	curl_free(prefix);
}

static enum loom_platform_read_result
values_handle_response(void *arg, const struct loom_platform_response *response,
    loom_platform_value_fn deliver, void *deliver_arg, GError **error)
{
	struct values_state *state = arg;
	uint64_t revision;

	if (response->status != 200) {
		loom_set_error(
		    error, LOOM_PLATFORM_STATUS, "status %u", response->status);
		return LOOM_PLATFORM_FAILED;
	}
	if (!loom_platform_response(response->text, response->len,
		state->prefix, deliver, deliver_arg, &revision, error))
		return LOOM_PLATFORM_FAILED;
	/*
	 * The revision decreases when the platform serves a stale copy or was
	 * restored from a backup. The reader continues from the lower number:
	 * waiting for the old one to be reached again would miss every change
	 * until then. The owner rejects values that are older than its own.
	 */
	if (revision < state->last_revision)
		loom_counter_add(state->revision_decreases, 1);
	state->last_revision = revision;
	state->has_response = true;
	return LOOM_PLATFORM_COMPLETE;
}

const struct loom_platform_source loom_platform_values = {
	.open = values_open,
	.build_call = values_build_call,
	.handle_response = values_handle_response,
};
