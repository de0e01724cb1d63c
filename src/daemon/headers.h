#ifndef LOOM_DAEMON_HEADERS_H
#define LOOM_DAEMON_HEADERS_H

/*
 * Which headers go on, and which are ours.
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
#define HEADER_LEAVING "Loom-Leaving"
#define HEADER_CALLER_SERVICE "Loom-Caller-Service"
#define HEADER_TRACE_ID "Loom-Trace-Id"
#define HEADER_TRACEPARENT "traceparent"

/*
 * Headers for a leg or an answer: a GArray of struct loom_header.  Names are
 * static or borrowed; values that were made here live in an arena.
 */
struct header_list {
	GArray *headers; /* owned */
	GStringChunk *values; /* owned */
};

void header_list_init(struct header_list *);
void header_list_clear(struct header_list *);
const struct loom_header *header_list_items(const struct header_list *);
void header_list_add(struct header_list *, const char *name, const char *value);

/* The request's own headers, for the next hop. */
void headers_forward_request(const struct call *, struct header_list *);

/* Whether somebody collects spans of this call: the header goes with each call
 * between daemons. */
bool headers_are_traced(const struct call *);
void headers_add_trace(const struct call *, struct header_list *);

/* What this daemon adds to each answer: the trace, and for a peer its clock
 * and thresholds. */
void headers_add_own(const struct call *, struct header_list *);

/* The answer's own headers, for the hop before. */
void headers_forward_answer(const struct loom_fetch *, struct header_list *);

/*
 * What is wrong with the request's headers: LOOM_OK, or LOOM_HEADER_INVALID
 * with *why (borrowed, static).  key is what the caller authenticated by, or
 * NULL.
 */
enum loom_result headers_check(
    const struct loom_exchange *, const char *key, const char **why);

#endif
