#ifndef LOOM_RETRY_H
#define LOOM_RETRY_H

/*
 * Retries bounded over the whole chain of a request.
 *
 * The daemon that a caller's request enters at is the request's home and
 * holds its retry budget.  A daemon that wants to repeat a call asks the home
 * for one grant; a lost question or answer means no retry.  Only the hop
 * right above a failure may ask, and a service repeats at most a tenth of
 * its first attempts; see docs/design/retries.md.
 *
 * Threads: all functions but the part's table may be called from any thread;
 * callbacks are made on the control thread.
 */

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/control.h"
#include "loom/result.h"

/* Message types of this part. */
enum loom_retry_message {
	LOOM_RETRY_ASK = LOOM_MESSAGE_RETRY_FIRST, /* daemon to home */
	LOOM_RETRY_ANSWER, /* home to daemon */
};

/* How long an answer of the home is waited for; later means no retry. */
#define LOOM_RETRY_WAIT_US UINT64_C(20000)

/* The root request: made at its home, carried in the context. */
struct loom_retry_root {
	uint64_t home_host_id;
	uint64_t home_incarnation;
	uint64_t id; /* unique at its home */
};

/* What is known of a call that failed. */
struct loom_retry_failure {
	enum loom_result code;
	bool repeatable; /* of the route: struct loom_route.repeatable */
	bool final; /* marked by a hop below: retried there, or overload */
	bool body_kept; /* the whole request can be sent again */
	bool answer_begun; /* bytes of an answer went up already */
	uint64_t remaining_us; /* until the deadline */
	uint64_t expected_us; /* how long such a call takes */
};

enum loom_retry_verdict {
	LOOM_RETRY_NO,
	LOOM_RETRY_ASK_HOME, /* allowed by rule; the budgets decide */
};

/*
 * May the hop right above this failure repeat the call?  Pure.
 * *final receives whether the failure goes up marked final, whatever the
 * budgets say.  A failure that is not retried for lack of a grant must be
 * marked final by the caller of this function as well.
 */
enum loom_retry_verdict loom_retry_may(
    const struct loom_retry_failure *failure, bool *final);

struct loom_retry;

extern const struct loom_part_ops loom_retry_ops;

/* Owned by ctx; self and sender are copied, their pointers borrowed. */
struct loom_retry *loom_retry_new(TALLOC_CTX *ctx, const struct loom_self *self,
    const struct loom_sender *sender, const struct loom_random *random,
    void (*wake)(void *arg), void *wake_arg);

/*
 * A caller's request enters: open its budget until the deadline.
 * request_key is the team's id mixed with the request id that the caller sent
 * (loom_retry_request_key()), or 0 for none.  A caller that sends again with
 * the same key within the deadline of the earlier attempt joins its root: the
 * budget is not opened anew.  The attempt itself takes a token of the team.
 * False when the home is full: the request runs with a budget of nothing.
 */
bool loom_retry_begin_root(struct loom_retry *, uint64_t request_key,
    uint64_t now_us, uint64_t deadline_us, struct loom_retry_root *root);

/* The key of a request id of a team; never 0. */
uint64_t loom_retry_request_key(uint64_t team_id, const char *request_id);

/* A first attempt towards a service is being sent: feeds the ratio. */
void loom_retry_first_attempt(
    struct loom_retry *, uint64_t service_id, uint64_t now_us);

/* One question to a home; memory of the caller until done is called or
 * loom_retry_cancel() returned true. */
struct loom_retry_ask {
	/* granted: repeat the call once.  Called once, control thread. */
	void (*done)(struct loom_retry_ask *, bool granted);
	void *arg; /* the caller's own */
	/* private */
	struct loom_retry_ask *next;
	struct loom_retry_root root;
	uint64_t number;
	uint64_t until_us;
	uint64_t service_id;
	bool sent;
};

/*
 * Ask the home for one retry of a call to service_id.  False: refused by the
 * service's ratio at once and done is not called.  Else done is called on
 * the control thread, at the latest LOOM_RETRY_WAIT_US later.
 */
bool loom_retry_ask(struct loom_retry *, const struct loom_retry_root *root,
    uint64_t service_id, uint64_t now_us, struct loom_retry_ask *ask);
bool loom_retry_cancel(struct loom_retry *, struct loom_retry_ask *);

/* Send what workers asked and end questions that are over; control thread,
 * also done by each tick. */
void loom_retry_run(struct loom_retry *, uint64_t now_us);

#endif
