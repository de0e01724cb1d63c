#ifndef LOOM_HTTP_PEER_SERVER_H
#define LOOM_HTTP_PEER_SERVER_H

/*
 * What the files of the peers' server share:
 *
 *   peer_server.c      listens, and holds what all connections share
 *   peer_connection.c  a socket: receiving, sending, its end
 *   peer_request.c     the request, by http_parser
 *   peer_exchange.c    the exchange as its owner uses it, the answer as bytes
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
	GQueue connections; /* of peer_connection.in_server */
	uint32_t connections_max;
	uint64_t idle_us;
	bool draining;
	struct loom_counter *malformed; /* borrowed */
	struct loom_counter *unused; /* borrowed */
};

/* One request at a time; what comes behind it waits in in. */
struct peer_connection {
	struct watched_socket socket; /* the first member */
	struct loom_peer_server *server; /* borrowed */
	GList in_server;
	struct peer_exchange *x; /* owned; NULL between two requests */
	struct tevent_immediate *later; /* owned */
	struct timed time; /* of no use for too long */
	uint64_t moved_us; /* a byte came or went */
	http_parser parser;
	struct http_head head; /* of the request */
	GString *target; /* owned: raw, with query */
	struct loom_buffer in; /* received, and not yet parsed */
	struct loom_buffer held; /* of the body, not yet taken by its owner */
	struct loom_buffer out; /* not yet taken by the socket */
	uint64_t discarded_bytes;
	bool understood; /* it has brought a request */
	bool parsing; /* the parser calls back */
	bool ended; /* nothing more is answered: what comes is dropped */
};

struct peer_exchange {
	struct loom_exchange base; /* the first member */
	struct peer_connection *connection; /* borrowed */
	bool has_body;
	bool is_head;
	bool expects_continue;
	bool old_protocol; /* HTTP/1.0 */
	bool body_wanted; /* its owner takes more */
	bool body_ended;
	bool answered;
	bool in_chunks; /* how the answer is sent */
	bool finished; /* the answer is whole in out */
	bool closes; /* the connection ends with this answer */
	bool full; /* its owner waits for room */
	bool gone;
	bool aborted;
};

/* peer_connection.c */

/* Serve a connection; owned by the server (talloc). */
void peer_connection_new(struct loom_peer_server *, int fd);

/* Send what waits; what the socket does not take goes when it can. */
void peer_connection_flush(struct peer_connection *);

/* Break the connection, and with it the exchange. */
void peer_connection_abort(struct peer_connection *);

/* Look soon at what is to be done next, not from inside the caller: it may end
 * the exchange. */
void peer_connection_settle_later(struct peer_connection *);

/* peer_request.c */

extern const http_parser_settings peer_request_settings;

enum peer_parsing {
	PEER_PARSING_ON, /* all was taken, or the rest waits in connection->in
			  */
	PEER_PARSING_BROKEN, /* no request */
};

enum peer_parsing peer_request_parse(
    struct peer_connection *, const uint8_t *data, size_t len);

/* The parser may go on with what waits. */
bool peer_request_may_go_on(const struct peer_connection *);

/* peer_exchange.c */

extern const struct exchange_kind peer_exchange_kind;

#endif
