/*
 * An epoll set for sockets, and one timer for all deadlines.
 *
 * tevent fetches one event per system call.  Fetching all pending events at
 * once saves the most processor time in a daemon that is short of it.  A socket
 * stays in the epoll set as long as it is open and watched for any event.
 */

#include <stddef.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "http/sockets.h"
#include "loom/clock.h"
#include "loom/log.h"
#include "loom/timer.h"

/* Events fetched at once; the rest is left to the next loop iteration. */
#define EVENTS_MAX 64

struct loom_sockets {
	int epoll_fd; /* owned */
	struct tevent_fd *fde; /* owned: of epoll_fd */
	struct watched_socket *closed_sockets; /* freed after dispatching */
	bool dispatching;
	struct deadlines deadlines;
	struct loom_timers *timers; /* owned */
	struct loom_timer *timer; /* owned: expires at timer_us; or NULL */
	uint64_t timer_us;
	uint8_t read_buffer[SOCKETS_READ_BUFFER_SIZE];
};

static bool
update_epoll(struct watched_socket *socket, int operation, uint32_t events)
{
	struct epoll_event event = {
		.events = events,
		.data = { .ptr = socket },
	};

	return epoll_ctl(socket->sockets->epoll_fd, operation, socket->fd,
		   &event) == 0;
}

bool
sockets_watch(struct watched_socket *socket, uint32_t events)
{
	int operation = EPOLL_CTL_MOD;

	if (events == socket->events)
		return true;
	if (events == 0)
		operation = EPOLL_CTL_DEL;
	else if (socket->events == 0)
		operation = EPOLL_CTL_ADD;
	if (!update_epoll(socket, operation, events))
		return false;
	socket->events = events;
	return true;
}

void
sockets_close(struct watched_socket *socket)
{
	struct loom_sockets *sockets = socket->sockets;

	if (socket->fd < 0)
		return;
	/* Closing the descriptor removes it from the epoll set. */
	close(socket->fd);
	socket->fd = -1;
	if (sockets->dispatching) {
		socket->next_closed = sockets->closed_sockets;
		sockets->closed_sockets = socket;
	} else {
		talloc_free(socket);
	}
}

void
sockets_begin_dispatch(struct loom_sockets *sockets)
{
	sockets->dispatching = true;
}

void
sockets_end_dispatch(struct loom_sockets *sockets)
{
	struct watched_socket *socket;

	sockets->dispatching = false;
	while ((socket = sockets->closed_sockets) != NULL) {
		sockets->closed_sockets = socket->next_closed;
		talloc_free(socket);
	}
}

static struct sockets_timer *
timer_of_deadline(struct deadline *deadline)
{
	return (struct sockets_timer *)(void *)((char *)deadline -
	    offsetof(struct sockets_timer, deadline));
}

static void arm_timer(struct loom_sockets *);

static void
run_expired(struct loom_sockets *sockets)
{
	const uint64_t now_us = loom_now_us();
	struct deadline *first;

	while ((first = deadlines_first(&sockets->deadlines)) != NULL &&
	    first->at_us <= now_us) {
		deadlines_remove(&sockets->deadlines, first);
		timer_of_deadline(first)->on_expired(timer_of_deadline(first));
	}
	arm_timer(sockets);
}

static void
on_timer(void *arg)
{
	struct loom_sockets *sockets = arg;

	sockets->timer = NULL;
	sockets_begin_dispatch(sockets);
	run_expired(sockets);
	sockets_end_dispatch(sockets);
}

/*
 * Sets the timer to the earliest deadline.  It is not postponed if that
 * deadline is cleared: it then fires without effect and is set to the next one.
 */
static void
arm_timer(struct loom_sockets *sockets)
{
	const struct deadline *first = deadlines_first(&sockets->deadlines);

	if (first == NULL ||
	    (sockets->timer != NULL && sockets->timer_us <= first->at_us))
		return;
	TALLOC_FREE(sockets->timer);
	sockets->timer_us = first->at_us;
	sockets->timer = loom_timer_add(sockets->timers, sockets,
	    first->at_us - MIN(first->at_us, loom_now_us()), on_timer, sockets);
	if (sockets->timer == NULL)
		loom_log(LOOM_LOG_ERROR, "http", LOOM_NO_MEMORY,
		    "cannot set a timer: requests may time out late");
}

void
sockets_set_timer(
    struct loom_sockets *sockets, struct sockets_timer *timer, uint64_t at_us)
{
	deadlines_remove(&sockets->deadlines, &timer->deadline);
	deadlines_add(&sockets->deadlines, &timer->deadline, at_us);
	arm_timer(sockets);
}

void
sockets_clear_timer(struct loom_sockets *sockets, struct sockets_timer *timer)
{
	deadlines_remove(&sockets->deadlines, &timer->deadline);
}

uint8_t *
sockets_read_buffer(struct loom_sockets *sockets)
{
	return sockets->read_buffer;
}

static void
on_epoll_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_sockets *sockets = arg;
	struct epoll_event events[EVENTS_MAX];
	struct watched_socket *socket;
	int n, i;

	(void)ev;
	(void)fde;
	(void)flags;
	n = epoll_wait(sockets->epoll_fd, events, EVENTS_MAX, 0);
	sockets_begin_dispatch(sockets);
	for (i = 0; i < n; i++) {
		socket = events[i].data.ptr;
		if (socket->fd >= 0)
			socket->on_ready(socket, events[i].events);
	}
	sockets_end_dispatch(sockets);
}

static int
sockets_destructor(struct loom_sockets *sockets)
{
	TALLOC_FREE(sockets->fde);
	close(sockets->epoll_fd);
	deadlines_clear(&sockets->deadlines);
	return 0;
}

struct loom_sockets *
loom_sockets_new(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loom_sockets *sockets = talloc_zero(mem, struct loom_sockets);

	if (sockets == NULL)
		return NULL;
	sockets->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (sockets->epoll_fd < 0) {
		talloc_free(sockets);
		return NULL;
	}
	talloc_set_destructor(sockets, sockets_destructor);
	sockets->fde = tevent_add_fd(ev, sockets, sockets->epoll_fd,
	    TEVENT_FD_READ, on_epoll_ready, sockets);
	sockets->timers = loom_timers_new(sockets, ev);
	if (sockets->fde == NULL || sockets->timers == NULL) {
		talloc_free(sockets);
		return NULL;
	}
	return sockets;
}
