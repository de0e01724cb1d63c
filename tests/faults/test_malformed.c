/*
 * Bytes that are no request.  libmicrohttpd answers them by itself, before any
 * code of ours runs: these are the only answers without a number, and this
 * table is what docs/CALLERS.md says of them.  The daemon counts each and
 * serves the next caller.  What it does parse is refused with a number.
 */

#include <string.h>
#include <unistd.h>

#include "support/test.h"
#include "support/testbed.h"

#define KEY "k-malformed-caller"
#define KEY_LINE "Loom-Key: " KEY "\r\n"
#define CLOSE "Connection: close\r\n"
#define POST "POST /post HTTP/1.1\r\nHost: a\r\n" KEY_LINE CLOSE

#define HEADERS_MAX 32768

static const struct testbed_service services[] = {
	{ .name = "shop", .hosts = 1, .slots = 16 },
};

static const char document_format[] =
    "{ \"document\": \"test\", \"version\": 1,\n"
    "\"fleet\": { \"slots\": 1 }, \"teams\": [\n"
    " { \"name\": \"crew\", \"rate_per_s\": 1000, \"burst\": 1000,\n"
    "   \"keys\": [ { \"id\": \"a\", \"sha256\": \"%s\" } ] } ],\n"
    "\"services\": [ { \"name\": \"shop\" } ],\n"
    "\"routes\": [\n"
    " { \"name\": \"get\", \"service\": \"shop\", \"method\": \"GET\",\n"
    "   \"path\": \"/get\" },\n"
    " { \"name\": \"post\", \"service\": \"shop\", \"method\": \"POST\",\n"
    "   \"path\": \"/post\", \"idempotent\": true } ] }";

static struct testbed testbed;

static bool
start(void)
{
	char *text = g_strdup_printf(document_format, testbed_key_digest(KEY));
	bool ok = testbed_start(&testbed, services, 1, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the fleet starts");
}

enum counted {
	BY_NUMBER,
	MALFORMED,
	UNUSED
};

struct row {
	const char *name;
	const char *bytes; /* %s: HEADERS_MAX letters */
	const char *answer; /* how it begins; "" for a closed connection */
	enum counted counted;
};

static const struct row rows[] = {
	{ "TLS to a plain port", "\x16\x03\x01\x02\x01\r\n\r\n", "", UNUSED },
	{ "one word", "hello\r\n\r\n", "", UNUSED },
	{ "HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/1.1 505 ",
	    MALFORMED },
	{ "no Host", "GET /get HTTP/1.1\r\n" KEY_LINE CLOSE "\r\n",
	    "HTTP/1.1 400 ", MALFORMED },
	{ "header without a colon",
	    "GET /get HTTP/1.1\r\nHost: a\r\nnonsense\r\n\r\n", "HTTP/1.1 400 ",
	    MALFORMED },
	{ "length is no number", POST "Content-Length: 2x\r\n\r\nxx",
	    "HTTP/1.1 400 ", MALFORMED },
	{ "headers over the limit",
	    "GET /get HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", "HTTP/1.1 431 ",
	    MALFORMED },
	{ "path over the limit", "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n",
	    "HTTP/1.1 414 ", MALFORMED },
	{ "chunk is no number",
	    POST "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
	    "HTTP/1.1 400 ", MALFORMED },
	{ "two lengths",
	    POST "Content-Length: 2\r\nContent-Length: 3\r\n\r\nxxx",
	    "HTTP/1.1 400 ", BY_NUMBER },
	{ "length and chunks",
	    POST "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "0\r\n\r\n",
	    "HTTP/1.1 400 ", BY_NUMBER },
	{ "unknown encoding",
	    POST "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	    "HTTP/1.1 400 ", BY_NUMBER },
};

static double
metric(const char *name)
{
	return testbed_metric(&testbed, 0, name);
}

struct counts {
	double malformed;
	double unused;
};

static struct counts
read_counts(void)
{
	return (struct counts){
		.malformed = metric("loom_malformed_requests_total"),
		.unused = metric("loom_connections_unused_total"),
	};
}

/* A close is counted after the caller has seen it. */
static bool
one_more_unused(void *arg)
{
	const struct counts *before = arg;

	return read_counts().unused >= before->unused + 1;
}

static void
check_row(const struct row *row, const char *letters)
{
	char **parts = g_strsplit(row->bytes, "%s", 2);
	char *bytes = g_strjoinv(letters, parts);
	struct counts before = read_counts();
	char *answer =
	    testbed_send_raw(&testbed, 0, bytes, strlen(bytes), NULL);

	TEST_CHECK(row->answer[0] == '\0'
		? answer[0] == '\0'
		: g_str_has_prefix(answer, row->answer),
	    "%s: %s", row->name, answer);
	TEST_CHECK((strstr(answer, "\r\nLoom-Code: ") != NULL) ==
		(row->counted == BY_NUMBER),
	    "%s: %s", row->name, answer);
	TEST_CHECK(read_counts().malformed ==
		before.malformed + (row->counted == MALFORMED),
	    "%s: counted", row->name);
	if (row->counted == UNUSED)
		TEST_CHECK(testbed_wait_condition(one_more_unused, &before),
		    "%s: counted as unused", row->name);
	g_free(answer);
	g_free(bytes);
	g_strfreev(parts);
}

static void
test_malformed(void)
{
	const char *headers[] = { "Loom-Key: " KEY, NULL };
	char *letters = g_strnfill(HEADERS_MAX, 'a');
	struct testbed_reply reply;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		check_row(&rows[i], letters);
		testbed_call(
		    &testbed, 0, "GET", "/get", headers, NULL, 0, &reply);
		TEST_CHECK(reply.status == 200, "after %s: %ld", rows[i].name,
		    reply.status);
		testbed_reply_clear(&reply);
	}
	TEST_CHECK(testbed_ledger_count(&testbed, "shop", "start", NULL) ==
		G_N_ELEMENTS(rows),
	    "only the callers between them ran");
out:
	g_free(letters);
	testbed_stop(&testbed);
}

/* A key in a trailer is no key, and is handed on to no upstream. */
static void
test_trailers(void)
{
	static const char chunks[] =
	    "Transfer-Encoding: chunked\r\nTrailer: Loom-Key\r\n\r\n"
	    "2\r\nxx\r\n0\r\nLoom-Key: " KEY "\r\nX-Copy: " KEY "\r\n\r\n";
	static const struct {
		const char *name;
		const char *head;
		const char *answer;
		const char *code; /* or NULL */
	} cases[] = {
		{ "beside the key", POST, "HTTP/1.1 200 ", NULL },
		{ "in place of it", "POST /post HTTP/1.1\r\nHost: a\r\n" CLOSE,
		    "HTTP/1.1 401 ", "\r\nLoom-Code: 2001\r\n" },
	};
	char *bytes, *answer;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		bytes = g_strconcat(cases[i].head, chunks, NULL);
		answer =
		    testbed_send_raw(&testbed, 0, bytes, strlen(bytes), NULL);
		TEST_CHECK(g_str_has_prefix(answer, cases[i].answer) &&
			(cases[i].code == NULL ||
			    strstr(answer, cases[i].code) != NULL),
		    "%s: %s", cases[i].name, answer);
		g_free(answer);
		g_free(bytes);
	}
	TEST_CHECK(testbed_ledger_count(&testbed, "shop", "start", NULL) == 1,
	    "the first ran");
	TEST_CHECK(!testbed_dump_contains(&testbed, KEY), "key upstream");
	TEST_CHECK(!testbed_dump_contains(&testbed, "X-Copy"), "trailer");
out:
	testbed_stop(&testbed);
}

/* The body of an answer, which ends with its connection; NULL when that was
 * reset or did not answer 200. */
static const char *
old_body(const char *answer)
{
	const char *body = strstr(answer, "\r\n\r\n");

	return g_str_has_prefix(answer, "HTTP/1.1 200 ") && body != NULL
	    ? body + strlen("\r\n\r\n")
	    : NULL;
}

/*
 * HTTP/1.0 readers take the end of the connection for the end of the answer
 * when they are given no length.  A whole answer has all its bytes, a cut one
 * is refused or ends in a reset, which no reader takes for an end.
 */
static void
test_old_callers(void)
{
	static const struct {
		const char *name;
		const char *headers;
		size_t bytes; /* of a whole answer */
		const char *refusal; /* of a cut one, or NULL */
		bool reset;
	} cases[] = {
		{ "short", "X-Test-Answer-Bytes: 1000\r\n", 1000, NULL, false },
		{ "long", "X-Test-Answer-Bytes: 3000000\r\n", 3000000, NULL,
		    false },
		{ "short and cut",
		    "X-Test-Answer-Bytes: 1000\r\nX-Test-Cut-After: 500\r\n", 0,
		    "\r\nLoom-Code: 2201\r\n", false },
		{ "long and cut",
		    "X-Test-Answer-Bytes: 3000000\r\n"
		    "X-Test-Cut-After: 2000000\r\n",
		    0, NULL, true },
	};
	char *request, *answer;
	const char *body;
	bool closed;
	size_t i;
	int fd;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		request = g_strconcat("GET /get HTTP/1.0\r\n" KEY_LINE,
		    cases[i].headers, "\r\n", NULL);
		fd = testbed_connect(&testbed, 0);
		TEST_CHECK(write(fd, request, strlen(request)) > 0, "send");
		answer = testbed_read_to_end(fd, &closed);
		body = old_body(answer);
		TEST_CHECK(closed == !cases[i].reset, "%s: closed %d",
		    cases[i].name, closed);
		if (cases[i].bytes > 0)
			TEST_CHECK(
			    body != NULL && strlen(body) == cases[i].bytes,
			    "%s: %.300s", cases[i].name, answer);
		if (cases[i].refusal != NULL)
			TEST_CHECK(strstr(answer, cases[i].refusal) != NULL,
			    "%s: %.300s", cases[i].name, answer);
		g_free(answer);
		g_free(request);
		close(fd);
	}
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "malformed", test_malformed },
	{ "trailers", test_trailers },
	{ "HTTP/1.0", test_old_callers },
};

TEST_MAIN("malformed", tests)
