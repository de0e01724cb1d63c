/*
 * The load tool against a fleet of real processes.
 */

#include <glib/gstdio.h>
#include <json-c/json.h>
#include <signal.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define KEY "k-load-crew"
#define PORT_CALLERS 7000
#define PORT_UPSTREAM 8000

/* Enough for both routes, and over in seconds. */
#define REQUESTS 300

static const struct testbed_service services[] = {
	{ .name = "orders", .hosts = 2, .calls = { "GET /site" }, .slots = 16 },
	{ .name = "sites", .hosts = 2, .slots = 16 },
};

static char *
document(void)
{
	return g_strdup_printf(
	    "{ \"document\": \"test\", \"version\": 1,\n"
	    "\"teams\": [ { \"name\": \"crew\", \"rate_per_s\": 2000,\n"
	    "  \"burst\": 2000, \"keys\": [ { \"id\": \"a\",\n"
	    "  \"sha256\": \"%s\" } ] } ],\n"
	    "\"services\": [ { \"name\": \"orders\", \"slots\": 16 },\n"
	    "  { \"name\": \"sites\", \"slots\": 16 } ],\n"
	    "\"routes\": [\n"
	    " { \"name\": \"order.create\", \"service\": \"orders\",\n"
	    "   \"method\": \"POST\", \"path\": \"/orders\",\n"
	    "   \"importance\": \"critical\", \"idempotent\": false,\n"
	    "   \"calls\": [ \"site.get\" ] },\n"
	    " { \"name\": \"site.get\", \"service\": \"sites\",\n"
	    "   \"method\": \"GET\", \"path\": \"/site\" } ] }",
	    testbed_key_digest(KEY));
}

/* What the cases of this file differ in. */
struct offer {
	uint32_t rate_per_s;
	const char *retry;
};

static char *
write_settings(const struct testbed *testbed, const struct offer *offer)
{
	char *file = g_build_filename(testbed->dir, "load.json", NULL);
	GString *text = g_string_new("{ \"seed\": 7, \"entries\": [");
	uint32_t i;

	for (i = 0; i < testbed->nhosts; i++)
		g_string_append_printf(text, "%s\"%s:%d\"", i > 0 ? "," : "",
		    testbed->hosts[i].ip, PORT_CALLERS);
	g_string_append_printf(text,
	    "], // every daemon is an entry\n"
	    "\"requests\": %d, \"duration_ms\": 60000,\n"
	    "\"teams\": [ { \"name\": \"crew\", \"key\": \"" KEY "\",\n"
	    "\"rate_per_s\": %u, \"granted_per_s\": 2000,\n"
	    "\"granted_burst\": 2000, \"attempts\": 5,\n"
	    "\"retry\": \"%s\", \"routes\": [\n"
	    "{ \"method\": \"POST\", \"path\": \"/orders\", \"ticket\": true,\n"
	    "  \"importance\": \"critical\", \"body_bytes\": 200 },\n"
	    "{ \"method\": \"GET\", \"path\": \"/site\", \"weight\": 2 }\n"
	    "] } ] }",
	    REQUESTS, offer->rate_per_s, offer->retry);
	g_file_set_contents(file, text->str, -1, NULL);
	g_string_free(text, TRUE);
	return file;
}

/* Run the tool over all ledgers; its JSON, owned, and its exit status. */
static struct json_object *
run_load(const struct testbed *testbed, const struct offer *offer, int *status)
{
	const char *bin = g_getenv("LOOM_BIN");
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	struct json_object *object;
	char *out = NULL, *err = NULL;
	uint32_t i;

	g_ptr_array_add(argv,
	    g_build_filename(
		bin != NULL ? bin : "build/bin", "loom-load", NULL));
	g_ptr_array_add(argv, g_strdup("--json"));
	for (i = 0; i < testbed->nhosts; i++)
		g_ptr_array_add(argv,
		    g_strdup_printf("--ledger=%s/%s.ledger", testbed->dir,
			testbed->hosts[i].name));
	g_ptr_array_add(argv, write_settings(testbed, offer));
	g_ptr_array_add(argv, NULL);
	if (!TEST_CHECK(
		g_spawn_sync(NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT,
		    NULL, NULL, &out, &err, status, NULL),
		"loom-load does not start"))
		*status = -1;
	TEST_CHECK(err == NULL || err[0] == '\0', "%s", err);
	object = out != NULL ? json_tokener_parse(out) : NULL;
	g_ptr_array_free(argv, TRUE);
	g_free(out);
	g_free(err);
	return object;
}

static struct json_object *
member(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, name, &value);
	return value;
}

static int64_t
number(struct json_object *object, const char *name)
{
	return json_object_get_int64(member(object, name));
}

struct settled {
	struct testbed *testbed;
	uint32_t host;
};

/* A new daemon refuses every team for some seconds. */
static bool
is_settled(void *arg)
{
	static const char *const headers[] = { "Loom-Key: " KEY, NULL };
	struct settled *settled = arg;
	struct testbed_reply reply;
	bool ok;

	testbed_call(settled->testbed, settled->host, "GET", "/site", headers,
	    NULL, 0, &reply);
	ok = reply.status == 200;
	testbed_reply_clear(&reply);
	return ok;
}

static bool
start(struct testbed *testbed)
{
	struct settled settled = { .testbed = testbed };
	char *text = document();
	bool ok;

	ok = testbed_start(testbed, services, 2, 2, text);
	g_free(text);
	for (; ok && settled.host < testbed->nhosts; settled.host++)
		ok = testbed_wait_condition(is_settled, &settled);
	return TEST_CHECK(ok, "start");
}

static const struct offer calm = { .rate_per_s = 150, .retry = "polite" };

/* Nothing is wrong with the fleet: every request ends and none is lied about.
 */
static void
test_healthy(void)
{
	struct json_object *report, *team, *ledger;
	struct testbed testbed;
	int status = -1;

	if (!start(&testbed))
		goto out;
	report = run_load(&testbed, &calm, &status);
	if (!TEST_CHECK(report != NULL, "no report"))
		goto out;
	team = json_object_array_get_idx(member(report, "teams"), 0);
	ledger = member(report, "ledger");
	TEST_CHECK(status == 0, "status %d: %s", status,
	    json_object_to_json_string(report));
	TEST_CHECK(number(team, "offered") == REQUESTS, "offered %d",
	    (int)number(team, "offered"));
	TEST_CHECK(number(team, "good") == REQUESTS, "%s",
	    json_object_to_json_string(report));
	TEST_CHECK(number(team, "wrongful") == 0, "wrongful");
	TEST_CHECK(number(ledger, "claims") >= REQUESTS, "claims");
	TEST_CHECK(number(ledger, "starts") >= REQUESTS, "starts");
	json_object_put(report);
out:
	testbed_stop(&testbed);
}

/*
 * Callers get 200 for orders, but the ledgers of the orders service were
 * replaced and have none of them, as if someone else had answered.  Callers
 * notice nothing; the tool must say so and fail.
 */
static void
test_lie_is_found(void)
{
	struct json_object *report;
	struct testbed testbed;
	int status = 0;
	char *file;
	uint32_t i;

	if (!start(&testbed))
		goto out;
	/* The upstreams go on writing to the files that were unlinked. */
	for (i = 0; i < testbed.nhosts; i++) {
		if (testbed.hosts[i].service != &services[0])
			continue;
		file = g_strdup_printf(
		    "%s/%s.ledger", testbed.dir, testbed.hosts[i].name);
		g_unlink(file);
		g_file_set_contents(file, "", -1, NULL);
		g_free(file);
	}
	report = run_load(&testbed, &calm, &status);
	TEST_CHECK(status != 0, "a missing answer was not found");
	TEST_CHECK(json_object_array_length(
		       member(member(report, "ledger"), "violations")) > 0,
	    "no violation");
	json_object_put(report);
out:
	testbed_stop(&testbed);
}

/* Set all upstreams of a service, by a query of their own test page. */
static void
set_upstreams(struct testbed *testbed, const struct testbed_service *service,
    const char *query)
{
	struct test_standin upstream = { .pid = 0 };
	char *path = g_strconcat("/test/set?", query, NULL);
	uint32_t i;

	for (i = 0; i < testbed->nhosts; i++) {
		if (testbed->hosts[i].service != service)
			continue;
		g_snprintf(upstream.url, sizeof(upstream.url), "http://%s:%d",
		    testbed->hosts[i].ip, PORT_UPSTREAM);
		g_free(test_standin_call(&upstream, "GET", path, NULL));
	}
	g_free(path);
}

/*
 * The deep service ends 100 calls a second and is offered many times that by
 * callers who send again at once.  Some get answers, most are refused; each
 * refusal has to be true and no order may run twice, however often it is sent.
 */
static void
test_overload(void)
{
	static const struct offer surge = { .rate_per_s = 600,
		.retry = "impatient" };
	struct json_object *report, *team;
	struct testbed testbed;
	int status = -1;

	if (!start(&testbed))
		goto out;
	set_upstreams(&testbed, &services[1], "service_ms=40&slots=2");
	report = run_load(&testbed, &surge, &status);
	team = json_object_array_get_idx(member(report, "teams"), 0);
	TEST_CHECK(status == 0, "status %d: %s", status,
	    json_object_to_json_string(report));
	TEST_CHECK(number(team, "good") > 0 && number(team, "good") < REQUESTS,
	    "good %d", (int)number(team, "good"));
	json_object_put(report);
out:
	testbed_stop(&testbed);
}

struct running {
	struct testbed *testbed;
	struct json_object *report;
	int status;
};

static void *
run_beside(void *arg)
{
	struct running *running = arg;

	running->report = run_load(running->testbed, &calm, &running->status);
	return NULL;
}

static bool
is_under_way(void *arg)
{
	return testbed_ledger_count(arg, "orders", "start", NULL) >=
	    REQUESTS / 10;
}

/*
 * While load runs, the daemon of one orders host and the upstream of the other
 * are killed and started again.  Callers see broken connections and unknown
 * outcomes, and send again with the same ticket; tickets of the killed daemon
 * are lost.  What callers were told has to agree with the ledgers all the same.
 */
static void
test_killed(void)
{
	struct testbed testbed;
	struct running running = { .testbed = &testbed, .status = -1 };
	GThread *thread;
	bool began;

	if (!start(&testbed))
		goto out;
	/* Long work, so that some is in flight when they are killed. */
	set_upstreams(&testbed, &services[0], "service_ms=200");
	thread = g_thread_new("load", run_beside, &running);
	began = testbed_wait_condition(is_under_way, &testbed);
	testbed_signal(&testbed.hosts[0].daemon, SIGKILL);
	testbed_signal(&testbed.hosts[1].upstream, SIGKILL);
	testbed_start_daemon(&testbed, 0);
	testbed_start_upstream(&testbed, 1);
	g_thread_join(thread);
	TEST_CHECK(began, "no load came");
	TEST_CHECK(running.status == 0, "status %d: %s", running.status,
	    json_object_to_json_string(running.report));
	json_object_put(running.report);
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "a healthy fleet", test_healthy },
	{ "answers that no ledger has", test_lie_is_found },
	{ "overload", test_overload },
	{ "killed while load runs", test_killed },
};

TEST_MAIN("load process", tests)
