#ifndef LOOM_LOG_H
#define LOOM_LOG_H

/*
 * Levelled logging, one JSON object a line on standard error:
 *
 *	{"time":"...","level":"info","component":"platform","code":4000,"msg":"..."}
 *
 * Thread-safe; each line is written with a single write().
 */

#include <glib.h>
#include <json-c/json.h>

#include "loom/result.h"

enum loom_log_level {
	LOOM_LOG_DEBUG,
	LOOM_LOG_INFO,
	LOOM_LOG_WARN,
	LOOM_LOG_ERROR,
};

/* Messages below this level are not logged; the default is LOOM_LOG_INFO. */
void loom_log_set_level(enum loom_log_level);

/*
 * Parses "debug", "info", "warn" or "error"; returns false for any other word.
 */
bool loom_log_level_parse(const char *word, enum loom_log_level *level);

/*
 * Logs a message.  component is a short package name; code is LOOM_OK for none.
 */
void loom_log(enum loom_log_level, const char *component, enum loom_result code,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/* Logs a JSON value as the member called name; releases value. */
void loom_log_object(enum loom_log_level, const char *component,
    const char *name, struct json_object *value);

/* Sets the descriptor that lines are written to, instead of standard error. */
void loom_log_set_fd(int fd);

/*
 * A new line to which the caller adds members; owned (json_object_put()).
 * component may be NULL.
 */
struct json_object *loom_log_line(enum loom_log_level, const char *component);

/* Writes a line, whatever its level; never blocks. */
void loom_log_write(struct json_object *line);

/* Number of lines since the start that could not be written. */
uint64_t loom_log_dropped(void);

#endif
