#ifndef LOOM_PEER_SERVER_H
#define LOOM_PEER_SERVER_H

/*
 * HTTP server for other daemons, on one worker thread.  It creates the same
 * exchanges as loom/server.h, but is based on http_parser and supports only
 * HTTP/1.1 and HTTP/1.0 without TLS.  Callers, who may send anything and may
 * use TLS, are served by loom/server.h.
 */

#include "loom/server.h"
#include "loom/sockets.h"

struct loom_peer_server;

/* Starts serving; owned by the caller (talloc), the sockets are borrowed.
 * options->tls is ignored.  Returns NULL with LOOM_START on failure. */
struct loom_peer_server *loom_peer_server_new(TALLOC_CTX *,
    struct tevent_context *, struct loom_sockets *,
    const struct loom_server_options *, GError **error);

/* Like loom_server_drain() and loom_server_drop_new_connections(). */
void loom_peer_server_drain(struct loom_peer_server *);
void loom_peer_server_drop_new_connections(struct loom_peer_server *);

#endif
