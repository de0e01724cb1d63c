#ifndef LOOM_EVENT_H
#define LOOM_EVENT_H

/*
 * Structured event log: one JSON object a line, with the inputs of a decision
 * and its outcome.  Fields are typed; there is no free text.
 *
 *	{"time":"...","event":"call","id":"9c41","stage":"entry",...}
 *
 * A process writes at most LOOM_EVENT_LINES_PER_S lines a second about requests
 * and LOOM_EVENT_STATE_LINES_PER_S about changes of its own state.  Requests
 * beyond that are sampled by the hash of their id, so that all daemons log the
 * same requests; once a second a line tells how many lines were omitted.
 * Writing never blocks: lines that a slow reader has no room for are dropped.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/result.h"

#define LOOM_EVENT_LINES_PER_S 100
/*
 * State changes have a bound of their own; the longest burst of them is a list
 * of all hosts.
 */
#define LOOM_EVENT_STATE_LINES_PER_S 100

/* id, name and meaning; docs/OPERATIONS.md has the same table. */
#define LOOM_EVENTS(X)                                                        \
	X(CALL, "call", "a request or call ended at this daemon")             \
	X(CONFIG, "config", "a manifest or list of hosts is in force")        \
	X(HOST, "host", "an upstream's host came, left or changed its state") \
	X(LIMIT, "limit", "the own upstream's limit moved by a quarter")      \
	X(SHARE, "share", "the share of requests let in below 1, or 1 again") \
	X(RIGHTS, "rights", "the pool, or this daemon's part of all rates")   \
	X(PLATFORM, "platform", "the platform was lost or regained")          \
	X(VALUE, "value", "a document was read, or a value took long")        \
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
	LOOM_EVENT_TEXT, /* omitted if the text is NULL */
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
 * Whether a line may be written now; if so, counts it towards the bound of this
 * second.  id is the request's id, which is the same at every daemon, or NULL
 * for a state change of the daemon.  Thread-safe.
 */
bool loom_event_admit(const char *id, uint64_t now_us);

/* Writes a line.  Thread-safe. */
void loom_event_write(enum loom_event, const struct loom_event_field *fields);

#endif
