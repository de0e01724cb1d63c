#ifndef LOOM_CONTROL_RESOLVER_H
#define LOOM_CONTROL_RESOLVER_H

/*
 * Resolves a host id to the host's control address.
 */

#include <talloc.h>

#include "loom/hosts.h"

struct resolver;

/* Owned by mem_ctx. */
struct resolver *resolver_new(TALLOC_CTX *mem_ctx);

/* Records an address that the host itself sent in a message. */
void resolver_learn(
    struct resolver *, uint64_t host_id, const char *address, uint64_t now_us);

/* Sets a fixed address, which has precedence over all others. */
void resolver_pin(struct resolver *, uint64_t host_id, const char *address);

/* Sets the host list to resolve by; acquires it. */
void resolver_set_hosts(struct resolver *, struct loom_hosts *);

/*
 * Returns NULL if no address is known.  Borrowed until the next call of any
 * function here.
 */
const char *resolver_find(
    const struct resolver *, uint64_t host_id, uint64_t now_us);

#endif
