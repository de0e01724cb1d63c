/*
 * A separate epoll set, which tevent polls in turn. tevent itself can only wait
 * for a socket to become readable or writable.  A pipelined request would make
 * a socket readable and keep the event loop busy, while EPOLLRDHUP alone is not
 * reported until the remote side closes.
 *
 * A caller that shuts down only its sending side is treated as disconnected as
 * well: the two cannot be told apart, and HTTP clients do not do so while they
 * wait for a response.
 */

#include <sys/epoll.h>
#include <unistd.h>

#include "loom/hangup.h"

#define EVENTS_PER_DISPATCH 64

struct loom_hangup {
	int epoll_fd;
	struct tevent_fd *fde; /* owned */
};

struct loom_hangup_watch {
	struct loom_hangup *hangup; /* borrowed */
	int fd;
	void (*on_hangup)(void *arg);
	void *arg; /* borrowed */
};

static void
dispatch(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_hangup *hangup = arg;
	struct loom_hangup_watch *watch;
	struct epoll_event event;
	int budget = EVENTS_PER_DISPATCH;

	(void)ev;
	(void)fde;
	(void)flags;
	/* One event at a time: a callback may free any other watch. */
	while (
	    budget-- > 0 && epoll_wait(hangup->epoll_fd, &event, 1, 0) == 1) {
		watch = event.data.ptr;
		epoll_ctl(hangup->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
		watch->on_hangup(watch->arg);
	}
}

static int
hangup_destructor(struct loom_hangup *hangup)
{
	TALLOC_FREE(hangup->fde);
	close(hangup->epoll_fd);
	return 0;
}

struct loom_hangup *
loom_hangup_new(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loom_hangup *hangup = talloc_zero(mem, struct loom_hangup);

	if (hangup == NULL)
		return NULL;
	hangup->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (hangup->epoll_fd < 0)
		goto error;
	talloc_set_destructor(hangup, hangup_destructor);
	hangup->fde = tevent_add_fd(
	    ev, hangup, hangup->epoll_fd, TEVENT_FD_READ, dispatch, hangup);
	if (hangup->fde == NULL)
		goto error;
	return hangup;

error:
	talloc_free(hangup);
	return NULL;
}

static int
watch_destructor(struct loom_hangup_watch *watch)
{
	epoll_ctl(watch->hangup->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
	return 0;
}

struct loom_hangup_watch *
loom_hangup_watch(TALLOC_CTX *mem, struct loom_hangup *hangup, int fd,
    void (*on_hangup)(void *arg), void *arg)
{
	struct loom_hangup_watch *watch;
	struct epoll_event event;

	watch = talloc_zero(mem, struct loom_hangup_watch);
	if (watch == NULL)
		return NULL;
	watch->hangup = hangup;
	watch->fd = fd;
	watch->on_hangup = on_hangup;
	watch->arg = arg;
	event.events = EPOLLRDHUP;
	event.data.ptr = watch;
	if (epoll_ctl(hangup->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0) {
		talloc_free(watch);
		return NULL;
	}
	talloc_set_destructor(watch, watch_destructor);
	return watch;
}
