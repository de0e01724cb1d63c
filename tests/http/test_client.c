/*
 * The HTTP client against scripted servers: which responses are accepted, when
 * a connection is reused, and how requests are serialized.
 */

#include <arpa/inet.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/fetch.h"
#include "support/test.h"

#define TIMEOUT_US (5 * LOOM_US_PER_S)
#define SHORT_TIMEOUT_US (60 * LOOM_US_PER_MS)
#define REQUEST_MAX 8192
#define CONNECTIONS_MAX 80

/* How a connection ends after the response to its first request. */
enum ending {
	ENDING_OPEN,
	ENDING_CLOSE,
	ENDING_RESET,
	ENDING_NO_RESPONSE, /* the request is read, the connection stays open */
};

/* How the server handles the first request of the first connection.  All other
 * requests get a plain 200 response. */
struct script {
	const char *response; /* sent after the request headers */
	const char *response_to_body; /* sent after the request body, or NULL */
	const char
	    *unsolicited; /* sent once response_received is set; or NULL */
	size_t filler_bytes; /* number of zero bytes after the response */
	enum ending ending;
	bool bytewise; /* send byte by byte */
};

struct server {
	int fd;
	const struct script *script;
	char request[REQUEST_MAX]; /* the first one, as received */
	atomic_uint connections;
	atomic_uint last_connection; /* index; of the latest request */
	atomic_bool response_received; /* set by the client */
	atomic_bool script_done;
	GThread *thread;
	GThread *threads[CONNECTIONS_MAX];
};

struct server_connection {
	struct server *server;
	int fd;
	uint32_t index;
};

static void
send_text(int fd, const char *text, bool bytewise)
{
	const size_t len = strlen(text);
	size_t i;

	if (!bytewise) {
		send(fd, text, len, MSG_NOSIGNAL);
		return;
	}
	for (i = 0; i < len; i++)
		send(fd, text + i, 1, MSG_NOSIGNAL);
}

static bool
has_whole_body(const char *request)
{
	const char *body = strstr(request, "\r\n\r\n") + 4;
	const char *length = strstr(request, "Content-Length: ");

	if (strstr(request, "Transfer-Encoding: chunked") != NULL)
		return strstr(body, "0\r\n\r\n") != NULL;
	return length == NULL || strlen(body) >= strtoul(length + 16, NULL, 10);
}

/* Reads a request, or at least its headers if with_body is false. */
static bool
read_request(int fd, char *buf, bool with_body)
{
	size_t len = strlen(buf);
	ssize_t got;

	for (;;) {
		if (strstr(buf, "\r\n\r\n") != NULL &&
		    (!with_body || has_whole_body(buf)))
			return true;
		if (len >= REQUEST_MAX - 1)
			return false;
		got = recv(fd, buf + len, REQUEST_MAX - 1 - len, 0);
		if (got <= 0)
			return false;
		len += (size_t)got;
		buf[len] = '\0';
	}
}

static void
wait_for(const atomic_bool *flag)
{
	while (!atomic_load(flag))
		g_usleep(100);
}

static void
send_filler(int fd, size_t bytes)
{
	static const char block[4096];

	while (bytes > 0 &&
	    send(fd, block, MIN(bytes, sizeof(block)), MSG_NOSIGNAL) > 0)
		bytes -= MIN(bytes, sizeof(block));
}

static void
reset_at_close(int fd)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Runs the script; false if the connection is to be closed. */
static bool
run_script(struct server *server, int fd)
{
	const struct script *script = server->script;

	server->request[0] = '\0';
	if (!read_request(fd, server->request, false))
		return false;
	if (script->ending == ENDING_NO_RESPONSE)
		return true;
	send_text(fd, script->response, script->bytewise);
	if (script->response_to_body != NULL) {
		if (!read_request(fd, server->request, true))
			return false;
		send_text(fd, script->response_to_body, script->bytewise);
	}
	send_filler(fd, script->filler_bytes);
	if (script->unsolicited != NULL) {
		wait_for(&server->response_received);
		send_text(fd, script->unsolicited, false);
	}
	if (script->ending == ENDING_RESET)
		reset_at_close(fd);
	if (script->ending != ENDING_OPEN)
		return false;
	atomic_store(&server->script_done, true);
	return true;
}

static void *
run_connection(void *arg)
{
	struct server_connection *connection = arg;
	struct server *server = connection->server;
	char buf[REQUEST_MAX];
	bool open = true;

	if (connection->index == 0)
		open = run_script(server, connection->fd);
	buf[0] = '\0';
	while (open && read_request(connection->fd, buf, true)) {
		atomic_store(&server->last_connection, connection->index);
		send_text(connection->fd,
		    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
		buf[0] = '\0';
	}
	close(connection->fd);
	if (connection->index == 0)
		atomic_store(&server->script_done, true);
	g_free(connection);
	return NULL;
}

static void *
run_server(void *arg)
{
	struct server *server = arg;
	struct server_connection *connection;
	uint32_t n = 0;
	int fd;

	while (
	    n < CONNECTIONS_MAX && (fd = accept(server->fd, NULL, NULL)) >= 0) {
		connection = g_new(struct server_connection, 1);
		connection->server = server;
		connection->fd = fd;
		connection->index = n;
		atomic_store(&server->connections, n + 1);
		server->threads[n++] =
		    g_thread_new("connection", run_connection, connection);
	}
	return NULL;
}

struct client {
	struct tevent_context *ev;
	struct loom_fetcher *fetcher;
	struct server server;
	char *address;
};

static void
client_start(struct client *client, const struct script *script)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct server *server = &client->server;

	memset(client, 0, sizeof(*client));
	server->script = script;
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_FATAL(bind(server->fd, (const struct sockaddr *)&address,
			    sizeof(address)) == 0);
	CU_ASSERT_FATAL(listen(server->fd, CONNECTIONS_MAX) == 0);
	client->address =
	    g_strdup_printf("127.0.0.1:%u", loom_server_port(server->fd));
	server->thread = g_thread_new("server", run_server, server);
	client->ev = tevent_context_init(NULL);
	client->fetcher = loom_fetcher_new(
	    client->ev, client->ev, loom_sockets_new(client->ev, client->ev));
}

static void
client_stop(struct client *client)
{
	struct server *server = &client->server;
	uint32_t i;

	TALLOC_FREE(client->fetcher);
	talloc_free(client->ev);
	shutdown(server->fd, SHUT_RDWR);
	g_thread_join(server->thread);
	for (i = 0; i < atomic_load(&server->connections); i++)
		g_thread_join(server->threads[i]);
	close(server->fd);
	g_free(client->address);
}

/* Input and outcome of a request. */
struct request_state {
	struct loom_fetch *fetch;
	const char *body; /* to be sent; advances as it is read */
	bool body_stalls; /* never reports the end of the body */
	uint32_t body_reads;
	bool reject, cancel_at_headers, cancel_at_data, pause;
	uint32_t headers_calls;
	uint32_t sent_calls;
	size_t nheaders;
	char extra_header[32]; /* value of the X-Extra header */
	GString *data;
	bool done;
	struct loom_fetch_outcome end;
	uint16_t status;
};

static size_t
read_body(void *arg, uint8_t *buf, size_t max, bool *end)
{
	struct request_state *state = arg;
	const size_t len = MIN(max, strlen(state->body));

	state->body_reads++;
	memcpy(buf, state->body, len);
	state->body += len;
	*end = *state->body == '\0' && !state->body_stalls;
	return len;
}

static void
on_headers(void *arg, struct loom_fetch *fetch)
{
	struct request_state *state = arg;
	const char *extra_header = loom_fetch_header(fetch, "x-extra");

	state->headers_calls++;
	state->status = loom_fetch_status(fetch);
	loom_fetch_headers(fetch, &state->nheaders);
	g_strlcpy(state->extra_header, extra_header == NULL ? "" : extra_header,
	    sizeof(state->extra_header));
	if (state->reject)
		loom_fetch_reject(fetch);
	if (state->cancel_at_headers)
		loom_fetch_cancel(fetch);
}

static bool
on_data(void *arg, const uint8_t *data, size_t len)
{
	struct request_state *state = arg;

	g_string_append_len(state->data, (const char *)data, (gssize)len);
	if (state->cancel_at_data)
		loom_fetch_cancel(state->fetch);
	return !state->pause;
}

static void
on_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct request_state *state = arg;

	state->done = true;
	state->end = *end;
}

static const struct loom_fetch_ops ops = {
	.read_body = read_body,
	.headers = on_headers,
	.data = on_data,
	.done = on_done,
};

static struct loom_fetch_request
plain_request(const struct client *client, struct request_state *state)
{
	return (struct loom_fetch_request){
		.method = "GET",
		.address = client->address,
		.target = "/a?b=c",
		.timeout_us = TIMEOUT_US,
		.ops = &ops,
		.arg = state,
	};
}

static void
start_request(struct client *client, const struct loom_fetch_request *request,
    struct request_state *state)
{
	state->data = g_string_new(NULL);
	state->fetch = loom_fetch_start(client->fetcher, request);
	CU_ASSERT_PTR_NOT_NULL_FATAL(state->fetch);
}

static void
finish_request(struct client *client, struct request_state *state)
{
	while (!state->done)
		tevent_loop_once(client->ev);
}

static void
request_state_clear(struct request_state *state)
{
	g_string_free(state->data, TRUE);
	state->data = NULL;
}

/* Sends another request and returns whether it uses the first connection. */
static bool
reuses_first_connection(struct client *client)
{
	struct request_state state = { .done = false };
	const struct loom_fetch_request request = plain_request(client, &state);

	start_request(client, &request, &state);
	finish_request(client, &state);
	TEST_CHECK(state.end.result == LOOM_FETCH_COMPLETE, "next request: %s",
	    state.end.reason);
	request_state_clear(&state);
	return atomic_load(&client->server.last_connection) == 0;
}

#define OK "HTTP/1.1 200 OK\r\n"

static const struct response_case {
	const char *name;
	const char *method;
	const char *response;
	enum ending ending;
	enum loom_fetch_result result;
	uint16_t status; /* 0: no response headers arrived */
	const char *data;
	bool reused;
} response_cases[] = {
	{ "length", "GET", OK "Content-Length: 5\r\n\r\nhello", ENDING_OPEN,
	    LOOM_FETCH_COMPLETE, 200, "hello", true },
	{ "length 0", "GET", OK "Content-Length: 0\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_COMPLETE, 200, "", true },
	{ "chunks", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "hello", true },
	{ "trailers", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\nX-Extra: late\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "hello", true },
	{ "cut chunks", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ENDING_CLOSE,
	    LOOM_FETCH_INTERRUPTED, 200, "hello", false },
	{ "body until close", "GET", OK "\r\nhello", ENDING_CLOSE,
	    LOOM_FETCH_COMPLETE, 200, "hello", false },
	{ "body until reset", "GET", OK "\r\n", ENDING_RESET,
	    LOOM_FETCH_INTERRUPTED, 200, "", false },
	{ "cut", "GET", OK "Content-Length: 10\r\n\r\nhello", ENDING_CLOSE,
	    LOOM_FETCH_INTERRUPTED, 200, "hello", false },
	{ "cut headers", "GET", OK "Content-Le", ENDING_CLOSE,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "no response", "GET", "", ENDING_CLOSE, LOOM_FETCH_INTERRUPTED, 0, "",
	    false },
	{ "no content", "GET", "HTTP/1.1 204 None\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_COMPLETE, 204, "", true },
	{ "no content with a length", "GET",
	    "HTTP/1.1 204 None\r\nContent-Length: 9\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_COMPLETE, 204, "", true },
	{ "not modified", "GET",
	    "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_COMPLETE, 304, "", true },
	{ "head", "HEAD", OK "Content-Length: 9\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_COMPLETE, 200, "", true },
	{ "100 continue", "GET",
	    "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "ok", true },
	{ "early hints", "GET",
	    "HTTP/1.1 103 Hints\r\nX-Extra: hint\r\n\r\n" OK
	    "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "ok", true },
	{ "several interim responses", "GET",
	    "HTTP/1.1 100 Continue\r\n\r\n"
	    "HTTP/1.1 103 Hints\r\nX-Extra: hint\r\n\r\n"
	    "HTTP/1.1 102 Processing\r\n\r\n" OK "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "ok", true },
	{ "interim response with a length alone", "GET",
	    "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\n" OK
	    "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "ok", true },
	/* Guards against the body of an interim response being passed on in
	 * front of the final one's. */
	{ "100 continue with a body", "GET",
	    "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nwrong" OK
	    "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "102 with a body", "GET",
	    "HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\nwrong" OK
	    "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "early hints with chunks", "GET",
	    "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "5\r\nwrong\r\n0\r\n\r\n" OK "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "a body after the second interim response", "GET",
	    "HTTP/1.1 100 Continue\r\n\r\n"
	    "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\nwrong" OK
	    "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "cut interim response", "GET", "HTTP/1.1 103 Hints\r\nX-Ex",
	    ENDING_CLOSE, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "cut after an interim response", "GET", "HTTP/1.1 103 Hints\r\n\r\n",
	    ENDING_CLOSE, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "connection: close", "GET",
	    OK "Connection: close\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_COMPLETE, 200, "ok", false },
	{ "keep-alive timeout of 0", "GET",
	    OK "Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "ok", false },
	{ "keep-alive timeout", "GET",
	    OK "Keep-Alive: max=9, timeout=60\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "ok", true },
	{ "HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "ok", false },
	{ "switching protocols", "GET",
	    "HTTP/1.1 101 Other\r\nConnection: upgrade\r\n"
	    "Upgrade: other\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	/* Guards against an invalid status being taken for an informational
	 * one: the client would wait for the final response until its deadline.
	 */
	{ "status 000", "GET", "HTTP/1.1 000 None\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	/* Guards against a body that is passed on still encoded: the client
	 * never requests a transfer coding other than chunked. */
	{ "gzip and chunked", "GET",
	    OK "Transfer-Encoding: gzip, chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "gzip until close", "GET", OK "Transfer-Encoding: gzip\r\n\r\nhello",
	    ENDING_CLOSE, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "chunked in upper case", "GET",
	    OK "Transfer-Encoding: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_COMPLETE, 200, "hello", true },
	{ "HTTP/2", "GET", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "space after a header name", "GET", OK "Content-Length : 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "garbage", "GET", "\x16\x03\x01 and so on\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "two Content-Lengths", "GET",
	    OK "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "Content-Length and chunked", "GET",
	    OK "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "status of four digits", "GET",
	    "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "status of two digits", "GET",
	    "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "status 099", "GET", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "status 600", "GET", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "status 999", "GET", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "letter in the status", "GET",
	    "HTTP/1.1 2O0 OK\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "control byte in the reason", "GET",
	    "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "DEL in the reason", "GET",
	    "HTTP/1.1 200 O\x7fK\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "carriage return in the reason", "GET",
	    "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "line feeds alone", "GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "folded line", "GET",
	    OK "X-Fold: a\r\n b\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "line without a name", "GET", OK ": a\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "line without a colon", "GET",
	    OK "X-None\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "blank in a name", "GET", OK "X A: a\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "tab in a name", "GET", OK "X\tA: a\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "control byte in a name", "GET",
	    OK "X\x01"
	       "A: a\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "DEL in a name", "GET",
	    OK "X\x7f"
	       "A: a\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "byte of 0x80 in a name", "GET",
	    OK "X\x80"
	       "A: a\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "quote in a name", "GET", OK "X\"A: a\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "bracket in a name", "GET",
	    OK "X[A: a\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "control byte in a value", "GET",
	    OK "X-A: a\x01\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
	{ "other bytes after a chunk", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "2\r\nokxx0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 200, "ok", false },
	{ "line feed after a chunk", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "2\r\nok\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 200, "ok", false },
	{ "blank before a chunk's size", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       " 2\r\nok\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 200, "", false },
	{ "sign before a chunk's size", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "+2\r\nok\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 200, "", false },
	{ "chunk's size without digits", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "\r\nok\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 200, "", false },
	{ "control byte in an extension", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "2;\x01\r\nok\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 200, "", false },
	{ "trailer without a colon", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "2\r\nok\r\n0\r\nX-T\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_INTERRUPTED, 200, "ok", false },
	{ "non-numeric Content-Length", "GET",
	    OK "Content-Length: five\r\n\r\nhello", ENDING_OPEN,
	    LOOM_FETCH_INTERRUPTED, 0, "", false },
};

static void
check_response(const struct response_case *c, bool bytewise)
{
	const struct script script = {
		.response = c->response,
		.ending = c->ending,
		.bytewise = bytewise,
	};
	struct request_state state = { .done = false };
	struct loom_fetch_request request;
	struct client client;
	bool reused;

	client_start(&client, &script);
	request = plain_request(&client, &state);
	request.method = c->method;
	start_request(&client, &request, &state);
	finish_request(&client, &state);
	TEST_CHECK(state.end.result == c->result && state.end.sent,
	    "%s: result %d: %s", c->name, state.end.result, state.end.reason);
	/* a reset may discard headers that were sent before it */
	TEST_CHECK(c->ending == ENDING_RESET ||
		(state.status == c->status &&
		    state.end.headers_received == (c->status != 0)),
	    "%s: status %u", c->name, state.status);
	TEST_CHECK(strcmp(state.data->str, c->data) == 0, "%s: got '%s'",
	    c->name, state.data->str);
	TEST_CHECK(state.extra_header[0] == '\0', "%s: unexpected X-Extra '%s'",
	    c->name, state.extra_header);
	request_state_clear(&state);
	reused = reuses_first_connection(&client);
	TEST_CHECK(
	    reused == c->reused, "%s: connection reused: %d", c->name, reused);
	client_stop(&client);
}

static void
test_responses(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(response_cases); i++) {
		check_response(&response_cases[i], false);
		check_response(&response_cases[i], true);
	}
}

/* Guards against an unsolicited response being taken for the response to the
 * next request. */
static void
test_unsolicited_bytes(void)
{
	static const struct {
		const char *name;
		struct script script;
	} cases[] = {
		{ "with the response",
		    { .response = OK "Content-Length: 2\r\n\r\nok" OK
				     "Content-Length: 5\r\n\r\nother" } },
		{ "while idle",
		    { .response = OK "Content-Length: 2\r\n\r\nok",
			.unsolicited = OK "Content-Length: 5\r\n\r\nother" } },
		{ "closed while idle",
		    { .response = OK "Content-Length: 2\r\n\r\nok",
			.unsolicited = "",
			.ending = ENDING_CLOSE } },
	};
	struct client client;
	struct request_state state;
	struct loom_fetch_request request;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		state = (struct request_state){ .done = false };
		client_start(&client, &cases[i].script);
		request = plain_request(&client, &state);
		start_request(&client, &request, &state);
		finish_request(&client, &state);
		TEST_CHECK(strcmp(state.data->str, "ok") == 0, "%s: got '%s'",
		    cases[i].name, state.data->str);
		request_state_clear(&state);
		atomic_store(&client.server.response_received, true);
		if (cases[i].script.unsolicited != NULL)
			wait_for(&client.server.script_done);
		TEST_CHECK(!reuses_first_connection(&client),
		    "%s: connection reused", cases[i].name);
		client_stop(&client);
	}
}

static const struct request_case {
	const char *name;
	const char *method;
	const char *body; /* NULL: none */
	int64_t length;
	const char *text; /* what the server receives */
} request_cases[] = {
	{ "get", "GET", NULL, 0,
	    "GET /a?b=c HTTP/1.1\r\nHost: h.example\r\nX-Empty: \r\n\r\n" },
	{ "post without a body", "POST", NULL, 0,
	    "POST /a?b=c HTTP/1.1\r\nHost: h.example\r\nX-Empty: \r\n"
	    "Content-Length: 0\r\n\r\n" },
	{ "delete without a body", "DELETE", NULL, 0,
	    "DELETE /a?b=c HTTP/1.1\r\nHost: h.example\r\nX-Empty: \r\n\r\n" },
	{ "length", "PUT", "hello", 5,
	    "PUT /a?b=c HTTP/1.1\r\nHost: h.example\r\nX-Empty: \r\n"
	    "Content-Length: 5\r\n\r\nhello" },
	{ "chunks", "POST", "hello, all", -1,
	    "POST /a?b=c HTTP/1.1\r\nHost: h.example\r\nX-Empty: \r\n"
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "a\r\nhello, all\r\n0\r\n\r\n" },
};

static void
test_requests(void)
{
	static const struct loom_header headers[] = {
		{ "Host", "h.example" },
		{ "X-Empty", "" },
	};
	static const struct script script = {
		.response = "",
		.response_to_body = OK "Content-Length: 0\r\n\r\n",
	};
	const struct request_case *c;
	struct loom_fetch_request request;
	struct client client;
	struct request_state state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		c = &request_cases[i];
		state = (struct request_state){ .body = c->body };
		client_start(&client, &script);
		request = plain_request(&client, &state);
		request.method = c->method;
		request.headers = headers;
		request.nheaders = G_N_ELEMENTS(headers);
		request.has_body = c->body != NULL;
		request.body_length = c->length;
		start_request(&client, &request, &state);
		finish_request(&client, &state);
		TEST_CHECK(state.end.result == LOOM_FETCH_COMPLETE, "%s: %s",
		    c->name, state.end.reason);
		TEST_CHECK(strcmp(client.server.request, c->text) == 0,
		    "%s: the server got '%s'", c->name, client.server.request);
		TEST_CHECK(reuses_first_connection(&client),
		    "%s: connection not reused", c->name);
		request_state_clear(&state);
		client_stop(&client);
	}
}

/*
 * A response that arrives before the request body was sent completely.  The
 * request must end then rather than at its deadline, and the connection must
 * not be reused: the server could take the next request for the rest of the
 * body.
 */
static void
test_early_responses(void)
{
	static const struct {
		const char *name;
		struct script script;
		bool expect_continue;
		bool stalls;
		uint32_t reads; /* calls of read_body; UINT32_MAX: any */
		uint16_t status;
		bool reused;
	} cases[] = {
		{ "413, body stalls",
		    { .response =
			    "HTTP/1.1 413 Long\r\nContent-Length: 0\r\n\r\n" },
		    false, true, UINT32_MAX, 413, false },
		{ "200, body stalls",
		    { .response = OK "Content-Length: 0\r\n\r\n" }, false, true,
		    UINT32_MAX, 200, false },
		{ "no 100 continue",
		    { .response =
			    "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n" },
		    true, false, 0, 503, false },
		{ "100 continue, then the body",
		    { .response = "HTTP/1.1 100 Continue\r\n\r\n",
			.response_to_body = OK "Content-Length: 0\r\n\r\n" },
		    true, false, 1, 200, true },
	};
	struct loom_fetch_request request;
	struct client client;
	struct request_state state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		state = (struct request_state){ .body = "hello",
			.body_stalls = cases[i].stalls };
		client_start(&client, &cases[i].script);
		request = plain_request(&client, &state);
		request.method = "POST";
		request.has_body = true;
		request.body_length = cases[i].stalls ? 1000 : 5;
		request.expect_continue = cases[i].expect_continue;
		start_request(&client, &request, &state);
		finish_request(&client, &state);
		TEST_CHECK(state.end.result == LOOM_FETCH_COMPLETE &&
			state.status == cases[i].status,
		    "%s: result %d, status %u", cases[i].name, state.end.result,
		    state.status);
		TEST_CHECK(cases[i].reads == UINT32_MAX ||
			state.body_reads == cases[i].reads,
		    "%s: body read %u times", cases[i].name, state.body_reads);
		TEST_CHECK(reuses_first_connection(&client) == cases[i].reused,
		    "%s: wrong reuse of the connection", cases[i].name);
		request_state_clear(&state);
		client_stop(&client);
	}
}

/*
 * Guards against an upload that stalled forever.  loom_fetch_resume_body()
 * called read_body immediately, while the owner was still accepting a part of
 * the body, and the buffer space that this freed was lost.
 */
static void
test_more_body(void)
{
	static const struct script script = {
		.response = "",
		.response_to_body = OK "Content-Length: 0\r\n\r\n",
	};
	struct request_state state = { .body = "hel", .body_stalls = true };
	struct loom_fetch_request request;
	struct client client;
	uint32_t reads;

	client_start(&client, &script);
	request = plain_request(&client, &state);
	request.method = "POST";
	request.has_body = true;
	request.body_length = 5;
	start_request(&client, &request, &state);
	while (state.body_reads < 2)
		tevent_loop_once(client.ev);
	reads = state.body_reads;
	state.body = "lo";
	state.body_stalls = false;
	loom_fetch_resume_body(state.fetch);
	TEST_CHECK(state.body_reads == reads, "body read immediately");
	finish_request(&client, &state);
	CU_ASSERT_EQUAL(state.end.result, LOOM_FETCH_COMPLETE);
	CU_ASSERT_TRUE(
	    g_str_has_suffix(client.server.request, "\r\n\r\nhello"));
	request_state_clear(&state);
	client_stop(&client);
}

/* At a timeout the request counts as sent, since it may have been processed. */
static void
test_timeout(void)
{
	static const struct script script = { .ending = ENDING_NO_RESPONSE };
	struct request_state state = { .done = false };
	struct loom_fetch_request request;
	struct client client;

	client_start(&client, &script);
	request = plain_request(&client, &state);
	request.timeout_us = SHORT_TIMEOUT_US;
	start_request(&client, &request, &state);
	finish_request(&client, &state);
	CU_ASSERT_EQUAL(state.end.result, LOOM_FETCH_TIMEOUT);
	CU_ASSERT_TRUE(state.end.sent);
	CU_ASSERT_FALSE(state.end.headers_received);
	request_state_clear(&state);
	client_stop(&client);
}

/*
 * A cancelled fetch does not call done.  A rejected one ends with
 * LOOM_FETCH_INTERRUPTED. Both close the connection, so that it is not reused.
 */
static void
test_cancelled(void)
{
	static const struct {
		const char *name;
		bool reject, at_headers, at_data;
	} cases[] = {
		{ "rejected", true, false, false },
		{ "cancelled at the headers", false, true, false },
		{ "cancelled at the data", false, false, true },
		{ "cancelled before the response", false, false, false },
	};
	static const struct script responding = {
		.response = OK "Content-Length: 5\r\n\r\nhello",
	};
	static const struct script unresponsive = { .ending =
							ENDING_NO_RESPONSE };
	struct loom_fetch_request request;
	struct client client;
	struct request_state state;
	bool cancel_early;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		state = (struct request_state){ .reject = cases[i].reject,
			.cancel_at_headers = cases[i].at_headers,
			.cancel_at_data = cases[i].at_data };
		cancel_early = !cases[i].reject && !cases[i].at_headers &&
		    !cases[i].at_data;
		client_start(
		    &client, cancel_early ? &unresponsive : &responding);
		request = plain_request(&client, &state);
		start_request(&client, &request, &state);
		if (cancel_early)
			loom_fetch_cancel(state.fetch);
		while (!state.done && !cancel_early &&
		    (state.headers_calls == 0 ||
			(state.cancel_at_data && state.data->len == 0)))
			tevent_loop_once(client.ev);
		TEST_CHECK(
		    state.done == cases[i].reject, "%s: done", cases[i].name);
		if (cases[i].reject)
			TEST_CHECK(state.end.result == LOOM_FETCH_INTERRUPTED &&
				state.end.headers_received,
			    "%s: result %d", cases[i].name, state.end.result);
		TEST_CHECK(!reuses_first_connection(&client),
		    "%s: connection reused", cases[i].name);
		request_state_clear(&state);
		client_stop(&client);
	}
}

static void
timer_fired(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	bool *fired = arg;

	(void)ev;
	(void)timer;
	(void)now;
	*fired = true;
}

/* Runs the event loop for 1 ms. */
static void
run_for_1_ms(struct client *client)
{
	bool fired = false;

	tevent_add_timer(client->ev, client->ev,
	    tevent_timeval_current_ofs(0, LOOM_US_PER_MS), timer_fired, &fired);
	while (!fired)
		tevent_loop_once(client->ev);
}

/* Guards against reading on while the response is paused: the data would
 * accumulate in memory. */
static void
test_paused(void)
{
	enum {
		FILLER = 4 * 1024 * 1024,
		BUFFERED_MAX = 128 * 1024,
		WAIT_MS = 50,
	};
	static const struct script script = {
		.response = OK "Content-Length: 4194304\r\n\r\n",
		.filler_bytes = FILLER,
	};
	struct request_state state = { .pause = true };
	struct loom_fetch_request request;
	struct client client;
	uint32_t i;

	client_start(&client, &script);
	request = plain_request(&client, &state);
	start_request(&client, &request, &state);
	while (state.data->len == 0)
		tevent_loop_once(client.ev);
	for (i = 0; i < WAIT_MS; i++)
		run_for_1_ms(&client);
	TEST_CHECK(state.data->len <= BUFFERED_MAX, "%zu bytes while paused",
	    (size_t)state.data->len);
	state.pause = false;
	loom_fetch_resume_response(state.fetch);
	finish_request(&client, &state);
	CU_ASSERT_EQUAL(state.end.result, LOOM_FETCH_COMPLETE);
	CU_ASSERT_EQUAL(state.data->len, FILLER);
	request_state_clear(&state);
	client_stop(&client);
}

static void
on_sent(void *arg)
{
	struct request_state *state = arg;

	state->sent_calls++;
}

static bool
reject_data(void *arg, const uint8_t *data, size_t len)
{
	struct request_state *state = arg;

	g_string_append_len(state->data, (const char *)data, (gssize)len);
	loom_fetch_reject(state->fetch);
	return true;
}

/* Guards against a body that nobody wants and that is read to its end, however
 * late that comes. */
static void
test_unwanted_body(void)
{
	enum {
		FILLER = 4 * 1024 * 1024,
		BODY_MAX = 64 * 1024,
		READ_MAX = 256 * 1024,
	};
	static const struct script script = {
		.response = OK "Content-Length: 4194304\r\n\r\n",
		.filler_bytes = FILLER,
	};
	static const struct {
		const char *name;
		struct loom_fetch_ops ops;
		uint64_t body_max_bytes;
		enum loom_fetch_result result;
		size_t data_max;
	} rows[] = {
		{ "dropped",
		    { .headers = on_headers, .done = on_done, .sent = on_sent },
		    0, LOOM_FETCH_COMPLETE, 0 },
		{ "dropped to a limit",
		    { .headers = on_headers, .done = on_done, .sent = on_sent },
		    BODY_MAX, LOOM_FETCH_INTERRUPTED, 0 },
		{ "read to a limit",
		    { .headers = on_headers,
			.data = on_data,
			.done = on_done,
			.sent = on_sent },
		    BODY_MAX, LOOM_FETCH_INTERRUPTED, BODY_MAX },
		{ "rejected",
		    { .headers = on_headers,
			.data = reject_data,
			.done = on_done,
			.sent = on_sent },
		    0, LOOM_FETCH_INTERRUPTED, READ_MAX },
	};
	struct loom_fetch_request request;
	struct request_state state;
	struct client client;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		state = (struct request_state){ .done = false };
		client_start(&client, &script);
		request = plain_request(&client, &state);
		request.ops = &rows[i].ops;
		request.body_max_bytes = rows[i].body_max_bytes;
		start_request(&client, &request, &state);
		finish_request(&client, &state);
		TEST_CHECK(state.end.result == rows[i].result &&
			state.headers_calls == 1 && state.sent_calls == 1,
		    "%s: result %d", rows[i].name, (int)state.end.result);
		TEST_CHECK(state.data->len <= rows[i].data_max, "%s: %zu bytes",
		    rows[i].name, (size_t)state.data->len);
		request_state_clear(&state);
		client_stop(&client);
	}
}

/* Concurrent requests use a connection each; the next round reuses them. */
static void
test_concurrent(void)
{
	enum {
		REQUESTS = 64
	};
	static const struct script script = {
		.response = OK "Content-Length: 2\r\n\r\nok",
	};
	struct loom_fetch_request request;
	struct request_state state[REQUESTS];
	struct client client;
	uint32_t round, i;

	client_start(&client, &script);
	for (round = 0; round < 3; round++) {
		memset(state, 0, sizeof(state));
		for (i = 0; i < REQUESTS; i++) {
			request = plain_request(&client, &state[i]);
			start_request(&client, &request, &state[i]);
		}
		for (i = 0; i < REQUESTS; i++) {
			finish_request(&client, &state[i]);
			TEST_CHECK(state[i].end.result == LOOM_FETCH_COMPLETE &&
				strcmp(state[i].data->str, "ok") == 0,
			    "round %u, request %u: %s", round, i,
			    state[i].end.reason);
			request_state_clear(&state[i]);
		}
	}
	TEST_CHECK(atomic_load(&client.server.connections) == REQUESTS,
	    "%u connections", atomic_load(&client.server.connections));
	client_stop(&client);
}

static const struct test_case tests[] = {
	{ "responses", test_responses },
	{ "unsolicited bytes", test_unsolicited_bytes },
	{ "requests", test_requests },
	{ "early responses", test_early_responses },
	{ "more body", test_more_body },
	{ "timeout", test_timeout },
	{ "cancelled", test_cancelled },
	{ "paused", test_paused },
	{ "unwanted body", test_unwanted_body },
	{ "concurrent requests", test_concurrent },
};

TEST_MAIN("client", tests)
