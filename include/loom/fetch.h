#ifndef LOOM_FETCH_H
#define LOOM_FETCH_H

/*
 * HTTP client: asynchronous requests to an upstream or to another daemon.  Each
 * worker thread has its own client.
 *
 * A request is assigned to one connection.  Once that has accepted a byte of
 * the request, the request is never sent on another one, even if the connection
 * fails before any response arrives: the server may have processed the request.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "loom/server.h"
#include "loom/sockets.h"

struct loom_fetcher; /* the client of a worker thread */
struct loom_fetch; /* one request */

enum loom_fetch_result {
	LOOM_FETCH_COMPLETE, /* the response is complete */
	LOOM_FETCH_CONNECT_FAILED, /* failed before anything was sent */
	LOOM_FETCH_INTERRUPTED, /* failed after the request may have been sent
				 */
	LOOM_FETCH_TIMEOUT, /* timeout_us has passed */
};

/* The outcome of a fetch. */
struct loom_fetch_outcome {
	enum loom_fetch_result result;
	bool sent; /* a byte of the request may have been sent */
	bool headers_received; /* the response headers were received */
	const char *reason; /* borrowed, for logs */
};

struct loom_fetch_ops {
	/* Write up to max bytes of the request body to buf.  Returning 0
	 * without *end pauses until loom_fetch_resume_body(); *end is set with
	 * the last bytes of the body. */
	size_t (*read_body)(void *arg, uint8_t *buf, size_t max, bool *end);
	/* The first byte of the request has been sent.  May be NULL; must not
	 * cancel the fetch. */
	void (*sent)(void *arg);
	/* The status and headers of the response are complete.  May be NULL. */
	void (*headers)(void *arg, struct loom_fetch *);
	/* A part of the response body.  Returning false pauses the response
	 * until loom_fetch_resume_response(); the bytes count as processed
	 * anyway.  NULL: the body is dropped. */
	bool (*data)(void *arg, const uint8_t *data, size_t len);
	/* The fetch has ended and is freed after this call. */
	void (*done)(void *arg, const struct loom_fetch_outcome *);
};

struct loom_fetch_request {
	const char *method;
	const char *address; /* "ip:port" */
	const char *target; /* path and query, sent unchanged */
	const struct loom_header *headers; /* only used during the start */
	size_t nheaders;
	bool has_body;
	int64_t body_length; /* -1: chunked */
	bool expect_continue; /* send the body only after 100 Continue */
	uint64_t timeout_us;
	uint64_t body_max_bytes; /* of the response; 0: no limit */
	uint32_t
	    idle_max_ms; /* use no connection idle for longer; 0: default */
	const char *source; /* IP to connect from; NULL: any */
	const struct loom_fetch_ops *ops;
	void *arg; /* borrowed */
};

/* Owned by the caller (talloc); the sockets are borrowed.  NULL if out of
 * memory. */
struct loom_fetcher *loom_fetcher_new(
    TALLOC_CTX *, struct tevent_context *, struct loom_sockets *);

/* Start a request.  The fetch is freed after done or a cancel.  NULL if out of
 * memory: nothing was sent, and done is not called. */
struct loom_fetch *loom_fetch_start(
    struct loom_fetcher *, const struct loom_fetch_request *);

/* Continue a request that read_body paused: more of the body is available. */
void loom_fetch_resume_body(struct loom_fetch *);

/* Continue a response that was paused by ops->data. */
void loom_fetch_resume_response(struct loom_fetch *);

/* Call from ops->headers or ops->data: the rest of the response is discarded,
 * and the fetch ends with LOOM_FETCH_INTERRUPTED. */
void loom_fetch_reject(struct loom_fetch *);

/* Call from ops->done: the connection is closed in place of being kept for
 * another request. */
void loom_fetch_close_when_done(struct loom_fetch *);

/* Cancel: the connection is closed, done is not called, and the pointer is no
 * longer valid. */
void loom_fetch_cancel(struct loom_fetch *);

/* The response so far; borrowed. */
uint16_t loom_fetch_status(const struct loom_fetch *);
const struct loom_header *loom_fetch_headers(
    const struct loom_fetch *, size_t *n);
const char *loom_fetch_header(const struct loom_fetch *, const char *name);
/* The Content-Length of the response; -1 if it has none or is chunked. */
int64_t loom_fetch_content_length(const struct loom_fetch *);
/* Whether a byte of the request may have been sent. */
bool loom_fetch_sent(const struct loom_fetch *);

#endif
