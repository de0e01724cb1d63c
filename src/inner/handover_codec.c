/*
 * Encodes and decodes the messages that hand over tickets.
 *
 * Chunks contain the ticket secrets of incarnations, so they are encrypted with
 * a separate key in addition to the encryption of the connection. The source's
 * host and incarnation, the successor's incarnation, the chunk index and the
 * chunk count are authenticated with each chunk. A recorded chunk can therefore
 * not be decrypted anywhere else, not even by the same successor after a
 * restart.
 */

#include <sodium.h>
#include <string.h>

#include "inner/handover_codec.h"

#define STATE_VERSION 1
#define NONCE_SIZE crypto_aead_xchacha20poly1305_ietf_NPUBBYTES
#define TAG_SIZE crypto_aead_xchacha20poly1305_ietf_ABYTES
#define AAD_BYTES_MAX 64
/*
 * Upper bound for a decoded part of a stored answer. The ticket store has its
 * own limit for what it keeps; this only limits what is accepted from a
 * message.
 */
#define ANSWER_PART_BYTES_MAX (1024 * 1024)

/* Encodes the additional data that is authenticated with a chunk. */
static size_t
pack_aad(const struct handover_pair *pair, uint32_t index, uint32_t count,
    uint8_t out[AAD_BYTES_MAX])
{
	struct loom_packer packer;

	loom_pack_init(&packer, out, AAD_BYTES_MAX);
	loom_pack_u64(&packer, pair->source_host_id);
	loom_pack_u64(&packer, pair->source_incarnation);
	loom_pack_u64(&packer, pair->successor_incarnation);
	loom_pack_u64(&packer, index);
	loom_pack_u64(&packer, count);
	return packer.len;
}

size_t
handover_chunk_seal(const uint8_t key[LOOM_DERIVED_KEY_SIZE],
    const struct handover_pair *pair, uint32_t index, uint32_t count,
    const uint8_t *data, size_t len, uint8_t out[HANDOVER_MESSAGE_MAX])
{
	uint8_t ciphertext[HANDOVER_CHUNK_BYTES + TAG_SIZE];
	uint8_t nonce[NONCE_SIZE], aad[AAD_BYTES_MAX];
	size_t aad_len = pack_aad(pair, index, count, aad);
	unsigned long long ciphertext_len;
	struct loom_packer packer;

	if (len > HANDOVER_CHUNK_BYTES)
		return 0;
	randombytes_buf(nonce, sizeof(nonce));
	crypto_aead_xchacha20poly1305_ietf_encrypt(ciphertext, &ciphertext_len,
	    data, len, aad, aad_len, NULL, nonce, key);
	loom_pack_init(&packer, out, HANDOVER_MESSAGE_MAX);
	loom_pack_u64(&packer, index);
	loom_pack_u64(&packer, count);
	loom_pack_bin(&packer, nonce, sizeof(nonce));
	loom_pack_bin(&packer, ciphertext, (size_t)ciphertext_len);
	return loom_pack_ok(&packer) ? packer.len : 0;
}

bool
handover_chunk_open(const uint8_t key[LOOM_DERIVED_KEY_SIZE],
    const struct handover_pair *pair, const uint8_t *message, size_t len,
    struct handover_chunk *chunk)
{
	uint8_t nonce[NONCE_SIZE], aad[AAD_BYTES_MAX];
	unsigned long long data_len;
	struct loom_unpacker unpacker;
	const uint8_t *ciphertext;
	size_t ciphertext_len, aad_len;

	loom_unpack_init(&unpacker, message, len);
	chunk->index =
	    (uint32_t)loom_unpack_u64(&unpacker, HANDOVER_CHUNKS_MAX - 1);
	chunk->count =
	    (uint32_t)loom_unpack_u64(&unpacker, HANDOVER_CHUNKS_MAX);
	loom_unpack_bin_exact(&unpacker, nonce, sizeof(nonce));
	ciphertext = loom_unpack_bin(
	    &unpacker, HANDOVER_CHUNK_BYTES + TAG_SIZE, &ciphertext_len);
	if (!loom_unpack_end(&unpacker) || chunk->index >= chunk->count)
		return false;
	aad_len = pack_aad(pair, chunk->index, chunk->count, aad);
	if (crypto_aead_xchacha20poly1305_ietf_decrypt(chunk->data, &data_len,
		NULL, ciphertext, ciphertext_len, aad, aad_len, nonce,
		key) != 0)
		return false;
	chunk->len = (size_t)data_len;
	return true;
}

size_t
handover_reply_pack(
    uint64_t incarnation, uint32_t index, uint8_t out[HANDOVER_MESSAGE_MAX])
{
	struct loom_packer packer;

	loom_pack_init(&packer, out, HANDOVER_MESSAGE_MAX);
	loom_pack_u64(&packer, incarnation);
	loom_pack_u64(&packer, index);
	return packer.len;
}

bool
handover_reply_unpack(
    const uint8_t *message, size_t len, uint64_t *incarnation, uint32_t *index)
{
	struct loom_unpacker unpacker;

	loom_unpack_init(&unpacker, message, len);
	*incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	*index = (uint32_t)loom_unpack_u64(&unpacker, HANDOVER_CHUNKS_MAX - 1);
	return loom_unpack_end(&unpacker);
}

size_t
handover_successor_pack(
    const struct handover_successor *heir, uint8_t out[HANDOVER_MESSAGE_MAX])
{
	struct loom_packer packer;
	uint32_t i;

	loom_pack_init(&packer, out, HANDOVER_MESSAGE_MAX);
	loom_pack_u64(&packer, heir->host_id);
	loom_pack_u64(&packer, heir->count);
	for (i = 0; i < heir->count; i++)
		loom_pack_u64(&packer, heir->incarnations[i]);
	return loom_pack_ok(&packer) ? packer.len : 0;
}

bool
handover_successor_unpack(
    const uint8_t *message, size_t len, struct handover_successor *heir)
{
	struct loom_unpacker unpacker;
	uint32_t i;

	loom_unpack_init(&unpacker, message, len);
	heir->host_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	heir->count = loom_unpack_count(&unpacker, HANDOVER_INCARNATIONS_MAX);
	for (i = 0; i < heir->count; i++)
		heir->incarnations[i] = loom_unpack_u64(&unpacker, UINT64_MAX);
	return loom_unpack_end(&unpacker);
}

void
handover_state_begin(struct loom_packer *packer)
{
	loom_pack_u64(packer, STATE_VERSION);
}

void
handover_state_end(struct loom_packer *packer)
{
	loom_pack_u64(packer, HANDOVER_ITEM_END);
}

void
handover_issuer_pack(
    struct loom_packer *packer, const struct handover_issuer *issuer)
{
	loom_pack_u64(packer, HANDOVER_ITEM_ISSUER);
	loom_pack_u64(packer, issuer->host_id);
	loom_pack_u64(packer, issuer->incarnation);
	loom_pack_bin(packer, issuer->secret, sizeof(issuer->secret));
	loom_pack_u64(packer, issuer->remaining_us);
}

void
handover_window_pack(struct loom_packer *packer, uint64_t incarnation,
    uint64_t team_id, const struct ticket_window *window)
{
	loom_pack_u64(packer, HANDOVER_ITEM_WINDOW);
	loom_pack_u64(packer, incarnation);
	loom_pack_u64(packer, team_id);
	loom_pack_u64(packer, window->next);
	loom_pack_bin(packer, window->bits, ticket_window_bytes(window));
}

size_t
handover_answer_size(const struct loom_ticket_run *run)
{
	return 12 * LOOM_PACKED_SCALAR_MAX +
	    sizeof(struct loom_request_digest) + run->answer->head_bytes +
	    run->answer->body_bytes;
}

void
handover_answer_pack(
    struct loom_packer *packer, const struct loom_ticket_run *run)
{
	loom_pack_u64(packer, HANDOVER_ITEM_ANSWER);
	loom_pack_u64(packer, run->key.incarnation);
	loom_pack_u64(packer, run->key.team_id);
	loom_pack_u64(packer, run->key.number);
	loom_pack_bin(packer, run->digest.head, sizeof(run->digest.head));
	loom_pack_bool(packer, run->digest.has_body);
	loom_pack_bin(packer, run->digest.body, sizeof(run->digest.body));
	loom_pack_u64(packer, run->answer->status);
	loom_pack_bin(packer, run->answer->head, run->answer->head_bytes);
	loom_pack_bin(packer, run->answer->body, run->answer->body_bytes);
}

static void
read_issuer(
    struct loom_unpacker *unpacker, const struct handover_reader *reader)
{
	struct handover_issuer issuer;

	issuer.host_id = loom_unpack_u64(unpacker, UINT64_MAX);
	issuer.incarnation = loom_unpack_u64(unpacker, UINT64_MAX);
	loom_unpack_bin_exact(unpacker, issuer.secret, sizeof(issuer.secret));
	issuer.remaining_us = loom_unpack_u64(unpacker, UINT64_MAX);
	if (reader != NULL)
		reader->issuer(reader->arg, &issuer);
}

static void
read_window(
    struct loom_unpacker *unpacker, const struct handover_reader *reader)
{
	struct ticket_window window = { 0 };
	uint64_t incarnation, team_id;
	const uint8_t *bits;
	size_t len;

	incarnation = loom_unpack_u64(unpacker, UINT64_MAX);
	team_id = loom_unpack_u64(unpacker, UINT64_MAX);
	window.next =
	    loom_unpack_u64(unpacker, UINT64_MAX - TICKET_WINDOW_SIZE);
	bits = loom_unpack_bin(unpacker, sizeof(window.bits), &len);
	/* With fewer bytes, used ticket numbers would be read as unused. */
	if (bits == NULL || len != ticket_window_bytes(&window)) {
		loom_unpack_reject(unpacker);
		return;
	}
	memcpy(window.bits, bits, len);
	if (reader != NULL)
		reader->window(reader->arg, incarnation, team_id, &window);
}

static void
read_answer(
    struct loom_unpacker *unpacker, const struct handover_reader *reader)
{
	struct loom_request_digest digest = { 0 };
	struct loom_answer *answer;
	const uint8_t *head, *body;
	size_t head_len, body_len;
	struct ticket_key key;
	uint16_t status;

	key.incarnation = loom_unpack_u64(unpacker, UINT64_MAX);
	key.team_id = loom_unpack_u64(unpacker, UINT64_MAX);
	key.number = loom_unpack_u64(unpacker, UINT64_MAX);
	loom_unpack_bin_exact(unpacker, digest.head, sizeof(digest.head));
	digest.has_body = loom_unpack_bool(unpacker);
	loom_unpack_bin_exact(unpacker, digest.body, sizeof(digest.body));
	status = (uint16_t)loom_unpack_u64(unpacker, UINT16_MAX);
	head = loom_unpack_bin(unpacker, ANSWER_PART_BYTES_MAX, &head_len);
	body = loom_unpack_bin(unpacker, ANSWER_PART_BYTES_MAX, &body_len);
	if (reader == NULL || head == NULL || body == NULL)
		return;
	answer = loom_answer_new(
	    status, (const char *)head, head_len, body, body_len);
	reader->answer(reader->arg, &key, &digest, answer);
	loom_answer_release(answer);
}

/* Decodes the items of a state. If reader is NULL, only validates them. */
static bool
read_items(
    const uint8_t *state, size_t len, const struct handover_reader *reader)
{
	struct loom_unpacker unpacker;
	uint64_t tag;

	loom_unpack_init(&unpacker, state, len);
	if (loom_unpack_u64(&unpacker, STATE_VERSION) != STATE_VERSION)
		return false;
	while (loom_unpack_error(&unpacker) == LOOM_OK) {
		tag = loom_unpack_u64(&unpacker, HANDOVER_ITEM_ANSWER);
		if (tag == HANDOVER_ITEM_END)
			break;
		if (tag == HANDOVER_ITEM_ISSUER)
			read_issuer(&unpacker, reader);
		else if (tag == HANDOVER_ITEM_WINDOW)
			read_window(&unpacker, reader);
		else
			read_answer(&unpacker, reader);
	}
	return loom_unpack_end(&unpacker);
}

bool
handover_state_read(
    const uint8_t *state, size_t len, const struct handover_reader *reader)
{
	return read_items(state, len, NULL) && read_items(state, len, reader);
}
