/*
 * Upstreams that reject part of their calls without running them, with real
 * processes: chains of calls through them, the bound on what is repeated, and
 * that nothing runs twice.
 */

#include <arpa/inet.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define CHAIN_CALLS 4
#define CALLERS 6
#define FRONTS 2
#define DEEP 2
#define PORT_UPSTREAM TESTBED_PORT_UPSTREAM
#define SLOTS 64
#define GIVE_UP_MS 4
/* Roots may use half of the budget; each order offered once: 0.7. */
#define ORDERS_WHOLE 0.8
#define SERVED 50 /* requests after the fault */
#define REPEAT_SETTINGS                                 \
	"\"decide_by_work\":true,\"repeat_ratio\":0.5," \
	"\"repeat_window_s\":2"
#define REJECT "reject=30" /* of 100 calls */
/* Until executors know a window of first calls and half of one more. */
#define WARM_US (3 * G_USEC_PER_SEC)
#define REJECTING_US (3 * G_USEC_PER_SEC)

static const char key_header[] = "Loom-Key: k-rejected";

static struct testbed testbed;

static const struct testbed_service repeating[2] = {
	{ .name = "a",
	    .hosts = FRONTS,
	    .slots = SLOTS,
	    .daemon = "loomd-rejected",
	    .settings = REPEAT_SETTINGS },
	{ .name = "b",
	    .hosts = DEEP,
	    .slots = SLOTS,
	    .service_ms = 5,
	    .daemon = "loomd-rejected",
	    .settings = REPEAT_SETTINGS },
};

/* A rejected call is refused at once. */
static const struct testbed_service without_repeats[2] = {
	{ .name = "a",
	    .hosts = FRONTS,
	    .slots = SLOTS,
	    .daemon = "loomd-rejected",
	    .settings = "\"decide_by_work\":true",
	    .calls = { "GET /b", "GET /b", "GET /b", "GET /b" } },
	{ .name = "b",
	    .hosts = DEEP,
	    .slots = SLOTS,
	    .service_ms = 5,
	    .daemon = "loomd-rejected",
	    .settings = "\"decide_by_work\":true" },
};

struct load {
	void (*send)(struct load *, struct testbed_caller *);
	atomic_bool stop;
	atomic_uint number; /* requests so far */
	atomic_uint whole;
};

static bool
start(const struct testbed_service services[2])
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,"
	    "\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":100000,"
	    "\"burst\":100000,"
	    "\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"a\",\"slots\":64},"
	    "{\"name\":\"b\",\"slots\":64}],\"routes\":["
	    "{\"name\":\"a\",\"service\":\"a\",\"method\":\"GET\","
	    "\"path\":\"/a\",\"calls\":[\"b\"]},"
	    "{\"name\":\"b\",\"service\":\"b\",\"method\":\"GET\","
	    "\"path\":\"/b\"},"
	    "{\"name\":\"order\",\"service\":\"b\",\"method\":\"POST\","
	    "\"path\":\"/order\",\"idempotent\":false}]}",
	    FRONTS + DEEP, testbed_key_digest("k-rejected"));
	bool ok = testbed_start(&testbed, services, 2, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static void
set_deep_upstreams(const char *query)
{
	struct test_standin upstream = { .pid = 0 };
	char *path = g_strconcat("/test/set?", query, NULL);
	uint32_t i;

	for (i = FRONTS; i < FRONTS + DEEP; i++) {
		g_snprintf(upstream.url, sizeof(upstream.url), "http://%s:%d",
		    testbed.hosts[i].ip, PORT_UPSTREAM);
		g_free(test_standin_call(&upstream, "GET", path, NULL));
	}
	g_free(path);
}

static void
send_request(struct load *load, struct testbed_caller *caller)
{
	uint32_t number = atomic_fetch_add(&load->number, 1);
	char *id_header = g_strdup_printf("X-Test-Id: r%u", number);
	const char *headers[] = { key_header, id_header, NULL };
	const struct testbed_request request = {
		.host = number % FRONTS,
		.method = "GET",
		.path = "/a",
		.headers = headers,
	};
	struct testbed_reply reply;

	testbed_caller_call(caller, &request, &reply);
	if (reply.status == 200)
		atomic_fetch_add(&load->whole, 1);
	testbed_reply_clear(&reply);
	g_free(id_header);
}

static void *
send_requests(void *arg)
{
	struct load *load = arg;
	struct testbed_caller caller;

	testbed_caller_init(&caller, &testbed);
	while (!atomic_load(&load->stop))
		load->send(load, &caller);
	testbed_caller_clear(&caller);
	return NULL;
}

/* All upstreams of the second service reject a part of their calls for some
 * time. */
static void
run_load(struct load *load, uint32_t *rejecting, uint32_t *whole)
{
	GThread *threads[CALLERS];
	uint32_t number, whole_before, i;

	for (i = 0; i < CALLERS; i++)
		threads[i] = g_thread_new("caller", send_requests, load);
	g_usleep(WARM_US);
	number = atomic_load(&load->number);
	whole_before = atomic_load(&load->whole);
	set_deep_upstreams(REJECT);
	g_usleep(REJECTING_US);
	*rejecting = atomic_load(&load->number) - number;
	*whole = atomic_load(&load->whole) - whole_before;
	atomic_store(&load->stop, true);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
}

static uint32_t
count_arrivals(void)
{
	return testbed_ledger_count(&testbed, "b", "start", NULL) +
	    testbed_ledger_count(&testbed, "b", "shed", NULL);
}

static void
check_bounds(const char *name, double ratio, const struct load *load)
{
	const uint32_t firsts = CHAIN_CALLS * atomic_load(&load->number);
	uint32_t arrivals = count_arrivals();
	GHashTable *started = testbed_ledger(&testbed, "b", "start");
	uint32_t most = testbed_ledger_max(started);

	TEST_CHECK(most <= CHAIN_CALLS, "%s: a request made %u runs of %u",
	    name, most, CHAIN_CALLS);
	TEST_CHECK(arrivals <= (1 + ratio) * firsts,
	    "%s: %u arrivals of %u calls", name, arrivals, firsts);
	printf("rejected: %s: %u calls, %u arrivals\n", name, firsts, arrivals);
	g_hash_table_unref(started);
}

/*
 * Guards against requests that fail for one rejected call of several while
 * repeats are allowed.  Without the setting the load is the same, and so is the
 * rest of what daemons do.
 */
static void
test_chains(void)
{
	static const struct {
		const char *name;
		const char *settings;
		const char *query;
		double ratio; /* bound on repeats per call */
		double whole_min, whole_max;
	} rows[] = {
		{ "repeats allowed", REPEAT_SETTINGS, "pace=100", 0.5, 0.8, 1 },
		{ "few repeats allowed",
		    "\"decide_by_work\":true,\"repeat_ratio\":0.1,"
		    "\"repeat_window_s\":2",
		    "pace=100", 0.1, 0, 0.8 },
		{ "no ratio set", "\"decide_by_work\":true", "pace=100", 0.1, 0,
		    0.6 },
		{ "no pace reported", REPEAT_SETTINGS, "pace=0", 0.1, 0, 0.6 },
	};
	uint32_t rejecting, whole;
	double share;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct testbed_service services[2] = {
			{ .name = "a",
			    .hosts = FRONTS,
			    .slots = 64,
			    .daemon = "loomd-rejected",
			    .settings = rows[i].settings,
			    .calls = { "GET /b", "GET /b", "GET /b",
				"GET /b" } },
			{ .name = "b",
			    .hosts = DEEP,
			    .slots = 64,
			    .service_ms = 5,
			    .daemon = "loomd-rejected",
			    .settings = rows[i].settings },
		};
		struct load load = { .send = send_request };

		if (start(services)) {
			set_deep_upstreams(rows[i].query);
			run_load(&load, &rejecting, &whole);
			share = (double)whole / MAX(rejecting, 1);
			TEST_CHECK(rejecting >= 20 &&
				share >= rows[i].whole_min &&
				share <= rows[i].whole_max,
			    "%s: %u of %u whole", rows[i].name, whole,
			    rejecting);
			printf("rejected: %s: %u of %u whole\n", rows[i].name,
			    whole, rejecting);
			check_bounds(rows[i].name, rows[i].ratio, &load);
		}
		testbed_stop(&testbed);
	}
}

/* An order with a ticket, which must not run twice. */
static void
send_order(struct load *load, struct testbed_caller *caller)
{
	uint32_t number = atomic_fetch_add(&load->number, 1);
	char *ticket =
	    testbed_ticket(&testbed, number % FRONTS, key_header, "order");
	char *ticket_header = g_strconcat("Loom-Ticket: ", ticket, NULL);
	char *id_header = g_strdup_printf("X-Test-Id: o%u", number);
	const char *headers[] = { key_header, id_header, ticket_header, NULL };
	const struct testbed_request request = {
		.host = number % FRONTS,
		.method = "POST",
		.path = "/order",
		.headers = headers,
		.body = "order",
		.body_len = 5,
	};
	struct testbed_reply reply;

	testbed_caller_call(caller, &request, &reply);
	if (reply.status == 200 && strstr(reply.body, "body=5") != NULL)
		atomic_fetch_add(&load->whole, 1);
	else
		TEST_CHECK(strcmp(reply.outcome, "not-run") == 0,
		    "o%u: %ld, %d, %s, ticket %s", number, reply.status,
		    reply.code, reply.outcome,
		    ticket != NULL ? "sent" : "none");
	testbed_reply_clear(&reply);
	g_free(id_header);
	g_free(ticket_header);
	g_free(ticket);
}

/*
 * Guards against an order that runs twice, loses its body or is told a wrong
 * outcome when it is offered again.
 */
static void
test_orders(void)
{
	struct load load = { .send = send_order };
	uint32_t rejecting, whole;
	GHashTable *done;

	if (!start(repeating))
		goto out;
	set_deep_upstreams("pace=100");
	run_load(&load, &rejecting, &whole);
	TEST_CHECK(rejecting >= 20 && whole >= ORDERS_WHOLE * rejecting,
	    "%u of %u whole", whole, rejecting);
	done = testbed_ledger(&testbed, "b", "start");
	TEST_CHECK(testbed_ledger_max(done) == 1, "an order ran %u times",
	    testbed_ledger_max(done));
	TEST_CHECK(g_hash_table_size(done) == atomic_load(&load.whole),
	    "%u orders ran, %u were answered", g_hash_table_size(done),
	    atomic_load(&load.whole));
	printf("rejected: orders: %u of %u whole\n", whole, rejecting);
	g_hash_table_unref(done);
out:
	testbed_stop(&testbed);
}

static void
send_deep(struct load *load, struct testbed_caller *caller, const char *id,
    uint32_t give_up_ms)
{
	uint32_t number = atomic_fetch_add(&load->number, 1);
	char *id_header = g_strdup_printf("X-Test-Id: %s%u", id, number);
	const char *headers[] = { key_header, id_header, NULL };
	const struct testbed_request request = {
		.host = number % FRONTS,
		.method = "GET",
		.path = "/b",
		.headers = headers,
		.give_up_ms = give_up_ms,
	};
	struct testbed_reply reply;

	testbed_caller_call(caller, &request, &reply);
	if (reply.status == 200)
		atomic_fetch_add(&load->whole, 1);
	testbed_reply_clear(&reply);
	g_free(id_header);
}

/* A caller that leaves before most calls are answered. */
static void
send_and_leave(struct load *load, struct testbed_caller *caller)
{
	send_deep(load, caller, "leaves", GIVE_UP_MS);
}

/* Without the last number of an address, as /proc/net/tcp writes it on a
 * machine of this byte order. */
static bool
is_in_testbed(unsigned address)
{
	const uint8_t any_host[4] = { 0xff, 0xff, 0xff, 0 };
	unsigned mask;

	memcpy(&mask, any_host, sizeof(mask));
	return ((address ^ inet_addr(testbed.hosts[0].ip)) & mask) == 0;
}

/* All connections are accepted, and all that was sent on them is read. */
static bool
all_is_read(void)
{
	char *text = NULL, **lines, **line;
	unsigned address, unread;
	bool ok = true;

	if (!g_file_get_contents("/proc/net/tcp", &text, NULL, NULL))
		return false;
	lines = g_strsplit(text, "\n", -1);
	for (line = lines; *line != NULL; line++) {
		if (sscanf(*line, "%*u: %8X:%*X %*X:%*X %*X %*X:%8X", &address,
			&unread) == 2 &&
		    is_in_testbed(address) && unread != 0)
			ok = false;
	}
	g_strfreev(lines);
	g_free(text);
	return ok;
}

/* Only the request for the metrics itself is in progress, and nothing that
 * callers or daemons have sent is still unread. */
static bool
is_idle(void *arg)
{
	uint32_t i;

	(void)arg;
	if (!all_is_read())
		return false;
	for (i = 0; i < FRONTS + DEEP; i++) {
		if (testbed_metric(&testbed, i, "loom_calls_inflight") != 1)
			return false;
	}
	return all_is_read();
}

/* Calls that the daemons of the second service have sent to upstreams. */
static uint32_t
count_sent(void)
{
	double sent = 0;
	uint32_t i;

	for (i = FRONTS; i < FRONTS + DEEP; i++)
		sent += testbed_metric(&testbed, i, "loom_executed_total");
	return (uint32_t)sent;
}

/* All of some requests in a row are served: entries have heard that the
 * upstreams accept calls again.  Adds to the load. */
static bool
serves_all(void *arg)
{
	struct load *load = arg;
	const uint32_t whole_before = atomic_load(&load->whole);
	struct testbed_caller caller;
	uint32_t i;

	testbed_caller_init(&caller, &testbed);
	for (i = 0; i < SERVED; i++)
		send_deep(load, &caller, "stays", 0);
	testbed_caller_clear(&caller);
	return atomic_load(&load->whole) == whole_before + SERVED;
}

/* Each request that was served has arrived once, and no other has. */
static void
check_arrived_once(uint32_t served)
{
	GHashTable *started = testbed_ledger(&testbed, "b", "start");
	GHashTable *shed = testbed_ledger(&testbed, "b", "shed");
	uint32_t arrived = 0;
	GHashTableIter iter;
	void *id, *times;

	g_hash_table_iter_init(&iter, started);
	while (g_hash_table_iter_next(&iter, &id, &times)) {
		if (!g_str_has_prefix(id, "stays"))
			continue;
		arrived++;
		TEST_CHECK(GPOINTER_TO_UINT(times) == 1, "%s ran %u times",
		    (const char *)id, GPOINTER_TO_UINT(times));
	}
	TEST_CHECK(
	    arrived == served, "%u ran, %u were served", arrived, served);
	g_hash_table_iter_init(&iter, shed);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		TEST_CHECK(!g_str_has_prefix(id, "stays"), "%s was rejected",
		    (const char *)id);
	g_hash_table_unref(shed);
	g_hash_table_unref(started);
}

/*
 * Guards against calls that are still offered, or keep their slot, after their
 * caller has left: far more leave than there are slots.
 *
 * What is sent is counted at the daemons: an upstream may read a request after
 * its daemon has sent it and closed the connection, so a late arrival does not
 * show that anything was sent late.
 */
static void
test_callers_leave(void)
{
	struct load load = { .send = send_and_leave };
	struct load later = { .whole = 0 };
	uint32_t rejecting, whole, sent, sent_later, served;

	if (!start(repeating))
		goto out;
	set_deep_upstreams("pace=100");
	run_load(&load, &rejecting, &whole);
	TEST_CHECK(rejecting > 4 * DEEP * SLOTS, "%u callers", rejecting);
	TEST_CHECK(testbed_wait_condition(is_idle, NULL), "calls in progress");
	sent = count_sent();
	set_deep_upstreams("reject=0");
	TEST_CHECK(
	    testbed_wait_condition(serves_all, &later), "not served after it");
	served = atomic_load(&later.whole);
	sent_later = count_sent() - sent;
	TEST_CHECK(sent_later == served,
	    "%u sent after all callers had left, %u served", sent_later,
	    served);
	TEST_CHECK(count_arrivals() <= sent + sent_later,
	    "%u arrivals of %u sent", count_arrivals(), sent + sent_later);
	check_arrived_once(served);
	printf("rejected: callers leave: %u sent, then %u, %u served\n", sent,
	    sent_later, served);
out:
	testbed_stop(&testbed);
}

/* Whether a host of the second service logged a lower limit on the calls in
 * flight than before. */
static bool
logged_lower_limit(void)
{
	static const char event[] = "\"event\":\"limit\"";
	char *file, *text = NULL, *line, *was, *is;
	bool lower = false;
	uint32_t i;

	for (i = FRONTS; i < FRONTS + DEEP; i++) {
		file = testbed_file(&testbed, i, "log");
		g_file_get_contents(file, &text, NULL, NULL);
		for (line = text;
		     line != NULL && (line = strstr(line, event)) != NULL;
		     line++) {
			was = strstr(line, "\"was\":");
			is = strstr(line, "\"is\":");
			if (was != NULL && is != NULL &&
			    strtol(is + strlen("\"is\":"), NULL, 10) <
				strtol(was + strlen("\"was\":"), NULL, 10))
				lower = true;
		}
		g_free(text);
		g_free(file);
		text = NULL;
	}
	return lower;
}

/*
 * Guards against a limit that follows rejections at random, though the upstream
 * reports free slots: less is let in than it can run.
 */
static void
test_limit(void)
{
	struct load load = { .send = send_request };
	uint32_t rejecting, whole;

	if (!start(without_repeats))
		goto out;
	set_deep_upstreams("pace=100");
	run_load(&load, &rejecting, &whole);
	TEST_CHECK(!logged_lower_limit(), "the limit shrank");
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "limit", test_limit },
	{ "chains", test_chains },
	{ "callers leave", test_callers_leave },
	{ "orders", test_orders },
};

TEST_MAIN("rejected", tests)
