#ifndef LOOM_SPREAD_WIRE_H
#define LOOM_SPREAD_WIRE_H

/*
 * Messages of the spread (docs/INNER.md): typed on this side, bytes on the
 * wire.  Each pack function returns the length, 0 when it does not fit; each
 * unpack function is false for a malformed message.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/codec.h"
#include "loom/control.h"

enum spread_message_type {
	SPREAD_HAVE = LOOM_MESSAGE_SPREAD_FIRST, /* a summary and some ids */
	SPREAD_WANT, /* send me these */
	SPREAD_GIVE, /* values */
	SPREAD_BUCKETS, /* my digests: list me where yours differ */
	SPREAD_LIST, /* all ids of some buckets */
	SPREAD_LAST = SPREAD_LIST,
};

#define SPREAD_NBUCKETS 64
#define SPREAD_HAVE_IDS_MAX 512
#define SPREAD_WANT_IDS_MAX 64
#define SPREAD_LIST_IDS_MAX 4096
#define SPREAD_GIVE_VALUES_MAX 256
/* The age of one that holds nothing. */
#define SPREAD_AGE_UNKNOWN UINT32_MAX

/* One version of one name, in 27 bytes at most. */
struct spread_id {
	uint64_t id; /* of the name */
	uint64_t number;
	uint64_t digest; /* first 8 bytes, big-endian: same order */
};

enum spread_have_kind {
	SPREAD_PUSH, /* a change: ask for it, no more */
	SPREAD_SUMMARY, /* now and then: say what I seem to lack */
	SPREAD_REPLY, /* to a summary or a list; never answered again */
};

struct spread_have {
	enum spread_have_kind kind;
	bool ready; /* the sender serves */
	bool wants_reply; /* answer even when nothing differs */
	uint64_t root; /* digest over all that the sender holds */
	uint32_t age_ms; /* of all that the sender holds (loom/age.h) */
	uint64_t query; /* its number; 0 for none */
	uint64_t in_reply_to; /* the question of the receiver; 0 for none */
	uint32_t nids;
	struct spread_id ids[SPREAD_HAVE_IDS_MAX];
};

struct spread_want {
	uint32_t nids;
	uint64_t ids[SPREAD_WANT_IDS_MAX];
};

struct spread_list {
	uint64_t mask; /* bit i: the list holds all ids of bucket i */
	uint32_t nids;
	struct spread_id ids[SPREAD_LIST_IDS_MAX];
};

/* One value of a GIVE; all borrowed from the message. */
struct spread_value {
	char name[256];
	uint64_t number;
	const char *text;
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

/* A GIVE is a run of values up to the message's end. */
void spread_value_pack(struct loom_packer *, const char *name, uint64_t number,
    const char *text, size_t len);
/* Bytes that a value takes at most. */
size_t spread_value_size(const char *name, size_t len);
/* The next value; false at the end or at an error. */
bool spread_value_unpack(struct loom_unpacker *, struct spread_value *);

#endif
