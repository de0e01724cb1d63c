/*
 * The leg to the local upstream, from the granted slot to the answer.
 *
 * Before any data is sent, in this order: the first bytes of the body have
 * arrived, since they are part of the fingerprint; the quarantine lets the
 * request run; the call is registered in daemon->calls; and its key is still
 * granted.
 */

#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/auth.h"
#include "daemon/call_ticket.h"
#include "daemon/cold.h"
#include "daemon/headers.h"
#include "daemon/repeats.h"
#include "daemon/statements.h"
#include "daemon/witness.h"
#include "daemon/work.h"
#include "loom/log.h"
#include "loom/timer.h"

/*
 * Interval at which a call that is held by the quarantine checks again.  Only
 * suspects are held, and they run one at a time, so a shorter interval would
 * gain nothing.
 */
#define QUARANTINE_POLL_US 5000

/* By then the period in which a suspect may run has ended
 * (src/decide/suspects.c). */
#define SUSPECT_RETRY_AFTER_US (1 * LOOM_US_PER_S)

/* Upper limit of the wait for a connection result.  The upstream is on this
 * host, so the kernel normally knows the result at once. */
#define CONNECT_CHECK_TIMEOUT_MS 5

/* A process that exits closes its connections one after another: the
 * witness connections may close this much later than that of the failed
 * call. */
#define CRASH_CHECK_DELAY_US 5000

/*
 * An error answer says nothing about the service time of the upstream: a
 * request whose nested call was refused fails in a third of the usual time.
 * When such answers were counted as latency samples they lowered the estimate
 * of the minimum latency, so that all successful requests looked slow
 * afterwards; the limit fell from 104 to 4 of 225 and stayed there for
 * ten seconds after a fault of a nested service.
 */
static enum loom_call_end
classify_status(const struct call *call)
{
	uint16_t status = loom_fetch_status(call->fetch);

	if (status == 503 || status == 429)
		return LOOM_CALL_OVERLOAD;
	return status >= 500 ? LOOM_CALL_FAILED : LOOM_CALL_OK;
}

static void
leave_quarantine(struct call *call, enum loom_quarantine_result end)
{
	if (call->quarantine == NULL)
		return;
	loom_quarantine_leave(call->worker->daemon->quarantine,
	    call->quarantine, end, loom_now_us());
	call->quarantine = NULL;
}

void
upstream_release(struct call *call)
{
	bool sent = call->awaits_crash_check ||
	    (call->fetch != NULL && loom_fetch_sent(call->fetch));

	leave_quarantine(
	    call, sent ? LOOM_QUARANTINE_INCOMPLETE : LOOM_QUARANTINE_NOT_SENT);
	TALLOC_FREE(call->upstream_timer);
	if (!call->registered)
		return;
	call->registered = false;
	call->nested_us = loom_calls_nested_us(
	    call->worker->daemon->calls, &call->registered_id, loom_now_us());
	loom_calls_end(call->worker->daemon->calls, &call->registered_id);
}

/* Some kernels complete a non-blocking connect to a local port only after
 * the call has returned.  The result is awaited much longer than it takes. */
static bool
connect_was_refused(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
	socklen_t size = sizeof(int);
	int cause = 0;

	return poll(&poll_fd, 1, CONNECT_CHECK_TIMEOUT_MS) > 0 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &cause, &size) == 0 &&
	    cause == ECONNREFUSED;
}

/*
 * Checks, after a connection failed during a call, whether the upstream as a
 * whole is gone: a new connection is then refused.  An upstream that is
 * already back accepts it, and is recognized by its closed witness connections
 * instead (on_crash_check()).
 */
static bool
refuses_connections(const struct loom_daemon *daemon)
{
	struct sockaddr_in address = daemon->upstream_address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	bool refused = false;

	if (fd < 0)
		return false;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		refused = errno == ECONNREFUSED ||
		    (errno == EINPROGRESS && connect_was_refused(fd));
	close(fd);
	return refused;
}

/* A call that was sent is treated differently from one that got no
 * connection: only a request that ran can have crashed the upstream. */
static void
report_crash(struct call *call, bool sent)
{
	struct loom_daemon *daemon = call->worker->daemon;
	uint64_t now_us = loom_now_us();

	loom_log(LOOM_LOG_WARN, "upstream", LOOM_UPSTREAM_CUT,
	    "the upstream crashed or stopped while calls were in flight");
	cold_note_down(daemon->cold);
	if (sent && call->quarantine != NULL)
		loom_quarantine_crashed(
		    daemon->quarantine, call->quarantine, now_us);
	else
		loom_quarantine_unreachable(
		    daemon->quarantine, call->quarantine, now_us);
	loom_admission_upstream_restarted(daemon->admission, now_us);
}

static void
refuse_failed_leg(
    struct call *call, const struct loom_fetch_outcome *end, bool crashed)
{
	struct loom_failure_facts facts = {
		.leg = LOOM_LEG_UPSTREAM,
		.failure = LOOM_FAILURE_CUT,
		.sent = end->sent,
		.repeatable = call->route->repeatable,
		.ticketed = call->ticket_run != NULL,
	};
	struct loom_refusal refusal;

	if (end->result == LOOM_FETCH_CONNECT_FAILED)
		facts.failure = LOOM_FAILURE_CONNECT;
	else if (end->result == LOOM_FETCH_TIMEOUT)
		facts.failure = LOOM_FAILURE_DEADLINE;
	else if (crashed)
		facts.failure = LOOM_FAILURE_CRASH;
	else if (end->headers_received)
		facts.failure = LOOM_FAILURE_ANSWER_CUT;
	refusal_of_failure(&facts, end->reason, &refusal);
	executor_refuse(call, &refusal);
}

static void
leg_completed(struct call *call)
{
	leave_quarantine(call, LOOM_QUARANTINE_ANSWERED);
	call_ticket_store_answer(call);
	executor_release(call, classify_status(call));
	if (!call->exchange_ended)
		relay_answer_complete(call);
	call->fetch = NULL;
}

static void
on_reoffer(void *arg)
{
	struct call *call = arg;

	call->upstream_timer = NULL;
	loom_buffer_rewind(&call->body);
	call->discarded_bytes = 0;
	upstream_start(call);
}

/* The call keeps its slot.  All that a new call is checked for immediately
 * before it is sent is checked again then. */
static bool
offer_again(struct call *call)
{
	upstream_release(call);
	call->upstream_timer = loom_timer_add(call->worker->timers, call,
	    loom_reoffer_pause_us(&loom_random_system), on_reoffer, call);
	return call->upstream_timer != NULL;
}

/* Handles an answer by which the upstream rejected the call without running
 * it. */
static void
leg_shed(struct call *call)
{
	const struct loom_daemon *daemon = call->worker->daemon;
	enum loom_reoffer_verdict verdict = repeats_decide(call);

	/* A surplus answer to this offer would have the id that the next one
	 * expects. */
	if (verdict == LOOM_REOFFER_AGAIN)
		loom_fetch_close_when_done(call->fetch);
	/* A suspect that has not run is a suspect still. */
	leave_quarantine(call,
	    verdict == LOOM_REOFFER_AGAIN ? LOOM_QUARANTINE_NOT_SENT
					  : LOOM_QUARANTINE_ANSWERED);
	call->fetch = NULL;
	if (verdict == LOOM_REOFFER_AGAIN && offer_again(call))
		return;
	/* Rejections by an upstream with free slots say nothing about how many
	 * calls it can run. */
	executor_release(call,
	    work_has_room(daemon) ? LOOM_CALL_FAILED : LOOM_CALL_OVERLOAD);
	if (verdict == LOOM_REOFFER_END)
		executor_refuse_final(call, LOOM_UPSTREAM_SHED);
	else
		executor_refuse_code(call, LOOM_UPSTREAM_SHED, 0);
}

static void
leg_broken(
    struct call *call, const struct loom_fetch_outcome *end, bool crashed)
{
	if (crashed)
		report_crash(call, end->sent);
	leave_quarantine(call,
	    end->sent ? LOOM_QUARANTINE_INCOMPLETE : LOOM_QUARANTINE_NOT_SENT);
	call->fetch = NULL;
	executor_release(call, LOOM_CALL_FAILED);
	if (!call->exchange_ended && call->streaming) {
		call_ticket_settle(
		    call, LOOM_UPSTREAM_CUT, LOOM_OUTCOME_UNKNOWN);
		loom_counter_add(call->worker->daemon->counters.truncated, 1);
		loom_exchange_abort(call->exchange);
	} else {
		refuse_failed_leg(call, end, crashed);
	}
}

/* Drops the references of a leg that has ended, and of a run that outlived
 * its caller. */
static void
finish_leg(struct call *call)
{
	if (call->detached) {
		call->detached = false;
		call_unref(call);
	}
	call_unref(call);
}

/* Runs CRASH_CHECK_DELAY_US after a connection broke.  The upstream has
 * crashed if its witness connections have closed by then. */
static void
on_crash_check(void *arg)
{
	struct call *call = arg;
	const struct loom_daemon *daemon = call->worker->daemon;
	uint64_t now_us = loom_now_us();
	bool crashed = witnesses_detect_crash(daemon->witnesses, now_us);

	call->upstream_timer = NULL;
	call_ref(call);
	if (crashed)
		loom_quarantine_fast_restart(daemon->quarantine, now_us);
	leg_broken(call, &call->broken_leg_end, crashed);
	call->awaits_crash_check = false;
	finish_leg(call);
}

/*
 * Delays the refusal until the crash check.  A refusal that is not final would
 * be retried, and a request that crashes upstreams would be sent to the next
 * host.
 */
static bool
defer_crash_check(struct call *call, const struct loom_fetch_outcome *end)
{
	call->upstream_timer = loom_timer_add(call->worker->timers, call,
	    CRASH_CHECK_DELAY_US, on_crash_check, call);
	if (call->upstream_timer == NULL)
		return false;
	call->fetch = NULL;
	call->sent = true;
	call->awaits_crash_check = true;
	call->broken_leg_end = *end;
	return true;
}

static void
leg_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct call *call = arg;
	bool upstream_gone;

	call->span.leg_us += loom_now_us() - call->leg_us;
	call_ref(call);
	if (end->sent && end->result != LOOM_FETCH_TIMEOUT)
		cold_note_leg(call->worker->daemon->cold,
		    end->result == LOOM_FETCH_COMPLETE);
	upstream_gone = end->result != LOOM_FETCH_COMPLETE &&
	    end->result != LOOM_FETCH_TIMEOUT &&
	    refuses_connections(call->worker->daemon);
	/* What the headers state holds, however the body ends. */
	if (end->headers_received && call->answer_kind == LOOM_ANSWER_NOT_RUN) {
		leg_shed(call);
	} else if (end->result == LOOM_FETCH_COMPLETE) {
		leg_completed(call);
	} else if (end->result == LOOM_FETCH_INTERRUPTED && !upstream_gone &&
	    call->worker->daemon->witnesses != NULL &&
	    defer_crash_check(call, end)) {
		call_unref(call);
		return;
	} else {
		leg_broken(call, end, upstream_gone);
	}
	finish_leg(call);
}

/* Classifies the answer before any of its body is forwarded. */
static void
leg_headers(void *arg, struct loom_fetch *fetch)
{
	struct call *call = arg;
	const struct loom_dialect *dialect = call->worker->daemon->dialect;

	if (call->exchange == NULL)
		return;
	call->answer_kind = dialect->classify_answer(fetch,
	    loom_exchange_header(call->exchange, dialect->request_id_header));
	/* The upstream sent a surplus answer, and the one to this request
	 * may still follow: answers on this connection can no longer be
	 * matched to requests. */
	if (call->answer_kind == LOOM_ANSWER_MISMATCHED)
		loom_fetch_reject(fetch);
	else
		work_read_report(call);
	if (call->answer_kind == LOOM_ANSWER_MISMATCHED)
		return;
	statements_note_answer(call);
	repeats_note_answer(call);
}

static void
leg_sent(void *arg)
{
	struct call *call = arg;

	repeats_note_sent(call);
	loom_admission_sent(
	    call->worker->daemon->admission, &call->waiting, loom_now_us());
}

static const struct loom_fetch_ops leg_ops = {
	.read_body = relay_read_body,
	.sent = leg_sent,
	.headers = leg_headers,
	.data = relay_data,
	.done = leg_done,
};

/* Registers the call and encodes the context that the upstream returns with
 * its nested calls. */
static void
register_context(
    struct call *call, uint64_t now_us, char text[LOOM_CONTEXT_TEXT_MAX])
{
	const struct loom_daemon *daemon = call->worker->daemon;
	struct loom_live_call live = {
		.context = call->context,
		.deadline_us = call->deadline_us,
	};
	struct loom_context *context = &live.context;

	context->kind = LOOM_CONTEXT_UPSTREAM;
	loom_random_bytes(
	    call->registered_id.bytes, sizeof(call->registered_id.bytes));
	context->call = call->registered_id;
	if (call->origin != CALL_ORIGIN_PEER)
		context->hops++;
	context->remaining_us = call_remaining_us(call, now_us);
	context->audience_host_id = daemon->self.host_id;
	context->audience_incarnation = daemon->self.incarnation;
	context->audience_stamp_us = now_us;
	context->issuer_host_id = daemon->self.host_id;
	context->issuer_incarnation = daemon->self.incarnation;
	if (call->team_name != NULL)
		g_strlcpy(
		    live.team_name, call->team_name, sizeof(live.team_name));
	loom_calls_begin(daemon->calls, &live);
	call->registered = true;
	loom_context_encode(
	    context, &daemon->context_key, text, LOOM_CONTEXT_TEXT_MAX);
}

static void
add_context(struct call *call, struct header_list *list)
{
	char context[LOOM_CONTEXT_TEXT_MAX];

	register_context(call, call->leg_us, context);
	header_list_add(list, HEADER_CONTEXT, context);
}

static void
add_header(void *arg, const char *name, const char *value)
{
	header_list_add(arg, name, value);
}

static void
add_headers(struct call *call, struct header_list *list)
{
	char request_id[2 * sizeof(call->context.root.bytes) + 1];
	const bool passes_context =
	    call->worker->daemon->dialect->passes_context;
	const struct loom_upstream_request_info facts = {
		.request_id = request_id,
		.remaining_us = call_remaining_us(call, call->leg_us),
		.team = call->team_name,
		.instance = call->worker->own_upstream.instance,
		.caller_service = call->caller_service,
	};

	headers_forward_request(call, list);
	if (passes_context)
		add_context(call, list);
	if (passes_context || headers_are_traced(call))
		headers_add_trace(call, list);
	sodium_bin2hex(request_id, sizeof(request_id), call->context.root.bytes,
	    sizeof(call->context.root.bytes));
	call->worker->daemon->dialect->upstream_headers(
	    &facts, add_header, list);
}

/*
 * Checks again, immediately before data is sent, what may have changed while
 * the call waited for its body, in the queue or in quarantine: the key, in the
 * worker's newest manifest, whether the upstream is still there, and whether
 * the daemon stops.  After a
 * later withdrawal calls_recheck_keys() finds the call in the worker's list and
 * fails it.
 */
static enum loom_result
check_before_sending(const struct call *call)
{
	const struct worker *worker = call->worker;
	const uint64_t now_us = loom_now_us();

	if (!auth_key_granted(worker->manifest, &call->context))
		return LOOM_KEY_WITHDRAWN;
	if (call_is_too_late_in_drain(call, now_us))
		return LOOM_DRAINING;
	if (!own_upstream_accepts(&worker->own_upstream, now_us) ||
	    !statements_accepts(worker->daemon, now_us))
		return LOOM_UPSTREAM_LEFT;
	return LOOM_OK;
}

static void
send_request(struct call *call)
{
	struct loom_fetch_request request = {
		.method = loom_exchange_method(call->exchange),
		.has_body = call->body_length != 0,
		.body_length = call->body_length,
		.ops = &leg_ops,
		.arg = call,
	};
	struct header_list list;
	enum loom_result result;

	header_list_init(&list);
	add_headers(call, &list);
	request.address = call->worker->daemon->settings.upstream;
	request.target = loom_exchange_target(call->exchange);
	request.headers = header_list_items(&list);
	request.nheaders = list.headers->len;
	request.timeout_us = call_remaining_us(call, call->leg_us);
	request.idle_max_ms = call->worker->daemon->settings.upstream_idle_ms;
	call->answer_kind = LOOM_ANSWER_RAN;
	result = check_before_sending(call);
	if (result == LOOM_OK) {
		call->fetch = loom_fetch_start(call->worker->fetcher, &request);
		result = LOOM_NO_MEMORY;
	}
	header_list_clear(&list);
	if (call->fetch != NULL) {
		loom_counter_add(call->worker->daemon->counters.executed, 1);
		return;
	}
	executor_release(call, LOOM_CALL_FAILED);
	executor_refuse_code(call, result, 0);
}

static void
fingerprint(const struct call *call, struct loom_fingerprint *print)
{
	uint64_t declared =
	    call->body_length < 0 ? 0 : (uint64_t)call->body_length;

	loom_fingerprint(print, call->context.team_id, call->route->id,
	    loom_exchange_target(call->exchange), declared,
	    loom_buffer_peek(&call->body),
	    MIN(loom_buffer_length(&call->body),
		(size_t)LOOM_FINGERPRINT_PREFIX_BYTES));
}

static void
on_hold_timer(void *arg)
{
	struct call *call = arg;

	call->upstream_timer = NULL;
	upstream_start(call);
}

/* The refusal tells the caller when the quarantine ends, which is known to
 * the microsecond. */
static void
refuse_quarantined(struct call *call, enum loom_result code,
    const struct loom_fingerprint *print, uint64_t now_us)
{
	uint64_t wait_us = loom_quarantine_wait_us(
	    call->worker->daemon->quarantine, print, now_us);

	executor_release(call, LOOM_CALL_FAILED);
	executor_refuse_code(call, code, wait_us);
}

/*
 * Holds a suspect and checks again after QUARANTINE_POLL_US.  A call that
 * could no longer finish by its deadline if it were released then is refused
 * now: it would occupy its slot until the deadline and keep its caller from
 * trying again.
 */
static void
hold_suspect(struct call *call, uint64_t now_us)
{
	if (loom_admission_can_finish(call->worker->daemon->admission,
		&call->waiting, now_us + QUARANTINE_POLL_US)) {
		call->upstream_timer = loom_timer_add(call->worker->timers,
		    call, QUARANTINE_POLL_US, on_hold_timer, call);
		return;
	}
	executor_release(call, LOOM_CALL_FAILED);
	executor_refuse_code(call, LOOM_QUEUE_DEADLINE, SUSPECT_RETRY_AFTER_US);
}

static void
enter_quarantine(struct call *call)
{
	struct loom_fingerprint print;
	uint64_t now_us = loom_now_us();

	fingerprint(call, &print);
	switch (loom_quarantine_enter(call->worker->daemon->quarantine, &print,
	    now_us, &call->quarantine)) {
	case LOOM_QUARANTINE_PASS:
		call->leg_us = now_us;
		send_request(call);
		break;
	case LOOM_QUARANTINE_HOLD:
		hold_suspect(call, now_us);
		break;
	case LOOM_QUARANTINE_RETRY_LATER:
		refuse_quarantined(call, LOOM_SUSPECT, &print, now_us);
		break;
	case LOOM_QUARANTINE_REFUSE:
		refuse_quarantined(call, LOOM_QUARANTINED, &print, now_us);
		break;
	}
}

static bool
has_body_prefix(const struct call *call)
{
	return call->body_buffered || call->body_ended ||
	    loom_buffer_length(&call->body) >= LOOM_FINGERPRINT_PREFIX_BYTES;
}

void
upstream_start(struct call *call)
{
	if (call_remaining_us(call, loom_now_us()) == 0) {
		executor_release(call, LOOM_CALL_FAILED);
		executor_refuse_code(call, LOOM_LATE, 0);
	} else if (!has_body_prefix(call)) {
		call->awaits_body_prefix = true;
		loom_exchange_resume_body(call->exchange);
	} else {
		call->awaits_body_prefix = false;
		enter_quarantine(call);
	}
}

void
upstream_body_progress(struct call *call)
{
	if (call->awaits_body_prefix && has_body_prefix(call))
		upstream_start(call);
}
