/*
 * Platform reader: long polls over libcurl, one at a time.
 *
 * The platform allows about 2,000 calls a second for all readers of a fleet.
 * The delays between calls (loom/poll_timing.h) and the owner's choice of which
 * hosts watch at all (loom/spread.h) keep the fleet below this rate.
 */

#include <curl/curl.h>
#include <string.h>

#include "http/response_syntax.h"
#include "loom/counter.h"
#include "loom/event.h"
#include "loom/log.h"
#include "loom/platform.h"
#include "loom/timer.h"

#define CONNECT_TIMEOUT_MS 2000
/* The host lists of a fleet of 17,000 hosts are about 4 MB in total. */
#define RESPONSE_MAX_BYTES (UINT32_C(32) * 1024 * 1024)

struct loom_platform_reader {
	struct loom_timers *timers; /* owned */
	struct loom_multi *multi; /* borrowed */
	const struct loom_platform_events *events; /* borrowed */
	void *arg; /* borrowed */
	/* strings are owned; defaults are filled in */
	struct loom_platform_options options;
	CURL *easy; /* owned */
	GString *body; /* owned; response body received so far */
	struct loom_timer *call_timer; /* owned; NULL if not scheduled */
	void *state; /* owned; belongs to the source */
	uint32_t failures; /* consecutive */
	uint64_t reading_started_us; /* start of its first call */
	bool in_flight; /* a call is running */
	bool watching;
	bool oversized; /* the running call's response is too long */
	bool malformed; /* the head of that response */
	struct response_syntax syntax; /* of that head */
	struct loom_counter *calls; /* borrowed, as the next two */
	struct loom_counter *failed_calls;
	struct loom_counter *bytes;
};

static void start_reading(struct loom_platform_reader *);
static void send_call(struct loom_platform_reader *);

static void
on_call_timer(void *arg)
{
	struct loom_platform_reader *reader = arg;

	reader->call_timer = NULL;
	start_reading(reader);
}

/* Schedules the next reading after a response or a failure. */
static void
schedule_reading(struct loom_platform_reader *reader)
{
	uint32_t delay_ms = loom_poll_delay_ms(
	    &reader->options.pace, reader->failures, &reader->options.random);

	TALLOC_FREE(reader->call_timer);
	reader->call_timer = loom_timer_add(reader->timers, reader,
	    delay_ms * LOOM_US_PER_MS, on_call_timer, reader);
}

/*
 * libcurl's write callback. Returning 0 for a response that is too long makes
 * libcurl abort the transfer.
 */
static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	struct loom_platform_reader *reader = arg;

	if (reader->body->len + size * n > RESPONSE_MAX_BYTES) {
		reader->oversized = true;
		return 0;
	}
	g_string_append_len(reader->body, data, (gssize)(size * n));
	return size * n;
}

/*
 * libcurl's header callback, with one line of the head. libcurl accepts more
 * than RFC 9112 does. Returning 0 makes it abort the transfer.
 */
static size_t
on_head_line(char *line, size_t size, size_t n, void *arg)
{
	struct loom_platform_reader *reader = arg;

	if (response_syntax_check(
		&reader->syntax, (const uint8_t *)line, size * n) == size * n)
		return size * n;
	reader->malformed = true;
	return 0;
}

static bool
set_transfer_error(
    const struct loom_platform_reader *reader, CURLcode result, GError **error)
{
	if (reader->oversized)
		return loom_set_error(error, LOOM_PLATFORM_OVERSIZED,
		    "response exceeds %u bytes", RESPONSE_MAX_BYTES);
	if (reader->malformed)
		return loom_set_error(error, LOOM_PLATFORM_ANSWER,
		    "the head of the response is malformed");
	if (result == CURLE_PARTIAL_FILE)
		return loom_set_error(
		    error, LOOM_PLATFORM_CUT, "%s", curl_easy_strerror(result));
	return loom_set_error(
	    error, LOOM_PLATFORM_DOWN, "%s", curl_easy_strerror(result));
}

static void
deliver_value(void *arg, const struct loom_platform_value *value)
{
	struct loom_platform_reader *reader = arg;

	if (reader->events->on_value != NULL)
		reader->events->on_value(reader->arg, value);
}

static enum loom_platform_read_result
handle_response(
    struct loom_platform_reader *reader, CURLcode result, GError **error)
{
	struct loom_platform_response response = {
		.text = reader->body->str,
		.len = reader->body->len,
		.failures = reader->failures,
		.now_us = loom_now_us(),
	};
	long status = 0;

	if (result != CURLE_OK) {
		set_transfer_error(reader, result, error);
		return LOOM_PLATFORM_FAILED;
	}
	curl_easy_getinfo(reader->easy, CURLINFO_RESPONSE_CODE, &status);
	response.status = (unsigned)status;
	loom_counter_add(reader->bytes, (int64_t)response.len);
	return reader->options.source->handle_response(
	    reader->state, &response, deliver_value, reader, error);
}

static const char *
prefix_label(const struct loom_platform_reader *reader)
{
	const char *prefix = reader->options.prefix;

	return *prefix != '\0' ? prefix : "all";
}

static void
write_event(const struct loom_platform_reader *reader, const char *what,
    const GError *error)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("prefix", prefix_label(reader)),
		LOOM_F_TEXT("what", what),
		LOOM_F_INT("failures", reader->failures),
		LOOM_F_INT("code", error == NULL ? 0 : error->code),
		LOOM_F_TEXT("cause", error == NULL ? NULL : error->message),
		LOOM_F_END,
	};

	if (loom_event_admit(NULL, loom_now_us()))
		loom_event_write(LOOM_EVENT_PLATFORM, fields);
}

static void
on_transfer_done(void *arg, CURL *easy, CURLcode result)
{
	struct loom_platform_reader *reader = arg;
	enum loom_platform_read_result next;
	GError *error = NULL;

	(void)easy;
	reader->in_flight = false;
	next = handle_response(reader, result, &error);
	if (next == LOOM_PLATFORM_MORE) {
		send_call(reader);
		return;
	}
	if (next == LOOM_PLATFORM_COMPLETE) {
		if (reader->failures > 0)
			write_event(reader, "regained", NULL);
		reader->failures = 0;
		if (reader->watching)
			schedule_reading(reader);
		if (reader->events->on_reading_complete != NULL)
			reader->events->on_reading_complete(
			    reader->arg, reader->reading_started_us);
		return;
	}
	if (reader->failures++ == 0)
		write_event(reader, "lost", error);
	loom_counter_add(reader->failed_calls, 1);
	loom_log(LOOM_LOG_DEBUG, "platform", (enum loom_result)error->code,
	    "%s: %s", prefix_label(reader), error->message);
	if (reader->watching)
		schedule_reading(reader);
	if (reader->events->on_failure != NULL)
		reader->events->on_failure(reader->arg, error);
	g_error_free(error);
}

/*
 * A reading may take several calls. Its result counts as of the start of the
 * first: a change during the later calls may be missing from it.
 */
static void
start_reading(struct loom_platform_reader *reader)
{
	reader->reading_started_us = loom_now_us();
	send_call(reader);
}

/* Sends the next call of the running reading. */
static void
send_call(struct loom_platform_reader *reader)
{
	struct loom_platform_request call = { .path = NULL };
	uint32_t wait_ms = 0;
	char *url;

	if (reader->watching)
		wait_ms =
		    loom_poll_wait_ms(&reader->options.pace, reader->failures);
	reader->options.source->build_call(reader->state, wait_ms, &call);
	url = g_strconcat(reader->options.url, call.path, NULL);
	g_free(call.path);
	curl_easy_setopt(reader->easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(reader->easy, CURLOPT_TIMEOUT_MS,
	    (long)call.wait_ms + (long)reader->options.pace.answer_timeout_ms);
	g_string_truncate(reader->body, 0);
	reader->oversized = false;
	reader->malformed = false;
	/* Chunks are decoded by libcurl: only heads are checked, as if all had
	 * no body. */
	response_syntax_begin(&reader->syntax, true);
	loom_counter_add(reader->calls, 1);
	reader->in_flight = loom_multi_add(
	    reader->multi, reader->easy, on_transfer_done, reader);
	if (!reader->in_flight && reader->watching) {
		reader->failures++;
		schedule_reading(reader);
	}
}

void
loom_platform_reader_fetch(struct loom_platform_reader *reader)
{
	if (!reader->in_flight && reader->call_timer == NULL)
		start_reading(reader);
}

void
loom_platform_reader_set_watching(struct loom_platform_reader *reader, bool on)
{
	if (reader->watching == on)
		return;
	reader->watching = on;
	if (on) {
		loom_platform_reader_fetch(reader);
		return;
	}
	TALLOC_FREE(reader->call_timer);
	if (reader->in_flight)
		loom_multi_remove(reader->multi, reader->easy);
	reader->in_flight = false;
}

static int
reader_destroy(struct loom_platform_reader *reader)
{
	if (reader->in_flight)
		loom_multi_remove(reader->multi, reader->easy);
	curl_easy_cleanup(reader->easy);
	g_string_free(reader->body, TRUE);
	return 0;
}

static void
copy_options(struct loom_platform_reader *reader,
    const struct loom_platform_options *options)
{
	struct loom_platform_options *copied = &reader->options;

	*copied = *options;
	if (copied->source == NULL)
		copied->source = &loom_platform_values;
	copied->url = talloc_strdup(reader, options->url);
	copied->prefix = talloc_strdup(reader, options->prefix);
	copied->pace = loom_poll_timing_with_defaults(&options->pace);
}

static void
configure_transfer(struct loom_platform_reader *reader)
{
	CURL *easy = reader->easy;

	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reader);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_head_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, reader);
	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	/* libcurl's signals would interrupt system calls of other threads. */
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	/*
	 * Ignore proxy settings of the environment: hosts are addressed by IP,
	 * and a proxy would be a single point of failure for every reader.
	 */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	loom_multi_set_source(easy, reader->options.address);
}

static void
register_counters(struct loom_platform_reader *reader)
{
	reader->calls = loom_counter(
	    "loom_platform_calls_total", NULL, "Calls made to the platform.");
	reader->failed_calls = loom_counter("loom_platform_failures_total",
	    NULL, "Calls to the platform that failed.");
	reader->bytes = loom_counter("loom_platform_bytes_total", NULL,
	    "Bytes of answers read from the platform.");
}

struct loom_platform_reader *
loom_platform_reader_new(TALLOC_CTX *mem_ctx, struct tevent_context *ev,
    struct loom_multi *multi, const struct loom_platform_options *options,
    const struct loom_platform_events *events, void *arg)
{
	struct loom_platform_reader *reader;

	reader = talloc_zero(mem_ctx, struct loom_platform_reader);
	if (reader == NULL)
		return NULL;
	reader->timers = loom_timers_new(reader, ev);
	reader->multi = multi;
	reader->events = events;
	reader->arg = arg;
	copy_options(reader, options);
	reader->easy = curl_easy_init();
	reader->state = reader->options.source->open(
	    reader, reader->options.prefix, options->source_arg);
	if (reader->timers == NULL || reader->easy == NULL ||
	    reader->state == NULL) {
		if (reader->easy != NULL)
			curl_easy_cleanup(reader->easy);
		talloc_free(reader);
		return NULL;
	}
	reader->body = g_string_new(NULL);
	talloc_set_destructor(reader, reader_destroy);
	configure_transfer(reader);
	register_counters(reader);
	return reader;
}
