/*
 * Callers over TLS, with real processes: what a plain caller gets is got here
 * too, and a key pair is replaced by a restart that cuts nobody.
 */

#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "support/certificate.h"
#include "support/test.h"
#include "support/testbed.h"

#define MIB (1024 * 1024)
#define KEY "k-tls-caller"
#define KEY_HEADER "Loom-Key: " KEY

static const struct testbed_service services[] = {
	{ .name = "shop", .hosts = 1, .slots = 16 },
	{ .name = "store", .hosts = 1, .slots = 16 },
};

static const char document_format[] =
    "{ \"document\": \"test\", \"version\": 1,\n"
    "\"fleet\": { \"slots\": 2 }, \"teams\": [\n"
    " { \"name\": \"crew\", \"rate_per_s\": 1000, \"burst\": 1000,\n"
    "   \"keys\": [ { \"id\": \"a\", \"sha256\": \"%s\" } ] } ],\n"
    "\"services\": [ { \"name\": \"shop\" }, { \"name\": \"store\" } ],\n"
    "\"routes\": [\n"
    " { \"name\": \"get\", \"service\": \"shop\", \"method\": \"GET\",\n"
    "   \"path\": \"/get\" },\n"
    " { \"name\": \"far\", \"service\": \"store\", \"method\": \"GET\",\n"
    "   \"path\": \"/far\" },\n"
    " { \"name\": \"upload\", \"service\": \"store\",\n"
    "   \"method\": \"POST\", \"path\": \"/upload\",\n"
    "   \"idempotent\": true, \"max_body_bytes\": 100000000 },\n"
    " { \"name\": \"small\", \"service\": \"store\",\n"
    "   \"method\": \"POST\", \"path\": \"/small\",\n"
    "   \"idempotent\": true, \"max_body_bytes\": 100 } ] }";

static struct testbed testbed;
static char *key_file, *cert_file; /* owned */

/* Replace the daemon of a host by one that has the key pair, in order. */
static bool
restart(uint32_t host)
{
	testbed_signal(&testbed.hosts[host].daemon, SIGTERM);
	testbed.hosts[host].tls_key_file = key_file;
	testbed.hosts[host].tls_cert_file = cert_file;
	return testbed_start_daemon(&testbed, host) &&
	    testbed_wait_ready(&testbed, host);
}

static bool
start(void)
{
	char *text = g_strdup_printf(document_format, testbed_key_digest(KEY));
	bool ok = testbed_start(&testbed, services, 2, 1, text);

	g_free(text);
	key_file = g_strdup_printf("%s/tls.key", testbed.dir);
	cert_file = g_strdup_printf("%s/tls.cert", testbed.dir);
	ok = ok &&
	    test_certificate_write(testbed.hosts[0].ip, key_file, cert_file) &&
	    restart(0);
	return TEST_CHECK(ok, "the fleet starts");
}

static void
stop(void)
{
	testbed_stop(&testbed);
	g_free(cert_file);
	g_free(key_file);
}

struct row {
	const char *name;
	const char *method;
	const char *path;
	const char *headers[4];
	size_t body_bytes;
	int code; /* 0: answered */
	size_t answer_bytes; /* of an answer; 0 for any */
	bool cut; /* no whole answer comes */
};

static const struct row rows[] = {
	{ "answer", "GET", "/get", { KEY_HEADER }, 0, 0, 0, false },
	{ "answer of the peer", "GET", "/far", { KEY_HEADER }, 0, 0, 0, false },
	{ "streamed answer", "GET", "/far",
	    { KEY_HEADER, "X-Test-Answer-Bytes: 10000000" }, 0, 0, 10000000,
	    false },
	{ "cut answer", "GET", "/far",
	    { KEY_HEADER, "X-Test-Answer-Bytes: 10000000",
		"X-Test-Cut-After: 9000000" },
	    0, 0, 0, true },
	{ "upload", "POST", "/upload", { KEY_HEADER }, 10 * MIB, 0, 0, false },
	{ "no key", "GET", "/get", { NULL }, 0, LOOM_KEY_MISSING, 0, false },
	{ "refused before the upload", "POST", "/small", { KEY_HEADER }, MIB,
	    LOOM_BODY_TOO_LARGE, 0, false },
	{ "refused in the upload", "POST", "/small",
	    { KEY_HEADER, "Transfer-Encoding: chunked" }, MIB,
	    LOOM_BODY_TOO_LARGE, 0, false },
	{ "after it", "GET", "/get", { KEY_HEADER }, 0, 0, 0, false },
};

static void
check_row(const struct row *row, const char *body)
{
	struct testbed_reply reply;

	testbed_call(&testbed, 0, row->method, row->path, row->headers,
	    row->body_bytes > 0 ? body : NULL, row->body_bytes, &reply);
	TEST_CHECK((reply.curl_code != 0) == row->cut, "%s: curl %d", row->name,
	    reply.curl_code);
	TEST_CHECK(row->cut || reply.code == row->code, "%s: %ld %d %s",
	    row->name, reply.status, reply.code, reply.body);
	TEST_CHECK(
	    row->answer_bytes == 0 || reply.body_len == row->answer_bytes,
	    "%s: %zu bytes", row->name, reply.body_len);
	testbed_reply_clear(&reply);
}

/* The same as without TLS; one who speaks none is not served. */
static void
test_callers(void)
{
	static const char plain[] =
	    "GET /get HTTP/1.1\r\nHost: a\r\n" KEY_HEADER
	    "\r\nConnection: close\r\n\r\n";
	char *body = g_malloc0(10 * MIB);
	char *answer;
	size_t i;

	if (!start())
		goto out;
	answer = testbed_send_raw(&testbed, 0, plain, sizeof(plain) - 1, NULL);
	TEST_CHECK(strstr(answer, "HTTP/1.1 200") == NULL, "%s", answer);
	g_free(answer);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		check_row(&rows[i], body);
	TEST_CHECK(!testbed_dump_contains(&testbed, KEY), "key upstream");
out:
	g_free(body);
	stop();
}

static int
call_curl(void)
{
	const char *headers[] = { KEY_HEADER, NULL };
	struct testbed_reply reply;
	int curl;

	testbed_call(&testbed, 0, "GET", "/get", headers, NULL, 0, &reply);
	curl = reply.curl_code;
	testbed_reply_clear(&reply);
	return curl;
}

/*
 * New files are taken by a restart alone, so that key and certificate always
 * change together: until then, and after a SIGHUP, callers who trust the new
 * certificate only are not served.
 */
static void
test_replaced(void)
{
	if (!start())
		goto out;
	TEST_CHECK(call_curl() == CURLE_OK, "the first pair");
	TEST_CHECK(
	    test_certificate_write(testbed.hosts[0].ip, key_file, cert_file),
	    "new files");
	kill(testbed.hosts[0].daemon, SIGHUP);
	TEST_CHECK(call_curl() == CURLE_PEER_FAILED_VERIFICATION,
	    "the first pair still");
	TEST_CHECK(restart(0), "restart");
	TEST_CHECK(call_curl() == CURLE_OK, "the new pair");
out:
	stop();
}

static const struct test_case tests[] = {
	{ "callers", test_callers },
	{ "replaced", test_replaced },
};

TEST_MAIN("TLS", tests)
