#ifndef LOOM_DECIDE_TICKET_STORE_H
#define LOOM_DECIDE_TICKET_STORE_H

/*
 * The tickets of one shard of an executor: the state windows by issuer and
 * team, the runs in progress, and the cached answers.  Does no locking and
 * reads no clock.
 */

#include "decide/ticket_windows.h"
#include "loom/ticket.h"

struct ticket_key {
	uint64_t incarnation; /* of the issuer */
	uint64_t team_id;
	uint64_t number;
};

/* A run in progress or a cached answer. */
struct loom_ticket_run {
	/* key in the hash table; must be the first field */
	struct ticket_key key;
	struct loom_request_digest digest;
	bool running;
	GArray *waiters; /* struct loom_ticket_waiter; owned */
	struct loom_answer *answer; /* owned; set when not running */
	uint32_t cached_bytes;
	GList link; /* in the LRU list of cached answers */
};

struct ticket_store;

/* Creates a store; limits are per store.  Owned by the caller. */
struct ticket_store *ticket_store_new(const struct loom_ticket_limits *limits);
void ticket_store_free(struct ticket_store *);

/* Returns LOOM_OK with *first set, or LOOM_OVERLOAD for too many teams. */
enum loom_result ticket_store_issue(struct ticket_store *, uint64_t incarnation,
    uint64_t team_id, uint32_t count, uint64_t *first);

/*
 * Decides what happens to a request with a ticket.  While frozen is set no
 * unused ticket may start to run; it is refused with LOOM_TICKET_MOVING.
 */
void ticket_store_begin(struct ticket_store *, const struct ticket_key *,
    const struct loom_request_digest *, const struct loom_ticket_waiter *,
    bool frozen, struct loom_ticket_begin *);

/* End a run and return its waiters, owned by the caller. */
GArray *ticket_store_finish(struct ticket_store *, struct loom_ticket_run *,
    enum loom_outcome, struct loom_answer *answer);
GArray *ticket_store_abandon(struct ticket_store *, struct loom_ticket_run *);

bool ticket_store_detach(struct ticket_store *, const struct ticket_key *,
    const struct loom_ticket_waiter *);

uint32_t ticket_store_running_count(const struct ticket_store *);
uint32_t ticket_store_cached_bytes(const struct ticket_store *);

/* Borrowed; used by the handover. */
struct ticket_windows *ticket_store_windows(struct ticket_store *);

/*
 * Calls callback for each cached answer, most recently used first, until it
 * returns false.
 */
void ticket_store_foreach_answer(struct ticket_store *,
    bool (*callback)(void *arg, const struct loom_ticket_run *), void *arg);

/* Caches an answer that another executor handed over. */
void ticket_store_import_answer(struct ticket_store *,
    const struct ticket_key *, const struct loom_request_digest *,
    struct loom_answer *);

#endif
