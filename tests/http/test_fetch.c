/*
 * The HTTP client against servers that close connections, truncate responses or
 * do not accept connections.
 */

#include <arpa/inet.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/fetch.h"
#include "support/test.h"

#define TIMEOUT_US (5 * LOOM_US_PER_S)
#define FILLERS 4
#define SOURCE "127.0.0.9"

/* How the server handles a request. */
enum action {
	ACTION_END, /* no request is expected; closes like ACTION_CLOSE */
	ACTION_RESPOND,
	ACTION_CLOSE, /* close without a response */
	ACTION_TRUNCATE, /* send half of a response, then close */
};

#define ACTIONS_MAX 4

struct server {
	int fd;
	uint16_t port;
	enum action actions[ACTIONS_MAX]; /* on the first connection */
	atomic_uint requests;
	GThread *thread;
};

static bool
read_request(int fd)
{
	char buf[4096];
	size_t len = 0;
	ssize_t got;

	while (len < sizeof(buf) - 1) {
		got = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);
		if (got <= 0)
			return false;
		len += (size_t)got;
		buf[len] = '\0';
		if (strstr(buf, "\r\n\r\n") != NULL)
			return true;
	}
	return false;
}

static void
send_text(int fd, const char *text)
{
	send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Later connections respond to every request, so that a request that is sent
 * again succeeds and is noticed by its result. */
static void
serve(struct server *server, int fd, bool first)
{
	enum action action;
	uint32_t i;

	for (i = 0; read_request(fd); i++) {
		atomic_fetch_add(&server->requests, 1);
		action = first && i < ACTIONS_MAX ? server->actions[i]
						  : ACTION_RESPOND;
		if (action == ACTION_TRUNCATE)
			send_text(fd,
			    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
		if (action != ACTION_RESPOND)
			return;
		send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	}
}

static void *
run_server(void *arg)
{
	struct server *server = arg;
	bool first = true;
	int fd;

	while ((fd = accept(server->fd, NULL, NULL)) >= 0) {
		serve(server, fd, first);
		close(fd);
		first = false;
	}
	return NULL;
}

static void
start_server(struct server *server)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_FATAL(bind(server->fd, (const struct sockaddr *)&address,
			    sizeof(address)) == 0);
	CU_ASSERT_FATAL(listen(server->fd, 8) == 0);
	server->port = loom_server_port(server->fd);
	server->thread = g_thread_new("server", run_server, server);
}

static void
stop_server(struct server *server)
{
	shutdown(server->fd, SHUT_RDWR);
	g_thread_join(server->thread);
	close(server->fd);
}

struct fetch_outcome {
	bool done;
	struct loom_fetch_outcome end;
	uint16_t status;
};

static void
on_headers(void *arg, struct loom_fetch *fetch)
{
	struct fetch_outcome *outcome = arg;

	outcome->status = loom_fetch_status(fetch);
}

static bool
on_data(void *arg, const uint8_t *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
	return true;
}

static void
on_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct fetch_outcome *outcome = arg;

	outcome->done = true;
	outcome->end = *end;
}

static const struct loom_fetch_ops ops = {
	.headers = on_headers,
	.data = on_data,
	.done = on_done,
};

static void
fetch(struct loom_fetcher *fetcher, struct tevent_context *ev, uint16_t port,
    struct fetch_outcome *outcome)
{
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	const struct loom_fetch_request request = {
		.method = "GET",
		.address = address,
		.target = "/",
		.timeout_us = TIMEOUT_US,
		.ops = &ops,
		.arg = outcome,
	};

	*outcome = (struct fetch_outcome){ .done = false };
	CU_ASSERT_PTR_NOT_NULL_FATAL(loom_fetch_start(fetcher, &request));
	while (!outcome->done)
		tevent_loop_once(ev);
	g_free(address);
}

/*
 * The second request is sent on a reused connection.  The upstream reads it,
 * may process it, and closes the connection before the response is complete.
 * The request must end with LOOM_FETCH_INTERRUPTED and sent set: sent again on
 * a new connection, it could be processed twice.
 */
static void
test_no_resend(void)
{
	static const struct {
		const char *name;
		enum action actions[ACTIONS_MAX];
		enum loom_fetch_result second;
		bool headers_received;
	} cases[] = {
		{ "answered", { ACTION_RESPOND, ACTION_RESPOND },
		    LOOM_FETCH_COMPLETE, true },
		{ "closed without a response", { ACTION_RESPOND, ACTION_CLOSE },
		    LOOM_FETCH_INTERRUPTED, false },
		{ "truncated response", { ACTION_RESPOND, ACTION_TRUNCATE },
		    LOOM_FETCH_INTERRUPTED, true },
	};
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	struct server server;
	struct fetch_outcome outcome;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&server, 0, sizeof(server));
		memcpy(
		    server.actions, cases[i].actions, sizeof(server.actions));
		start_server(&server);
		ev = tevent_context_init(NULL);
		fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
		fetch(fetcher, ev, server.port, &outcome);
		TEST_CHECK(outcome.end.result == LOOM_FETCH_COMPLETE,
		    "%s: first request", cases[i].name);
		fetch(fetcher, ev, server.port, &outcome);
		TEST_CHECK(outcome.end.result == cases[i].second &&
			outcome.end.sent &&
			outcome.end.headers_received ==
			    cases[i].headers_received,
		    "%s: %d sent %d answered %d: %s", cases[i].name,
		    outcome.end.result, outcome.end.sent,
		    outcome.end.headers_received, outcome.end.reason);
		TEST_CHECK(atomic_load(&server.requests) == 2,
		    "%s: the upstream got %u requests", cases[i].name,
		    atomic_load(&server.requests));
		TALLOC_FREE(fetcher);
		stop_server(&server);
		talloc_free(ev);
	}
}

/* A refused connection is reported as nothing sent. */
static void
test_not_connected(void)
{
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	GError *error = NULL;
	struct fetch_outcome outcome;
	uint16_t port;
	int fd;

	fd = loom_server_listen("127.0.0.1:0", &error);
	port = loom_server_port(fd);
	close(fd);
	ev = tevent_context_init(NULL);
	fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	fetch(fetcher, ev, port, &outcome);
	CU_ASSERT_EQUAL(outcome.end.result, LOOM_FETCH_CONNECT_FAILED);
	CU_ASSERT_FALSE(outcome.end.sent);
	TALLOC_FREE(fetcher);
	talloc_free(ev);
}

/* Fills the accept queue of a listening socket.  The kernel then drops further
 * SYNs, as a network partition does. */
static int
full_listener(uint16_t *port, int fillers[FILLERS])
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	uint32_t i;

	CU_ASSERT_FATAL(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	CU_ASSERT_FATAL(listen(fd, 0) == 0);
	*port = loom_server_port(fd);
	address.sin_port = htons(*port);
	for (i = 0; i < FILLERS; i++) {
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(
		    fillers[i], (struct sockaddr *)&address, sizeof(address));
	}
	return fd;
}

/*
 * A host behind a network partition neither accepts nor refuses the connection.
 * The connect must time out long before the request does and be reported as
 * nothing sent, so that another host can be tried.  Reported as a timeout of
 * the request, it would fail the call with most of its time left.
 */
static void
test_connect_timeout(void)
{
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	int fillers[FILLERS];
	struct fetch_outcome outcome;
	uint16_t port;
	uint32_t i;
	int fd;

	fd = full_listener(&port, fillers);
	ev = tevent_context_init(NULL);
	fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	fetch(fetcher, ev, port, &outcome);
	TEST_CHECK(outcome.end.result == LOOM_FETCH_CONNECT_FAILED &&
		!outcome.end.sent,
	    "%d sent %d: %s", outcome.end.result, outcome.end.sent,
	    outcome.end.reason);
	TALLOC_FREE(fetcher);
	talloc_free(ev);
	for (i = 0; i < FILLERS; i++)
		close(fillers[i]);
	close(fd);
}

/*
 * A fetch is cancelled while it connects, and the next connection gets the same
 * descriptor number.  Guards against a fault in which the new socket could not
 * be watched, so that every later request of the worker failed.
 */
static void
test_fd_number_reused(void)
{
	struct fetch_outcome cancelled_outcome = { .done = false }, outcome;
	struct loom_fetch_request request = {
		.method = "GET",
		.target = "/",
		.timeout_us = TIMEOUT_US,
		.ops = &ops,
		.arg = &cancelled_outcome,
	};
	struct server server = { .actions = {
				     ACTION_RESPOND, ACTION_RESPOND } };
	struct loom_fetcher *fetcher;
	struct loom_fetch *hanging;
	struct tevent_context *ev;
	int fillers[FILLERS];
	uint16_t port;
	uint32_t i;
	char *address;
	int fd;

	fd = full_listener(&port, fillers);
	address = g_strdup_printf("127.0.0.1:%u", port);
	request.address = address;
	ev = tevent_context_init(NULL);
	fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	start_server(&server);
	hanging = loom_fetch_start(fetcher, &request);
	CU_ASSERT_PTR_NOT_NULL_FATAL(hanging);
	loom_fetch_cancel(hanging);
	for (i = 0; i < 2; i++) {
		fetch(fetcher, ev, server.port, &outcome);
		TEST_CHECK(outcome.end.result == LOOM_FETCH_COMPLETE,
		    "request %u: %d, %s", i, outcome.end.result,
		    outcome.end.reason);
	}
	TALLOC_FREE(fetcher);
	stop_server(&server);
	talloc_free(ev);
	for (i = 0; i < FILLERS; i++)
		close(fillers[i]);
	close(fd);
	g_free(address);
}

/* On a host with several addresses, connections come from the one that its
 * operator configured. */
static void
test_source(void)
{
	struct sockaddr_in from;
	socklen_t size = sizeof(from);
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	char ip[INET_ADDRSTRLEN];
	GError *error = NULL;
	struct fetch_outcome outcome = { .done = false };
	struct loom_fetch_request request = {
		.method = "GET",
		.target = "/",
		.timeout_us = TIMEOUT_US,
		.source = SOURCE,
		.ops = &ops,
		.arg = &outcome,
	};
	int fd, accepted = -1;
	char *address;

	fd = loom_server_listen("127.0.0.1:0", &error);
	address = g_strdup_printf("127.0.0.1:%u", loom_server_port(fd));
	request.address = address;
	ev = tevent_context_init(NULL);
	fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	CU_ASSERT_PTR_NOT_NULL_FATAL(loom_fetch_start(fetcher, &request));
	while (!outcome.done && accepted < 0) {
		tevent_loop_once(ev);
		accepted = accept(fd, (struct sockaddr *)&from, &size);
	}
	CU_ASSERT_FATAL(accepted >= 0);
	inet_ntop(AF_INET, &from.sin_addr, ip, sizeof(ip));
	CU_ASSERT_STRING_EQUAL(ip, SOURCE);
	close(accepted);
	close(fd);
	TALLOC_FREE(fetcher);
	talloc_free(ev);
	g_free(address);
}

static const struct test_case tests[] = {
	{ "no resend", test_no_resend },
	{ "not connected", test_not_connected },
	{ "connect timeout", test_connect_timeout },
	{ "descriptor number reused", test_fd_number_reused },
	{ "source address", test_source },
};

TEST_MAIN("fetch", tests)
