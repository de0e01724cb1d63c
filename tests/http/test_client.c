/*
 * The HTTP client against servers that send what they like: what counts as an
 * answer, when a connection is used again, and how a request looks.
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

/* How a connection ends after the answer to its first request. */
enum ending {
	ENDING_OPEN,
	ENDING_CLOSE,
	ENDING_RESET,
	ENDING_SILENT, /* no answer at all, and open */
};

/* What the first connection's first request is answered; all others get a
 * plain answer. */
struct script {
	const char *answer; /* when the headers are in */
	const char *answer_to_body; /* when its body is in too, or NULL */
	const char *unasked; /* sent after the answer was taken, or NULL */
	size_t filler; /* so many bytes after the answer */
	enum ending ending;
	bool in_bytes; /* one byte a send */
};

struct server {
	int fd;
	const struct script *script;
	char request[REQUEST_MAX]; /* the first one, as it came */
	atomic_uint connections;
	atomic_uint last_used; /* connection of the latest request */
	atomic_bool told; /* the client is past the first answer */
	atomic_bool played; /* the script is over */
	GThread *thread;
	GThread *threads[CONNECTIONS_MAX];
};

struct server_connection {
	struct server *server;
	int fd;
	uint32_t index;
};

static void
send_text(int fd, const char *text, bool in_bytes)
{
	const size_t len = strlen(text);
	size_t i;

	if (!in_bytes) {
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

/* One request; with_body false: up to the end of its headers. */
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

/* False when the connection has to be closed. */
static bool
play(struct server *server, int fd)
{
	const struct script *script = server->script;

	server->request[0] = '\0';
	if (!read_request(fd, server->request, false))
		return false;
	if (script->ending == ENDING_SILENT)
		return true;
	send_text(fd, script->answer, script->in_bytes);
	if (script->answer_to_body != NULL) {
		if (!read_request(fd, server->request, true))
			return false;
		send_text(fd, script->answer_to_body, script->in_bytes);
	}
	send_filler(fd, script->filler);
	if (script->unasked != NULL) {
		wait_for(&server->told);
		send_text(fd, script->unasked, false);
	}
	if (script->ending == ENDING_RESET)
		reset_at_close(fd);
	if (script->ending != ENDING_OPEN)
		return false;
	atomic_store(&server->played, true);
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
		open = play(server, connection->fd);
	buf[0] = '\0';
	while (open && read_request(connection->fd, buf, true)) {
		atomic_store(&server->last_used, connection->index);
		send_text(connection->fd,
		    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
		buf[0] = '\0';
	}
	close(connection->fd);
	if (connection->index == 0)
		atomic_store(&server->played, true);
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

/* What came of a request. */
struct seen {
	struct loom_fetch *fetch;
	const char *body; /* to be sent */
	bool body_stalls; /* it never ends */
	uint32_t body_asked;
	bool reject, cancel_at_headers, cancel_at_data, pause;
	uint32_t headers_calls;
	size_t nheaders;
	char extra[32]; /* the header X-Extra */
	GString *data;
	bool done;
	struct loom_fetch_end end;
	uint16_t status;
};

static size_t
read_body(void *arg, uint8_t *buf, size_t max, bool *end)
{
	struct seen *seen = arg;
	const size_t len = MIN(max, strlen(seen->body));

	seen->body_asked++;
	memcpy(buf, seen->body, len);
	seen->body += len;
	*end = *seen->body == '\0' && !seen->body_stalls;
	return len;
}

static void
on_headers(void *arg, struct loom_fetch *fetch)
{
	struct seen *seen = arg;
	const char *extra = loom_fetch_header(fetch, "x-extra");

	seen->headers_calls++;
	seen->status = loom_fetch_status(fetch);
	loom_fetch_headers(fetch, &seen->nheaders);
	g_strlcpy(seen->extra, extra == NULL ? "" : extra, sizeof(seen->extra));
	if (seen->reject)
		loom_fetch_reject(fetch);
	if (seen->cancel_at_headers)
		loom_fetch_cancel(fetch);
}

static bool
on_data(void *arg, const uint8_t *data, size_t len)
{
	struct seen *seen = arg;

	g_string_append_len(seen->data, (const char *)data, (gssize)len);
	if (seen->cancel_at_data)
		loom_fetch_cancel(seen->fetch);
	return !seen->pause;
}

static void
on_done(void *arg, const struct loom_fetch_end *end)
{
	struct seen *seen = arg;

	seen->done = true;
	seen->end = *end;
}

static const struct loom_fetch_ops ops = {
	.read_body = read_body,
	.headers = on_headers,
	.data = on_data,
	.done = on_done,
};

static struct loom_fetch_request
plain_request(const struct client *client, struct seen *seen)
{
	return (struct loom_fetch_request){
		.method = "GET",
		.address = client->address,
		.target = "/a?b=c",
		.timeout_us = TIMEOUT_US,
		.ops = &ops,
		.arg = seen,
	};
}

static void
start(struct client *client, const struct loom_fetch_request *request,
    struct seen *seen)
{
	seen->data = g_string_new(NULL);
	seen->fetch = loom_fetch_start(client->fetcher, request);
	CU_ASSERT_PTR_NOT_NULL_FATAL(seen->fetch);
}

static void
finish(struct client *client, struct seen *seen)
{
	while (!seen->done)
		tevent_loop_once(client->ev);
}

static void
seen_clear(struct seen *seen)
{
	g_string_free(seen->data, TRUE);
	seen->data = NULL;
}

/* Whether the next request uses the first connection. */
static bool
uses_first_again(struct client *client)
{
	struct seen seen = { .done = false };
	const struct loom_fetch_request request = plain_request(client, &seen);

	start(client, &request, &seen);
	finish(client, &seen);
	TEST_CHECK(seen.end.result == LOOM_FETCH_WHOLE, "the next request: %s",
	    seen.end.reason);
	seen_clear(&seen);
	return atomic_load(&client->server.last_used) == 0;
}

#define OK "HTTP/1.1 200 OK\r\n"

static const struct answer_case {
	const char *name;
	const char *method;
	const char *answer;
	enum ending ending;
	enum loom_fetch_result result;
	uint16_t status; /* 0: no answer was seen */
	const char *data;
	bool kept;
} answer_cases[] = {
	{ "length", "GET", OK "Content-Length: 5\r\n\r\nhello", ENDING_OPEN,
	    LOOM_FETCH_WHOLE, 200, "hello", true },
	{ "length 0", "GET", OK "Content-Length: 0\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_WHOLE, 200, "", true },
	{ "chunks", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "hello", true },
	{ "trailers", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\nX-Extra: late\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "hello", true },
	{ "chunks cut", "GET",
	    OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ENDING_CLOSE,
	    LOOM_FETCH_CUT, 200, "hello", false },
	{ "until the end", "GET", OK "\r\nhello", ENDING_CLOSE,
	    LOOM_FETCH_WHOLE, 200, "hello", false },
	{ "until a reset", "GET", OK "\r\n", ENDING_RESET, LOOM_FETCH_CUT, 200,
	    "", false },
	{ "cut", "GET", OK "Content-Length: 10\r\n\r\nhello", ENDING_CLOSE,
	    LOOM_FETCH_CUT, 200, "hello", false },
	{ "headers cut", "GET", OK "Content-Le", ENDING_CLOSE, LOOM_FETCH_CUT,
	    0, "", false },
	{ "no answer", "GET", "", ENDING_CLOSE, LOOM_FETCH_CUT, 0, "", false },
	{ "no content", "GET", "HTTP/1.1 204 None\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_WHOLE, 204, "", true },
	{ "no content with a length", "GET",
	    "HTTP/1.1 204 None\r\nContent-Length: 9\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_WHOLE, 204, "", true },
	{ "not modified", "GET",
	    "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_WHOLE, 304, "", true },
	{ "head", "HEAD", OK "Content-Length: 9\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_WHOLE, 200, "", true },
	{ "go on", "GET",
	    "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "ok", true },
	{ "early hints", "GET",
	    "HTTP/1.1 103 Hints\r\nX-Extra: hint\r\n\r\n" OK
	    "Content-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "ok", true },
	{ "will close", "GET",
	    OK "Connection: close\r\nContent-Length: 2\r\n\r\nok", ENDING_OPEN,
	    LOOM_FETCH_WHOLE, 200, "ok", false },
	{ "keeps for no time", "GET",
	    OK "Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "ok", false },
	{ "keeps for a while", "GET",
	    OK "Keep-Alive: max=9, timeout=60\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "ok", true },
	{ "HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "ok", false },
	{ "switching", "GET",
	    "HTTP/1.1 101 Other\r\nConnection: upgrade\r\n"
	    "Upgrade: other\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_CUT, 0, "", false },
	/* Guards against a wait until the deadline for a final answer. */
	{ "status of no class", "GET", "HTTP/1.1 000 None\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_CUT, 0, "", false },
	/* Guards against a body that goes on with a coding on it and no word of
	 * that: no coding but chunked was asked for. */
	{ "coded and chunked", "GET",
	    OK "Transfer-Encoding: gzip, chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_CUT, 0, "", false },
	{ "coded until the end", "GET",
	    OK "Transfer-Encoding: gzip\r\n\r\nhello", ENDING_CLOSE,
	    LOOM_FETCH_CUT, 0, "", false },
	{ "chunked in capitals", "GET",
	    OK "Transfer-Encoding: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_WHOLE, 200, "hello", true },
	{ "HTTP/2", "GET", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_CUT, 0, "", false },
	{ "space behind a name", "GET", OK "Content-Length : 2\r\n\r\nok",
	    ENDING_OPEN, LOOM_FETCH_CUT, 0, "", false },
	{ "garbage", "GET", "\x16\x03\x01 and so on\r\n\r\n", ENDING_OPEN,
	    LOOM_FETCH_CUT, 0, "", false },
	{ "two lengths", "GET",
	    OK "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello",
	    ENDING_OPEN, LOOM_FETCH_CUT, 0, "", false },
	{ "length and chunks", "GET",
	    OK "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\n\r\n",
	    ENDING_OPEN, LOOM_FETCH_CUT, 0, "", false },
	{ "length of letters", "GET", OK "Content-Length: five\r\n\r\nhello",
	    ENDING_OPEN, LOOM_FETCH_CUT, 0, "", false },
};

static void
check_answer(const struct answer_case *c, bool in_bytes)
{
	const struct script script = {
		.answer = c->answer,
		.ending = c->ending,
		.in_bytes = in_bytes,
	};
	struct seen seen = { .done = false };
	struct loom_fetch_request request;
	struct client client;
	bool kept;

	client_start(&client, &script);
	request = plain_request(&client, &seen);
	request.method = c->method;
	start(&client, &request, &seen);
	finish(&client, &seen);
	TEST_CHECK(seen.end.result == c->result && seen.end.sent,
	    "%s: result %d: %s", c->name, seen.end.result, seen.end.reason);
	/* a reset may overtake the headers before it */
	TEST_CHECK(c->ending == ENDING_RESET ||
		(seen.status == c->status &&
		    seen.end.answered == (c->status != 0)),
	    "%s: status %u", c->name, seen.status);
	TEST_CHECK(strcmp(seen.data->str, c->data) == 0, "%s: got '%s'",
	    c->name, seen.data->str);
	TEST_CHECK(
	    seen.extra[0] == '\0', "%s: a header '%s'", c->name, seen.extra);
	seen_clear(&seen);
	kept = uses_first_again(&client);
	TEST_CHECK(kept == c->kept, "%s: kept %d", c->name, kept);
	client_stop(&client);
}

static void
test_answers(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		check_answer(&answer_cases[i], false);
		check_answer(&answer_cases[i], true);
	}
}

/* Guards against an answer too many being taken for the next request's. */
static void
test_unasked_bytes(void)
{
	static const struct {
		const char *name;
		struct script script;
	} cases[] = {
		{ "with the answer",
		    { .answer = OK "Content-Length: 2\r\n\r\nok" OK
				   "Content-Length: 5\r\n\r\nother" } },
		{ "while it is kept",
		    { .answer = OK "Content-Length: 2\r\n\r\nok",
			.unasked = OK "Content-Length: 5\r\n\r\nother" } },
		{ "closed while it is kept",
		    { .answer = OK "Content-Length: 2\r\n\r\nok",
			.unasked = "",
			.ending = ENDING_CLOSE } },
	};
	struct client client;
	struct seen seen;
	struct loom_fetch_request request;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		seen = (struct seen){ .done = false };
		client_start(&client, &cases[i].script);
		request = plain_request(&client, &seen);
		start(&client, &request, &seen);
		finish(&client, &seen);
		TEST_CHECK(strcmp(seen.data->str, "ok") == 0, "%s: got '%s'",
		    cases[i].name, seen.data->str);
		seen_clear(&seen);
		atomic_store(&client.server.told, true);
		if (cases[i].script.unasked != NULL)
			wait_for(&client.server.played);
		TEST_CHECK(!uses_first_again(&client), "%s: used again",
		    cases[i].name);
		client_stop(&client);
	}
}

static const struct request_case {
	const char *name;
	const char *method;
	const char *body; /* NULL for none */
	int64_t length;
	const char *text; /* what the server gets */
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
		.answer = "",
		.answer_to_body = OK "Content-Length: 0\r\n\r\n",
	};
	const struct request_case *c;
	struct loom_fetch_request request;
	struct client client;
	struct seen seen;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		c = &request_cases[i];
		seen = (struct seen){ .body = c->body };
		client_start(&client, &script);
		request = plain_request(&client, &seen);
		request.method = c->method;
		request.headers = headers;
		request.nheaders = G_N_ELEMENTS(headers);
		request.has_body = c->body != NULL;
		request.body_length = c->length;
		start(&client, &request, &seen);
		finish(&client, &seen);
		TEST_CHECK(seen.end.result == LOOM_FETCH_WHOLE, "%s: %s",
		    c->name, seen.end.reason);
		TEST_CHECK(strcmp(client.server.request, c->text) == 0,
		    "%s: the server got '%s'", c->name, client.server.request);
		TEST_CHECK(uses_first_again(&client), "%s: not kept", c->name);
		seen_clear(&seen);
		client_stop(&client);
	}
}

/*
 * Guards against a request whose answer came before its body was sent: it is
 * not held until its deadline, and no later request is taken for its body.
 */
static void
test_early_answers(void)
{
	static const struct {
		const char *name;
		struct script script;
		bool expect;
		bool stalls;
		uint32_t asked; /* for the body; UINT32_MAX: any */
		uint16_t status;
		bool kept;
	} cases[] = {
		{ "body stalls",
		    { .answer =
			    "HTTP/1.1 413 Long\r\nContent-Length: 0\r\n\r\n" },
		    false, true, UINT32_MAX, 413, false },
		{ "well received, body stalls",
		    { .answer = OK "Content-Length: 0\r\n\r\n" }, false, true,
		    UINT32_MAX, 200, false },
		{ "not asked for the body",
		    { .answer =
			    "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n" },
		    true, false, 0, 503, false },
		{ "asked for the body",
		    { .answer = "HTTP/1.1 100 Continue\r\n\r\n",
			.answer_to_body = OK "Content-Length: 0\r\n\r\n" },
		    true, false, 1, 200, true },
	};
	struct loom_fetch_request request;
	struct client client;
	struct seen seen;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		seen = (struct seen){ .body = "hello",
			.body_stalls = cases[i].stalls };
		client_start(&client, &cases[i].script);
		request = plain_request(&client, &seen);
		request.method = "POST";
		request.has_body = true;
		request.body_length = cases[i].stalls ? 1000 : 5;
		request.expect = cases[i].expect;
		start(&client, &request, &seen);
		finish(&client, &seen);
		TEST_CHECK(seen.end.result == LOOM_FETCH_WHOLE &&
			seen.status == cases[i].status,
		    "%s: result %d, status %u", cases[i].name, seen.end.result,
		    seen.status);
		TEST_CHECK(cases[i].asked == UINT32_MAX ||
			seen.body_asked == cases[i].asked,
		    "%s: asked %u times", cases[i].name, seen.body_asked);
		TEST_CHECK(uses_first_again(&client) == cases[i].kept,
		    "%s: kept", cases[i].name);
		seen_clear(&seen);
		client_stop(&client);
	}
}

/* Guards against an upload that stops for good: its owner was asked for more
 * from inside the write of a piece, and the room that this made was lost. */
static void
test_more_body(void)
{
	static const struct script script = {
		.answer = "",
		.answer_to_body = OK "Content-Length: 0\r\n\r\n",
	};
	struct seen seen = { .body = "hel", .body_stalls = true };
	struct loom_fetch_request request;
	struct client client;
	uint32_t asked;

	client_start(&client, &script);
	request = plain_request(&client, &seen);
	request.method = "POST";
	request.has_body = true;
	request.body_length = 5;
	start(&client, &request, &seen);
	while (seen.body_asked < 2)
		tevent_loop_once(client.ev);
	asked = seen.body_asked;
	seen.body = "lo";
	seen.body_stalls = false;
	loom_fetch_more_body(seen.fetch);
	TEST_CHECK(seen.body_asked == asked, "asked at once");
	finish(&client, &seen);
	CU_ASSERT_EQUAL(seen.end.result, LOOM_FETCH_WHOLE);
	CU_ASSERT_TRUE(
	    g_str_has_suffix(client.server.request, "\r\n\r\nhello"));
	seen_clear(&seen);
	client_stop(&client);
}

/* The time is up, and the request may have run. */
static void
test_no_answer_in_time(void)
{
	static const struct script script = { .ending = ENDING_SILENT };
	struct seen seen = { .done = false };
	struct loom_fetch_request request;
	struct client client;

	client_start(&client, &script);
	request = plain_request(&client, &seen);
	request.timeout_us = SHORT_TIMEOUT_US;
	start(&client, &request, &seen);
	finish(&client, &seen);
	CU_ASSERT_EQUAL(seen.end.result, LOOM_FETCH_TIMEOUT);
	CU_ASSERT_TRUE(seen.end.sent);
	CU_ASSERT_FALSE(seen.end.answered);
	seen_clear(&seen);
	client_stop(&client);
}

/* An answer that is given up, by whichever way: its owner is told nothing, and
 * the server finds the connection closed. */
static void
test_given_up(void)
{
	static const struct {
		const char *name;
		bool reject, at_headers, at_data;
	} cases[] = {
		{ "rejected", true, false, false },
		{ "at its headers", false, true, false },
		{ "at its data", false, false, true },
		{ "before it comes", false, false, false },
	};
	static const struct script answers = {
		.answer = OK "Content-Length: 5\r\n\r\nhello",
	};
	static const struct script silent = { .ending = ENDING_SILENT };
	struct loom_fetch_request request;
	struct client client;
	struct seen seen;
	bool waits;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		seen = (struct seen){ .reject = cases[i].reject,
			.cancel_at_headers = cases[i].at_headers,
			.cancel_at_data = cases[i].at_data };
		waits = !cases[i].reject && !cases[i].at_headers &&
		    !cases[i].at_data;
		client_start(&client, waits ? &silent : &answers);
		request = plain_request(&client, &seen);
		start(&client, &request, &seen);
		if (waits)
			loom_fetch_cancel(seen.fetch);
		while (!seen.done && !waits &&
		    (seen.headers_calls == 0 ||
			(seen.cancel_at_data && seen.data->len == 0)))
			tevent_loop_once(client.ev);
		TEST_CHECK(
		    seen.done == cases[i].reject, "%s: told", cases[i].name);
		if (cases[i].reject)
			TEST_CHECK(seen.end.result == LOOM_FETCH_CUT &&
				seen.end.answered,
			    "%s: result %d", cases[i].name, seen.end.result);
		TEST_CHECK(!uses_first_again(&client), "%s: used again",
		    cases[i].name);
		seen_clear(&seen);
		client_stop(&client);
	}
}

static void
turn_over(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	bool *over = arg;

	(void)ev;
	(void)timer;
	(void)now;
	*over = true;
}

/* A millisecond of whatever happens. */
static void
turn(struct client *client)
{
	bool over = false;

	tevent_add_timer(client->ev, client->ev,
	    tevent_timeval_current_ofs(0, LOOM_US_PER_MS), turn_over, &over);
	while (!over)
		tevent_loop_once(client->ev);
}

/* Guards against an answer that is read on while nobody takes it: its bytes
 * would pile up in this process. */
static void
test_paused(void)
{
	enum {
		FILLER = 4 * 1024 * 1024,
		HELD_MAX = 128 * 1024,
		TURNS = 50,
	};
	static const struct script script = {
		.answer = OK "Content-Length: 4194304\r\n\r\n",
		.filler = FILLER,
	};
	struct seen seen = { .pause = true };
	struct loom_fetch_request request;
	struct client client;
	uint32_t i;

	client_start(&client, &script);
	request = plain_request(&client, &seen);
	start(&client, &request, &seen);
	while (seen.data->len == 0)
		tevent_loop_once(client.ev);
	for (i = 0; i < TURNS; i++)
		turn(&client);
	TEST_CHECK(seen.data->len <= HELD_MAX, "%zu bytes while paused",
	    (size_t)seen.data->len);
	seen.pause = false;
	loom_fetch_resume(seen.fetch);
	finish(&client, &seen);
	CU_ASSERT_EQUAL(seen.end.result, LOOM_FETCH_WHOLE);
	CU_ASSERT_EQUAL(seen.data->len, FILLER);
	seen_clear(&seen);
	client_stop(&client);
}

/* Side by side, each on a connection of its own; then they are kept. */
static void
test_side_by_side(void)
{
	enum {
		REQUESTS = 64
	};
	static const struct script script = {
		.answer = OK "Content-Length: 2\r\n\r\nok",
	};
	struct loom_fetch_request request;
	struct seen seen[REQUESTS];
	struct client client;
	uint32_t round, i;

	client_start(&client, &script);
	for (round = 0; round < 3; round++) {
		memset(seen, 0, sizeof(seen));
		for (i = 0; i < REQUESTS; i++) {
			request = plain_request(&client, &seen[i]);
			start(&client, &request, &seen[i]);
		}
		for (i = 0; i < REQUESTS; i++) {
			finish(&client, &seen[i]);
			TEST_CHECK(seen[i].end.result == LOOM_FETCH_WHOLE &&
				strcmp(seen[i].data->str, "ok") == 0,
			    "round %u, request %u: %s", round, i,
			    seen[i].end.reason);
			seen_clear(&seen[i]);
		}
	}
	TEST_CHECK(atomic_load(&client.server.connections) == REQUESTS,
	    "%u connections", atomic_load(&client.server.connections));
	client_stop(&client);
}

static const struct test_case tests[] = {
	{ "answers", test_answers },
	{ "unasked bytes", test_unasked_bytes },
	{ "requests", test_requests },
	{ "early answers", test_early_answers },
	{ "more of a body", test_more_body },
	{ "no answer in time", test_no_answer_in_time },
	{ "given up", test_given_up },
	{ "paused", test_paused },
	{ "side by side", test_side_by_side },
};

TEST_MAIN("client", tests)
