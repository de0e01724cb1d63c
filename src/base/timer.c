/*
 * A heap of deadlines and one timerfd, armed for the earliest of them.
 *
 * Arming the descriptor is a system call, so it stays armed when the earliest
 * timer is cancelled: it then expires without effect and is armed again.
 */

#include <errno.h>
#include <stddef.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "base/deadlines.h"
#include "loom/clock.h"
#include "loom/log.h"
#include "loom/timer.h"

#define NS_PER_US 1000
#define NOT_ARMED UINT64_MAX

struct loom_timers {
	struct tevent_context *ev; /* borrowed */
	struct deadlines deadlines;
	int fd; /* owned */
	struct tevent_fd *fde; /* owned: of fd; NULL while no timer is set */
	uint64_t armed_us; /* when fd expires, or NOT_ARMED */
	bool running; /* expired timers */
	bool freed; /* by one of them */
};

struct loom_timer {
	struct deadline deadline;
	struct loom_timers *timers; /* borrowed; NULL once they are freed */
	void (*expired)(void *arg);
	void *arg; /* borrowed */
};

static struct loom_timer *
timer_of_deadline(struct deadline *deadline)
{
	return (struct loom_timer *)(void *)((char *)deadline -
	    offsetof(struct loom_timer, deadline));
}

/* Arms the descriptor, which makes it unreadable until then. */
static bool
set_descriptor(struct loom_timers *timers, uint64_t at_us)
{
	struct itimerspec spec = { 0 };

	spec.it_value.tv_sec = (time_t)(at_us / LOOM_US_PER_S);
	spec.it_value.tv_nsec = (long)(at_us % LOOM_US_PER_S * NS_PER_US);
	if (timerfd_settime(timers->fd, TFD_TIMER_ABSTIME, &spec, NULL) != 0) {
		loom_log(LOOM_LOG_ERROR, "base", LOOM_INTERNAL,
		    "cannot set a timer: %s", strerror(errno));
		timers->armed_us = NOT_ARMED;
		return false;
	}
	timers->armed_us = at_us;
	return true;
}

static uint64_t
earliest_us(const struct loom_timers *timers)
{
	const struct deadline *first = deadlines_first(&timers->deadlines);

	return first == NULL ? NOT_ARMED : first->at_us;
}

static void
run_timer(struct loom_timer *timer)
{
	void (*expired)(void *arg) = timer->expired;
	void *arg = timer->arg;

	talloc_free(timer);
	expired(arg);
}

static void
run_expired(struct loom_timers *timers, uint64_t now_us)
{
	timers->running = true;
	while (earliest_us(timers) <= now_us)
		run_timer(
		    timer_of_deadline(deadlines_first(&timers->deadlines)));
	timers->running = false;
}

static void
unwatch_descriptor(struct loom_timers *timers)
{
	TALLOC_FREE(timers->fde);
	timers->armed_us = NOT_ARMED;
}

static void
on_descriptor(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_timers *timers = arg;

	(void)ev;
	(void)fde;
	(void)flags;
	run_expired(timers, loom_now_us());
	if (timers->freed)
		talloc_free(timers);
	else if (deadlines_first(&timers->deadlines) == NULL)
		unwatch_descriptor(timers);
	else
		set_descriptor(timers, earliest_us(timers));
}

/* A loop ends when it has no events left, so the descriptor is among them only
 * while a timer is set. */
static bool
watch_descriptor(struct loom_timers *timers)
{
	if (timers->fde == NULL)
		timers->fde = tevent_add_fd(timers->ev, timers, timers->fd,
		    TEVENT_FD_READ, on_descriptor, timers);
	return timers->fde != NULL;
}

static void
release(struct loom_timers *timers)
{
	struct deadline *first;

	while ((first = deadlines_first(&timers->deadlines)) != NULL) {
		deadlines_remove(&timers->deadlines, first);
		timer_of_deadline(first)->timers = NULL;
	}
	deadlines_clear(&timers->deadlines);
	TALLOC_FREE(timers->fde);
	close(timers->fd);
}

/* A set that one of its timers frees is kept until that one has returned. */
static int
timers_destructor(struct loom_timers *timers)
{
	if (!timers->freed)
		release(timers);
	timers->freed = true;
	return timers->running ? -1 : 0;
}

struct loom_timers *
loom_timers_new(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loom_timers *timers = talloc_zero(mem, struct loom_timers);

	if (timers == NULL)
		return NULL;
	timers->ev = ev;
	timers->armed_us = NOT_ARMED;
	/* The clock of loom_now_us(). */
	timers->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (timers->fd < 0) {
		talloc_free(timers);
		return NULL;
	}
	talloc_set_destructor(timers, timers_destructor);
	return timers;
}

static int
timer_destructor(struct loom_timer *timer)
{
	if (timer->timers != NULL)
		deadlines_remove(&timer->timers->deadlines, &timer->deadline);
	return 0;
}

struct loom_timer *
loom_timer_add(struct loom_timers *timers, TALLOC_CTX *mem, uint64_t delay_us,
    void (*expired)(void *arg), void *arg)
{
	struct loom_timer *timer = talloc_zero(mem, struct loom_timer);
	const uint64_t at_us = loom_now_us() + delay_us;

	if (timer == NULL) {
		loom_log(LOOM_LOG_ERROR, "base", LOOM_NO_MEMORY,
		    "cannot set a timer");
		return NULL;
	}
	timer->timers = timers;
	timer->expired = expired;
	timer->arg = arg;
	talloc_set_destructor(timer, timer_destructor);
	deadlines_add(&timers->deadlines, &timer->deadline, at_us);
	/* While timers expire, the descriptor is armed after the last one. */
	if (!timers->running && at_us < timers->armed_us &&
	    (!watch_descriptor(timers) || !set_descriptor(timers, at_us))) {
		talloc_free(timer);
		return NULL;
	}
	return timer;
}
