#ifndef LOOM_DAEMON_WITNESS_H
#define LOOM_DAEMON_WITNESS_H

/*
 * The idle connections to the own upstream by which a crash is told from one
 * broken connection (decide/gone.h).  No byte is ever sent on them.
 */

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct witnesses;

/* Owned by the context; looks at them on the event loop from now on. */
struct witnesses *witnesses_new(
    TALLOC_CTX *, struct tevent_context *, const struct sockaddr_in *upstream);

/* A call broke: whether all of them went with it.  Any thread. */
bool witnesses_gone(struct witnesses *, uint64_t now_us);

#endif
