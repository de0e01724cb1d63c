#ifndef LOOM_PEER_SERVER_H
#define LOOM_PEER_SERVER_H

/*
 * The HTTP side that other daemons call, on one worker thread: the same
 * exchanges as loom/server.h makes, on http_parser.  Plain HTTP/1.1 alone:
 * callers, who may send anything and by TLS, have loom/server.h.
 */

#include "loom/server.h"
#include "loom/sockets.h"

struct loom_peer_server;

/* Serve; owned by the caller (talloc), the sockets are borrowed.  options->tls
 * is not looked at.  NULL with LOOM_START. */
struct loom_peer_server *loom_peer_server_new(TALLOC_CTX *,
    struct tevent_context *, struct loom_sockets *,
    const struct loom_server_options *, GError **error);

/* As loom_server_drain() and loom_server_hold_off(). */
void loom_peer_server_drain(struct loom_peer_server *);
void loom_peer_server_hold_off(struct loom_peer_server *);

#endif
