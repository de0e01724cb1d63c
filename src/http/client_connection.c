/*
 * A connection of the HTTP client.  It carries one request at a time.
 */

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"

/* The body is read until this much is buffered, so that the headers and a short
 * body are sent in one segment. */
#define SEND_FILL_TARGET (16 * 1024)

#define READS_PER_TURN_MAX 4

static void on_ready(struct watched_socket *, uint32_t events);

static int
connection_destructor(struct client_connection *connection)
{
	if (connection->socket.fd >= 0)
		close(connection->socket.fd);
	http_head_free(&connection->head);
	return 0;
}

bool
client_connection_watch(struct client_connection *connection, bool writable)
{
	const struct loom_fetch *fetch = connection->fetch;
	const bool readable = fetch == NULL || !fetch->response_paused;

	connection->waiting_writable = writable;
	return sockets_watch(&connection->socket,
	    (readable ? EPOLLIN : 0) | (writable ? EPOLLOUT : 0));
}

/* While the connection is in progress, waits for the socket to be writable. */
static bool
begin_connect(struct client_connection *connection,
    const struct client_endpoint *endpoint)
{
	const struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = endpoint->ip,
		.sin_port = endpoint->port,
	};
	const struct sockaddr_in from = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = endpoint->source_ip,
	};
	const int on = 1;

	if (endpoint->source_ip != 0 &&
	    bind(connection->socket.fd, (const struct sockaddr *)&from,
		sizeof(from)) != 0)
		return false;
	setsockopt(
	    connection->socket.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(connection->socket.fd, (const struct sockaddr *)&to,
		sizeof(to)) == 0)
		connection->connected = true;
	else if (errno != EINPROGRESS)
		return false;
	return client_connection_watch(connection, !connection->connected);
}

struct client_connection *
client_connection_new(
    struct loom_fetcher *fetcher, const struct client_endpoint *endpoint)
{
	struct client_connection *connection =
	    talloc_zero(fetcher, struct client_connection);
	int saved_errno;

	if (connection == NULL) {
		errno = ENOMEM;
		return NULL;
	}
	connection->fetcher = fetcher;
	connection->socket.sockets = fetcher->sockets;
	connection->socket.on_ready = on_ready;
	http_head_init(&connection->head);
	connection->socket.fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	talloc_set_destructor(connection, connection_destructor);
	if (connection->socket.fd < 0 || !begin_connect(connection, endpoint))
		goto error;
	connection->pool = client_pool_get(fetcher, endpoint);
	connection->pool->connections++;
	return connection;

error:
	saved_errno = errno;
	talloc_free(connection);
	errno = saved_errno;
	return NULL;
}

bool
client_connection_is_reusable(const struct client_connection *connection)
{
	char byte;

	return recv(connection->socket.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
	    0 &&
	    errno == EAGAIN;
}

void
client_connection_attach(
    struct client_connection *connection, struct loom_fetch *fetch)
{
	connection->fetch = fetch;
	fetch->connection = connection;
	client_response_begin(connection);
}

static void
fill_send_buffer(struct loom_fetch *fetch)
{
	while (loom_buffer_length(&fetch->send_buffer) < SEND_FILL_TARGET &&
	    client_request_read_body(fetch))
		;
}

static void
report_sent(struct loom_fetch *fetch)
{
	if (fetch->sent)
		return;
	fetch->sent = true;
	if (fetch->ops->sent != NULL)
		fetch->ops->sent(fetch->arg);
}

enum client_send_result
client_connection_send(struct client_connection *connection)
{
	struct loom_fetch *fetch = connection->fetch;
	ssize_t nsent;

	if (!connection->connected || fetch->send_failed)
		return CLIENT_SEND_OK;
	for (;;) {
		fill_send_buffer(fetch);
		if (loom_buffer_length(&fetch->send_buffer) == 0)
			break;
		nsent = send(connection->socket.fd,
		    loom_buffer_peek(&fetch->send_buffer),
		    loom_buffer_length(&fetch->send_buffer), MSG_NOSIGNAL);
		if (nsent < 0 && errno == EAGAIN) {
			client_connection_watch(connection, true);
			return CLIENT_SEND_OK;
		}
		if (nsent < 0) {
			/* The server may have sent a response before it closed
			 * the connection; receive() determines the outcome. */
			fetch->send_failed = true;
			return fetch->sent ? CLIENT_SEND_OK
					   : CLIENT_SEND_REFUSED;
		}
		report_sent(fetch);
		loom_buffer_consume(&fetch->send_buffer, (size_t)nsent);
	}
	if (connection->waiting_writable)
		client_connection_watch(connection, false);
	return CLIENT_SEND_OK;
}

static bool
finish_connect(struct client_connection *connection)
{
	socklen_t size = sizeof(int);
	int so_error = 0;

	if (getsockopt(connection->socket.fd, SOL_SOCKET, SO_ERROR, &so_error,
		&size) != 0)
		so_error = errno;
	connection->connected = so_error == 0;
	errno = so_error;
	return connection->connected;
}

/*
 * If the response is complete before the whole request was sent, the rest is
 * not sent and the connection is closed.
 */
static void
finish_response(struct client_connection *connection)
{
	struct loom_fetch *fetch = connection->fetch;

	if (!fetch->body_complete ||
	    loom_buffer_length(&fetch->send_buffer) > 0)
		connection->reusable = false;
	client_fetch_complete(fetch);
}

/* Returns false if the fetch has ended; the connection may be freed then. */
static bool
parse_received(
    struct client_connection *connection, const uint8_t *data, size_t len)
{
	struct loom_fetch *fetch = connection->fetch;
	enum client_parse_result result;

	result = client_response_parse(connection, data, len);
	if (fetch->cancelled) {
		client_fetch_discard(fetch);
		return false;
	}
	switch (result) {
	case CLIENT_PARSE_COMPLETE:
		finish_response(connection);
		return false;
	case CLIENT_PARSE_FAILED:
		client_fetch_fail(fetch,
		    len == 0 ? "closed by the other side"
			     : client_response_error(connection));
		return false;
	case CLIENT_PARSE_MORE:
		break;
	}
	if (fetch->response_paused)
		client_connection_watch(
		    connection, connection->waiting_writable);
	return true;
}

static bool
is_request_sent(const struct loom_fetch *fetch)
{
	return fetch->body_complete &&
	    loom_buffer_length(&fetch->send_buffer) == 0;
}

static void
send_or_fail(struct client_connection *connection)
{
	if (client_connection_send(connection) == CLIENT_SEND_REFUSED)
		client_fetch_fail(connection->fetch, g_strerror(errno));
}

/*
 * Receives what there is, then sends.  A socket reports a reset once, to the
 * call that comes first.  If a send takes it, the end of the received data
 * looks like an orderly one, which would complete a response without a length.
 * A response is therefore read to its end before anything is sent, and the end
 * after a failed send counts as a reset.
 *
 * Leaves the rest to the next turn of the event loop, so that a server that
 * sends without end does not delay other connections.
 */
static void
receive(struct client_connection *connection)
{
	uint8_t *buf = sockets_read_buffer(connection->socket.sockets);
	struct loom_fetch *fetch = connection->fetch;
	unsigned reads = 0;
	ssize_t nread;

	do {
		nread = recv(
		    connection->socket.fd, buf, SOCKETS_READ_BUFFER_SIZE, 0);
		if (nread < 0 && errno == EAGAIN)
			break;
		if (nread < 0) {
			client_fetch_fail(fetch, g_strerror(errno));
			return;
		}
		if (nread == 0 && fetch->send_failed) {
			client_fetch_fail(
			    fetch, "closed while the request was sent");
			return;
		}
		if (!parse_received(connection, buf, (size_t)nread))
			return;
	} while (
	    (nread == SOCKETS_READ_BUFFER_SIZE || !is_request_sent(fetch)) &&
	    ++reads < READS_PER_TURN_MAX && !fetch->response_paused);
	send_or_fail(connection);
}

static void
on_ready(struct watched_socket *socket, uint32_t events)
{
	struct client_connection *connection =
	    (struct client_connection *)(void *)socket;
	struct loom_fetch *fetch = connection->fetch;

	if (fetch == NULL) {
		client_pool_close(connection);
		return;
	}
	if (!connection->connected && !finish_connect(connection)) {
		client_fetch_fail(fetch, g_strerror(errno));
		return;
	}
	if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
		receive(connection);
	else if ((events & EPOLLOUT) != 0)
		send_or_fail(connection);
}
