/*
 * The platform's reader through an outage in which calls are taken and never
 * answered.
 */

#include "loom/platform.h"
#include "support/loop.h"
#include "support/standin.h"
#include "support/test.h"

/* Longer than a test may wait: a watch that is never answered outlasts it. */
#define WATCH_MS 120000
#define ANSWER_MS 100

struct fixture {
	struct test_standin standin;
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct loom_platform_reader *reader;
	struct loom_random random;
	char text[64]; /* the last value of manifest/a */
	unsigned failures;
	bool limit_passed;
};

static void
on_value(void *arg, const struct loom_platform_value *value)
{
	struct fixture *f = arg;

	g_strlcpy(f->text, value->text, sizeof(f->text));
}

static void
on_failed(void *arg, const GError *error)
{
	struct fixture *f = arg;

	(void)error;
	f->failures++;
}

static const struct loom_platform_events events = {
	.value = on_value,
	.failed = on_failed,
};

static void
setup(struct fixture *f)
{
	struct loom_platform_options options = {
		.prefix = "manifest/",
		.pace = {
			.wait_ms = WATCH_MS,
			.answer_ms = ANSWER_MS,
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
	char *answer = test_standin_call(&f->standin, method, path, body);

	CU_ASSERT_PTR_NOT_NULL(answer);
	g_free(answer);
}

/* Guards against a watch that is sent during an outage and keeps the reader
 * from the changes after it for as long as a healthy watch may wait. */
static void
test_call_into_outage(void)
{
	struct fixture f;
	unsigned failures;

	setup(&f);
	call(&f, "PUT", "/test/values/manifest/a", "before");
	loom_platform_watch(f.reader, true);
	WAIT(&f, strcmp(f.text, "before") == 0);
	call(&f, "POST", "/test/fault?mode=down", "");
	WAIT(&f, f.failures > 0);
	call(&f, "POST", "/test/fault?mode=silent", "");
	failures = f.failures;
	WAIT(&f, f.failures > failures + 1);
	call(&f, "PUT", "/test/values/manifest/a", "after");
	call(&f, "POST", "/test/fault?mode=none", "");
	WAIT(&f, strcmp(f.text, "after") == 0);
	teardown(&f);
}

static const struct test_case tests[] = {
	{ "call into an outage", test_call_into_outage },
};

TEST_MAIN("platform reader in an outage", tests)
