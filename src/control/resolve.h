#ifndef LOOM_CONTROL_RESOLVE_H
#define LOOM_CONTROL_RESOLVE_H

/*
 * From a host's id to its control address.
 */

#include <talloc.h>

#include "loom/hosts.h"

struct resolver;

/* Owned by mem_ctx. */
struct resolver *resolver_new(TALLOC_CTX *mem_ctx);

/* An address that a host itself gave in a message. */
void resolver_learn(
    struct resolver *, uint64_t host_id, const char *address, uint64_t now_us);

/* A fixed address. */
void resolver_pin(struct resolver *, uint64_t host_id, const char *address);

/* Resolve by this list from now on; acquired. */
void resolver_set_hosts(struct resolver *, struct loom_hosts *);

/* Borrowed until the next call of any function here; NULL for none. */
const char *resolver_find(
    const struct resolver *, uint64_t host_id, uint64_t now_us);

#endif
