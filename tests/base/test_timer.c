/*
 * Timers beside a clock that is set by the test: the functions that read the
 * time of day are defined here, so libtevent calls them too.
 */

#include <glib.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>

#include "loom/clock.h"
#include "loom/timer.h"
#include "support/test.h"

#define DELAY_US (20 * LOOM_US_PER_MS)
#define HOUR_S 3600
/* A loop that waits longer than this has lost its timer. */
#define LOST_US (5 * LOOM_US_PER_S)
#define TIMERS 50

static int64_t day_offset_s;

/* Overrides the function of the C library. */
int
gettimeofday(struct timeval *restrict tv, void *restrict zone)
{
	uint64_t wall_ns = loom_wall_ns();

	(void)zone;
	tv->tv_sec = (time_t)(wall_ns / 1000000000) + day_offset_s;
	tv->tv_usec = (suseconds_t)(wall_ns / 1000 % LOOM_US_PER_S);
	return 0;
}

struct fixture {
	struct tevent_context *ev; /* owned, like timers */
	struct loom_timers *timers;
	struct loom_timer *guard; /* ends a run whose timer is lost */
	uint64_t expired_us; /* 0: not yet */
	uint32_t expired; /* number of timers */
	bool lost;
};

static void
on_lost(void *arg)
{
	struct fixture *f = arg;

	f->lost = true;
}

static void
on_expired(void *arg)
{
	struct fixture *f = arg;

	f->expired_us = loom_now_us();
	f->expired++;
}

static void
setup(struct fixture *f)
{
	day_offset_s = 0;
	*f = (struct fixture){ .ev = tevent_context_init(NULL) };
	f->timers = loom_timers_new(f->ev, f->ev);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->timers);
	f->guard = loom_timer_add(f->timers, f->ev, LOST_US, on_lost, f);
}

static void
run_until_expired(struct fixture *f, uint32_t n)
{
	while (f->expired < n && !f->lost)
		tevent_loop_once(f->ev);
	CU_ASSERT_FALSE(f->lost);
}

static void
teardown(struct fixture *f)
{
	talloc_free(f->ev);
	day_offset_s = 0;
}

static void
run_clock_step(int64_t step_s)
{
	struct fixture f;
	uint64_t start_us;

	setup(&f);
	start_us = loom_now_us();
	loom_timer_add(f.timers, f.ev, DELAY_US, on_expired, &f);
	day_offset_s = step_s;
	run_until_expired(&f, 1);
	TEST_CHECK(f.expired_us - start_us >= DELAY_US, "after %d us",
	    (int)(f.expired_us - start_us));
	teardown(&f);
}

/* A timer is late by the time that the clock was set back. */
static void
test_set_back(void)
{
	run_clock_step(-HOUR_S);
}

/* A timer expires at once when the clock is set ahead. */
static void
test_set_ahead(void)
{
	run_clock_step(HOUR_S);
}

struct ordered_timer {
	struct fixture *fixture;
	uint64_t delay_us;
	struct loom_timer *timer; /* owned */
	bool cancelled;
	bool expired;
};

static uint64_t last_expired_delay_us;

static void
on_ordered_expired(void *arg)
{
	struct ordered_timer *ordered = arg;

	CU_ASSERT_TRUE(ordered->delay_us >= last_expired_delay_us);
	CU_ASSERT_FALSE(ordered->cancelled);
	last_expired_delay_us = ordered->delay_us;
	ordered->expired = true;
	ordered->fixture->expired++;
}

/* Timers run in the order of their deadlines, and those cancelled do not. */
static void
test_order(void)
{
	struct ordered_timer all[TIMERS];
	struct loom_random random = test_random_new(1);
	struct fixture f;
	uint32_t left = 0;
	size_t i;

	setup(&f);
	last_expired_delay_us = 0;
	for (i = 0; i < TIMERS; i++) {
		all[i] = (struct ordered_timer){
			.fixture = &f,
			.delay_us = loom_random_below(&random, DELAY_US),
			.cancelled = loom_random_below(&random, 2) == 0,
		};
		all[i].timer = loom_timer_add(f.timers, f.ev, all[i].delay_us,
		    on_ordered_expired, &all[i]);
		left += all[i].cancelled ? 0 : 1;
	}
	for (i = 0; i < TIMERS; i++) {
		if (all[i].cancelled)
			TALLOC_FREE(all[i].timer);
	}
	run_until_expired(&f, left);
	for (i = 0; i < TIMERS; i++)
		CU_ASSERT_EQUAL(all[i].expired, !all[i].cancelled);
	test_random_free(&random);
	teardown(&f);
}

static void
add_again(void *arg)
{
	struct fixture *f = arg;

	on_expired(f);
	if (f->expired < TIMERS)
		loom_timer_add(f->timers, f->ev, 0, add_again, f);
}

/* A timer that sets itself again without a delay does not stop. */
static void
test_set_again(void)
{
	struct fixture f;

	setup(&f);
	loom_timer_add(f.timers, f.ev, 0, add_again, &f);
	run_until_expired(&f, TIMERS);
	teardown(&f);
}

/* A timer is lost if an earlier one, for which the descriptor is armed, is
 * cancelled. */
static void
test_cancel_first(void)
{
	struct fixture f;
	struct loom_timer *first;

	setup(&f);
	first = loom_timer_add(f.timers, f.ev, DELAY_US / 2, on_lost, &f);
	loom_timer_add(f.timers, f.ev, DELAY_US, on_expired, &f);
	talloc_free(first);
	run_until_expired(&f, 1);
	teardown(&f);
}

static void
free_timers(void *arg)
{
	struct fixture *f = arg;

	on_expired(f);
	TALLOC_FREE(f->timers);
}

/* A set that is freed by one of its timers runs no other. */
static void
test_free_in_timer(void)
{
	struct fixture f;
	struct loom_timer *other;

	setup(&f);
	loom_timer_add(f.timers, f.ev, 0, free_timers, &f);
	other = loom_timer_add(f.timers, f.ev, 0, on_lost, &f);
	run_until_expired(&f, 1);
	talloc_free(other); /* outlives the set */
	teardown(&f);
}

/* A loop goes on for ever though no timer is set any more. */
static void
test_loop_ends(void)
{
	struct fixture f;

	setup(&f);
	TALLOC_FREE(f.guard);
	loom_timer_add(f.timers, f.ev, DELAY_US, on_expired, &f);
	CU_ASSERT_EQUAL(tevent_loop_wait(f.ev), 0);
	CU_ASSERT_EQUAL(f.expired, 1);
	loom_timer_add(f.timers, f.ev, DELAY_US, on_expired, &f);
	CU_ASSERT_EQUAL(tevent_loop_wait(f.ev), 0);
	CU_ASSERT_EQUAL(f.expired, 2);
	teardown(&f);
}

static const struct test_case tests[] = {
	{ "set-back", test_set_back },
	{ "set-ahead", test_set_ahead },
	{ "order", test_order },
	{ "set-again", test_set_again },
	{ "cancel-first", test_cancel_first },
	{ "free-in-timer", test_free_in_timer },
	{ "loop-ends", test_loop_ends },
};

TEST_MAIN("timer", tests)
