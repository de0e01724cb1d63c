#ifndef LOOM_INNER_PEER_H
#define LOOM_INNER_PEER_H

/* Outgoing connections: one DEALER socket per destination daemon. */

#include "inner/curve.h"

struct loom_peers;

struct loom_peers_options {
	void *zmq; /* borrowed: the ZeroMQ context */
	struct tevent_context *ev; /* borrowed */
	const struct loom_curve *curve; /* borrowed */
	const char
	    *source; /* source IP of outgoing connections, or NULL; borrowed */
	uint32_t max_connections;
	uint64_t idle_us;
};

/*
 * Allocated on mem_ctx. Must be freed before the ZeroMQ context is terminated.
 */
struct loom_peers *loom_peers_new(
    TALLOC_CTX *mem_ctx, const struct loom_peers_options *);

/* Sends a message, which is copied. Returns false if it was dropped. */
bool loom_peers_send(struct loom_peers *, const char *address, const void *data,
    size_t len, uint64_t now_us);

/*
 * Returns whether the next message to the peer should include this daemon's
 * address, and if so records that it was sent.
 */
bool loom_peers_include_address(
    struct loom_peers *, const char *address, uint64_t now_us);

/* Closes idle connections and drops messages that have waited too long. */
void loom_peers_expire(struct loom_peers *, uint64_t now_us);

#endif
