/*
 * The HTTP client against a server that answers and ends the connection while
 * the request's body is still being sent.
 */

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/fetch.h"
#include "support/test.h"

#define TIMEOUT_US (5 * LOOM_US_PER_S)
/* More than the buffers of both sockets take in. */
#define BODY_BYTES 40000000

enum ending {
	ENDING_RESET,
	ENDING_CLOSE, /* with unread bytes, which resets the connection */
	ENDING_SHUTDOWN, /* of the server's sending side; it reads on */
};

static const struct early_end {
	const char *name;
	const char *answer;
	enum ending ending;
	bool complete; /* whether the answer is */
} rows[] = {
	{ "no length, reset", "HTTP/1.1 200 OK\r\n\r\nhalf", ENDING_RESET,
	    false },
	{ "no length, reset, close announced",
	    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", ENDING_RESET,
	    false },
	{ "no length, reset, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhalf",
	    ENDING_RESET, false },
	{ "no length, reset, status 500", "HTTP/1.1 500 No\r\n\r\nhalf",
	    ENDING_RESET, false },
	{ "no length, reset before the body", "HTTP/1.1 200 OK\r\n\r\n",
	    ENDING_RESET, false },
	{ "no length, closed", "HTTP/1.1 200 OK\r\n\r\nhalf", ENDING_CLOSE,
	    false },
	{ "no length, orderly end", "HTTP/1.1 200 OK\r\n\r\nwhole",
	    ENDING_SHUTDOWN, true },
	{ "length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	    ENDING_RESET, true },
	{ "cut length, reset",
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", ENDING_RESET,
	    false },
	{ "chunks, reset",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "5\r\nwhole\r\n0\r\n\r\n",
	    ENDING_RESET, true },
	{ "cut chunks, reset",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "4\r\nhalf\r\n",
	    ENDING_RESET, false },
};

struct upload {
	size_t left;
	bool done;
	struct loom_fetch_outcome end;
};

static size_t
read_body(void *arg, uint8_t *buf, size_t max, bool *end)
{
	struct upload *upload = arg;
	const size_t len = MIN(max, upload->left);

	memset(buf, 'x', len);
	upload->left -= len;
	*end = upload->left == 0;
	return len;
}

static void
on_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct upload *upload = arg;

	upload->done = true;
	upload->end = *end;
}

static const struct loom_fetch_ops ops = {
	.read_body = read_body,
	.done = on_done,
};

static int
listen_anywhere(char **address)
{
	const struct sockaddr_in any = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_FATAL(
	    bind(fd, (const struct sockaddr *)&any, sizeof(any)) == 0);
	CU_ASSERT_FATAL(listen(fd, 1) == 0);
	*address = g_strdup_printf("127.0.0.1:%u", loom_server_port(fd));
	return fd;
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

static void
run_loop_once(struct tevent_context *ev)
{
	tevent_add_timer(
	    ev, ev, tevent_timeval_current_ofs(0, 1000), on_wakeup, NULL);
	tevent_loop_once(ev);
}

/* Sends until neither socket takes more. */
static void
fill_sockets(struct tevent_context *ev, const struct upload *upload)
{
	size_t left;
	int i;

	do {
		left = upload->left;
		for (i = 0; i < 20; i++)
			run_loop_once(ev);
	} while (upload->left < left);
}

static void
answer_and_end(int fd, const struct early_end *row)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	send(fd, row->answer, strlen(row->answer), MSG_NOSIGNAL);
	if (row->ending == ENDING_SHUTDOWN) {
		shutdown(fd, SHUT_WR);
		return;
	}
	if (row->ending == ENDING_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
}

static void
check_early_end(const struct early_end *row)
{
	struct upload upload = { .left = BODY_BYTES };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct loom_fetcher *fetcher =
	    loom_fetcher_new(ev, ev, loom_sockets_new(ev, ev));
	struct loom_fetch_request request = {
		.method = "POST",
		.target = "/",
		.has_body = true,
		.body_length = BODY_BYTES,
		.timeout_us = TIMEOUT_US,
		.ops = &ops,
		.arg = &upload,
	};
	char *address;
	int listen_fd = listen_anywhere(&address), fd;

	request.address = address;
	CU_ASSERT_PTR_NOT_NULL_FATAL(loom_fetch_start(fetcher, &request));
	fd = accept(listen_fd, NULL, NULL);
	fill_sockets(ev, &upload);
	TEST_CHECK(upload.left > 0, "%s: the sockets took all", row->name);
	/* The client finds the answer and the end together. */
	answer_and_end(fd, row);
	while (!upload.done)
		run_loop_once(ev);
	TEST_CHECK((upload.end.result == LOOM_FETCH_COMPLETE) == row->complete,
	    "%s: result %d", row->name, upload.end.result);
	if (row->ending == ENDING_SHUTDOWN)
		close(fd);
	close(listen_fd);
	talloc_free(fetcher);
	talloc_free(ev);
	g_free(address);
}

/*
 * Guards against an answer without a length that is reset midway and counts as
 * whole, since the failing send has taken the connection's error.
 */
static void
test_early_end(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		check_early_end(&rows[i]);
}

static const struct test_case tests[] = {
	{ "early end", test_early_end },
};

TEST_MAIN("early_end", tests)
