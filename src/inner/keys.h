#ifndef LOOM_INNER_KEYS_H
#define LOOM_INNER_KEYS_H

/*
 * CURVE with the fleet's key, and the ZAP handler that lets only its holders
 * in.
 */

#include "loom/inner.h"

#define CURVE_KEY_SIZE 32

struct loom_curve {
	uint8_t public_key[CURVE_KEY_SIZE];
	uint8_t secret_key[CURVE_KEY_SIZE];
};

/* The fleet's key pair, the same in each daemon. */
void loom_curve_derive(
    struct loom_curve *, const uint8_t secret[LOOM_FLEET_SECRET_SIZE]);

/* Make a socket a CURVE server or client; false when ZeroMQ refuses. */
bool loom_curve_server(const struct loom_curve *, void *socket);
bool loom_curve_client(const struct loom_curve *, void *socket);

struct loom_zap;

/* Answer the handshakes of this ZeroMQ context.  Bind it before any server
 * socket.  Owned by mem_ctx, which must be freed before the context; curve
 * is borrowed. */
struct loom_zap *loom_zap_new(TALLOC_CTX *mem_ctx, struct tevent_context *,
    void *zmq, const struct loom_curve *);

#endif
