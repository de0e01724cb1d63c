/*
 * The platform reader against a service whose answers are malformed or have no
 * end.
 */

#include <arpa/inet.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/fetch.h"
#include "loom/platform.h"
#include "support/test.h"
#include "support/wait.h"

#define ANSWER_TIMEOUT_MS 3000
#define BODY "{\"revision\":1,\"values\":[]}"
#define LENGTH "Content-Length: 26\r\n\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
/* The limits of the reader, and what the buffers of both sockets take in. */
#define HEAD_MAX_BYTES (8 * 1024 * 1024)
#define BODY_MAX_BYTES (40 * 1024 * 1024)

struct service {
	int fd;
	const char *answer;
	const char *endless; /* repeated after the answer; or NULL */
	atomic_size_t endless_bytes;
	GThread *thread;
};

static void
send_without_end(struct service *service, int fd)
{
	const size_t len = strlen(service->endless);
	GString *block = g_string_new(NULL);
	ssize_t n;

	while (block->len < 64 * 1024)
		g_string_append_len(block, service->endless, (gssize)len);
	while ((n = send(fd, block->str, block->len, MSG_NOSIGNAL)) > 0)
		atomic_fetch_add(&service->endless_bytes, (size_t)n);
	g_string_free(block, TRUE);
}

static void *
serve(void *arg)
{
	struct service *service = arg;
	char request[4096];
	int fd;

	while ((fd = accept(service->fd, NULL, NULL)) >= 0) {
		if (recv(fd, request, sizeof(request), 0) > 0) {
			send(fd, service->answer, strlen(service->answer),
			    MSG_NOSIGNAL);
			if (service->endless != NULL)
				send_without_end(service, fd);
		}
		close(fd);
	}
	return NULL;
}

struct outcome {
	unsigned answers;
	unsigned failures;
};

static void
on_complete(void *arg, uint64_t sent_us)
{
	(void)sent_us;
	((struct outcome *)arg)->answers++;
}

static void
on_failure(void *arg, const GError *error)
{
	(void)error;
	((struct outcome *)arg)->failures++;
}

static const struct loom_platform_events events = {
	.on_reading_complete = on_complete,
	.on_failure = on_failure,
};

static const struct odd_answer {
	const char *name;
	const char *answer;
	const char *endless;
	size_t endless_max_bytes; /* that are taken, with both sockets' */
	bool valid;
} rows[] = {
	{ "sound", OK LENGTH BODY, NULL, 0, true },
	{ "interim answer first",
	    "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" OK LENGTH BODY, NULL,
	    0, true },
	{ "trailers",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "1a\r\n" BODY "\r\n0\r\nX-T: 1\r\n\r\n",
	    NULL, 0, true },
	{ "status of four digits", "HTTP/1.1 0200 OK\r\n" LENGTH BODY, NULL, 0,
	    false },
	{ "status 000", "HTTP/1.1 000 OK\r\n" LENGTH BODY, NULL, 0, false },
	{ "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" LENGTH BODY,
	    NULL, 0, false },
	{ "blank in a name", OK "X A: b\r\n" LENGTH BODY, NULL, 0, false },
	{ "control byte in a name", OK "X\x01-A: b\r\n" LENGTH BODY, NULL, 0,
	    false },
	{ "control byte in a value", OK "X-A: \x01\r\n" LENGTH BODY, NULL, 0,
	    false },
	{ "folded line", OK "X-A: b\r\n c\r\n" LENGTH BODY, NULL, 0, false },
	{ "line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 26\n\n" BODY,
	    NULL, 0, false },
	{ "headers without end", OK, "X-Header: more of the same\r\n",
	    HEAD_MAX_BYTES, false },
	{ "interim answers without end", "",
	    "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", HEAD_MAX_BYTES,
	    false },
	{ "one line without end", OK "X-A: ", "more of the same ",
	    HEAD_MAX_BYTES, false },
	{ "body without end", OK "\r\n", "more of the same ", BODY_MAX_BYTES,
	    false },
};

static void
start_service(struct service *service, const struct odd_answer *row)
{
	const struct sockaddr_in any = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	*service = (struct service){
		.answer = row->answer,
		.endless = row->endless,
		.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
	};
	CU_ASSERT_FATAL(
	    bind(service->fd, (const struct sockaddr *)&any, sizeof(any)) == 0);
	CU_ASSERT_FATAL(listen(service->fd, 8) == 0);
	service->thread = g_thread_new("service", serve, service);
}

static void
stop_service(struct service *service)
{
	shutdown(service->fd, SHUT_RDWR);
	g_thread_join(service->thread);
	close(service->fd);
}

static void
check_answer(const struct odd_answer *row)
{
	struct loom_random random = test_random_new(7);
	struct outcome outcome = { 0 };
	struct loom_platform_options options = {
		.prefix = "manifest/",
		.random = random,
		.pace = { .wait_ms = 100,
		    .answer_timeout_ms = ANSWER_TIMEOUT_MS,
		    .gap_ms = 1,
		    .backoff_ms = 5,
		    .backoff_max_ms = 20 },
	};
	struct tevent_context *ev = tevent_context_init(NULL);
	struct loom_platform_reader *reader;
	struct service service;
	char *url;

	start_service(&service, row);
	url = g_strdup_printf(
	    "http://127.0.0.1:%u", loom_server_port(service.fd));
	options.url = url;
	reader = loom_platform_reader_new(
	    ev, ev, loom_multi_new(ev, ev), &options, &events, &outcome);
	loom_platform_reader_fetch(reader);
	while (outcome.answers + outcome.failures == 0)
		tevent_loop_once(ev);
	TEST_CHECK((outcome.answers == 1) == row->valid, "%s: %u answers",
	    row->name, outcome.answers);
	talloc_free(reader);
	talloc_free(ev);
	stop_service(&service);
	TEST_CHECK(
	    atomic_load(&service.endless_bytes) <= row->endless_max_bytes,
	    "%s: %zu bytes were taken", row->name,
	    atomic_load(&service.endless_bytes));
	g_free(url);
	test_random_free(&random);
}

/*
 * Guards against answers of the platform that are malformed and count as sound,
 * or that are read until there is no memory left.
 */
static void
test_odd_answers(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		check_answer(&rows[i]);
}

static const struct test_case tests[] = {
	{ "odd answers", test_odd_answers },
};

TEST_MAIN("odd answers", tests)
