#ifndef LOOM_INNER_H
#define LOOM_INNER_H

/*
 * Messages between daemons (docs/INNER.md): an envelope, its checks, and the
 * transport that carries it over ZeroMQ with CURVE.
 *
 * Each daemon binds one ROUTER socket at its control address and only
 * receives there; it sends through one DEALER for each peer, made on demand
 * and closed when idle.  A message is sent and forgotten: it may be lost,
 * late or repeated, and sending never blocks.
 *
 * All functions of the transport belong to the thread of the tevent context.
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
/* "255.255.255.255:65535" and an IPv6 in brackets fit. */
#define LOOM_ADDRESS_SIZE 64
/* The most that an envelope adds to its payload, in bytes. */
#define LOOM_MESSAGE_HEAD_MAX                                    \
	(6 * LOOM_PACKED_SCALAR_MAX + 2 * LOOM_PACKED_HEAD_MAX + \
	    LOOM_ADDRESS_SIZE)

/* What stands around each payload. */
struct loom_message {
	struct loom_from from;
	uint64_t sequence; /* grows with each message of an incarnation */
	char control[LOOM_ADDRESS_SIZE]; /* the sender's, "" when unknown */
	uint8_t type; /* under LOOM_MESSAGE_TYPES */
	const uint8_t *payload; /* borrowed */
	size_t len;
};

/* Write the envelope with its payload to buf; the length, or 0 when it does
 * not fit. */
size_t loom_message_pack(const struct loom_message *, void *buf, size_t size);

/* Read an envelope; payload borrows from data.  LOOM_OK or the reason why it
 * must be dropped.  No input makes it crash, allocate or read outside. */
enum loom_result loom_message_unpack(
    const void *data, size_t len, struct loom_message *);

/*
 * Messages that came before.  CURVE already refuses repeated bytes within a
 * connection; this covers a repeat over another one.  For each sender's
 * incarnation the last 64 sequence numbers are known; older ones count as
 * repeated.
 */
struct loom_repeats;

/* Owned by mem_ctx. */
struct loom_repeats *loom_repeats_new(TALLOC_CTX *mem_ctx);
/* True when the message is new; it is remembered. */
bool loom_repeats_check(struct loom_repeats *, const struct loom_from *,
    uint64_t sequence, uint64_t now_us);

/* The secret from 64 hex digits; false with LOOM_INNER_SECRET. */
bool loom_fleet_secret_parse(
    const char *hex, uint8_t secret[LOOM_FLEET_SECRET_SIZE], GError **error);

struct loom_inner_options {
	const char *bind; /* "ip:port", port 0 for any; copied */
	const char *source; /* ip of connections out, NULL for any; borrowed */
	struct loom_self self; /* strings borrowed for the process's life;
				* control NULL for the bound address */
	uint8_t secret[LOOM_FLEET_SECRET_SIZE];
	uint32_t peers_max; /* open connections out; 0 for the default */
	uint32_t idle_ms; /* before one is closed; 0 for the default */
};

/* Called for each good message.  All borrowed for the call. */
typedef void (*loom_inner_receive)(
    void *arg, const struct loom_message *envelope, uint64_t now_us);

struct loom_inner;

/* Bind and start to receive.  Owned by mem_ctx; the tevent context is
 * borrowed and outlives it.  NULL with LOOM_INNER_SOCKET. */
struct loom_inner *loom_inner_new(TALLOC_CTX *mem_ctx, struct tevent_context *,
    const struct loom_inner_options *, loom_inner_receive receive, void *arg,
    GError **error);

/* The address that was bound, "ip:port"; borrowed. */
const char *loom_inner_address(const struct loom_inner *);

/* Send to the daemon at address ("ip:port").  payload is borrowed for the
 * call.  False when the message is dropped at once: too large, or too many
 * wait for that peer. */
bool loom_inner_send(struct loom_inner *, const char *address, uint8_t type,
    const void *payload, size_t len);

#endif
