#ifndef LOOM_INNER_HANDOVER_CODEC_H
#define LOOM_INNER_HANDOVER_CODEC_H

/*
 * The messages of a hand-over of tickets, and the state that they carry.
 */

#include "decide/ticket_book.h"
#include "inner/seal.h"
#include "loom/codec.h"
#include "loom/control.h"

enum handover_message {
	HANDOVER_OFFER = LOOM_MESSAGE_TICKET_FIRST, /* leaver: will you? */
	HANDOVER_ACCEPT, /* heir: yes, and this is my incarnation */
	HANDOVER_CHUNK, /* leaver: a part of the state */
	HANDOVER_ACK, /* heir: that part has arrived */
	HANDOVER_HEIR, /* who runs the tickets of these incarnations */
	HANDOVER_ASK, /* a new incarnation: whose heir are you? */
	HANDOVER_LAST = HANDOVER_ASK,
};

/* Small enough to mix with other control messages on a link. */
#define HANDOVER_CHUNK_BYTES 16384
#define HANDOVER_STATE_MAX (UINT32_C(8) * 1024 * 1024)
#define HANDOVER_CHUNKS_MAX (HANDOVER_STATE_MAX / HANDOVER_CHUNK_BYTES)
/* Room for any message. */
#define HANDOVER_MESSAGE_MAX (HANDOVER_CHUNK_BYTES + 256)
#define HANDOVER_INCARNATIONS_MAX 256

/* Between whom a chunk goes; a chunk opens for no other pair. */
struct handover_pair {
	uint64_t leaver_host_id;
	uint64_t leaver_incarnation;
	uint64_t heir_incarnation;
};

/* Seal one chunk; returns the message's length, 0 on failure. */
size_t handover_chunk_seal(const uint8_t key[LOOM_SEAL_KEY_SIZE],
    const struct handover_pair *pair, uint32_t index, uint32_t count,
    const uint8_t *data, size_t len, uint8_t out[HANDOVER_MESSAGE_MAX]);

struct handover_chunk {
	uint32_t index;
	uint32_t count;
	size_t len;
	uint8_t data[HANDOVER_CHUNK_BYTES];
};

/* Read a chunk; false unless it is whole, authentic and for this pair. */
bool handover_chunk_open(const uint8_t key[LOOM_SEAL_KEY_SIZE],
    const struct handover_pair *pair, const uint8_t *message, size_t len,
    struct handover_chunk *chunk);

/* ACCEPT and ACK: the leaver's incarnation, and the chunk's index. */
size_t handover_reply_pack(
    uint64_t incarnation, uint32_t index, uint8_t out[HANDOVER_MESSAGE_MAX]);
bool handover_reply_unpack(
    const uint8_t *message, size_t len, uint64_t *incarnation, uint32_t *index);

/* HEIR. */
struct handover_heir {
	uint64_t host_id;
	uint32_t count;
	uint64_t incarnations[HANDOVER_INCARNATIONS_MAX];
};

size_t handover_heir_pack(
    const struct handover_heir *heir, uint8_t out[HANDOVER_MESSAGE_MAX]);
bool handover_heir_unpack(
    const uint8_t *message, size_t len, struct handover_heir *heir);

/* The state is a run of items, each behind its tag. */
enum handover_item {
	HANDOVER_ITEM_END = 0,
	HANDOVER_ITEM_ISSUER = 1,
	HANDOVER_ITEM_WINDOW = 2,
	HANDOVER_ITEM_KEPT = 3,
};

struct handover_issuer {
	uint64_t host_id;
	uint64_t incarnation;
	uint8_t secret[LOOM_SEAL_KEY_SIZE];
	uint64_t remaining_us; /* until its tickets are forgotten */
};

/* A state opens with its version and ends with END. */
void handover_state_begin(struct loom_packer *packer);
void handover_state_end(struct loom_packer *packer);
void handover_issuer_pack(
    struct loom_packer *packer, const struct handover_issuer *issuer);
void handover_window_pack(struct loom_packer *packer, uint64_t incarnation,
    uint64_t team_id, const struct ticket_window *window);
/* What an answer takes in the state, in bytes, at most. */
size_t handover_kept_size(const struct loom_ticket_run *run);
void handover_kept_pack(
    struct loom_packer *packer, const struct loom_ticket_run *run);

/* What a reader of the state does with each item. */
struct handover_reader {
	void (*issuer)(void *arg, const struct handover_issuer *issuer);
	void (*window)(void *arg, uint64_t incarnation, uint64_t team_id,
	    const struct ticket_window *window);
	/* answer is borrowed: acquire to keep */
	void (*kept)(void *arg, const struct ticket_key *key,
	    const struct loom_request_digest *digest,
	    struct loom_answer *answer);
	void *arg; /* borrowed */
};

/*
 * Read a whole state.  It is read once for its form with no reader called,
 * and only then again, so that a malformed one installs nothing.
 */
bool handover_state_read(
    const uint8_t *state, size_t len, const struct handover_reader *reader);

#endif
