#ifndef LOOM_HTTP_SOCKETS_H
#define LOOM_HTTP_SOCKETS_H

/*
 * Internal interface of loom/sockets.h for the HTTP client and server: watching
 * sockets, closing them while events are dispatched, and timers.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/deadlines.h"
#include "loom/sockets.h"

/* Size of the read buffer. */
#define SOCKETS_READ_BUFFER_SIZE (32 * 1024)

/*
 * A socket in the epoll set.  It is the first member of its owner, which is
 * allocated by talloc and freed by sockets_close().
 */
struct watched_socket {
	struct loom_sockets *sockets; /* borrowed */
	int fd; /* owned; -1 when closed */
	uint32_t events; /* set with epoll_ctl(); 0: not in the epoll set */
	void (*on_ready)(struct watched_socket *, uint32_t events);
	struct watched_socket *next_closed;
};

/* A one-shot timer; embedded in its owner. */
struct sockets_timer {
	struct deadline deadline;
	void (*on_expired)(struct sockets_timer *);
};

/*
 * Watch a socket for events (EPOLLIN etc.).  0 removes it from the epoll set:
 * otherwise epoll would report errors and hangups over and over.  False if
 * epoll_ctl() fails.
 */
bool sockets_watch(struct watched_socket *, uint32_t events);

/*
 * Close the socket and free its owner.  While events are dispatched, the owner
 * is freed only after the batch, since a later event may still refer to it.
 */
void sockets_close(struct watched_socket *);

/*
 * Between these two calls, closed sockets' owners are not freed.  Used while
 * events are dispatched, and around other code that works on an owner and may
 * close its socket.
 */
void sockets_begin_dispatch(struct loom_sockets *);
void sockets_end_dispatch(struct loom_sockets *);

/* Call timer->expired at at_us, unless the timer is set again or cleared. */
void sockets_set_timer(
    struct loom_sockets *, struct sockets_timer *, uint64_t at_us);
void sockets_clear_timer(struct loom_sockets *, struct sockets_timer *);

/* Read buffer of SOCKETS_READ_BUFFER_SIZE bytes, shared by all sockets of the
 * thread. */
uint8_t *sockets_read_buffer(struct loom_sockets *);

#endif
