#ifndef LOOM_HTTP_CLIENT_H
#define LOOM_HTTP_CLIENT_H

/*
 * What the files of the HTTP client share:
 *
 *   fetch.c              one request, from its start to its end
 *   client_request.c     the request as bytes
 *   client_connection.c  a socket: connecting, sending, receiving
 *   client_answer.c      the answer, by http_parser
 *   client_pool.c        connections that are kept for the next request
 */

#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>

#include "http/head.h"
#include "http/sockets.h"
#include "loom/buffer.h"
#include "loom/fetch.h"

/* Whom a connection goes to, and from where; in network order. */
struct client_key {
	uint32_t ip;
	uint32_t source_ip; /* 0 for any */
	uint16_t port;
	uint16_t zero; /* keys are hashed and compared as bytes */
};

/* The kept connections to one key; in loom_fetcher.hosts. */
struct client_host {
	struct client_key key;
	uint32_t connections; /* open ones; forgotten without any */
	GQueue kept; /* of client_connection.in_host, newest first */
};

struct loom_fetcher {
	struct loom_sockets *sockets; /* borrowed */
	struct tevent_context *ev; /* borrowed */
	GHashTable *hosts; /* owned: struct client_host by their keys */
	GQueue kept; /* of client_connection.in_all, newest first */
};

struct client_connection {
	struct watched_socket socket; /* the first member */
	struct loom_fetcher *fetcher; /* borrowed */
	struct client_host *host; /* borrowed */
	struct loom_fetch *fetch; /* borrowed; NULL while it is kept */
	GList in_host, in_all; /* while it is kept */
	uint64_t kept_us; /* since when it is kept */
	uint32_t idle_max_ms; /* the other side's word; 0 for none */
	bool connected;
	bool waits_writable;
	bool may_keep; /* the answer's end allows another request */
	http_parser parser;
	struct http_head head; /* of the answer */
};

struct loom_fetch {
	struct loom_fetcher *fetcher; /* borrowed */
	struct client_connection *connection; /* owned; NULL before and after */
	const struct loom_fetch_ops *ops;
	void *arg;
	struct tevent_immediate *later; /* owned; NULL until needed */
	struct timed time;
	struct loom_buffer out; /* not yet taken by the socket */
	uint64_t until_us; /* when the time is up */
	uint32_t idle_ms; /* a kept connection must be younger */
	const char *failure; /* of a start, told soon; borrowed */
	uint16_t status;
	bool is_head;
	bool in_chunks; /* how the body is sent */
	bool body_all; /* the request is in out, whole */
	bool body_paused; /* until loom_fetch_more_body() */
	bool held_back; /* until the other side says to go on */
	bool headers_done;
	bool complete; /* the answer is whole */
	bool sent; /* a byte of the request was taken */
	bool data_paused; /* until loom_fetch_resume() */
	bool send_failed; /* nothing more can be sent */
	bool in_callback; /* a cancel waits until the callback is over */
	bool cancelled;
	bool rejected;
};

/* client_pool.c */

/* Read "ip:port" and the source's ip, which may be NULL. */
bool client_key_parse(
    struct client_key *, const char *address, const char *source);

/* A kept connection that is open and younger than idle_ms; NULL for none. */
struct client_connection *client_pool_take(
    struct loom_fetcher *, const struct client_key *, uint32_t idle_ms);

/* Keep a connection whose request is over. */
void client_pool_keep(struct client_connection *);

/* Where the connections to a key are kept; borrowed. */
struct client_host *client_pool_host(
    struct loom_fetcher *, const struct client_key *);

/* Close; its memory stays until the turn of the event loop is over. */
void client_pool_close(struct client_connection *);

/* client_connection.c */

enum client_sending {
	CLIENT_SENDING_ON, /* all is sent, or the rest will be */
	CLIENT_SENDING_REFUSED, /* no byte was taken, nor will be */
};

/* Begin to connect; NULL when that fails at once. */
struct client_connection *client_connection_new(
    struct loom_fetcher *, const struct client_key *);

/* Whether the other side has neither closed nor sent anything. */
bool client_connection_is_quiet(const struct client_connection *);

/* The connection is the fetch's from now on. */
void client_connection_attach(struct client_connection *, struct loom_fetch *);

/* Wait for the socket to be readable, unless its fetch has paused that, and
 * to be writable if that is asked for.  False when the kernel refuses. */
bool client_connection_watch(struct client_connection *, bool writable);

/* Send what the fetch has. */
enum client_sending client_connection_send(struct client_connection *);

/* client_answer.c */

/* A new answer is expected. */
void client_answer_begin(struct client_connection *);
/* What was wrong with the bytes that came; borrowed. */
const char *client_answer_problem(const struct client_connection *);

enum client_reading {
	CLIENT_READING_ON,
	CLIENT_READING_COMPLETE,
	CLIENT_READING_BROKEN, /* no answer, or one that was cut or rejected */
};

/* Some bytes of the answer; len 0: the connection has ended. */
enum client_reading client_answer_take(
    struct client_connection *, const uint8_t *data, size_t len);

/* client_request.c */

/* Put the request's line and headers into fetch->out. */
bool client_request_begin(
    struct loom_fetch *, const struct loom_fetch_request *);
/* Ask for more of the body; false when there is none now. */
bool client_request_more(struct loom_fetch *);

/* fetch.c */

/* Its answer is whole: the owner is told, and fetch and connection are done
 * with. */
void client_fetch_whole(struct loom_fetch *);
/* Given up by its owner, who is not told. */
void client_fetch_drop(struct loom_fetch *);
/* Its connection is of no use any more. */
void client_fetch_broken(struct loom_fetch *, const char *reason);

#endif
