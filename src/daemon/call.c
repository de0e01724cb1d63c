/*
 * Lifetime of a call: it is created with its exchange and freed when the
 * exchange has ended and no callback is outstanding.
 */

#include "daemon/call.h"
#include "daemon/auth.h"
#include "daemon/call_retry.h"
#include "daemon/call_ticket.h"
#include "daemon/headers.h"
#include "daemon/latency.h"
#include "daemon/rate.h"
#include "daemon/report.h"
#include "loom/stop.h"

struct call *
call_new(struct worker *worker, struct loom_exchange *x)
{
	struct call *call = talloc_zero(worker, struct call);

	if (call == NULL)
		return NULL;
	call->worker = worker;
	call->exchange = x;
	call->ref_count = 1;
	call->arrived_us = loom_now_us();
	call->body_length = loom_exchange_body_length(x);
	call->report_id = talloc_strdup(call,
	    loom_exchange_header(
		x, worker->daemon->dialect->request_id_header));
	if (worker->manifest != NULL)
		call->manifest = loom_manifest_acquire(worker->manifest);
	call->next = worker->calls;
	if (call->next != NULL)
		call->next->link = &call->next;
	call->link = &worker->calls;
	worker->calls = call;
	loom_exchange_set_user(x, call);
	atomic_fetch_add(&worker->daemon->inflight, 1);
	loom_counter_add(worker->daemon->counters.inflight, 1);
	return call;
}

const char *
call_ticket_text(const struct call *call)
{
	if (call->manifest != NULL && !call->manifest->fleet.tickets)
		return NULL;
	if (call->route != NULL && call->route->repeatable)
		return NULL;
	return loom_exchange_header(call->exchange, HEADER_TICKET);
}

const struct loom_team *
call_team(const struct call *call)
{
	if (call->manifest == NULL || call->context.team_id == 0)
		return NULL;
	return loom_manifest_team(call->manifest, call->context.team_id);
}

static void
emit_call_span(const struct call *call)
{
	struct span_details facts = {
		.name = call->route != NULL ? call->route->name : "-",
		.team = "",
		.kind = call->origin == CALL_ORIGIN_PEER ? SPAN_EXECUTOR
							 : SPAN_ENTRY,
		.end_us = loom_now_us(),
	};

	if (call->is_internal_page)
		return;
	if (call->team_name != NULL)
		facts.team = call->team_name;
	tracer_emit(call->worker->daemon->tracer, &call->span, &facts);
}

void
call_ref(struct call *call)
{
	call->ref_count++;
}

void
call_unref(struct call *call)
{
	if (--call->ref_count > 0)
		return;
	emit_call_span(call);
	report_call(call);
	latency_record(call);
	*call->link = call->next;
	if (call->next != NULL)
		call->next->link = call->link;
	if (call->manifest != NULL)
		loom_manifest_release(call->manifest);
	loom_counter_add(call->worker->daemon->counters.inflight, -1);
	if (call->is_nested)
		executor_count_nested(call, false);
	if (call->has_parent)
		loom_calls_nested_end(call->worker->daemon->calls,
		    &call->parent_id, loom_now_us());
	if (call->counted_as_working)
		atomic_fetch_sub(&call->worker->daemon->admitted, 1);
	atomic_fetch_sub(&call->worker->daemon->inflight, 1);
	talloc_free(call);
}

/* Whether the call continues without its caller, as a run with a ticket
 * does after its body has arrived (call_ticket.c). */
static bool
may_run_detached(const struct call *call)
{
	return call->ticket_run != NULL && call->fetch != NULL &&
	    call->body_ended && !call->streaming;
}

static void
cancel_leg(struct call *call)
{
	if (call->fetch == NULL)
		return;
	call->sent = call->sent || loom_fetch_sent(call->fetch);
	loom_fetch_cancel(call->fetch);
	call->fetch = NULL;
}

/* Cancels waits for results from other threads. */
static void
cancel_waits(struct call *call)
{
	rate_cancel(call);
	call_retry_cancel(call);
	call_ticket_detach(call);
}

void
call_end(struct call *call)
{
	call->exchange_ended = true;
	call->exchange = NULL;
	if (may_run_detached(call)) {
		call->detached = true;
		return;
	}
	if (!call->refused && call->ntried == 0)
		rate_give_back(call);
	cancel_waits(call);
	cancel_leg(call);
	target_cancel(call);
	executor_release(call, LOOM_CALL_FAILED);
	call_ticket_settle(call, LOOM_CALLER_GONE,
	    call->sent ? LOOM_OUTCOME_UNKNOWN : LOOM_OUTCOME_NOT_RUN);
	call_unref(call);
}

enum loom_importance
call_importance(const struct call *call)
{
	return call->admitted_by_share ? LOOM_CRITICAL
				       : call->context.importance;
}

uint64_t
call_remaining_us(const struct call *call, uint64_t now_us)
{
	return now_us >= call->deadline_us ? 0 : call->deadline_us - now_us;
}

/*
 * Once data has been sent, it is unknown whether the request was executed,
 * whatever the reason of the failure.
 */
void
call_fail(struct call *call, enum loom_result code)
{
	struct loom_refusal refusal = loom_refusal_for_code(code);

	cancel_waits(call);
	cancel_leg(call);
	if (call->sent && refusal.outcome == LOOM_OUTCOME_NOT_RUN)
		refusal.outcome = LOOM_OUTCOME_UNKNOWN;
	target_cancel(call);
	executor_release(call, LOOM_CALL_FAILED);
	call_ticket_settle(call, code, refusal.outcome);
	if (call->streaming)
		loom_exchange_abort(call->exchange);
	else
		call_refuse(call, &refusal);
}

/* A nested call is part of a call that already runs. */
bool
call_is_too_late_in_drain(const struct call *call, uint64_t now_us)
{
	const struct loom_daemon *daemon = call->worker->daemon;

	return atomic_load(&daemon->draining) && !call->is_nested &&
	    call->origin != CALL_ORIGIN_UPSTREAM &&
	    !loom_stop_may_send(
		now_us, daemon->drain_us, daemon->drain_until_us);
}

static void
dispatch_call(struct call *call)
{
	if (call_remaining_us(call, loom_now_us()) == 0)
		call_refuse_code(call, LOOM_LATE, 0);
	else if (call->origin == CALL_ORIGIN_PEER)
		executor_start(call);
	else
		target_start(call);
}

void
call_body_complete(struct call *call)
{
	dispatch_call(call);
}

/*
 * A short body is buffered before anything else is requested.  A slow client
 * then occupies no slot of an upstream while it sends, and the request can be
 * retried.  A long body is read only after an executor has accepted the call.
 */
void
call_start(struct call *call)
{
	call->counted_as_working = true;
	atomic_fetch_add(&call->worker->daemon->admitted, 1);
	if (call->body_length == 0) {
		call->body_buffered = true;
		call->body_ended = true;
		dispatch_call(call);
	} else if (call->body_length > 0 &&
	    call->body_length <= CALL_BUFFER_MAX) {
		call->body_buffered = true;
		call->body.keep_consumed = true;
		loom_exchange_resume_body(call->exchange);
	} else {
		dispatch_call(call);
	}
}

/*
 * A withdrawn key has to lose effect within seconds, also for calls that are
 * queued, stream a body or run for minutes.  They are failed here rather than
 * at their next hop.
 */
void
calls_recheck_keys(struct worker *worker)
{
	struct call *call, *next;

	for (call = worker->calls; call != NULL; call = next) {
		next = call->next;
		if (call->exchange_ended || call->route == NULL ||
		    auth_key_granted(worker->manifest, &call->context))
			continue;
		call_fail(call, LOOM_KEY_WITHDRAWN);
	}
}

/* Whether an upstream may have got the request from this daemon. */
static bool
may_have_been_sent(const struct call *call)
{
	return call->sent || call->may_have_run ||
	    (call->fetch != NULL && loom_fetch_sent(call->fetch));
}

/*
 * A call may wait for anything then: a silent connection, a paused peer, a
 * slot, a grant, its body.  Those that were not sent are told so, and can be
 * sent to another daemon.  An answer that has begun cannot be replaced.
 */
void
calls_end(struct worker *worker)
{
	struct call *call, *next;

	for (call = worker->calls; call != NULL; call = next) {
		next = call->next;
		if (call->exchange_ended ||
		    loom_exchange_responded(call->exchange))
			continue;
		call_fail(call,
		    may_have_been_sent(call) ? LOOM_STOPPED : LOOM_DRAINING);
	}
}
