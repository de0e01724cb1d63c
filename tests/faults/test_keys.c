/*
 * Point 3: a request runs only for the team whose key came with it, no
 * upstream sees the key, and a withdrawn key stops working within seconds.
 */

#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/result.h"
#include "support/test.h"
#include "support/testbed.h"

#define FRONTS 3 /* hosts 0 to 2; the backs are 3 to 5 */
#define HOSTS 6
#define WITHDRAWN_WITHIN_MS 10000 /* "within seconds" */
#define NO_MS "X-Test-Service-Ms: 0"
#define LONG_MS "X-Test-Service-Ms: 25000"
#define HELD 11
#define FILLERS 8 /* at three hosts of two slots: some wait */
#define FILLERS_RUN 3 /* at least, before the key is withdrawn */
#define DEAD_PLATFORM "http://127.0.0.1:1"
#define LONG_BYTES "X-Test-Answer-Bytes: 4000000000"
#define PART_BYTES 20000 /* over what a daemon reads before it sends */
#define TRICKLE_BYTES 1024
#define TRICKLE_MS 5 /* 200 KB/s */
#define PART "part of a long upload"

static const char crew_key[] = "k-keys-crew-secret";
static const char crew[] = "Loom-Key: k-keys-crew-secret";
static const char crew_bearer[] = "Authorization: Bearer k-keys-crew-secret";
static const char court_key[] = "k-keys-court-secret";
static const char court[] = "Loom-Key: k-keys-court-secret";

static const struct testbed_service services[] = {
	{ .name = "front",
	    .hosts = 3,
	    .calls = { "GET /back" },
	    .slots = 2,
	    .service_ms = 1 },
	{ .name = "back", .hosts = 3, .slots = 16, .service_ms = 25000 },
};

static struct testbed testbed;

static char *
document(unsigned version, bool withdrawn)
{
	char *digest = g_strdup(testbed_key_digest(crew_key));
	char *text;

	text = g_strdup_printf(
	    "{ \"document\": \"test\", \"version\": %u,\n"
	    "\"fleet\": { \"slots\": 6 }, \"teams\": [\n"
	    " { \"name\": \"crew\", \"rate_per_s\": 100000,\n"
	    "   \"burst\": 100000, \"keys\": [ { \"id\": \"a\",\n"
	    "   \"sha256\": \"%s\", \"withdrawn\": %s } ] },\n"
	    " { \"name\": \"court\", \"rate_per_s\": 100000,\n"
	    "   \"burst\": 100000, \"keys\": [ { \"id\": \"b\",\n"
	    "   \"sha256\": \"%s\" } ] } ],\n"
	    "\"services\": [ { \"name\": \"front\", \"slots\": 2 },\n"
	    "  { \"name\": \"back\", \"slots\": 16 } ],\n"
	    "\"routes\": [\n"
	    " { \"name\": \"front\", \"service\": \"front\",\n"
	    "   \"method\": \"GET\", \"path\": \"/front\",\n"
	    "   \"calls\": [ \"back\" ], \"deadline_ms\": 60000 },\n"
	    " { \"name\": \"upload\", \"service\": \"back\",\n"
	    "   \"method\": \"POST\", \"path\": \"/upload\",\n"
	    "   \"idempotent\": true, \"max_body_bytes\": 1000000000,\n"
	    "   \"deadline_ms\": 60000 },\n"
	    " { \"name\": \"back\", \"service\": \"back\",\n"
	    "   \"method\": \"GET\", \"path\": \"/back\",\n"
	    "   \"deadline_ms\": 60000 } ] }",
	    version, digest, withdrawn ? "true" : "false",
	    testbed_key_digest(court_key));
	g_free(digest);
	return text;
}

static void
ship(unsigned version, bool withdrawn)
{
	char *text = document(version, withdrawn);

	testbed_put_document(&testbed, "test", text);
	g_free(text);
}

/* One caller with a call that is under way when its key is withdrawn. */
struct held {
	const char *name;
	const char *id; /* X-Test-Id */
	const char *method;
	const char *path;
	const char *extra; /* header, or NULL */
	uint32_t host;
	GThread *thread;
	int fd;
	atomic_bool ended;
	char first[256]; /* of the answer */
};

/* A slow caller sends on until it is answered. */
static void
upload_on(int fd)
{
	struct pollfd answer = { .fd = fd, .events = POLLIN };
	char block[TRICKLE_BYTES];

	memset(block, 'u', sizeof(block));
	while (poll(&answer, 1, TRICKLE_MS) == 0 &&
	    send(fd, block, sizeof(block), MSG_NOSIGNAL) > 0)
		continue;
}

static void *
read_to_end(void *arg)
{
	struct held *held = arg;
	char buf[65536];
	ssize_t got;
	size_t n = 0;

	if (strcmp(held->method, "POST") == 0)
		upload_on(held->fd);
	while ((got = recv(held->fd, buf, sizeof(buf), 0)) > 0) {
		if (n == 0) {
			n = MIN((size_t)got, sizeof(held->first) - 1);
			memcpy(held->first, buf, n);
		}
	}
	atomic_store(&held->ended, true);
	return NULL;
}

static void
hold(struct held *held)
{
	bool upload = strcmp(held->method, "POST") == 0;
	char *part = g_strnfill(upload ? PART_BYTES : 0, 'u');
	char *request;

	request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: a\r\n%s\r\n"
				  "Connection: close\r\nX-Test-Id: %s\r\n"
				  "%s%s%s\r\n%s%s",
	    held->method, held->path, crew, held->id,
	    held->extra != NULL ? held->extra : "",
	    held->extra != NULL ? "\r\n" : "",
	    upload ? "Content-Length: 100000000\r\n" : "", part,
	    upload ? PART : "");
	g_free(part);
	held->fd = testbed_connect(&testbed, held->host);
	TEST_CHECK(held->fd >= 0 &&
		write(held->fd, request, strlen(request)) ==
		    (ssize_t)strlen(request),
	    "%s: send", held->name);
	held->thread = g_thread_new("held", read_to_end, held);
	g_free(request);
}

static uint32_t
starts(const char *service, const char *id)
{
	return testbed_ledger_count(&testbed, service, "start", id);
}

static bool
all_started(void *arg)
{
	(void)arg;
	return starts("back", "answer") > 0 && starts("back", "deep") > 0 &&
	    testbed_dump_contains(&testbed, PART);
}

static bool
fillers_started(void *arg)
{
	(void)arg;
	return starts("front", "filler") >= FILLERS_RUN;
}

static bool
all_ended(void *arg)
{
	struct held *held = arg;
	size_t i;

	for (i = 0; i < HELD; i++) {
		if (!atomic_load(&held[i].ended))
			return false;
	}
	return true;
}

/* A call of the key is refused with its number at every daemon. */
static bool
refused_everywhere(void *arg)
{
	struct testbed_caller *callers = arg;
	const char *headers[] = { crew, NO_MS, "X-Test-Id: after", NULL };
	struct testbed_request asked = {
		.method = "GET",
		.path = "/back",
		.headers = headers,
	};
	struct testbed_reply reply;
	bool refused = true;

	for (asked.host = 0; asked.host < HOSTS && refused; asked.host++) {
		testbed_caller_call(&callers[asked.host], &asked, &reply);
		refused = reply.code == LOOM_KEY_WITHDRAWN;
		testbed_reply_clear(&reply);
	}
	return refused;
}

/* Two daemons that can reach their peers alone. */
static void
cut_from_platform(void)
{
	static const uint32_t hosts[] = { 1, 4 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hosts); i++) {
		testbed_signal(&testbed.hosts[hosts[i]].daemon, SIGKILL);
		testbed.hosts[hosts[i]].platform_url = DEAD_PLATFORM;
		testbed_start_daemon(&testbed, hosts[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(hosts); i++)
		TEST_CHECK(testbed_wait_ready(&testbed, hosts[i]), "ready");
}

static void
hold_all(struct held *held)
{
	static const struct held kinds[] = {
		{ .name = "long upload",
		    .id = "upload",
		    .method = "POST",
		    .path = "/upload",
		    .host = 0 },
		{ .name = "long answer",
		    .id = "answer",
		    .method = "GET",
		    .path = "/back",
		    .extra = NO_MS "\r\n" LONG_BYTES,
		    .host = 1 },
		{ .name = "deeper hop",
		    .id = "deep",
		    .method = "GET",
		    .path = "/front",
		    .host = 2 },
		{ .name = "fills the queue",
		    .id = "filler",
		    .method = "GET",
		    .path = "/front",
		    .extra = LONG_MS },
	};
	size_t i;

	for (i = 0; i < HELD; i++) {
		held[i] = kinds[MIN(i, G_N_ELEMENTS(kinds) - 1)];
		if (i == HELD - FILLERS)
			TEST_CHECK(testbed_wait_condition(all_started, NULL),
			    "work begins");
		if (i >= HELD - FILLERS)
			held[i].host = (uint32_t)i % FRONTS;
		hold(&held[i]);
	}
	TEST_CHECK(testbed_wait_condition(fillers_started, NULL), "fillers");
}

static void
release(struct held *held)
{
	TEST_CHECK(atomic_load(&held->ended), "%s goes on: %s", held->name,
	    held->first);
	shutdown(held->fd, SHUT_RDWR);
	g_thread_join(held->thread);
	close(held->fd);
}

/* Ship the withdrawal; how long it took to be felt by all, in ms. */
static double
withdraw(struct testbed_caller *callers, struct held *held)
{
	gint64 shipped_us = g_get_monotonic_time();

	ship(2, true);
	TEST_CHECK(testbed_wait_condition(refused_everywhere, callers),
	    "refused everywhere");
	TEST_CHECK(testbed_wait_condition(all_ended, held), "work is cut");
	return (double)(g_get_monotonic_time() - shipped_us) / 1000;
}

/*
 * The crew's key is withdrawn while the crew is connected and at work: a
 * long upload, a long answer, work in a deeper service, calls in the queue of
 * a full upstream.  The platform is dead for two daemons, which learn of it
 * from their peers.  Within seconds every daemon refuses the key on the
 * connections it already had and cuts what runs; the other team goes on.
 */
static void
test_withdrawn(void)
{
	const char *other[] = { court, NO_MS, NULL };
	struct testbed_caller callers[HOSTS];
	char *text = document(1, false);
	struct held held[HELD];
	struct testbed_reply reply;
	uint32_t i, ran;
	double within_ms;

	if (!TEST_CHECK(testbed_start(&testbed, services, 2, 1, text), "start"))
		goto out;
	cut_from_platform();
	for (i = 0; i < HOSTS; i++)
		testbed_caller_init(&callers[i], &testbed);
	TEST_CHECK(!refused_everywhere(callers), "refused while granted");
	hold_all(held);
	within_ms = withdraw(callers, held);
	TEST_CHECK(within_ms < WITHDRAWN_WITHIN_MS, "%.0f ms", within_ms);
	for (i = 0; i < HELD; i++)
		release(&held[i]);
	ran = starts("front", "filler");
	/* A slot that a cut call frees may go to one whose worker has not yet
	 * heard: that one is cut too, a moment later. */
	TEST_CHECK(ran < FILLERS, "no call was left in a queue");
	testbed_call(&testbed, 0, "GET", "/back", other, NULL, 0, &reply);
	TEST_CHECK(reply.status == 200, "the other team: %d", reply.code);
	testbed_reply_clear(&reply);
	TEST_CHECK(!testbed_dump_contains(&testbed, crew_key), "key upstream");
	printf("point 3 keys: withdrawn with %d calls under way, %u of them in "
	       "queues, platform dead for 2 of %d daemons: refused everywhere "
	       "and all cut within %.0f ms\n",
	    HELD, FILLERS - ran, HOSTS, within_ms);
	for (i = 0; i < HOSTS; i++)
		testbed_caller_clear(&callers[i]);
out:
	testbed_stop(&testbed);
	g_free(text);
}

/* A context as somebody else might use it. */
enum misuse {
	AS_IT_IS,
	LAST_CUT,
	HALF,
	ONE_LETTER
};

static char *
misused(const char *context, enum misuse misuse)
{
	char *text = g_strdup(context);
	size_t len = strlen(text);

	if (misuse == LAST_CUT)
		text[len - 1] = '\0';
	else if (misuse == HALF)
		text[len / 2] = '\0';
	else if (misuse == ONE_LETTER)
		text[len / 3] = text[len / 3] == 'A' ? 'B' : 'A';
	return text;
}

static uint32_t
front_of(const char *id)
{
	char *file, *ledger;
	uint32_t i;

	for (i = 0; i < FRONTS; i++) {
		file = g_strdup_printf(
		    "%s/%s.ledger", testbed.dir, testbed.hosts[i].name);
		if (g_file_get_contents(file, &ledger, NULL, NULL)) {
			if (strstr(ledger, id) != NULL) {
				g_free(ledger);
				g_free(file);
				return i;
			}
			g_free(ledger);
		}
		g_free(file);
	}
	return 0;
}

static bool
deep_started(void *id)
{
	return starts("back", id) > 0;
}

/* Use a context; the code that it is refused with, 0 for none. */
static int
use(const char *context, uint32_t host, enum misuse misuse, const char *key)
{
	char *text = misused(context, misuse);
	char *line = g_strconcat("Loom-Context: ", text, NULL);
	const char *headers[] = { line, NO_MS, "X-Test-Id: misused", key,
		NULL };
	struct testbed_reply reply;
	int code;

	testbed_call(&testbed, host, "GET", "/back", headers, NULL, 0, &reply);
	code = reply.code;
	TEST_CHECK(code == 0 || strcmp(reply.outcome, "not-run") == 0, "%d %s",
	    code, reply.outcome);
	testbed_reply_clear(&reply);
	g_free(line);
	g_free(text);
	return code;
}

struct ended_use {
	const char *context; /* borrowed */
	uint32_t host;
	int code;
};

static bool
refused_now(void *arg)
{
	struct ended_use *ended = arg;

	ended->code = use(ended->context, ended->host, AS_IT_IS, NULL);
	return ended->code != 0;
}

/*
 * An upstream, or whoever reads its memory, tries the context that it was
 * handed: changed, cut, at another daemon, with another team's key beside it,
 * and after its call ended.  Only as it is, at its own daemon, while its call
 * runs, is it good, and then for its own team alone.
 */
static void
test_contexts(void)
{
	static const struct {
		const char *name;
		uint32_t elsewhere; /* hosts away from its own */
		enum misuse misuse;
		const char *key;
	} cases[] = {
		{ "another daemon", 1, AS_IT_IS, NULL },
		{ "last letter cut", 0, LAST_CUT, NULL },
		{ "half", 0, HALF, NULL },
		{ "one letter changed", 0, ONE_LETTER, NULL },
		{ "another team's key beside it", 1, AS_IT_IS, court },
		{ "changed, with a good key", 0, ONE_LETTER, court },
	};
	struct held held = { .name = "live",
		.id = "live",
		.method = "GET",
		.path = "/front",
		.host = 0 };
	const char *bearer[] = { crew_bearer, NO_MS, NULL };
	char *text = document(1, false), *context;
	struct testbed_reply reply;
	uint32_t host, refused = 0;
	struct ended_use ended;
	size_t i;
	int code;

	if (!TEST_CHECK(testbed_start(&testbed, services, 2, 1, text), "start"))
		goto out;
	hold(&held);
	TEST_CHECK(
	    testbed_wait_condition(deep_started, (void *)"live"), "deep");
	host = front_of("live");
	context = testbed_last_header(&testbed, host, "Loom-Context");
	TEST_CHECK(context != NULL, "no context");
	TEST_CHECK(use(context, host, AS_IT_IS, NULL) == 0, "its own use");
	TEST_CHECK(starts("back", "misused") == 1, "its own use ran");
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		code = use(context, (host + cases[i].elsewhere) % FRONTS,
		    cases[i].misuse, cases[i].key);
		TEST_CHECK(code == LOOM_CONTEXT_INVALID, "%s: %d",
		    cases[i].name, code);
		refused += code != 0;
	}
	TEST_CHECK(starts("back", "misused") == 1, "a misused context ran");
	shutdown(held.fd, SHUT_RDWR);
	g_thread_join(held.thread);
	close(held.fd);
	ended = (struct ended_use){ .context = context, .host = host };
	TEST_CHECK(testbed_wait_condition(refused_now, &ended),
	    "used after its call ended");
	refused += ended.code != 0;
	testbed_call(&testbed, 0, "GET", "/back", bearer, NULL, 0, &reply);
	TEST_CHECK(reply.status == 200, "bearer: %d", reply.code);
	testbed_reply_clear(&reply);
	TEST_CHECK(!testbed_dump_contains(&testbed, crew_key) &&
		!testbed_dump_contains(&testbed, court_key),
	    "key upstream");
	printf("point 3 keys: %u of %zu misused contexts refused, after the "
	       "call ended with %d; no byte of a key upstream\n",
	    refused, G_N_ELEMENTS(cases) + 1, ended.code);
	g_free(context);
out:
	testbed_stop(&testbed);
	g_free(text);
}

static const struct test_case tests[] = {
	{ "withdrawn", test_withdrawn },
	{ "contexts", test_contexts },
};

TEST_MAIN("keys", tests)
