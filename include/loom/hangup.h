#ifndef LOOM_HANGUP_H
#define LOOM_HANGUP_H

/*
 * Detects that the remote side of a socket has closed it while nobody reads
 * from the socket.
 *
 * libmicrohttpd does not poll the socket of a suspended connection.  Without
 * this watch a caller that gives up would be noticed only when its response is
 * written, and the upstream would work on a request that nobody waits for.
 */

#include <talloc.h>
#include <tevent.h>

struct loom_hangup; /* one for each worker thread */
struct loom_hangup_watch;

/* Owned by the caller (talloc); NULL when out of memory or file descriptors. */
struct loom_hangup *loom_hangup_new(TALLOC_CTX *, struct tevent_context *);

/*
 * Watches fd, which must stay open until the watch is freed. on_hangup is
 * called at most once, from the event loop.  The watch is owned by the caller:
 * talloc_free() removes it.
 */
struct loom_hangup_watch *loom_hangup_watch(TALLOC_CTX *, struct loom_hangup *,
    int fd, void (*on_hangup)(void *arg), void *arg);

#endif
