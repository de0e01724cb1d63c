#ifndef LOOM_DECIDE_TICKET_BOOK_H
#define LOOM_DECIDE_TICKET_BOOK_H

/*
 * What one shard of an executor knows of its tickets: windows by issuer and
 * team, the runs of now, and the answers that are kept.  No lock, no clock.
 */

#include "decide/ticket_windows.h"
#include "loom/ticket.h"

struct ticket_key {
	uint64_t incarnation; /* of the issuer */
	uint64_t team_id;
	uint64_t number;
};

/* A run or a kept answer. */
struct loom_ticket_run {
	struct ticket_key key; /* first: the key in the book */
	struct loom_request_digest digest;
	bool running;
	GArray *waiters; /* struct loom_ticket_waiter; owned */
	struct loom_answer *answer; /* owned; set when not running */
	uint32_t kept_bytes;
	GList link; /* in the list of kept answers */
};

struct ticket_book;

/* limits are those of this book alone; owned. */
struct ticket_book *ticket_book_new(const struct loom_ticket_limits *limits);
void ticket_book_free(struct ticket_book *);

/* LOOM_OK with *first set, or LOOM_OVERLOAD: too many teams. */
enum loom_result ticket_book_issue(struct ticket_book *, uint64_t incarnation,
    uint64_t team_id, uint32_t count, uint64_t *first);

/*
 * What an arrival gets.  frozen: nothing unused may run here any more; such
 * a ticket is refused with LOOM_TICKET_MOVING.
 */
void ticket_book_begin(struct ticket_book *, const struct ticket_key *,
    const struct loom_request_digest *, const struct loom_ticket_waiter *,
    bool frozen, struct loom_ticket_begin *);

/* End a run; its waiters are handed out, owned by the caller. */
GArray *ticket_book_finish(struct ticket_book *, struct loom_ticket_run *,
    enum loom_outcome, struct loom_answer *answer);
GArray *ticket_book_abandon(struct ticket_book *, struct loom_ticket_run *);

bool ticket_book_detach(struct ticket_book *, const struct ticket_key *,
    const struct loom_ticket_waiter *);

uint32_t ticket_book_running(const struct ticket_book *);
uint32_t ticket_book_kept_bytes(const struct ticket_book *);

/* Borrowed: for a hand-over. */
struct ticket_windows *ticket_book_windows(struct ticket_book *);

/* Kept answers, the last used one first, until each says false. */
void ticket_book_each_kept(struct ticket_book *,
    bool (*each)(void *arg, const struct loom_ticket_run *), void *arg);

/* Keep an answer that was handed over. */
void ticket_book_put_kept(struct ticket_book *, const struct ticket_key *,
    const struct loom_request_digest *, struct loom_answer *);

#endif
