#ifndef LOOM_FETCH_H
#define LOOM_FETCH_H

/*
 * The HTTP side that calls: one request to an upstream or to another daemon,
 * on one worker thread.
 *
 * The request is given to one connection.  Once that has taken a byte of it, it
 * goes to no other, also when the connection turns out to be dead before any
 * answer came: the other side may have run it all the same.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "loom/server.h"
#include "loom/sockets.h"

struct loom_fetcher; /* one for each worker thread */
struct loom_fetch; /* one request */

enum loom_fetch_result {
	LOOM_FETCH_WHOLE, /* the answer is complete */
	LOOM_FETCH_CONNECT, /* no connection: nothing was sent */
	LOOM_FETCH_CUT, /* failed after it may have been sent */
	LOOM_FETCH_TIMEOUT, /* the time was up */
};

/* How a fetch ended. */
struct loom_fetch_end {
	enum loom_fetch_result result;
	bool sent; /* a byte of the request may have left */
	bool answered; /* the headers of an answer came */
	const char *reason; /* borrowed, for logs */
};

struct loom_fetch_ops {
	/* Up to max bytes of the body into buf.  0 with *end false pauses
	 * until loom_fetch_more_body(); *end true means that was all. */
	size_t (*read_body)(void *arg, uint8_t *buf, size_t max, bool *end);
	/* The status and the headers are complete.  May be NULL. */
	void (*headers)(void *arg, struct loom_fetch *);
	/* Some of the answer.  false pauses it until loom_fetch_resume();
	 * the bytes were taken all the same. */
	bool (*data)(void *arg, const uint8_t *data, size_t len);
	/* The fetch is over and freed after this. */
	void (*done)(void *arg, const struct loom_fetch_end *);
};

struct loom_fetch_request {
	const char *method;
	const char *address; /* "ip:port" */
	const char *target; /* path and query, as they are to be sent */
	const struct loom_header *headers; /* borrowed for the start */
	size_t nheaders;
	bool has_body;
	int64_t body_length; /* -1: in chunks */
	bool expect; /* send the body only when told to go on */
	uint64_t timeout_us;
	uint32_t idle_ms; /* a kept connection must be younger; 0: default */
	const char *source; /* ip to connect from, or NULL for any */
	const struct loom_fetch_ops *ops;
	void *arg; /* borrowed */
};

/* Owned by the caller (talloc); the sockets are borrowed.  NULL when out of
 * memory. */
struct loom_fetcher *loom_fetcher_new(
    TALLOC_CTX *, struct tevent_context *, struct loom_sockets *);

/* Start; NULL when out of memory (nothing was sent, done is not called).
 * The fetch owns itself. */
struct loom_fetch *loom_fetch_start(
    struct loom_fetcher *, const struct loom_fetch_request *);

/* More of the body can be read. */
void loom_fetch_more_body(struct loom_fetch *);

/* The answer can flow again. */
void loom_fetch_resume(struct loom_fetch *);

/* From ops->headers: the answer is not taken, and the fetch ends as cut. */
void loom_fetch_reject(struct loom_fetch *);

/* Give up: the connection is closed, done is not called, the pointer is no
 * longer valid. */
void loom_fetch_cancel(struct loom_fetch *);

/* The answer so far; borrowed. */
uint16_t loom_fetch_status(const struct loom_fetch *);
const struct loom_header *loom_fetch_headers(
    const struct loom_fetch *, size_t *n);
const char *loom_fetch_header(const struct loom_fetch *, const char *name);
/* -1 when the answer comes in chunks. */
int64_t loom_fetch_length(const struct loom_fetch *);
/* Whether a byte of the request may have left. */
bool loom_fetch_sent(const struct loom_fetch *);

#endif
