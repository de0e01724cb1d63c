/*
 * Retries are granted by the home daemon of the root request (loom/retry.h).
 * The refusal is stored until its reply arrives.  Without a grant, or when no
 * host is left, the caller receives that refusal, marked as final: no daemon
 * nearer to the client may retry what the budget of the whole chain does not
 * allow.
 */

#include <string.h>

#include "daemon/call_retry.h"

void
call_retry_refuse(struct call *call)
{
	call->retry_refusal.final = true;
	call_refuse(call, &call->retry_refusal);
}

/*
 * Remembers that an earlier attempt may have been executed.  If the first host
 * fails after it received the request and the second cannot be reached, "not
 * run" is true of the second attempt only, and a caller that was told so would
 * send the request again.
 */
static void
note_previous_attempt(struct call *call)
{
	if (call->retry_refusal.outcome != LOOM_OUTCOME_NOT_RUN)
		call->may_have_run = true;
}

/* Such a host is no arrival at an upstream, so that the next one is no repeat
 * there.  An upstream that rejected the call did get it. */
static void
count_not_sent(struct call *call)
{
	if (loom_retry_failed_before_sending(call->retry_refusal.code) &&
	    call->retry_refusal.code != LOOM_UPSTREAM_SHED)
		call->nnot_sent++;
}

static void
on_grant(void *arg)
{
	struct call *call = arg;

	call->retry_pending = false;
	if (!call->exchange_ended && !call->refused) {
		if (call->retry_granted) {
			loom_counter_add(
			    call->worker->daemon->counters.retried, 1);
			count_not_sent(call);
			target_retry(call);
		} else {
			call_retry_refuse(call);
		}
	}
	call_unref(call);
}

static void
on_grant_control_thread(struct loom_retry_query *ask, bool granted)
{
	struct call *call = ask->arg;

	call->retry_granted = granted;
	loom_mailbox_post(call->worker->mailbox, on_grant, call);
}

static struct loom_retry_root
request_root(const struct call *call)
{
	struct loom_retry_root root = {
		.home_host_id = call->context.home_host_id,
		.home_incarnation = call->context.home_incarnation,
	};

	memcpy(&root.id, call->context.root.bytes, sizeof(root.id));
	return root;
}

bool
call_retry_request(struct call *call, const struct loom_refusal *refusal)
{
	const uint64_t now_us = loom_now_us();
	const struct loom_retry_failure failure = {
		.code = refusal->code,
		.repeatable = call->route->repeatable,
		.final = refusal->final,
		.body_available = call->body_buffered,
		.answer_started = call->streaming,
		.remaining_us = call_remaining_us(call, now_us),
	};
	const struct loom_retry_root root = request_root(call);
	bool final;

	call->retry_refusal = *refusal;
	if (call->routed_by_ticket || call->ntried >= CALL_ATTEMPTS_MAX ||
	    call->ntried >= call->route->max_attempts ||
	    loom_retry_decide(&failure, &final) != LOOM_RETRY_NEEDS_GRANT)
		return false;
	call->retry_query =
	    (struct loom_retry_query){ .done = on_grant_control_thread,
		    .arg = call };
	call->retry_pending = true;
	note_previous_attempt(call);
	call_ref(call);
	if (loom_retry_query(call->worker->daemon->retry, &root,
		call->service->id, now_us, &call->retry_query))
		return true;
	call->retry_pending = false;
	call_unref(call);
	return false;
}

void
call_retry_cancel(struct call *call)
{
	if (!call->retry_pending)
		return;
	call->retry_pending = false;
	if (loom_retry_cancel(call->worker->daemon->retry, &call->retry_query))
		call_unref(call);
}
