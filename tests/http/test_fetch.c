/*
 * The calling side of HTTP against a server that misbehaves on purpose.
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

/* What the server does with each request of one connection, in order. */
enum deed {
	DEED_END, /* no more requests are expected on it */
	DEED_ANSWER,
	DEED_CLOSE, /* read the request, then close without a word */
	DEED_CUT, /* send half of an answer, then close */
};

#define DEEDS_MAX 4

struct server {
	int fd;
	uint16_t port;
	enum deed deeds[DEEDS_MAX]; /* of the first connection */
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

/* Later connections answer everything, so that a request that is sent again
 * would look like a success. */
static void
serve(struct server *server, int fd, bool first)
{
	enum deed deed;
	uint32_t i;

	for (i = 0; read_request(fd); i++) {
		atomic_fetch_add(&server->requests, 1);
		deed = first && i < DEEDS_MAX ? server->deeds[i] : DEED_ANSWER;
		if (deed == DEED_CUT)
			send_text(fd,
			    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
		if (deed != DEED_ANSWER)
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

struct seen {
	bool done;
	struct loom_fetch_end end;
	uint16_t status;
};

static void
on_headers(void *arg, struct loom_fetch *fetch)
{
	struct seen *seen = arg;

	seen->status = loom_fetch_status(fetch);
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
on_done(void *arg, const struct loom_fetch_end *end)
{
	struct seen *seen = arg;

	seen->done = true;
	seen->end = *end;
}

static const struct loom_fetch_ops ops = {
	.headers = on_headers,
	.data = on_data,
	.done = on_done,
};

static void
fetch(struct loom_fetcher *fetcher, struct tevent_context *ev, uint16_t port,
    struct seen *seen)
{
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	const struct loom_fetch_request request = {
		.method = "GET",
		.address = address,
		.target = "/",
		.timeout_us = TIMEOUT_US,
		.ops = &ops,
		.arg = seen,
	};

	*seen = (struct seen){ .done = false };
	CU_ASSERT_PTR_NOT_NULL_FATAL(loom_fetch_start(fetcher, &request));
	while (!seen->done)
		tevent_loop_once(ev);
	g_free(address);
}

/*
 * The caller's second request goes out on a kept connection.  The upstream
 * reads it, and perhaps runs it, and closes without an answer.  Sent again on
 * a new connection the upstream would run it twice; it must end as cut after
 * it was sent.
 */
static void
test_never_sent_again(void)
{
	static const struct {
		const char *name;
		enum deed deeds[DEEDS_MAX];
		enum loom_fetch_result second;
		bool answered;
	} cases[] = {
		{ "answered", { DEED_ANSWER, DEED_ANSWER }, LOOM_FETCH_WHOLE,
		    true },
		{ "closed unanswered", { DEED_ANSWER, DEED_CLOSE },
		    LOOM_FETCH_CUT, false },
		{ "cut in the answer", { DEED_ANSWER, DEED_CUT },
		    LOOM_FETCH_CUT, true },
	};
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	struct server server;
	struct seen seen;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&server, 0, sizeof(server));
		memcpy(server.deeds, cases[i].deeds, sizeof(server.deeds));
		start_server(&server);
		ev = tevent_context_init(NULL);
		fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
		fetch(fetcher, ev, server.port, &seen);
		TEST_CHECK(seen.end.result == LOOM_FETCH_WHOLE, "%s: first",
		    cases[i].name);
		fetch(fetcher, ev, server.port, &seen);
		TEST_CHECK(seen.end.result == cases[i].second &&
			seen.end.sent && seen.end.answered == cases[i].answered,
		    "%s: %d sent %d answered %d: %s", cases[i].name,
		    seen.end.result, seen.end.sent, seen.end.answered,
		    seen.end.reason);
		TEST_CHECK(atomic_load(&server.requests) == 2,
		    "%s: the upstream got %u requests", cases[i].name,
		    atomic_load(&server.requests));
		TALLOC_FREE(fetcher);
		stop_server(&server);
		talloc_free(ev);
	}
}

/* No connection: nothing was sent, and the caller may be told so. */
static void
test_not_connected(void)
{
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	GError *error = NULL;
	struct seen seen;
	uint16_t port;
	int fd;

	fd = loom_server_listen("127.0.0.1:0", &error);
	port = loom_server_port(fd);
	close(fd);
	ev = tevent_context_init(NULL);
	fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	fetch(fetcher, ev, port, &seen);
	CU_ASSERT_EQUAL(seen.end.result, LOOM_FETCH_CONNECT);
	CU_ASSERT_FALSE(seen.end.sent);
	TALLOC_FREE(fetcher);
	talloc_free(ev);
}

/* Connections that nobody accepts fill the queue of a listening socket; the
 * kernel then drops whoever else comes, as a cut network does. */
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
 * The host is across a cut: it neither takes nor refuses the connection.  The
 * connect gives up long before the request's time is up, nothing was sent,
 * and another host can still be tried; told as the end of the time, the
 * caller would be refused at once with most of its time left.
 */
static void
test_connect_hangs(void)
{
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	int fillers[FILLERS];
	struct seen seen;
	uint16_t port;
	uint32_t i;
	int fd;

	fd = full_listener(&port, fillers);
	ev = tevent_context_init(NULL);
	fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	fetch(fetcher, ev, port, &seen);
	TEST_CHECK(seen.end.result == LOOM_FETCH_CONNECT && !seen.end.sent,
	    "%d sent %d: %s", seen.end.result, seen.end.sent, seen.end.reason);
	TALLOC_FREE(fetcher);
	talloc_free(ev);
	for (i = 0; i < FILLERS; i++)
		close(fillers[i]);
	close(fd);
}

/*
 * Guards against a connection that is given up while it is made, and whose
 * descriptor's number the next one gets: every later request of the worker
 * failed, since its socket could not be watched.
 */
static void
test_number_taken_again(void)
{
	struct seen gone = { .done = false }, seen;
	struct loom_fetch_request request = {
		.method = "GET",
		.target = "/",
		.timeout_us = TIMEOUT_US,
		.ops = &ops,
		.arg = &gone,
	};
	struct server server = { .deeds = { DEED_ANSWER, DEED_ANSWER } };
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
		fetch(fetcher, ev, server.port, &seen);
		TEST_CHECK(seen.end.result == LOOM_FETCH_WHOLE,
		    "request %u: %d, %s", i, seen.end.result, seen.end.reason);
	}
	TALLOC_FREE(fetcher);
	stop_server(&server);
	talloc_free(ev);
	for (i = 0; i < FILLERS; i++)
		close(fillers[i]);
	close(fd);
	g_free(address);
}

/* A host with several addresses is known to others by the one that its
 * operator set. */
static void
test_source(void)
{
	struct sockaddr_in from;
	socklen_t size = sizeof(from);
	struct loom_fetcher *fetcher;
	struct tevent_context *ev;
	char ip[INET_ADDRSTRLEN];
	GError *error = NULL;
	struct seen seen = { .done = false };
	struct loom_fetch_request request = {
		.method = "GET",
		.target = "/",
		.timeout_us = TIMEOUT_US,
		.source = SOURCE,
		.ops = &ops,
		.arg = &seen,
	};
	int fd, accepted = -1;
	char *address;

	fd = loom_server_listen("127.0.0.1:0", &error);
	address = g_strdup_printf("127.0.0.1:%u", loom_server_port(fd));
	request.address = address;
	ev = tevent_context_init(NULL);
	fetcher = loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	CU_ASSERT_PTR_NOT_NULL_FATAL(loom_fetch_start(fetcher, &request));
	while (!seen.done && accepted < 0) {
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
	{ "never sent again", test_never_sent_again },
	{ "not connected", test_not_connected },
	{ "connect hangs", test_connect_hangs },
	{ "number taken again", test_number_taken_again },
	{ "source address", test_source },
};

TEST_MAIN("fetch", tests)
