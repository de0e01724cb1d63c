/*
 * The callers' interface with real processes: what is refused and with which
 * number, what is streamed, what a caller that goes away or a cut answer
 * leads to.
 */

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/test.h"
#include "support/testbed.h"

#define MIB (1024 * 1024)
#define UPLOAD_BYTES (200L * MIB)
#define UPLOAD_GROWTH_MAX_KB (24 * 1024)

static const char key[] = "k-0815-caller-secret";
static const char key_header[] = "Loom-Key: k-0815-caller-secret";

static const struct testbed_service services[] = {
	{ .name = "shop", .hosts = 1, .slots = 16 },
	{ .name = "store", .hosts = 1, .slots = 16 },
};

static const char document_format[] =
    "{ \"document\": \"test\", \"version\": %d,\n"
    "\"fleet\": { \"slots\": 2 }, \"teams\": [\n"
    " { \"name\": \"crew\", \"rate_per_s\": 1000, \"burst\": 1000,\n"
    "   \"keys\": [ { \"id\": \"a\", \"sha256\": \"%s\",\n"
    "     \"withdrawn\": %s } ] } ],\n"
    "\"services\": [ { \"name\": \"shop\" }, { \"name\": \"store\" } ],\n"
    "\"routes\": [\n"
    " { \"name\": \"get\", \"service\": \"shop\", \"method\": \"GET\",\n"
    "   \"path\": \"/get\" },\n"
    " { \"name\": \"head\", \"service\": \"shop\", \"method\": \"HEAD\",\n"
    "   \"path\": \"/get\" },\n"
    " { \"name\": \"small\", \"service\": \"shop\", \"method\": \"POST\",\n"
    "   \"path\": \"/small\", \"idempotent\": true,\n"
    "   \"max_body_bytes\": 100 },\n"
    " { \"name\": \"upload\", \"service\": \"store\",\n"
    "   \"method\": \"POST\", \"path\": \"/upload\",\n"
    "   \"idempotent\": true, \"max_body_bytes\": 1000000000,\n"
    "   \"deadline_ms\": 60000 },\n"
    " { \"name\": \"far\", \"service\": \"store\", \"method\": \"GET\",\n"
    "   \"path\": \"/far\" } ] }";

static struct testbed testbed;

static char *
document_text(int version, bool withdrawn)
{
	return g_strdup_printf(document_format, version,
	    testbed_key_digest(key), withdrawn ? "true" : "false");
}

static bool
start(void)
{
	char *text = document_text(1, false);
	bool ok = testbed_start(&testbed, services, 2, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the fleet starts");
}

/* Every refusal has its number, its outcome and no byte goes upstream. */
static void
test_refusals(void)
{
	static const struct {
		const char *name;
		const char *method;
		const char *path;
		const char *headers[4];
		const char *body;
		int code;
		long status;
	} cases[] = {
		{ "no key", "GET", "/get", { NULL }, NULL, LOOM_KEY_MISSING,
		    401 },
		{ "unknown key", "GET", "/get", { "Loom-Key: wrong" }, NULL,
		    LOOM_KEY_UNKNOWN, 401 },
		{ "empty bearer", "GET", "/get", { "Authorization: Bearer " },
		    NULL, LOOM_KEY_MISSING, 401 },
		{ "unknown route", "GET", "/nowhere", { key_header }, NULL,
		    LOOM_ROUTE_UNKNOWN, 404 },
		{ "method of no route", "PUT", "/get", { key_header }, "x",
		    LOOM_ROUTE_UNKNOWN, 404 },
		{ "body over the limit", "POST", "/small", { key_header },
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789"
		    "01234567890123456789012345678901234567890",
		    LOOM_BODY_TOO_LARGE, 413 },
		{ "deadline no number", "GET", "/get",
		    { key_header, "Loom-Deadline-Ms: soon" }, NULL,
		    LOOM_DEADLINE_INVALID, 400 },
		{ "deadline negative", "GET", "/get",
		    { key_header, "Loom-Deadline-Ms: -5" }, NULL,
		    LOOM_DEADLINE_INVALID, 400 },
		{ "deadline too long", "GET", "/get",
		    { key_header, "Loom-Deadline-Ms: 99999999999999999999" },
		    NULL, LOOM_DEADLINE_INVALID, 400 },
		{ "deadline of nothing", "GET", "/get",
		    { key_header, "Loom-Deadline-Ms: 0" }, NULL, LOOM_LATE,
		    504 },
		{ "key in another header", "GET", "/get",
		    { key_header, "X-Copy: has k-0815-caller-secret in it" },
		    NULL, LOOM_HEADER_INVALID, 400 },
		{ "key in the path", "GET", "/get?k=k-0815-caller-secret",
		    { key_header }, NULL, LOOM_HEADER_INVALID, 400 },
		{ "two keys", "GET", "/get", { key_header, "Loom-Key: other" },
		    NULL, LOOM_HEADER_INVALID, 400 },
		{ "forged context", "GET", "/get",
		    { key_header, "Loom-Context: AQLEEJ-em2nY1SHf" }, NULL,
		    LOOM_CONTEXT_INVALID, 403 },
	};
	struct testbed_reply reply;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		testbed_call(&testbed, 0, cases[i].method, cases[i].path,
		    cases[i].headers, cases[i].body,
		    cases[i].body != NULL ? strlen(cases[i].body) : 0, &reply);
		TEST_CHECK(reply.code == cases[i].code &&
			reply.status == cases[i].status &&
			strcmp(reply.outcome, "not-run") == 0,
		    "%s: %ld code %d %s", cases[i].name, reply.status,
		    reply.code, reply.outcome);
		testbed_reply_clear(&reply);
	}
	TEST_CHECK(
	    testbed_ledger_count(&testbed, "shop", "start", NULL) == 0, "ran");
	TEST_CHECK(!testbed_dump_contains(&testbed, key), "key upstream");
out:
	testbed_stop(&testbed);
}

/*
 * Bytes that are no request, or that two readers could understand as
 * different requests, are answered with an error or a closed connection; the
 * daemon serves the next caller.
 */
static void
test_hostile_bytes(void)
{
#define KEY_LINE "Loom-Key: k-0815-caller-secret\r\n"
	static const struct {
		const char *name;
		const char *bytes;
		const char *code; /* of the answer; NULL for any error */
	} cases[] = {
		{ "no request", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", NULL },
		{ "two lengths",
		    "POST /small HTTP/1.1\r\nHost: a\r\n" KEY_LINE
		    "Content-Length: 2\r\nContent-Length: 3\r\n"
		    "Connection: close\r\n\r\nxxx",
		    NULL },
		{ "length and chunks",
		    "POST /small HTTP/1.1\r\nHost: a\r\n" KEY_LINE
		    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
		    "Connection: close\r\n\r\n0\r\n\r\n",
		    NULL },
		{ "length no number",
		    "POST /small HTTP/1.1\r\nHost: a\r\n" KEY_LINE
		    "Content-Length: 2x\r\nConnection: close\r\n\r\nxx",
		    NULL },
		{ "unknown encoding",
		    "POST /small HTTP/1.1\r\nHost: a\r\n" KEY_LINE
		    "Transfer-Encoding: gzip, chunked\r\n"
		    "Connection: close\r\n\r\n0\r\n\r\n",
		    NULL },
		{ "control character",
		    "GET /get HTTP/1.1\r\nHost: a\r\n" KEY_LINE
		    "X-A: b\x01c\r\nConnection: close\r\n\r\n",
		    "2008" },
	};
	const char *headers[] = { key_header, NULL };
	struct testbed_reply reply;
	char *answer;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		answer = testbed_send_raw(
		    &testbed, 0, cases[i].bytes, strlen(cases[i].bytes), NULL);
		TEST_CHECK(strncmp(answer, "HTTP/1.1 200", 12) != 0, "%s: %s",
		    cases[i].name, answer);
		TEST_CHECK(cases[i].code == NULL ||
			strstr(answer, cases[i].code) != NULL,
		    "%s: %s", cases[i].name, answer);
		g_free(answer);
	}
	TEST_CHECK(
	    testbed_ledger_count(&testbed, "shop", "start", NULL) == 0, "ran");
	testbed_call(&testbed, 0, "GET", "/get", headers, NULL, 0, &reply);
	TEST_CHECK(reply.status == 200, "the next caller: %ld", reply.status);
	testbed_reply_clear(&reply);
out:
	testbed_stop(&testbed);
}

/* Answers of all lengths come whole, of HEAD without a body. */
static void
test_answers(void)
{
	static const struct {
		const char *method;
		const char *path;
		size_t bytes;
	} cases[] = {
		{ "GET", "/get", 0 },
		{ "GET", "/get", 1 },
		{ "GET", "/get", 64 * 1024 },
		{ "GET", "/get", 64 * 1024 + 1 },
		{ "GET", "/get", 10 * MIB },
		{ "GET", "/far", 0 },
		{ "GET", "/far", 64 * 1024 },
		{ "GET", "/far", 10 * MIB },
		{ "HEAD", "/get", 5000 },
	};
	char length[64];
	const char *headers[] = { key_header, length, NULL };
	struct testbed_reply reply;
	size_t i, expected;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_snprintf(length, sizeof(length), "X-Test-Answer-Bytes: %zu",
		    cases[i].bytes);
		testbed_call(&testbed, 0, cases[i].method, cases[i].path,
		    headers, NULL, 0, &reply);
		expected =
		    strcmp(cases[i].method, "HEAD") == 0 ? 0 : cases[i].bytes;
		TEST_CHECK(reply.curl_code == 0 && reply.status == 200 &&
			reply.body_len == expected,
		    "%s %s %zu: curl %d status %ld bytes %zu", cases[i].method,
		    cases[i].path, cases[i].bytes, reply.curl_code,
		    reply.status, reply.body_len);
		testbed_reply_clear(&reply);
	}
out:
	testbed_stop(&testbed);
}

/*
 * The upstream breaks the connection in mid-answer.  A short answer was held
 * back, so the caller gets a clean refusal with the outcome unknown; of a
 * long one a part went out already, so the caller's connection breaks too.
 * Neither looks whole.
 */
static void
test_cut_answers(void)
{
	static const struct {
		const char *path;
		const char *bytes;
		const char *cut;
		bool refused;
	} cases[] = {
		{ "/get", "X-Test-Answer-Bytes: 1000", "X-Test-Cut-After: 500",
		    true },
		{ "/far", "X-Test-Answer-Bytes: 1000", "X-Test-Cut-After: 500",
		    true },
		{ "/get", "X-Test-Answer-Bytes: 1000000",
		    "X-Test-Cut-After: 900000", false },
		{ "/far", "X-Test-Answer-Bytes: 1000000",
		    "X-Test-Cut-After: 900000", false },
	};
	struct testbed_reply reply;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *headers[] = { key_header, cases[i].bytes,
			cases[i].cut, NULL };

		testbed_call(&testbed, 0, "GET", cases[i].path, headers, NULL,
		    0, &reply);
		if (cases[i].refused)
			TEST_CHECK(reply.curl_code == 0 &&
				reply.code == LOOM_UPSTREAM_CUT &&
				strcmp(reply.outcome, "unknown") == 0,
			    "%s: curl %d code %d %s", cases[i].path,
			    reply.curl_code, reply.code, reply.outcome);
		else
			TEST_CHECK(reply.curl_code != 0, "%s: looks whole, %zu",
			    cases[i].path, reply.body_len);
		testbed_reply_clear(&reply);
	}
out:
	testbed_stop(&testbed);
}

/*
 * A long upload crosses two daemons while neither's memory grows by more than
 * a few megabytes: what the next hop does not take stays with the sender.
 */
static void
test_upload(void)
{
	const char *headers[] = { key_header, NULL };
	struct testbed_reply reply;
	long before_kb[2], after_kb[2];
	char *body;
	uint32_t i;

	if (!start())
		goto out;
	for (i = 0; i < 2; i++)
		before_kb[i] = testbed_memory_kb(testbed.hosts[i].daemon);
	body = g_malloc0(UPLOAD_BYTES);
	testbed_call(&testbed, 0, "POST", "/upload", headers, body,
	    UPLOAD_BYTES, &reply);
	TEST_CHECK(
	    reply.status == 200 && strstr(reply.body, "body=209715200") != NULL,
	    "curl %d status %ld %s", reply.curl_code, reply.status, reply.body);
	testbed_reply_clear(&reply);
	for (i = 0; i < 2; i++) {
		after_kb[i] = testbed_memory_kb(testbed.hosts[i].daemon);
		TEST_CHECK(after_kb[i] - before_kb[i] < UPLOAD_GROWTH_MAX_KB,
		    "daemon %u: %ld KB, then %ld KB", i, before_kb[i],
		    after_kb[i]);
	}
	g_free(body);
out:
	testbed_stop(&testbed);
}

/* A request on the same connection before the one that its caller leaves. */
#define WARM_UP "GET /get HTTP/1.1\r\nHost: a\r\n" KEY_LINE "\r\n"

/* One request and its whole answer. */
static void
use_connection(int fd)
{
	char answer[4096];
	size_t len = 0;
	const char *end = NULL, *length;
	ssize_t n;

	TEST_CHECK(
	    write(fd, WARM_UP, strlen(WARM_UP)) == (ssize_t)strlen(WARM_UP),
	    "send");
	do {
		n = read(fd, answer + len, sizeof(answer) - 1 - len);
		len += n > 0 ? (size_t)n : 0;
		answer[len] = '\0';
		end = strstr(answer, "\r\n\r\n");
		length = strstr(answer, "Content-Length: ");
	} while (n > 0 &&
	    (end == NULL || length == NULL ||
		strlen(end + 4) < strtoul(length + 16, NULL, 10)));
	TEST_CHECK(n > 0, "answer");
}

static bool
work_started(void *service)
{
	return testbed_ledger_count(&testbed, service, "start", "gone") == 1;
}

static bool
work_cancelled(void *service)
{
	return testbed_ledger_count(&testbed, service, "cancelled", "gone") ==
	    1;
}

/*
 * A caller asks for work of a minute and goes away once it has begun.  Its
 * connection closes, the entry gives up the leg, the executor's daemon gives
 * up the call, and the upstream sees its connection close: it stops working
 * for nobody.
 */
static void
test_caller_gone(void)
{
	static const struct {
		const char *request;
		const char *service;
		uint32_t earlier; /* requests on its connection */
	} cases[] = {
		{ "GET /get HTTP/1.1\r\nHost: a\r\n" KEY_LINE
		  "X-Test-Id: gone\r\nX-Test-Service-Ms: 60000\r\n\r\n",
		    "shop", 0 },
		{ "GET /far HTTP/1.1\r\nHost: a\r\n" KEY_LINE
		  "X-Test-Id: gone\r\nX-Test-Service-Ms: 60000\r\n\r\n",
		    "store", 2 },
	};
	uint32_t earlier;
	size_t i;
	int fd;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fd = testbed_connect(&testbed, 0);
		for (earlier = 0; earlier < cases[i].earlier; earlier++)
			use_connection(fd);
		TEST_CHECK(
		    write(fd, cases[i].request, strlen(cases[i].request)) > 0,
		    "send");
		TEST_CHECK(testbed_wait_condition(
			       work_started, (void *)cases[i].service),
		    "%s starts", cases[i].service);
		close(fd);
		TEST_CHECK(testbed_wait_condition(
			       work_cancelled, (void *)cases[i].service),
		    "%s is cancelled", cases[i].service);
	}
	TEST_CHECK(testbed_metric(&testbed, 0, "loom_callers_gone_total") == 2,
	    "counted");
	TEST_CHECK(testbed_metric(&testbed, 0,
		       "loom_call_seconds_count{stage=\"entry\","
		       "end=\"answered\",route=\"get\"}") == 2,
	    "in the histogram");
out:
	testbed_stop(&testbed);
}

static void
withdraw_key(void)
{
	char *text = document_text(2, true);

	testbed_put_document(&testbed, "test", text);
	g_free(text);
}

static void
kill_store(void)
{
	testbed_signal(&testbed.hosts[1].upstream, SIGKILL);
}

static bool
upload_runs(void *n)
{
	return testbed_metric(&testbed, 1, "loom_executed_total") ==
	    *(const double *)n;
}

/* Half of an upload; the connection then stands still. */
static int
send_half(const char *path, const char *deadline)
{
	char *head =
	    g_strconcat("POST ", path, " HTTP/1.1\r\nHost: a\r\n" KEY_LINE,
		deadline, "Content-Length: 400000\r\n\r\n", NULL);
	char *bytes = g_malloc0(200000);
	int fd = testbed_connect(&testbed, 0);

	TEST_CHECK(write(fd, head, strlen(head)) > 0, "head");
	TEST_CHECK(write(fd, bytes, 200000) > 0, "half of the body");
	g_free(bytes);
	g_free(head);
	return fd;
}

/*
 * A caller sends half of a long upload and then nothing more, and its request
 * is given up.  libmicrohttpd takes no answer before the body is read; the
 * caller still gets the numbered refusal and then the end of the connection,
 * where it once saw a reset and could not know whether to send it again.
 */
static void
test_stalled_upload(void)
{
	static const struct {
		const char *name;
		const char *path; /* not of a request that crashed before */
		const char *deadline;
		void (*give_up)(void);
		const char *code;
	} cases[] = {
		{ "deadline passes", "/upload?1", "Loom-Deadline-Ms: 500\r\n",
		    NULL, "\r\nLoom-Code: 2202\r\n" },
		{ "upstream dies", "/upload?2", "", kill_store,
		    "\r\nLoom-Code: 2402\r\n" },
		{ "key is withdrawn", "/upload?3", "", withdraw_key,
		    "\r\nLoom-Code: 2003\r\n" },
	};
	double runs = 0;
	char *answer;
	bool closed;
	size_t i;
	int fd;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (testbed.hosts[1].upstream == 0)
			testbed_start_upstream(&testbed, 1);
		testbed_wait_upstream(&testbed, 1);
		fd = send_half(cases[i].path, cases[i].deadline);
		runs++;
		TEST_CHECK(testbed_wait_condition(upload_runs, &runs), "%s",
		    cases[i].name);
		if (cases[i].give_up != NULL)
			cases[i].give_up();
		answer = testbed_read_to_end(fd, &closed);
		TEST_CHECK(closed && strstr(answer, cases[i].code) != NULL &&
			strstr(answer, "\r\nLoom-Outcome: unknown\r\n") !=
			    NULL &&
			strstr(answer, "}") != NULL,
		    "%s: closed %d: %s", cases[i].name, closed, answer);
		g_free(answer);
		close(fd);
	}
	TEST_CHECK(testbed_metric(&testbed, 0, "loom_callers_gone_total") == 0,
	    "the callers were there");
out:
	testbed_stop(&testbed);
}

/*
 * The same for a caller that goes on sending all it has before it reads, as
 * most do: the body turns out to be over the limit, which chunks do not
 * announce.
 */
static void
test_chunks_over_limit(void)
{
	static const char head[] =
	    "POST /small HTTP/1.1\r\nHost: a\r\n" KEY_LINE
	    "Transfer-Encoding: chunked\r\n\r\n";
	GString *bytes = g_string_new(head);
	char *answer;
	int i;

	for (i = 0; i < 2000; i++)
		g_string_append(bytes, "a\r\n0123456789\r\n");
	g_string_append(bytes, "0\r\n\r\n");
	if (!start())
		goto out;
	answer = testbed_send_raw(&testbed, 0, bytes->str, bytes->len, NULL);
	TEST_CHECK(strncmp(answer, "HTTP/1.1 413 ", 13) == 0 &&
		strstr(answer, "\r\nLoom-Code: 2007\r\n") != NULL,
	    "%s", answer);
	g_free(answer);
	TEST_CHECK(
	    testbed_ledger_count(&testbed, "shop", "start", NULL) == 0, "ran");
out:
	g_string_free(bytes, TRUE);
	testbed_stop(&testbed);
}

/* Three requests in one packet get three answers in their order. */
static void
test_pipelining(void)
{
	static const char one[] = "GET /get HTTP/1.1\r\nHost: a\r\n" KEY_LINE
				  "X-Test-Id: p%d\r\n%s\r\n";
	GString *bytes = g_string_new(NULL);
	const char *first, *second, *third;
	char *answer;

	if (!start())
		goto out;
	g_string_append_printf(bytes, one, 1, "");
	g_string_append_printf(bytes, one, 2, "");
	g_string_append_printf(bytes, one, 3, "Connection: close\r\n");
	answer = testbed_send_raw(&testbed, 0, bytes->str, bytes->len, NULL);
	first = strstr(answer, "id=p1");
	second = strstr(answer, "id=p2");
	third = strstr(answer, "id=p3");
	TEST_CHECK(first != NULL && second != NULL && third != NULL &&
		first < second && second < third,
	    "%s", answer);
	g_free(answer);
out:
	g_string_free(bytes, TRUE);
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "refusals", test_refusals },
	{ "hostile bytes", test_hostile_bytes },
	{ "answers", test_answers },
	{ "cut answers", test_cut_answers },
	{ "long upload", test_upload },
	{ "caller gone", test_caller_gone },
	{ "stalled upload", test_stalled_upload },
	{ "chunks over the limit", test_chunks_over_limit },
	{ "pipelining", test_pipelining },
};

TEST_MAIN("callers", tests)
