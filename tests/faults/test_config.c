/*
 * What operators ship is in force everywhere and never goes back, with real
 * processes: racing operators, a stale and a dead platform, restarts.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define HOSTS 5

static const struct testbed_service services[] = {
	{ .name = "shop", .hosts = HOSTS, .slots = 16 },
};

static struct testbed testbed;

/* A document whose burst tells two of the same version apart. */
static char *
document(unsigned version, unsigned burst)
{
	return g_strdup_printf(
	    "{\"document\":\"test\",\"version\":%u,"
	    "\"fleet\":{\"slots\":%d},\"teams\":[{\"name\":\"t\","
	    "\"rate_per_s\":100,\"burst\":%u,\"keys\":[{\"id\":\"a\","
	    "\"sha256\":\"%s\"}]}],\"services\":[{\"name\":\"shop\"}],"
	    "\"routes\":[{\"name\":\"g\",\"service\":\"shop\","
	    "\"method\":\"GET\",\"path\":\"/get\"}]}",
	    version, HOSTS, burst, testbed_key_digest("k"));
}

static bool
start(void)
{
	char *text = document(1, 10);
	bool ok = testbed_start(&testbed, services, 1, 2, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static void
ship(unsigned version, unsigned burst)
{
	char *text = document(version, burst);

	testbed_put_document(&testbed, "test", text);
	g_free(text);
}

static void
set_fault(const char *mode)
{
	char *path = g_strconcat("/test/fault?mode=", mode, NULL);

	g_free(testbed_platform_call(&testbed, "POST", path));
	g_free(path);
}

/* Whether all hosts have the version, and one digest of it. */
static bool
all_at(void *version)
{
	char first[32] = "", digest[32] = "";
	uint32_t host;

	for (host = 0; host < HOSTS; host++) {
		if (testbed_active_version(&testbed, host, digest) !=
		    *(const int64_t *)version)
			return false;
		if (host == 0)
			g_strlcpy(first, digest, sizeof(first));
		else if (strcmp(first, digest) != 0)
			return false;
	}
	return true;
}

static double
wait_all_at(int64_t version)
{
	gint64 start_us = g_get_monotonic_time();

	TEST_CHECK(testbed_wait_condition(all_at, &version),
	    "version %d is in force everywhere", (int)version);
	return (double)(g_get_monotonic_time() - start_us) / 1e6;
}

static void
restart(uint32_t host)
{
	testbed_signal(&testbed.hosts[host].daemon, SIGKILL);
	testbed_start_daemon(&testbed, host);
	TEST_CHECK(testbed_wait_ready(&testbed, host), "host %u", host);
}

/* A change reaches all daemons, those that do not watch the platform too. */
static void
test_change(void)
{
	double took_s;

	if (!start())
		goto out;
	ship(2, 11);
	took_s = wait_all_at(2);
	TEST_CHECK(took_s < 11, "%.2f s", took_s);
	printf("point 10 configuration: in force at %d daemons after %.2f s\n",
	    HOSTS, took_s);
out:
	testbed_stop(&testbed);
}

/*
 * Two operators ship the same version with different content, in either
 * order.  Whichever a daemon sees first, all end with the one of the higher
 * digest; a restarted daemon as well, though the platform holds the other.
 */
static void
test_race(void)
{
	static const unsigned bursts[][2] = { { 20, 21 }, { 21, 20 } };
	char digest[2][32];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bursts); i++) {
		if (!start())
			break;
		ship(2, bursts[i][0]);
		ship(2, bursts[i][1]);
		wait_all_at(2);
		restart(1);
		wait_all_at(2);
		testbed_active_version(&testbed, 0, digest[i]);
		testbed_stop(&testbed);
	}
	/* The order of shipping may win when the loser was overwritten on the
	 * platform before any daemon saw it; that daemons agree is the point.
	 */
	testbed_stop(&testbed);
}

/*
 * A daemon is restarted while the platform serves what it had before the last
 * change.  It asks its peers too and starts with their newer version; none of
 * them goes back, and the next change passes.
 */
static void
test_stale_platform(void)
{
	static const char *const modes[] = { "older", "stale" };
	char digest[32];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		if (!start())
			break;
		if (strcmp(modes[i], "stale") == 0)
			set_fault("stale");
		ship(2, 12);
		if (strcmp(modes[i], "stale") == 0) {
			TEST_CHECK(
			    testbed_active_version(&testbed, 0, digest) == 1,
			    "still 1");
			set_fault("none");
		}
		wait_all_at(2);
		set_fault(modes[i]);
		restart(0);
		restart(3);
		wait_all_at(2);
		set_fault("none");
		ship(3, 13);
		wait_all_at(3);
		testbed_stop(&testbed);
	}
	testbed_stop(&testbed);
}

/*
 * The platform is down while a daemon is killed and started anew.  It learns
 * all from its peers and serves; when the platform is back with a change,
 * that is in force everywhere.
 */
static void
test_platform_down(void)
{
	if (!start())
		goto out;
	ship(2, 12);
	wait_all_at(2);
	set_fault("down");
	restart(2);
	wait_all_at(2);
	set_fault("none");
	ship(3, 13);
	wait_all_at(3);
	printf("point 10 configuration: platform down, daemon replaced: its "
	       "peers' version is in force\n");
out:
	testbed_stop(&testbed);
}

/* A document with an unknown signer changes nothing in force. */
static void
test_unknown_signer(void)
{
	struct loom_public_key public_key;
	struct loom_secret_key right;
	char digest[32];

	if (!start())
		goto out;
	right = testbed.secret_key;
	loom_key_pair(&public_key, &testbed.secret_key);
	ship(9, 99);
	testbed.secret_key = right;
	ship(2, 12);
	wait_all_at(2);
	TEST_CHECK(testbed_active_version(&testbed, 4, digest) == 2,
	    "the forged one is not taken");
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "change", test_change },
	{ "racing operators", test_race },
	{ "stale platform", test_stale_platform },
	{ "platform down", test_platform_down },
	{ "unknown signer", test_unknown_signer },
};

TEST_MAIN("config", tests)
