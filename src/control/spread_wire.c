/*
 * Packing and unpacking of the gossip protocol's messages.
 */

#include <string.h>

#include "control/spread_wire.h"
#include "loom/spread.h"

enum have_flag {
	HAVE_READY = 1,
	HAVE_WANTS_REPLY = 2,
	HAVE_FLAGS = HAVE_READY | HAVE_WANTS_REPLY,
};

static void
pack_ids(struct loom_packer *packer, const struct spread_id *ids, uint32_t n)
{
	uint32_t i;

	loom_pack_u64(packer, n);
	for (i = 0; i < n; i++) {
		loom_pack_u64(packer, ids[i].id);
		loom_pack_u64(packer, ids[i].number);
		loom_pack_u64(packer, ids[i].digest);
	}
}

static uint32_t
unpack_ids(struct loom_unpacker *unpacker, struct spread_id *ids, uint32_t max)
{
	uint32_t n = loom_unpack_count(unpacker, max);
	uint32_t i;

	for (i = 0; i < n; i++) {
		ids[i].id = loom_unpack_u64(unpacker, UINT64_MAX);
		ids[i].number = loom_unpack_u64(unpacker, UINT64_MAX);
		ids[i].digest = loom_unpack_u64(unpacker, UINT64_MAX);
	}
	return n;
}

static size_t
packed_len(const struct loom_packer *packer)
{
	return loom_pack_ok(packer) ? packer->len : 0;
}

size_t
spread_have_pack(const struct spread_have *have, void *buf, size_t size)
{
	struct loom_packer packer;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, have->kind);
	loom_pack_u64(&packer,
	    (have->ready ? HAVE_READY : 0) |
		(have->wants_reply ? HAVE_WANTS_REPLY : 0));
	loom_pack_u64(&packer, have->root);
	loom_pack_u64(&packer, have->age_ms);
	loom_pack_u64(&packer, have->query);
	loom_pack_u64(&packer, have->in_reply_to);
	pack_ids(&packer, have->ids, have->nids);
	return packed_len(&packer);
}

bool
spread_have_unpack(struct spread_have *have, const void *data, size_t len)
{
	struct loom_unpacker unpacker;
	uint64_t flags;

	loom_unpack_init(&unpacker, data, len);
	have->kind =
	    (enum spread_have_kind)loom_unpack_u64(&unpacker, SPREAD_REPLY);
	flags = loom_unpack_u64(&unpacker, HAVE_FLAGS);
	have->ready = flags & HAVE_READY;
	have->wants_reply = flags & HAVE_WANTS_REPLY;
	have->root = loom_unpack_u64(&unpacker, UINT64_MAX);
	have->age_ms = (uint32_t)loom_unpack_u64(&unpacker, UINT32_MAX);
	have->query = loom_unpack_u64(&unpacker, UINT64_MAX);
	have->in_reply_to = loom_unpack_u64(&unpacker, UINT64_MAX);
	have->nids = unpack_ids(&unpacker, have->ids, SPREAD_HAVE_IDS_MAX);
	return loom_unpack_end(&unpacker);
}

size_t
spread_want_pack(const struct spread_want *want, void *buf, size_t size)
{
	struct loom_packer packer;
	uint32_t i;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, want->nids);
	for (i = 0; i < want->nids; i++)
		loom_pack_u64(&packer, want->ids[i]);
	return packed_len(&packer);
}

bool
spread_want_unpack(struct spread_want *want, const void *data, size_t len)
{
	struct loom_unpacker unpacker;
	uint32_t i;

	loom_unpack_init(&unpacker, data, len);
	want->nids = loom_unpack_count(&unpacker, SPREAD_WANT_IDS_MAX);
	for (i = 0; i < want->nids; i++)
		want->ids[i] = loom_unpack_u64(&unpacker, UINT64_MAX);
	return loom_unpack_end(&unpacker);
}

size_t
spread_buckets_pack(const uint64_t *buckets, void *buf, size_t size)
{
	uint64_t words[SPREAD_NBUCKETS];
	struct loom_packer packer;
	unsigned i;

	for (i = 0; i < SPREAD_NBUCKETS; i++)
		words[i] = GUINT64_TO_BE(buckets[i]);
	loom_pack_init(&packer, buf, size);
	loom_pack_bin(&packer, words, sizeof(words));
	return packed_len(&packer);
}

bool
spread_buckets_unpack(uint64_t *buckets, const void *data, size_t len)
{
	struct loom_unpacker unpacker;
	unsigned i;

	loom_unpack_init(&unpacker, data, len);
	loom_unpack_bin_exact(
	    &unpacker, buckets, SPREAD_NBUCKETS * sizeof(*buckets));
	for (i = 0; i < SPREAD_NBUCKETS; i++)
		buckets[i] = GUINT64_FROM_BE(buckets[i]);
	return loom_unpack_end(&unpacker);
}

size_t
spread_list_pack(const struct spread_list *list, void *buf, size_t size)
{
	struct loom_packer packer;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, list->mask);
	pack_ids(&packer, list->ids, list->nids);
	return packed_len(&packer);
}

bool
spread_list_unpack(struct spread_list *list, const void *data, size_t len)
{
	struct loom_unpacker unpacker;

	loom_unpack_init(&unpacker, data, len);
	list->mask = loom_unpack_u64(&unpacker, UINT64_MAX);
	list->nids = unpack_ids(&unpacker, list->ids, SPREAD_LIST_IDS_MAX);
	return loom_unpack_end(&unpacker);
}

size_t
spread_compressed_size(const struct spread_compressed *value)
{
	return 2 * LOOM_PACKED_HEADER_MAX + 2 * LOOM_PACKED_SCALAR_MAX +
	    strlen(value->name) + value->len;
}

size_t
spread_compressed_pack(
    const struct spread_compressed *value, void *buf, size_t size)
{
	struct loom_packer packer;

	loom_pack_init(&packer, buf, size);
	loom_pack_str(&packer, value->name);
	loom_pack_u64(&packer, value->number);
	loom_pack_u64(&packer, value->text_len);
	loom_pack_bin(&packer, value->data, value->len);
	return packed_len(&packer);
}

bool
spread_compressed_unpack(
    struct spread_compressed *value, const void *data, size_t len)
{
	struct loom_unpacker unpacker;

	loom_unpack_init(&unpacker, data, len);
	loom_unpack_str(&unpacker, value->name, sizeof(value->name));
	value->number = loom_unpack_u64(&unpacker, UINT64_MAX);
	value->text_len = loom_unpack_u64(&unpacker, LOOM_SPREAD_TEXT_MAX);
	value->data = loom_unpack_bin(&unpacker, LOOM_PAYLOAD_MAX, &value->len);
	return loom_unpack_end(&unpacker);
}

void
spread_value_pack(struct loom_packer *packer, const char *name, uint64_t number,
    const char *text, size_t len)
{
	loom_pack_str(packer, name);
	loom_pack_u64(packer, number);
	loom_pack_bin(packer, text, len);
}

size_t
spread_value_size(const char *name, size_t len)
{
	return 2 * LOOM_PACKED_HEADER_MAX + LOOM_PACKED_SCALAR_MAX +
	    strlen(name) + len;
}

bool
spread_value_unpack(struct loom_unpacker *unpacker, struct spread_value *value)
{
	if (loom_unpack_error(unpacker) != LOOM_OK ||
	    unpacker->offset == unpacker->len)
		return false;
	loom_unpack_str(unpacker, value->name, sizeof(value->name));
	value->number = loom_unpack_u64(unpacker, UINT64_MAX);
	value->text = (const char *)loom_unpack_bin(
	    unpacker, LOOM_PAYLOAD_MAX, &value->len);
	return loom_unpack_error(unpacker) == LOOM_OK;
}
