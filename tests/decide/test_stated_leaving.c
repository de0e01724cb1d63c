/*
 * An upstream that says in its answers that it leaves: what counts as saying
 * so, and until when it gets calls.
 */

#include <glib.h>

#include "decide/stated_leaving.h"
#include "loom/clock.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S

/* Guards against an odd or missing value that takes an upstream out of use. */
static void
test_parse(void)
{
	static const struct {
		const char *text;
		bool leaving;
	} rows[] = {
		{ "1", true },
		{ NULL, false },
		{ "", false },
		{ "0", false },
		{ "11", false },
		{ "1 ", false },
		{ " 1", false },
		{ "01", false },
		{ "-1", false },
		{ "true", false },
		{ "1, 1", false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		TEST_CHECK(
		    stated_leaving_parse(rows[i].text) == rows[i].leaving,
		    "%zu", i);
}

/* Guards against calls to an upstream that leaves, and against one that never
 * gets calls again. */
static void
test_until(void)
{
	static const struct {
		const char *name;
		uint64_t since_us, now_us;
		bool holds, accepts;
	} rows[] = {
		{ "never said", 0, 5 * S, false, true },
		{ "just said", 5 * S, 5 * S, true, true },
		{ "calls under way", 5 * S, 5 * S + 499 * MS, true, true },
		{ "after a moment", 5 * S, 5 * S + 500 * MS, true, false },
		{ "half a minute later", 5 * S, 35 * S, true, false },
		{ "another run may have come", 5 * S, 65 * S, false, true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		TEST_CHECK(stated_leaving_holds(rows[i].since_us,
			       rows[i].now_us) == rows[i].holds,
		    "%s: holds", rows[i].name);
		TEST_CHECK(stated_leaving_accepts(rows[i].since_us,
			       rows[i].now_us) == rows[i].accepts,
		    "%s: accepts", rows[i].name);
	}
}

static const struct test_case tests[] = {
	{ "parse", test_parse },
	{ "until", test_until },
};

TEST_MAIN("stated leaving", tests)
