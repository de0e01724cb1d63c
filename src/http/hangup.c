/*
 * An epoll set of our own, itself watched by tevent.  tevent asks epoll for
 * readable and writable sockets only; a pipelined request would make a socket
 * readable and keep the loop busy, while EPOLLRDHUP alone stays quiet until
 * the other side closes.
 *
 * A caller that only shuts down its sending side is taken for gone as well:
 * HTTP clients do not do so while they wait, and the two cannot be told
 * apart.
 */

#include <sys/epoll.h>
#include <unistd.h>

#include "loom/hangup.h"

#define EVENTS_AT_ONCE 64

struct loom_hangup {
	int epoll_fd;
	struct tevent_fd *fde; /* owned */
};

struct loom_hangup_watch {
	struct loom_hangup *hangup; /* borrowed */
	int fd;
	void (*gone)(void *arg);
	void *arg; /* borrowed */
};

static void
dispatch(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_hangup *hangup = arg;
	struct loom_hangup_watch *watch;
	struct epoll_event event;
	int budget = EVENTS_AT_ONCE;

	(void)ev;
	(void)fde;
	(void)flags;
	/* One at a time: a callback may free any other watch. */
	while (
	    budget-- > 0 && epoll_wait(hangup->epoll_fd, &event, 1, 0) == 1) {
		watch = event.data.ptr;
		epoll_ctl(hangup->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
		watch->gone(watch->arg);
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
    void (*gone)(void *arg), void *arg)
{
	struct loom_hangup_watch *watch;
	struct epoll_event event;

	watch = talloc_zero(mem, struct loom_hangup_watch);
	if (watch == NULL)
		return NULL;
	watch->hangup = hangup;
	watch->fd = fd;
	watch->gone = gone;
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
