/*
 * The logger.  JSON is produced by json-c so that a hostile header in a
 * message can neither break a line nor forge a second one.
 */

#include <json-c/json.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "loom/clock.h"
#include "loom/log.h"

static atomic_int min_level = LOOM_LOG_INFO;

static const char *const level_names[] = {
	[LOOM_LOG_DEBUG] = "debug",
	[LOOM_LOG_INFO] = "info",
	[LOOM_LOG_WARN] = "warn",
	[LOOM_LOG_ERROR] = "error",
};

void
loom_log_set_level(enum loom_log_level level)
{
	atomic_store_explicit(&min_level, (int)level, memory_order_relaxed);
}

bool
loom_log_level_parse(const char *word, enum loom_log_level *level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(word, level_names[i]) == 0) {
			*level = (enum loom_log_level)i;
			return true;
		}
	}
	return false;
}

static void
format_time(char *buf, size_t size)
{
	uint64_t ns = loom_wall_ns();
	time_t seconds = (time_t)(ns / 1000000000U);
	struct tm tm;
	size_t len;

	gmtime_r(&seconds, &tm);
	len = strftime(buf, size, "%Y-%m-%dT%H:%M:%S", &tm);
	g_snprintf(buf + len, size - len, ".%06uZ",
	    (unsigned)(ns % 1000000000U / 1000U));
}

static void
write_line(struct json_object *line)
{
	const char *text;
	char *whole;
	ssize_t written;

	text = json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN);
	whole = g_strconcat(text, "\n", NULL);
	written = write(STDERR_FILENO, whole, strlen(whole));
	(void)written; /* there is nowhere to report that logging failed */
	g_free(whole);
}

static struct json_object *
new_line(enum loom_log_level level, const char *component)
{
	struct json_object *line = json_object_new_object();
	char time_text[48];

	format_time(time_text, sizeof(time_text));
	json_object_object_add(line, "time", json_object_new_string(time_text));
	json_object_object_add(
	    line, "level", json_object_new_string(level_names[level]));
	json_object_object_add(
	    line, "component", json_object_new_string(component));
	return line;
}

static bool
is_dropped(enum loom_log_level level)
{
	return (int)level <
	    atomic_load_explicit(&min_level, memory_order_relaxed);
}

void
loom_log(enum loom_log_level level, const char *component,
    enum loom_result code, const char *fmt, ...)
{
	struct json_object *line;
	char *message;
	va_list ap;

	if (is_dropped(level))
		return;
	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	line = new_line(level, component);
	if (code != LOOM_OK)
		json_object_object_add(
		    line, "code", json_object_new_int((int)code));
	json_object_object_add(line, "msg", json_object_new_string(message));
	write_line(line);
	json_object_put(line);
	g_free(message);
}

void
loom_log_object(enum loom_log_level level, const char *component,
    const char *name, struct json_object *value)
{
	struct json_object *line;

	if (is_dropped(level)) {
		json_object_put(value);
		return;
	}
	line = new_line(level, component);
	json_object_object_add(line, name, value);
	write_line(line);
	json_object_put(line);
}
