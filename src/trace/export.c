/*
 * Export of spans.  Worker threads append finished spans to a queue, holding
 * its lock for that one append; the thread of the event loop takes the whole
 * queue once a second and sends it as one batch.
 */

#include <sodium.h>
#include <string.h>

#include "loom/clock.h"
#include "loom/counter.h"
#include "loom/log.h"
#include "loom/multi.h"
#include "loom/timer.h"
#include "trace/export.h"

/* Maximum length of the queue: about 10 s of spans of a busy daemon. */
#define QUEUE_MAX_SPANS 4096

#define FLUSH_MS 1000
#define SEND_TIMEOUT_MS 5000L
#define NS_PER_US UINT64_C(1000)

struct tracer {
	const struct loom_self *self; /* borrowed */
	bool to_log;
	char *url; /* owned; NULL without a collector */
	struct loom_timers *timers; /* owned; NULL without a collector */
	struct loom_multi *multi; /* owned */
	CURL *easy; /* owned; NULL when no batch is being sent */
	struct curl_slist *headers; /* owned */
	char *body; /* owned: of the batch being sent */
	GMutex lock;
	struct json_object *queue; /* owned array; under lock */
	struct loom_counter *dropped;
};

static void
add_string_attribute(
    struct json_object *list, const char *name, const char *text)
{
	struct json_object *entry = json_object_new_object();
	struct json_object *value = json_object_new_object();

	json_object_object_add(
	    value, "stringValue", json_object_new_string(text));
	json_object_object_add(entry, "key", json_object_new_string(name));
	json_object_object_add(entry, "value", value);
	json_object_array_add(list, entry);
}

/* OTLP's JSON encoding writes 64-bit integers as strings. */
static void
add_integer_attribute(
    struct json_object *list, const char *name, uint64_t number)
{
	struct json_object *entry = json_object_new_object();
	struct json_object *value = json_object_new_object();
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
	json_object_object_add(value, "intValue", json_object_new_string(text));
	json_object_object_add(entry, "key", json_object_new_string(name));
	json_object_object_add(entry, "value", value);
	json_object_array_add(list, entry);
}

/* Adds an id as hex digits; an id of zeros means that there is none. */
static void
add_id(struct json_object *object, const char *name, const uint8_t *id,
    size_t size)
{
	char hex[2 * SPAN_TRACE_ID_SIZE + 1];

	if (sodium_is_zero(id, size))
		return;
	sodium_bin2hex(hex, sizeof(hex), id, size);
	json_object_object_add(object, name, json_object_new_string(hex));
}

static void
add_time(struct json_object *object, const char *name, uint64_t wall_ns)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, wall_ns);
	json_object_object_add(object, name, json_object_new_string(text));
}

static struct json_object *
build_attributes(const struct span *span, const struct span_details *facts,
    const struct loom_self *self)
{
	static const char *const kinds[SPAN_KINDS] = {
		[SPAN_ENTRY] = "entry",
		[SPAN_EXECUTOR] = "executor",
	};
	struct json_object *list = json_object_new_array();

	add_string_attribute(list, "loom.host", self->host);
	add_string_attribute(list, "loom.service", self->service);
	add_string_attribute(list, "loom.kind", kinds[facts->kind]);
	if (facts->team[0] != '\0')
		add_string_attribute(list, "loom.team", facts->team);
	add_integer_attribute(list, "loom.queue_us", span->queue_us);
	add_integer_attribute(list, "loom.leg_us", span->leg_us);
	if (span->status != 0)
		add_integer_attribute(
		    list, "http.response.status_code", span->status);
	if (span->code != LOOM_OK) {
		add_integer_attribute(list, "loom.code", (uint64_t)span->code);
		add_string_attribute(
		    list, "loom.outcome", loom_outcome_name(span->outcome));
	}
	return list;
}

struct json_object *
span_json(const struct span *span, const struct span_details *facts,
    const struct loom_self *self)
{
	struct json_object *object = json_object_new_object();
	uint64_t end_ns =
	    span->start_wall_ns + (facts->end_us - span->start_us) * NS_PER_US;

	add_id(object, "traceId", span->trace_id, sizeof(span->trace_id));
	add_id(object, "spanId", span->span_id, sizeof(span->span_id));
	add_id(
	    object, "parentSpanId", span->parent_id, sizeof(span->parent_id));
	json_object_object_add(
	    object, "name", json_object_new_string(facts->name));
	add_time(object, "startTimeUnixNano", span->start_wall_ns);
	add_time(object, "endTimeUnixNano", end_ns);
	json_object_object_add(
	    object, "attributes", build_attributes(span, facts, self));
	return object;
}

static void
write_to_log(struct json_object *span)
{
	loom_log_object(LOOM_LOG_INFO, "trace", "span", span);
}

/* Takes ownership of span. */
static void
enqueue_span(struct tracer *tracer, struct json_object *span)
{
	g_mutex_lock(&tracer->lock);
	if (json_object_array_length(tracer->queue) < QUEUE_MAX_SPANS) {
		json_object_array_add(tracer->queue, span);
		span = NULL;
	}
	g_mutex_unlock(&tracer->lock);
	if (span != NULL) {
		loom_counter_add(tracer->dropped, 1);
		json_object_put(span);
	}
}

bool
tracer_is_on(const struct tracer *tracer)
{
	return tracer->to_log || tracer->url != NULL;
}

void
tracer_emit(struct tracer *tracer, const struct span *span,
    const struct span_details *facts)
{
	if (tracer->to_log)
		write_to_log(span_json(span, facts, tracer->self));
	else if (tracer->url != NULL)
		enqueue_span(tracer, span_json(span, facts, tracer->self));
}

/* Returns all queued spans as an array, owned; NULL when there are none. */
static struct json_object *
dequeue_all(struct tracer *tracer)
{
	struct json_object *spans = NULL;

	g_mutex_lock(&tracer->lock);
	if (json_object_array_length(tracer->queue) > 0) {
		spans = tracer->queue;
		tracer->queue = json_object_new_array();
	}
	g_mutex_unlock(&tracer->lock);
	return spans;
}

/*
 * Formats the body of an export request; takes ownership of spans:
 * {"resourceSpans":[{"resource":..,"scopeSpans":[{"spans":[..]}]}]}
 */
static char *
format_request(const struct tracer *tracer, struct json_object *spans)
{
	struct json_object *whole = json_object_new_object();
	struct json_object *resources = json_object_new_array();
	struct json_object *resource_spans = json_object_new_object();
	struct json_object *resource = json_object_new_object();
	struct json_object *names = json_object_new_array();
	struct json_object *scopes = json_object_new_array();
	struct json_object *scope = json_object_new_object();
	char *text;

	add_string_attribute(names, "service.name", tracer->self->service);
	add_string_attribute(names, "host.name", tracer->self->host);
	json_object_object_add(resource, "attributes", names);
	json_object_object_add(scope, "spans", spans);
	json_object_array_add(scopes, scope);
	json_object_object_add(resource_spans, "resource", resource);
	json_object_object_add(resource_spans, "scopeSpans", scopes);
	json_object_array_add(resources, resource_spans);
	json_object_object_add(whole, "resourceSpans", resources);
	text = g_strdup(
	    json_object_to_json_string_ext(whole, JSON_C_TO_STRING_PLAIN));
	json_object_put(whole);
	return text;
}

static void
finish_send(struct tracer *tracer)
{
	curl_easy_cleanup(tracer->easy);
	tracer->easy = NULL;
	g_free(tracer->body);
	tracer->body = NULL;
}

static void
on_send_done(void *arg, CURL *easy, CURLcode result)
{
	struct tracer *tracer = arg;

	(void)easy;
	if (result != CURLE_OK)
		loom_log(LOOM_LOG_WARN, "trace", LOOM_OK,
		    "dropped spans that could not be sent to the collector: %s",
		    curl_easy_strerror(result));
	finish_send(tracer);
}

static size_t
discard_response(char *data, size_t size, size_t n, void *arg) /* NOLINT */
{
	(void)data;
	(void)arg;
	return size * n;
}

/* Sends the queued spans, unless the previous batch is still being sent. */
static void
send_batch(struct tracer *tracer)
{
	struct json_object *spans;

	if (tracer->easy != NULL)
		return;
	spans = dequeue_all(tracer);
	if (spans == NULL)
		return;
	tracer->body = format_request(tracer, spans);
	tracer->easy = curl_easy_init();
	curl_easy_setopt(tracer->easy, CURLOPT_URL, tracer->url);
	curl_easy_setopt(tracer->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(tracer->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(tracer->easy, CURLOPT_TIMEOUT_MS, SEND_TIMEOUT_MS);
	curl_easy_setopt(tracer->easy, CURLOPT_HTTPHEADER, tracer->headers);
	curl_easy_setopt(tracer->easy, CURLOPT_POSTFIELDS, tracer->body);
	curl_easy_setopt(tracer->easy, CURLOPT_WRITEFUNCTION, discard_response);
	if (!loom_multi_add(tracer->multi, tracer->easy, on_send_done, tracer))
		finish_send(tracer);
}

static void
on_flush(void *arg)
{
	struct tracer *tracer = arg;

	send_batch(tracer);
	loom_timer_add(tracer->timers, tracer, FLUSH_MS * LOOM_US_PER_MS,
	    on_flush, tracer);
}

static int
tracer_destructor(struct tracer *tracer)
{
	if (tracer->easy != NULL) {
		loom_multi_remove(tracer->multi, tracer->easy);
		finish_send(tracer);
	}
	TALLOC_FREE(tracer->multi);
	curl_slist_free_all(tracer->headers);
	json_object_put(tracer->queue);
	g_mutex_clear(&tracer->lock);
	return 0;
}

struct tracer *
tracer_new(TALLOC_CTX *mem, struct tevent_context *ev,
    const struct loom_self *self, const char *destination)
{
	struct tracer *tracer = talloc_zero(mem, struct tracer);

	if (tracer == NULL)
		return NULL;
	tracer->self = self;
	tracer->to_log = strcmp(destination, "log") == 0;
	g_mutex_init(&tracer->lock);
	tracer->queue = json_object_new_array();
	tracer->dropped = loom_counter("loom_spans_dropped_total", NULL,
	    "Spans that the collector was too slow for.");
	talloc_set_destructor(tracer, tracer_destructor);
	if (tracer->to_log || strcmp(destination, "none") == 0)
		return tracer;
	tracer->url = talloc_strdup(tracer, destination);
	tracer->headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	tracer->multi = loom_multi_new(tracer, ev);
	tracer->timers = loom_timers_new(tracer, ev);
	if (tracer->url == NULL || tracer->multi == NULL ||
	    tracer->timers == NULL) {
		talloc_free(tracer);
		return NULL;
	}
	on_flush(tracer);
	return tracer;
}
