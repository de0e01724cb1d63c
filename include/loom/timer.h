#ifndef LOOM_TIMER_H
#define LOOM_TIMER_H

/*
 * Timers of an event loop that run by loom_now_us().
 *
 * tevent keeps its own timers by the time of day: a clock that is set back by
 * some seconds delays each of them by as much, and one that is set ahead makes
 * them expire early.  No other module arms a timer of tevent.
 *
 * All timers of a set belong to the thread that runs its event loop.
 */

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct loom_timers;
struct loom_timer;

/*
 * Returns a set of timers, owned by mem; ev is borrowed.  NULL if there is no
 * memory or no file descriptor left.
 */
struct loom_timers *loom_timers_new(TALLOC_CTX *mem, struct tevent_context *ev);

/*
 * Calls expired(arg) once, delay_us from now.  The timer is owned by mem, and
 * freeing it cancels it.  It is freed before the call, so expired() must not
 * free it, but may free mem.  Returns NULL, with a line in the log, if it
 * cannot be set.
 */
struct loom_timer *loom_timer_add(struct loom_timers *, TALLOC_CTX *mem,
    uint64_t delay_us, void (*expired)(void *arg), void *arg);

#endif
