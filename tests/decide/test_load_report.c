/*
 * Tests the parser of upstreams' load reports.
 */

#include <string.h>

#include "loom/load_report.h"
#include "support/test.h"

/* Guards against a malformed report that is taken for a load or a pace. */
static void
test_parse(void)
{
	static const struct {
		const char *text;
		bool ok;
		struct loom_load_report report;
	} rows[] = {
		{ "3,0,8", true, { 3, 0, 8, 0 } },
		{ "3,1,8,250", true, { 3, 1, 8, 250 } },
		{ "", false, { 0 } },
		{ "3,0", false, { 0 } },
		{ "3,0,", false, { 0 } },
		{ "3,0,8,", false, { 0 } },
		{ "3,0,8,100,", false, { 0 } },
		{ "3,0,8,100,1", false, { 0 } },
		{ "3,0,0", false, { 0 } },
		{ "3,0,8,0", false, { 0 } },
		{ "3,0,8,10001", false, { 0 } },
		{ " 3,0,8", false, { 0 } },
		{ "3, 0,8", false, { 0 } },
		{ "-3,0,8", false, { 0 } },
		{ "3,0,8x", false, { 0 } },
		{ "3,,8", false, { 0 } },
		{ "99999999999999999999,0,8", false, { 0 } },
	};
	struct loom_load_report report;
	size_t i;
	bool ok;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		ok = loom_load_report_parse(rows[i].text, &report);
		TEST_CHECK(ok == rows[i].ok &&
			memcmp(&report, &rows[i].report, sizeof(report)) == 0,
		    "\"%s\"", rows[i].text);
	}
}

static const struct test_case tests[] = {
	{ "parse", test_parse },
};

TEST_MAIN("load_report", tests)
