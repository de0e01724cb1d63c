#ifndef LOOM_TRACE_SPAN_H
#define LOOM_TRACE_SPAN_H

/*
 * The span of one hop of a call.  The trace id is taken from the W3C header
 * "traceparent" of the request; the header sent to the next hop has the same
 * trace id and names this span as the parent.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/result.h"

#define SPAN_TRACE_ID_SIZE 16
#define SPAN_ID_SIZE 8
/* "00-<32 hex digits>-<16 hex digits>-01" and the terminating NUL. */
#define SPAN_TRACEPARENT_SIZE 56

struct span {
	uint8_t trace_id[SPAN_TRACE_ID_SIZE];
	uint8_t span_id[SPAN_ID_SIZE];
	uint8_t parent_id[SPAN_ID_SIZE]; /* zeros for a root span */
	bool has_remote_parent; /* the trace was started by the caller */
	uint64_t start_wall_ns;
	uint64_t start_us;
	uint64_t queue_us; /* time spent waiting for admission */
	uint64_t leg_us; /* duration of the leg to the peer or upstream */
	uint16_t status; /* of the answer; 0 without one */
	enum loom_result code; /* of the refusal; LOOM_OK without one */
	enum loom_outcome outcome; /* of the refusal */
};

/* Starts a span, in a new trace if traceparent is NULL or malformed. */
void span_begin(struct span *, const char *traceparent, uint64_t now_us);

/* Formats the "traceparent" header for the next hop. */
void span_traceparent(const struct span *, char out[SPAN_TRACEPARENT_SIZE]);

/* Formats the trace id as 32 hex digits. */
void span_trace_id_text(const struct span *, char out[33]);

#endif
