#ifndef LOOM_CODEC_H
#define LOOM_CODEC_H

/*
 * Payloads between daemons: a flat run of msgpack scalars, strings and byte
 * strings.  A list is its count followed by its items.  Containers are never
 * written and are refused when read, so that a hostile count cannot make a
 * reader allocate: reading allocates nothing at all.
 *
 * Both sides keep the first error.  Writing past the buffer, or reading past
 * the end, a wrong type or a value out of bounds, marks the packer or the
 * unpacker; calls after that do nothing and return zeros.  So a caller packs
 * or reads a whole message and checks once at its end.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/result.h"

/* The largest payload that the transport takes, in bytes. */
#define LOOM_PAYLOAD_MAX (UINT32_C(1024) * 1024)

/* The most that one packed integer, double or bool takes, in bytes. */
#define LOOM_PACKED_SCALAR_MAX 9
/* The most that a byte string's or string's head takes, in bytes. */
#define LOOM_PACKED_HEAD_MAX 5

struct loom_packer {
	uint8_t *data; /* borrowed from the caller */
	size_t size; /* bytes at data */
	size_t len; /* bytes written */
	bool failed; /* something did not fit */
};

/* Write into buf, which is borrowed for the packer's life. */
void loom_pack_init(struct loom_packer *, void *buf, size_t size);
void loom_pack_u64(struct loom_packer *, uint64_t value);
void loom_pack_i64(struct loom_packer *, int64_t value);
void loom_pack_bool(struct loom_packer *, bool value);
void loom_pack_double(struct loom_packer *, double value);
void loom_pack_bin(struct loom_packer *, const void *data, size_t len);
void loom_pack_str(struct loom_packer *, const char *text);
/* True when all of it fitted; then data and len are the message. */
bool loom_pack_ok(const struct loom_packer *);

struct loom_unpacker {
	const uint8_t *data; /* borrowed */
	size_t len;
	size_t offset; /* first byte not yet read */
	enum loom_result error; /* the first error, LOOM_OK for none */
};

/* Read from data, which is borrowed for the unpacker's life. */
void loom_unpack_init(struct loom_unpacker *, const void *data, size_t len);
/* Integers in [0, max] and [min, max]. */
uint64_t loom_unpack_u64(struct loom_unpacker *, uint64_t max);
int64_t loom_unpack_i64(struct loom_unpacker *, int64_t min, int64_t max);
bool loom_unpack_bool(struct loom_unpacker *);
/* Finite and in [min, max]. */
double loom_unpack_double(struct loom_unpacker *, double min, double max);
/* At most max bytes; *len receives the length.  Borrowed from the message;
 * NULL after an error. */
const uint8_t *loom_unpack_bin(struct loom_unpacker *, size_t max, size_t *len);
/* Exactly len bytes, copied to out; zeros after an error. */
void loom_unpack_bin_exact(struct loom_unpacker *, void *out, size_t len);
/* A string without NUL inside, copied with its end to out of size bytes
 * (size > 0); "" after an error. */
void loom_unpack_str(struct loom_unpacker *, char *out, size_t size);
/* The count of a list: at most max, and never more than the bytes left, so
 * that a loop over it is bounded by the message's own length. */
uint32_t loom_unpack_count(struct loom_unpacker *, uint32_t max);
/* Mark the message as malformed: for checks of the caller's own. */
void loom_unpack_reject(struct loom_unpacker *);
/* The first error so far: LOOM_OK, LOOM_INNER_TRUNCATED or
 * LOOM_INNER_MALFORMED. */
enum loom_result loom_unpack_error(const struct loom_unpacker *);
/* True when nothing failed and nothing is left over: the last call on each
 * message. */
bool loom_unpack_end(struct loom_unpacker *);

#endif
