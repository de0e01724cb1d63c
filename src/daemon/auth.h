#ifndef LOOM_DAEMON_AUTH_H
#define LOOM_DAEMON_AUTH_H

/*
 * Authenticates requests: by a key, by the context given to the local
 * upstream, or by a peer's context.
 */

#include "daemon/call.h"

/* Looks up the client's key; *key is borrowed from the call's manifest. */
enum loom_result auth_key(struct call *, const struct loom_key **key);

/* Verifies the context of a nested call of the local upstream.  Fills in
 * the call's context and *parent, the call that it belongs to. */
enum loom_result auth_upstream_context(
    struct call *, const char *text, struct loom_live_call *parent);

/* Verifies a peer's context and fills in the call's context and deadline. */
enum loom_result auth_peer_context(struct call *);

/* Whether the manifest still grants the call's key to its team. */
bool auth_key_granted(
    const struct loom_manifest *, const struct loom_context *);

#endif
