#ifndef LOOM_EVENT_H
#define LOOM_EVENT_H

/*
 * Decisions as log lines: one JSON object a line, with the inputs that decided
 * and the outcome.  Fields are typed; nothing is put together as free text.
 *
 *	{"time":"...","event":"call","id":"9c41","stage":"entry",...}
 *
 * The volume is bounded: LOOM_EVENT_LINES_PER_S lines a second of a process
 * about requests, and LOOM_EVENT_STATES_PER_S about what it believes.
 * What goes beyond is left out by the hash of the request's id, so that daemons
 * leave out the same requests, and counted in a line of its own each second.
 * Writing never blocks: a reader that is slow costs lines.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/result.h"

#define LOOM_EVENT_LINES_PER_S 100
/* Lines about no request have their own: a list of all hosts is the longest
 * burst of them. */
#define LOOM_EVENT_STATES_PER_S 100

/* name, meaning; docs/OPERATIONS.md has the same table. */
#define LOOM_EVENTS(X)                                                        \
	X(CALL, "call", "a request or call ended at this daemon")             \
	X(CONFIG, "config", "a manifest or list of hosts is in force")        \
	X(HOST, "host", "an upstream's host came, left or changed its state") \
	X(LIMIT, "limit", "the own upstream's limit moved by a quarter")      \
	X(SHARE, "share", "the share of requests let in below 1, or 1 again") \
	X(RIGHTS, "rights", "the pool, or this daemon's part of all rates")   \
	X(PLATFORM, "platform", "the platform was lost or regained")          \
	X(PROCESSOR, "processor", "the event loops are late, or in time")     \
	X(LIFE, "life", "start, stop, reload, drain")                         \
	X(LEFT_OUT, "left_out", "lines that were not written")

enum loom_event {
#define LOOM_EVENT_ENUM(id, name, meaning) LOOM_EVENT_##id,
	LOOM_EVENTS(LOOM_EVENT_ENUM)
#undef LOOM_EVENT_ENUM
	LOOM_EVENT_COUNT,
};

enum loom_event_type {
	LOOM_EVENT_END, /* ends a list of fields */
	LOOM_EVENT_TEXT, /* NULL: the field is left out */
	LOOM_EVENT_INT,
	LOOM_EVENT_REAL,
	LOOM_EVENT_BOOL,
};

struct loom_event_field {
	enum loom_event_type type;
	const char *name; /* borrowed, like text */
	const char *text;
	int64_t number;
	double real;
};

#define LOOM_F_TEXT(field, value)                                         \
	{                                                                 \
		.type = LOOM_EVENT_TEXT, .name = (field), .text = (value) \
	}
#define LOOM_F_INT(field, value)                         \
	{                                                \
		.type = LOOM_EVENT_INT, .name = (field), \
		.number = (int64_t)(value)               \
	}
#define LOOM_F_REAL(field, value)                                         \
	{                                                                 \
		.type = LOOM_EVENT_REAL, .name = (field), .real = (value) \
	}
#define LOOM_F_BOOL(field, value)                                           \
	{                                                                   \
		.type = LOOM_EVENT_BOOL, .name = (field), .number = (value) \
	}
#define LOOM_F_END                     \
	{                              \
		.type = LOOM_EVENT_END \
	}

const char *loom_event_name(enum loom_event);

/*
 * May a line about this request be written now?  Takes one of this second's
 * lines.  id: the request's own, the same at each daemon; NULL for what the
 * daemon believes.  Any thread.
 */
bool loom_event_admit(const char *id, uint64_t now_us);

/* Write a line.  Any thread. */
void loom_event_write(enum loom_event, const struct loom_event_field *fields);

#endif
