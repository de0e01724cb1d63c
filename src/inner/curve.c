/*
 * Authentication between daemons: every daemon of the fleet is accepted, and
 * nobody else.
 *
 * All daemons have the same secret in their settings. A CURVE key pair is
 * derived from it, and each daemon uses that pair both as server and as client.
 * A client without the secret does not know the server's public key, which it
 * needs for the first message of the handshake, and has no client key that the
 * ZAP handler accepts.
 *
 * There is one key for the whole fleet rather than one per host because hosts
 * are replaced at any time and keep no state, and no component is allowed to
 * write a list of keys anywhere.
 */

#include <sodium.h>
#include <string.h>
#include <zmq.h>

#include "inner/curve.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_DOMAIN "loom"
#define ZAP_VERSION "1.0"
#define ZAP_FRAMES_MAX 16
#define ZAP_REQUEST_FRAME 1
#define ZAP_MECHANISM_FRAME 5
#define ZAP_KEY_FRAME 6
#define ZAP_FRAME_SIZE 256

bool
loom_fleet_secret_parse(
    const char *hex, uint8_t secret[LOOM_FLEET_SECRET_SIZE], GError **error)
{
	size_t len = 0;

	if (strlen(hex) != 2 * LOOM_FLEET_SECRET_SIZE ||
	    sodium_hex2bin(secret, LOOM_FLEET_SECRET_SIZE, hex, strlen(hex),
		NULL, &len, NULL) != 0 ||
	    len != LOOM_FLEET_SECRET_SIZE)
		return loom_set_error(error, LOOM_INNER_SECRET,
		    "the fleet secret must be %d hex digits",
		    2 * LOOM_FLEET_SECRET_SIZE);
	return true;
}

void
loom_curve_derive(
    struct loom_curve *curve, const uint8_t secret[LOOM_FLEET_SECRET_SIZE])
{
	/*
	 * The label separates this key from others derived from the same
	 * secret, so that knowing one does not help to compute another.
	 */
	static const char label[] = "loom control curve 1";
	uint8_t seed[crypto_box_SEEDBYTES];

	crypto_generichash(seed, sizeof(seed), (const uint8_t *)label,
	    sizeof(label) - 1, secret, LOOM_FLEET_SECRET_SIZE);
	crypto_box_seed_keypair(curve->public_key, curve->secret_key, seed);
	sodium_memzero(seed, sizeof(seed));
}

static bool
set_key_pair(const struct loom_curve *curve, void *socket)
{
	return zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, curve->public_key,
		   CURVE_KEY_SIZE) == 0 &&
	    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, curve->secret_key,
		CURVE_KEY_SIZE) == 0;
}

bool
loom_curve_server(const struct loom_curve *curve, void *socket)
{
	int on = 1;

	return set_key_pair(curve, socket) &&
	    zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof(on)) == 0 &&
	    zmq_setsockopt(
		socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen(ZAP_DOMAIN)) == 0;
}

bool
loom_curve_client(const struct loom_curve *curve, void *socket)
{
	return set_key_pair(curve, socket) &&
	    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, curve->public_key,
		CURVE_KEY_SIZE) == 0;
}

struct loom_zap {
	const struct loom_curve *curve; /* borrowed */
	void *socket; /* owned: REP */
	struct tevent_fd *fde; /* owned */
};

/* The relevant fields of a ZAP request. */
struct zap_request {
	char id[ZAP_FRAME_SIZE];
	size_t id_len;
	bool uses_curve;
	bool key_is_valid;
};

static void
parse_frame(const struct loom_zap *zap, struct zap_request *request, int frame,
    const char *data, size_t len)
{
	switch (frame) {
	case ZAP_REQUEST_FRAME:
		memcpy(request->id, data, len);
		request->id_len = len;
		break;
	case ZAP_MECHANISM_FRAME:
		request->uses_curve = len == 5 && memcmp(data, "CURVE", 5) == 0;
		break;
	case ZAP_KEY_FRAME:
		request->key_is_valid = len == CURVE_KEY_SIZE &&
		    sodium_memcmp(
			data, zap->curve->public_key, CURVE_KEY_SIZE) == 0;
		break;
	default:
		break;
	}
}

/* Returns false if no request is pending. */
static bool
read_request(const struct loom_zap *zap, struct zap_request *request)
{
	char data[ZAP_FRAME_SIZE];
	int frame, len, more;
	size_t size = sizeof(more);

	*request = (struct zap_request){ .id_len = 0 };
	for (frame = 0; frame < ZAP_FRAMES_MAX; frame++) {
		len = zmq_recv(zap->socket, data, sizeof(data), ZMQ_DONTWAIT);
		if (len < 0)
			return false;
		parse_frame(
		    zap, request, frame, data, MIN((size_t)len, sizeof(data)));
		zmq_getsockopt(zap->socket, ZMQ_RCVMORE, &more, &size);
		if (!more)
			return true;
	}
	return true;
}

static void
send_frame(const struct loom_zap *zap, const char *data, size_t len, int flags)
{
	zmq_send(zap->socket, data, len, flags | ZMQ_DONTWAIT);
}

static void
send_reply(const struct loom_zap *zap, const struct zap_request *request)
{
	bool accepted = request->uses_curve && request->key_is_valid;

	send_frame(zap, ZAP_VERSION, strlen(ZAP_VERSION), ZMQ_SNDMORE);
	send_frame(zap, request->id, request->id_len, ZMQ_SNDMORE);
	send_frame(zap, accepted ? "200" : "400", 3, ZMQ_SNDMORE);
	send_frame(zap, "", 0, ZMQ_SNDMORE); /* status text */
	send_frame(zap, "", 0, ZMQ_SNDMORE); /* user id */
	send_frame(zap, "", 0, 0); /* metadata */
}

static void
zap_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_zap *zap = arg;
	struct zap_request request;

	(void)ev;
	(void)fde;
	(void)flags;
	/*
	 * The descriptor is edge-triggered, so read until no request is left.
	 */
	while (read_request(zap, &request))
		send_reply(zap, &request);
}

static int
zap_destroy(struct loom_zap *zap)
{
	/* Must precede zmq_close(), which closes the descriptor. */
	TALLOC_FREE(zap->fde);
	zmq_close(zap->socket);
	return 0;
}

struct loom_zap *
loom_zap_new(TALLOC_CTX *mem_ctx, struct tevent_context *ev, void *zmq,
    const struct loom_curve *curve)
{
	struct loom_zap *zap = talloc_zero(mem_ctx, struct loom_zap);
	size_t size = sizeof(int);
	int fd, linger = 0;

	if (zap == NULL)
		return NULL;
	zap->curve = curve;
	zap->socket = zmq_socket(zmq, ZMQ_REP);
	if (zap->socket == NULL) {
		talloc_free(zap);
		return NULL;
	}
	talloc_set_destructor(zap, zap_destroy);
	if (zmq_setsockopt(zap->socket, ZMQ_LINGER, &linger, sizeof(linger)) !=
		0 ||
	    zmq_bind(zap->socket, ZAP_ENDPOINT) != 0 ||
	    zmq_getsockopt(zap->socket, ZMQ_FD, &fd, &size) != 0)
		goto error;
	zap->fde = tevent_add_fd(ev, zap, fd, TEVENT_FD_READ, zap_ready, zap);
	if (zap->fde == NULL)
		goto error;
	/*
	 * Requests that arrived before the descriptor was watched trigger no
	 * event.
	 */
	zap_ready(ev, zap->fde, TEVENT_FD_READ, zap);
	return zap;

error:
	talloc_free(zap);
	return NULL;
}
