/*
 * A connection from another daemon.  It carries one request after another until
 * one of the two sides closes it.
 *
 * A connection that is closed while bytes of its last request may still arrive
 * lingers: the sending side is shut down, and received data is read and
 * discarded.  Closing a socket with unread data sends a reset, which may reach
 * the other side before the response.
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

/* A larger send buffer is freed once it is empty, not kept for the next
 * response. */
#define OUT_IDLE_MAX_BYTES (16 * 1024)

/* Receive buffer for data that arrives while a request is being processed. */
#define IN_MAX_BYTES (64 * 1024)

static int
connection_destructor(struct peer_connection *connection)
{
	sockets_clear_timer(connection->socket.sockets, &connection->timer);
	if (connection->socket.fd >= 0)
		close(connection->socket.fd);
	http_head_free(&connection->head);
	g_string_free(connection->target, TRUE);
	return 0;
}

static void
end_exchange(struct peer_connection *connection)
{
	struct peer_exchange *x = connection->exchange;

	if (x == NULL)
		return;
	connection->server->ops->end(&x->base);
	connection->exchange = NULL;
	talloc_free(x);
}

/* Ends the exchange, closes the socket, and lets the server accept connections
 * again if it was at its limit. */
static void
close_connection(struct peer_connection *connection)
{
	struct loom_peer_server *server = connection->server;

	end_exchange(connection);
	if (!connection->received_request)
		loom_counter_add(server->unused_connections, 1);
	sockets_clear_timer(connection->socket.sockets, &connection->timer);
	g_queue_unlink(&server->connections, &connection->server_link);
	sockets_watch(&server->listener, EPOLLIN);
	sockets_close(&connection->socket);
}

/* Closes the connection without a response, and notifies the handler of a
 * request in progress. */
static void
disconnect(struct peer_connection *connection)
{
	struct peer_exchange *x = connection->exchange;

	if (x != NULL && !x->disconnected && !x->aborted) {
		x->disconnected = true;
		connection->server->ops->disconnected(&x->base);
	}
	close_connection(connection);
}

void
peer_connection_abort(struct peer_connection *connection)
{
	exchange_reset(connection->socket.fd);
	close_connection(connection);
}

/* Updates the epoll events.  While the receive buffer is full the socket is not
 * read, and only a hangup of the other side is reported. */
static void
update_events(struct peer_connection *connection)
{
	uint32_t events = EPOLLRDHUP;

	if (loom_buffer_length(&connection->in) < IN_MAX_BYTES)
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
			break; /* epoll reports errors as events */
		loom_buffer_consume(out, (size_t)taken);
		connection->last_activity_us = loom_now_us();
	}
	if (loom_buffer_length(out) == 0 && out->capacity > OUT_IDLE_MAX_BYTES)
		loom_buffer_clear(out);
	update_events(connection);
}

/* Shuts down the sending side.  Received data is discarded until the timer
 * expires, or until it exceeds EXCHANGE_DISCARD_MAX_BYTES. */
static void
start_linger(struct peer_connection *connection)
{
	if (shutdown(connection->socket.fd, SHUT_WR) != 0) {
		close_connection(connection);
		return;
	}
	connection->lingering = true;
	sockets_set_timer(connection->socket.sockets, &connection->timer,
	    loom_now_us() + EXCHANGE_LINGER_US);
}

static bool
is_response_sent(const struct peer_connection *connection)
{
	const struct peer_exchange *x = connection->exchange;

	return x != NULL && x->finished &&
	    loom_buffer_length(&connection->out) == 0;
}

/* Responds with status 400 and closes the connection.  If the malformed input
 * belongs to the body of a request that the handler has already received, the
 * connection is closed without a response. */
static void
reject_malformed_request(struct peer_connection *connection)
{
	static const char text[] = "HTTP/1.1 400 Bad Request\r\n"
				   "Content-Length: 0\r\n"
				   "Connection: close\r\n\r\n";

	loom_counter_add(connection->server->malformed_requests, 1);
	if (connection->exchange != NULL) {
		disconnect(connection);
		return;
	}
	if (loom_buffer_append(
		&connection->out, connection, text, sizeof(text) - 1))
		peer_connection_flush(connection);
	start_linger(connection);
}

static bool
parse(struct peer_connection *connection, const uint8_t *data, size_t len)
{
	if (peer_request_parse(connection, data, len) == PEER_PARSE_OK)
		return true;
	reject_malformed_request(connection);
	return false;
}

/* Parses buffered data.  Returns false if there was nothing to parse, or if the
 * connection was closed. */
static bool
parse_pending(struct peer_connection *connection)
{
	struct loom_buffer pending = connection->in;
	bool ok;

	if (!peer_request_can_parse(connection) ||
	    (loom_buffer_length(&pending) == 0 &&
		loom_buffer_length(&connection->pending_body) == 0))
		return false;
	connection->in = (struct loom_buffer){ 0 };
	ok = parse(connection, loom_buffer_peek(&pending),
	    loom_buffer_length(&pending));
	loom_buffer_clear(&pending);
	return ok;
}

/* Performs all steps that are due: ends a finished or aborted exchange, closes
 * the connection, or parses the next buffered data. */
static void
advance(struct peer_connection *connection)
{
	const struct peer_exchange *x;
	bool closes_connection;

	for (;;) {
		x = connection->exchange;
		if (x != NULL && x->aborted) {
			peer_connection_abort(connection);
			return;
		}
		if (is_response_sent(connection)) {
			closes_connection =
			    x->closes_connection || !x->body_ended;
			end_exchange(connection);
			if (closes_connection) {
				start_linger(connection);
				return;
			}
		}
		if (connection->lingering || !parse_pending(connection))
			break;
	}
	if (connection->socket.fd >= 0)
		update_events(connection);
}

static void
on_advance(struct tevent_context *ev,
    struct tevent_immediate *advance_immediate, void *arg)
{
	struct peer_connection *connection = arg;
	struct loom_sockets *sockets = connection->socket.sockets;

	(void)ev;
	(void)advance_immediate;
	sockets_begin_dispatch(sockets);
	if (connection->socket.fd >= 0)
		advance(connection);
	sockets_end_dispatch(sockets);
}

void
peer_connection_schedule_advance(struct peer_connection *connection)
{
	tevent_schedule_immediate(connection->advance_immediate,
	    connection->server->ev, on_advance, connection);
}

static void
discard(struct peer_connection *connection, size_t len)
{
	connection->discarded_bytes += len;
	if (connection->discarded_bytes > EXCHANGE_DISCARD_MAX_BYTES)
		close_connection(connection);
}

/* Parses received data at once if possible, otherwise buffers it.  A lingering
 * connection discards it. */
static void
on_data(struct peer_connection *connection, const uint8_t *data, size_t len)
{
	connection->last_activity_us = loom_now_us();
	if (connection->lingering) {
		discard(connection, len);
		return;
	}
	if (loom_buffer_length(&connection->in) == 0 &&
	    peer_request_can_parse(connection)) {
		if (!parse(connection, data, len))
			return;
	} else if (!loom_buffer_append(
		       &connection->in, connection, data, len)) {
		disconnect(connection);
		return;
	}
	advance(connection);
}

static void
receive(struct peer_connection *connection)
{
	uint8_t *block = sockets_read_buffer(connection->socket.sockets);
	ssize_t got;

	got = recv(connection->socket.fd, block, SOCKETS_READ_BUFFER_SIZE, 0);
	if (got > 0)
		on_data(connection, block, (size_t)got);
	else if (got == 0 || errno != EAGAIN)
		disconnect(connection);
}

static void
on_writable(struct peer_connection *connection)
{
	struct peer_exchange *x;

	peer_connection_flush(connection);
	x = connection->exchange;
	if (x != NULL && x->above_high_water &&
	    loom_buffer_length(&connection->out) < EXCHANGE_LOW_WATER_BYTES) {
		x->above_high_water = false;
		connection->server->ops->drained(&x->base);
	}
	advance(connection);
}

/*
 * Handles the events of a connection.  Once a request was read completely,
 * EPOLLRDHUP means that its caller has disconnected and no longer waits for the
 * response: HTTP clients do not shut down only their sending side.  Before that
 * the remaining data is read first.
 */
static void
ready(struct watched_socket *socket, uint32_t events)
{
	struct peer_connection *connection =
	    (struct peer_connection *)(void *)socket;

	if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
		disconnect(connection);
		return;
	}
	if ((events & EPOLLRDHUP) != 0 && connection->exchange != NULL &&
	    connection->exchange->body_ended) {
		disconnect(connection);
		return;
	}
	if ((events & EPOLLOUT) != 0)
		on_writable(connection);
	if ((events & (EPOLLIN | EPOLLRDHUP)) != 0 &&
	    connection->socket.fd >= 0)
		receive(connection);
}

/* Idle timeout, or the end of lingering.  A connection whose request is still
 * being processed is not idle. */
static void
expired(struct sockets_timer *sockets_timer)
{
	struct peer_connection *connection =
	    (struct peer_connection *)(void *)((char *)sockets_timer -
		offsetof(struct peer_connection, timer));
	const struct loom_peer_server *server = connection->server;
	const uint64_t now_us = loom_now_us();

	if (connection->lingering) {
		close_connection(connection);
		return;
	}
	if (connection->exchange != NULL && connection->exchange->body_ended &&
	    loom_buffer_length(&connection->out) == 0)
		connection->last_activity_us = now_us;
	if (now_us - connection->last_activity_us >= server->idle_us)
		disconnect(connection);
	else
		sockets_set_timer(connection->socket.sockets, sockets_timer,
		    connection->last_activity_us + server->idle_us);
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
		.on_ready = ready,
	};
	connection->server = server;
	connection->timer.on_expired = expired;
	connection->last_activity_us = loom_now_us();
	http_head_init(&connection->head);
	connection->target = g_string_new(NULL);
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	talloc_set_destructor(connection, connection_destructor);
	connection->advance_immediate = tevent_create_immediate(connection);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connection->advance_immediate == NULL ||
	    !sockets_watch(&connection->socket, EPOLLIN | EPOLLRDHUP)) {
		talloc_free(connection);
		return;
	}
	connection->server_link.data = connection;
	g_queue_push_head_link(&server->connections, &connection->server_link);
	sockets_set_timer(connection->socket.sockets, &connection->timer,
	    connection->last_activity_us + server->idle_us);
}
