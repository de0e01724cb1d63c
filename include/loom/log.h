#ifndef LOOM_LOG_H
#define LOOM_LOG_H

/*
 * Levelled logs, one JSON object a line on standard error:
 * {"time":"...","level":"info","component":"platform","code":4000,"msg":"..."}
 * Safe from any thread; a line is written with one call.
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

/* Lines below this level are dropped; the default is info. */
void loom_log_set_level(enum loom_log_level);

/* Parse "debug", "info", "warn" or "error"; false for any other word. */
bool loom_log_level_parse(const char *word, enum loom_log_level *level);

/* Write a line.  component is a short package name; code LOOM_OK for none. */
void loom_log(enum loom_log_level, const char *component, enum loom_result code,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/* Write a line with a JSON value as its member name; value is released. */
void loom_log_object(enum loom_log_level, const char *component,
    const char *name, struct json_object *value);

/* Where lines go: standard error unless set. */
void loom_log_set_fd(int fd);

/* A line to add fields to, owned (json_object_put); component may be NULL. */
struct json_object *loom_log_line(enum loom_log_level, const char *component);

/* Write it; never blocks. */
void loom_log_write(struct json_object *line);

/* Lines that could not be written since the start. */
uint64_t loom_log_dropped(void);

#endif
