#ifndef LOOM_INNER_RIGHTS_CODEC_H
#define LOOM_INNER_RIGHTS_CODEC_H

/*
 * Messages between a pool and the daemons below it in the tree. One message
 * carries an entry for each team that has something to report.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "decide/team_bucket.h"

/* Entries in one message. Further teams are sent in additional messages. */
#define LOOM_RIGHTS_ENTRIES_MAX 256

/* Buffer size that is enough for a message with this many entries. */
#define LOOM_RIGHTS_MESSAGE_MAX (LOOM_RIGHTS_ENTRIES_MAX * 120 + 128)

/* A child's report on one team. */
struct loom_rights_up_entry {
	uint64_t team_id;
	uint64_t received_seq; /* of the last grant received */
	struct loom_share
	    kept_share; /* part of this pool's loan that it keeps */
	uint64_t held_utok; /* its tokens, and capacity it has lent */
	uint64_t needed_utok; /* needed by waiting calls */
	uint64_t
	    first_missing_utok; /* still missing for the first waiting call */
	uint64_t prefetch_utok; /* requested in advance for expected calls */
	uint64_t returned_utok; /* returned by this message */
	/*
	 * Given back by this message: tokens of calls that did not run, taken
	 * at given_us or later by the child's clock. The child holds no
	 * capacity for them.
	 */
	uint64_t given_utok;
	uint64_t given_us;
	uint64_t demand_mhz; /* calls per 1000 s, including below it */
};

struct loom_rights_up {
	uint64_t seq;
	uint64_t now_us; /* the child's clock; the pool echoes it */
	uint64_t pool_incarnation; /* 0 while unknown */
	uint64_t pool_now_us; /* the pool's clock, echoed */
	/*
	 * Share of every team that is lent to the pool, and for how long. A
	 * duration of 0 means unchanged.
	 */
	uint64_t lend_parts;
	uint64_t lend_us;
	uint32_t stage;
	uint32_t nentries;
	struct loom_rights_up_entry entries[LOOM_RIGHTS_ENTRIES_MAX];
};

enum loom_rights_flag {
	LOOM_RIGHTS_GRANT = 1, /* share, tokens and duration are valid */
	LOOM_RIGHTS_RECALL = 2, /* return tokens that no waiting call needs */
	LOOM_RIGHTS_NO_PREFETCH =
	    4, /* do not request tokens in advance for now */
	LOOM_RIGHTS_MORE_PREFETCH =
	    8, /* request further in advance, and less often */
};

/* A pool's reply on one team. */
struct loom_rights_down_entry {
	uint64_t team_id;
	uint32_t flags;
	struct loom_share share;
	uint64_t tokens_utok;
	uint64_t transit_utok; /* of these, only for waiting calls */
	uint64_t duration_us;
	uint64_t no_tokens_us; /* if not 0, no tokens until it has passed */
};

struct loom_rights_down {
	uint64_t seq;
	uint64_t child_incarnation;
	uint64_t child_now_us; /* the child's clock, echoed */
	uint64_t now_us; /* the pool's clock */
	bool draining; /* the pool is shutting down; use another one */
	uint32_t nentries;
	struct loom_rights_down_entry entries[LOOM_RIGHTS_ENTRIES_MAX];
};

/*
 * Write a message to buf, which should have LOOM_RIGHTS_MESSAGE_MAX bytes.
 * Return the number of bytes written, or 0 if the message did not fit.
 */
size_t loom_rights_up_pack(
    const struct loom_rights_up *, uint8_t *buf, size_t size);
size_t loom_rights_down_pack(
    const struct loom_rights_down *, uint8_t *buf, size_t size);

/* Return false if the message is malformed or a value is out of bounds. */
bool loom_rights_up_unpack(
    struct loom_rights_up *, const uint8_t *data, size_t len);
bool loom_rights_down_unpack(
    struct loom_rights_down *, const uint8_t *data, size_t len);

#endif
