/*
 * The wait for a token.  The answer comes on the control thread and is posted
 * to the call's own.
 */

#include "daemon/rate.h"

static struct loom_rights *
rights_of(const struct call *call)
{
	return loom_rights_of(
	    call->worker->daemon->rights, call->context.team_id);
}

static void
proceed(struct call *call, enum loom_result result, uint64_t retry_after_us)
{
	/* A daemon that owns nothing yet cannot say that the team is over, nor
	 * from its empty share when a token will be there. */
	if (result == LOOM_TEAM_RATE &&
	    !atomic_load(&call->worker->daemon->rights_held)) {
		result = LOOM_STARTING;
		retry_after_us = 0;
	}
	if (result == LOOM_OK)
		call_launch(call);
	else
		call_refuse_code(call, result, retry_after_us);
}

static void
arrived(void *arg)
{
	struct call *call = arg;

	call->rate_waits = false;
	if (!call->over && !call->refused)
		proceed(call, call->rate_result, call->rate_retry_after_us);
	call_drop(call);
}

static void
told(struct loom_rights_waiter *waiter, enum loom_result result,
    uint64_t retry_after_us)
{
	struct call *call = waiter->arg;

	call->rate_result = result;
	call->rate_retry_after_us = retry_after_us;
	loom_mailbox_post(call->worker->mailbox, arrived, call);
}

void
rate_start(struct call *call)
{
	struct loom_rights *rights = rights_of(call);
	uint64_t now_us = loom_now_us();
	uint64_t retry_after_us = 0;
	enum loom_result result;

	result = loom_rights_take(
	    rights, call->context.team_id, now_us, &retry_after_us);
	if (result != LOOM_RIGHTS_PENDING) {
		proceed(call, result, retry_after_us);
		return;
	}
	call->rate_waiter = (struct loom_rights_waiter){
		.done = told,
		.arg = call,
		.deadline_us = call->deadline_us,
	};
	call->rate_waits = true;
	call_hold(call);
	loom_rights_wait(
	    rights, call->context.team_id, &call->rate_waiter, now_us);
}

bool
rate_state(const struct call *call, struct loom_rights_status *status)
{
	return loom_rights_team_status(
	    rights_of(call), call->context.team_id, loom_now_us(), status);
}

void
rate_leave(struct call *call)
{
	if (!call->rate_waits)
		return;
	call->rate_waits = false;
	if (loom_rights_cancel(rights_of(call), &call->rate_waiter))
		call_drop(call);
}
