#ifndef LOOM_DAEMON_HEADERS_H
#define LOOM_DAEMON_HEADERS_H

/*
 * Selects the headers that are forwarded and adds those of this system.
 */

#include <glib.h>

#include "daemon/call.h"

#define HEADER_KEY "Loom-Key"
#define HEADER_CONTEXT "Loom-Context"
#define HEADER_REQUEST_ID "Loom-Request-Id"
#define HEADER_DEADLINE_MS "Loom-Deadline-Ms"
#define HEADER_TEAM "Loom-Team"
#define HEADER_TICKET "Loom-Ticket"
#define HEADER_CODE "Loom-Code"
#define HEADER_OUTCOME "Loom-Outcome"
#define HEADER_CLOCK "Loom-Clock"
#define HEADER_CUT "Loom-Cut"
#define HEADER_KEEP "Loom-Keep"
#define HEADER_USED "Loom-Used"
#define HEADER_WORK "Loom-Work"
#define HEADER_ELSE "Loom-Else"
#define HEADER_LEAVING "Loom-Leaving"
#define HEADER_START_BOUND "Loom-Start-Bound"
/* The rate that an upstream states, between daemons and from an upstream */
#define HEADER_RATE "Loom-Rate"
#define HEADER_MAX_RATE "Loom-Max-Rate"
/* HEADER_LEAVING: the host drains, or only its upstream leaves */
#define LEAVING_HOST "1"
#define LEAVING_UPSTREAM "upstream"
#define HEADER_COLD_MS "Loom-Cold-Ms"
/* Of a call that was sent to another host before: the number of hosts whose
 * upstream may have got it, this one included */
#define HEADER_ATTEMPT "Loom-Attempt"
/* From an upstream, see loom/load_report.h */
#define HEADER_LOAD "Loom-Load"
#define HEADER_CALLER_SERVICE "Loom-Caller-Service"
#define HEADER_TRACE_ID "Loom-Trace-Id"
#define HEADER_TRACEPARENT "traceparent"

/*
 * Headers of a leg or an answer: a GArray of struct loom_header.  Names are
 * static or borrowed; values are copied into an arena.
 */
struct header_list {
	GArray *headers; /* owned */
	GStringChunk *values; /* owned */
};

void header_list_init(struct header_list *);
void header_list_clear(struct header_list *);
const struct loom_header *header_list_items(const struct header_list *);
void header_list_add(struct header_list *, const char *name, const char *value);

/* Adds the request's end-to-end headers, for the next hop. */
void headers_forward_request(const struct call *, struct header_list *);

/* Whether spans of this call are collected.  Calls between daemons carry
 * the trace header only then. */
bool headers_are_traced(const struct call *);
void headers_add_trace(const struct call *, struct header_list *);

/* Adds the headers that this daemon sets in each answer: the trace id, or
 * for a peer the clock, thresholds, utilization, shares and whether it
 * drains. */
void headers_add_hop(const struct call *, struct header_list *);

/* Adds the rate that an upstream states. */
void headers_add_rate(struct header_list *, double per_s);

/* Adds the answer's end-to-end headers, for the previous hop. */
void headers_forward_answer(const struct loom_fetch *, struct header_list *);

/*
 * Checks the request's headers.  Returns LOOM_OK, or LOOM_HEADER_INVALID with
 * *reason (borrowed, static).  key is the key that the client sent, or NULL.
 */
enum loom_result headers_check(
    const struct loom_exchange *, const char *key, const char **reason);

#endif
