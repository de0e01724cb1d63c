/*
 * Retries are granted by the home of the root request (loom/retry.h).  While
 * its answer is awaited the refusal is kept; without a grant, or when no host
 * is left, the caller gets just that, marked final: no hop above may try what
 * the whole chain's budget does not allow.
 */

#include <string.h>

#include "daemon/again.h"

void
again_give_up(struct call *call)
{
	call->again_refusal.final = true;
	call_refuse(call, &call->again_refusal);
}

/*
 * The first host broke off after it had the request, the second cannot be
 * reached: "not run" is true of the second attempt alone, and its caller
 * would send the request a second time.
 */
static void
note_attempt(struct call *call)
{
	if (call->again_refusal.outcome != LOOM_OUTCOME_NOT_RUN)
		call->may_have_run = true;
}

static void
arrived(void *arg)
{
	struct call *call = arg;

	call->again_waits = false;
	if (!call->over && !call->refused) {
		if (call->again_granted) {
			loom_counter_add(
			    call->worker->daemon->counters.retried, 1);
			note_attempt(call);
			target_again(call);
		} else {
			again_give_up(call);
		}
	}
	call_drop(call);
}

static void
told(struct loom_retry_ask *ask, bool granted)
{
	struct call *call = ask->arg;

	call->again_granted = granted;
	loom_mailbox_post(call->worker->mailbox, arrived, call);
}

static struct loom_retry_root
root_of(const struct call *call)
{
	struct loom_retry_root root = {
		.home_host_id = call->context.home_host_id,
		.home_incarnation = call->context.home_incarnation,
	};

	memcpy(&root.id, call->context.root.bytes, sizeof(root.id));
	return root;
}

bool
again_ask(struct call *call, const struct loom_refusal *refusal)
{
	const uint64_t now_us = loom_now_us();
	const struct loom_retry_failure failure = {
		.code = refusal->code,
		.repeatable = call->route->repeatable,
		.final = refusal->final,
		.body_kept = call->body_whole,
		.answer_begun = call->streaming,
		.remaining_us = call_remaining_us(call, now_us),
	};
	const struct loom_retry_root root = root_of(call);
	bool final;

	call->again_refusal = *refusal;
	if (call->ticketed || call->ntried >= CALL_TRIES_MAX ||
	    call->ntried >= call->route->max_attempts ||
	    loom_retry_may(&failure, &final) != LOOM_RETRY_ASK_HOME)
		return false;
	call->again_ask = (struct loom_retry_ask){ .done = told, .arg = call };
	call->again_waits = true;
	call_hold(call);
	if (loom_retry_ask(call->worker->daemon->retry, &root,
		call->service->id, now_us, &call->again_ask))
		return true;
	call->again_waits = false;
	call_drop(call);
	return false;
}

void
again_leave(struct call *call)
{
	if (!call->again_waits)
		return;
	call->again_waits = false;
	if (loom_retry_cancel(call->worker->daemon->retry, &call->again_ask))
		call_drop(call);
}
