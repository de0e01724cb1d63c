/*
 * Events as lines.
 *
 * Load pattern: thousands of refusals a second, at the very time when the
 * processor has the least to spare.  So the lines of a second are bounded, and
 * the requests that are written are chosen before their lines are made.
 */

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "loom/clock.h"
#include "loom/event.h"
#include "loom/log.h"

#define PART_MIN_SHIFT 16

static const char *const names[] = {
#define LOOM_EVENT_NAME(id, name, meaning) [LOOM_EVENT_##id] = (name),
	LOOM_EVENTS(LOOM_EVENT_NAME)
#undef LOOM_EVENT_NAME
};

static GMutex lock; /* guards all below */
static uint64_t second; /* that the counts are of */
static uint32_t offered; /* in this second, about requests */
static uint32_t written;
static uint32_t states; /* lines of this second about no request */
static uint32_t left_out;
static uint32_t shift; /* one request in 1 << shift is written */

const char *
loom_event_name(enum loom_event event)
{
	return names[event];
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
	    line, "event", json_object_new_string(names[event]));
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

/* The part that would have fitted into the second before is written of this
 * one.  Returns how many lines that one left out. */
static uint32_t
begin_second(uint64_t now_s)
{
	uint32_t missed = left_out;

	shift = 0;
	while (
	    shift < PART_MIN_SHIFT && offered >> shift > LOOM_EVENT_LINES_PER_S)
		shift++;
	second = now_s;
	offered = 0;
	written = 0;
	states = 0;
	left_out = 0;
	return missed;
}

static bool
admit_request(const char *id)
{
	offered++;
	if (written >= LOOM_EVENT_LINES_PER_S ||
	    hash_id(id) % (UINT32_C(1) << shift) != 0)
		return false;
	written++;
	return true;
}

/* What the daemon believes decides about all requests: a flood of their lines
 * must not cost the one that explains them. */
static bool
admit_state(void)
{
	if (states >= LOOM_EVENT_STATES_PER_S)
		return false;
	states++;
	return true;
}

bool
loom_event_admit(const char *id, uint64_t now_us)
{
	const uint64_t now_s = now_us / LOOM_US_PER_S;
	uint32_t missed = 0;
	bool admit;

	g_mutex_lock(&lock);
	if (now_s != second)
		missed = begin_second(now_s);
	if (id == NULL)
		admit = admit_state();
	else
		admit = admit_request(id);
	if (!admit)
		left_out++;
	g_mutex_unlock(&lock);
	if (missed > 0) {
		const struct loom_event_field fields[] = {
			LOOM_F_INT("lines", missed),
			LOOM_F_END,
		};

		loom_event_write(LOOM_EVENT_LEFT_OUT, fields);
	}
	return admit;
}
