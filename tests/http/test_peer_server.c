/*
 * The peers' server against whatever is sent to it: what counts as a request,
 * how an answer looks, and when the connection ends.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/peer_server.h"
#include "support/loop.h"
#include "support/test.h"

#define ANSWER_MAX (256 * 1024)
#define CONNECTIONS_MAX 50

/* What the owner of the exchanges does with a request, by its target. */
enum deed {
	DEED_ANSWER, /* when it is whole, with its method, target and body */
	DEED_EARLY, /* 413 when the headers are in */
	DEED_STREAM, /* the same in pieces, length unknown */
	DEED_ABORT, /* after a piece */
	DEED_WAIT, /* never */
	DEED_SLOW, /* the body is taken a byte a turn */
	DEED_EAGER, /* the same, and the next asked for from inside */
};

static const struct {
	const char *target;
	enum deed deed;
} deeds[] = {
	{ "/answer", DEED_ANSWER },
	{ "/early", DEED_EARLY },
	{ "/stream", DEED_STREAM },
	{ "/abort", DEED_ABORT },
	{ "/wait", DEED_WAIT },
	{ "/slow", DEED_SLOW },
	{ "/eager", DEED_EAGER },
};

/* One request at the owner. */
struct owned {
	struct owner *owner;
	struct loom_exchange *x;
	enum deed deed;
	GString *body;
	struct tevent_timer *timer;
};

struct owner {
	struct tevent_context *ev;
	struct loom_peer_server *server;
	int listen_fd;
	uint32_t requests;
	uint32_t gone;
	uint32_t ended;
};

static enum deed
deed_of(const struct loom_exchange *x)
{
	const char *target = loom_exchange_target(x);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(deeds); i++) {
		if (g_str_has_prefix(target, deeds[i].target))
			return deeds[i].deed;
	}
	return DEED_ANSWER;
}

static void
answer(struct owned *owned)
{
	static const struct loom_header headers[] = { { "X-A", "b" } };
	struct loom_exchange *x = owned->x;
	char *text = g_strdup_printf("%s %s [%s]", loom_exchange_method(x),
	    loom_exchange_target(x), owned->body->str);

	if (owned->deed == DEED_STREAM || owned->deed == DEED_ABORT) {
		loom_exchange_stream(x, 200, headers, 1, -1);
		loom_exchange_push(x, text, strlen(text));
		if (owned->deed == DEED_ABORT)
			loom_exchange_abort(x);
		else
			loom_exchange_finish(x);
	} else {
		loom_exchange_answer(x, 200, headers, 1, text, strlen(text));
	}
	g_free(text);
}

static void
on_request(void *arg, struct loom_exchange *x)
{
	struct owner *owner = arg;
	struct owned *owned = g_new0(struct owned, 1);

	owned->owner = owner;
	owned->x = x;
	owned->deed = deed_of(x);
	owned->body = g_string_new(NULL);
	loom_exchange_set_user(x, owned);
	owner->requests++;
	if (owned->deed == DEED_EARLY)
		loom_exchange_answer(x, 413, NULL, 0, "long", 4);
	else if (loom_exchange_body_length(x) != 0)
		loom_exchange_take_body(x);
	else if (owned->deed != DEED_WAIT)
		answer(owned);
}

static void
take_more(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct owned *owned = arg;

	(void)ev;
	(void)timer;
	(void)now;
	owned->timer = NULL;
	loom_exchange_take_body(owned->x);
}

static size_t
on_body(struct loom_exchange *x, const uint8_t *data, size_t len)
{
	struct owned *owned = loom_exchange_user(x);

	if (owned->deed == DEED_EAGER) {
		len = MIN(len, 1);
		loom_exchange_take_body(x);
	}
	if (owned->deed == DEED_SLOW) {
		len = MIN(len, 1);
		if (owned->timer == NULL)
			owned->timer =
			    tevent_add_timer(owned->owner->ev, owned->owner->ev,
				tevent_timeval_zero(), take_more, owned);
	}
	g_string_append_len(owned->body, (const char *)data, (gssize)len);
	return len;
}

static void
on_body_end(struct loom_exchange *x)
{
	answer(loom_exchange_user(x));
}

static void
on_drained(struct loom_exchange *x)
{
	(void)x;
}

static void
on_gone(struct loom_exchange *x)
{
	struct owned *owned = loom_exchange_user(x);

	owned->owner->gone++;
}

static void
on_end(struct loom_exchange *x)
{
	struct owned *owned = loom_exchange_user(x);

	owned->owner->ended++;
	talloc_free(owned->timer);
	g_string_free(owned->body, TRUE);
	g_free(owned);
}

static const struct loom_exchange_ops ops = {
	.request = on_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = on_drained,
	.gone = on_gone,
	.end = on_end,
};

static void
owner_start(struct owner *owner, uint32_t connections_max, uint32_t idle_s)
{
	struct loom_server_options options = {
		.connections_max = connections_max,
		.idle_timeout_s = idle_s,
		.ops = &ops,
		.arg = owner,
	};
	GError *error = NULL;

	memset(owner, 0, sizeof(*owner));
	owner->listen_fd = loom_server_listen("127.0.0.1:0", &error);
	options.listen_fd = owner->listen_fd;
	owner->ev = tevent_context_init(NULL);
	owner->server = loom_peer_server_new(owner->ev, owner->ev,
	    loom_sockets_new(owner->ev, owner->ev), &options, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner->server);
}

static void
owner_stop(struct owner *owner)
{
	TALLOC_FREE(owner->server);
	close(owner->listen_fd);
	talloc_free(owner->ev);
}

static int
connect_to(const struct owner *owner)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(loom_server_port(owner->listen_fd)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_FATAL(connect(fd, (const struct sockaddr *)&address,
			    sizeof(address)) == 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/* What a caller sends, and what it got until the end or the marker. */
struct caller {
	int fd;
	const char *text;
	bool in_bytes;
	const char *until; /* the last bytes of the answer; NULL: its end */
	char got[ANSWER_MAX];
	bool closed;
	gint over;
	GThread *thread;
};

static void
send_text(const struct caller *caller)
{
	const size_t len = strlen(caller->text);
	const size_t step = caller->in_bytes ? 1 : len;
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
	while (caller->until == NULL ||
	    !g_str_has_suffix(caller->got, caller->until)) {
		n = recv(
		    caller->fd, caller->got + len, ANSWER_MAX - 1 - len, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
		caller->got[len] = '\0';
	}
	caller->closed = n == 0;
	g_atomic_int_set(&caller->over, 1);
	return NULL;
}

static void
on_tick(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	(void)timer;
	(void)now;
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, LOOM_US_PER_MS),
	    on_tick, arg);
}

/* Call, and serve until the caller is done; the connection stays open. */
static void
call(struct owner *owner, struct caller *caller)
{
	bool passed = false;
	struct tevent_timer *limit =
	    test_loop_limit(owner->ev, owner->ev, &passed);

	caller->thread = g_thread_new("caller", run_caller, caller);
	on_tick(owner->ev, NULL, tevent_timeval_zero(), NULL);
	while (!g_atomic_int_get(&caller->over) && !passed)
		tevent_loop_once(owner->ev);
	CU_ASSERT_FALSE(passed);
	if (passed)
		shutdown(caller->fd, SHUT_RDWR);
	g_thread_join(caller->thread);
	talloc_free(limit);
}

#define GOT(body, length) \
	"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: " length "\r\n\r\n" body
#define GOT_LAST(body, length)                                 \
	"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: " length \
	"\r\nConnection: close\r\n\r\n" body
#define MALFORMED                                           \
	"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n" \
	"Connection: close\r\n\r\n"

static const struct request_case {
	const char *name;
	const char *text;
	const char *answer;
	bool closed;
} request_cases[] = {
	{ "get", "GET /answer?q=1 HTTP/1.1\r\nHost: h\r\n\r\n",
	    GOT("GET /answer?q=1 []", "18"), false },
	{ "length", "POST /answer HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
	    GOT("POST /answer [hello]", "20"), false },
	{ "length 0", "POST /answer HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	    GOT("POST /answer []", "15"), false },
	{ "chunks",
	    "PUT /answer HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nhel\r\n2\r\nlo\r\n0\r\nX-T: z\r\n\r\n",
	    GOT("PUT /answer [hello]", "19"), false },
	{ "head", "HEAD /answer HTTP/1.1\r\n\r\n", GOT("", "15"), false },
	{ "taken slowly",
	    "POST /slow HTTP/1.1\r\nContent-Length: 12\r\n\r\nhello, hello",
	    GOT("POST /slow [hello, hello]", "25"), false },
	{ "chunks taken slowly",
	    "POST /slow HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "6\r\nhello,\r\n6\r\n hello\r\n0\r\n\r\n",
	    GOT("POST /slow [hello, hello]", "25"), false },
	{ "asked for from inside",
	    "POST /eager HTTP/1.1\r\nContent-Length: 12\r\n\r\nhello, hello",
	    GOT("POST /eager [hello, hello]", "26"), false },
	{ "stream", "GET /stream HTTP/1.1\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "e\r\nGET /stream []\r\n0\r\n\r\n",
	    false },
	{ "two at once",
	    "GET /answer/1 HTTP/1.1\r\n\r\n"
	    "POST /answer/2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx",
	    GOT("GET /answer/1 []", "16") GOT("POST /answer/2 [x]", "18"),
	    false },
	{ "goes on after the body",
	    "POST /answer HTTP/1.1\r\nExpect: 100-continue\r\n"
	    "Content-Length: 1\r\n\r\nx",
	    "HTTP/1.1 100 Continue\r\n\r\n" GOT("POST /answer [x]", "16"),
	    false },
	{ "last", "GET /answer HTTP/1.1\r\nConnection: close\r\n\r\n",
	    GOT_LAST("GET /answer []", "14"), true },
	{ "HTTP/1.0", "GET /answer HTTP/1.0\r\n\r\n",
	    GOT_LAST("GET /answer []", "14"), true },
	{ "early", "POST /early HTTP/1.1\r\nContent-Length: 500\r\n\r\nbegun",
	    "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 4\r\n"
	    "Connection: close\r\n\r\nlong",
	    true },
	{ "broken off", "GET /abort HTTP/1.1\r\n\r\n", NULL, false },
	{ "garbage", "\x16\x03\x01 and so on\r\n\r\n", MALFORMED, true },
	{ "garbage behind a request",
	    "GET /answer HTTP/1.1\r\n\r\n\x16\x03\x01 and so on\r\n\r\n",
	    GOT("GET /answer []", "14") MALFORMED, true },
	{ "garbage behind a body taken slowly",
	    "POST /slow HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
	    "\x16\x03\x01 and so on\r\n\r\n",
	    GOT("POST /slow [hi]", "15") MALFORMED, true },
	{ "broken chunks, taken slowly",
	    "POST /slow HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nhi\r\nzz\r\n",
	    "", true },
	{ "no protocol", "GET /answer\r\n\r\n", MALFORMED, true },
	{ "two lengths",
	    "POST /answer HTTP/1.1\r\nContent-Length: 1\r\n"
	    "Content-Length: 2\r\n\r\nxy",
	    MALFORMED, true },
	{ "length and chunks",
	    "POST /answer HTTP/1.1\r\nContent-Length: 1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	    MALFORMED, true },
	{ "length of letters",
	    "POST /answer HTTP/1.1\r\nContent-Length: one\r\n\r\nx", MALFORMED,
	    true },
	{ "space behind a name",
	    "POST /answer HTTP/1.1\r\nContent-Length : 1\r\n\r\nx", MALFORMED,
	    true },
};

static void
check_request(const struct request_case *c, bool in_bytes)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct owner owner;

	owner_start(&owner, CONNECTIONS_MAX, 30);
	caller->fd = connect_to(&owner);
	caller->text = c->text;
	caller->in_bytes = in_bytes;
	caller->until = c->closed ? NULL : c->answer;
	call(&owner, caller);
	TEST_CHECK(c->answer == NULL || strcmp(caller->got, c->answer) == 0,
	    "%s: got '%s'", c->name, caller->got);
	/* bytes that come after an end without an answer make it a reset */
	TEST_CHECK(caller->closed == c->closed ||
		(c->answer != NULL && c->answer[0] == '\0'),
	    "%s: closed %d", c->name, caller->closed);
	close(caller->fd);
	owner_stop(&owner);
	TEST_CHECK(owner.requests == owner.ended, "%s: %u requests, %u ended",
	    c->name, owner.requests, owner.ended);
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
callers_server_start(struct owner *owner)
{
	struct loom_server_options options = {
		.connections_max = CONNECTIONS_MAX,
		.idle_timeout_s = 30,
		.ops = &ops,
		.arg = owner,
	};
	struct loom_server *server;
	GError *error = NULL;

	owner->listen_fd = loom_server_listen("127.0.0.1:0", &error);
	options.listen_fd = owner->listen_fd;
	owner->ev = tevent_context_init(NULL);
	server = loom_server_new(owner->ev, owner->ev,
	    loom_hangup_new(owner->ev, owner->ev), &options, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	return server;
}

static void
callers_server_stop(struct owner *owner, struct loom_server *server)
{
	talloc_free(server);
	close(owner->listen_fd);
	talloc_free(owner->ev);
}

/* Guards against an upload that stops for good at either server: its owner
 * asked for more from inside the taking of a piece. */
static void
test_asked_from_inside(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct owner owner = { .requests = 0 };
	struct loom_server *server = callers_server_start(&owner);

	caller->fd = connect_to(&owner);
	caller->text = "POST /eager HTTP/1.1\r\nHost: h\r\n"
		       "Content-Length: 12\r\n\r\nhello, hello";
	caller->until = "[hello, hello]";
	call(&owner, caller);
	CU_ASSERT_TRUE(g_str_has_suffix(caller->got, "[hello, hello]"));
	close(caller->fd);
	callers_server_stop(&owner, server);
	g_free(caller);
}

static void
ignore_timer(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	(void)ev;
	(void)timer;
	(void)now;
	(void)arg;
}

/* Let the server do what there is, for a millisecond. */
static void
turn(struct owner *owner)
{
	tevent_add_timer(owner->ev, owner->ev,
	    tevent_timeval_current_ofs(0, 1000), ignore_timer, NULL);
	tevent_loop_once(owner->ev);
}

/* Send so many bytes in pieces; the error of the connection, 0 for none. */
static int
send_slowly(struct owner *owner, int fd, size_t bytes)
{
	static const char piece[16384];
	ssize_t n;

	while (bytes > 0) {
		turn(owner);
		n = send(fd, piece, MIN(bytes, sizeof(piece)),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return errno;
		if (n > 0)
			bytes -= (size_t)n;
	}
	return 0;
}

/* Guards against a reset that overtakes the answer to an upload which was
 * refused by its headers, while its caller sends it all the same. */
static void
test_refused_upload(void)
{
	static const char text[] = "POST /early HTTP/1.1\r\nHost: h\r\n"
				   "Content-Length: 524288\r\n\r\n";
	struct owner owner = { .requests = 0 };
	struct loom_server *server = callers_server_start(&owner);
	char got[64] = "";
	int fd = connect_to(&owner);

	send(fd, text, strlen(text), MSG_NOSIGNAL);
	while (recv(fd, got, sizeof(got) - 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
		turn(&owner);
	CU_ASSERT_EQUAL(send_slowly(&owner, fd, 524288), 0);
	CU_ASSERT_TRUE(recv(fd, got, sizeof(got) - 1, MSG_DONTWAIT) > 0);
	CU_ASSERT_TRUE(g_str_has_prefix(got, "HTTP/1.1 413 "));
	close(fd);
	callers_server_stop(&owner, server);
}

/* Guards against work that goes on for a caller that has gone away. */
static void
test_gone(void)
{
	static const char *const texts[] = {
		"GET /wait HTTP/1.1\r\n\r\n",
		"POST /answer HTTP/1.1\r\nContent-Length: 500\r\n\r\nbegun",
	};
	struct owner owner;
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		owner_start(&owner, CONNECTIONS_MAX, 30);
		fd = connect_to(&owner);
		send(fd, texts[i], strlen(texts[i]), MSG_NOSIGNAL);
		while (owner.requests == 0)
			tevent_loop_once(owner.ev);
		CU_ASSERT_EQUAL(owner.gone, 0);
		close(fd);
		while (owner.ended == 0)
			tevent_loop_once(owner.ev);
		CU_ASSERT_EQUAL(owner.gone, 1);
		owner_stop(&owner);
	}
}

/* A connection that brings nothing ends; one whose request is worked on does
 * not. */
static void
test_idle(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct owner owner;
	int fd;

	owner_start(&owner, CONNECTIONS_MAX, 1);
	fd = connect_to(&owner);
	send(fd, "GET /wait HTTP/1.1\r\n\r\n", 22, MSG_NOSIGNAL);
	while (owner.requests == 0)
		tevent_loop_once(owner.ev);
	caller->fd = connect_to(&owner);
	caller->text = "GET /answ";
	call(&owner, caller);
	CU_ASSERT_TRUE(caller->closed);
	CU_ASSERT_EQUAL(owner.gone, 0);
	close(caller->fd);
	close(fd);
	owner_stop(&owner);
	g_free(caller);
}

/* A connection too many waits until another one ends. */
static void
test_full(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct owner owner;
	int first;

	owner_start(&owner, 1, 30);
	first = connect_to(&owner);
	send(first, "GET /wait HTTP/1.1\r\n\r\n", 22, MSG_NOSIGNAL);
	while (owner.requests == 0)
		tevent_loop_once(owner.ev);
	caller->fd = connect_to(&owner);
	caller->text = "GET /answer HTTP/1.1\r\n\r\n";
	caller->until = "[]";
	close(first);
	call(&owner, caller);
	CU_ASSERT_TRUE(g_str_has_suffix(caller->got, "[]"));
	close(caller->fd);
	owner_stop(&owner);
	g_free(caller);
}

/* Each answer of a server that drains is the last of its connection. */
static void
test_drains(void)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct owner owner;

	owner_start(&owner, CONNECTIONS_MAX, 30);
	loom_peer_server_drain(owner.server);
	caller->fd = connect_to(&owner);
	caller->text = "GET /answer HTTP/1.1\r\n\r\n";
	call(&owner, caller);
	CU_ASSERT_TRUE(caller->closed);
	CU_ASSERT_STRING_EQUAL(caller->got, GOT_LAST("GET /answer []", "14"));
	close(caller->fd);
	owner_stop(&owner);
	g_free(caller);
}

static const struct test_case tests[] = {
	{ "requests", test_requests },
	{ "asked from inside", test_asked_from_inside },
	{ "refused upload", test_refused_upload },
	{ "caller gone", test_gone },
	{ "idle", test_idle },
	{ "full", test_full },
	{ "drains", test_drains },
};

TEST_MAIN("peer_server", tests)
