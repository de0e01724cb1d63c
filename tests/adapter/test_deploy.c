/*
 * Checks the settings in deploy/ against the time limits of the users'
 * platform.
 */

#include <string.h>

#include "loom/age.h"
#include "support/test.h"

#define SETTINGS "deploy/loomd.jsonc"

/*
 * The platform's limits apply to a host again 3 s after its connections broke
 * or the store became available. Before a change is in force, one tick and one
 * minimum interval between two applications of the manifest pass as well.
 */
#define BOUNDS_APPLY_AGAIN_MS 3000
#define TICK_MS 100
#define APPLY_INTERVAL_MS 250
/* Longest first delay of the reader after a failure. */
#define BACKOFF_MS 200

/*
 * A watch may be lost with its connection or be sent while the store is
 * unavailable. Guards against time-outs with which a lost watch hides changes
 * for longer than the platform allows, for each limit that a deployment may set
 * for a change.
 */
static void
test_lost_watch(void)
{
	static const uint32_t change_within_ms[] = { 1500, 2000, 2500, 3000,
		4000, 5000 };
	struct loom_age_timing plan;
	uint64_t hidden_ms;
	char *text;
	size_t i;

	CU_ASSERT_FATAL(g_file_get_contents(SETTINGS, &text, NULL, NULL));
	TEST_CHECK(
	    strstr(text, "\"change_within_s\": {{bounds.config_apply_s}}") !=
		NULL,
	    "change_within_s is not taken from the platform's bounds");
	g_free(text);
	for (i = 0; i < G_N_ELEMENTS(change_within_ms); i++) {
		plan = loom_age_timing(change_within_ms[i] * LOOM_US_PER_MS);
		hidden_ms = (plan.watch_us + plan.answer_us) / LOOM_US_PER_MS +
		    BACKOFF_MS + TICK_MS + APPLY_INTERVAL_MS;
		TEST_CHECK(hidden_ms < BOUNDS_APPLY_AGAIN_MS,
		    "change limit %u ms: a lost watch hides changes for %u ms",
		    change_within_ms[i], (unsigned)hidden_ms);
	}
}

/*
 * The time between SIGTERM and SIGKILL differs between deployments. Guards
 * against a fixed value in the settings: the daemon cut uploads after 5.2 s
 * where it had 10 s.
 */
static void
test_kill_delay(void)
{
	char *text;

	CU_ASSERT_FATAL(g_file_get_contents(SETTINGS, &text, NULL, NULL));
	TEST_CHECK(
	    strstr(text, "\"stop_within_s\": {{bounds.grace_s}}") != NULL,
	    "stop_within_s is not taken from the platform's bounds");
	TEST_CHECK(strstr(text, "drain_timeout_s") == NULL,
	    "drain_timeout_s must not be set as well");
	g_free(text);
}

static const struct test_case tests[] = {
	{ "time until SIGKILL", test_kill_delay },
	{ "lost watch", test_lost_watch },
};

TEST_MAIN("deploy", tests)
