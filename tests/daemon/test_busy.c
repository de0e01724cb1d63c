/*
 * How busy an event loop is: what counts as waiting.
 *
 * A worker beside the narrowest service has calls without end.  Its slots show
 * room, and nothing else tells that it is the daemon that is full, until the
 * thread that reads the platform comes seconds late.
 */

#include <math.h>
#include <talloc.h>
#include <unistd.h>

#include "daemon/busy.h"
#include "daemon/lag.h"
#include "loom/clock.h"
#include "support/test.h"

/* Long against what a loop does in between, and nothing else: no bound is put
 * on how long the test itself takes. */
#define WAIT_MS 50

struct run {
	struct tevent_context *ev;
	unsigned left; /* rounds to go */
	unsigned wait_ms; /* between two; 0: the next is due at once */
};

static void go_round(struct run *run);

static void
on_timer(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	(void)ev;
	(void)timer;
	(void)now;
	go_round(arg);
}

static void
on_immediate(
    struct tevent_context *ev, struct tevent_immediate *immediate, void *arg)
{
	(void)ev;
	talloc_free(immediate);
	go_round(arg);
}

static void
go_round(struct run *run)
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
test_busy(void)
{
	static const struct {
		const char *what;
		unsigned rounds, wait_ms;
		double least, most;
	} cases[] = {
		{ "always something to do", 20000, 0, 1, 1 },
		{ "waits between two events", 4, WAIT_MS, 0, 0.9999 },
	};
	struct busy busy = { 0 };
	struct run run;
	double share;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run = (struct run){
			.ev = tevent_context_init(NULL),
			.left = cases[i].rounds,
			.wait_ms = cases[i].wait_ms,
		};
		busy = (struct busy){ 0 };
		busy_watch(&busy, run.ev, loom_now_us());
		go_round(&run);
		while (run.left > 0)
			tevent_loop_once(run.ev);
		share = busy_read(&busy, loom_now_us());
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
 * A socket is readable each time that the loop looks, for a second.  On one
 * core no other thread would get to run: the loop rests in between.
 */
static void
test_rests(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct busy busy = { 0 };
	uint64_t begin_us = loom_now_us();
	uint32_t rounds = 0;
	int fds[2];
	double share;

	CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
	CU_ASSERT_EQUAL(write(fds[1], "x", 1), 1);
	tevent_add_fd(ev, ev, fds[0], TEVENT_FD_READ, on_readable, &rounds);
	busy_watch(&busy, ev, begin_us);
	while (loom_now_us() - begin_us < LOOM_US_PER_S)
		tevent_loop_once(ev);
	share = busy_read(&busy, loom_now_us());
	TEST_CHECK(share < 0.99, "%.4f", share);
	TEST_CHECK(rounds > 1, "%u rounds", rounds);
	talloc_free(ev);
	close(fds[0]);
	close(fds[1]);
}

/* The loop waits while it is read: that wait counts, though it goes on. */
static void
test_running_wait(void)
{
	struct busy busy = { .read_us = 1000, .waits_since_us = 1200 };

	TEST_CHECK(fabs(busy_read(&busy, 2000) - 0.2) < 1e-9, "first");
	TEST_CHECK(busy_read(&busy, 3000) == 0, "it waits still");
	atomic_store(&busy.waits_since_us, 0);
	atomic_store(&busy.waited_us, 1900);
	TEST_CHECK(
	    fabs(busy_read(&busy, 4000) - 0.9) < 1e-9, "waited 100 us more");
}

/* The probe waits behind all that was ready before it, and one that has not
 * come back yet counts with the time that it is away. */
static void
test_lag(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct loom_mailbox *mailbox = loom_mailbox_new(ev, ev);
	struct lag lag = { 0 };
	uint64_t asked_us = loom_now_us();

	CU_ASSERT_EQUAL(lag_read(&lag, asked_us), 0);
	lag_probe(&lag, mailbox, asked_us);
	lag_probe(&lag, mailbox, asked_us + WAIT_MS * LOOM_US_PER_MS);
	CU_ASSERT_EQUAL(lag_read(&lag, asked_us + WAIT_MS * LOOM_US_PER_MS),
	    WAIT_MS * LOOM_US_PER_MS);
	usleep(WAIT_MS * LOOM_US_PER_MS);
	CU_ASSERT_EQUAL(tevent_loop_once(ev), 0);
	CU_ASSERT(lag_read(&lag, loom_now_us()) >= WAIT_MS * LOOM_US_PER_MS);
	CU_ASSERT_EQUAL(atomic_load(&lag.asked_us), 0);
	talloc_free(ev);
}

static const struct test_case tests[] = {
	{ "lag", test_lag },
	{ "busy", test_busy },
	{ "rests", test_rests },
	{ "a wait that goes on", test_running_wait },
};

TEST_MAIN("busy", tests)
