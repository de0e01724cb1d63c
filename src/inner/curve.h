#ifndef LOOM_INNER_CURVE_H
#define LOOM_INNER_CURVE_H

/*
 * CURVE authentication with the fleet's key pair, and the ZAP handler that
 * accepts only clients that hold it.
 */

#include "loom/inner.h"

#define CURVE_KEY_SIZE 32

struct loom_curve {
	uint8_t public_key[CURVE_KEY_SIZE];
	uint8_t secret_key[CURVE_KEY_SIZE];
};

/* Derives the fleet's key pair, which is the same on each daemon. */
void loom_curve_derive(
    struct loom_curve *, const uint8_t secret[LOOM_FLEET_SECRET_SIZE]);

/*
 * Make a socket a CURVE server or client. Return false if ZeroMQ reports an
 * error.
 */
bool loom_curve_server(const struct loom_curve *, void *socket);
bool loom_curve_client(const struct loom_curve *, void *socket);

struct loom_zap;

/*
 * Authenticates the connections of this ZeroMQ context. Must be created before
 * any server socket is bound. Allocated on mem_ctx, which must be freed before
 * the ZeroMQ context is terminated; curve is borrowed.
 */
struct loom_zap *loom_zap_new(TALLOC_CTX *mem_ctx, struct tevent_context *,
    void *zmq, const struct loom_curve *);

#endif
