#ifndef LOOM_INNER_PEER_H
#define LOOM_INNER_PEER_H

/*
 * Connections out: one DEALER for each daemon that is sent to.
 */

#include "inner/keys.h"

struct loom_peers;

struct loom_peers_options {
	void *zmq; /* borrowed: the ZeroMQ context */
	struct tevent_context *ev; /* borrowed */
	const struct loom_curve *curve; /* borrowed */
	const char *source; /* ip of connections out, or NULL; borrowed */
	uint32_t max;
	uint64_t idle_us;
};

/* Owned by mem_ctx; free it before the ZeroMQ context is ended. */
struct loom_peers *loom_peers_new(
    TALLOC_CTX *mem_ctx, const struct loom_peers_options *);

/* Hand over one message; it is copied.  False when it is dropped. */
bool loom_peers_send(struct loom_peers *, const char *address, const void *data,
    size_t len, uint64_t now_us);

/* Whether the next message to it is to name this daemon's address. */
bool loom_peers_tell_address(
    struct loom_peers *, const char *address, uint64_t now_us);

/* Close idle connections and drop messages that waited too long. */
void loom_peers_sweep(struct loom_peers *, uint64_t now_us);

#endif
