/*
 * Important requests are shed last, with real processes: callers of lesser
 * work fill an upstream far beyond what it can do and send again at once.
 */

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define SLOTS 8
#define SERVICE_MS 10
#define LESSER_CALLERS \
	60 /* each has one call out: over seven times the slots */
#define IMPORTANT_CALLERS_MAX 32
#define IMPORTANT_CALLS 200
#define TEAMS_MAX 2
#define IMPORTANT_PART_MIN 0.99
#define LESSER_FIRST 500 /* calls of lesser work before the important */

/* One row: who sends what, and how many hosts share the slots. */
struct play {
	const char *name;
	uint32_t work_hosts;
	uint32_t important_callers; /* of all teams */
	const char *lesser_key;
	const char *important_keys[TEAMS_MAX]; /* callers take them in turn */
};

static struct testbed testbed;

/* Hosts that callers ask, in turn. */
static uint32_t entries[] = { 0, 1 };

static struct {
	atomic_bool stop;
	atomic_uint lesser_done;
	atomic_uint lesser_whole;
	atomic_uint important_whole;
	atomic_uint important_done;
	atomic_uint number; /* important callers take theirs */
	gint64 team_done_us[TEAMS_MAX]; /* when its last call had ended */
} seen;

static const struct play *playing;

static bool
start(const struct play *play)
{
	static struct testbed_service services[] = {
		{ .name = "front",
		    .hosts = 2,
		    .slots = 64,
		    .service_ms = 0,
		    .calls = { "GET /work" } },
		{ .name = "work", .service_ms = SERVICE_MS },
	};
	char digest[2][65];
	char *text;
	bool ok;

	services[1].hosts = play->work_hosts;
	services[1].slots = SLOTS / play->work_hosts;
	g_strlcpy(digest[0], testbed_key_digest("k-one"), 65);
	g_strlcpy(digest[1], testbed_key_digest("k-two"), 65);
	text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,\"fleet\":{\"slots\":%u},"
	    "\"teams\":[{\"name\":\"one\",\"rate_per_s\":20000,"
	    "\"burst\":20000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]},"
	    "{\"name\":\"two\",\"rate_per_s\":20000,\"burst\":20000,"
	    "\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"front\",\"slots\":64},"
	    "{\"name\":\"work\",\"slots\":%d,\"queue\":32}],\"routes\":["
	    "{\"name\":\"appeal\",\"service\":\"front\",\"method\":\"GET\","
	    "\"path\":\"/appeal\",\"importance\":\"critical\","
	    "\"calls\":[\"w\"],\"deadline_ms\":3000},"
	    "{\"name\":\"look\",\"service\":\"front\",\"method\":\"GET\","
	    "\"path\":\"/look\",\"importance\":\"low\",\"calls\":[\"w\"],"
	    "\"deadline_ms\":1000},"
	    "{\"name\":\"w\",\"service\":\"work\",\"method\":\"GET\","
	    "\"path\":\"/work\"}]}",
	    2 + play->work_hosts, digest[0], digest[1],
	    SLOTS / play->work_hosts);
	ok = testbed_start(&testbed, services, 2, 1, text);
	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static bool
call(struct testbed_caller *caller, const char *path, const char *key_header,
    uint32_t host)
{
	const char *headers[] = { key_header, NULL };
	const struct testbed_request request = {
		.host = host,
		.method = "GET",
		.path = path,
		.headers = headers,
	};
	struct testbed_reply reply;
	bool whole;

	testbed_caller_call(caller, &request, &reply);
	whole = reply.curl_code == 0 && reply.status == 200;
	testbed_reply_clear(&reply);
	return whole;
}

static void *
send_lesser(void *arg)
{
	struct testbed_caller caller;
	bool whole;

	testbed_caller_init(&caller, &testbed);
	while (!atomic_load(&seen.stop)) {
		whole = call(&caller, "/look", playing->lesser_key,
		    *(const uint32_t *)arg);
		atomic_fetch_add(&seen.lesser_whole, whole);
		atomic_fetch_add(&seen.lesser_done, 1);
	}
	testbed_caller_clear(&caller);
	return NULL;
}

static void *
send_important(void *arg)
{
	uint32_t team = atomic_fetch_add(&seen.number, 1) % TEAMS_MAX;
	struct testbed_caller caller;
	uint32_t i;
	bool whole;

	testbed_caller_init(&caller, &testbed);
	for (i = 0; i < IMPORTANT_CALLS; i++) {
		whole = call(&caller, "/appeal", playing->important_keys[team],
		    *(const uint32_t *)arg);
		atomic_fetch_add(&seen.important_whole, whole);
		atomic_fetch_add(&seen.important_done, 1);
	}
	seen.team_done_us[team] = g_get_monotonic_time();
	testbed_caller_clear(&caller);
	return NULL;
}

static bool
lesser_fills(void *arg)
{
	(void)arg;
	return atomic_load(&seen.lesser_done) >= LESSER_FIRST;
}

static void
send_all(const struct play *play)
{
	GThread *lesser[LESSER_CALLERS], *important[IMPORTANT_CALLERS_MAX];
	uint32_t i;

	memset(&seen, 0, sizeof(seen));
	playing = play;
	for (i = 0; i < LESSER_CALLERS; i++)
		lesser[i] =
		    g_thread_new("lesser", send_lesser, &entries[i % 2]);
	TEST_CHECK(testbed_wait_condition(lesser_fills, NULL), "load");
	for (i = 0; i < play->important_callers; i++)
		important[i] =
		    g_thread_new("important", send_important, &entries[i % 2]);
	for (i = 0; i < play->important_callers; i++)
		g_thread_join(important[i]);
	atomic_store(&seen.stop, true);
	for (i = 0; i < LESSER_CALLERS; i++)
		g_thread_join(lesser[i]);
}

/*
 * Lesser work arrives first and keeps the deep service full; then important
 * requests come, of another team and of the very team that sends the lesser
 * work, at one host and at several, and of two teams that each want more than
 * half of what there is.  Nearly all important ones are answered, while most
 * lesser calls are turned away.
 */
static void
test_shed_last(void)
{
	static const struct play plays[] = {
		{ "lesser work of another team", 1, 2, "Loom-Key: k-two",
		    { "Loom-Key: k-one", "Loom-Key: k-one" } },
		{ "lesser work of the same team", 1, 2, "Loom-Key: k-one",
		    { "Loom-Key: k-one", "Loom-Key: k-one" } },
		{ "at four hosts, another team", 4, 2, "Loom-Key: k-two",
		    { "Loom-Key: k-one", "Loom-Key: k-one" } },
		{ "at four hosts, the same team", 4, 2, "Loom-Key: k-one",
		    { "Loom-Key: k-one", "Loom-Key: k-one" } },
		{ "two important teams over their share", 1, 16,
		    "Loom-Key: k-two",
		    { "Loom-Key: k-one", "Loom-Key: k-two" } },
		{ "two of them at four hosts", 4, 16, "Loom-Key: k-two",
		    { "Loom-Key: k-one", "Loom-Key: k-two" } },
	};
	const struct play *play;
	uint32_t important;
	double part;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(plays); i++) {
		play = &plays[i];
		if (!start(play))
			break;
		send_all(play);
		important = play->important_callers * IMPORTANT_CALLS;
		part = (double)atomic_load(&seen.important_whole) / important;
		TEST_CHECK(part >= IMPORTANT_PART_MIN, "%s: %u of %u important",
		    play->name, atomic_load(&seen.important_whole), important);
		printf("point 2 importance: %s: %.1f%% of %u important served, "
		       "%.1f%% of %u lesser, the teams done %.2f s apart\n",
		    play->name, 100 * part, important,
		    100.0 * atomic_load(&seen.lesser_whole) /
			MAX(atomic_load(&seen.lesser_done), 1U),
		    atomic_load(&seen.lesser_done),
		    (double)llabs(seen.team_done_us[0] - seen.team_done_us[1]) /
			1e6);
		testbed_stop(&testbed);
	}
	if (i < G_N_ELEMENTS(plays))
		testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "shed last", test_shed_last },
};

TEST_MAIN("importance", tests)
