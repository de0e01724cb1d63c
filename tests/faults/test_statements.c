/*
 * What upstreams state of themselves in their answers, with real processes: the
 * rate of requests that they take, and that they leave.
 */

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "loom/result.h"
#include "support/test.h"
#include "support/testbed.h"

/* Hosts of the second service, of which STATING states something. */
enum host {
	ENTRY,
	OTHER_ENTRY,
	STATING,
	PLAIN,
};

#define CALLERS 12
#define WINDOW_US (4 * G_USEC_PER_SEC)
/* From the statement until it is held to. */
#define SETTLE_US (2 * G_USEC_PER_SEC)

static const char key_header[] = "Loom-Key: k-statements";

static const struct testbed_service two_hosts[] = {
	{ .name = "desk", .hosts = 2, .slots = 64 },
	{ .name = "back", .hosts = 2, .slots = 32, .service_ms = 10 },
};

static const struct testbed_service one_host[] = {
	{ .name = "desk", .hosts = 2, .slots = 64 },
	{ .name = "back", .hosts = 1, .slots = 32, .service_ms = 10 },
};

static struct testbed testbed;

static struct {
	GThread *threads[CALLERS];
	atomic_bool stopping;
	atomic_uint served, not_run, other;
	/* those of not_run that were not refused for a rate, whose rights go
	 * with a daemon that is killed, and the last one's code */
	atomic_uint without_host;
	atomic_int last_code;
} load;

static bool
start(const struct testbed_service *services)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,"
	    "\"fleet\":{\"slots\":4,\"tickets\":false},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":100000,"
	    "\"burst\":100000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"desk\"},{\"name\":\"back\"}],"
	    "\"routes\":[{\"name\":\"g\",\"service\":\"back\","
	    "\"method\":\"GET\",\"path\":\"/back\"}]}",
	    testbed_key_digest("k-statements"));
	bool ok = testbed_start(&testbed, services, 2, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static void
set_upstream(enum host host, const char *query)
{
	char *path = g_strconcat("/test/set?", query, NULL);
	struct test_standin upstream = { .pid = testbed.hosts[host].upstream };
	char *answer;

	g_snprintf(upstream.url, sizeof(upstream.url), "http://%s:%d",
	    testbed.hosts[host].ip, TESTBED_PORT_UPSTREAM);
	answer = test_standin_call(&upstream, "GET", path, NULL);
	TEST_CHECK(answer != NULL, "%s", path);
	g_free(answer);
	g_free(path);
}

static void
note_refusal(int code)
{
	if (code == LOOM_TEAM_RATE)
		return;
	atomic_store(&load.last_code, code);
	atomic_fetch_add(&load.without_host, 1);
}

static void *
run_caller(void *arg)
{
	const char *const headers[] = { key_header, NULL };
	const struct testbed_request request = {
		.host = GPOINTER_TO_UINT(arg) % 2 == 0 ? ENTRY : OTHER_ENTRY,
		.method = "GET",
		.path = "/back",
		.headers = headers,
	};
	struct testbed_caller caller;
	struct testbed_reply reply;

	testbed_caller_init(&caller, &testbed);
	while (!atomic_load(&load.stopping)) {
		testbed_caller_call(&caller, &request, &reply);
		if (reply.curl_code == 0 && reply.status == 200)
			atomic_fetch_add(&load.served, 1);
		else if (strcmp(reply.outcome, "not-run") == 0) {
			atomic_fetch_add(&load.not_run, 1);
			note_refusal(reply.code);
		} else
			atomic_fetch_add(&load.other, 1);
		testbed_reply_clear(&reply);
		g_usleep(10000);
	}
	testbed_caller_clear(&caller);
	return NULL;
}

static void
start_load(void)
{
	guint i;

	memset(&load, 0, sizeof(load));
	for (i = 0; i < CALLERS; i++)
		load.threads[i] = g_thread_new("caller", run_caller,
		    GUINT_TO_POINTER(i)); /* NOLINT(performance-no-int-to-ptr)
					   */
}

static void
stop_load(void)
{
	guint i;

	atomic_store(&load.stopping, true);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(load.threads[i]);
	TEST_CHECK(atomic_load(&load.other) == 0, "%u with another end",
	    atomic_load(&load.other));
}

/* The requests that have reached a host's upstream. */
static unsigned
arrivals(enum host host)
{
	char *path = testbed_file(&testbed, host, "ledger"), *text = NULL, *at;
	unsigned n = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		for (at = text; (at = strstr(at, "start ")) != NULL; at++)
			n++;
	}
	g_free(text);
	g_free(path);
	return n;
}

static unsigned
arrivals_in_window(enum host host)
{
	const unsigned before = arrivals(host);

	g_usleep(WINDOW_US);
	return arrivals(host) - before;
}

static void
restart_daemon(enum host host)
{
	testbed_signal(&testbed.hosts[host].daemon, SIGKILL);
	TEST_CHECK(testbed_start_daemon(&testbed, host) &&
		testbed_wait_ready(&testbed, host),
	    "the daemon starts again");
}

/* What an upstream may get in a window from daemons that it has told. */
static unsigned
allowed(unsigned rate)
{
	return rate * 6 + 5;
}

/* Guards against an upstream in need that gets more requests than it states,
 * while another host has room for them. */
static void
test_rate(void)
{
	static const unsigned rates[] = { 20, 3 };
	unsigned n, usual, i;
	char query[32];

	if (!start(two_hosts))
		return;
	start_load();
	usual = arrivals_in_window(STATING);
	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		g_snprintf(query, sizeof(query), "rate=%u", rates[i]);
		set_upstream(STATING, query);
		g_usleep(SETTLE_US);
		n = arrivals_in_window(STATING);
		TEST_CHECK(n <= allowed(rates[i]) && usual > allowed(rates[i]),
		    "%u arrivals at %u a second, %u before", n, rates[i],
		    usual);
		TEST_CHECK(n > 0, "none at %u a second", rates[i]);
	}
	restart_daemon(STATING);
	n = arrivals_in_window(STATING);
	TEST_CHECK(
	    n <= allowed(3), "%u arrivals after the executor's restart", n);
	TEST_CHECK(atomic_load(&load.not_run) * 50 < atomic_load(&load.served),
	    "%u refused, %u served", atomic_load(&load.not_run),
	    atomic_load(&load.served));
	set_upstream(STATING, "rate=0");
	g_usleep(2 * SETTLE_US);
	n = arrivals_in_window(STATING);
	TEST_CHECK(
	    n > usual / 4, "%u arrivals after its end, %u before", n, usual);
	stop_load();
	testbed_stop(&testbed);
}

/* Guards against requests that wait without prospect, or are sent all the same,
 * where no other host can take them. */
static void
test_rate_of_only_host(void)
{
	const unsigned rate = 25;
	unsigned n, served;

	if (!start(one_host))
		return;
	start_load();
	set_upstream(STATING, "rate=25");
	g_usleep(SETTLE_US);
	served = atomic_load(&load.served);
	n = arrivals_in_window(STATING);
	served = atomic_load(&load.served) - served;
	TEST_CHECK(n <= allowed(rate), "%u arrivals", n);
	TEST_CHECK(served >= rate * 2, "%u served of %u", served, rate * 4);
	stop_load();
	testbed_stop(&testbed);
}

/* Guards against an upstream that is called after it has said that it leaves,
 * also by an executor that has forgotten it. */
static void
test_leaving(void)
{
	unsigned n, refused;

	if (!start(two_hosts))
		return;
	start_load();
	n = arrivals_in_window(STATING);
	TEST_CHECK(n > 0, "none before");
	set_upstream(STATING, "leaving=1");
	g_usleep(SETTLE_US);
	n = arrivals_in_window(STATING);
	TEST_CHECK(n == 0, "%u arrivals after it said that it leaves", n);
	refused = atomic_load(&load.without_host);
	restart_daemon(STATING);
	n = arrivals_in_window(STATING);
	TEST_CHECK(n == 0, "%u arrivals after the executor's restart", n);
	TEST_CHECK(atomic_load(&load.without_host) == refused,
	    "%u refused, the last one with code %d",
	    atomic_load(&load.without_host) - refused,
	    atomic_load(&load.last_code));
	stop_load();
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "rate", test_rate },
	{ "rate of the only host", test_rate_of_only_host },
	{ "leaving", test_leaving },
};

TEST_MAIN("statements of upstreams", tests)
