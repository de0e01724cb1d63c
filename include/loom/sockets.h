#ifndef LOOM_SOCKETS_H
#define LOOM_SOCKETS_H

/*
 * The sockets of one thread's HTTP client and servers, in one epoll set that
 * the event loop of the thread watches as a single descriptor.
 */

#include <talloc.h>
#include <tevent.h>

struct loom_sockets;

/* Owned by the caller (talloc); must outlive the client and the servers that
 * use it.  NULL if out of memory or descriptors. */
struct loom_sockets *loom_sockets_new(TALLOC_CTX *, struct tevent_context *);

#endif
