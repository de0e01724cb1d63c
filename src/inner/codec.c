/*
 * Encodes and decodes message payloads as a sequence of msgpack objects, with
 * msgpack-c.
 *
 * msgpack-c's unpacker allocates the whole array that an array header
 * announces, so a message of five bytes could make it allocate gigabytes. The
 * reader therefore checks the type byte first. Only scalars, strings and byte
 * strings reach the unpacker; msgpack-c returns strings and byte strings as
 * pointers into the message.
 */

#include <math.h>
#include <msgpack.h>
#include <string.h>

#include "loom/codec.h"

static int
write_bytes(void *arg, const char *data, size_t len)
{
	struct loom_packer *packer = arg;

	if (packer->failed || len > packer->size - packer->len) {
		packer->failed = true;
		return -1;
	}
	memcpy(packer->data + packer->len, data, len);
	packer->len += len;
	return 0;
}

static msgpack_packer
init_msgpack_packer(struct loom_packer *packer)
{
	return (msgpack_packer){ .data = packer, .callback = write_bytes };
}

void
loom_pack_init(struct loom_packer *packer, void *buf, size_t size)
{
	*packer = (struct loom_packer){ .data = buf, .size = size };
}

void
loom_pack_u64(struct loom_packer *packer, uint64_t value)
{
	msgpack_packer pk = init_msgpack_packer(packer);

	msgpack_pack_uint64(&pk, value);
}

void
loom_pack_i64(struct loom_packer *packer, int64_t value)
{
	msgpack_packer pk = init_msgpack_packer(packer);

	msgpack_pack_int64(&pk, value);
}

void
loom_pack_bool(struct loom_packer *packer, bool value)
{
	msgpack_packer pk = init_msgpack_packer(packer);

	if (value)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
}

void
loom_pack_double(struct loom_packer *packer, double value)
{
	msgpack_packer pk = init_msgpack_packer(packer);

	msgpack_pack_double(&pk, value);
}

void
loom_pack_bin(struct loom_packer *packer, const void *data, size_t len)
{
	msgpack_packer pk = init_msgpack_packer(packer);

	if (len > LOOM_PAYLOAD_MAX) {
		packer->failed = true;
		return;
	}
	msgpack_pack_bin(&pk, len);
	if (len > 0)
		msgpack_pack_bin_body(&pk, data, len);
}

void
loom_pack_str(struct loom_packer *packer, const char *text)
{
	msgpack_packer pk = init_msgpack_packer(packer);
	size_t len = strlen(text);

	if (len > LOOM_PAYLOAD_MAX) {
		packer->failed = true;
		return;
	}
	msgpack_pack_str(&pk, len);
	if (len > 0)
		msgpack_pack_str_body(&pk, text, len);
}

bool
loom_pack_ok(const struct loom_packer *packer)
{
	return !packer->failed;
}

void
loom_unpack_init(struct loom_unpacker *unpacker, const void *data, size_t len)
{
	*unpacker = (struct loom_unpacker){ .data = data, .len = len };
}

static void
set_error(struct loom_unpacker *unpacker, enum loom_result code)
{
	if (unpacker->error == LOOM_OK)
		unpacker->error = code;
}

/*
 * Returns false for arrays, maps, extensions and the unassigned type byte 0xc1.
 */
static bool
is_allowed_type(uint8_t type)
{
	if (type >= 0x80 && type <= 0x9f)
		return false; /* fixmap, fixarray */
	if (type == 0xc1 || (type >= 0xc7 && type <= 0xc9))
		return false; /* unassigned; ext 8, 16, 32 */
	if (type >= 0xd4 && type <= 0xd8)
		return false; /* fixext */
	return type < 0xdc || type > 0xdf; /* array and map 16, 32 */
}

/*
 * Reads the next object, which must have the given type. Otherwise records the
 * error and returns false. The object points into the message.
 */
static bool
unpack_object(struct loom_unpacker *unpacker, msgpack_object_type type,
    msgpack_object *out)
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return result;

	if (unpacker->error != LOOM_OK)
		return false;
	if (unpacker->offset >= unpacker->len) {
		set_error(unpacker, LOOM_INNER_TRUNCATED);
		return false;
	}
	if (!is_allowed_type(unpacker->data[unpacker->offset])) {
		set_error(unpacker, LOOM_INNER_MALFORMED);
		return false;
	}
	msgpack_unpacked_init(&unpacked);
	result = msgpack_unpack_next(&unpacked, (const char *)unpacker->data,
	    unpacker->len, &unpacker->offset);
	*out = unpacked.data;
	msgpack_unpacked_destroy(&unpacked);
	if (result == MSGPACK_UNPACK_CONTINUE)
		set_error(unpacker, LOOM_INNER_TRUNCATED);
	else if (result != MSGPACK_UNPACK_SUCCESS || out->type != type)
		set_error(unpacker, LOOM_INNER_MALFORMED);
	return unpacker->error == LOOM_OK;
}

uint64_t
loom_unpack_u64(struct loom_unpacker *unpacker, uint64_t max)
{
	msgpack_object object;

	if (!unpack_object(unpacker, MSGPACK_OBJECT_POSITIVE_INTEGER, &object))
		return 0;
	if (object.via.u64 > max) {
		set_error(unpacker, LOOM_INNER_MALFORMED);
		return 0;
	}
	return object.via.u64;
}

int64_t
loom_unpack_i64(struct loom_unpacker *unpacker, int64_t min, int64_t max)
{
	msgpack_object object;
	uint8_t type;
	bool negative;

	if (unpacker->offset >= unpacker->len) {
		set_error(unpacker, LOOM_INNER_TRUNCATED);
		return 0;
	}
	/* msgpack-c encodes a non-negative signed integer as unsigned. */
	type = unpacker->data[unpacker->offset];
	negative = type >= 0xe0 || (type >= 0xd0 && type <= 0xd3);
	if (negative) {
		msgpack_object_type expected_type =
		    MSGPACK_OBJECT_NEGATIVE_INTEGER;

		if (!unpack_object(unpacker, expected_type, &object))
			return 0;
	} else {
		object.via.i64 = (int64_t)loom_unpack_u64(unpacker, INT64_MAX);
	}
	if (unpacker->error == LOOM_OK &&
	    (object.via.i64 < min || object.via.i64 > max))
		set_error(unpacker, LOOM_INNER_MALFORMED);
	return unpacker->error == LOOM_OK ? object.via.i64 : 0;
}

bool
loom_unpack_bool(struct loom_unpacker *unpacker)
{
	msgpack_object object;

	return unpack_object(unpacker, MSGPACK_OBJECT_BOOLEAN, &object) &&
	    object.via.boolean;
}

double
loom_unpack_double(struct loom_unpacker *unpacker, double min, double max)
{
	msgpack_object object;

	if (!unpack_object(unpacker, MSGPACK_OBJECT_FLOAT64, &object))
		return 0;
	if (!isfinite(object.via.f64) || object.via.f64 < min ||
	    object.via.f64 > max) {
		set_error(unpacker, LOOM_INNER_MALFORMED);
		return 0;
	}
	return object.via.f64;
}

const uint8_t *
loom_unpack_bin(struct loom_unpacker *unpacker, size_t max, size_t *len)
{
	msgpack_object object;

	*len = 0;
	if (!unpack_object(unpacker, MSGPACK_OBJECT_BIN, &object))
		return NULL;
	if (object.via.bin.size > max) {
		set_error(unpacker, LOOM_INNER_MALFORMED);
		return NULL;
	}
	*len = object.via.bin.size;
	return (const uint8_t *)object.via.bin.ptr;
}

void
loom_unpack_bin_exact(struct loom_unpacker *unpacker, void *out, size_t len)
{
	const uint8_t *data;
	size_t actual_len;

	data = loom_unpack_bin(unpacker, len, &actual_len);
	if (unpacker->error == LOOM_OK && actual_len != len)
		set_error(unpacker, LOOM_INNER_MALFORMED);
	if (unpacker->error == LOOM_OK && len > 0)
		memcpy(out, data, len);
	else if (len > 0)
		memset(out, 0, len);
}

void
loom_unpack_str(struct loom_unpacker *unpacker, char *out, size_t size)
{
	msgpack_object object;

	out[0] = '\0';
	if (!unpack_object(unpacker, MSGPACK_OBJECT_STR, &object))
		return;
	if (object.via.str.size == 0)
		return;
	if (object.via.str.size >= size ||
	    memchr(object.via.str.ptr, '\0', object.via.str.size) != NULL) {
		set_error(unpacker, LOOM_INNER_MALFORMED);
		return;
	}
	memcpy(out, object.via.str.ptr, object.via.str.size);
	out[object.via.str.size] = '\0';
}

uint32_t
loom_unpack_count(struct loom_unpacker *unpacker, uint32_t max)
{
	uint64_t count = loom_unpack_u64(unpacker, max);

	if (count > unpacker->len - unpacker->offset) {
		set_error(unpacker, LOOM_INNER_TRUNCATED);
		return 0;
	}
	return (uint32_t)count;
}

void
loom_unpack_reject(struct loom_unpacker *unpacker)
{
	set_error(unpacker, LOOM_INNER_MALFORMED);
}

enum loom_result
loom_unpack_error(const struct loom_unpacker *unpacker)
{
	return unpacker->error;
}

bool
loom_unpack_end(struct loom_unpacker *unpacker)
{
	if (unpacker->offset != unpacker->len)
		set_error(unpacker, LOOM_INNER_MALFORMED);
	return unpacker->error == LOOM_OK;
}
