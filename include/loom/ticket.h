#ifndef LOOM_TICKET_H
#define LOOM_TICKET_H

/*
 * Tickets: a non-idempotent request runs at most once because one daemon
 * incarnation alone can run it, chosen before the request is sent.
 *
 * A ticket names its executor (host and incarnation), team, route and number
 * and carries a MAC by a secret of that incarnation alone.  The executor
 * keeps for each team a window of numbers with two bits a number: unused,
 * used, ran, refused.  Nothing in here depends on time: a pause of any length
 * changes no answer.
 *
 * A refusal that says not-run spends the ticket.  Otherwise a copy of the
 * request, held up by a paused daemon or a slow link, could run after its
 * caller was told that it never will, and had begun anew with another ticket.
 *
 * All functions but the parser are safe from any thread.
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
/* Room for a ticket's text, with the final NUL. */
#define LOOM_TICKET_TEXT_MAX 128
/* Tickets in one issue. */
#define LOOM_TICKET_ISSUE_MAX 64

/* A ticket as it can be read without its secret. */
struct loom_ticket {
	uint64_t host_id; /* the executor: forward to it and nowhere else */
	uint64_t incarnation;
	uint64_t team_id;
	uint64_t route_id; /* loom_name_id() of the route's name */
	uint64_t number;
	uint8_t mac[LOOM_TICKET_MAC_SIZE];
};

/* LOOM_OK or LOOM_TICKET_INVALID.  Proves nothing: only begin() does. */
enum loom_result loom_ticket_parse(
    const char *text, size_t len, struct loom_ticket *);

/* A whole answer, kept for whoever asks again; immutable, counted. */
struct loom_answer {
	struct loom_ref ref;
	uint16_t status;
	char *head; /* owned: header lines, each ended by CRLF */
	size_t head_bytes;
	uint8_t *body; /* owned */
	size_t body_bytes;
};

/* head and body are copied. */
struct loom_answer *loom_answer_new(uint16_t status, const char *head,
    size_t head_bytes, const void *body, size_t body_bytes);
struct loom_answer *loom_answer_acquire(struct loom_answer *);
void loom_answer_release(struct loom_answer *); /* NULL is passed over */

/* What the request is, so that a ticket serves no second one. */
struct loom_request_digest {
	uint8_t head[16]; /* method, path with query, declared length */
	uint8_t body[16];
	bool has_body; /* false for a body that is streamed */
};

void loom_request_digest(struct loom_request_digest *, const char *method,
    const char *path, uint64_t declared_bytes, const void *body, size_t len);

/* Told once about a run that another arrival does. */
struct loom_ticket_waiter {
	/* LOOM_OK with a borrowed answer, or a refusal.  From any thread, no
	 * lock held. */
	void (*done)(void *arg, enum loom_result code,
	    enum loom_outcome outcome, struct loom_answer *answer);
	void *arg; /* borrowed until done or a detach that says true */
};

struct loom_tickets;

struct loom_ticket_limits {
	uint32_t kept_bytes; /* of all kept answers */
	uint32_t answer_bytes; /* of one; a larger one is not kept */
	uint32_t waiters; /* on one run */
	uint32_t teams; /* windows held at once */
};

/* 16 MB, 64 KB, 16, 4096. */
extern const struct loom_ticket_limits loom_ticket_limits_default;

struct loom_tickets_config {
	const struct loom_self *self; /* borrowed for life */
	const uint8_t *fleet_secret; /* LOOM_FLEET_SECRET_SIZE, copied */
	const struct loom_random *random; /* borrowed for life */
	const struct loom_sender *sender; /* borrowed for life */
	struct loom_ticket_limits limits;
};

struct loom_tickets *loom_tickets_new(
    const struct loom_tickets_config *); /* owned */
void loom_tickets_free(struct loom_tickets *);

/*
 * Issue count tickets at this executor.  Repeating it is safe: a ticket that
 * is not used costs two bits.  LOOM_OK, LOOM_BAD_REQUEST for a count of 0 or
 * over LOOM_TICKET_ISSUE_MAX, LOOM_DRAINING, LOOM_OVERLOAD (too many teams).
 */
enum loom_result loom_tickets_issue(struct loom_tickets *, uint64_t team_id,
    uint64_t route_id, uint32_t count, char texts[][LOOM_TICKET_TEXT_MAX]);

enum loom_ticket_verdict {
	LOOM_TICKET_VERDICT_RUN, /* run it, then finish or abandon */
	LOOM_TICKET_VERDICT_ATTACHED, /* the waiter will be told */
	LOOM_TICKET_VERDICT_ANSWER, /* answer holds it */
	LOOM_TICKET_VERDICT_REFUSED, /* code and outcome say why */
};

struct loom_ticket_begin {
	enum loom_ticket_verdict verdict;
	enum loom_result code;
	enum loom_outcome outcome;
	struct loom_answer *answer; /* owned when ANSWER */
	struct loom_ticket_run *run; /* owned until finish when RUN */
	/* For LOOM_TICKET_MOVED: forward there; goes into the refusal's
	 * heir_host_id when another daemon forwards. */
	uint64_t heir_host_id;
};

/*
 * A request with a ticket arrived.  Call it before any other reason to
 * refuse is looked at, so that each refusal goes through abandon.  team_id
 * and route_id are those of the request.
 */
void loom_tickets_begin(struct loom_tickets *, const struct loom_ticket *,
    uint64_t team_id, uint64_t route_id, const struct loom_request_digest *,
    const struct loom_ticket_waiter *, struct loom_ticket_begin *);

/*
 * The run ended: RAN with the answer (NULL when it was streamed or is too
 * large to keep) or UNKNOWN with the code that the caller was told.
 * Ends run.  answer is borrowed.
 */
void loom_tickets_finish(struct loom_tickets *, struct loom_ticket_run *run,
    enum loom_outcome, enum loom_result code, struct loom_answer *answer);

/*
 * The run ended and provably no byte of it reached the upstream.  The ticket
 * is spent; waiters get code, not-run.  Ends run.
 */
void loom_tickets_abandon(
    struct loom_tickets *, struct loom_ticket_run *run, enum loom_result code);

/* The waiter's caller went away.  False when it is being told already. */
bool loom_tickets_detach(struct loom_tickets *, const struct loom_ticket *,
    const struct loom_ticket_waiter *);

/*
 * Hand-over at shutdown (messages 50-55).  After the part's drain, unused
 * tickets are answered LOOM_TICKET_MOVING, later LOOM_TICKET_MOVED.  The
 * daemon may exit once this is true: all is handed over, or no heir is left.
 */
bool loom_tickets_drained(struct loom_tickets *);

/*
 * Where to send a ticket whose executor the host list no longer shows, or
 * that does not take connections: the service's live hosts ranked as the
 * leaver ranks its heirs.  Only the heir can run it, every other host answers
 * LOOM_TICKET_MOVED or LOOM_TICKET_LOST.  Writes up to max ids; the count.
 */
size_t loom_ticket_heirs(const struct loom_hosts *, uint64_t service_id,
    uint64_t leaver_host_id, uint64_t *host_ids, size_t max);

/* How soon a call asks again for a ticket that is being handed over. */
#define LOOM_TICKET_MOVING_ASK_US UINT64_C(100000)

/*
 * Whether a call that has asked so often for such a ticket may wait for one
 * more LOOM_TICKET_MOVING_ASK_US.  Nobody runs any ticket of the book
 * meanwhile, so that to ask again is always safe, here and for the caller.
 */
bool loom_ticket_may_wait(uint32_t asked, uint64_t remaining_us);

/* The part's table; its argument is a struct loom_tickets. */
extern const struct loom_part_ops loom_tickets_part;

#endif
