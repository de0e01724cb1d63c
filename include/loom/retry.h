#ifndef LOOM_RETRY_H
#define LOOM_RETRY_H

/*
 * Limits on retries over the whole call chain of a request.
 *
 * The daemon at which a caller's request enters is the home of the request and
 * holds its retry budget. A daemon that wants to repeat a call asks the home
 * for one grant; if the query or the reply is lost, there is no retry. Only the
 * hop directly above a failure may ask, and retries to a service are limited to
 * a tenth of its first attempts by default; see docs/design/retries.md.
 *
 * Threads: all functions except those of loom_retry_ops may be called from any
 * thread. Callbacks run on the control thread.
 */

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/control.h"
#include "loom/result.h"

/* Message types. */
enum loom_retry_message {
	LOOM_RETRY_QUERY = LOOM_MESSAGE_RETRY_FIRST, /* daemon to home */
	LOOM_RETRY_REPLY, /* home to daemon */
};

/*
 * How long to wait for the home's reply. Without a reply by then there is no
 * retry.
 */
#define LOOM_RETRY_REPLY_TIMEOUT_US UINT64_C(20000)

/*
 * Identifies the root request. Created at its home and carried in the context.
 */
struct loom_retry_root {
	uint64_t home_host_id;
	uint64_t home_incarnation;
	uint64_t id; /* unique at its home */
};

/* The facts about a failed call. */
struct loom_retry_failure {
	enum loom_result code;
	bool repeatable; /* from struct loom_route */
	bool final; /* set by a hop below that retried or is overloaded */
	bool body_available; /* the whole request can be sent again */
	bool answer_started; /* a part of the answer was passed on */
	uint64_t remaining_us; /* until the deadline */
	uint64_t expected_us; /* expected duration of such a call */
};

enum loom_retry_verdict {
	LOOM_RETRY_NO,
	LOOM_RETRY_NEEDS_GRANT, /* permitted if the home grants it */
};

/*
 * Whether the hop directly above a failure may repeat the call. Pure function.
 * *final receives whether the failure must be marked final for the hops above,
 * regardless of the budgets. The caller also has to mark a failure final if it
 * was not retried for lack of a grant.
 */
enum loom_retry_verdict loom_retry_decide(
    const struct loom_retry_failure *failure, bool *final);

/* Whether a host that answered so has had nothing run, whatever the request. */
bool loom_retry_failed_before_sending(enum loom_result code);

struct loom_retry;

extern const struct loom_component_ops loom_retry_ops;

/* Owned by ctx; self and sender are copied, but not what they point to. */
struct loom_retry *loom_retry_new(TALLOC_CTX *ctx, const struct loom_self *self,
    const struct loom_sender *sender, const struct loom_random *random,
    void (*wake)(void *arg), void *wake_arg);

/*
 * Opens the budget of a request that enters at this daemon, until the deadline.
 * request_key is loom_retry_request_key() of the team and the request id sent
 * by the caller, or 0 if there is none. A request with the same key that
 * arrives before the deadline of the earlier one shares its root and its
 * budget, so that repeating a request does not give it a new budget. The
 * request itself still counts against the rate of the team. Returns false if
 * the home is full; the request then runs without a retry budget.
 */
bool loom_retry_begin_root(struct loom_retry *, uint64_t request_key,
    uint64_t now_us, uint64_t deadline_us, struct loom_retry_root *root);

/* The key for a team's request id; never 0. */
uint64_t loom_retry_request_key(uint64_t team_id, const char *request_id);

/*
 * Records that a first attempt is being sent to a service; retries are limited
 * to a ratio of these.
 */
void loom_retry_note_first_attempt(
    struct loom_retry *, uint64_t service_id, uint64_t now_us);

/*
 * A query to a home. The memory belongs to the caller and must stay valid until
 * done is called or loom_retry_cancel() has returned true.
 */
struct loom_retry_query {
	/*
	 * Called once, on the control thread. granted: the call may be repeated
	 * once.
	 */
	void (*done)(struct loom_retry_query *, bool granted);
	void *arg; /* for the caller's use */
	/* private */
	struct loom_retry_query *next;
	struct loom_retry_root root;
	uint64_t query_id;
	uint64_t expires_us;
	uint64_t service_id;
	bool sent;
};

/*
 * Asks the home for one retry of a call to service_id. Returns false if the
 * retry ratio of the service refuses it; done is then not called. Otherwise
 * done is called on the control thread, at most LOOM_RETRY_REPLY_TIMEOUT_US
 * later.
 */
bool loom_retry_query(struct loom_retry *, const struct loom_retry_root *root,
    uint64_t service_id, uint64_t now_us, struct loom_retry_query *query);
bool loom_retry_cancel(struct loom_retry *, struct loom_retry_query *);

/*
 * Sends the queries of the worker threads and completes those that were
 * answered locally or have timed out. Control thread; each tick also does it.
 */
void loom_retry_process(struct loom_retry *, uint64_t now_us);

#endif
