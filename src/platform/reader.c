/*
 * A reader of the platform: one long poll at a time over libcurl.
 *
 * The platform counts calls, about 2,000 a second over all readers of a
 * fleet.  The pace of calls (loom/pace.h) and the owner's choice of who
 * watches at all (loom/spread.h) keep to it.
 */

#include <curl/curl.h>
#include <string.h>

#include "loom/counter.h"
#include "loom/event.h"
#include "loom/log.h"
#include "loom/platform.h"

#define CONNECT_MS 2000
/* All host lists of 17,000 hosts are about 4 MB. */
#define ANSWER_MAX_BYTES (UINT32_C(32) * 1024 * 1024)

struct loom_platform_reader {
	struct tevent_context *ev; /* borrowed */
	struct loom_multi *multi; /* borrowed */
	const struct loom_platform_events *events; /* borrowed */
	void *arg; /* borrowed */
	/* strings owned; the pace has its defaults filled in */
	struct loom_platform_options options;
	CURL *easy; /* owned */
	GString *body; /* owned: the answer as it comes in */
	struct tevent_timer *due; /* owned: the next call, or NULL */
	void *state; /* owned: the source's */
	uint32_t failures; /* in a row */
	uint64_t sent_us; /* when the first call of this reading began */
	bool busy; /* a call is under way */
	bool watching;
	bool oversized; /* the running call's answer is too long */
	struct loom_counter *calls; /* borrowed, like the next two */
	struct loom_counter *failed;
	struct loom_counter *bytes;
};

static void start_call(struct loom_platform_reader *);
static void call_again(struct loom_platform_reader *);

static void
due_now(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct loom_platform_reader *reader = arg;

	(void)ev;
	(void)timer;
	(void)now;
	reader->due = NULL;
	start_call(reader);
}

/* The next call, after an answer or a failure. */
static void
schedule(struct loom_platform_reader *reader)
{
	uint32_t delay_ms = loom_pace_delay_ms(
	    &reader->options.pace, reader->failures, &reader->options.random);

	TALLOC_FREE(reader->due);
	reader->due = tevent_add_timer(reader->ev, reader,
	    tevent_timeval_current_ofs(
		delay_ms / 1000, delay_ms % 1000 * LOOM_US_PER_MS),
	    due_now, reader);
}

/* Refuse the rest of an answer that is too long: libcurl then fails. */
static size_t
take_body(char *data, size_t size, size_t n, void *arg)
{
	struct loom_platform_reader *reader = arg;

	if (reader->body->len + size * n > ANSWER_MAX_BYTES) {
		reader->oversized = true;
		return 0;
	}
	g_string_append_len(reader->body, data, (gssize)(size * n));
	return size * n;
}

static bool
transfer_error(
    const struct loom_platform_reader *reader, CURLcode result, GError **error)
{
	if (reader->oversized)
		return loom_fail(error, LOOM_PLATFORM_OVERSIZED,
		    "answer over %u bytes", ANSWER_MAX_BYTES);
	if (result == CURLE_PARTIAL_FILE)
		return loom_fail(
		    error, LOOM_PLATFORM_CUT, "%s", curl_easy_strerror(result));
	return loom_fail(
	    error, LOOM_PLATFORM_DOWN, "%s", curl_easy_strerror(result));
}

static void
deliver(void *arg, const struct loom_platform_value *value)
{
	struct loom_platform_reader *reader = arg;

	if (reader->events->value != NULL)
		reader->events->value(reader->arg, value);
}

static enum loom_platform_next
take_answer(
    struct loom_platform_reader *reader, CURLcode result, GError **error)
{
	struct loom_platform_answer answer = {
		.text = reader->body->str,
		.len = reader->body->len,
		.failures = reader->failures,
		.now_us = loom_now_us(),
	};
	long status = 0;

	if (result != CURLE_OK) {
		transfer_error(reader, result, error);
		return LOOM_PLATFORM_FAILED;
	}
	curl_easy_getinfo(reader->easy, CURLINFO_RESPONSE_CODE, &status);
	answer.status = (unsigned)status;
	loom_counter_add(reader->bytes, (int64_t)answer.len);
	return reader->options.source->answer(
	    reader->state, &answer, deliver, reader, error);
}

static const char *
prefix_name(const struct loom_platform_reader *reader)
{
	const char *prefix = reader->options.prefix;

	return *prefix != '\0' ? prefix : "all";
}

static void
report(const struct loom_platform_reader *reader, const char *what,
    const GError *error)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("prefix", prefix_name(reader)),
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
call_done(void *arg, CURL *easy, CURLcode result)
{
	struct loom_platform_reader *reader = arg;
	enum loom_platform_next next;
	GError *error = NULL;

	(void)easy;
	reader->busy = false;
	next = take_answer(reader, result, &error);
	if (next == LOOM_PLATFORM_MORE) {
		call_again(reader);
		return;
	}
	if (next == LOOM_PLATFORM_WHOLE) {
		if (reader->failures > 0)
			report(reader, "regained", NULL);
		reader->failures = 0;
		if (reader->watching)
			schedule(reader);
		if (reader->events->answered != NULL)
			reader->events->answered(reader->arg, reader->sent_us);
		return;
	}
	if (reader->failures++ == 0)
		report(reader, "lost", error);
	loom_counter_add(reader->failed, 1);
	loom_log(LOOM_LOG_DEBUG, "platform", (enum loom_result)error->code,
	    "%s: %s", prefix_name(reader), error->message);
	if (reader->watching)
		schedule(reader);
	if (reader->events->failed != NULL)
		reader->events->failed(reader->arg, error);
	g_error_free(error);
}

/* A reading may take several calls: what it brings is as of the first. */
static void
start_call(struct loom_platform_reader *reader)
{
	reader->sent_us = loom_now_us();
	call_again(reader);
}

static void
call_again(struct loom_platform_reader *reader)
{
	struct loom_platform_call call = { .path = NULL };
	uint32_t wait_ms = 0;
	char *url;

	if (reader->watching)
		wait_ms =
		    loom_pace_wait_ms(&reader->options.pace, reader->failures);
	reader->options.source->call(reader->state, wait_ms, &call);
	url = g_strconcat(reader->options.url, call.path, NULL);
	g_free(call.path);
	curl_easy_setopt(reader->easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(reader->easy, CURLOPT_TIMEOUT_MS,
	    (long)call.wait_ms + (long)reader->options.pace.answer_ms);
	g_string_truncate(reader->body, 0);
	reader->oversized = false;
	loom_counter_add(reader->calls, 1);
	reader->busy =
	    loom_multi_add(reader->multi, reader->easy, call_done, reader);
	if (!reader->busy && reader->watching) {
		reader->failures++;
		schedule(reader);
	}
}

void
loom_platform_fetch(struct loom_platform_reader *reader)
{
	if (!reader->busy && reader->due == NULL)
		start_call(reader);
}

void
loom_platform_watch(struct loom_platform_reader *reader, bool on)
{
	if (reader->watching == on)
		return;
	reader->watching = on;
	if (on) {
		loom_platform_fetch(reader);
		return;
	}
	TALLOC_FREE(reader->due);
	if (reader->busy)
		loom_multi_remove(reader->multi, reader->easy);
	reader->busy = false;
}

static int
reader_destroy(struct loom_platform_reader *reader)
{
	if (reader->busy)
		loom_multi_remove(reader->multi, reader->easy);
	curl_easy_cleanup(reader->easy);
	g_string_free(reader->body, TRUE);
	return 0;
}

static void
set_options(struct loom_platform_reader *reader,
    const struct loom_platform_options *options)
{
	struct loom_platform_options *own = &reader->options;

	*own = *options;
	if (own->source == NULL)
		own->source = &loom_platform_values;
	own->url = talloc_strdup(reader, options->url);
	own->prefix = talloc_strdup(reader, options->prefix);
	own->pace = loom_pace_with_defaults(&options->pace);
}

static void
set_transfer(struct loom_platform_reader *reader)
{
	CURL *easy = reader->easy;

	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reader);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	/* Signals would interrupt other threads' calls. */
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	/* Hosts talk by IP numbers; a proxy from the environment would make
	 * every reader depend on one machine. */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	loom_multi_set_source(easy, reader->options.address);
}

static void
set_counters(struct loom_platform_reader *reader)
{
	reader->calls = loom_counter(
	    "loom_platform_calls_total", NULL, "Calls made to the platform.");
	reader->failed = loom_counter("loom_platform_failures_total", NULL,
	    "Calls to the platform that failed.");
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
	reader->ev = ev;
	reader->multi = multi;
	reader->events = events;
	reader->arg = arg;
	set_options(reader, options);
	reader->easy = curl_easy_init();
	reader->state = reader->options.source->open(
	    reader, reader->options.prefix, options->source_arg);
	if (reader->easy == NULL || reader->state == NULL) {
		if (reader->easy != NULL)
			curl_easy_cleanup(reader->easy);
		talloc_free(reader);
		return NULL;
	}
	reader->body = g_string_new(NULL);
	talloc_set_destructor(reader, reader_destroy);
	set_transfer(reader);
	set_counters(reader);
	return reader;
}
