/*
 * The settings that deploy/ ships, against the bounds of the users' platform.
 */

#include <stdlib.h>
#include <string.h>

#include "support/test.h"

#define SETTINGS "deploy/loomd.jsonc"

/* A host is held to the bounds again 3 s after its connections broke or the
 * store came back; a tick and the gap between two joins go before a manifest
 * is in force. */
#define HELD_TO_BOUNDS_MS 3000
#define TICK_MS 100
#define JOIN_GAP_MS 250
/* The reader's first delay after a failure, at its longest. */
#define BACKOFF_MS 200

/* The number behind "name": in the template, which is no JSON before it is
 * filled in. */
static uint32_t
setting(const char *text, const char *name)
{
	char *key = g_strdup_printf("\"%s\":", name);
	const char *at = strstr(text, key);
	uint32_t value = 0;

	TEST_CHECK(at != NULL, "no setting %s", name);
	if (at != NULL)
		value = (uint32_t)strtoul(at + strlen(key), NULL, 10);
	g_free(key);
	return value;
}

/* Guards against a watch that is lost with its connection, or sent while the
 * store is away, and hides changes for longer than the bounds allow. */
static void
test_lost_watch(void)
{
	uint32_t watch_ms, blind_ms;
	char *text;

	CU_ASSERT_FATAL(g_file_get_contents(SETTINGS, &text, NULL, NULL));
	watch_ms = setting(text, "platform_wait_ms") +
	    setting(text, "platform_answer_ms");
	g_free(text);
	blind_ms = watch_ms + BACKOFF_MS + TICK_MS + JOIN_GAP_MS;
	TEST_CHECK(blind_ms < HELD_TO_BOUNDS_MS,
	    "a lost watch hides changes for %u ms", blind_ms);
}

/* Guards against a daemon that ends by one deployment's time until the kill on
 * another: it cut uploads after 5.2 s where it had 10. */
static void
test_time_until_kill(void)
{
	char *text;

	CU_ASSERT_FATAL(g_file_get_contents(SETTINGS, &text, NULL, NULL));
	TEST_CHECK(
	    strstr(text, "\"stop_within_s\": {{bounds.grace_s}}") != NULL,
	    "the time until the kill is not the platform's");
	TEST_CHECK(strstr(text, "drain_timeout_s") == NULL,
	    "a time until the end is set besides");
	g_free(text);
}

static const struct test_case tests[] = {
	{ "time until the kill", test_time_until_kill },
	{ "a lost watch", test_lost_watch },
};

TEST_MAIN("deploy", tests)
