#ifndef LOOM_HANGUP_H
#define LOOM_HANGUP_H

/*
 * Notice that the other side of a socket went away while nobody reads it.
 *
 * libmicrohttpd does not look at the socket of a suspended connection, so a
 * caller that gives up would stay unnoticed until its answer is written and
 * its upstream would work for nobody.
 */

#include <talloc.h>
#include <tevent.h>

struct loom_hangup; /* one for each worker thread */
struct loom_hangup_watch;

/* Owned by the caller (talloc); NULL when out of memory or descriptors. */
struct loom_hangup *loom_hangup_new(TALLOC_CTX *, struct tevent_context *);

/*
 * Watch fd, which must stay open until the watch is freed.  gone is called
 * once, from the event loop.  Owned by the caller: talloc_free ends it.
 */
struct loom_hangup_watch *loom_hangup_watch(TALLOC_CTX *, struct loom_hangup *,
    int fd, void (*gone)(void *arg), void *arg);

#endif
