/*
 * A team's rate and burst over all daemons together, with real processes.
 * The exact bound over every window is proved on a fake clock
 * (tests/control/test_rights*.c); here the whole daemon is in the loop.
 */

#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define HOSTS 6
#define RATE 60
#define BURST 20
#define CALLERS 6
#define STEADY_CALLS 150
#define STEADY_PART 0.6 /* of the rate */
#define FLOOD_CALLS 1500
#define ENTRY 3 /* the daemon that callers ask while others are killed */
#define KILL_PART 0.33 /* of the rate, meanwhile */
#define SERVED_IN_A_ROW 60 /* three seconds of it: the team is served again */

#define NOT_RUN_CALLS 150 /* several times the burst */

static const char key_header[] = "Loom-Key: k-rate";

static const struct testbed_service services[] = {
	{ .name = "shop", .hosts = HOSTS, .slots = 64, .service_ms = 0 },
};

static struct testbed testbed;

static struct {
	atomic_uint whole;
	atomic_uint over_rate; /* refused for the rate */
	atomic_uint other;
	atomic_uint left; /* calls that are still to be made */
	atomic_bool meanwhile; /* go on for as long as that takes */
	uint32_t only_host; /* HOSTS for all in turn */
} seen;

static bool
start(void)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":%d,\"burst\":%d,"
	    "\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"shop\",\"slots\":64}],\"routes\":["
	    "{\"name\":\"g\",\"service\":\"shop\",\"method\":\"GET\","
	    "\"path\":\"/get\"}]}",
	    HOSTS, RATE, BURST, testbed_key_digest("k-rate"));
	bool ok = testbed_start(&testbed, services, 1, 3, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static void
call_once(struct testbed_caller *caller, uint32_t host)
{
	const char *headers[] = { key_header, NULL };
	const struct testbed_request request = {
		.host = host,
		.method = "GET",
		.path = "/get",
		.headers = headers,
	};
	struct testbed_reply reply;

	testbed_caller_call(caller, &request, &reply);
	if (reply.status == 200)
		atomic_fetch_add(&seen.whole, 1);
	else if (reply.code == LOOM_TEAM_RATE)
		atomic_fetch_add(&seen.over_rate, 1);
	else
		atomic_fetch_add(&seen.other, 1);
	testbed_reply_clear(&reply);
}

static void *
flood(void *arg)
{
	struct testbed_caller caller;
	unsigned left;

	(void)arg;
	testbed_caller_init(&caller, &testbed);
	while ((left = atomic_fetch_sub(&seen.left, 1)) - 1 < FLOOD_CALLS ||
	    atomic_load(&seen.meanwhile))
		call_once(&caller,
		    seen.only_host < HOSTS ? seen.only_host : left % HOSTS);
	testbed_caller_clear(&caller);
	return NULL;
}

/* Callers send as fast as they can until the calls are used up. */
static double
run_flood(uint32_t only_host, void (*meanwhile)(void))
{
	GThread *threads[CALLERS];
	gint64 start_us;
	uint32_t i;

	memset(&seen, 0, sizeof(seen));
	seen.only_host = only_host;
	atomic_store(&seen.left, FLOOD_CALLS);
	atomic_store(&seen.meanwhile, meanwhile != NULL);
	start_us = g_get_monotonic_time();
	for (i = 0; i < CALLERS; i++)
		threads[i] = g_thread_new("flood", flood, NULL);
	if (meanwhile != NULL)
		meanwhile();
	atomic_store(&seen.meanwhile, false);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	return (double)(g_get_monotonic_time() - start_us) / 1e6;
}

static void
kill_and_pause(void)
{
	kill(testbed.hosts[1].daemon, SIGSTOP);
	testbed_signal(&testbed.hosts[2].daemon, SIGKILL);
	testbed_start_daemon(&testbed, 2);
	TEST_CHECK(testbed_wait_ready(&testbed, 2), "host 2 is back");
	kill(testbed.hosts[1].daemon, SIGCONT);
}

/*
 * A team sends many times its rate: to all daemons, to one, and while one is
 * killed and another is stopped for longer than a loan.  What is let in, over
 * the whole time, stays within rate and burst; the rest is refused as over
 * the rate, by the team's own number.
 */
static void
test_flood(void)
{
	static const struct {
		const char *name;
		uint32_t only_host;
		void (*meanwhile)(void);
	} cases[] = {
		{ "all daemons", HOSTS, NULL },
		{ "one daemon", 3, NULL },
		{ "one killed, one stopped", HOSTS, kill_and_pause },
	};
	double took_s, bound;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		took_s = run_flood(cases[i].only_host, cases[i].meanwhile);
		bound = RATE * took_s + BURST;
		TEST_CHECK(atomic_load(&seen.whole) <= bound,
		    "%s: %u let in, %.1f allowed", cases[i].name,
		    atomic_load(&seen.whole), bound);
		TEST_CHECK(atomic_load(&seen.over_rate) > 0, "%s: refused",
		    cases[i].name);
		printf("point 4 rate: flood to %s: %u let in of %.1f allowed "
		       "in %.2f s, %u refused for the rate, %u else\n",
		    cases[i].name, atomic_load(&seen.whole), bound, took_s,
		    atomic_load(&seen.over_rate), atomic_load(&seen.other));
	}
out:
	testbed_stop(&testbed);
}

/*
 * A team stays within its rate, with all its calls at one daemon, and then
 * moving from daemon to daemon.  It is refused nothing: what other daemons do
 * not use is lent to where its callers are.
 */
static void
test_within_rate(void)
{
	static const struct {
		const char *name;
		uint32_t only_host;
	} cases[] = {
		{ "one daemon", 2 },
		{ "daemons in turn", HOSTS },
	};
	const gulong gap_us = (gulong)(1e6 / (RATE * STEADY_PART));
	struct testbed_caller caller;
	uint32_t i;
	size_t c;

	if (!start())
		goto out;
	testbed_caller_init(&caller, &testbed);
	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		memset(&seen, 0, sizeof(seen));
		for (i = 0; i < STEADY_CALLS; i++) {
			call_once(&caller,
			    cases[c].only_host < HOSTS ? cases[c].only_host
						       : i % HOSTS);
			g_usleep(gap_us); /* the load itself, no wait */
		}
		TEST_CHECK(atomic_load(&seen.whole) == STEADY_CALLS,
		    "%s: %u whole, %u refused for the rate, %u else",
		    cases[c].name, atomic_load(&seen.whole),
		    atomic_load(&seen.over_rate), atomic_load(&seen.other));
		printf("point 4 rate: %.0f%% of the rate at %s: %u of %d "
		       "whole, %u refused wrongly\n",
		    STEADY_PART * 100, cases[c].name, atomic_load(&seen.whole),
		    STEADY_CALLS, atomic_load(&seen.over_rate));
	}
	testbed_caller_clear(&caller);
out:
	testbed_stop(&testbed);
}

static struct {
	struct testbed_caller caller;
	uint32_t in_a_row; /* served since the last refusal */
	uint32_t refused;
} after_kill;

/* One call at the entry, and the gap to the next: the load itself. */
static bool
served_in_a_row(void *arg)
{
	const gulong gap_us = (gulong)(1e6 / (RATE * KILL_PART));
	uint32_t whole = atomic_load(&seen.whole);

	(void)arg;
	call_once(&after_kill.caller, ENTRY);
	if (atomic_load(&seen.whole) > whole) {
		after_kill.in_a_row++;
	} else {
		after_kill.in_a_row = 0;
		after_kill.refused++;
	}
	g_usleep(gap_us);
	return after_kill.in_a_row >= SERVED_IN_A_ROW;
}

/*
 * A team sends a third of its rate to one daemon while each of the others is
 * killed and started anew in turn, the pool of rights among them.  What was
 * lent to the dead one is missing until its loans end; then the team is
 * served again in full.
 */
static void
test_each_killed(void)
{
	uint32_t host;

	if (!start())
		goto out;
	memset(&seen, 0, sizeof(seen));
	memset(&after_kill, 0, sizeof(after_kill));
	testbed_caller_init(&after_kill.caller, &testbed);
	for (host = 0; host < HOSTS; host++) {
		if (host == ENTRY)
			continue;
		testbed_signal(&testbed.hosts[host].daemon, SIGKILL);
		testbed_start_daemon(&testbed, host);
		after_kill.in_a_row = 0;
		TEST_CHECK(testbed_wait_condition(served_in_a_row, NULL),
		    "host %u killed: %u whole, %u for the rate, %u else", host,
		    atomic_load(&seen.whole), atomic_load(&seen.over_rate),
		    atomic_load(&seen.other));
	}
	printf("point 4 rate: %d daemons killed in turn at %.0f%% of the "
	       "rate: %u served, %u refused for the rate, %u else\n",
	    HOSTS - 1, KILL_PART * 100, atomic_load(&seen.whole),
	    atomic_load(&seen.over_rate), atomic_load(&seen.other));
	testbed_caller_clear(&after_kill.caller);
out:
	testbed_stop(&testbed);
}

/*
 * Guards against callers refused for the rate though none of their requests
 * ran, and against tokens of requests that may have run coming back.  Requests
 * several times the burst arrive at one daemon, each with no time left or with
 * too little for its run.  The former are all refused as not run, and none for
 * the rate; of the latter no more are let in than rate and burst allow.
 */
static void
test_not_run(void)
{
	static const struct {
		const char *name;
		const char *deadline;
		bool runs;
	} cases[] = {
		{ "no time left", "Loom-Deadline-Ms: 0", false },
		{ "may have run", "Loom-Deadline-Ms: 5", true },
	};
	struct testbed_caller caller;
	const char *headers[] = { key_header, NULL, "X-Test-Service-Ms: 400",
		NULL };
	const struct testbed_request request = {
		.host = ENTRY,
		.method = "GET",
		.path = "/get",
		.headers = headers,
	};
	struct testbed_reply reply;
	unsigned i, over_rate, not_run, unknown;
	gint64 start_us;
	double bound;
	size_t c;

	if (!start())
		goto out;
	testbed_caller_init(&caller, &testbed);
	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		headers[1] = cases[c].deadline;
		over_rate = not_run = unknown = 0;
		start_us = g_get_monotonic_time();
		for (i = 0; i < NOT_RUN_CALLS; i++) {
			testbed_caller_call(&caller, &request, &reply);
			if (reply.code == LOOM_TEAM_RATE)
				over_rate++;
			else if (strcmp(reply.outcome, "not-run") == 0)
				not_run++;
			else
				unknown++;
			testbed_reply_clear(&reply);
		}
		bound = BURST +
		    RATE * (double)(g_get_monotonic_time() - start_us) / 1e6;
		printf("point 4 rate: %s: of %d, %u refused for the rate, %u "
		       "not run else, %u unknown of %.1f allowed\n",
		    cases[c].name, NOT_RUN_CALLS, over_rate, not_run, unknown,
		    bound);
		TEST_CHECK(unknown <= bound, "%s: %u, %.1f allowed",
		    cases[c].name, unknown, bound);
		if (!cases[c].runs)
			TEST_CHECK(not_run == NOT_RUN_CALLS,
			    "%s: %u not run, %u for the rate", cases[c].name,
			    not_run, over_rate);
	}
	testbed_caller_clear(&caller);
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "each killed in turn", test_each_killed },
	{ "flood", test_flood },
	{ "within the rate", test_within_rate },
	{ "not run", test_not_run },
};

TEST_MAIN("rate", tests)
