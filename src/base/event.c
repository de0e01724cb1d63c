/*
 * Writes events as log lines.
 *
 * Under overload there are thousands of refusals a second, just when the
 * processor has the least time to spare.  So the number of lines a second is
 * bounded, and the requests to log are sampled before their lines are
 * formatted.
 */

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "loom/clock.h"
#include "loom/event.h"
#include "loom/log.h"

#define SAMPLING_SHIFT_MAX 16

static const char *const event_names[] = {
#define LOOM_EVENT_NAME(id, name, meaning) [LOOM_EVENT_##id] = (name),
	LOOM_EVENTS(LOOM_EVENT_NAME)
#undef LOOM_EVENT_NAME
};

static GMutex lock; /* guards all variables below */
static uint64_t current_s; /* second that the counts below belong to */
static uint32_t requests_offered; /* in this second, logged or not */
static uint32_t request_lines; /* written in this second */
static uint32_t state_lines; /* written in this second, about no request */
static uint32_t omitted_lines; /* in this second */
/* 1 in (1 << sampling_shift) requests is logged. */
static uint32_t sampling_shift;

const char *
loom_event_name(enum loom_event event)
{
	return event_names[event];
}

static void
add_field(struct json_object *line, const struct loom_event_field *field)
{
	struct json_object *value = NULL;

	switch (field->type) {
	case LOOM_EVENT_TEXT:
		if (field->text == NULL)
			return;
		value = json_object_new_string(field->text);
		break;
	case LOOM_EVENT_INT:
		value = json_object_new_int64(field->number);
		break;
	case LOOM_EVENT_REAL:
		value = json_object_new_double(field->real);
		break;
	case LOOM_EVENT_BOOL:
		value = json_object_new_boolean(field->number != 0);
		break;
	case LOOM_EVENT_END:
		return;
	}
	json_object_object_add(line, field->name, value);
}

void
loom_event_write(enum loom_event event, const struct loom_event_field *fields)
{
	struct json_object *line = loom_log_line(LOOM_LOG_INFO, NULL);

	json_object_object_add(
	    line, "event", json_object_new_string(event_names[event]));
	for (; fields->type != LOOM_EVENT_END; fields++)
		add_field(line, fields);
	loom_log_write(line);
	json_object_put(line);
}

static uint32_t
hash_id(const char *id)
{
	uint32_t hash = UINT32_C(2166136261); /* FNV-1a */

	for (; *id != '\0'; id++)
		hash = (hash ^ (unsigned char)*id) * UINT32_C(16777619);
	return hash;
}

/*
 * Starts counting a new second.  Its sampling rate is the largest power of 1/2
 * at which the requests of the previous second would have fitted into the
 * bound.  Returns the number of lines omitted in the previous second.
 */
static uint32_t
begin_second(uint64_t now_s)
{
	uint32_t omitted = omitted_lines;

	sampling_shift = 0;
	while (sampling_shift < SAMPLING_SHIFT_MAX &&
	    requests_offered >> sampling_shift > LOOM_EVENT_LINES_PER_S)
		sampling_shift++;
	current_s = now_s;
	requests_offered = 0;
	request_lines = 0;
	state_lines = 0;
	omitted_lines = 0;
	return omitted;
}

static bool
admit_request_line(const char *id)
{
	requests_offered++;
	if (request_lines >= LOOM_EVENT_LINES_PER_S ||
	    hash_id(id) % (UINT32_C(1) << sampling_shift) != 0)
		return false;
	request_lines++;
	return true;
}

/*
 * State changes of the daemon affect all requests, so they have a bound of
 * their own: a flood of request lines must not displace the line that explains
 * it.
 */
static bool
admit_state_line(void)
{
	if (state_lines >= LOOM_EVENT_STATE_LINES_PER_S)
		return false;
	state_lines++;
	return true;
}

bool
loom_event_admit(const char *id, uint64_t now_us)
{
	const uint64_t now_s = now_us / LOOM_US_PER_S;
	uint32_t omitted = 0;
	bool admit;

	g_mutex_lock(&lock);
	if (now_s != current_s)
		omitted = begin_second(now_s);
	if (id == NULL)
		admit = admit_state_line();
	else
		admit = admit_request_line(id);
	if (!admit)
		omitted_lines++;
	g_mutex_unlock(&lock);
	if (omitted > 0) {
		const struct loom_event_field fields[] = {
			LOOM_F_INT("lines", omitted),
			LOOM_F_END,
		};

		loom_event_write(LOOM_EVENT_LEFT_OUT, fields);
	}
	return admit;
}
