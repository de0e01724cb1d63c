/*
 * Point 5: a caller gets the whole answer to its own request.
 */

#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define HOSTS 4
#define CALLERS 24
#define CALLS_EACH 150
#define SEED 5
#define LENGTH_MAX 90000 /* beyond what a daemon holds back whole */
#define SHORT_MS 25 /* a deadline or a caller's patience */
#define WORK_MS_MAX 40

static const char key[] = "k-whole-caller-secret";
static const char key_header[] = "Loom-Key: k-whole-caller-secret";

static const struct testbed_service services[] = {
	{ .name = "sites", .hosts = 2, .slots = 64 },
	{ .name = "plans", .hosts = 2, .slots = 64 },
};

static const char document_format[] =
    "{ \"document\": \"test\", \"version\": 1,\n"
    "\"fleet\": { \"slots\": 4 }, \"teams\": [ { \"name\": \"crew\",\n"
    "  \"rate_per_s\": 100000, \"burst\": 100000, \"keys\": [\n"
    "  { \"id\": \"a\", \"sha256\": \"%s\" } ] } ],\n"
    "\"services\": [ { \"name\": \"sites\", \"slots\": 64 },\n"
    "  { \"name\": \"plans\", \"slots\": 64 } ],\n"
    "\"routes\": [\n"
    " { \"name\": \"site\", \"service\": \"sites\", \"method\": \"GET\",\n"
    "   \"path\": \"/sites\" },\n"
    " { \"name\": \"plan\", \"service\": \"plans\", \"method\": \"GET\",\n"
    "   \"path\": \"/plans\" } ] }";

static struct testbed testbed;

/* What a call does beside asking. */
enum kind {
	PLAIN, /* short answer, names its request */
	LONG, /* answer of a length of its own, echoed in a header */
	LATE, /* the deadline passes while it runs */
	GIVEN_UP, /* its caller goes away and uses the line's next connection */
	CUT, /* the upstream breaks off in mid-answer */
	KINDS,
};

struct caller {
	uint32_t number;
	GThread *thread;
	uint32_t counts[KINDS];
	uint32_t whole;
	uint32_t refused;
	uint32_t foreign; /* an answer of another request, or not whole */
	char first[200]; /* the first of these */
};

/* Whether the reply is what this call may get. */
static bool
belongs(const struct testbed_reply *reply, enum kind kind, const char *service,
    const char *id, size_t bytes)
{
	char *expected, *echo;
	bool own;

	if (reply->curl_code != 0)
		return kind == GIVEN_UP || kind == CUT;
	if (reply->code != 0)
		return reply->outcome[0] != '\0';
	if (reply->status != 200 || kind == CUT)
		return false;
	expected = g_strdup_printf("%s id=%s body=0\n", service, id);
	echo = g_strdup_printf("X-Test-Id: %s\r\n", id);
	own = strstr(reply->headers, echo) != NULL;
	if (kind == LONG)
		own = own && reply->body_len == bytes;
	else
		own = own && strcmp(reply->body, expected) == 0;
	g_free(echo);
	g_free(expected);
	return own;
}

static void
call_once(
    struct caller *caller, struct testbed_caller *line, GRand *rand, uint32_t n)
{
	enum kind kind = (enum kind)g_rand_int_range(rand, 0, KINDS);
	bool plans = g_rand_boolean(rand);
	size_t bytes = (size_t)g_rand_int_range(rand, 10, LENGTH_MAX);
	char id[64], length[64], work[64], cut[64];
	const char *headers[] = { key_header, id, work, NULL, NULL, NULL };
	struct testbed_request asked = {
		.host = (uint32_t)g_rand_int_range(rand, 0, HOSTS),
		.method = "GET",
		.path = plans ? "/plans" : "/sites",
		.headers = headers,
		.give_up_ms = kind == GIVEN_UP ? SHORT_MS : 0,
	};
	struct testbed_reply reply;
	bool own;

	g_snprintf(id, sizeof(id), "X-Test-Id: w%u-%u", caller->number, n);
	g_snprintf(work, sizeof(work), "X-Test-Service-Ms: %d",
	    g_rand_int_range(rand, 0, WORK_MS_MAX));
	g_snprintf(length, sizeof(length), "X-Test-Answer-Bytes: %zu", bytes);
	g_snprintf(cut, sizeof(cut), "X-Test-Cut-After: %zu", bytes / 2 + 1);
	if (kind == LONG || kind == CUT)
		headers[3] = length;
	if (kind == CUT)
		headers[4] = cut;
	else if (kind == LATE)
		headers[3] = "Loom-Deadline-Ms: 25";
	testbed_caller_call(line, &asked, &reply);
	own = belongs(&reply, kind, plans ? "plans" : "sites",
	    id + strlen("X-Test-Id: "), bytes);
	if (!own && caller->foreign++ == 0)
		g_snprintf(caller->first, sizeof(caller->first),
		    "kind %d %s %zu bytes: curl %d status %ld len %zu %.60s",
		    (int)kind, id, bytes, reply.curl_code, reply.status,
		    reply.body_len, reply.headers);
	caller->counts[kind]++;
	caller->whole += reply.curl_code == 0 && reply.code == 0;
	caller->refused += reply.code != 0;
	testbed_reply_clear(&reply);
}

static void *
run_caller(void *arg)
{
	struct caller *caller = arg;
	GRand *rand = g_rand_new_with_seed(SEED + caller->number);
	struct testbed_caller line;
	uint32_t n;

	testbed_caller_init(&line, &testbed);
	for (n = 0; n < CALLS_EACH; n++)
		call_once(caller, &line, rand, n);
	testbed_caller_clear(&line);
	g_rand_free(rand);
	return NULL;
}

/*
 * Thousands of calls of 24 callers cross four daemons over connections that
 * are kept.  Some callers go away and the upstream's answer comes late, some
 * deadlines pass, some answers are cut.  The next call over the same
 * connections, at both hops, must get its own answer whole, never what was
 * left over from the one before.
 */
static void
test_whole(void)
{
	char *text = g_strdup_printf(document_format, testbed_key_digest(key));
	struct caller callers[CALLERS] = { 0 }, sum = { 0 };
	uint32_t i, j;

	if (!TEST_CHECK(testbed_start(&testbed, services, 2, 1, text), "start"))
		goto out;
	for (i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		callers[i].thread =
		    g_thread_new("caller", run_caller, &callers[i]);
	}
	for (i = 0; i < CALLERS; i++) {
		g_thread_join(callers[i].thread);
		TEST_CHECK(callers[i].foreign == 0, "caller %u: %u, %s", i,
		    callers[i].foreign, callers[i].first);
		sum.whole += callers[i].whole;
		sum.refused += callers[i].refused;
		sum.foreign += callers[i].foreign;
		for (j = 0; j < KINDS; j++)
			sum.counts[j] += callers[i].counts[j];
	}
	TEST_CHECK(sum.whole > CALLERS * CALLS_EACH / 3, "%u whole", sum.whole);
	printf("point 5 whole answers: %d calls (%u plain, %u long, %u with "
	       "short deadlines, %u given up, %u cut): %u whole, %u refused, "
	       "%u foreign or in part\n",
	    CALLERS * CALLS_EACH, sum.counts[PLAIN], sum.counts[LONG],
	    sum.counts[LATE], sum.counts[GIVEN_UP], sum.counts[CUT], sum.whole,
	    sum.refused, sum.foreign);
out:
	testbed_stop(&testbed);
	g_free(text);
}

static const struct test_case tests[] = { { "whole answers", test_whole } };

TEST_MAIN("whole", tests)
