/*
 * Encodes and decodes the retry messages, which consist of three scalars each.
 */

#include "inner/retry_codec.h"
#include "loom/codec.h"

size_t
loom_retry_query_pack(
    const struct loom_retry_query_message *question, uint8_t *buf, size_t size)
{
	struct loom_packer packer;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, question->query_id);
	loom_pack_u64(&packer, question->home_incarnation);
	loom_pack_u64(&packer, question->root_id);
	return loom_pack_ok(&packer) ? packer.len : 0;
}

bool
loom_retry_query_unpack(
    struct loom_retry_query_message *question, const uint8_t *data, size_t len)
{
	struct loom_unpacker unpacker;

	loom_unpack_init(&unpacker, data, len);
	question->query_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	question->home_incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	question->root_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	return loom_unpack_end(&unpacker);
}

size_t
loom_retry_reply_pack(
    const struct loom_retry_reply_message *answer, uint8_t *buf, size_t size)
{
	struct loom_packer packer;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, answer->query_id);
	loom_pack_u64(&packer, answer->requester_incarnation);
	loom_pack_bool(&packer, answer->granted);
	return loom_pack_ok(&packer) ? packer.len : 0;
}

bool
loom_retry_reply_unpack(
    struct loom_retry_reply_message *answer, const uint8_t *data, size_t len)
{
	struct loom_unpacker unpacker;

	loom_unpack_init(&unpacker, data, len);
	answer->query_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	answer->requester_incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	answer->granted = loom_unpack_bool(&unpacker);
	return loom_unpack_end(&unpacker);
}
