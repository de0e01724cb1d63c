#ifndef LOOM_INNER_HANDOVER_CODEC_H
#define LOOM_INNER_HANDOVER_CODEC_H

/*
 * Messages for handing over tickets from a daemon that shuts down, the source,
 * to its successor, and the state that they transfer.
 */

#include "decide/ticket_store.h"
#include "inner/mac_text.h"
#include "loom/codec.h"
#include "loom/control.h"

enum handover_message {
	HANDOVER_OFFER =
	    LOOM_MESSAGE_TICKET_FIRST, /* source: will you be the successor? */
	HANDOVER_ACCEPT, /* successor: yes; envelope has its incarnation */
	HANDOVER_CHUNK, /* source: one chunk of the state */
	HANDOVER_ACK, /* successor: the chunk has arrived */
	HANDOVER_SUCCESSOR, /* the successor for these incarnations */
	HANDOVER_QUERY, /* new incarnation: whose tickets do you run? */
	HANDOVER_LAST = HANDOVER_QUERY,
};

/* Small enough not to delay other control messages on the connection. */
#define HANDOVER_CHUNK_BYTES 16384
#define HANDOVER_STATE_MAX (UINT32_C(8) * 1024 * 1024)
#define HANDOVER_CHUNKS_MAX (HANDOVER_STATE_MAX / HANDOVER_CHUNK_BYTES)
/* Buffer size that is enough for any message. */
#define HANDOVER_MESSAGE_MAX (HANDOVER_CHUNK_BYTES + 256)
#define HANDOVER_INCARNATIONS_MAX 256

/* Sender and receiver of a chunk. Decryption fails for any other pair. */
struct handover_pair {
	uint64_t source_host_id;
	uint64_t source_incarnation;
	uint64_t successor_incarnation;
};

/* Encrypts a chunk. Returns the length of the message, or 0 on failure. */
size_t handover_chunk_seal(const uint8_t key[LOOM_DERIVED_KEY_SIZE],
    const struct handover_pair *pair, uint32_t index, uint32_t count,
    const uint8_t *data, size_t len, uint8_t out[HANDOVER_MESSAGE_MAX]);

struct handover_chunk {
	uint32_t index;
	uint32_t count;
	size_t len;
	uint8_t data[HANDOVER_CHUNK_BYTES];
};

/*
 * Decrypts a chunk. Returns false unless it is complete, authentic and meant
 * for this pair.
 */
bool handover_chunk_open(const uint8_t key[LOOM_DERIVED_KEY_SIZE],
    const struct handover_pair *pair, const uint8_t *message, size_t len,
    struct handover_chunk *chunk);

/*
 * ACCEPT and ACK messages: the source's incarnation, to match the answer with
 * the hand-over, and the chunk index (0 in ACCEPT).
 */
size_t handover_reply_pack(
    uint64_t incarnation, uint32_t index, uint8_t out[HANDOVER_MESSAGE_MAX]);
bool handover_reply_unpack(
    const uint8_t *message, size_t len, uint64_t *incarnation, uint32_t *index);

/* The HEIR message. */
struct handover_successor {
	uint64_t host_id;
	uint32_t count;
	uint64_t incarnations[HANDOVER_INCARNATIONS_MAX];
};

size_t handover_successor_pack(
    const struct handover_successor *heir, uint8_t out[HANDOVER_MESSAGE_MAX]);
bool handover_successor_unpack(
    const uint8_t *message, size_t len, struct handover_successor *heir);

/* The state is a sequence of items, each preceded by its type. */
enum handover_item {
	HANDOVER_ITEM_END = 0,
	HANDOVER_ITEM_ISSUER = 1,
	HANDOVER_ITEM_WINDOW = 2,
	HANDOVER_ITEM_ANSWER = 3,
};

struct handover_issuer {
	uint64_t host_id;
	uint64_t incarnation;
	uint8_t secret[LOOM_DERIVED_KEY_SIZE];
	uint64_t remaining_us; /* until its tickets expire */
};

/* The state begins with its version and ends with HANDOVER_ITEM_END. */
void handover_state_begin(struct loom_packer *packer);
void handover_state_end(struct loom_packer *packer);
void handover_issuer_pack(
    struct loom_packer *packer, const struct handover_issuer *issuer);
void handover_window_pack(struct loom_packer *packer, uint64_t incarnation,
    uint64_t team_id, const struct ticket_window *window);
/* Returns the maximum encoded size of a stored answer, in bytes. */
size_t handover_answer_size(const struct loom_ticket_run *run);
void handover_answer_pack(
    struct loom_packer *packer, const struct loom_ticket_run *run);

/* Callbacks for the items of a state. */
struct handover_reader {
	void (*issuer)(void *arg, const struct handover_issuer *issuer);
	void (*window)(void *arg, uint64_t incarnation, uint64_t team_id,
	    const struct ticket_window *window);
	/* the callback must acquire the answer to keep it */
	void (*answer)(void *arg, const struct ticket_key *key,
	    const struct loom_request_digest *digest,
	    struct loom_answer *answer);
	void *arg; /* borrowed */
};

/*
 * Decodes a whole state. A first pass validates it without calling the
 * callbacks, so that a malformed state installs nothing.
 */
bool handover_state_read(
    const uint8_t *state, size_t len, const struct handover_reader *reader);

#endif
