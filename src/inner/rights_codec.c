/*
 * Encodes and decodes the messages on team rights as a sequence of msgpack
 * integers.
 *
 * Entry fields that are zero are omitted; a bit mask tells which fields are
 * present. This makes a renewal for a team without changes a third of the size
 * of a full entry.
 */

#include "inner/rights_codec.h"
#include "loom/codec.h"

#define UTOK_MAX (UINT64_C(1) << 53)
#define DURATION_MAX_US UINT64_C(60000000)
#define DEMAND_MAX_MHZ UINT64_C(1000000000000)
#define STAGE_MAX 4
#define FLAGS_MAX 15
#define UP_FIELDS 10
#define DOWN_FIELDS 6

/* An optional field of an entry and its maximum value. */
struct field_codec {
	uint64_t *value;
	uint64_t max;
};

/* Writes the bit mask of the fields that are not zero, then those fields. */
static void
pack_fields(
    struct loom_packer *packer, const struct field_codec *fields, unsigned n)
{
	uint64_t present = 0;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (*fields[i].value != 0)
			present |= UINT64_C(1) << i;
	}
	loom_pack_u64(packer, present);
	for (i = 0; i < n; i++) {
		if (*fields[i].value != 0)
			loom_pack_u64(packer, *fields[i].value);
	}
}

static void
unpack_fields(struct loom_unpacker *unpacker, const struct field_codec *fields,
    unsigned n)
{
	uint64_t present = loom_unpack_u64(unpacker, (UINT64_C(1) << n) - 1);
	unsigned i;

	for (i = 0; i < n; i++) {
		*fields[i].value = 0;
		if ((present >> i & 1) != 0)
			*fields[i].value =
			    loom_unpack_u64(unpacker, fields[i].max);
	}
}

/* Lists the optional fields in the order in which they are encoded. */
static void
up_entry_fields(
    struct loom_rights_up_entry *entry, struct field_codec fields[UP_FIELDS])
{
	unsigned i = 0;

	fields[i++] = (struct field_codec){ &entry->received_seq, UINT64_MAX };
	fields[i++] =
	    (struct field_codec){ &entry->kept_share.refill, LOOM_SHARE_WHOLE };
	fields[i++] = (struct field_codec){ &entry->kept_share.capacity,
		LOOM_SHARE_WHOLE };
	fields[i++] = (struct field_codec){ &entry->held_utok, UTOK_MAX };
	fields[i++] = (struct field_codec){ &entry->needed_utok, UTOK_MAX };
	fields[i++] =
	    (struct field_codec){ &entry->first_missing_utok, UTOK_MAX };
	fields[i++] = (struct field_codec){ &entry->prefetch_utok, UTOK_MAX };
	fields[i++] = (struct field_codec){ &entry->returned_utok, UTOK_MAX };
	fields[i++] = (struct field_codec){ &entry->given_utok, UTOK_MAX };
	fields[i++] = (struct field_codec){ &entry->given_us, UINT64_MAX };
}

/* Lists the optional fields in the order in which they are encoded. */
static void
down_entry_fields(struct loom_rights_down_entry *entry,
    struct field_codec fields[DOWN_FIELDS])
{
	unsigned i = 0;

	fields[i++] =
	    (struct field_codec){ &entry->share.refill, LOOM_SHARE_WHOLE };
	fields[i++] =
	    (struct field_codec){ &entry->share.capacity, LOOM_SHARE_WHOLE };
	fields[i++] = (struct field_codec){ &entry->tokens_utok, UTOK_MAX };
	fields[i++] = (struct field_codec){ &entry->transit_utok, UTOK_MAX };
	fields[i++] =
	    (struct field_codec){ &entry->duration_us, DURATION_MAX_US };
	fields[i++] =
	    (struct field_codec){ &entry->no_tokens_us, DURATION_MAX_US };
}

static size_t
packed_len(const struct loom_packer *packer)
{
	return loom_pack_ok(packer) ? packer->len : 0;
}

size_t
loom_rights_up_pack(const struct loom_rights_up *up, uint8_t *buf, size_t size)
{
	struct loom_rights_up_entry entry;
	struct field_codec fields[UP_FIELDS];
	struct loom_packer packer;
	uint32_t i;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, up->seq);
	loom_pack_u64(&packer, up->now_us);
	loom_pack_u64(&packer, up->pool_incarnation);
	loom_pack_u64(&packer, up->pool_now_us);
	loom_pack_u64(&packer, up->lend_parts);
	loom_pack_u64(&packer, up->lend_us);
	loom_pack_u64(&packer, up->stage);
	loom_pack_u64(&packer, up->nentries);
	for (i = 0; i < up->nentries; i++) {
		entry = up->entries[i];
		up_entry_fields(&entry, fields);
		loom_pack_u64(&packer, entry.team_id);
		loom_pack_u64(&packer, entry.demand_mhz);
		pack_fields(&packer, fields, UP_FIELDS);
	}
	return packed_len(&packer);
}

bool
loom_rights_up_unpack(
    struct loom_rights_up *up, const uint8_t *data, size_t len)
{
	struct loom_rights_up_entry *entry;
	struct field_codec fields[UP_FIELDS];
	struct loom_unpacker unpacker;
	uint32_t i;

	loom_unpack_init(&unpacker, data, len);
	up->seq = loom_unpack_u64(&unpacker, UINT64_MAX);
	up->now_us = loom_unpack_u64(&unpacker, UINT64_MAX);
	up->pool_incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	up->pool_now_us = loom_unpack_u64(&unpacker, UINT64_MAX);
	up->lend_parts = loom_unpack_u64(&unpacker, LOOM_SHARE_WHOLE);
	up->lend_us = loom_unpack_u64(&unpacker, DURATION_MAX_US);
	up->stage = (uint32_t)loom_unpack_u64(&unpacker, STAGE_MAX);
	up->nentries = loom_unpack_count(&unpacker, LOOM_RIGHTS_ENTRIES_MAX);
	for (i = 0; i < up->nentries; i++) {
		entry = &up->entries[i];
		up_entry_fields(entry, fields);
		entry->team_id = loom_unpack_u64(&unpacker, UINT64_MAX);
		entry->demand_mhz = loom_unpack_u64(&unpacker, DEMAND_MAX_MHZ);
		unpack_fields(&unpacker, fields, UP_FIELDS);
	}
	return loom_unpack_end(&unpacker);
}

size_t
loom_rights_down_pack(
    const struct loom_rights_down *down, uint8_t *buf, size_t size)
{
	struct loom_rights_down_entry entry;
	struct field_codec fields[DOWN_FIELDS];
	struct loom_packer packer;
	uint32_t i;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, down->seq);
	loom_pack_u64(&packer, down->child_incarnation);
	loom_pack_u64(&packer, down->child_now_us);
	loom_pack_u64(&packer, down->now_us);
	loom_pack_bool(&packer, down->draining);
	loom_pack_u64(&packer, down->nentries);
	for (i = 0; i < down->nentries; i++) {
		entry = down->entries[i];
		down_entry_fields(&entry, fields);
		loom_pack_u64(&packer, entry.team_id);
		loom_pack_u64(&packer, entry.flags);
		pack_fields(&packer, fields, DOWN_FIELDS);
	}
	return packed_len(&packer);
}

bool
loom_rights_down_unpack(
    struct loom_rights_down *down, const uint8_t *data, size_t len)
{
	struct loom_rights_down_entry *entry;
	struct field_codec fields[DOWN_FIELDS];
	struct loom_unpacker unpacker;
	uint32_t i;

	loom_unpack_init(&unpacker, data, len);
	down->seq = loom_unpack_u64(&unpacker, UINT64_MAX);
	down->child_incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	down->child_now_us = loom_unpack_u64(&unpacker, UINT64_MAX);
	down->now_us = loom_unpack_u64(&unpacker, UINT64_MAX);
	down->draining = loom_unpack_bool(&unpacker);
	down->nentries = loom_unpack_count(&unpacker, LOOM_RIGHTS_ENTRIES_MAX);
	for (i = 0; i < down->nentries; i++) {
		entry = &down->entries[i];
		down_entry_fields(entry, fields);
		entry->team_id = loom_unpack_u64(&unpacker, UINT64_MAX);
		entry->flags = (uint32_t)loom_unpack_u64(&unpacker, FLAGS_MAX);
		unpack_fields(&unpacker, fields, DOWN_FIELDS);
	}
	return loom_unpack_end(&unpacker);
}
