#ifndef LOOM_HTTP_CLIENT_H
#define LOOM_HTTP_CLIENT_H

/*
 * Internal declarations shared by the files of the HTTP client:
 *
 *   fetch.c              the life cycle of a request
 *   client_request.c     serializes the request
 *   client_connection.c  a socket: connecting, sending, receiving
 *   client_response.c    parses the response with http_parser
 *   client_pool.c        idle keep-alive connections
 */

#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>

#include "http/head.h"
#include "http/response_syntax.h"
#include "http/sockets.h"
#include "loom/buffer.h"
#include "loom/fetch.h"

/* Destination and source address of a connection, in network byte order. */
struct client_endpoint {
	uint32_t ip;
	uint32_t source_ip; /* 0: any */
	uint16_t port;
	uint16_t zero; /* padding: endpoints are compared with memcmp() */
};

/* The connections to one endpoint; stored in loom_fetcher.pools. */
struct client_endpoint_pool {
	struct client_endpoint endpoint;
	uint32_t connections; /* open, idle or in use; freed at 0 */
	GQueue idle; /* of client_connection.pool_link, newest first */
};

struct loom_fetcher {
	struct loom_sockets *sockets; /* borrowed */
	struct tevent_context *ev; /* borrowed */
	GHashTable *pools; /* owned: client_endpoint_pool by endpoint */
	GQueue idle; /* of client_connection.fetcher_link, newest first */
};

struct client_connection {
	struct watched_socket socket; /* the first member */
	struct loom_fetcher *fetcher; /* borrowed */
	struct client_endpoint_pool *pool; /* borrowed */
	struct loom_fetch *fetch; /* borrowed; NULL while idle */
	GList pool_link, fetcher_link; /* in the lists of idle connections */
	uint64_t idle_since_us;
	uint32_t server_idle_max_ms; /* from Keep-Alive; 0: not given */
	bool connected;
	bool waiting_writable;
	bool reusable; /* can be kept for another request */
	http_parser parser;
	struct response_syntax syntax;
	struct http_head head; /* response headers */
};

struct loom_fetch {
	struct loom_fetcher *fetcher; /* borrowed */
	struct client_connection *connection; /* owned; NULL if unassigned */
	const struct loom_fetch_ops *ops;
	void *arg;
	struct tevent_immediate *immediate; /* owned; created on first use */
	struct sockets_timer timer;
	struct loom_buffer send_buffer; /* not yet written to the socket */
	uint64_t deadline_us;
	uint32_t idle_max_ms; /* use no connection idle for longer */
	const char *start_error; /* reported from the event loop; borrowed */
	uint64_t
	    head_bytes; /* received before the final headers were complete */
	uint64_t body_bytes; /* received of the body */
	uint64_t
	    framing_bytes; /* received after the headers, besides the body */
	uint64_t body_max_bytes; /* 0: no limit */
	uint16_t status;
	bool is_head;
	bool chunked; /* the request body */
	bool body_complete; /* the whole request was buffered */
	bool body_paused; /* until loom_fetch_resume_body() */
	bool awaiting_continue; /* body is held until 100 Continue */
	bool headers_complete;
	bool response_complete;
	bool sent; /* the socket accepted a byte of the request */
	bool response_paused; /* until loom_fetch_resume_response() */
	bool send_failed; /* nothing more is sent */
	bool in_callback; /* defers loom_fetch_cancel() */
	bool cancelled;
	bool rejected;
	bool response_too_long;
	bool response_malformed; /* by response_syntax.h */
};

/* client_pool.c */

/* Parse "ip:port" and the source IP; source may be NULL. */
bool client_endpoint_parse(
    struct client_endpoint *, const char *address, const char *source);

/*
 * Take an open connection that has been idle for less than idle_max_ms (0: the
 * default limit); NULL if there is none.
 */
struct client_connection *client_pool_acquire(struct loom_fetcher *,
    const struct client_endpoint *, uint32_t idle_max_ms);

/* Keep a connection for another request. */
void client_pool_release(struct client_connection *);

/* The pool of an endpoint, created if necessary; borrowed. */
struct client_endpoint_pool *client_pool_get(
    struct loom_fetcher *, const struct client_endpoint *);

/* Close; while events are dispatched, the memory is freed after the batch. */
void client_pool_close(struct client_connection *);

/* client_connection.c */

enum client_send_result {
	CLIENT_SEND_OK, /* all is sent, or the rest is sent later */
	CLIENT_SEND_REFUSED, /* failed before the first byte */
};

/* Start to connect; NULL with errno set if that fails immediately. */
struct client_connection *client_connection_new(
    struct loom_fetcher *, const struct client_endpoint *);

/* Whether the server has neither closed the connection nor sent anything. */
bool client_connection_is_reusable(const struct client_connection *);

/* Assign the connection to a fetch. */
void client_connection_attach(struct client_connection *, struct loom_fetch *);

/*
 * Watch the socket for reading, unless the response is paused, and for writing
 * if writable is set.  False if epoll fails.
 */
bool client_connection_watch(struct client_connection *, bool writable);

/* Send as much of the request as is available and the socket accepts. */
enum client_send_result client_connection_send(struct client_connection *);

/* client_response.c */

/* Prepare to parse a new response. */
void client_response_begin(struct client_connection *);
/* The reason for CLIENT_PARSE_FAILED; borrowed. */
const char *client_response_error(const struct client_connection *);

enum client_parse_result {
	CLIENT_PARSE_MORE,
	CLIENT_PARSE_COMPLETE,
	CLIENT_PARSE_FAILED, /* malformed, truncated, rejected or cancelled */
};

/* Parse a part of the response; len 0 is the end of the connection. */
enum client_parse_result client_response_parse(
    struct client_connection *, const uint8_t *data, size_t len);

/* client_request.c */

/* Append the request line and headers to fetch->send_buffer. */
bool client_request_begin(
    struct loom_fetch *, const struct loom_fetch_request *);
/* Append the next part of the body; false if none is available now. */
bool client_request_read_body(struct loom_fetch *);

/* fetch.c */

/* The response is complete: end the fetch and release its connection. */
void client_fetch_complete(struct loom_fetch *);
/* Close the connection and free the fetch without calling done. */
void client_fetch_discard(struct loom_fetch *);
/* The connection failed: close it and end the fetch with this reason. */
void client_fetch_fail(struct loom_fetch *, const char *reason);

#endif
