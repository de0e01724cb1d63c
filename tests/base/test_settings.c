/*
 * Tests of settings files: every field type with its default, every kind of
 * error, and that a rejected file leaves no memory allocated.
 */

#include <string.h>

#include "loom/settings.h"
#include "support/test.h"

struct limits {
	uint32_t slots;
	double ratio;
	char *label;
};

struct settings {
	char *listen;
	bool verbose;
	bool verbose_seen;
	char region[8];
	uint32_t workers;
	uint64_t body_bytes;
	uint32_t level;
	char **trusted;
	struct limits limits;
	GArray *peers; /* of struct limits */
};

static const char *const levels[] = { "debug", "info", "warn", NULL };

static const struct loom_field limit_fields[] = {
	{ .name = "slots",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct limits, slots),
	    .min = 1,
	    .max = 100,
	    .number_default = 16 },
	{ .name = "ratio",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = offsetof(struct limits, ratio),
	    .min = -1,
	    .max = 1,
	    .number_default = 0.5 },
	{ .name = "label",
	    .type = LOOM_FIELD_STRING,
	    .offset = offsetof(struct limits, label),
	    .text_default = "none" },
	{ .name = NULL },
};

static const struct loom_field fields[] = {
	{ .name = "listen",
	    .type = LOOM_FIELD_STRING,
	    .required = true,
	    .offset = offsetof(struct settings, listen),
	    .check = loom_setting_check_address,
	    .expects = "ip:port" },
	{ .name = "region",
	    .type = LOOM_FIELD_TEXT,
	    .offset = offsetof(struct settings, region),
	    .size = 8,
	    .text_default = "here" },
	{ .name = "workers",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct settings, workers),
	    .min = 1,
	    .max = 64,
	    .number_default = 4 },
	{ .name = "body_bytes",
	    .type = LOOM_FIELD_U64,
	    .offset = offsetof(struct settings, body_bytes),
	    .number_default = 5e9 },
	{ .name = "verbose",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct settings, verbose),
	    .present_offset = offsetof(struct settings, verbose_seen),
	    .number_default = 1 },
	{ .name = "level",
	    .type = LOOM_FIELD_CHOICE,
	    .offset = offsetof(struct settings, level),
	    .words = levels,
	    .number_default = 1 },
	{ .name = "trusted",
	    .type = LOOM_FIELD_STRINGS,
	    .offset = offsetof(struct settings, trusted) },
	{ .name = "limits",
	    .type = LOOM_FIELD_OBJECT,
	    .offset = offsetof(struct settings, limits),
	    .fields = limit_fields },
	{ .name = "peers",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct settings, peers),
	    .size = sizeof(struct limits),
	    .fields = limit_fields },
	{ .name = NULL },
};

static bool
parse(const char *text, struct settings *settings, char **problem_text)
{
	char *quoted = g_strdelimit(g_strdup(text), "'", '"');
	struct loom_problem *problems = NULL;
	bool ok;

	ok = loom_settings_parse(
	    quoted, strlen(quoted), "s.jsonc", fields, settings, &problems);
	*problem_text = loom_problems_text(problems);
	loom_problems_free(problems);
	g_free(quoted);
	return ok;
}

static void
test_defaults(void)
{
	struct settings settings;
	char *problems;

	CU_ASSERT_FATAL(
	    parse("{'listen': '127.0.0.1:0'}", &settings, &problems));
	CU_ASSERT_STRING_EQUAL(settings.listen, "127.0.0.1:0");
	CU_ASSERT_STRING_EQUAL(settings.region, "here");
	CU_ASSERT_EQUAL(settings.workers, 4);
	CU_ASSERT_EQUAL(settings.body_bytes, UINT64_C(5000000000));
	CU_ASSERT(settings.verbose);
	CU_ASSERT_FALSE(settings.verbose_seen);
	CU_ASSERT_EQUAL(settings.level, 1);
	CU_ASSERT_PTR_NULL(settings.trusted[0]);
	CU_ASSERT_EQUAL(settings.limits.slots, 16);
	CU_ASSERT_DOUBLE_EQUAL(settings.limits.ratio, 0.5, 0);
	CU_ASSERT_STRING_EQUAL(settings.limits.label, "none");
	CU_ASSERT_EQUAL(settings.peers->len, 0);
	loom_fields_free(fields, &settings);
	g_free(problems);
}

static void
test_values(void)
{
	struct settings settings;
	struct limits *peer;
	char *problems;

	CU_ASSERT_FATAL(
	    parse("{'listen': '[::1]:80', 'region': 'tas', 'workers': 64, "
		  "'body_bytes': 9, 'verbose': false, 'level': 'warn', "
		  "'trusted': ['a', 'b'], 'limits': {'ratio': -1, "
		  "'label': 'x'}, 'peers': [{'slots': 3}, {}]}",
		&settings, &problems));
	CU_ASSERT_STRING_EQUAL(settings.region, "tas");
	CU_ASSERT_EQUAL(settings.workers, 64);
	CU_ASSERT_EQUAL(settings.body_bytes, 9);
	CU_ASSERT_FALSE(settings.verbose);
	CU_ASSERT(settings.verbose_seen);
	CU_ASSERT_EQUAL(settings.level, 2);
	CU_ASSERT_STRING_EQUAL(settings.trusted[1], "b");
	CU_ASSERT_PTR_NULL(settings.trusted[2]);
	CU_ASSERT_DOUBLE_EQUAL(settings.limits.ratio, -1, 0);
	CU_ASSERT_STRING_EQUAL(settings.limits.label, "x");
	CU_ASSERT_EQUAL_FATAL(settings.peers->len, 2);
	peer = &g_array_index(settings.peers, struct limits, 0);
	CU_ASSERT_EQUAL(peer[0].slots, 3);
	CU_ASSERT_EQUAL(peer[1].slots, 16);
	CU_ASSERT_STRING_EQUAL(peer[1].label, "none");
	loom_fields_free(fields, &settings);
	g_free(problems);
}

#define BAD_LISTEN(address)                                                  \
	{                                                                    \
		"{'listen': '" address "'}",                                 \
		    "s.jsonc:listen: 1006 SETTING_RANGE: ip:port expected\n" \
	}

static void
test_refused(void)
{
	static const struct {
		const char *text, *problems;
	} cases[] = {
		{ "{",
		    "s.jsonc:1: 1003 JSON_SYNTAX: "
		    "the text ends too early\n" },
		{ "[]", "s.jsonc: 1005 SETTING_TYPE: an object expected\n" },
		{ "{}", "s.jsonc:listen: 1007 SETTING_MISSING: missing\n" },
		BAD_LISTEN(""),
		BAD_LISTEN("127.0.0.1"),
		BAD_LISTEN("127.0.0.1:"),
		BAD_LISTEN("127.0.0.1:65536"),
		BAD_LISTEN("127.0.0.1:-1"),
		BAD_LISTEN("localhost:80"),
		BAD_LISTEN("::1:80"),
		BAD_LISTEN("[::1:80"),
		{ "{'listen': 7, 'workers': 0, 'wokers': 1, "
		  "'region': '12345678', 'level': 'loud', 'verbose': 1, "
		  "'trusted': ['a', 1], 'limits': {'ratio': 2, 'slot': 1}, "
		  "'peers': [{}, {'label': []}, 4]}",
		    "s.jsonc:listen: 1005 SETTING_TYPE: "
		    "a string expected, not int\n"
		    "s.jsonc:workers: 1006 SETTING_RANGE: "
		    "must be from 1 to 64\n"
		    "s.jsonc:wokers: 1004 SETTING_UNKNOWN: "
		    "unknown name, did you mean \"workers\"?\n"
		    "s.jsonc:region: 1006 SETTING_RANGE: "
		    "longer than 7 characters\n"
		    "s.jsonc:level: 1006 SETTING_RANGE: "
		    "\"loud\" is none of debug, info, warn\n"
		    "s.jsonc:verbose: 1005 SETTING_TYPE: "
		    "true or false expected, not int\n"
		    "s.jsonc:trusted[1]: 1005 SETTING_TYPE: "
		    "a string expected, not int\n"
		    "s.jsonc:limits.ratio: 1006 SETTING_RANGE: "
		    "must be from -1 to 1\n"
		    "s.jsonc:limits.slot: 1004 SETTING_UNKNOWN: "
		    "unknown name, did you mean \"slots\"?\n"
		    "s.jsonc:peers[1].label: 1005 SETTING_TYPE: "
		    "a string expected, not array\n"
		    "s.jsonc:peers[2]: 1005 SETTING_TYPE: "
		    "an object expected, not int\n" },
	};
	struct settings settings;
	char *problems;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		TEST_CHECK(!parse(cases[i].text, &settings, &problems), "%s",
		    cases[i].text);
		TEST_CHECK(strcmp(problems, cases[i].problems) == 0, "%s: %s",
		    cases[i].text, problems);
		g_free(problems);
	}
}

static void
test_missing_file(void)
{
	struct loom_problem *problems = NULL;
	struct settings settings;

	CU_ASSERT_FALSE(loom_settings_load(
	    "/nonexistent/s.jsonc", fields, &settings, &problems));
	CU_ASSERT(problems != NULL && problems->code == LOOM_FILE_UNREADABLE);
	loom_problems_free(problems);
}

static void
test_ip(void)
{
	static const struct {
		const char *text;
		enum loom_result result;
	} cases[] = {
		{ "10.0.0.5", LOOM_OK },
		{ "2001:db8::5", LOOM_OK },
		{ "", LOOM_SETTING_RANGE },
		{ "10.0.0", LOOM_SETTING_RANGE },
		{ "10.0.0.5:80", LOOM_SETTING_RANGE },
		{ "[2001:db8::5]", LOOM_SETTING_RANGE },
		{ "eth0", LOOM_SETTING_RANGE },
		{ "localhost", LOOM_SETTING_RANGE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		TEST_CHECK(
		    loom_setting_check_ip(cases[i].text) == cases[i].result,
		    "%s", cases[i].text);
}

static const struct test_case tests[] = {
	{ "defaults", test_defaults },
	{ "values", test_values },
	{ "refused", test_refused },
	{ "missing file", test_missing_file },
	{ "ip", test_ip },
};

TEST_MAIN("settings", tests)
