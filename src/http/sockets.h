#ifndef LOOM_HTTP_SOCKETS_H
#define LOOM_HTTP_SOCKETS_H

/*
 * What client and server need of loom/sockets.h: to wait for a socket, to close
 * one while events are taken, and to be called at a time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "http/deadlines.h"
#include "loom/sockets.h"

/* Read at once from a socket. */
#define SOCKETS_BLOCK (32 * 1024)

/* A socket and whose it is; embedded in its owner, which is a talloc'd block
 * with this as its first member. */
struct watched_socket {
	struct loom_sockets *sockets; /* borrowed */
	int fd; /* owned; -1 when closed */
	uint32_t events; /* as epoll was told; 0: not in its set */
	void (*ready)(struct watched_socket *, uint32_t events);
	struct watched_socket *next_closed;
};

/* A time to be called at; embedded like a socket. */
struct timed {
	struct deadline deadline;
	void (*expired)(struct timed *);
};

/* Wait for these events (EPOLLIN and its like); 0: for none, errors neither,
 * since they would be told again and again.  False when the kernel refuses. */
bool sockets_watch(struct watched_socket *, uint32_t events);

/* Close the socket, and free its owner once no event can name it any more, and
 * no turn is under way. */
void sockets_close(struct watched_socket *);

/* A turn in which owners are not freed: events, and whatever else works on an
 * owner that may be closed by it. */
void sockets_begin_turn(struct loom_sockets *);
void sockets_end_turn(struct loom_sockets *);

/* Call timed->expired at that time, unless it is set anew or cleared. */
void sockets_set_time(struct loom_sockets *, struct timed *, uint64_t at_us);
void sockets_clear_time(struct loom_sockets *, struct timed *);

/* For whatever is read; each read overwrites the one before. */
uint8_t *sockets_block(struct loom_sockets *);

#endif
