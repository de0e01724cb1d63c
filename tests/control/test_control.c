/*
 * The control thread with real sockets: components of two daemons exchange
 * messages, a worker posts a job, changes and the drain reach every component,
 * and the thread stops cleanly.
 */

#include <string.h>

#include "loom/control_thread.h"
#include "loom/counter.h"
#include "support/test.h"

#define TYPE LOOM_MESSAGE_RIGHTS_FIRST
#define LIMIT_US (30 * G_USEC_PER_SEC)

/*
 * What a component received.  Under the lock, since the test's thread waits for
 * it.
 */
struct probe {
	GMutex lock;
	GCond changed;
	struct loom_sender sender;
	unsigned messages;
	unsigned ticks;
	unsigned manifests;
	unsigned hosts;
	unsigned drains;
	unsigned posts;
	uint64_t last_from;
	char last[16];
	bool answers;
};

static void
increment(struct probe *probe, unsigned *what)
{
	g_mutex_lock(&probe->lock);
	++*what;
	g_cond_broadcast(&probe->changed);
	g_mutex_unlock(&probe->lock);
}

static void
on_message(void *part, const struct loom_message_source *from, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct probe *probe = part;

	(void)now_us;
	g_mutex_lock(&probe->lock);
	probe->last_from = from->host_id;
	g_strlcpy(probe->last, (const char *)payload,
	    MIN(len + 1, sizeof(probe->last)));
	g_mutex_unlock(&probe->lock);
	if (probe->answers)
		probe->sender.send(
		    probe->sender.arg, from->host_id, type, "answer", 6);
	increment(probe, &probe->messages);
}

static void
on_tick(void *part, uint64_t now_us)
{
	struct probe *probe = part;

	(void)now_us;
	increment(probe, &probe->ticks);
}

static void
on_hosts(void *part, struct loom_hosts *hosts, uint64_t now_us)
{
	struct probe *probe = part;

	(void)hosts;
	(void)now_us;
	increment(probe, &probe->hosts);
}

static void
on_drain(void *part, uint64_t now_us)
{
	struct probe *probe = part;

	(void)now_us;
	increment(probe, &probe->drains);
}

static void
on_post(void *arg)
{
	struct probe *probe = arg;

	increment(probe, &probe->posts);
}

static const struct loom_component_ops probe_ops = {
	.name = "probe",
	.first_type = TYPE,
	.last_type = TYPE + 1,
	.tick_us = 1000,
	.message = on_message,
	.tick = on_tick,
	.hosts_changed = on_hosts,
	.drain = on_drain,
};

/* Returns true once the count is reached, false after LIMIT_US. */
static bool
wait_for(struct probe *probe, const unsigned *what, unsigned count)
{
	gint64 end = g_get_monotonic_time() + LIMIT_US;
	bool reached;

	g_mutex_lock(&probe->lock);
	while (*what < count &&
	    g_cond_wait_until(&probe->changed, &probe->lock, end))
		continue;
	reached = *what >= count;
	g_mutex_unlock(&probe->lock);
	return reached;
}

static struct loom_control *
control_new(uint64_t host_id)
{
	struct loom_control_options options = {
		.inner = { .bind = "127.0.0.1:0",
		    .self = { .host_id = host_id, .incarnation = host_id } },
		.random = loom_random_system,
	};

	return loom_control_new(&options, NULL);
}

static void
probe_add(struct loom_control *control, struct probe *probe)
{
	probe->sender = loom_control_sender(control);
	loom_control_add(control, &probe_ops, probe);
}

static void
test_lifecycle(void)
{
	struct probe a = { .messages = 0 }, b = { .answers = true };
	struct loom_control *ca = control_new(1), *cb = control_new(2);
	struct loom_hosts *hosts;
	GArray *array;
	uint64_t seed;

	CU_ASSERT_FATAL(ca != NULL && cb != NULL);
	probe_add(ca, &a);
	probe_add(cb, &b);
	seed = loom_control_add_seed(ca, loom_control_address(cb));
	CU_ASSERT(loom_control_start(ca));
	CU_ASSERT(loom_control_start(cb));
	CU_ASSERT(wait_for(&a, &a.ticks, 3));
	/*
	 * Sent from this thread, which is not the loop's. b learns a's address
	 * from the message alone.
	 */
	a.sender.send(a.sender.arg, seed, TYPE, "hello", 5);
	CU_ASSERT(wait_for(&b, &b.messages, 1));
	CU_ASSERT_STRING_EQUAL(b.last, "hello");
	CU_ASSERT_EQUAL(b.last_from, 1);
	CU_ASSERT(wait_for(&a, &a.messages, 1));
	CU_ASSERT_STRING_EQUAL(a.last, "answer");
	/* A message to itself. */
	a.sender.send(a.sender.arg, 1, TYPE + 1, "me", 2);
	CU_ASSERT(wait_for(&a, &a.messages, 2));
	CU_ASSERT_STRING_EQUAL(a.last, "me");
	loom_control_post(ca, on_post, &a);
	CU_ASSERT(wait_for(&a, &a.posts, 1));
	array = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	hosts = loom_hosts_build(array);
	g_array_free(array, TRUE);
	loom_control_set_hosts(ca, hosts);
	loom_hosts_release(hosts);
	CU_ASSERT(wait_for(&a, &a.hosts, 1));
	loom_control_drain(ca);
	CU_ASSERT(wait_for(&a, &a.drains, 1));
	loom_control_stop(ca);
	loom_control_free(ca);
	loom_control_free(cb);
}

/*
 * Messages to an unknown host or of an unknown type are counted and otherwise
 * ignored.
 */
static void
test_dropped(void)
{
	struct loom_counter *unresolved, *unknown;
	struct loom_control *control = control_new(1);
	struct probe probe = { .messages = 0 };
	int64_t before, before_unknown;

	unresolved = loom_counter("loom_control_unresolved_total", NULL, "");
	unknown = loom_counter("loom_control_unknown_type_total", NULL, "");
	before = loom_counter_value(unresolved);
	before_unknown = loom_counter_value(unknown);
	probe_add(control, &probe);
	CU_ASSERT(loom_control_start(control));
	probe.sender.send(probe.sender.arg, 77, TYPE, "x", 1);
	probe.sender.send(probe.sender.arg, 1, TYPE + 2, "x", 1);
	loom_control_post(control, on_post, &probe);
	CU_ASSERT(wait_for(&probe, &probe.posts, 1));
	loom_control_free(control);
	CU_ASSERT_EQUAL(loom_counter_value(unresolved), before + 1);
	CU_ASSERT_EQUAL(loom_counter_value(unknown), before_unknown + 1);
}

static const struct test_case tests[] = {
	{ "life", test_lifecycle },
	{ "dropped", test_dropped },
};

TEST_MAIN("control thread", tests)
