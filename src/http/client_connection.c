/*
 * One socket of the HTTP client: it carries one request at a time.
 */

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"

/* Asked of the request's owner before a send, so that headers and a short body
 * are one segment. */
#define SEND_AT_ONCE (16 * 1024)

static void ready(struct watched_socket *, uint32_t events);

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
	const bool readable = fetch == NULL || !fetch->data_paused;

	connection->waits_writable = writable;
	return sockets_watch(&connection->socket,
	    (readable ? EPOLLIN : 0) | (writable ? EPOLLOUT : 0));
}

/* A connect that is not decided at once is waited for. */
static bool
begin_connect(
    struct client_connection *connection, const struct client_key *key)
{
	const struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = key->ip,
		.sin_port = key->port,
	};
	const struct sockaddr_in from = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = key->source_ip,
	};
	const int on = 1;

	if (key->source_ip != 0 &&
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
    struct loom_fetcher *fetcher, const struct client_key *key)
{
	struct client_connection *connection =
	    talloc_zero(fetcher, struct client_connection);
	int cause;

	if (connection == NULL) {
		errno = ENOMEM;
		return NULL;
	}
	connection->fetcher = fetcher;
	connection->socket.sockets = fetcher->sockets;
	connection->socket.ready = ready;
	http_head_init(&connection->head);
	connection->socket.fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	talloc_set_destructor(connection, connection_destructor);
	if (connection->socket.fd < 0 || !begin_connect(connection, key))
		goto error;
	connection->host = client_pool_host(fetcher, key);
	connection->host->connections++;
	return connection;

error:
	cause = errno;
	talloc_free(connection);
	errno = cause;
	return NULL;
}

bool
client_connection_is_quiet(const struct client_connection *connection)
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
	client_answer_begin(connection);
}

static void
fill(struct loom_fetch *fetch)
{
	while (loom_buffer_length(&fetch->out) < SEND_AT_ONCE &&
	    client_request_more(fetch))
		;
}

enum client_sending
client_connection_send(struct client_connection *connection)
{
	struct loom_fetch *fetch = connection->fetch;
	ssize_t taken;

	if (!connection->connected || fetch->send_failed)
		return CLIENT_SENDING_ON;
	for (;;) {
		fill(fetch);
		if (loom_buffer_length(&fetch->out) == 0)
			break;
		taken =
		    send(connection->socket.fd, loom_buffer_peek(&fetch->out),
			loom_buffer_length(&fetch->out), MSG_NOSIGNAL);
		if (taken < 0 && errno == EAGAIN) {
			client_connection_watch(connection, true);
			return CLIENT_SENDING_ON;
		}
		if (taken < 0) {
			/* An answer may have come before: reading tells. */
			fetch->send_failed = true;
			return fetch->sent ? CLIENT_SENDING_ON
					   : CLIENT_SENDING_REFUSED;
		}
		fetch->sent = true;
		loom_buffer_consume(&fetch->out, (size_t)taken);
	}
	if (connection->waits_writable)
		client_connection_watch(connection, false);
	return CLIENT_SENDING_ON;
}

static bool
finish_connect(struct client_connection *connection)
{
	socklen_t size = sizeof(int);
	int cause = 0;

	if (getsockopt(connection->socket.fd, SOL_SOCKET, SO_ERROR, &cause,
		&size) != 0)
		cause = errno;
	connection->connected = cause == 0;
	errno = cause;
	return connection->connected;
}

/* An answer's end.  What is left of a request that was answered before it was
 * whole is not sent: the connection is closed. */
static void
complete(struct client_connection *connection)
{
	struct loom_fetch *fetch = connection->fetch;

	if (!fetch->body_all || loom_buffer_length(&fetch->out) > 0)
		connection->may_keep = false;
	client_fetch_whole(fetch);
}

/* False when the request has ended, and the connection may be gone. */
static bool
take(struct client_connection *connection, const uint8_t *data, size_t len)
{
	struct loom_fetch *fetch = connection->fetch;
	enum client_reading reading;

	reading = client_answer_take(connection, data, len);
	if (fetch->cancelled) {
		client_fetch_drop(fetch);
		return false;
	}
	switch (reading) {
	case CLIENT_READING_COMPLETE:
		complete(connection);
		return false;
	case CLIENT_READING_BROKEN:
		client_fetch_broken(fetch,
		    len == 0 ? "closed by the other side"
			     : client_answer_problem(connection));
		return false;
	case CLIENT_READING_ON:
		break;
	}
	if (fetch->data_paused)
		client_connection_watch(connection, connection->waits_writable);
	return true;
}

static void
receive(struct client_connection *connection)
{
	uint8_t *block = sockets_block(connection->socket.sockets);
	ssize_t got;

	do {
		got = recv(connection->socket.fd, block, SOCKETS_BLOCK, 0);
		if (got < 0 && errno == EAGAIN)
			return;
		if (got < 0) {
			client_fetch_broken(
			    connection->fetch, g_strerror(errno));
			return;
		}
		if (!take(connection, block, (size_t)got))
			return;
	} while (got == SOCKETS_BLOCK && !connection->fetch->data_paused);
	/* the other side may have said to go on */
	client_connection_send(connection);
}

static void
ready(struct watched_socket *socket, uint32_t events)
{
	struct client_connection *connection =
	    (struct client_connection *)(void *)socket;
	struct loom_fetch *fetch = connection->fetch;

	if (fetch == NULL) {
		client_pool_close(connection);
		return;
	}
	if (!connection->connected && !finish_connect(connection)) {
		client_fetch_broken(fetch, g_strerror(errno));
		return;
	}
	if ((events & EPOLLOUT) != 0 &&
	    client_connection_send(connection) == CLIENT_SENDING_REFUSED) {
		client_fetch_broken(fetch, g_strerror(errno));
		return;
	}
	if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
		receive(connection);
}
