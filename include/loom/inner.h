#ifndef LOOM_INNER_H
#define LOOM_INNER_H

/*
 * Messages between daemons (docs/INNER.md): the envelope, its checks, and the
 * transport, which is ZeroMQ with CURVE encryption.
 *
 * Each daemon binds one ROUTER socket to its control address and uses it only
 * for receiving. It sends through one DEALER socket per peer, which is opened
 * when needed and closed when idle. Delivery is not confirmed: a message may be
 * lost, delayed or duplicated. Sending never blocks.
 *
 * All transport functions must be called on the thread of the tevent context.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "loom/codec.h"
#include "loom/context.h"
#include "loom/control.h"

#define LOOM_INNER_PROTOCOL 1
/*
 * Large enough for "255.255.255.255:65535" and for an IPv6 address in brackets
 * with a port.
 */
#define LOOM_ADDRESS_SIZE 64
/* Maximum number of bytes that the envelope adds to the payload. */
#define LOOM_MESSAGE_HEADER_MAX                                    \
	(6 * LOOM_PACKED_SCALAR_MAX + 2 * LOOM_PACKED_HEADER_MAX + \
	    LOOM_ADDRESS_SIZE)

/* The envelope of a payload. */
struct loom_message {
	struct loom_message_source from;
	uint64_t sequence; /* increases with each message of an incarnation */
	char control[LOOM_ADDRESS_SIZE]; /* the sender's, or "" */
	uint8_t type; /* less than LOOM_MESSAGE_TYPES */
	const uint8_t *payload; /* borrowed */
	size_t len;
};

/*
 * Writes the envelope and its payload to buf. Returns the length, or 0 if it
 * does not fit.
 */
size_t loom_message_pack(const struct loom_message *, void *buf, size_t size);

/*
 * Decodes an envelope; payload points into data. Returns LOOM_OK or the reason
 * why the message must be dropped. No input makes it crash, allocate memory or
 * read out of bounds.
 */
enum loom_result loom_message_unpack(
    const void *data, size_t len, struct loom_message *);

/*
 * Detects messages that were received before. CURVE rejects replayed bytes
 * within a connection; this also covers replays over another connection. For
 * each incarnation of a sender, the last 64 sequence numbers are tracked; lower
 * numbers are treated as replayed.
 */
struct loom_replay_window;

/* Allocated on mem_ctx. */
struct loom_replay_window *loom_replay_window_new(TALLOC_CTX *mem_ctx);
/*
 * Returns true and records the message if it is new. Returns false for a
 * replayed message, and for one of a new sender while too many senders are
 * active to track another.
 */
bool loom_replay_window_accept(struct loom_replay_window *,
    const struct loom_message_source *, uint64_t sequence, uint64_t now_us);

/*
 * Parses a secret of 64 hex digits. Returns false with LOOM_INNER_SECRET on
 * failure.
 */
bool loom_fleet_secret_parse(
    const char *hex, uint8_t secret[LOOM_FLEET_SECRET_SIZE], GError **error);

struct loom_inner_options {
	const char *bind; /* "ip:port"; port 0 selects a free port; copied */
	const char *source; /* IP of connections out, or NULL; borrowed */
	/*
	 * The strings must live as long as the process. If control is NULL, the
	 * bound address is used.
	 */
	struct loom_self self;
	uint8_t secret[LOOM_FLEET_SECRET_SIZE];
	uint32_t max_connections; /* outgoing connections; 0 for the default */
	uint32_t idle_timeout_ms; /* before one is closed; 0 for the default */
};

/* Called for each valid message. The envelope is valid only during the call. */
typedef void (*loom_inner_receive)(
    void *arg, const struct loom_message *envelope, uint64_t now_us);

struct loom_inner;

/*
 * Binds the socket and starts receiving. Allocated on mem_ctx. The tevent
 * context must outlive it. Returns NULL with LOOM_INNER_SOCKET or
 * LOOM_NO_MEMORY on failure.
 */
struct loom_inner *loom_inner_new(TALLOC_CTX *mem_ctx, struct tevent_context *,
    const struct loom_inner_options *, loom_inner_receive receive, void *arg,
    GError **error);

/* Returns the bound address, "ip:port". Owned by the transport. */
const char *loom_inner_address(const struct loom_inner *);

/*
 * Sends to the daemon at address ("ip:port"). The payload is copied. Returns
 * false if the message was dropped immediately, because it is too large, too
 * many messages wait for that peer, or no connection could be opened.
 */
bool loom_inner_send(struct loom_inner *, const char *address, uint8_t type,
    const void *payload, size_t len);

#endif
