#ifndef LOOM_CODEC_H
#define LOOM_CODEC_H

/*
 * Payloads of messages between daemons: a sequence of msgpack scalars, strings
 * and byte strings. A list is encoded as its count followed by its items.
 * Arrays, maps and extensions are never written and are rejected when read,
 * because msgpack-c allocates as much as an array header announces. Reading
 * allocates no memory at all.
 *
 * The packer and the unpacker each record the first error: a write past the
 * buffer, a read past the end, a wrong type or a value out of bounds. Later
 * calls do nothing, and reads return zeros. A caller can therefore pack or read
 * a whole message and check for errors once at the end.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/result.h"

/* Maximum size of a payload that the transport accepts, in bytes. */
#define LOOM_PAYLOAD_MAX (UINT32_C(1024) * 1024)

/* Maximum encoded size of an integer, double or bool, in bytes. */
#define LOOM_PACKED_SCALAR_MAX 9
/* Maximum encoded size of the header of a string or byte string, in bytes. */
#define LOOM_PACKED_HEADER_MAX 5

struct loom_packer {
	uint8_t *data; /* owned by the caller */
	size_t size; /* bytes at data */
	size_t len; /* bytes written */
	bool failed; /* a value did not fit */
};

/* Starts writing to buf, which must outlive the packer. */
void loom_pack_init(struct loom_packer *, void *buf, size_t size);
void loom_pack_u64(struct loom_packer *, uint64_t value);
void loom_pack_i64(struct loom_packer *, int64_t value);
void loom_pack_bool(struct loom_packer *, bool value);
void loom_pack_double(struct loom_packer *, double value);
void loom_pack_bin(struct loom_packer *, const void *data, size_t len);
void loom_pack_str(struct loom_packer *, const char *text);
/*
 * Returns true if everything fit; the message is then the first len bytes of
 * data.
 */
bool loom_pack_ok(const struct loom_packer *);

struct loom_unpacker {
	const uint8_t *data; /* borrowed */
	size_t len;
	size_t offset; /* of the next byte to read */
	enum loom_result error; /* the first error, or LOOM_OK */
};

/* Starts reading data, which must outlive the unpacker. */
void loom_unpack_init(struct loom_unpacker *, const void *data, size_t len);
/* Read an integer in [0, max] or [min, max]. */
uint64_t loom_unpack_u64(struct loom_unpacker *, uint64_t max);
int64_t loom_unpack_i64(struct loom_unpacker *, int64_t min, int64_t max);
bool loom_unpack_bool(struct loom_unpacker *);
/* Reads a finite number in [min, max]. */
double loom_unpack_double(struct loom_unpacker *, double min, double max);
/*
 * Reads a byte string of at most max bytes and sets *len to its length. Returns
 * a pointer into the message, or NULL after an error.
 */
const uint8_t *loom_unpack_bin(struct loom_unpacker *, size_t max, size_t *len);
/*
 * Copies a byte string of exactly len bytes to out; fills out with zeros after
 * an error.
 */
void loom_unpack_bin_exact(struct loom_unpacker *, void *out, size_t len);
/*
 * Copies a string that contains no NUL to out, with a terminating NUL. It must
 * fit in size bytes (size > 0). Sets out to "" after an error.
 */
void loom_unpack_str(struct loom_unpacker *, char *out, size_t size);
/*
 * Reads the count of a list, which must be at most max and at most the number
 * of bytes left. The message's own length thus bounds a loop over the list.
 */
uint32_t loom_unpack_count(struct loom_unpacker *, uint32_t max);
/* Marks the message as malformed, for checks made by the caller. */
void loom_unpack_reject(struct loom_unpacker *);
/*
 * Returns the first error so far: LOOM_OK, LOOM_INNER_TRUNCATED or
 * LOOM_INNER_MALFORMED.
 */
enum loom_result loom_unpack_error(const struct loom_unpacker *);
/*
 * Returns true if there was no error and no bytes are left. Must be the last
 * call for each message.
 */
bool loom_unpack_end(struct loom_unpacker *);

#endif
