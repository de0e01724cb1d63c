/*
 * The third stage: admission to the local upstream.
 *
 * The decision is made by loom/admission.h.  Admission may give any thread the
 * verdicts on queued calls of any worker.  Each verdict is therefore posted to
 * the worker of its call, and a reference keeps the call in memory until the
 * message arrives.
 */

#include <string.h>

#include "daemon/call_ticket.h"
#include "daemon/repeats.h"
#include "daemon/shed_thresholds.h"
#include "daemon/statements.h"
#include "daemon/throttle.h"
#include "daemon/work.h"

/* How long a draining daemon still accepts calls from peers. */
#define DRAIN_ACCEPT_PEERS_US (500 * LOOM_US_PER_MS)

/* Latency is measured per class of calls, derived from the route. */
static uint8_t
call_class(const struct call *call)
{
	return (uint8_t)((size_t)(call->route - call->manifest->routes) %
	    LOOM_CALL_CLASSES);
}

static uint32_t
team_weight(const struct call *call)
{
	const struct loom_team *team = call_team(call);

	return team == NULL || team->rate_per_s < 1
	    ? 1
	    : (uint32_t)team->rate_per_s;
}

void
executor_refuse(struct call *call, const struct loom_refusal *refusal)
{
	call_ticket_settle(call, refusal->code, refusal->outcome);
	if (call->exchange_ended)
		return;
	if (call->origin == CALL_ORIGIN_PEER)
		call_refuse(call, refusal);
	else
		target_refused(call, refusal);
}

void
executor_refuse_code(
    struct call *call, enum loom_result code, uint64_t retry_after_us)
{
	const struct loom_refusal refusal =
	    refusal_of_code(code, retry_after_us);

	executor_refuse(call, &refusal);
}

void
executor_refuse_final(struct call *call, enum loom_result code)
{
	struct loom_refusal refusal = refusal_of_code(code, 0);

	refusal.final = true;
	executor_refuse(call, &refusal);
}

/*
 * Adds to the numbers of calls that run at the local upstream and of nested
 * calls that it makes.  Returns the share of time that running calls spend
 * waiting for nested calls.
 */
static double
update_wait_share(
    struct loom_daemon *daemon, int running, int inner, uint64_t now_us)
{
	double share;

	g_mutex_lock(&daemon->wait_lock);
	loom_wait_share_update(&daemon->wait_share, running, inner, now_us);
	share = loom_wait_share(&daemon->wait_share);
	g_mutex_unlock(&daemon->wait_lock);
	return share;
}

void
executor_count_nested(struct call *call, bool begins)
{
	update_wait_share(
	    call->worker->daemon, 0, begins ? 1 : -1, loom_now_us());
}

static void
release_slot(struct call *call, enum loom_call_end end)
{
	struct loom_call_result result = { .end = end };
	uint64_t now_us = loom_now_us();
	struct loom_verdicts verdicts;
	double wait_share;

	result.latency_us = now_us - call->leg_us;
	wait_share = update_wait_share(call->worker->daemon, -1, 0, now_us);
	throttle_count_run(call, false);
	if (call->nested_us == 0)
		call->nested_us =
		    (uint64_t)((double)result.latency_us * wait_share);
	result.nested_us = MIN(call->nested_us, result.latency_us);
	work_note_run(call, result.latency_us,
	    result.latency_us - result.nested_us, end == LOOM_CALL_OK);
	work_call_ends(call);
	call->admission = CALL_ADMISSION_NONE;
	loom_verdicts_init(&verdicts);
	loom_admission_done(call->worker->daemon->admission, &call->waiting,
	    &result, now_us, &verdicts);
	executor_apply_verdicts(&verdicts);
}

/*
 * loom_admission_cancel() returns false if another thread already has the
 * verdict on the queued call.  The reference on the call is then dropped when
 * that thread's message arrives.
 */
void
executor_release(struct call *call, enum loom_call_end end)
{
	upstream_release(call);
	if (call->admission == CALL_ADMISSION_RUNNING) {
		release_slot(call, end);
	} else if (call->admission == CALL_ADMISSION_QUEUED) {
		call->admission = CALL_ADMISSION_NONE;
		work_call_ends(call);
		if (loom_admission_cancel(
			call->worker->daemon->admission, &call->waiting))
			call_unref(call);
	}
}

/* Starts an admitted call, which holds a slot until executor_release(). */
static void
run_admitted(struct call *call)
{
	call->admission = CALL_ADMISSION_RUNNING;
	call->leg_us = loom_now_us();
	update_wait_share(call->worker->daemon, 1, 0, call->leg_us);
	throttle_count_run(call, true);
	work_call_runs(call);
	call->span.queue_us += call->leg_us - call->waiting.arrived_us;
	upstream_start(call);
}

/*
 * Each answer tells peers that this host is draining (headers_add_hop()), and
 * they stop sending calls on the first such answer.  After
 * DRAIN_ACCEPT_PEERS_US all peers that still sent calls have been told; a
 * later call is based on an outdated list of hosts and is refused, so that it
 * runs elsewhere.
 */
static bool
refuses_peers(const struct call *call, uint64_t now_us)
{
	const struct loom_daemon *daemon = call->worker->daemon;

	return call->origin == CALL_ORIGIN_PEER &&
	    atomic_load(&daemon->draining) &&
	    now_us - daemon->drain_us >= DRAIN_ACCEPT_PEERS_US;
}

/*
 * Whether the upstream states a rate which this call would exceed, and another
 * host may take the call.  One that no other host can take waits here.
 */
static bool
exceeds_rate(const struct call *call, uint64_t now_us)
{
	const struct loom_daemon *daemon = call->worker->daemon;

	return statements_rate(daemon) > 0 &&
	    !loom_admission_may_start(daemon->admission, now_us) &&
	    work_may_move(call);
}

void
executor_start(struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;
	struct loom_admission_call *waiting = &call->waiting;
	uint64_t now_us = loom_now_us();
	struct loom_verdicts verdicts;
	enum loom_admission_verdict admit;

	if (!call_ticket_begin(call))
		return;
	if (refuses_peers(call, now_us)) {
		executor_refuse_code(call, LOOM_DRAINING, 0);
		return;
	}
	statements_note_call(call);
	if (!own_upstream_accepts(&call->worker->own_upstream, now_us) ||
	    !statements_accepts(daemon, now_us)) {
		executor_refuse_code(call, LOOM_UPSTREAM_LEFT, 0);
		return;
	}
	if (!repeats_admit_retry(call)) {
		executor_refuse_final(call, LOOM_UPSTREAM_SHED);
		return;
	}
	if (work_is_better_elsewhere(call, now_us) ||
	    exceeds_rate(call, now_us)) {
		loom_counter_add(daemon->counters.handed_back, 1);
		executor_refuse_code(call, LOOM_BETTER_ELSEWHERE, 0);
		return;
	}
	*waiting = (struct loom_admission_call){
		.team_id = call->context.team_id,
		.team_weight = team_weight(call),
		.importance = call_importance(call),
		.rank = call_shed_rank(call),
		.call_class = call_class(call),
		.deadline_us = call->deadline_us,
		.arg = call,
	};
	call->offered_to_admission = true;
	loom_verdicts_init(&verdicts);
	call_ref(call);
	call->admission = CALL_ADMISSION_QUEUED;
	admit =
	    loom_admission_offer(daemon->admission, waiting, now_us, &verdicts);
	executor_apply_verdicts(&verdicts);
	if (admit == LOOM_QUEUED) {
		work_call_waits(call);
		return;
	}
	call->admission = CALL_ADMISSION_NONE;
	if (admit == LOOM_ADMITTED) {
		waiting->arrived_us = now_us;
		run_admitted(call);
	} else {
		executor_refuse_code(
		    call, waiting->code, waiting->retry_after_us);
	}
	call_unref(call);
}

/* Runs on the call's worker after a queued call was admitted. */
static void
on_admitted(void *arg)
{
	struct call *call = arg;

	/* The call was cancelled before the verdict arrived: the slot is
	 * returned. */
	if (call->exchange_ended || call->admission != CALL_ADMISSION_QUEUED) {
		call->admission = CALL_ADMISSION_RUNNING;
		call->leg_us = loom_now_us();
		update_wait_share(call->worker->daemon, 1, 0, call->leg_us);
		throttle_count_run(call, true);
		release_slot(call, LOOM_CALL_FAILED);
	} else {
		run_admitted(call);
	}
	call_unref(call);
}

/* Runs on the call's worker after a queued call was refused. */
static void
on_refused(void *arg)
{
	struct call *call = arg;
	bool queued = call->admission == CALL_ADMISSION_QUEUED;

	call->admission = CALL_ADMISSION_NONE;
	work_call_ends(call);
	if (!call->exchange_ended && queued)
		executor_refuse_code(
		    call, call->waiting.code, call->waiting.retry_after_us);
	call_unref(call);
}

void
executor_apply_verdicts(struct loom_verdicts *verdicts)
{
	struct loom_admission_call *waiting, *next;
	struct call *call;

	for (waiting = verdicts->admitted; waiting != NULL; waiting = next) {
		next = waiting->next;
		call = waiting->arg;
		loom_mailbox_post(call->worker->mailbox, on_admitted, call);
	}
	for (waiting = verdicts->refused; waiting != NULL; waiting = next) {
		next = waiting->next;
		call = waiting->arg;
		loom_mailbox_post(call->worker->mailbox, on_refused, call);
	}
}
