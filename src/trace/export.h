#ifndef LOOM_TRACE_EXPORT_H
#define LOOM_TRACE_EXPORT_H

/*
 * Exports spans to the log, one line per span, or in batches as JSON to an
 * OTLP/HTTP collector.  The queue for the collector is bounded: when it is
 * full, new spans are dropped and counted.  A batch that could not be sent is
 * logged and not sent again.
 */

#include <glib.h>
#include <json-c/json.h>
#include <talloc.h>
#include <tevent.h>

#include "loom/control.h"
#include "trace/span.h"

struct tracer;

/* The role of this daemon in the call. */
enum span_kind {
	SPAN_ENTRY,
	SPAN_EXECUTOR,
	SPAN_KINDS,
};

/* Data exported with a span but not stored in it; strings are borrowed. */
struct span_details {
	const char *name; /* of the route; "-" when none matched */
	const char *team; /* "" when unknown */
	enum span_kind kind;
	uint64_t end_us;
};

/*
 * Creates a tracer.  destination is "none", "log" or the URL of a collector.
 * Batches are sent from the given event loop, which must outlive the tracer.
 * Owned by the caller; NULL when out of memory.
 */
struct tracer *tracer_new(TALLOC_CTX *, struct tevent_context *,
    const struct loom_self *, const char *destination);

/* Returns false if the destination is "none".  Thread-safe. */
bool tracer_is_on(const struct tracer *);

/* Logs one span or queues it for the collector.  Thread-safe. */
void tracer_emit(
    struct tracer *, const struct span *, const struct span_details *);

/* Encodes one span as OTLP JSON; owned by the caller. */
struct json_object *span_json(
    const struct span *, const struct span_details *, const struct loom_self *);

#endif
