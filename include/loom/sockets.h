#ifndef LOOM_SOCKETS_H
#define LOOM_SOCKETS_H

/*
 * The sockets of one thread's HTTP client and servers, in one epoll set that
 * its event loop watches as one descriptor.
 */

#include <talloc.h>
#include <tevent.h>

struct loom_sockets;

/* Owned by the caller (talloc), and to be freed after whoever uses it; NULL
 * when out of memory or descriptors. */
struct loom_sockets *loom_sockets_new(TALLOC_CTX *, struct tevent_context *);

#endif
