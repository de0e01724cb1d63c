/*
 * Tests of the HTTP server for peer daemons: which input is accepted as a
 * request, the exact bytes of the response, and when the connection is closed.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/peer_server.h"
#include "support/test.h"
#include "support/wait.h"

#define RESPONSE_MAX_BYTES (256 * 1024)
#define CONNECTIONS_MAX 50

/* How the test handler processes a request, selected by its target. */
enum action {
	ACTION_RESPOND, /* after the body, with method, target and body */
	ACTION_REJECT_EARLY, /* status 413 after the headers */
	ACTION_STREAM, /* like ACTION_RESPOND, streamed with unknown length */
	ACTION_ABORT, /* abort after one streamed piece */
	ACTION_NEVER_RESPOND,
	ACTION_READ_SLOWLY, /* one byte of the body at a time */
	ACTION_RESUME_FROM_CALLBACK, /* the same, see on_body() */
};

static const struct {
	const char *target;
	enum action action;
} actions[] = {
	{ "/answer", ACTION_RESPOND },
	{ "/early", ACTION_REJECT_EARLY },
	{ "/stream", ACTION_STREAM },
	{ "/abort", ACTION_ABORT },
	{ "/wait", ACTION_NEVER_RESPOND },
	{ "/slow", ACTION_READ_SLOWLY },
	{ "/eager", ACTION_RESUME_FROM_CALLBACK },
};

/* State of one request; the exchange's user pointer. */
struct request {
	struct test_server *test_server;
	struct loom_exchange *x;
	enum action action;
	GString *body;
	struct tevent_timer *timer;
};

struct test_server {
	struct tevent_context *ev;
	struct loom_peer_server *server;
	int listen_fd;
	uint32_t requests;
	uint32_t disconnects;
	uint32_t ended;
};

static enum action
action_of(const struct loom_exchange *x)
{
	const char *target = loom_exchange_target(x);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (g_str_has_prefix(target, actions[i].target))
			return actions[i].action;
	}
	return ACTION_RESPOND;
}

static void
respond(struct request *request)
{
	static const struct loom_header headers[] = { { "X-A", "b" } };
	struct loom_exchange *x = request->x;
	char *text = g_strdup_printf("%s %s [%s]", loom_exchange_method(x),
	    loom_exchange_target(x), request->body->str);

	if (request->action == ACTION_STREAM ||
	    request->action == ACTION_ABORT) {
		loom_exchange_stream(x, 200, headers, 1, -1);
		loom_exchange_push(x, text, strlen(text));
		if (request->action == ACTION_ABORT)
			loom_exchange_abort(x);
		else
			loom_exchange_finish(x);
	} else {
		loom_exchange_respond(x, 200, headers, 1, text, strlen(text));
	}
	g_free(text);
}

static void
on_request(void *arg, struct loom_exchange *x)
{
	struct test_server *test_server = arg;
	struct request *request = g_new0(struct request, 1);

	request->test_server = test_server;
	request->x = x;
	request->action = action_of(x);
	request->body = g_string_new(NULL);
	loom_exchange_set_user(x, request);
	test_server->requests++;
	if (request->action == ACTION_REJECT_EARLY)
		loom_exchange_respond(x, 413, NULL, 0, "long", 4);
	else if (loom_exchange_body_length(x) != 0)
		loom_exchange_resume_body(x);
	else if (request->action != ACTION_NEVER_RESPOND)
		respond(request);
}

static void
on_resume_timer(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct request *request = arg;

	(void)ev;
	(void)timer;
	(void)now;
	request->timer = NULL;
	loom_exchange_resume_body(request->x);
}

static size_t
on_body(struct loom_exchange *x, const uint8_t *data, size_t len)
{
	struct request *request = loom_exchange_user(x);

	if (request->action == ACTION_RESUME_FROM_CALLBACK) {
		/* ask for more from inside the callback */
		len = MIN(len, 1);
		loom_exchange_resume_body(x);
	}
	if (request->action == ACTION_READ_SLOWLY) {
		len = MIN(len, 1);
		if (request->timer == NULL)
			request->timer = tevent_add_timer(
			    request->test_server->ev, request->test_server->ev,
			    tevent_timeval_zero(), on_resume_timer, request);
	}
	g_string_append_len(request->body, (const char *)data, (gssize)len);
	return len;
}

static void
on_body_end(struct loom_exchange *x)
{
	respond(loom_exchange_user(x));
}

static void
on_drained(struct loom_exchange *x)
{
	(void)x;
}

static void
on_gone(struct loom_exchange *x)
{
	struct request *request = loom_exchange_user(x);

	request->test_server->disconnects++;
}

static void
on_end(struct loom_exchange *x)
{
	struct request *request = loom_exchange_user(x);

	request->test_server->ended++;
	talloc_free(request->timer);
	g_string_free(request->body, TRUE);
	g_free(request);
}

static const struct loom_exchange_ops ops = {
	.request = on_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = on_drained,
	.disconnected = on_gone,
	.end = on_end,
};

static void
test_server_start(
    struct test_server *test_server, uint32_t connections_max, uint32_t idle_s)
{
	struct loom_server_options options = {
		.connections_max = connections_max,
		.idle_timeout_s = idle_s,
		.ops = &ops,
		.arg = test_server,
	};
	GError *error = NULL;

	memset(test_server, 0, sizeof(*test_server));
	test_server->listen_fd = loom_server_listen("127.0.0.1:0", &error);
	options.listen_fd = test_server->listen_fd;
	test_server->ev = tevent_context_init(NULL);
	test_server->server = loom_peer_server_new(test_server->ev,
	    test_server->ev, loom_sockets_new(test_server->ev, test_server->ev),
	    &options, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(test_server->server);
}

static void
test_server_stop(struct test_server *test_server)
{
	TALLOC_FREE(test_server->server);
	close(test_server->listen_fd);
	talloc_free(test_server->ev);
}

static int
connect_to(const struct test_server *test_server)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(loom_server_port(test_server->listen_fd)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_FATAL(connect(fd, (const struct sockaddr *)&address,
			    sizeof(address)) == 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/* A client thread: sends text and receives until the expected end or until the
 * connection ends. */
struct caller {
	int fd;
	const char *text;
	bool byte_by_byte;
	const char *expected_end; /* NULL: the end of the connection */
	char received[RESPONSE_MAX_BYTES];
	bool closed;
	gint done;
	GThread *thread;
};

static void
send_text(const struct caller *caller)
{
	const size_t len = strlen(caller->text);
	const size_t step = caller->byte_by_byte ? 1 : len;
	size_t i;

	for (i = 0; i < len; i += step) {
		if (send(caller->fd, caller->text + i, step, MSG_NOSIGNAL) < 0)
			return;
	}
}

static void *
run_caller(void *arg)
{
	struct caller *caller = arg;
	size_t len = 0;
	ssize_t n = 1;

	send_text(caller);
	while (caller->expected_end == NULL ||
	    !g_str_has_suffix(caller->received, caller->expected_end)) {
		n = recv(caller->fd, caller->received + len,
		    RESPONSE_MAX_BYTES - 1 - len, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
		caller->received[len] = '\0';
	}
	caller->closed = n == 0;
	g_atomic_int_set(&caller->done, 1);
	return NULL;
}

/* Wakes the event loop every millisecond, so that run_exchange() notices when
 * the client thread is done. */
static void
on_tick(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	(void)timer;
	(void)now;
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, LOOM_US_PER_MS),
	    on_tick, arg);
}

/* Runs the client and the event loop until the client is done; its connection
 * stays open. */
static void
run_exchange(struct test_server *test_server, struct caller *caller)
{
	bool timed_out = false;
	struct tevent_timer *limit =
	    test_wait_limit(test_server->ev, test_server->ev, &timed_out);

	caller->thread = g_thread_new("caller", run_caller, caller);
	on_tick(test_server->ev, NULL, tevent_timeval_zero(), NULL);
	while (!g_atomic_int_get(&caller->done) && !timed_out)
		tevent_loop_once(test_server->ev);
	CU_ASSERT_FALSE(timed_out);
	if (timed_out)
		shutdown(caller->fd, SHUT_RDWR);
	g_thread_join(caller->thread);
	talloc_free(limit);
}

#define RESPONSE(body, length) \
	"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: " length "\r\n\r\n" body
#define RESPONSE_AND_CLOSE(body, length)                       \
	"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: " length \
	"\r\nConnection: close\r\n\r\n" body
#define MALFORMED                                           \
	"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n" \
	"Connection: close\r\n\r\n"

static const struct request_case {
	const char *name;
	const char *text;
	const char *response;
	bool closed;
} request_cases[] = {
	{ "GET", "GET /answer?q=1 HTTP/1.1\r\nHost: h\r\n\r\n",
	    RESPONSE("GET /answer?q=1 []", "18"), false },
	{ "body with length",
	    "POST /answer HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
	    RESPONSE("POST /answer [hello]", "20"), false },
	{ "length 0", "POST /answer HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	    RESPONSE("POST /answer []", "15"), false },
	{ "chunked body",
	    "PUT /answer HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nhel\r\n2\r\nlo\r\n0\r\nX-T: z\r\n\r\n",
	    RESPONSE("PUT /answer [hello]", "19"), false },
	{ "HEAD", "HEAD /answer HTTP/1.1\r\n\r\n", RESPONSE("", "15"), false },
	{ "body read slowly",
	    "POST /slow HTTP/1.1\r\nContent-Length: 12\r\n\r\nhello, hello",
	    RESPONSE("POST /slow [hello, hello]", "25"), false },
	{ "chunks read slowly",
	    "POST /slow HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "6\r\nhello,\r\n6\r\n hello\r\n0\r\n\r\n",
	    RESPONSE("POST /slow [hello, hello]", "25"), false },
	{ "body resumed from callback",
	    "POST /eager HTTP/1.1\r\nContent-Length: 12\r\n\r\nhello, hello",
	    RESPONSE("POST /eager [hello, hello]", "26"), false },
	{ "stream", "GET /stream HTTP/1.1\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "e\r\nGET /stream []\r\n0\r\n\r\n",
	    false },
	{ "pipelined requests",
	    "GET /answer/1 HTTP/1.1\r\n\r\n"
	    "POST /answer/2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx",
	    RESPONSE("GET /answer/1 []", "16")
		RESPONSE("POST /answer/2 [x]", "18"),
	    false },
	{ "100-continue",
	    "POST /answer HTTP/1.1\r\nExpect: 100-continue\r\n"
	    "Content-Length: 1\r\n\r\nx",
	    "HTTP/1.1 100 Continue\r\n\r\n" RESPONSE("POST /answer [x]", "16"),
	    false },
	{ "Connection: close",
	    "GET /answer HTTP/1.1\r\nConnection: close\r\n\r\n",
	    RESPONSE_AND_CLOSE("GET /answer []", "14"), true },
	{ "HTTP/1.0", "GET /answer HTTP/1.0\r\n\r\n",
	    RESPONSE_AND_CLOSE("GET /answer []", "14"), true },
	{ "response before the body",
	    "POST /early HTTP/1.1\r\nContent-Length: 500\r\n\r\nbegun",
	    "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 4\r\n"
	    "Connection: close\r\n\r\nlong",
	    true },
	{ "aborted", "GET /abort HTTP/1.1\r\n\r\n", NULL, false },
	{ "garbage", "\x16\x03\x01 and so on\r\n\r\n", MALFORMED, true },
	{ "garbage after a request",
	    "GET /answer HTTP/1.1\r\n\r\n\x16\x03\x01 and so on\r\n\r\n",
	    RESPONSE("GET /answer []", "14") MALFORMED, true },
	{ "garbage after a body read slowly",
	    "POST /slow HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
	    "\x16\x03\x01 and so on\r\n\r\n",
	    RESPONSE("POST /slow [hi]", "15") MALFORMED, true },
	{ "malformed chunks, read slowly",
	    "POST /slow HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nhi\r\nzz\r\n",
	    "", true },
	{ "no HTTP version", "GET /answer\r\n\r\n", MALFORMED, true },
	{ "two lengths",
	    "POST /answer HTTP/1.1\r\nContent-Length: 1\r\n"
	    "Content-Length: 2\r\n\r\nxy",
	    MALFORMED, true },
	{ "length and chunked",
	    "POST /answer HTTP/1.1\r\nContent-Length: 1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	    MALFORMED, true },
	{ "length is not a number",
	    "POST /answer HTTP/1.1\r\nContent-Length: one\r\n\r\nx", MALFORMED,
	    true },
	{ "space after a name",
	    "POST /answer HTTP/1.1\r\nContent-Length : 1\r\n\r\nx", MALFORMED,
	    true },
};

static void
check_request(const struct request_case *c, bool byte_by_byte)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct test_server test_server;

	test_server_start(&test_server, CONNECTIONS_MAX, 30);
	caller->fd = connect_to(&test_server);
	caller->text = c->text;
	caller->byte_by_byte = byte_by_byte;
	caller->expected_end = c->closed ? NULL : c->response;
	run_exchange(&test_server, caller);
	TEST_CHECK(
	    c->response == NULL || strcmp(caller->received, c->response) == 0,
	    "%s: got '%s'", c->name, caller->received);
	/* When the server closes without a response, data that arrives
	 * afterwards turns the close into a reset. */
	TEST_CHECK(caller->closed == c->closed ||
		(c->response != NULL && c->response[0] == '\0'),
	    "%s: closed %d", c->name, caller->closed);
	close(caller->fd);
	test_server_stop(&test_server);
	TEST_CHECK(test_server.requests == test_server.ended,
	    "%s: %u requests, %u ended", c->name, test_server.requests,
	    test_server.ended);
	g_free(caller);
}

static void
test_requests(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		check_request(&request_cases[i], false);
		check_request(&request_cases[i], true);
	}
}

static struct loom_server *
caller_server_start(struct test_server *test_server)
{
	struct loom_server_options options = {
		.connections_max = CONNECTIONS_MAX,
		.idle_timeout_s = 30,
		.ops = &ops,
		.arg = test_server,
	};
	struct loom_server *server;
	GError *error = NULL;

	test_server->listen_fd = loom_server_listen("127.0.0.1:0", &error);
	options.listen_fd = test_server->listen_fd;
	test_server->ev = tevent_context_init(NULL);
	server = loom_server_new(test_server->ev, test_server->ev,
	    loom_hangup_new(test_server->ev, test_server->ev), &options,
	    &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	return server;
}

static void
caller_server_stop(struct test_server *test_server, struct loom_server *server)
{
	talloc_free(server);
	close(test_server->listen_fd);
	talloc_free(test_server->ev);
}

/*
 * Checks that an upload does not stop forever when the handler asks for more of
 * the body from inside the body callback.  This test covers the server for
 * callers; request_cases has the same request for the server for peer daemons.
 */
static void
test_resume_from_callback(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct test_server test_server = { .requests = 0 };
	struct loom_server *server = caller_server_start(&test_server);

	caller->fd = connect_to(&test_server);
	caller->text = "POST /eager HTTP/1.1\r\nHost: h\r\n"
		       "Content-Length: 12\r\n\r\nhello, hello";
	caller->expected_end = "[hello, hello]";
	run_exchange(&test_server, caller);
	CU_ASSERT_TRUE(g_str_has_suffix(caller->received, "[hello, hello]"));
	close(caller->fd);
	caller_server_stop(&test_server, server);
	g_free(caller);
}

static void
on_wakeup(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	(void)ev;
	(void)timer;
	(void)now;
	(void)arg;
}

/* Runs one iteration of the event loop; returns after a millisecond at the
 * latest. */
static void
run_loop_once(struct test_server *test_server)
{
	tevent_add_timer(test_server->ev, test_server->ev,
	    tevent_timeval_current_ofs(0, 1000), on_wakeup, NULL);
	tevent_loop_once(test_server->ev);
}

/* Sends this many bytes in pieces while the event loop runs.  Returns the errno
 * of the connection, 0 for none. */
static int
send_in_pieces(struct test_server *test_server, int fd, size_t bytes)
{
	static const char piece[16384];
	ssize_t n;

	while (bytes > 0) {
		run_loop_once(test_server);
		n = send(fd, piece, MIN(bytes, sizeof(piece)),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return errno;
		if (n > 0)
			bytes -= (size_t)n;
	}
	return 0;
}

/*
 * Checks that the response to an upload that was refused because of its headers
 * is received although the caller keeps sending the body.  Closing the socket
 * with unread data would send a reset, which could overtake the response.
 */
static void
test_refused_upload(void)
{
	static const char text[] = "POST /early HTTP/1.1\r\nHost: h\r\n"
				   "Content-Length: 524288\r\n\r\n";
	struct test_server test_server = { .requests = 0 };
	struct loom_server *server = caller_server_start(&test_server);
	char received[64] = "";
	int fd = connect_to(&test_server);

	send(fd, text, strlen(text), MSG_NOSIGNAL);
	while (recv(fd, received, sizeof(received) - 1,
		   MSG_PEEK | MSG_DONTWAIT) <= 0)
		run_loop_once(&test_server);
	CU_ASSERT_EQUAL(send_in_pieces(&test_server, fd, 524288), 0);
	CU_ASSERT_TRUE(
	    recv(fd, received, sizeof(received) - 1, MSG_DONTWAIT) > 0);
	CU_ASSERT_TRUE(g_str_has_prefix(received, "HTTP/1.1 413 "));
	close(fd);
	caller_server_stop(&test_server, server);
}

/* Checks that the handler is notified when a caller disconnects; otherwise its
 * request would be processed for nobody. */
static void
test_caller_disconnects(void)
{
	static const char *const texts[] = {
		"GET /wait HTTP/1.1\r\n\r\n",
		"POST /answer HTTP/1.1\r\nContent-Length: 500\r\n\r\nbegun",
	};
	struct test_server test_server;
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		test_server_start(&test_server, CONNECTIONS_MAX, 30);
		fd = connect_to(&test_server);
		send(fd, texts[i], strlen(texts[i]), MSG_NOSIGNAL);
		while (test_server.requests == 0)
			tevent_loop_once(test_server.ev);
		CU_ASSERT_EQUAL(test_server.disconnects, 0);
		close(fd);
		while (test_server.ended == 0)
			tevent_loop_once(test_server.ev);
		CU_ASSERT_EQUAL(test_server.disconnects, 1);
		test_server_stop(&test_server);
	}
}

/* Checks that an idle connection is closed, but not one whose request is being
 * processed. */
static void
test_idle(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct test_server test_server;
	int fd;

	test_server_start(&test_server, CONNECTIONS_MAX, 1);
	fd = connect_to(&test_server);
	send(fd, "GET /wait HTTP/1.1\r\n\r\n", 22, MSG_NOSIGNAL);
	while (test_server.requests == 0)
		tevent_loop_once(test_server.ev);
	caller->fd = connect_to(&test_server);
	caller->text = "GET /answ";
	run_exchange(&test_server, caller);
	CU_ASSERT_TRUE(caller->closed);
	CU_ASSERT_EQUAL(test_server.disconnects, 0);
	close(caller->fd);
	close(fd);
	test_server_stop(&test_server);
	g_free(caller);
}

/* Checks that a connection over the limit is served once another one is closed.
 */
static void
test_connection_limit(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct test_server test_server;
	int first;

	test_server_start(&test_server, 1, 30);
	first = connect_to(&test_server);
	send(first, "GET /wait HTTP/1.1\r\n\r\n", 22, MSG_NOSIGNAL);
	while (test_server.requests == 0)
		tevent_loop_once(test_server.ev);
	caller->fd = connect_to(&test_server);
	caller->text = "GET /answer HTTP/1.1\r\n\r\n";
	caller->expected_end = "[]";
	close(first);
	run_exchange(&test_server, caller);
	CU_ASSERT_TRUE(g_str_has_suffix(caller->received, "[]"));
	close(caller->fd);
	test_server_stop(&test_server);
	g_free(caller);
}

/* Checks that a draining server closes each connection after its next response.
 */
static void
test_drain(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct test_server test_server;

	test_server_start(&test_server, CONNECTIONS_MAX, 30);
	loom_peer_server_drain(test_server.server);
	caller->fd = connect_to(&test_server);
	caller->text = "GET /answer HTTP/1.1\r\n\r\n";
	run_exchange(&test_server, caller);
	CU_ASSERT_TRUE(caller->closed);
	CU_ASSERT_STRING_EQUAL(
	    caller->received, RESPONSE_AND_CLOSE("GET /answer []", "14"));
	close(caller->fd);
	test_server_stop(&test_server);
	g_free(caller);
}

static const struct test_case tests[] = {
	{ "requests", test_requests },
	{ "body resumed from callback", test_resume_from_callback },
	{ "refused upload", test_refused_upload },
	{ "caller disconnects", test_caller_disconnects },
	{ "idle", test_idle },
	{ "connection limit", test_connection_limit },
	{ "drain", test_drain },
};

TEST_MAIN("peer_server", tests)
