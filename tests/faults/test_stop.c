/*
 * A daemon that is told to stop while calls are in progress, with real
 * processes.
 */

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/test.h"
#include "support/testbed.h"

#define FRONT_HOSTS 1
#define BACK_HOSTS 2
#define HOSTS (FRONT_HOSTS + BACK_HOSTS)
#define CALLS 8
#define SIGNALS_MAX 4

static const char key[] = "k-stop";
static const char key_header[] = "Loom-Key: k-stop";

static struct testbed_service services[] = {
	{ .name = "front", .hosts = FRONT_HOSTS, .slots = 16 },
	{ .name = "back", .hosts = BACK_HOSTS },
};

static struct testbed testbed;

/* Each daemon's settings, as JSON members, and the slots of "back". */
struct layout {
	const char *front; /* or NULL */
	const char *back; /* or NULL */
	uint32_t back_slots;
	bool relayed;
};

static bool
start(const struct layout *layout)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":10000,"
	    "\"burst\":1000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"front\",\"slots\":16},"
	    "{\"name\":\"back\",\"slots\":%u,\"queue\":64}],\"routes\":["
	    "{\"name\":\"f\",\"service\":\"front\",\"method\":\"GET\","
	    "\"path\":\"/front\"},"
	    "{\"name\":\"b\",\"service\":\"back\",\"method\":\"GET\","
	    "\"path\":\"/back\"},"
	    "{\"name\":\"u\",\"service\":\"back\",\"method\":\"POST\","
	    "\"idempotent\":true,\"path\":\"/back\"}]}",
	    HOSTS, testbed_key_digest(key), layout->back_slots);
	bool ok;

	services[0].settings = layout->front;
	services[1].settings = layout->back;
	services[1].slots = layout->back_slots;
	if (layout->relayed)
		ok = testbed_start_relayed(&testbed, services, 2, 1, text);
	else
		ok = testbed_start(&testbed, services, 2, 1, text);
	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

struct caller {
	const char *path; /* borrowed */
	const char *header; /* borrowed; or NULL */
	GThread *thread;
	struct testbed_reply reply;
};

static void *
call(void *arg)
{
	struct caller *caller = arg;
	const char *headers[] = { key_header, caller->header, NULL };

	testbed_call(
	    &testbed, 0, "GET", caller->path, headers, NULL, 0, &caller->reply);
	return NULL;
}

static void
start_callers(
    struct caller *callers, uint32_t n, const char *path, const char *header)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		callers[i] = (struct caller){ .path = path, .header = header };
		callers[i].thread = g_thread_new("caller", call, &callers[i]);
	}
}

static void
join_callers(struct caller *callers, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		g_thread_join(callers[i].thread);
}

static void
clear_callers(struct caller *callers, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		testbed_reply_clear(&callers[i].reply);
}

static double
calls_sent_to_back(void)
{
	double n = 0;
	uint32_t i;

	for (i = FRONT_HOSTS; i < HOSTS; i++)
		n += testbed_metric(&testbed, i, "loom_executed_total");
	return n;
}

static bool
all_calls_run(void *arg)
{
	(void)arg;
	return calls_sent_to_back() >= CALLS;
}

static bool
is_not_ready(void *arg)
{
	struct testbed_reply reply;
	bool not_ready;

	(void)arg;
	testbed_call(
	    &testbed, 0, "GET", "/.loom/health", NULL, NULL, 0, &reply);
	not_ready = reply.curl_code == 0 && reply.status == 503;
	testbed_reply_clear(&reply);
	return not_ready;
}

static bool
is_draining(void *arg)
{
	struct testbed_reply reply;
	bool draining;

	(void)arg;
	testbed_call(
	    &testbed, 0, "GET", "/.loom/status", NULL, NULL, 0, &reply);
	draining = reply.body != NULL &&
	    (strstr(reply.body, "\"draining\":true") != NULL ||
		strstr(reply.body, "\"draining\": true") != NULL);
	testbed_reply_clear(&reply);
	return draining;
}

/* When the signals after the first one are sent. */
enum series_moment {
	MOMENT_DELAY, /* while everything is still served */
	MOMENT_DRAIN, /* while new calls are refused */
	MOMENT_UPSTREAM_ENDED, /* after the own upstream has ended */
};

struct series {
	const char *name;
	enum series_moment moment;
	int signals[SIGNALS_MAX];
};

static void
wait_for_moment(enum series_moment moment, const char *name)
{
	TEST_CHECK(
	    testbed_wait_condition(is_not_ready, NULL), "%s: not ready", name);
	if (moment == MOMENT_DELAY)
		return;
	TEST_CHECK(
	    testbed_wait_condition(is_draining, NULL), "%s: draining", name);
	if (moment == MOMENT_UPSTREAM_ENDED)
		testbed_signal(&testbed.hosts[0].upstream, SIGKILL);
}

static void
check_series(const struct series *series)
{
	static const struct layout layout = {
		.front = "\"drain_delay_ms\": 500",
		.back_slots = 64,
	};
	struct caller callers[CALLS];
	uint32_t i;
	int status;
	pid_t pid;

	if (!start(&layout))
		goto out;
	start_callers(callers, CALLS, "/back", "X-Test-Service-Ms: 2500");
	TEST_CHECK(testbed_wait_condition(all_calls_run, NULL),
	    "%s: the calls run", series->name);
	pid = testbed.hosts[0].daemon;
	kill(pid, series->signals[0]);
	wait_for_moment(series->moment, series->name);
	for (i = 1; i < SIGNALS_MAX && series->signals[i] != 0; i++)
		kill(pid, series->signals[i]);
	join_callers(callers, CALLS);
	for (i = 0; i < CALLS; i++)
		TEST_CHECK(callers[i].reply.curl_code == 0 &&
			callers[i].reply.status == 200,
		    "%s: call %u: curl %d, status %ld", series->name, i,
		    callers[i].reply.curl_code, callers[i].reply.status);
	clear_callers(callers, CALLS);
	TEST_CHECK(waitpid(pid, &status, 0) == pid && WIFEXITED(status) &&
		WEXITSTATUS(status) == 0,
	    "%s: exits by itself", series->name);
	testbed.hosts[0].daemon = 0;
out:
	testbed_stop(&testbed);
}

/*
 * Guards against a daemon that resets the calls in progress when it gets a
 * further signal while it drains.
 */
static void
test_signal_series(void)
{
	static const struct series rows[] = {
		{ "twice in the delay", MOMENT_DELAY, { SIGTERM, SIGTERM } },
		{ "twice in the drain", MOMENT_DRAIN, { SIGTERM, SIGTERM } },
		{ "upstream ended", MOMENT_UPSTREAM_ENDED,
		    { SIGTERM, SIGTERM } },
		{ "SIGINT, then SIGTERM", MOMENT_DRAIN, { SIGINT, SIGTERM } },
		{ "many", MOMENT_DRAIN, { SIGTERM, SIGHUP, SIGINT, SIGTERM } },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		check_series(&rows[i]);
}

/* What keeps the calls from being answered while the daemon stops. */
struct obstacle {
	const char *name;
	struct layout layout;
	const char *service_ms; /* header of the calls */
	void (*begin)(void); /* before the calls are sent; or NULL */
	uint32_t first_stopped, nstopped; /* hosts whose daemons are stopped */
};

/* Connections between the hosts stay open and carry nothing any more. */
static void
silence_connections(void)
{
	bool front[HOSTS + 1] = { false }, back[HOSTS + 1] = { false };
	const struct testbed_partition silence = {
		.from = front,
		.to = back,
		.mode = "hold",
	};
	struct caller callers[CALLS];
	uint32_t i;

	start_callers(callers, CALLS, "/back", "X-Test-Service-Ms: 100");
	join_callers(callers, CALLS);
	clear_callers(callers, CALLS);
	for (i = 0; i < HOSTS; i++)
		*(i < FRONT_HOSTS ? &front[i] : &back[i]) = true;
	testbed_partition(&testbed, &silence);
}

static void
pause_executors(void)
{
	uint32_t i;

	for (i = FRONT_HOSTS; i < HOSTS; i++)
		testbed_signal(&testbed.hosts[i].daemon, SIGSTOP);
}

static bool
all_calls_in_progress(void *arg)
{
	(void)arg;
	return testbed_metric(&testbed, 0, "loom_calls_inflight") >= CALLS;
}

static bool
has_run(const char *id)
{
	return testbed_ledger_count(&testbed, "back", "start", id) > 0;
}

/* A call that was told not-run has no line in a ledger. */
static void
check_answers(
    const struct obstacle *obstacle, struct caller *callers, uint32_t n)
{
	const struct testbed_reply *reply;
	char id[16];
	uint32_t i;

	for (i = 0; i < n; i++) {
		reply = &callers[i].reply;
		g_snprintf(id, sizeof(id), "c%u", i);
		TEST_CHECK(reply->curl_code == 0 &&
			(reply->status == 502 || reply->status == 503) &&
			reply->code != 0,
		    "%s: call %u: curl %d, status %ld, code %d", obstacle->name,
		    i, reply->curl_code, reply->status, reply->code);
		TEST_CHECK((strcmp(reply->outcome, "not-run") == 0) ==
			(reply->status == 503),
		    "%s: call %u: status %ld, %s", obstacle->name, i,
		    reply->status, reply->outcome);
		TEST_CHECK(reply->status == 502 || !has_run(id),
		    "%s: call %u ran", obstacle->name, i);
	}
}

static void
check_obstacle(const struct obstacle *obstacle)
{
	struct caller callers[CALLS];
	char headers[CALLS][64];
	uint32_t i, host;

	if (!start(&obstacle->layout))
		goto out;
	if (obstacle->begin != NULL)
		obstacle->begin();
	for (i = 0; i < CALLS; i++) {
		g_snprintf(headers[i], sizeof(headers[i]),
		    "%s\r\nX-Test-Id: c%u", obstacle->service_ms, i);
		start_callers(&callers[i], 1, "/back", headers[i]);
	}
	TEST_CHECK(testbed_wait_condition(all_calls_in_progress, NULL),
	    "%s: the calls are in progress", obstacle->name);
	for (i = 0; i < obstacle->nstopped; i++)
		kill(
		    testbed.hosts[obstacle->first_stopped + i].daemon, SIGTERM);
	join_callers(callers, CALLS);
	check_answers(obstacle, callers, CALLS);
	clear_callers(callers, CALLS);
	for (i = 0; i < obstacle->nstopped; i++) {
		host = obstacle->first_stopped + i;
		TEST_CHECK(testbed_wait_condition(
			       testbed_has_exited, &testbed.hosts[host].daemon),
		    "%s: daemon %u exits by itself", obstacle->name, host);
	}
out:
	testbed_stop(&testbed);
}

/*
 * Guards against a daemon that exits at the end of its time to stop without an
 * answer to the calls that it still holds.
 */
static void
test_end_of_drain(void)
{
	static const char stop_soon[] =
	    "\"drain_delay_ms\": 300, \"stop_within_s\": 2.0";
	static const struct obstacle rows[] = {
		{ "silent connections",
		    { .front = stop_soon, .back_slots = 64, .relayed = true },
		    "X-Test-Service-Ms: 100", silence_connections, 0,
		    FRONT_HOSTS },
		{ "paused executors", { .front = stop_soon, .back_slots = 64 },
		    "X-Test-Service-Ms: 100", pause_executors, 0, FRONT_HOSTS },
		{ "executors stop", { .back = stop_soon, .back_slots = 1 },
		    "X-Test-Service-Ms: 4000", NULL, FRONT_HOSTS, BACK_HOSTS },
		{ "all stop",
		    { .front = stop_soon, .back = stop_soon, .back_slots = 1 },
		    "X-Test-Service-Ms: 4000", NULL, 0, HOSTS },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		check_obstacle(&rows[i]);
}

#define STEPS 24
#define STEP_US (100 * 1000)
#define LATE_BODIES 4

static bool
has_passed(void *until_us)
{
	return g_get_monotonic_time() >= *(const gint64 *)until_us;
}

static const struct layout grace_layout = {
	.front = "\"drain_delay_ms\": 300, \"stop_within_s\": 3.0",
	.back_slots = 64,
};

/*
 * Guards against calls that a stopped daemon takes late in its grace, passes on
 * and breaks off at the end of it.
 */
static void
test_steps_in_grace(void)
{
	struct caller callers[STEPS];
	const struct testbed_reply *reply;
	uint32_t i, whole = 0, refused = 0, not_connected = 0;
	gint64 next_us;

	if (!start(&grace_layout))
		goto out;
	kill(testbed.hosts[0].daemon, SIGTERM);
	next_us = g_get_monotonic_time();
	for (i = 0; i < STEPS; i++) {
		start_callers(
		    &callers[i], 1, "/back", "X-Test-Service-Ms: 1500");
		next_us += STEP_US;
		testbed_wait_condition(has_passed, &next_us);
	}
	join_callers(callers, STEPS);
	for (i = 0; i < STEPS; i++) {
		reply = &callers[i].reply;
		whole += reply->curl_code == 0 && reply->status == 200;
		refused += reply->curl_code == 0 && reply->status == 503 &&
		    strcmp(reply->outcome, "not-run") == 0;
		not_connected += reply->curl_code == CURLE_COULDNT_CONNECT;
	}
	TEST_CHECK(whole > 0 && whole + refused + not_connected == STEPS,
	    "%u whole, %u refused, %u not connected, of %d", whole, refused,
	    not_connected, STEPS);
	TEST_CHECK(
	    testbed_ledger_count(&testbed, "back", "start", NULL) == whole,
	    "%u calls were started, %u answered",
	    testbed_ledger_count(&testbed, "back", "start", NULL), whole);
	clear_callers(callers, STEPS);
	TEST_CHECK(testbed_wait_condition(
		       testbed_has_exited, &testbed.hosts[0].daemon),
	    "exits by itself");
out:
	testbed_stop(&testbed);
}

/*
 * Guards against a call whose body arrives late in the grace: it would be
 * passed on and broken off at the end of the grace.
 */
static void
test_late_bodies(void)
{
	static const char head[] =
	    "POST /back HTTP/1.1\r\nHost: h\r\nLoom-Key: k-stop\r\n"
	    "X-Test-Service-Ms: 3000\r\nContent-Length: 10\r\n\r\nhello";
	int fds[LATE_BODIES];
	gint64 late_us;
	char *answer;
	uint32_t i;
	bool closed;

	if (!start(&grace_layout))
		goto out;
	for (i = 0; i < LATE_BODIES; i++) {
		fds[i] = testbed_connect(&testbed, 0);
		TEST_CHECK(send(fds[i], head, sizeof(head) - 1, MSG_NOSIGNAL) ==
			sizeof(head) - 1,
		    "the head is sent");
	}
	kill(testbed.hosts[0].daemon, SIGTERM);
	late_us = g_get_monotonic_time() + 20 * STEP_US;
	testbed_wait_condition(has_passed, &late_us);
	for (i = 0; i < LATE_BODIES; i++)
		send(fds[i], "hello", 5, MSG_NOSIGNAL);
	for (i = 0; i < LATE_BODIES; i++) {
		answer = testbed_read_to_end(fds[i], &closed);
		TEST_CHECK(g_str_has_prefix(answer, "HTTP/1.1 503 ") &&
			strstr(answer, "Loom-Outcome: not-run") != NULL,
		    "closed %d: %.200s", closed, answer);
		g_free(answer);
		close(fds[i]);
	}
	TEST_CHECK(testbed_ledger_count(&testbed, "back", "start", NULL) == 0,
	    "%u were started",
	    testbed_ledger_count(&testbed, "back", "start", NULL));
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "steps in the grace", test_steps_in_grace },
	{ "late bodies", test_late_bodies },
	{ "end of the drain", test_end_of_drain },
	{ "signals in series", test_signal_series },
};

TEST_MAIN("stop", tests)
