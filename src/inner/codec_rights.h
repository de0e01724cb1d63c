#ifndef LOOM_INNER_CODEC_RIGHTS_H
#define LOOM_INNER_CODEC_RIGHTS_H

/*
 * The messages between a pool and the daemons below it.  One message carries
 * all teams that have something to say.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "decide/holding.h"

/* More teams go into further messages. */
#define LOOM_RIGHTS_ENTRIES_MAX 256

/* Bytes that hold any message of this many entries. */
#define LOOM_RIGHTS_MESSAGE_MAX (LOOM_RIGHTS_ENTRIES_MAX * 100 + 128)

/* A child's word on one team. */
struct loom_rights_up_entry {
	uint64_t team_id;
	uint64_t got_seq; /* of the last grant that reached it */
	struct loom_share keep; /* of its loan from this pool */
	uint64_t held_utok; /* tokens, and capacity lent on */
	uint64_t need_utok; /* for calls that wait */
	uint64_t first_utok; /* the first of them lacks this */
	uint64_t ahead_utok; /* for calls that may come */
	uint64_t give_utok; /* given back with this message */
	uint64_t demand_mhz; /* calls per 1000 s, here and below */
};

struct loom_rights_up {
	uint64_t seq;
	uint64_t now_us; /* the child's clock, echoed by the pool */
	uint64_t pool_incarnation; /* 0: not known yet */
	uint64_t pool_now_us; /* echo of the pool's clock */
	/* Lent to the pool of every team; duration 0: as said before. */
	uint64_t lend_parts;
	uint64_t lend_us;
	uint32_t stage;
	uint32_t nentries;
	struct loom_rights_up_entry entries[LOOM_RIGHTS_ENTRIES_MAX];
};

enum loom_rights_flag {
	LOOM_RIGHTS_GRANT = 1, /* share, tokens and duration count */
	LOOM_RIGHTS_RECALL = 2, /* give back what no call waits for */
	LOOM_RIGHTS_SCARCE = 4, /* do not ask ahead for now */
	LOOM_RIGHTS_PLENTY = 8, /* ask further ahead, and less often */
};

/* A pool's word on one team. */
struct loom_rights_down_entry {
	uint64_t team_id;
	uint32_t flags;
	struct loom_share share;
	uint64_t tokens_utok;
	uint64_t flash_utok; /* of these, only for calls that wait */
	uint64_t duration_us;
	uint64_t retry_us; /* not 0: no token before that time has passed */
};

struct loom_rights_down {
	uint64_t seq;
	uint64_t child_incarnation;
	uint64_t child_now_us; /* echo of the child's clock */
	uint64_t now_us; /* the pool's clock */
	bool leaving; /* find another pool */
	uint32_t nentries;
	struct loom_rights_down_entry entries[LOOM_RIGHTS_ENTRIES_MAX];
};

/* Bytes written to buf of LOOM_RIGHTS_MESSAGE_MAX; 0 when it did not fit. */
size_t loom_rights_up_pack(
    const struct loom_rights_up *, uint8_t *buf, size_t size);
size_t loom_rights_down_pack(
    const struct loom_rights_down *, uint8_t *buf, size_t size);

/* False for anything malformed or out of its bounds. */
bool loom_rights_up_unpack(
    struct loom_rights_up *, const uint8_t *data, size_t len);
bool loom_rights_down_unpack(
    struct loom_rights_down *, const uint8_t *data, size_t len);

#endif
