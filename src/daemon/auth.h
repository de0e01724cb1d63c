#ifndef LOOM_DAEMON_AUTH_H
#define LOOM_DAEMON_AUTH_H

/*
 * Whose request it is: by a key, by the context handed to the own upstream,
 * or by a peer's context.
 */

#include "daemon/call.h"

/* The caller's key; *key is borrowed from the call's manifest. */
enum loom_result auth_key(struct call *, const struct loom_key **key);

/* The context of the own upstream's call; fills the call's context with the
 * next hop's. */
enum loom_result auth_upstream_context(
    struct call *, const char *text, struct loom_live_call *parent);

/* A peer's context; fills the call's context and deadline. */
enum loom_result auth_peer_context(struct call *);

/* Whether the key that brought a call is still granted to its team. */
bool auth_key_granted(
    const struct loom_manifest *, const struct loom_context *);

#endif
