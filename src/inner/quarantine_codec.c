/*
 * Encodes and decodes the quarantine messages.
 */

#include "inner/quarantine_codec.h"
#include "loom/codec.h"

size_t
quarantine_records_pack(const struct quarantine_report *records, uint32_t count,
    uint8_t out[QUARANTINE_MESSAGE_MAX])
{
	struct loom_packer packer;
	uint32_t i;

	loom_pack_init(&packer, out, QUARANTINE_MESSAGE_MAX);
	loom_pack_u64(&packer, count);
	for (i = 0; i < count; i++) {
		loom_pack_bin(&packer, records[i].fingerprint.bytes,
		    sizeof(records[i].fingerprint.bytes));
		loom_pack_u64(&packer, records[i].level);
		loom_pack_u64(&packer, records[i].crash_count);
		loom_pack_u64(&packer, records[i].remaining_us);
	}
	return loom_pack_ok(&packer) ? packer.len : 0;
}

uint32_t
quarantine_records_unpack(const uint8_t *message, size_t len,
    struct quarantine_report records[QUARANTINE_RECORDS_MAX])
{
	struct loom_unpacker unpacker;
	uint32_t i, count;

	loom_unpack_init(&unpacker, message, len);
	count = loom_unpack_count(&unpacker, QUARANTINE_RECORDS_MAX);
	for (i = 0; i < count; i++) {
		loom_unpack_bin_exact(&unpacker, records[i].fingerprint.bytes,
		    sizeof(records[i].fingerprint.bytes));
		records[i].level = (enum suspect_level)loom_unpack_u64(
		    &unpacker, SUSPECT_QUARANTINED);
		records[i].crash_count =
		    (uint8_t)loom_unpack_u64(&unpacker, UINT8_MAX);
		records[i].remaining_us =
		    loom_unpack_u64(&unpacker, QUARANTINE_REMAINING_MAX_US);
		if (records[i].level == SUSPECT_NONE)
			loom_unpack_reject(&unpacker);
	}
	return loom_unpack_end(&unpacker) ? count : 0;
}

size_t
quarantine_clear_pack(const struct loom_fingerprint *fingerprint,
    uint8_t out[QUARANTINE_MESSAGE_MAX])
{
	struct loom_packer packer;

	loom_pack_init(&packer, out, QUARANTINE_MESSAGE_MAX);
	loom_pack_bin(&packer, fingerprint->bytes, sizeof(fingerprint->bytes));
	return packer.len;
}

bool
quarantine_clear_unpack(
    const uint8_t *message, size_t len, struct loom_fingerprint *fingerprint)
{
	struct loom_unpacker unpacker;

	loom_unpack_init(&unpacker, message, len);
	loom_unpack_bin_exact(
	    &unpacker, fingerprint->bytes, sizeof(fingerprint->bytes));
	return loom_unpack_end(&unpacker);
}
