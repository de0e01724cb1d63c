#ifndef LOOM_HTTP_PEER_SERVER_H
#define LOOM_HTTP_PEER_SERVER_H

/*
 * Declarations shared by the files of the HTTP server for peer daemons:
 *
 *   peer_server.c      listening socket, state shared by all connections
 *   peer_connection.c  one socket: receiving, sending, closing
 *   peer_request.c     parsing of requests with http_parser
 *   peer_exchange.c    operations of an exchange, formatting of the response
 */

#include <http_parser.h>

#include "http/exchange.h"
#include "http/head.h"
#include "http/sockets.h"
#include "loom/buffer.h"
#include "loom/counter.h"
#include "loom/peer_server.h"

struct loom_peer_server {
	struct watched_socket listener; /* the first member */
	struct tevent_context *ev; /* borrowed */
	const struct loom_exchange_ops *ops;
	void *arg; /* borrowed */
	GQueue connections; /* of peer_connection.server_link */
	uint32_t connections_max;
	uint64_t idle_us;
	bool draining;
	struct loom_counter *malformed_requests; /* borrowed */
	struct loom_counter *unused_connections; /* borrowed */
};

/* Handles one request at a time; pipelined requests wait in the buffer "in". */
struct peer_connection {
	struct watched_socket socket; /* the first member */
	struct loom_peer_server *server; /* borrowed */
	GList server_link;
	struct peer_exchange *exchange; /* owned; NULL between two requests */
	struct tevent_immediate *advance_immediate; /* owned */
	struct sockets_timer timer; /* idle timeout, or the end of lingering */
	uint64_t last_activity_us; /* when a byte was last received or sent */
	http_parser parser;
	struct http_head head; /* of the request */
	GString *target; /* owned: undecoded, with the query */
	struct loom_buffer in; /* received, not yet parsed */
	struct loom_buffer pending_body; /* not yet consumed by the handler */
	struct loom_buffer out; /* not yet sent */
	uint64_t discarded_bytes;
	bool received_request;
	bool parsing; /* peer_request_parse() is on the call stack */
	bool lingering; /* our sending side is shut down; received data is
			   discarded */
};

struct peer_exchange {
	struct loom_exchange base; /* the first member */
	struct peer_connection *connection; /* borrowed */
	bool has_body;
	bool is_head_request;
	bool expects_continue;
	bool is_http_1_0;
	bool body_wanted; /* the handler has asked for more of the body */
	bool body_ended;
	bool responded;
	bool chunked; /* the response uses chunked encoding */
	bool finished; /* the whole response was appended to out */
	bool closes_connection; /* after this response */
	bool above_high_water; /* out was filled; ops->drained is due */
	bool disconnected;
	bool aborted;
};

/* peer_connection.c */

/* Starts serving an accepted connection; owned by the server (talloc). */
void peer_connection_new(struct loom_peer_server *, int fd);

/* Sends the buffered data; what the socket does not accept is sent when it
 * becomes writable. */
void peer_connection_flush(struct peer_connection *);

/* Resets the connection and ends its exchange. */
void peer_connection_abort(struct peer_connection *);

/* Schedules the next step of the connection (see advance()) for the next
 * iteration of the event loop.  It must not run inside the calling function,
 * since it may free the exchange. */
void peer_connection_schedule_advance(struct peer_connection *);

/* peer_request.c */

extern const http_parser_settings peer_request_settings;

enum peer_parse_result {
	PEER_PARSE_OK, /* all data was consumed, or the rest was stored in
			    connection->in */
	PEER_PARSE_ERROR, /* not a valid request, or out of memory */
};

/* Parses received data, after any body data that is still to be delivered. */
enum peer_parse_result peer_request_parse(
    struct peer_connection *, const uint8_t *data, size_t len);

/* Whether the parser can continue with the buffered data. */
bool peer_request_can_parse(const struct peer_connection *);

/* peer_exchange.c */

extern const struct exchange_vtable peer_exchange_vtable;

#endif
