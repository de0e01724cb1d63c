/*
 * The logger.  Lines are serialized by json-c, so that a hostile header in a
 * message can neither break a line nor inject another one.
 */

#include <json-c/json.h>
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "loom/clock.h"
#include "loom/log.h"

static atomic_int min_level = LOOM_LOG_INFO;
static atomic_int log_fd = STDERR_FILENO;
static atomic_uint_fast64_t dropped; /* lines that could not be written */

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

void
loom_log_set_fd(int fd)
{
	atomic_store(&log_fd, fd);
}

/*
 * A reader that has stopped reading must not block the daemon.  A pipe that
 * polls as writable takes a line of up to PIPE_BUF bytes without blocking; a
 * line that cannot be written now is dropped and counted.
 */
void
loom_log_write(struct json_object *line)
{
	struct pollfd poll_fd = {
		.fd = atomic_load(&log_fd),
		.events = POLLOUT,
	};
	const char *text;
	char *terminated;

	if (poll(&poll_fd, 1, 0) != 1 || (poll_fd.revents & POLLOUT) == 0) {
		atomic_fetch_add(&dropped, 1);
		return;
	}
	text = json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN);
	terminated = g_strconcat(text, "\n", NULL);
	if (write(poll_fd.fd, terminated, strlen(terminated)) < 0)
		atomic_fetch_add(&dropped, 1);
	g_free(terminated);
}

uint64_t
loom_log_dropped(void)
{
	return atomic_load(&dropped);
}

struct json_object *
loom_log_line(enum loom_log_level level, const char *component)
{
	struct json_object *line = json_object_new_object();
	char time_text[48];

	format_time(time_text, sizeof(time_text));
	json_object_object_add(line, "time", json_object_new_string(time_text));
	json_object_object_add(
	    line, "level", json_object_new_string(level_names[level]));
	if (component != NULL)
		json_object_object_add(
		    line, "component", json_object_new_string(component));
	return line;
}

static bool
is_below_min_level(enum loom_log_level level)
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

	if (is_below_min_level(level))
		return;
	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	line = loom_log_line(level, component);
	if (code != LOOM_OK)
		json_object_object_add(
		    line, "code", json_object_new_int((int)code));
	json_object_object_add(line, "msg", json_object_new_string(message));
	loom_log_write(line);
	json_object_put(line);
	g_free(message);
}

void
loom_log_object(enum loom_log_level level, const char *component,
    const char *name, struct json_object *value)
{
	struct json_object *line;

	if (is_below_min_level(level)) {
		json_object_put(value);
		return;
	}
	line = loom_log_line(level, component);
	json_object_object_add(line, name, value);
	loom_log_write(line);
	json_object_put(line);
}
