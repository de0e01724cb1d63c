/*
 * What a refused caller is told, and when.  A request that is given up gets
 * its final answer at once: each row sends one with a deadline of ten seconds
 * while another with the same deadline runs, and its refusal has to be there
 * in a small part of that time, with the other still running.  Where the same
 * request may succeed later the refusal says when to come back.
 */

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "loom/result.h"
#include "support/test.h"
#include "support/testbed.h"

#define DEADLINE_MS 10000
#define DEADLINE_HEADER "Loom-Deadline-Ms: 10000"
#define AT_ONCE_MS (DEADLINE_MS * 0.25)
#define QUARANTINE_S 1800

#define KEY_HEADER "Loom-Key: k-refused-caller"
#define SMALL_KEY_HEADER "Loom-Key: k-refused-small"

/* Who waits for the answer of a request that takes a minute. */
#define LONG_CALL(path)                                       \
	"GET " path " HTTP/1.1\r\nHost: a\r\n" KEY_HEADER     \
	"\r\n" DEADLINE_HEADER                                \
	"\r\nX-Test-Id: long\r\nX-Test-Service-Ms: 60000\r\n" \
	"\r\n"

enum {
	SHOP,
	STORE,
	OTHER
};

static const struct testbed_service services[] = {
	[SHOP] = { .name = "shop", .hosts = 1, .slots = 16 },
	[STORE] = { .name = "store", .hosts = 1, .slots = 16 },
	[OTHER] = { .name = "other", .hosts = 1, .slots = 16 },
	{ .name = "empty", .hosts = 0 },
};

static const char document_format[] =
    "{ \"document\": \"test\", \"version\": 1,\n"
    "\"fleet\": { \"slots\": 3 }, \"teams\": [\n"
    " { \"name\": \"crew\", \"rate_per_s\": 1000, \"burst\": 1000,\n"
    "   \"keys\": [ { \"id\": \"a\", \"sha256\": \"%s\" } ] },\n"
    " { \"name\": \"small\", \"rate_per_s\": 0.01, \"burst\": 1,\n"
    "   \"keys\": [ { \"id\": \"a\", \"sha256\": \"%s\" } ] } ],\n"
    "\"services\": [ { \"name\": \"shop\" },\n"
    " { \"name\": \"store\", \"slots\": 1, \"queue\": 1 },\n"
    " { \"name\": \"other\" }, { \"name\": \"empty\" } ],\n"
    "\"routes\": [\n"
    " { \"name\": \"get\", \"service\": \"shop\", \"method\": \"GET\",\n"
    "   \"path\": \"/get\" },\n"
    " { \"name\": \"far\", \"service\": \"store\", \"method\": \"GET\",\n"
    "   \"path\": \"/far\" },\n"
    " { \"name\": \"other\", \"service\": \"other\", \"method\": \"GET\",\n"
    "   \"path\": \"/other\" },\n"
    " { \"name\": \"none\", \"service\": \"empty\", \"method\": \"GET\",\n"
    "   \"path\": \"/none\" } ] }";

static struct testbed testbed;

/* Connections of callers that keep the fleet as a row needs it. */
static int held[2];

static bool
start(void)
{
	char *first = g_strdup(testbed_key_digest("k-refused-caller"));
	char *second = g_strdup(testbed_key_digest("k-refused-small"));
	char *text = g_strdup_printf(document_format, first, second);
	bool ok =
	    testbed_start(&testbed, services, G_N_ELEMENTS(services), 1, text);

	g_free(text);
	g_free(second);
	g_free(first);
	return TEST_CHECK(ok, "the fleet starts");
}

static bool
long_started(void *arg)
{
	return testbed_ledger_count(&testbed, arg, "start", "long") > 0;
}

static int
start_long(uint32_t host, const char *request, const char *service)
{
	int fd = testbed_connect(&testbed, host);

	TEST_CHECK(write(fd, request, strlen(request)) > 0, "long call");
	TEST_CHECK(testbed_wait_condition(long_started, (void *)service),
	    "the long call runs");
	return fd;
}

static bool
still_waits(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) < 0 &&
	    errno == EAGAIN;
}

/* Seconds of Retry-After; -1 without one. */
static long
retry_after_s(const struct testbed_reply *reply)
{
	const char *line = strstr(reply->headers, "Retry-After: ");

	return line == NULL ? -1
			    : strtol(line + strlen("Retry-After: "), NULL, 10);
}

static long
retry_after_ms(const struct testbed_reply *reply)
{
	const char *field = strstr(reply->body, "\"retry_after_ms\":");

	return field == NULL ? -1 : strtol(strchr(field, ':') + 1, NULL, 10);
}

struct row {
	const char *name;
	/* Brings the fleet into the state in which the request is refused;
	 * may start callers that keep it so. */
	void (*arrange)(void);
	uint32_t host;
	const char *path;
	const char *headers[4];
	int codes[2]; /* either */
	long wait_min_s; /* -1: a last word, without Retry-After */
	long wait_max_s;
};

static void
call_row(const struct row *row, struct testbed_reply *reply)
{
	testbed_call(&testbed, row->host, "GET", row->path, row->headers, NULL,
	    0, reply);
}

static bool
has_code(const struct row *row, const struct testbed_reply *reply)
{
	return reply->curl_code == 0 && reply->code != 0 &&
	    (reply->code == row->codes[0] || reply->code == row->codes[1]);
}

static bool
check_wait(const struct row *row, const struct testbed_reply *reply)
{
	long seconds = retry_after_s(reply), ms = retry_after_ms(reply);

	if (row->wait_min_s < 0)
		return seconds == -1 && ms == -1;
	return seconds == (ms + 999) / 1000 && ms > 0 &&
	    seconds >= row->wait_min_s && seconds <= row->wait_max_s;
}

static void
spend_burst(void)
{
	const char *headers[] = { SMALL_KEY_HEADER, NULL };
	struct testbed_reply reply;

	testbed_call(&testbed, SHOP, "GET", "/get", headers, NULL, 0, &reply);
	testbed_reply_clear(&reply);
}

static bool
one_waits(void *arg)
{
	(void)arg;
	return testbed_metric(&testbed, STORE, "loom_calls_inflight") >= 3;
}

/* One runs, one waits in a queue that has no second place.  (The third that
 * the daemon counts is the reader of its counters.) */
static void
fill_store(void)
{
	static const char second[] = LONG_CALL("/far");

	held[0] = start_long(SHOP, LONG_CALL("/far"), "store");
	held[1] = testbed_connect(&testbed, SHOP);
	TEST_CHECK(write(held[1], second, sizeof(second) - 1) > 0, "second");
	TEST_CHECK(testbed_wait_condition(one_waits, NULL), "one waits");
}

static bool
upstream_is_dead(void *arg)
{
	struct testbed_host *host = arg;

	return waitpid(host->upstream, NULL, WNOHANG) == host->upstream;
}

static void
stop_upstream(void)
{
	testbed_signal(&testbed.hosts[SHOP].upstream, SIGKILL);
}

static void
start_upstream(void)
{
	testbed_start_upstream(&testbed, SHOP);
	TEST_CHECK(testbed_wait_upstream(&testbed, SHOP), "upstream");
}

static void
restart_crashed(void)
{
	TEST_CHECK(
	    testbed_wait_condition(upstream_is_dead, &testbed.hosts[SHOP]),
	    "crashed");
	start_upstream();
}

static bool
crashed_for_good(void *arg)
{
	struct testbed_host *host = &testbed.hosts[SHOP];
	const struct row *row = arg;
	struct testbed_reply reply;
	bool quarantined;

	if (upstream_is_dead(host))
		start_upstream();
	call_row(row, &reply);
	quarantined = reply.code == LOOM_QUARANTINED;
	testbed_reply_clear(&reply);
	return quarantined;
}

static const struct row crasher = {
	.path = "/get?crasher",
	.headers = { KEY_HEADER, DEADLINE_HEADER, "X-Test-Crash: shop" },
};

static void
crash_again(void)
{
	TEST_CHECK(testbed_wait_condition(crashed_for_good, (void *)&crasher),
	    "quarantined");
}

static bool
store_drains(void *arg)
{
	struct testbed_reply reply;
	bool drains;

	(void)arg;
	testbed_call(
	    &testbed, STORE, "GET", "/.loom/health", NULL, NULL, 0, &reply);
	drains = reply.status == 503;
	testbed_reply_clear(&reply);
	return drains;
}

/* A call that came before the daemon has seen its signal would be let in. */
static void
drain_store(void)
{
	held[0] = start_long(STORE, LONG_CALL("/far"), "store");
	kill(testbed.hosts[STORE].daemon, SIGTERM);
	testbed_wait_condition(store_drains, NULL);
}

static void
kill_store(void)
{
	testbed_signal(&testbed.hosts[STORE].daemon, SIGKILL);
}

static bool
answers(void *arg)
{
	struct testbed_reply reply;
	bool came;

	call_row(arg, &reply);
	came = reply.curl_code == 0;
	testbed_reply_clear(&reply);
	return came;
}

static void
start_store(void)
{
	static const struct row any = { .host = STORE, .path = "/far" };

	testbed_start_daemon(&testbed, STORE);
	TEST_CHECK(testbed_wait_condition(answers, (void *)&any), "answers");
}

/* In their order: some leave the fleet as the next one needs it. */
static const struct row rows[] = {
	{ "unknown key", NULL, SHOP, "/get",
	    { "Loom-Key: nobody", DEADLINE_HEADER }, { LOOM_KEY_UNKNOWN }, -1,
	    -1 },
	{ "unknown route", NULL, SHOP, "/nowhere",
	    { KEY_HEADER, DEADLINE_HEADER }, { LOOM_ROUTE_UNKNOWN }, -1, -1 },
	{ "no time given", NULL, SHOP, "/get",
	    { KEY_HEADER, "Loom-Deadline-Ms: 0" }, { LOOM_LATE }, -1, -1 },
	{ "over the team's rate", spend_burst, SHOP, "/get",
	    { SMALL_KEY_HEADER, DEADLINE_HEADER }, { LOOM_TEAM_RATE }, 1,
	    3600 },
	{ "no host of the service", NULL, SHOP, "/none",
	    { KEY_HEADER, DEADLINE_HEADER }, { LOOM_NO_TARGET }, 1, 5 },
	{ "queue full", fill_store, SHOP, "/far",
	    { KEY_HEADER, DEADLINE_HEADER },
	    { LOOM_OVERLOAD, LOOM_QUEUE_DEADLINE }, 1, 60 },
	{ "crashes its upstream", NULL, SHOP, "/get?crasher",
	    { KEY_HEADER, DEADLINE_HEADER, "X-Test-Crash: shop" },
	    { LOOM_UPSTREAM_CRASHED }, 1, 5 },
	{ "suspect", restart_crashed, SHOP, "/get?crasher",
	    { KEY_HEADER, DEADLINE_HEADER, "X-Test-Crash: shop" },
	    { LOOM_SUSPECT }, 1, 60 },
	{ "quarantined", crash_again, SHOP, "/get?crasher",
	    { KEY_HEADER, DEADLINE_HEADER, "X-Test-Crash: shop" },
	    { LOOM_QUARANTINED }, QUARANTINE_S / 2, QUARANTINE_S },
	{ "upstream down", stop_upstream, SHOP, "/get",
	    { KEY_HEADER, DEADLINE_HEADER }, { LOOM_UPSTREAM_CONNECT }, 1, 5 },
	{ "draining", drain_store, STORE, "/far",
	    { KEY_HEADER, DEADLINE_HEADER }, { LOOM_DRAINING }, 1, 1 },
	{ "peer gone", kill_store, SHOP, "/far",
	    { KEY_HEADER, DEADLINE_HEADER }, { LOOM_PEER_CONNECT }, 1, 1 },
	{ "just started", start_store, STORE, "/far",
	    { KEY_HEADER, DEADLINE_HEADER },
	    { LOOM_NO_MANIFEST, LOOM_STARTING }, 1, 5 },
};

static void
check_row(const struct row *row)
{
	struct testbed_reply reply;
	int other, i;

	held[0] = held[1] = -1;
	if (row->arrange != NULL)
		row->arrange();
	other = start_long(SHOP, LONG_CALL("/other"), "other");
	call_row(row, &reply);
	TEST_CHECK(has_code(row, &reply), "%s: curl %d code %d %s", row->name,
	    reply.curl_code, reply.code, reply.body);
	TEST_CHECK(reply.total_ms < AT_ONCE_MS && still_waits(other),
	    "%s: after %.0f ms", row->name, reply.total_ms);
	TEST_CHECK(check_wait(row, &reply), "%s: %ld s, %ld ms", row->name,
	    retry_after_s(&reply), retry_after_ms(&reply));
	TEST_CHECK(strstr(reply.body, "\"final\":true") != NULL, "%s: %s",
	    row->name, reply.body);
	testbed_reply_clear(&reply);
	close(other);
	for (i = 0; i < 2; i++) {
		if (held[i] >= 0)
			close(held[i]);
	}
}

static void
test_told_at_once(void)
{
	size_t i;

	if (start()) {
		for (i = 0; i < G_N_ELEMENTS(rows); i++)
			check_row(&rows[i]);
	}
	testbed_stop(&testbed);
}

/* What runs out of time is told so at its end, and when to come back. */
static void
test_deadline(void)
{
	static const struct row row = { .host = SHOP,
		.path = "/get",
		.headers = { KEY_HEADER, "Loom-Deadline-Ms: 200",
		    "X-Test-Service-Ms: 60000" },
		.codes = { LOOM_DEADLINE },
		.wait_min_s = 1,
		.wait_max_s = 5 };
	struct testbed_reply reply;

	if (start()) {
		call_row(&row, &reply);
		TEST_CHECK(has_code(&row, &reply) && check_wait(&row, &reply),
		    "%d: %ld s", reply.code, retry_after_s(&reply));
		testbed_reply_clear(&reply);
	}
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "told at once", test_told_at_once },
	{ "deadline", test_deadline },
};

TEST_MAIN("refusals", tests)
