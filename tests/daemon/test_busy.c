/*
 * Tests the utilization and the delay of an event loop.
 *
 * Guards against a saturated daemon that is not detected: at the service with
 * the least capacity, which has calls all the time, slots stay free, and
 * nothing else shows the overload until the thread that reads the platform runs
 * seconds late.
 */

#include <math.h>
#include <talloc.h>
#include <unistd.h>

#include "daemon/loop_delay.h"
#include "daemon/loop_utilization.h"
#include "loom/clock.h"
#include "support/test.h"

/*
 * Much longer than what the loop does between two waits. The tests rely on
 * nothing else about time and set no limit to their own duration.
 */
#define WAIT_MS 50

struct run {
	struct tevent_context *ev;
	unsigned left; /* remaining rounds */
	unsigned wait_ms; /* between two; 0: none */
};

static void next_round(struct run *run);

static void
on_timer(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	(void)ev;
	(void)timer;
	(void)now;
	next_round(arg);
}

static void
on_immediate(
    struct tevent_context *ev, struct tevent_immediate *immediate, void *arg)
{
	(void)ev;
	talloc_free(immediate);
	next_round(arg);
}

static void
next_round(struct run *run)
{
	if (run->left == 0)
		return;
	run->left--;
	if (run->wait_ms == 0) {
		tevent_schedule_immediate(tevent_create_immediate(run->ev),
		    run->ev, on_immediate, run);
		return;
	}
	tevent_add_timer(run->ev, run->ev,
	    tevent_timeval_current_ofs(0, run->wait_ms * 1000), on_timer, run);
}

static void
test_utilization(void)
{
	static const struct {
		const char *what;
		unsigned rounds, wait_ms;
		double least, most;
	} cases[] = {
		{ "never waits", 20000, 0, 1, 1 },
		{ "waits between events", 4, WAIT_MS, 0, 0.9999 },
	};
	struct loop_utilization utilization = { 0 };
	struct run run;
	double share;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run = (struct run){
			.ev = tevent_context_init(NULL),
			.left = cases[i].rounds,
			.wait_ms = cases[i].wait_ms,
		};
		utilization = (struct loop_utilization){ 0 };
		loop_utilization_start(&utilization, run.ev, loom_now_us());
		next_round(&run);
		while (run.left > 0)
			tevent_loop_once(run.ev);
		share = loop_utilization_read(&utilization, loom_now_us());
		TEST_CHECK(share >= cases[i].least && share <= cases[i].most,
		    "%s: %.4f", cases[i].what, share);
		talloc_free(run.ev);
	}
}

static void
on_readable(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	uint32_t *rounds = arg;

	(void)ev;
	(void)fde;
	(void)flags;
	(*rounds)++;
}

/*
 * A descriptor that is always readable keeps the loop from waiting for a
 * second. The loop has to pause in between, or on one core no other thread
 * would get to run.
 */
static void
test_pause_without_waits(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct loop_utilization utilization = { 0 };
	uint64_t begin_us = loom_now_us();
	uint32_t rounds = 0;
	int fds[2];
	double share;

	CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
	CU_ASSERT_EQUAL(write(fds[1], "x", 1), 1);
	tevent_add_fd(ev, ev, fds[0], TEVENT_FD_READ, on_readable, &rounds);
	loop_utilization_start(&utilization, ev, begin_us);
	while (loom_now_us() - begin_us < LOOM_US_PER_S)
		tevent_loop_once(ev);
	share = loop_utilization_read(&utilization, loom_now_us());
	TEST_CHECK(share < 0.99, "%.4f", share);
	TEST_CHECK(rounds > 1, "%u rounds", rounds);
	talloc_free(ev);
	close(fds[0]);
	close(fds[1]);
}

/* A wait that has not ended yet counts up to the time of the reading. */
static void
test_running_wait(void)
{
	struct loop_utilization utilization = { .last_read_us = 1000,
		.wait_start_us = 1200 };

	TEST_CHECK(fabs(loop_utilization_read(&utilization, 2000) - 0.2) < 1e-9,
	    "first");
	TEST_CHECK(
	    loop_utilization_read(&utilization, 3000) == 0, "still waiting");
	atomic_store(&utilization.wait_start_us, 0);
	atomic_store(&utilization.total_wait_us, 1900);
	TEST_CHECK(fabs(loop_utilization_read(&utilization, 4000) - 0.9) < 1e-9,
	    "waited for 100 us more");
}

/*
 * A pending probe counts with its age, a second one is not posted meanwhile,
 * and a completed one counts with the time that it took.
 */
static void
test_loop_delay(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct loom_mailbox *mailbox = loom_mailbox_new(ev, ev);
	struct loop_delay loop_delay = { 0 };
	uint64_t posted_us = loom_now_us();

	CU_ASSERT_EQUAL(loop_delay_read(&loop_delay, posted_us), 0);
	loop_delay_probe(&loop_delay, mailbox, posted_us);
	loop_delay_probe(
	    &loop_delay, mailbox, posted_us + WAIT_MS * LOOM_US_PER_MS);
	CU_ASSERT_EQUAL(
	    loop_delay_read(&loop_delay, posted_us + WAIT_MS * LOOM_US_PER_MS),
	    WAIT_MS * LOOM_US_PER_MS);
	usleep(WAIT_MS * LOOM_US_PER_MS);
	CU_ASSERT_EQUAL(tevent_loop_once(ev), 0);
	CU_ASSERT(loop_delay_read(&loop_delay, loom_now_us()) >=
	    WAIT_MS * LOOM_US_PER_MS);
	CU_ASSERT_EQUAL(atomic_load(&loop_delay.posted_us), 0);
	talloc_free(ev);
}

static const struct test_case tests[] = {
	{ "loop delay", test_loop_delay },
	{ "utilization", test_utilization },
	{ "pauses if it never waits", test_pause_without_waits },
	{ "reading during a wait", test_running_wait },
};

TEST_MAIN("busy", tests)
