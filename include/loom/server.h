#ifndef LOOM_SERVER_H
#define LOOM_SERVER_H

/*
 * HTTP server for the callers of the daemon, on one worker thread.  It is the
 * only interface to libmicrohttpd.
 *
 * An exchange is one request and its response.  It exists from the request's
 * headers until ops->end, which is called exactly once.  Its functions may be
 * called on the worker's thread only.
 *
 * The handler of an exchange is the code behind loom_exchange_ops.
 */

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "loom/hangup.h"
#include "loom/result.h"
#include "loom/tls.h"

struct loom_server;
struct loom_exchange;

/* Strings are borrowed. */
struct loom_header {
	const char *name;
	const char *value;
};

struct loom_exchange_ops {
	/* The headers were received; no byte of the body was read yet.  The
	 * handler responds or asks for the body with
	 * loom_exchange_resume_body(), now or later. */
	void (*request)(void *arg, struct loom_exchange *);
	/* Part of the body was received.  Returns how many bytes were consumed;
	 * if fewer than len, the callback is not called again until the next
	 * loom_exchange_resume_body(). */
	size_t (*body)(struct loom_exchange *, const uint8_t *data, size_t len);
	/* The body is complete; not called for a request without a body. */
	void (*body_end)(struct loom_exchange *);
	/* The send buffer of the streamed response has room again. */
	void (*drained)(struct loom_exchange *);
	/* The caller disconnected before its response was complete. end is
	 * called next. */
	void (*disconnected)(struct loom_exchange *);
	/* The exchange is finished and is freed after this call. */
	void (*end)(struct loom_exchange *);
};

struct loom_server_options {
	int listen_fd; /* borrowed: the server uses a duplicate */
	const struct loom_tls_pair *tls; /* borrowed; NULL for plain HTTP */
	uint32_t connections_max;
	/* Omits the Date header, for responses that nobody caches. */
	bool suppress_date;
	/* A connection on which no byte moves for this long is closed. */
	uint32_t idle_timeout_s;
	const struct loom_exchange_ops *ops;
	void *arg; /* borrowed, passed to ops->request */
};

/* Parses "ip:port".  Fails with LOOM_LISTEN. */
bool loom_server_parse_address(
    const char *text, struct sockaddr_in *address, GError **error);

/* Opens a non-blocking listening socket on "ip:port"; port 0 selects a free
 * port.  Returns the descriptor, owned by the caller, or -1 with LOOM_LISTEN.
 */
int loom_server_listen(const char *address, GError **error);

/* The port that a listening socket is bound to. */
uint16_t loom_server_port(int listen_fd);

/* Starts serving; owned by the caller (talloc).  Returns NULL with LOOM_START
 * on failure. */
struct loom_server *loom_server_new(TALLOC_CTX *, struct tevent_context *,
    struct loom_hangup *, const struct loom_server_options *, GError **error);

/* From now on closes each connection after its next response. */
void loom_server_drain(struct loom_server *);

/*
 * Drops new connection attempts; established connections are still accepted and
 * served.  Until the listening socket is closed an attempt gets no reply, and
 * after that it is refused.
 */
void loom_server_drop_new_connections(struct loom_server *);

/* The request.  Strings are borrowed from the exchange. */
const char *loom_exchange_method(const struct loom_exchange *);
const char *loom_exchange_target(
    const struct loom_exchange *); /* undecoded, with the query */
const char *loom_exchange_header(
    const struct loom_exchange *, const char *name);
void loom_exchange_headers(const struct loom_exchange *,
    void (*each)(void *arg, const char *name, const char *value), void *arg);
/* The number of headers with this name. */
uint32_t loom_exchange_header_count(
    const struct loom_exchange *, const char *name);
/* The length of the body by its Content-Length; -1 if its transfer encoding is
 * chunked. */
int64_t loom_exchange_body_length(const struct loom_exchange *);

/* A pointer for the handler's own use; borrowed. */
void loom_exchange_set_user(struct loom_exchange *, void *user);
void *loom_exchange_user(const struct loom_exchange *);

/* Starts or resumes the reading of the body. */
void loom_exchange_resume_body(struct loom_exchange *);

/*
 * Responds with a complete body, which is copied.  If the request body was not
 * read completely, the connection is closed after the response.  Only the first
 * response takes effect.
 */
void loom_exchange_respond(struct loom_exchange *, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len);

/*
 * Starts a response whose body is sent with loom_exchange_push() and ended with
 * loom_exchange_finish(). length is -1 if it is not known.  A response to HEAD
 * announces its length and has no body.
 */
void loom_exchange_stream(struct loom_exchange *, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length);
/* Returns false when the send buffer is full: the handler must wait for
 * ops->drained. */
bool loom_exchange_push(struct loom_exchange *, const void *data, size_t len);
void loom_exchange_finish(struct loom_exchange *);

/* Resets the connection, so that the client cannot take a partial response for
 * a complete one. */
void loom_exchange_abort(struct loom_exchange *);

/* Whether a response was started. */
bool loom_exchange_responded(const struct loom_exchange *);

#endif
