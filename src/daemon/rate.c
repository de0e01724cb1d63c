/*
 * Waits for rate tokens.  The result is delivered on the control thread and
 * posted to the call's worker.
 */

#include "daemon/rate.h"

static struct loom_rights *
call_rights(const struct call *call)
{
	return loom_rights_set_find(
	    call->worker->daemon->rights, call->context.team_id);
}

static void
start_or_refuse(
    struct call *call, enum loom_result result, uint64_t retry_after_us)
{
	/* A daemon that holds no rights yet cannot tell whether the team
	 * exceeds its rate, nor estimate from its empty share when a token
	 * will be available. */
	if (result == LOOM_TEAM_RATE &&
	    !atomic_load(&call->worker->daemon->rights_ready)) {
		result = LOOM_STARTING;
		retry_after_us = 0;
	}
	if (result == LOOM_OK)
		call_start(call);
	else
		call_refuse_code(call, result, retry_after_us);
}

void
rate_give_back(struct call *call)
{
	const uint64_t taken_us = call->rate_taken_us;

	if (taken_us == 0)
		return;
	call->rate_taken_us = 0;
	loom_rights_give_back(
	    call_rights(call), call->context.team_id, taken_us, loom_now_us());
}

static void
on_token(void *arg)
{
	struct call *call = arg;

	call->rate_pending = false;
	call->rate_taken_us = call->rate_waiter.taken_us;
	if (!call->exchange_ended && !call->refused)
		start_or_refuse(
		    call, call->rate_result, call->rate_retry_after_us);
	else
		rate_give_back(call);
	call_unref(call);
}

static void
on_token_control_thread(struct loom_rights_waiter *waiter,
    enum loom_result result, uint64_t retry_after_us)
{
	struct call *call = waiter->arg;

	call->rate_result = result;
	call->rate_retry_after_us = retry_after_us;
	loom_mailbox_post(call->worker->mailbox, on_token, call);
}

void
rate_take_token(struct call *call)
{
	struct loom_rights *rights = call_rights(call);
	uint64_t now_us = loom_now_us();
	uint64_t retry_after_us = 0;
	enum loom_result result;

	result = loom_rights_take(rights, call->context.team_id, now_us,
	    &retry_after_us, &call->rate_taken_us);
	if (result != LOOM_RIGHTS_PENDING) {
		start_or_refuse(call, result, retry_after_us);
		return;
	}
	call->rate_waiter = (struct loom_rights_waiter){
		.done = on_token_control_thread,
		.arg = call,
		.deadline_us = call->deadline_us,
	};
	call->rate_pending = true;
	call_ref(call);
	loom_rights_wait(
	    rights, call->context.team_id, &call->rate_waiter, now_us);
}

bool
rate_state(const struct call *call, struct loom_rights_status *status)
{
	return loom_rights_team_status(
	    call_rights(call), call->context.team_id, loom_now_us(), status);
}

void
rate_cancel(struct call *call)
{
	if (!call->rate_pending)
		return;
	call->rate_pending = false;
	if (loom_rights_cancel(call_rights(call), &call->rate_waiter))
		call_unref(call);
}
