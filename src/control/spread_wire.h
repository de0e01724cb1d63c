#ifndef LOOM_SPREAD_WIRE_H
#define LOOM_SPREAD_WIRE_H

/*
 * Messages of the gossip protocol (docs/INNER.md): C structs on this side,
 * bytes on the wire.  Each pack function returns the length, or 0 when the
 * message does not fit the buffer; each unpack function returns false for a
 * malformed message.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/codec.h"
#include "loom/control.h"

enum spread_message_type {
	SPREAD_HAVE = LOOM_MESSAGE_SPREAD_FIRST, /* sender's state, some ids */
	SPREAD_WANT, /* requests the values of these ids */
	SPREAD_GIVE, /* values */
	SPREAD_BUCKETS, /* the sender's bucket digests */
	SPREAD_LIST, /* reply: all ids of the buckets that differ */
	SPREAD_GIVE_COMPRESSED, /* one long value */
	SPREAD_LAST = SPREAD_GIVE_COMPRESSED,
};

#define SPREAD_NBUCKETS 64
#define SPREAD_HAVE_IDS_MAX 512
#define SPREAD_WANT_IDS_MAX 64
#define SPREAD_LIST_IDS_MAX 4096
#define SPREAD_GIVE_VALUES_MAX 256
/* Age in a message from a daemon that has no data yet. */
#define SPREAD_AGE_UNKNOWN UINT32_MAX

/* One version of one name; takes at most 27 bytes. */
struct spread_id {
	uint64_t id; /* of the name (loom_name_id()) */
	uint64_t number;
	uint64_t digest; /* first 8 bytes, read big-endian to keep the order */
};

enum spread_have_kind {
	SPREAD_PUSH, /* announces changes to be requested */
	SPREAD_SUMMARY, /* asks for what the sender may lack */
	SPREAD_REPLY, /* to a HAVE or a LIST; wants no reply */
};

struct spread_have {
	enum spread_have_kind kind;
	bool ready; /* the sender is ready to serve */
	bool wants_reply; /* reply even if nothing differs */
	uint64_t root; /* digest of all that the sender holds */
	uint32_t age_ms; /* age of that (loom/age.h) */
	uint64_t query; /* number of this query; 0 for none */
	uint64_t in_reply_to; /* number of the receiver's query; 0 for none */
	uint32_t nids;
	struct spread_id ids[SPREAD_HAVE_IDS_MAX];
};

struct spread_want {
	uint32_t nids;
	uint64_t ids[SPREAD_WANT_IDS_MAX];
};

struct spread_list {
	uint64_t mask; /* bit i: all ids of bucket i are listed */
	uint32_t nids;
	struct spread_id ids[SPREAD_LIST_IDS_MAX];
};

/* A value of a GIVE message; text is borrowed from the message. */
struct spread_value {
	char name[256];
	uint64_t number;
	const char *text;
	size_t len;
};

/* The payload of a GIVE_COMPRESSED message; data is borrowed from it. */
struct spread_compressed {
	char name[256];
	uint64_t number;
	size_t text_len;
	const void *data;
	size_t len;
};

size_t spread_have_pack(const struct spread_have *, void *buf, size_t size);
bool spread_have_unpack(struct spread_have *, const void *data, size_t len);

size_t spread_want_pack(const struct spread_want *, void *buf, size_t size);
bool spread_want_unpack(struct spread_want *, const void *data, size_t len);

size_t spread_buckets_pack(const uint64_t *buckets, void *buf, size_t size);
bool spread_buckets_unpack(uint64_t *buckets, const void *data, size_t len);

size_t spread_list_pack(const struct spread_list *, void *buf, size_t size);
bool spread_list_unpack(struct spread_list *, const void *data, size_t len);

/* Returns the most bytes that the payload takes. */
size_t spread_compressed_size(const struct spread_compressed *);
size_t spread_compressed_pack(
    const struct spread_compressed *, void *buf, size_t size);
bool spread_compressed_unpack(
    struct spread_compressed *, const void *data, size_t len);

/* Appends a value to a GIVE message, which is a sequence of values. */
void spread_value_pack(struct loom_packer *, const char *name, uint64_t number,
    const char *text, size_t len);
/* Returns the most bytes that a value takes. */
size_t spread_value_size(const char *name, size_t len);
/* Reads the next value; returns false at the end or after an error. */
bool spread_value_unpack(struct loom_unpacker *, struct spread_value *);

#endif
