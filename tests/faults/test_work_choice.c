/*
 * Entries that choose hosts by work, with real processes.
 */

#include <json-c/json.h>
#include <signal.h>

#include "support/test.h"
#include "support/testbed.h"

enum host {
	ENTRY,
	FIRST,
	SECOND,
	HOSTS,
};

#define CALLS 60
#define SERIES_CHOSEN "loom_hosts_chosen_by_work_total"

static const struct testbed_service reporting[] = {
	{ .name = "desk",
	    .hosts = 1,
	    .slots = 16,
	    .settings = "\"decide_by_work\":true" },
	{ .name = "back",
	    .hosts = 2,
	    .slots = 4,
	    .service_ms = 5,
	    .settings = "\"decide_by_work\":true" },
};

static const struct testbed_service silent[] = {
	{ .name = "desk",
	    .hosts = 1,
	    .slots = 16,
	    .settings = "\"decide_by_work\":true" },
	{ .name = "back", .hosts = 2, .slots = 4, .service_ms = 5 },
};

static struct testbed testbed;

static bool
start(const struct testbed_service *services)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,"
	    "\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":100000,"
	    "\"burst\":10000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"desk\"},"
	    "{\"name\":\"back\",\"slots\":%u,\"queue\":64}],"
	    "\"routes\":[{\"name\":\"g\",\"service\":\"back\","
	    "\"method\":\"GET\",\"path\":\"/back\",\"idempotent\":true}]}",
	    HOSTS, testbed_key_digest("k-choice"), services[1].slots);
	bool ok = testbed_start(&testbed, services, 2, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

/* Returns how many calls, one after the other, are answered well. */
static uint32_t
send_calls(const char *name)
{
	char *id = g_strconcat("X-Test-Id: ", name, NULL);
	const char *headers[] = { "Loom-Key: k-choice",
		"X-Test-Load: 1,0,4,100", id, NULL };
	struct testbed_reply reply;
	uint32_t i, ok = 0;

	for (i = 0; i < CALLS; i++) {
		testbed_call(
		    &testbed, ENTRY, "GET", "/back", headers, NULL, 0, &reply);
		ok += reply.status == 200;
		testbed_reply_clear(&reply);
	}
	g_free(id);
	return ok;
}

/* Number of hosts of the service whose work the status page knows. */
static uint32_t
known_hosts(void)
{
	struct json_object *object, *work, *hosts = NULL, *age;
	struct testbed_reply reply;
	uint32_t known = 0;
	size_t i;

	testbed_call(
	    &testbed, ENTRY, "GET", "/.loom/status", NULL, NULL, 0, &reply);
	object = json_tokener_parse(reply.body);
	if (json_object_object_get_ex(object, "work", &work))
		json_object_object_get_ex(work, "back", &hosts);
	for (i = 0; hosts != NULL && i < json_object_array_length(hosts); i++)
		known += json_object_object_get_ex(
		    json_object_array_get_idx(hosts, i), "age_ms", &age);
	json_object_put(object);
	testbed_reply_clear(&reply);
	return known;
}

/* Each worker thread learns for itself. */
static bool
is_known(void *arg)
{
	(void)arg;
	return send_calls("learn") > 0 && known_hosts() == HOSTS - FIRST;
}

/* Guards against reports that have no effect on the choice, and against calls
 * that follow the last good report of a host which is gone. */
static void
test_reported(void)
{
	uint32_t ok;

	if (!start(reporting))
		goto out;
	TEST_CHECK(
	    testbed_wait_condition(is_known, NULL), "the work is not known");
	TEST_CHECK(testbed_metric(&testbed, ENTRY, SERIES_CHOSEN) > 0,
	    "no host was chosen by work");
	ok = send_calls("both");
	TEST_CHECK(ok == CALLS, "%u of %u answered", ok, CALLS);
	testbed_signal(&testbed.hosts[FIRST].daemon, SIGKILL);
	ok = send_calls("one");
	TEST_CHECK(
	    ok == CALLS, "%u of %u answered after a host died", ok, CALLS);
out:
	testbed_stop(&testbed);
}

/* Guards against a fleet that chooses in a new way without being told to: the
 * upstreams report, but their daemons are not set to use it. */
static void
test_not_reported(void)
{
	uint32_t ok;

	if (!start(silent))
		goto out;
	ok = send_calls("plain") + send_calls("plain");
	TEST_CHECK(ok == 2 * CALLS, "%u of %u answered", ok, 2 * CALLS);
	TEST_CHECK(testbed_metric(&testbed, ENTRY, SERIES_CHOSEN) == 0,
	    "hosts were chosen by work");
	TEST_CHECK(known_hosts() == 0, "work is known");
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "hosts report", test_reported },
	{ "hosts do not report", test_not_reported },
};

TEST_MAIN("work choice", tests)
