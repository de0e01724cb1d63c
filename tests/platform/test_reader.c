/*
 * Tests the platform reader against the platform stand-in, including injected
 * faults, and the parser of its responses.
 */

#include <inttypes.h>
#include <string.h>

#include "loom/platform.h"
#include "support/standin.h"
#include "support/test.h"
#include "support/wait.h"

struct fixture {
	struct test_standin standin;
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct loom_platform_reader *reader;
	struct loom_random random;
	char text[64]; /* last value received */
	uint64_t revision;
	unsigned values;
	unsigned responses;
	unsigned failures;
	enum loom_result error;
	bool limit_passed;
};

static void
on_value(void *arg, const struct loom_platform_value *value)
{
	struct fixture *f = arg;

	f->values++;
	f->revision = value->revision;
	g_strlcpy(f->text, value->text, sizeof(f->text));
}

static void
on_reading_complete(void *arg, uint64_t sent_us)
{
	(void)sent_us;
	((struct fixture *)arg)->responses++;
}

static void
on_failed(void *arg, const GError *error)
{
	struct fixture *f = arg;

	f->failures++;
	f->error = (enum loom_result)error->code;
}

static const struct loom_platform_events events = {
	.on_value = on_value,
	.on_reading_complete = on_reading_complete,
	.on_failure = on_failed,
};

static void
setup_with_timing(struct fixture *f, uint32_t wait_ms, uint32_t answer_ms)
{
	struct loom_platform_options options = {
		.prefix = "manifest/",
		.pace = {
			.wait_ms = wait_ms,
			.answer_timeout_ms = answer_ms,
			.gap_ms = 1,
			.backoff_ms = 5,
			.backoff_max_ms = 20,
		},
	};

	*f = (struct fixture){ .random = test_random_new(7) };
	CU_ASSERT_FATAL(test_standin_start(&f->standin, "platform", NULL));
	options.url = f->standin.url;
	options.random = f->random;
	f->mem = talloc_new(NULL);
	f->ev = tevent_context_init(f->mem);
	f->reader = loom_platform_reader_new(
	    f->mem, f->ev, loom_multi_new(f->ev, f->ev), &options, &events, f);
}

static void
setup(struct fixture *f)
{
	setup_with_timing(f, 100, 500);
}

static void
teardown(struct fixture *f)
{
	talloc_free(f->reader);
	talloc_free(f->mem);
	test_standin_stop(&f->standin);
	test_random_free(&f->random);
}

static void
call(struct fixture *f, const char *method, const char *path, const char *body)
{
	char *response = test_standin_call(&f->standin, method, path, body);

	CU_ASSERT_PTR_NOT_NULL(response);
	g_free(response);
}

static void
put(struct fixture *f, const char *text)
{
	call(f, "PUT", "/test/values/manifest/a", text);
}

static void
test_fetch(void)
{
	struct fixture f;

	setup(&f);
	put(&f, "one");
	call(&f, "PUT", "/test/values/other", "outside the prefix");
	loom_platform_reader_fetch(f.reader);
	WAIT(&f, f.responses == 1);
	CU_ASSERT_EQUAL(f.values, 1);
	CU_ASSERT_STRING_EQUAL(f.text, "one");
	teardown(&f);
}

static void
test_watch(void)
{
	struct fixture f;

	setup(&f);
	loom_platform_reader_set_watching(f.reader, true);
	WAIT(&f, f.responses == 1);
	CU_ASSERT_EQUAL(f.values, 0);
	put(&f, "one");
	WAIT(&f, strcmp(f.text, "one") == 0);
	put(&f, "two");
	WAIT(&f, strcmp(f.text, "two") == 0);
	CU_ASSERT_EQUAL(f.values, 2);
	teardown(&f);
}

/*
 * Changes a value while the platform fails. The reader must report the result
 * code of the failure, keep the values that it has read, retry the watch after
 * a backoff and read the change once the platform is available again.
 */
static void
test_faults(void)
{
	static const struct {
		const char *path;
		enum loom_result code;
	} cases[] = {
		{ "/test/fault?mode=down", LOOM_PLATFORM_DOWN },
		{ "/test/fault?mode=cut", LOOM_PLATFORM_CUT },
		{ "/test/fault?mode=slow&ms=100000", LOOM_PLATFORM_DOWN },
	};
	struct fixture f;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup(&f);
		put(&f, "one");
		loom_platform_reader_set_watching(f.reader, true);
		WAIT(&f, f.values == 1);
		call(&f, "POST", cases[i].path, "");
		WAIT(&f, f.failures >= 2);
		TEST_CHECK(f.error == cases[i].code, "%s: code %d",
		    cases[i].path, (int)f.error);
		put(&f, "two");
		call(&f, "POST", "/test/fault?mode=none", "");
		WAIT(&f, strcmp(f.text, "two") == 0);
		teardown(&f);
	}
}

/*
 * A watch that is sent during an outage may never be answered. Guards against a
 * reader that waits for it as long as for a watch on a healthy platform, and so
 * misses the changes after the outage.
 */
static void
test_call_during_outage(void)
{
	const uint32_t wait_ms = 120000; /* longer than a test may take */
	struct fixture f;
	unsigned failures;

	setup_with_timing(&f, wait_ms, 100);
	put(&f, "before");
	loom_platform_reader_set_watching(f.reader, true);
	WAIT(&f, strcmp(f.text, "before") == 0);
	call(&f, "POST", "/test/fault?mode=down", "");
	WAIT(&f, f.failures > 0);
	call(&f, "POST", "/test/fault?mode=silent", "");
	failures = f.failures;
	WAIT(&f, f.failures > failures + 1);
	put(&f, "after");
	call(&f, "POST", "/test/fault?mode=none", "");
	WAIT(&f, strcmp(f.text, "after") == 0);
	teardown(&f);
}

/*
 * The platform serves an old copy, which the reader can't detect. It must not
 * fail, and must read the change once the platform has recovered.
 */
static void
test_stale_copy(void)
{
	struct fixture f;
	unsigned responses;

	setup(&f);
	put(&f, "one");
	loom_platform_reader_set_watching(f.reader, true);
	WAIT(&f, f.values == 1);
	call(&f, "POST", "/test/fault?mode=stale", "");
	put(&f, "two");
	responses = f.responses;
	WAIT(&f, f.responses >= responses + 2);
	CU_ASSERT_STRING_EQUAL(f.text, "one");
	CU_ASSERT_EQUAL(f.failures, 0);
	call(&f, "POST", "/test/fault?mode=none", "");
	WAIT(&f, strcmp(f.text, "two") == 0);
	teardown(&f);
}

/*
 * The platform was restored from a backup and its revision is lower than
 * before. Guards against a reader that keeps waiting for its old revision to be
 * passed and misses every change until then.
 */
static void
test_revision_decreases(void)
{
	struct fixture f;
	unsigned responses;

	setup(&f);
	put(&f, "one");
	call(&f, "POST", "/test/fault?mode=stale", "");
	call(&f, "PUT", "/test/values/manifest/b", "later");
	call(&f, "PUT", "/test/values/manifest/b", "later");
	loom_platform_reader_set_watching(f.reader, true);
	WAIT(&f, f.values == 1);
	call(&f, "POST", "/test/fault?mode=none", "");
	WAIT(&f, f.values == 2 && f.revision == 3);
	test_standin_stop(&f.standin);
	responses = f.responses;
	CU_ASSERT_FATAL(test_standin_start(&f.standin, "platform",
	    (const char *const[]){
		"--port", g_strrstr(f.standin.url, ":") + 1, NULL }));
	WAIT(&f, f.responses > responses);
	put(&f, "restored");
	WAIT(&f, strcmp(f.text, "restored") == 0);
	CU_ASSERT_EQUAL(f.revision, 1);
	teardown(&f);
}

/*
 * Two operators write the same version. Readers must end with the last write,
 * and must accept that an old text returns under a new revision.
 */
static void
test_concurrent_writes(void)
{
	struct fixture f;
	uint64_t revision;

	setup(&f);
	loom_platform_reader_set_watching(f.reader, true);
	put(&f, "v2 by one");
	put(&f, "v2 by two");
	WAIT(&f, strcmp(f.text, "v2 by two") == 0);
	revision = f.revision;
	call(&f, "POST", "/test/fault?mode=older", "");
	WAIT(&f, strcmp(f.text, "v2 by one") == 0);
	CU_ASSERT(f.revision > revision);
	teardown(&f);
}

static void
test_stop_watching(void)
{
	struct fixture f;
	char *calls;

	setup(&f);
	loom_platform_reader_set_watching(f.reader, true);
	WAIT(&f, f.responses == 1);
	loom_platform_reader_set_watching(f.reader, false);
	put(&f, "one");
	CU_ASSERT_EQUAL(tevent_loop_wait(f.ev), 0); /* no event is left */
	CU_ASSERT_EQUAL(f.values, 0);
	calls = test_standin_call(&f.standin, "GET", "/v1/calls", NULL);
	TEST_CHECK(strcmp(calls, "{\"calls\":1}") == 0 ||
		strcmp(calls, "{\"calls\":2}") == 0,
	    "%s", calls);
	g_free(calls);
	teardown(&f);
}

static void
count_value(void *arg, const struct loom_platform_value *value)
{
	(void)value;
	++*(unsigned *)arg;
}

#define VALID_VALUE "{\"name\":\"m/a\",\"revision\":1,\"value\":\"x\"}"

static void
test_parse_responses(void)
{
	static const struct {
		const char *text;
		bool ok;
		unsigned values;
	} cases[] = {
		{ "{\"revision\":1,\"values\":[]}", true, 0 },
		{ "{\"revision\":1,\"values\":[" VALID_VALUE "]}", true, 1 },
		{ "", false, 0 },
		{ "[]", false, 0 },
		{ "{\"revision\":1}", false, 0 },
		{ "{\"revision\":-1,\"values\":[]}", false, 0 },
		{ "{\"revision\":\"1\",\"values\":[]}", false, 0 },
		{ "{\"revision\":1,\"values\":{}}", false, 0 },
		{ "{\"revision\":1,\"values\":[" VALID_VALUE ",1]}", false, 0 },
		{ "{\"revision\":1,\"values\":[" VALID_VALUE ",{}]}", false,
		    0 },
		{ "{\"revision\":1,\"values\":[{\"name\":\"n/a\","
		  "\"revision\":1,\"value\":\"x\"}]}",
		    false, 0 },
		{ "{\"revision\":1,\"values\":[{\"name\":\"m/\\u0000\","
		  "\"revision\":1,\"value\":\"x\"}]}",
		    false, 0 },
		{ "{\"revision\":1,\"values\":[{\"name\":\"m/a\","
		  "\"revision\":1,\"value\":null}]}",
		    false, 0 },
	};
	uint64_t revision;
	unsigned values;
	GError *error;
	bool ok;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		values = 0;
		error = NULL;
		ok =
		    loom_platform_response(cases[i].text, strlen(cases[i].text),
			"m/", count_value, &values, &revision, &error);
		TEST_CHECK(ok == cases[i].ok, "%s", cases[i].text);
		TEST_CHECK(values == cases[i].values, "%s", cases[i].text);
		TEST_CHECK(ok || error->code == LOOM_PLATFORM_ANSWER, "%s",
		    cases[i].text);
		g_clear_error(&error);
	}
}

static const struct test_case tests[] = {
	{ "fetch", test_fetch },
	{ "watch", test_watch },
	{ "faults", test_faults },
	{ "call sent during an outage", test_call_during_outage },
	{ "stale", test_stale_copy },
	{ "revision decreases", test_revision_decreases },
	{ "concurrent writes", test_concurrent_writes },
	{ "stop watching", test_stop_watching },
	{ "responses", test_parse_responses },
};

TEST_MAIN("platform reader", tests)
