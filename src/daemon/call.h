#ifndef LOOM_DAEMON_CALL_H
#define LOOM_DAEMON_CALL_H

/*
 * State and stages of one call that this daemon handles.
 *
 * A call arrives as an exchange, sent by a client, by the local upstream or by
 * a peer daemon.  It is forwarded as a leg, the outgoing request to a peer
 * daemon or to the local upstream.  The stages are in separate files:
 *
 *   entry.c         authentication, routing, deadline, rate of the team
 *   target.c        choice of the host, leg to a peer, retry on another host
 *   ticket_route.c  routing of a request with a ticket
 *   executor.c      admission to the local upstream
 *   call_ticket.c   tickets of non-idempotent routes, at the executor
 *   upstream.c      leg to the local upstream
 *   relay.c         request body to the leg, answer to the caller
 *   refuse.c        problem documents
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
#include "loom/work_left.h"
#include "trace/export.h"

/* Bodies and answers up to this size are buffered completely, so that a
 * request can be retried and a truncated answer can be replaced by a
 * refusal. */
#define CALL_BUFFER_MAX (64 * 1024)

/* Upper limit of hosts tried for one call. */
#define CALL_ATTEMPTS_MAX 4

enum call_origin {
	CALL_ORIGIN_CALLER, /* a client with a key: a root request */
	CALL_ORIGIN_UPSTREAM, /* the local upstream, with its context */
	CALL_ORIGIN_PEER, /* another daemon, with a peer context */
};

enum call_admission {
	CALL_ADMISSION_NONE,
	CALL_ADMISSION_QUEUED,
	CALL_ADMISSION_RUNNING,
};

struct call {
	struct worker *worker; /* borrowed */
	struct loom_exchange *exchange; /* borrowed; NULL after it has ended */
	struct call *next, **link; /* in worker->calls */
	struct loom_manifest *manifest; /* counted */
	const struct loom_route *route; /* borrowed from manifest */
	const struct loom_service *service;
	enum call_origin origin;
	const char *caller_service; /* service of the entry daemon; borrowed */
	/* As the entry daemon's manifest has it, which may be newer or older;
	 * owned, or borrowed from manifest; NULL on a public route. */
	const char *team_name;
	/* team, root request, home, importance, hops */
	struct loom_context context;
	uint64_t arrived_us;
	uint64_t deadline_us;
	/* the exchange and callbacks that are still to come */
	uint32_t ref_count;
	bool exchange_ended;
	/* request for one of the daemon's own pages (internal.c) */
	bool is_internal_page;
	bool has_parent; /* nested call of parent_id */
	/* nested call that the local upstream sent without a context, so
	 * that the parent is unknown */
	bool is_nested;
	/* admitted while the service that runs it admitted only a share of
	 * its requests (throttle.c) */
	bool admitted_by_share;
	/* for the log line of the call (report.c) */
	char *report_id; /* owned: request id set by the caller, or NULL */
	/* service that refused the call or else the one with the lowest
	 * admitted share; 0 for none */
	uint64_t throttled_service_id;
	double
	    throttled_share; /* its admitted share when the call was checked */
	uint64_t throttled_report_age_us; /* age of the report of that share */
	double throttled_calls_per_request; /* calls per request of this route
					       to it */
	struct loom_id128 parent_id;
	bool counted_as_working; /* in daemon->working */
	bool refused; /* a refusal was sent */

	/* rate token of a root request */
	struct loom_rights_waiter rate_waiter;
	bool rate_pending;
	enum loom_result rate_result;
	uint64_t rate_retry_after_us;
	uint64_t rate_taken_us; /* the token held; 0 for none */

	/* retry requested from the home daemon */
	struct loom_retry_query retry_query;
	bool retry_pending;
	bool retry_granted;
	struct loom_refusal retry_refusal;
	bool may_have_run; /* an earlier attempt may have been executed */

	/* the request's body */
	struct loom_buffer body;
	int64_t body_length; /* -1 for chunked transfer */
	uint64_t body_bytes; /* received so far */
	bool body_buffered; /* buffered completely before the leg starts */
	bool body_ended;

	/* the leg */
	struct loom_fetch *fetch; /* borrowed; NULL when no leg is active */
	bool sent; /* a cancelled leg may have sent data */
	uint64_t leg_us; /* start time */
	uint64_t target_id; /* host of the active peer leg; 0 for none */
	/* expected time in which the next best host would finish the call, when
	 * its host was chosen; 0: unknown */
	uint64_t else_us;
	uint64_t tried_host_ids[CALL_ATTEMPTS_MAX];
	uint32_t ntried;
	uint32_t nnot_sent; /* of those, hosts whose upstream got nothing */
	/* goes to the executor of its ticket or that host's successors */
	bool routed_by_ticket;
	/* retry while tickets move between hosts */
	struct loom_timer *handover_timer;
	uint32_t handover_retries; /* number of such retries */
	/* an executor found another host better; happens once */
	bool handed_back;
	bool refusal_from_peer; /* the refusal was received from a peer */
	/* host that the call was sent to a second time after
	 * LOOM_CONTEXT_STALE; 0 for none */
	uint64_t stale_resent_host_id;

	/* the answer */
	struct loom_buffer answer;
	uint64_t discarded_bytes; /* of answers that nobody reads */
	bool streaming;
	/* classification of the upstream's answer */
	enum loom_answer_kind answer_kind;

	/* at the executor */
	struct loom_admission_call waiting;
	bool offered_to_admission; /* waiting is valid */
	struct loom_work_item work; /* in daemon->work_left */
	bool is_retry; /* was sent to another host before */
	uint32_t offers; /* to the local upstream so far */
	enum call_admission admission;
	bool registered; /* listed in daemon->calls as registered_id */
	uint64_t nested_us; /* part of the leg's time spent in nested calls */
	struct loom_id128 registered_id;
	/* the fingerprint needs the first bytes of the body */
	bool awaits_body_prefix;
	struct loom_quarantine_entry *quarantine; /* owned while running */
	/* quarantine poll or pending crash check */
	struct loom_timer *upstream_timer;
	bool awaits_crash_check; /* the connection broke; crash check pending */
	struct loom_fetch_outcome broken_leg_end; /* result of that leg */

	/* tickets requested; 0 if not a request for tickets */
	uint32_t issue_count;

	/* with a ticket, at its executor */
	struct loom_ticket ticket;
	/* owned until the ticket is settled */
	struct loom_ticket_run *ticket_run;
	struct loom_ticket_waiter ticket_waiter;
	bool ticket_checked; /* looked up in the local ticket records */
	/* waits for the result of another request with the same ticket */
	bool attached;
	bool detached; /* the caller disconnected; the request still runs */
	/* exceeds CALL_BUFFER_MAX, so that it is not stored */
	bool answer_too_long;
	enum loom_result attached_code;
	enum loom_outcome attached_outcome;
	struct loom_answer *attached_answer; /* counted */

	struct span span;
};

/* Creates the call of an exchange; owned by the worker. */
struct call *call_new(struct worker *, struct loom_exchange *);

/* Adds a reference for an outstanding callback.  The call is freed when the
 * last reference is dropped. */
void call_ref(struct call *);
void call_unref(struct call *);

/* The exchange has ended: cancels everything that is still pending for it,
 * except a run with a ticket, which continues without its caller. */
void call_end(struct call *);

/* Called when a new manifest takes effect: fails the worker's calls whose
 * key it no longer grants. */
void calls_recheck_keys(struct worker *);

/* Called before the daemon exits: answers the worker's calls that have no
 * answer yet. */
void calls_end(struct worker *);

/* Returns the request's ticket (borrowed), or NULL if there is none or the
 * route needs none. */
const char *call_ticket_text(const struct call *);

/* Returns the team of the request; NULL on a public route, and if it is not in
 * this daemon's manifest (see team_name). */
const struct loom_team *call_team(const struct call *);

/* Returns the importance used at the executor. */
enum loom_importance call_importance(const struct call *);

/* Returns the time until the deadline; 0 when it has passed. */
uint64_t call_remaining_us(const struct call *, uint64_t now_us);

/* entry.c */
void entry_request(struct worker *, struct loom_exchange *);
void entry_peer_request(struct worker *, struct loom_exchange *);
void entry_ready_request(struct worker *, struct loom_exchange *);

/* call.c */
/* Whether the daemon stops too soon for the call to be sent on. */
bool call_is_too_late_in_drain(const struct call *, uint64_t now_us);
/* Cancels the leg, if any, and refuses the request.  The refusal's outcome
 * depends on whether data was sent. */
void call_fail(struct call *, enum loom_result);
/* Called when a body that is buffered completely has arrived. */
void call_body_complete(struct call *);
/* Starts an accepted call: reads the body if it is to be buffered, then
 * goes on to the target or to the executor. */
void call_start(struct call *);

/* target.c */
/* Chooses a host and sends the call to it. */
void target_start(struct call *);
/* Sends the call to another host after a retry was granted. */
void target_retry(struct call *);
/* Sends the call to a host, which may be this one. */
void target_send_to(struct call *, uint64_t host_id);
/* Whether the call, which runs nowhere yet, can be sent to another host. */
bool target_may_move(const struct call *);
/* Fills in the refusal for the case that no host is known. */
const struct loom_refusal *target_no_host(struct loom_refusal *);
/* Handles a refusal or failure of a host or of the local executor. */
void target_refused(struct call *, const struct loom_refusal *);
/* Cancels the leg to a peer, or the wait for a handover of tickets. */
void target_cancel(struct call *);

/* executor.c */
void executor_start(struct call *);
/* Refuses the call at this executor.  A peer receives the refusal; a call
 * that entered here may be retried on another host. */
void executor_refuse(struct call *, const struct loom_refusal *);
void executor_refuse_code(
    struct call *, enum loom_result, uint64_t retry_after_us);
/* Refuses the call; no daemon may retry it. */
void executor_refuse_final(struct call *, enum loom_result code);
/* Counts the start or end of a nested call that the local upstream sent
 * without a context. */
void executor_count_nested(struct call *, bool begins);
/* Removes the call from the admission queue, or releases its slot. */
void executor_release(struct call *, enum loom_call_end);
/* Applies the verdicts of admission on queued calls, which may belong to
 * other workers. */
void executor_apply_verdicts(struct loom_verdicts *);

/* upstream.c */
/* Starts the leg of a call that holds a slot. */
void upstream_start(struct call *);
/* Called when more of the body has arrived, or its end. */
void upstream_body_progress(struct call *);
/* Releases the leg's quarantine entry, timer and registration; called
 * before the slot is released. */
void upstream_release(struct call *);

/* relay.c */
/* Takes body data from the exchange; returns how much it accepted. */
size_t relay_take_body(struct call *, const uint8_t *data, size_t len);
void relay_body_end(struct call *);
/* Callbacks of a leg (struct loom_fetch_ops). */
size_t relay_read_body(void *arg, uint8_t *buf, size_t max, bool *end);
bool relay_data(void *arg, const uint8_t *data, size_t len);
/* Starts to stream the answer, with the part that is buffered. */
void relay_start_stream(struct call *);
/* Sends the leg's complete answer to the caller. */
void relay_answer_complete(struct call *);

/* refuse.c */
/* Fills in the refusal for a failed leg; reason goes into its detail. */
void refusal_of_failure(const struct loom_failure_facts *, const char *reason,
    struct loom_refusal *);
void call_refuse(struct call *, const struct loom_refusal *);
/* Returns the refusal for a code; retry_after_us is 0 where there is no
 * estimate. */
struct loom_refusal refusal_of_code(enum loom_result, uint64_t retry_after_us);
void call_refuse_code(struct call *, enum loom_result, uint64_t retry_after_us);

#endif
