/*
 * Workers take, wait and cancel while the control thread runs. Each wait must
 * end exactly once, by its callback or by a cancellation, and the admitted
 * calls must stay within rate and burst. Also meant for builds with
 * -fsanitize=thread.
 */

#include <stdatomic.h>
#include <string.h>
#include <talloc.h>

#include "loom/rights.h"
#include "support/test.h"

#define WORKERS 4
#define CALLS 20000
#define RATE 5000.0
#define BURST 100
#define START_US UINT64_C(1000000)
#define STEP_US 50

struct shared {
	struct loom_rights *rights;
	atomic_uint_fast64_t now_us;
	atomic_uint admitted;
	atomic_uint refused;
	atomic_uint cancelled;
	atomic_uint working;
	uint64_t team_id;
};

struct call {
	struct loom_rights_waiter waiter;
	struct shared *shared;
	atomic_uint ended;
};

static void
done(struct loom_rights_waiter *waiter, enum loom_result result,
    uint64_t retry_after_us)
{
	struct call *call = waiter->arg;

	(void)retry_after_us;
	if (result == LOOM_OK)
		atomic_fetch_add(&call->shared->admitted, 1);
	else
		atomic_fetch_add(&call->shared->refused, 1);
	atomic_fetch_add(&call->ended, 1);
}

static void
wait_or_cancel(struct shared *shared, unsigned i)
{
	struct call call = { .shared = shared };

	call.waiter.done = done;
	call.waiter.arg = &call;
	loom_rights_wait(shared->rights, shared->team_id, &call.waiter,
	    atomic_load(&shared->now_us));
	if (i % 3 == 0 && loom_rights_cancel(shared->rights, &call.waiter)) {
		atomic_fetch_add(&shared->cancelled, 1);
		return;
	}
	while (atomic_load(&call.ended) == 0)
		g_thread_yield();
}

static void *
work(void *arg)
{
	struct shared *shared = arg;
	uint64_t retry_us, taken_us;
	unsigned i;

	for (i = 0; i < CALLS; i++) {
		switch (loom_rights_take(shared->rights, shared->team_id,
		    atomic_load(&shared->now_us), &retry_us, &taken_us)) {
		case LOOM_OK:
			atomic_fetch_add(&shared->admitted, 1);
			break;
		case LOOM_RIGHTS_PENDING:
			wait_or_cancel(shared, i);
			break;
		default:
			atomic_fetch_add(&shared->refused, 1);
			break;
		}
	}
	atomic_fetch_sub(&shared->working, 1);
	return NULL;
}

static void
drop_message(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	(void)arg;
	(void)host_id;
	(void)type;
	(void)payload;
	(void)len;
}

static void
configure(struct shared *shared, uint64_t host_id)
{
	static const char text[] =
	    "{ \"document\": \"d\", \"version\": 1,"
	    "\"fleet\": { \"slots\": 1 }, \"teams\": [ {"
	    "\"name\": \"a\", \"rate_per_s\": 5000, \"burst\": 100 } ] }";
	struct loom_host host = { .id = host_id };
	GArray *list = g_array_new(FALSE, TRUE, sizeof(host));
	struct loom_problem *problems = NULL;
	struct loom_document *document;
	struct loom_manifest *manifest;
	struct loom_hosts *hosts;

	document = loom_document_parse(text, strlen(text), "test", &problems);
	manifest = loom_manifest_build(&document, 1, 1, &problems);
	loom_rights_ops.manifest_changed(shared->rights, manifest, START_US);
	loom_manifest_release(manifest);
	loom_document_release(document);
	g_array_append_val(list, host);
	hosts = loom_hosts_build(list);
	loom_rights_ops.hosts_changed(shared->rights, hosts, START_US);
	loom_hosts_release(hosts);
	g_array_free(list, TRUE);
}

static void
test_threads(void)
{
	struct loom_sender sender = { .send = drop_message };
	struct loom_self self = {
		.host_id = 1, .incarnation = 1, .data_centre = "", .region = ""
	};
	struct shared shared = { .team_id = loom_name_id("a") };
	struct loom_random random = test_random_new(1);
	GThread *threads[WORKERS];
	uint64_t now_us;
	unsigned i;

	shared.rights = loom_rights_new(
	    NULL, &self, &sender, &loom_random_system, NULL, NULL, START_US);
	configure(&shared, 1);
	for (now_us = START_US; now_us < START_US + 4000000; now_us += 2000)
		loom_rights_ops.tick(shared.rights, now_us);
	atomic_store(&shared.now_us, now_us);
	atomic_store(&shared.working, WORKERS);
	for (i = 0; i < WORKERS; i++)
		threads[i] = g_thread_new("worker", work, &shared);
	while (atomic_load(&shared.working) > 0) {
		now_us += STEP_US;
		atomic_store(&shared.now_us, now_us);
		loom_rights_ops.tick(shared.rights, now_us);
	}
	for (i = 0; i < WORKERS; i++)
		g_thread_join(threads[i]);
	now_us -= START_US + 4000000;
	TEST_CHECK(shared.admitted + shared.refused + shared.cancelled ==
		WORKERS * CALLS,
	    "%u %u %u", shared.admitted, shared.refused, shared.cancelled);
	TEST_CHECK(shared.admitted <= RATE * (double)now_us / 1e6 + BURST + 1,
	    "%u in %u us", shared.admitted, (unsigned)now_us);
	TEST_CHECK(shared.admitted >= BURST, "%u", shared.admitted);
	talloc_free(shared.rights);
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "threads", test_threads },
};

TEST_MAIN("rights threads", tests)
