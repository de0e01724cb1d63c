#ifndef LOOM_DECIDE_SEND_LIMIT_H
#define LOOM_DECIDE_SEND_LIMIT_H

/*
 * Limits how often a daemon sends one version of a value to one peer.
 *
 * Load pattern: after each change all peers that follow a daemon request the
 * new version at once, however long it is, and each of them must get it.  A
 * peer that requests without end must not use up the daemon's bandwidth.  So
 * the limit is on repetitions and not on bytes.
 */

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct send_limit;

/* Owned by mem_ctx. */
struct send_limit *send_limit_new(TALLOC_CTX *mem_ctx);

/*
 * Returns whether a version, told by its digest, may be sent to a peer now,
 * and counts it as sent if so.  The first time always; then after a time that
 * doubles with each repetition.
 */
bool send_limit_admit(struct send_limit *, uint64_t peer_id, uint64_t value_id,
    uint64_t digest, uint64_t now_us);

#endif
