/*
 * Calls that wait in their executor's daemon while its upstream leaves, with
 * real processes.
 */

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "support/test.h"
#include "support/testbed.h"

enum host {
	ENTRY,
	LEAVER,
	STAYER, /* the other host of the service */
	HOSTS,
};

#define UPLOADS 8
/* More than an entry keeps for a retry. */
#define UPLOAD_BYTES 100000
#define QUEUED 4
/* An upstream gets no call later than this after the list has changed. */
#define BOUND_US (2 * G_USEC_PER_SEC)

static const char call_head[] = "Loom-Key: k-wait\r\n"
				"Loom-Deadline-Ms: 20000\r\n";

static const struct testbed_service services[] = {
	{ .name = "desk", .hosts = 1, .slots = 16 },
	{ .name = "back", .hosts = 2, .slots = 16 },
};

static const struct testbed_service narrow_services[] = {
	{ .name = "desk", .hosts = 1, .slots = 16 },
	{ .name = "back", .hosts = 2, .slots = 1 },
};

static struct testbed testbed;

static const struct change {
	const char *name;
	bool leaving; /* else the entry goes from the list */
} changes[] = {
	{ "leaving", true },
	{ "gone", false },
};

static bool
start(const struct testbed_service *of)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,"
	    "\"fleet\":{\"slots\":%d,\"tickets\":false},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":100000,"
	    "\"burst\":10000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"desk\"},"
	    "{\"name\":\"back\",\"slots\":%u,\"queue\":16}],"
	    "\"routes\":[{\"name\":\"u\",\"service\":\"back\","
	    "\"method\":\"POST\",\"idempotent\":false,\"path\":\"/back\"},"
	    "{\"name\":\"g\",\"service\":\"back\",\"method\":\"GET\","
	    "\"path\":\"/back\"}]}",
	    HOSTS, testbed_key_digest("k-wait"), of[1].slots);
	bool ok = testbed_start(&testbed, of, 2, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static void
write_text(int fd, const char *text, size_t len)
{
	TEST_CHECK(write(fd, text, len) == (ssize_t)len, "written");
}

static int
begin_request(const char *method, const char *more_headers)
{
	int fd = testbed_connect(&testbed, ENTRY);
	char *head = g_strdup_printf("%s /back HTTP/1.1\r\nHost: x\r\n%s%s"
				     "Connection: close\r\n\r\n",
	    method, call_head, more_headers);

	write_text(fd, head, strlen(head));
	g_free(head);
	return fd;
}

/* Whether the answer is whole, or a refusal that says not-run. */
static bool
is_answered(int fd)
{
	bool closed;
	char *answer = testbed_read_to_end(fd, &closed);
	bool ok = closed &&
	    (g_str_has_prefix(answer, "HTTP/1.1 200") ||
		strstr(answer, "Loom-Outcome: not-run") != NULL);

	TEST_CHECK(ok, "%.300s", answer);
	g_free(answer);
	close(fd);
	return ok;
}

static double
executed(enum host host)
{
	return testbed_metric(&testbed, host, "loom_executed_total");
}

static bool
has_passed(void *until_us)
{
	return g_get_monotonic_time() >= *(const gint64 *)until_us;
}

/* Changes the list, and waits until the bound has passed. */
static void
leave(const struct change *change)
{
	gint64 until_us;

	testbed.hosts[LEAVER].leaving = change->leaving;
	testbed.hosts[LEAVER].unlisted = !change->leaving;
	testbed_publish_hosts(&testbed);
	until_us = g_get_monotonic_time() + BOUND_US;
	testbed_wait_condition(has_passed, &until_us);
}

static bool
wait_in_executors(void *count)
{
	double calls = testbed_metric(&testbed, LEAVER, "loom_calls_inflight") +
	    testbed_metric(&testbed, STAYER, "loom_calls_inflight");

	return calls >= *(const uint32_t *)count;
}

static void
run_uploads(const struct change *change)
{
	static char body[UPLOAD_BYTES];
	char length[48];
	uint32_t count = UPLOADS;
	int fds[UPLOADS];
	double before;
	uint32_t i;

	g_snprintf(
	    length, sizeof(length), "Content-Length: %zu\r\n", sizeof(body));
	for (i = 0; i < UPLOADS; i++)
		fds[i] = begin_request("POST", length);
	TEST_CHECK(testbed_wait_condition(wait_in_executors, &count),
	    "%s: the uploads wait", change->name);
	leave(change);
	before = executed(LEAVER);
	for (i = 0; i < UPLOADS; i++)
		write_text(fds[i], body, sizeof(body));
	for (i = 0; i < UPLOADS; i++)
		is_answered(fds[i]);
	TEST_CHECK(executed(LEAVER) == before, "%s: %.0f run late",
	    change->name, executed(LEAVER) - before);
}

/* An upload whose client pauses reaches an upstream that has left meanwhile. */
static void
test_body(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes) && start(services); i++) {
		run_uploads(&changes[i]);
		testbed_stop(&testbed);
	}
}

static bool
both_run(void *arg)
{
	(void)arg;
	return executed(LEAVER) >= 1 && executed(STAYER) >= 1;
}

static void
run_queued(const struct change *change)
{
	uint32_t count = QUEUED, i;
	int fds[QUEUED];
	double before;

	for (i = 0; i < QUEUED; i++)
		fds[i] = begin_request("GET", "X-Test-Service-Ms: 3500\r\n");
	TEST_CHECK(testbed_wait_condition(wait_in_executors, &count) &&
		testbed_wait_condition(both_run, NULL),
	    "%s: calls run and wait", change->name);
	leave(change);
	before = executed(LEAVER);
	for (i = 0; i < QUEUED; i++)
		is_answered(fds[i]);
	TEST_CHECK(executed(LEAVER) == before, "%s: %.0f run late",
	    change->name, executed(LEAVER) - before);
}

/* A call in the queue reaches an upstream that has left meanwhile. */
static void
test_queue(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes) && start(narrow_services); i++) {
		run_queued(&changes[i]);
		testbed_stop(&testbed);
	}
}

static const struct test_case tests[] = {
	{ "body", test_body },
	{ "queue", test_queue },
};

TEST_MAIN("waiting", tests)
