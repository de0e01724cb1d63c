/*
 * The listening socket of the HTTP server for peer daemons.  All workers accept
 * from duplicates of one socket; a worker that is woken for a connection which
 * another one has accepted gets EAGAIN.
 */

#include <errno.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/listen.h"
#include "http/peer_server.h"
#include "loom/clock.h"

/* Connections accepted in one event, so that a flood of connections cannot
 * delay calls. */
#define ACCEPT_BATCH 64

static bool
is_full(const struct loom_peer_server *server)
{
	return server->connections.length >= server->connections_max;
}

static void
ready(struct watched_socket *listener, uint32_t events)
{
	struct loom_peer_server *server =
	    (struct loom_peer_server *)(void *)listener;
	uint32_t i;
	int fd;

	(void)events;
	for (i = 0; i < ACCEPT_BATCH && !is_full(server); i++) {
		fd = accept4(
		    listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && errno == EAGAIN)
			return;
		if (fd < 0)
			break;
		peer_connection_new(server, fd);
	}
	/* At the connection limit, or out of file descriptors, stop accepting
	 * until a connection is closed. */
	if (i < ACCEPT_BATCH && server->connections.length > 0)
		sockets_watch(listener, 0);
}

static int
server_destructor(struct loom_peer_server *server)
{
	while (server->connections.head != NULL)
		peer_connection_abort(server->connections.head->data);
	if (server->listener.fd >= 0)
		close(server->listener.fd);
	return 0;
}

struct loom_peer_server *
loom_peer_server_new(TALLOC_CTX *mem, struct tevent_context *ev,
    struct loom_sockets *sockets, const struct loom_server_options *options,
    GError **error)
{
	struct loom_peer_server *server =
	    talloc_zero(mem, struct loom_peer_server);

	if (server == NULL)
		goto error;
	*server = (struct loom_peer_server){
		.listener = { .sockets = sockets,
		    .fd = fcntl(options->listen_fd, F_DUPFD_CLOEXEC, 0),
		    .on_ready = ready },
		.ev = ev,
		.ops = options->ops,
		.arg = options->arg,
		.connections_max = options->connections_max,
		.idle_us = options->idle_timeout_s * LOOM_US_PER_S,
		.malformed_requests =
		    loom_counter("loom_malformed_requests_total", NULL,
			"Requests that were answered without a code."),
		.unused_connections =
		    loom_counter("loom_connections_unused_total", NULL,
			"Connections that ended without one whole request."),
	};
	g_queue_init(&server->connections);
	talloc_set_destructor(server, server_destructor);
	if (server->listener.fd < 0 ||
	    !sockets_watch(&server->listener, EPOLLIN))
		goto error;
	return server;

error:
	loom_set_error(
	    error, LOOM_START, "the HTTP server for peer daemons cannot start");
	talloc_free(server);
	return NULL;
}

void
loom_peer_server_drain(struct loom_peer_server *server)
{
	server->draining = true;
}

void
loom_peer_server_drop_new_connections(struct loom_peer_server *server)
{
	listen_drop_new_connections(server->listener.fd);
}
