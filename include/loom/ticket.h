#ifndef LOOM_TICKET_H
#define LOOM_TICKET_H

/*
 * Tickets make a non-idempotent request run at most once: each ticket can be
 * run by one incarnation of one daemon only, its executor, which is chosen
 * before the request is sent.
 *
 * A ticket names its executor (host and incarnation), team, route and number,
 * and carries a MAC with a secret of that incarnation.  The executor keeps a
 * window of numbers for each team with two bits a number: unused, used, ran,
 * refused.  None of this depends on time, so a pause of any length changes no
 * answer.
 *
 * A refusal with the outcome not-run spends the ticket.  Otherwise a copy of
 * the request that was delayed by a paused daemon or a slow link could run
 * after its caller was told that it never would, and had started over with
 * another ticket.
 *
 * All functions except the parser are safe to call from any thread.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/context.h"
#include "loom/control.h"
#include "loom/ref.h"
#include "loom/result.h"

#define LOOM_TICKET_MAC_SIZE 16
/* Buffer size for the text of a ticket, including the final NUL. */
#define LOOM_TICKET_TEXT_MAX 128
/* Maximum number of tickets issued by one call. */
#define LOOM_TICKET_ISSUE_MAX 64

/* The fields of a ticket that can be read without the executor's secret. */
struct loom_ticket {
	uint64_t host_id; /* the executor; the request is sent only there */
	uint64_t incarnation;
	uint64_t team_id;
	uint64_t route_id; /* loom_name_id() of the route's name */
	uint64_t number;
	uint8_t mac[LOOM_TICKET_MAC_SIZE];
};

/*
 * Returns LOOM_OK or LOOM_TICKET_INVALID.  Does not verify the MAC; only
 * loom_tickets_begin() does.
 */
enum loom_result loom_ticket_parse(
    const char *text, size_t len, struct loom_ticket *);

/*
 * A complete answer, cached for repeated requests.  Immutable,
 * reference-counted.
 */
struct loom_answer {
	struct loom_ref ref;
	uint16_t status;
	char *head; /* owned: header lines, each ended by CRLF */
	size_t head_bytes;
	uint8_t *body; /* owned */
	size_t body_bytes;
};

/* Copies head and body. */
struct loom_answer *loom_answer_new(uint16_t status, const char *head,
    size_t head_bytes, const void *body, size_t body_bytes);
struct loom_answer *loom_answer_acquire(struct loom_answer *);
void loom_answer_release(struct loom_answer *); /* ignores NULL */

/*
 * Identifies the request, so that a ticket cannot be used for a different one.
 */
struct loom_request_digest {
	uint8_t head[16]; /* method, path with query, declared length */
	uint8_t body[16];
	bool has_body; /* false for a streamed body */
};

void loom_request_digest(struct loom_request_digest *, const char *method,
    const char *path, uint64_t declared_bytes, const void *body, size_t len);

/* Called once when a run ends that another copy of the request started. */
struct loom_ticket_waiter {
	/*
	 * Receives LOOM_OK with a borrowed answer, or a refusal.  Called from
	 * any thread, without locks held.
	 */
	void (*done)(void *arg, enum loom_result code,
	    enum loom_outcome outcome, struct loom_answer *answer);
	/*
	 * borrowed until done is called or loom_tickets_detach() returns true
	 */
	void *arg;
};

struct loom_tickets;

struct loom_ticket_limits {
	uint32_t cached_bytes; /* of all cached answers */
	uint32_t answer_bytes; /* of one answer; a larger one is not cached */
	uint32_t waiters; /* of one run */
	uint32_t teams; /* teams with a window */
};

/* 16 MB, 64 KB, 16, 4096. */
extern const struct loom_ticket_limits loom_ticket_limits_default;

struct loom_tickets_config {
	const struct loom_self *self; /* borrowed until loom_tickets_free() */
	const uint8_t *fleet_secret; /* LOOM_FLEET_SECRET_SIZE bytes, copied */
	/* borrowed until loom_tickets_free() */
	const struct loom_random *random;
	/* borrowed until loom_tickets_free() */
	const struct loom_sender *sender;
	struct loom_ticket_limits limits;
};

struct loom_tickets *loom_tickets_new(
    const struct loom_tickets_config *); /* owned by the caller */
void loom_tickets_free(struct loom_tickets *);

/*
 * Issues count tickets with this daemon as their executor.  Safe to repeat: an
 * unused ticket costs two bits.  Returns LOOM_OK; LOOM_BAD_REQUEST for a count
 * of 0 or above LOOM_TICKET_ISSUE_MAX; LOOM_DRAINING; or LOOM_OVERLOAD for too
 * many teams.
 */
enum loom_result loom_tickets_issue(struct loom_tickets *, uint64_t team_id,
    uint64_t route_id, uint32_t count, char texts[][LOOM_TICKET_TEXT_MAX]);

enum loom_ticket_verdict {
	LOOM_TICKET_VERDICT_RUN, /* run it, then finish or abandon */
	LOOM_TICKET_VERDICT_ATTACHED, /* the waiter will be called */
	LOOM_TICKET_VERDICT_ANSWER, /* answer is set */
	LOOM_TICKET_VERDICT_REFUSED, /* code and outcome are set */
};

struct loom_ticket_begin {
	enum loom_ticket_verdict verdict;
	enum loom_result code;
	enum loom_outcome outcome;
	struct loom_answer *answer; /* owned by the caller for ANSWER */
	/* for RUN: owned until finish or abandon */
	struct loom_ticket_run *run;
	/*
	 * For LOOM_TICKET_MOVED: the successor that took the tickets over, to
	 * which the request is forwarded.  If another daemon forwards it, this
	 * is the refusal's heir_host_id.
	 */
	uint64_t successor_host_id;
};

/*
 * Decides what happens to a request with a ticket.  Call it before any other
 * check that may refuse the request, so that each refusal goes through
 * loom_tickets_abandon(). team_id and route_id are those of the request.
 */
void loom_tickets_begin(struct loom_tickets *, const struct loom_ticket *,
    uint64_t team_id, uint64_t route_id, const struct loom_request_digest *,
    const struct loom_ticket_waiter *, struct loom_ticket_begin *);

/*
 * Ends a run that was sent to the upstream: with RAN and the answer, which is
 * NULL if it was streamed or is too large to cache, or with UNKNOWN and the
 * code that the caller got.  The answer is borrowed.
 */
void loom_tickets_finish(struct loom_tickets *, struct loom_ticket_run *run,
    enum loom_outcome, enum loom_result code, struct loom_answer *answer);

/*
 * Ends a run of which provably no byte reached the upstream.  The ticket is
 * spent; waiters get the code with the outcome not-run.
 */
void loom_tickets_abandon(
    struct loom_tickets *, struct loom_ticket_run *run, enum loom_result code);

/*
 * Removes a waiter whose caller went away.  Returns false if it has been called
 * or is about to be.
 */
bool loom_tickets_detach(struct loom_tickets *, const struct loom_ticket *,
    const struct loom_ticket_waiter *);

/*
 * Handover at shutdown (message types 50-55).  After the drain callback, unused
 * tickets are refused with LOOM_TICKET_MOVING, and with LOOM_TICKET_MOVED once
 * handed over.  Returns true when the daemon may exit: the tickets are handed
 * over, or no successor was found.
 */
bool loom_tickets_drained(struct loom_tickets *);

/*
 * Ranks the hosts to query for a ticket whose executor is no longer in the host
 * list or refuses connections: the live hosts of the service, in the order in
 * which the executor ranks its successors.  Only the successor can run the
 * ticket; any other host refuses it with LOOM_TICKET_MOVED or LOOM_TICKET_LOST.
 * Writes up to max ids and returns their count.
 */
size_t loom_ticket_successors(const struct loom_hosts *, uint64_t service_id,
    uint64_t source_host_id, uint64_t *host_ids, size_t max);

/* Interval at which a call polls for a ticket that is being handed over. */
#define LOOM_TICKET_MOVING_POLL_US UINT64_C(100000)

/*
 * Returns whether a call that has polled this often for such a ticket may wait
 * for one more LOOM_TICKET_MOVING_POLL_US.  No host runs a ticket while it is
 * being handed over, so polling is always safe, for the daemon and for the
 * caller.
 */
bool loom_ticket_may_poll(uint32_t polls, uint64_t remaining_us);

/* Callbacks for the control thread; their argument is a struct loom_tickets. */
extern const struct loom_component_ops loom_tickets_ops;

#endif
