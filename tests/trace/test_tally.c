/*
 * Counting of calls in log lines.
 */

#include <string.h>

#include "support/test.h"
#include "trace/tally.h"

static const char *const lines[] = {
	/* an entry refuses a caller's request because a service that it would
	 * call is overloaded */
	"{\"time\":\"2026-01-02T03:04:05.1Z\",\"event\":\"call\","
	"\"stage\":\"entry\",\"end\":\"refused\",\"result\":\"BELOW_FULL\","
	"\"service\":\"orders\",\"inner\":false,\"below\":\"sites\","
	"\"below_share\":0.25,\"waiting\":0}",
	"{\"time\":\"2026-01-02T03:04:06.1Z\",\"event\":\"call\","
	"\"stage\":\"entry\",\"end\":\"refused\",\"result\":\"BELOW_FULL\","
	"\"service\":\"orders\",\"inner\":false,\"below\":\"sites\","
	"\"below_share\":0.125,\"waiting\":0}",
	/* a call of an admitted request; the line has a prefix */
	"  1.2 host-7 {\"time\":\"2026-01-02T03:04:05.2Z\","
	"\"event\":\"call\",\"stage\":\"entry\",\"end\":\"refused\","
	"\"result\":\"OVERLOAD\",\"service\":\"sites\",\"inner\":true,"
	"\"waiting\":64}",
	"{\"time\":\"2026-01-02T03:04:05.3Z\",\"event\":\"call\","
	"\"stage\":\"executor\",\"end\":\"answered\",\"result\":null,"
	"\"status\":500,\"service\":\"orders\",\"inner\":false}",
	"{\"time\":\"2026-01-02T03:04:05.4Z\",\"event\":\"call\","
	"\"stage\":\"entry\",\"end\":\"broken\",\"result\":null,"
	"\"status\":0,\"service\":\"orders\",\"inner\":false}",
	/* lines that are ignored */
	"{\"time\":\"2026-01-02T03:04:05.4Z\",\"event\":\"limit\",\"is\":3}",
	"{\"event\":\"call\"",
	"no json",
	"",
	"[1]",
};

#define CALL_LINE_COUNT 5

static char *
build_table(bool by_second)
{
	struct call_tally *tally = call_tally_new(by_second);
	unsigned taken = 0;
	char *table;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++)
		taken += call_tally_add_line(tally, lines[i]);
	CU_ASSERT_EQUAL(taken, CALL_LINE_COUNT);
	table = call_tally_table(tally);
	call_tally_free(tally);
	return table;
}

static void
test_by_ending(void)
{
	char *table = build_table(false);

	CU_ASSERT_STRING_EQUAL(table,
	    "stage\tservice\tscope\tending\tcalls\twaiting\tshare\n"
	    "entry\torders\troot\tBELOW_FULL\t2\t0\t0.125\n"
	    "entry\torders\troot\tbroken\t1\t0\t1.000\n"
	    "entry\tsites\tinner\tOVERLOAD\t1\t64\t1.000\n"
	    "executor\torders\t-\t500\t1\t0\t1.000\n");
	g_free(table);
}

static void
test_by_second(void)
{
	char *table = build_table(true);

	CU_ASSERT(g_str_has_prefix(table, "second\tstage\t"));
	CU_ASSERT_PTR_NOT_NULL(strstr(table,
	    "2026-01-02T03:04:05\tentry\torders\troot\tBELOW_FULL\t1\t"));
	CU_ASSERT_PTR_NOT_NULL(strstr(table,
	    "2026-01-02T03:04:06\tentry\torders\troot\tBELOW_FULL\t1\t"));
	CU_ASSERT(strstr(table, "04:06\t") > strstr(table, "04:05\t"));
	g_free(table);
}

static void
test_empty(void)
{
	struct call_tally *tally = call_tally_new(false);
	char *table = call_tally_table(tally);

	CU_ASSERT_STRING_EQUAL(
	    table, "stage\tservice\tscope\tending\tcalls\twaiting\tshare\n");
	g_free(table);
	call_tally_free(tally);
}

static const struct test_case tests[] = {
	{ "by ending", test_by_ending },
	{ "by second", test_by_second },
	{ "no lines", test_empty },
};

TEST_MAIN("tally", tests)
