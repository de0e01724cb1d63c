#ifndef LOOM_DAEMON_CALL_H
#define LOOM_DAEMON_CALL_H

/*
 * One call on its way through this daemon.
 *
 * A call enters by an exchange (a caller's, the own upstream's or a peer's)
 * and leaves by a leg: to a peer daemon, or to the own upstream.  Its stages
 * are in files of their own:
 *
 *   entry.c     who asks, for what, is it within its team's rate
 *   target.c    which host; the leg to a peer; whether to try another
 *   heirs.c     where a request with a ticket goes
 *   executor.c  admission to the own upstream
 *   ticketed.c  routes that may not be repeated
 *   upstream.c  the leg to the own upstream
 *   relay.c     the body on to the leg, the answer back
 *   refuse.c    problem documents
 */

#include "daemon/worker.h"
#include "loom/buffer.h"
#include "loom/dialect.h"
#include "loom/outcome.h"
#include "loom/quarantine.h"
#include "loom/queue.h"
#include "loom/retry.h"
#include "loom/rights.h"
#include "loom/ticket.h"
#include "trace/export.h"

/* Bodies and answers up to this are held whole: a request can then be sent
 * again, and a cut answer becomes a clean refusal. */
#define CALL_WHOLE_MAX (64 * 1024)

/* Hosts that one call may be tried at. */
#define CALL_TRIES_MAX 4

enum call_origin {
	CALL_ORIGIN_CALLER, /* with a key: a root request */
	CALL_ORIGIN_UPSTREAM, /* from the own upstream, with its context */
	CALL_ORIGIN_PEER, /* from an entry, with a peer context */
};

enum call_admission {
	CALL_ADMISSION_NONE,
	CALL_ADMISSION_QUEUED,
	CALL_ADMISSION_INSIDE,
};

struct call {
	struct worker *worker; /* borrowed */
	struct loom_exchange *x; /* borrowed; NULL when it is over */
	struct call *next, **link; /* in worker->calls */
	struct loom_manifest *manifest; /* counted */
	const struct loom_route *route; /* borrowed from manifest */
	const struct loom_service *service;
	enum call_origin origin;
	const char *caller_service; /* where the request entered; borrowed */
	struct loom_context context; /* who, root, home, importance, hops */
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint32_t holds; /* others that will still call back */
	bool over; /* the exchange ended */
	bool own_page; /* answered by internal.c */
	bool has_parent; /* a deeper call of parent_id */
	/* made by the own upstream for a request that it runs, without a
	 * context that would tell which */
	bool is_inner;
	bool let_in; /* by the share of the service that runs it */
	/* for its line in the log */
	char *report_id; /* owned: the caller's name of it; NULL for none */
	uint64_t below_service_id; /* the narrowest on its way; 0: none is */
	double below_share; /* of it, by the reports then */
	uint64_t below_age_us; /* of the last report of that share */
	double below_calls; /* that a request like it makes there */
	struct loom_id128 parent_id;
	bool working; /* let in: counted in daemon->working */
	bool refused; /* an answer was given here; nothing goes on */

	/* a root request's token */
	struct loom_rights_waiter rate_waiter;
	bool rate_waits;
	enum loom_result rate_result;
	uint64_t rate_retry_after_us;

	/* a retry that the home was asked for */
	struct loom_retry_ask again_ask;
	bool again_waits;
	bool again_granted;
	struct loom_refusal again_refusal;
	bool may_have_run; /* an earlier attempt ended so */

	/* the request's body */
	struct loom_buffer body;
	int64_t body_length; /* -1 when it comes in chunks */
	uint64_t body_bytes; /* taken so far */
	bool body_whole; /* held whole before the leg starts */
	bool body_ended;

	/* the leg */
	struct loom_fetch *fetch; /* borrowed; NULL when none runs */
	bool sent; /* a leg that was given up may have sent a byte */
	uint64_t leg_us; /* when it started */
	uint64_t target_id; /* of a peer leg */
	uint64_t tried[CALL_TRIES_MAX];
	uint32_t ntried;
	bool ticketed; /* bound to the executor of its ticket */
	struct tevent_timer *moving_timer; /* waits for a hand-over */
	uint32_t moving_asks; /* how often it has waited so */
	bool relayed; /* the refusal is a peer's own word */
	uint64_t clock_resent_id; /* host that it was sent to anew after
				   * LOOM_CONTEXT_STALE; 0 for none */

	/* the answer */
	struct loom_buffer answer;
	bool streaming;
	enum loom_answer_kind answer_kind; /* of the upstream's leg */

	/* at the executor */
	struct loom_waiting waiting;
	bool offered; /* waiting was filled */
	enum call_admission admission;
	bool live; /* in daemon->calls */
	uint64_t deeper_us; /* of the leg, spent in its deeper calls */
	struct loom_id128 live_id;
	bool wants_prefix; /* waits for the body's first bytes */
	struct loom_quarantine_entry *quarantine; /* owned while inside */
	struct tevent_timer *hold_timer; /* the quarantine holds it */
	bool broke; /* its leg broke, whether by a crash is being found out */
	struct loom_fetch_end broken_end; /* how */

	uint32_t issue_count; /* tickets asked for; 0 for a usual call */

	/* with a ticket, at its executor */
	struct loom_ticket ticket;
	struct loom_ticket_run *run; /* owned until it is settled */
	struct loom_ticket_waiter ticket_waiter;
	bool ticket_begun; /* its executor has looked at the ticket */
	bool attached; /* waits for another arrival's run */
	bool detached; /* the caller went away, the run goes on */
	bool answer_lost; /* too long to keep */
	enum loom_result attached_code;
	enum loom_outcome attached_outcome;
	struct loom_answer *attached_answer; /* counted */

	struct span span;
};

/* A new call of an exchange; owned by the worker. */
struct call *call_new(struct worker *, struct loom_exchange *);

/* Somebody outside will still call back: the memory stays until the drop. */
void call_hold(struct call *);
void call_drop(struct call *);

/* The exchange is over: give up whatever still runs for it. */
void call_end(struct call *);

/* A new manifest is in force: cut the worker's calls whose key it no longer
 * grants. */
void calls_recheck_keys(struct worker *);

/* The ticket that came with the request, borrowed; NULL when none did or the
 * request needs none. */
const char *call_ticket_text(const struct call *);

/* The team whose key came with the request; NULL for a public route. */
const struct loom_team *call_team(const struct call *);

/* Its importance at the executor. */
enum loom_importance call_importance(const struct call *);

/* Time that is left; 0 when the deadline has passed. */
uint64_t call_remaining_us(const struct call *, uint64_t now_us);

/* entry.c */
void entry_request(struct worker *, struct loom_exchange *);
void entry_peer_request(struct worker *, struct loom_exchange *);
void entry_ready_request(struct worker *, struct loom_exchange *);

/* call.c: the request cannot go on; what may be said depends on what was
 * sent.  The leg, if any, is given up. */
void call_fail_code(struct call *, enum loom_result);
/* call.c: a body that is held whole is complete. */
void call_body_held(struct call *);
/* call.c: accepted; take the body if need be and go to the target. */
void call_launch(struct call *);

/* target.c: choose a host and go there. */
void target_start(struct call *);
/* target.c: a retry was granted. */
void target_again(struct call *);
/* target.c: go to that host, this one included. */
void target_go_to(struct call *, uint64_t host_id);
/* target.c: the refusal when no host is known. */
const struct loom_refusal *target_none(struct loom_refusal *);
/* target.c: the host, or the own executor, refused or failed. */
void target_refused(struct call *, const struct loom_refusal *);
/* target.c: the leg to a peer is given up. */
void target_leave(struct call *);

/* executor.c */
void executor_start(struct call *);
/* The call is refused here: a peer is told, an own entry may go elsewhere. */
void executor_refuse(struct call *, const struct loom_refusal *);
void executor_refuse_code(
    struct call *, enum loom_result, uint64_t retry_after_us);
/* An inner call of the own upstream begins or ends. */
void executor_inner(struct call *, bool begins);
/* Leave the queue or the place inside. */
void executor_leave(struct call *, enum loom_call_end);
/* Act on calls that admission moved; they may be other workers'. */
void executor_moved(struct loom_moved *);

/* upstream.c: the call holds a place inside. */
void upstream_start(struct call *);
/* More of the body came, or it ended. */
void upstream_body_came(struct call *);
/* Give back what the leg holds, before the place inside. */
void upstream_leave(struct call *);

/* relay.c */
size_t relay_take_body(struct call *, const uint8_t *data, size_t len);
void relay_body_end(struct call *);
size_t relay_read_body(void *arg, uint8_t *buf, size_t max, bool *end);
bool relay_data(void *arg, const uint8_t *data, size_t len);
/* Begin to stream what was collected. */
void relay_start_stream(struct call *);
/* The leg's answer is whole: pass it on. */
void relay_answer_whole(struct call *);

/* refuse.c */
/* What may be said of a leg that failed; reason goes into the detail. */
void refusal_of_failure(const struct loom_failure_facts *, const char *reason,
    struct loom_refusal *);
void call_refuse(struct call *, const struct loom_refusal *);
/* A code's refusal; retry_after_us is 0 where nobody has an estimate. */
struct loom_refusal refusal_of_code(enum loom_result, uint64_t retry_after_us);
void call_refuse_code(struct call *, enum loom_result, uint64_t retry_after_us);

#endif
