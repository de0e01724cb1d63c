/*
 * A connection of another daemon: requests one after another, until one of the
 * two sides wants no more.
 *
 * A connection that ends while bytes of its last request may still come is shut
 * down on our side, and those are read and dropped: a close with unread bytes
 * is a reset, which may overtake the answer.
 */

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/peer_server.h"
#include "loom/clock.h"

/* A connection keeps no more than this for the next answer. */
#define OUT_KEPT_MAX (16 * 1024)

/* What may wait behind a request that is being answered. */
#define IN_MAX (64 * 1024)

static int
connection_destructor(struct peer_connection *connection)
{
	sockets_clear_time(connection->socket.sockets, &connection->time);
	if (connection->socket.fd >= 0)
		close(connection->socket.fd);
	http_head_free(&connection->head);
	g_string_free(connection->target, TRUE);
	return 0;
}

static void
end_exchange(struct peer_connection *connection)
{
	struct peer_exchange *x = connection->x;

	if (x == NULL)
		return;
	connection->server->ops->end(&x->base);
	connection->x = NULL;
	talloc_free(x);
}

static void
close_connection(struct peer_connection *connection)
{
	struct loom_peer_server *server = connection->server;

	end_exchange(connection);
	if (!connection->understood)
		loom_counter_add(server->unused, 1);
	sockets_clear_time(connection->socket.sockets, &connection->time);
	g_queue_unlink(&server->connections, &connection->in_server);
	sockets_watch(&server->listener, EPOLLIN);
	sockets_close(&connection->socket);
}

/* The other side has closed, or broken, the connection. */
static void
hung_up(struct peer_connection *connection)
{
	struct peer_exchange *x = connection->x;

	if (x != NULL && !x->gone && !x->aborted) {
		x->gone = true;
		connection->server->ops->gone(&x->base);
	}
	close_connection(connection);
}

void
peer_connection_abort(struct peer_connection *connection)
{
	exchange_reset(connection->socket.fd);
	close_connection(connection);
}

/* Reading stops only while more waits than is bounded: then the other side's
 * end alone is told. */
static void
watch(struct peer_connection *connection)
{
	uint32_t events = EPOLLRDHUP;

	if (loom_buffer_length(&connection->in) < IN_MAX)
		events |= EPOLLIN;
	if (loom_buffer_length(&connection->out) > 0)
		events |= EPOLLOUT;
	sockets_watch(&connection->socket, events);
}

void
peer_connection_flush(struct peer_connection *connection)
{
	struct loom_buffer *out = &connection->out;
	ssize_t taken;

	while (loom_buffer_length(out) > 0) {
		taken = send(connection->socket.fd, loom_buffer_peek(out),
		    loom_buffer_length(out), MSG_NOSIGNAL);
		if (taken < 0)
			break; /* an error is told as an event */
		loom_buffer_consume(out, (size_t)taken);
		connection->moved_us = loom_now_us();
	}
	if (loom_buffer_length(out) == 0 && out->capacity > OUT_KEPT_MAX)
		loom_buffer_clear(out);
	watch(connection);
}

/* Nothing more goes out; what still comes is dropped for a while. */
static void
end_connection(struct peer_connection *connection)
{
	if (shutdown(connection->socket.fd, SHUT_WR) != 0) {
		close_connection(connection);
		return;
	}
	connection->ended = true;
	sockets_set_time(connection->socket.sockets, &connection->time,
	    loom_now_us() + EXCHANGE_LINGER_US);
}

static bool
is_over(const struct peer_connection *connection)
{
	const struct peer_exchange *x = connection->x;

	return x != NULL && x->finished &&
	    loom_buffer_length(&connection->out) == 0;
}

static void
answer_malformed(struct peer_connection *connection)
{
	static const char text[] = "HTTP/1.1 400 Bad Request\r\n"
				   "Content-Length: 0\r\n"
				   "Connection: close\r\n\r\n";

	loom_counter_add(connection->server->malformed, 1);
	if (connection->x != NULL) {
		hung_up(connection);
		return;
	}
	if (loom_buffer_append(
		&connection->out, connection, text, sizeof(text) - 1))
		peer_connection_flush(connection);
	end_connection(connection);
}

static bool
parse(struct peer_connection *connection, const uint8_t *data, size_t len)
{
	if (peer_request_parse(connection, data, len) == PEER_PARSING_ON)
		return true;
	answer_malformed(connection);
	return false;
}

/* False when there is nothing more to be parsed, or the connection ended. */
static bool
parse_waiting(struct peer_connection *connection)
{
	struct loom_buffer waiting = connection->in;
	bool ok;

	if (!peer_request_may_go_on(connection) ||
	    (loom_buffer_length(&waiting) == 0 &&
		loom_buffer_length(&connection->held) == 0))
		return false;
	connection->in = (struct loom_buffer){ 0 };
	ok = parse(connection, loom_buffer_peek(&waiting),
	    loom_buffer_length(&waiting));
	loom_buffer_clear(&waiting);
	return ok;
}

/* What is next: the end of the exchange, of the connection, or more of what
 * waits. */
static void
settle(struct peer_connection *connection)
{
	const struct peer_exchange *x;
	bool closes;

	for (;;) {
		x = connection->x;
		if (x != NULL && x->aborted) {
			peer_connection_abort(connection);
			return;
		}
		if (is_over(connection)) {
			closes = x->closes || !x->body_ended;
			end_exchange(connection);
			if (closes) {
				end_connection(connection);
				return;
			}
		}
		if (connection->ended || !parse_waiting(connection))
			break;
	}
	if (connection->socket.fd >= 0)
		watch(connection);
}

static void
settle_now(struct tevent_context *ev, struct tevent_immediate *later, void *arg)
{
	struct peer_connection *connection = arg;
	struct loom_sockets *sockets = connection->socket.sockets;

	(void)ev;
	(void)later;
	sockets_begin_turn(sockets);
	if (connection->socket.fd >= 0)
		settle(connection);
	sockets_end_turn(sockets);
}

void
peer_connection_settle_later(struct peer_connection *connection)
{
	tevent_schedule_immediate(
	    connection->later, connection->server->ev, settle_now, connection);
}

static void
discard(struct peer_connection *connection, size_t len)
{
	connection->discarded_bytes += len;
	if (connection->discarded_bytes > EXCHANGE_DISCARD_MAX)
		close_connection(connection);
}

static void
take(struct peer_connection *connection, const uint8_t *data, size_t len)
{
	connection->moved_us = loom_now_us();
	if (connection->ended) {
		discard(connection, len);
		return;
	}
	if (loom_buffer_length(&connection->in) == 0 &&
	    peer_request_may_go_on(connection)) {
		if (!parse(connection, data, len))
			return;
	} else if (!loom_buffer_append(
		       &connection->in, connection, data, len)) {
		hung_up(connection);
		return;
	}
	settle(connection);
}

static void
receive(struct peer_connection *connection)
{
	uint8_t *block = sockets_block(connection->socket.sockets);
	ssize_t got;

	got = recv(connection->socket.fd, block, SOCKETS_BLOCK, 0);
	if (got > 0)
		take(connection, block, (size_t)got);
	else if (got == 0 || errno != EAGAIN)
		hung_up(connection);
}

static void
send_more(struct peer_connection *connection)
{
	struct peer_exchange *x;

	peer_connection_flush(connection);
	x = connection->x;
	if (x != NULL && x->full &&
	    loom_buffer_length(&connection->out) < EXCHANGE_LOW_WATER) {
		x->full = false;
		connection->server->ops->drained(&x->base);
	}
	settle(connection);
}

/* A request that was read to its end may have its answer awaited by a side
 * that has closed: it is gone, as HTTP clients do not shut down one half. */
static void
ready(struct watched_socket *socket, uint32_t events)
{
	struct peer_connection *connection =
	    (struct peer_connection *)(void *)socket;

	if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
		hung_up(connection);
		return;
	}
	if ((events & EPOLLRDHUP) != 0 && connection->x != NULL &&
	    connection->x->body_ended) {
		hung_up(connection);
		return;
	}
	if ((events & EPOLLOUT) != 0)
		send_more(connection);
	if ((events & (EPOLLIN | EPOLLRDHUP)) != 0 &&
	    connection->socket.fd >= 0)
		receive(connection);
}

/* Work that goes on here is no idleness of the connection. */
static void
expired(struct timed *timed)
{
	struct peer_connection *connection =
	    (struct peer_connection *)(void *)((char *)timed -
		offsetof(struct peer_connection, time));
	const struct loom_peer_server *server = connection->server;
	const uint64_t now_us = loom_now_us();

	if (connection->ended) {
		close_connection(connection);
		return;
	}
	if (connection->x != NULL && connection->x->body_ended &&
	    loom_buffer_length(&connection->out) == 0)
		connection->moved_us = now_us;
	if (now_us - connection->moved_us >= server->idle_us)
		hung_up(connection);
	else
		sockets_set_time(connection->socket.sockets, timed,
		    connection->moved_us + server->idle_us);
}

void
peer_connection_new(struct loom_peer_server *server, int fd)
{
	struct peer_connection *connection =
	    talloc_zero(server, struct peer_connection);
	const int on = 1;

	if (connection == NULL) {
		close(fd);
		return;
	}
	connection->socket = (struct watched_socket){
		.sockets = server->listener.sockets,
		.fd = fd,
		.ready = ready,
	};
	connection->server = server;
	connection->time.expired = expired;
	connection->moved_us = loom_now_us();
	http_head_init(&connection->head);
	connection->target = g_string_new(NULL);
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	talloc_set_destructor(connection, connection_destructor);
	connection->later = tevent_create_immediate(connection);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connection->later == NULL ||
	    !sockets_watch(&connection->socket, EPOLLIN | EPOLLRDHUP)) {
		talloc_free(connection);
		return;
	}
	connection->in_server.data = connection;
	g_queue_push_head_link(&server->connections, &connection->in_server);
	sockets_set_time(connection->socket.sockets, &connection->time,
	    connection->moved_us + server->idle_us);
}
