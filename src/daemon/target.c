/*
 * The second stage: the choice of the host that runs the call, the leg to its
 * daemon, and the retry on another host after a refusal or failure.
 */

#include <inttypes.h>
#include <string.h>

#include "daemon/call_retry.h"
#include "daemon/headers.h"
#include "daemon/probe.h"
#include "daemon/shed_thresholds.h"
#include "daemon/statements.h"
#include "daemon/throttle.h"
#include "daemon/ticket_route.h"
#include "daemon/work.h"
#include "decide/stated_rate.h"
#include "loom/log.h"

/* Loom-Used is in thousandths. */
#define UTILIZATION_UNIT 1000.0

static struct loom_balance *
service_balance(const struct call *call)
{
	return worker_balance(call->worker, call->service->id);
}

const struct loom_refusal *
target_no_host(struct loom_refusal *refusal)
{
	*refusal = loom_refusal_for_code(LOOM_NO_TARGET);
	return refusal;
}

/* Encodes the context for the daemon of the target host. */
static void
encode_peer_context(struct call *call, char text[LOOM_CONTEXT_TEXT_MAX])
{
	struct worker *worker = call->worker;
	const struct loom_daemon *daemon = worker->daemon;
	struct loom_context context = call->context;
	uint64_t now_us = loom_now_us();

	context.kind = LOOM_CONTEXT_PEER;
	loom_random_bytes(context.call.bytes, sizeof(context.call.bytes));
	context.importance = call_importance(call);
	context.hops = (uint8_t)(call->context.hops + 1);
	context.remaining_us = call_remaining_us(call, now_us);
	context.audience_host_id = call->target_id;
	context.issuer_host_id = daemon->self.host_id;
	context.issuer_incarnation = daemon->self.incarnation;
	loom_clock_stamp(
	    worker_peer_clock(worker, call->target_id), now_us, &context);
	loom_context_encode(
	    &context, &daemon->context_key, text, LOOM_CONTEXT_TEXT_MAX);
}

static void
record_leg_result(struct call *call, enum loom_target_result end)
{
	uint64_t now_us = loom_now_us();

	call->span.leg_us += now_us - call->leg_us;
	loom_balance_note_done(service_balance(call), call->target_id, end,
	    now_us - call->leg_us, now_us);
}

void
target_cancel(struct call *call)
{
	TALLOC_FREE(call->handover_timer);
	if (call->target_id == 0)
		return;
	record_leg_result(call, LOOM_TARGET_CANCELLED);
	call->target_id = 0;
}

static void
read_utilization(struct call *call, const char *text)
{
	double utilization;

	if (text == NULL)
		return;
	utilization =
	    (double)g_ascii_strtoull(text, NULL, 16) / UTILIZATION_UNIT;
	loom_balance_note_utilization(
	    service_balance(call), call->target_id, utilization, loom_now_us());
}

/* A host that sends no bound has none. */
static void
read_start_bound(struct call *call, const char *text)
{
	uint64_t bound = text == NULL ? 0 : g_ascii_strtoull(text, NULL, 16);

	loom_balance_note_start_bound(service_balance(call), call->target_id,
	    (uint32_t)MIN(bound, UINT32_MAX), loom_now_us());
}

/* A refusal tells nothing about how long calls take. */
static void
read_work(struct call *call, const char *text)
{
	const uint64_t now_us = loom_now_us();
	const bool refused =
	    loom_fetch_header(call->fetch, HEADER_CODE) != NULL;
	struct loom_work_report report;

	if (text == NULL || !call->worker->daemon->settings.decide_by_work ||
	    !loom_work_report_parse(text, &report))
		return;
	work_note_peer(call->worker->daemon, &report, now_us - call->leg_us);
	loom_balance_note_work(service_balance(call), call->target_id,
	    call->route->id, &report, refused ? 0 : now_us - call->leg_us,
	    now_us);
}

/* A refusal without a rate says nothing: a daemon that has restarted does not
 * know it yet. */
static void
read_stated_rate(struct call *call, const char *text)
{
	const bool refused =
	    loom_fetch_header(call->fetch, HEADER_CODE) != NULL;
	double per_s = 0;

	if (text == NULL ? refused : !stated_rate_parse(text, &per_s))
		return;
	loom_balance_note_stated_rate(
	    service_balance(call), call->target_id, per_s);
}

static void
read_leaving(struct call *call, const char *text)
{
	struct loom_balance *balance = service_balance(call);

	if (text == NULL)
		return;
	if (strcmp(text, LEAVING_UPSTREAM) == 0)
		loom_balance_note_left(balance, call->target_id, loom_now_us());
	else
		loom_balance_note_draining(
		    balance, call->target_id, loom_now_us());
}

static void
read_peer_state(struct call *call)
{
	struct worker *worker = call->worker;
	const char *text;

	text = loom_fetch_header(call->fetch, HEADER_CLOCK);
	if (text != NULL)
		loom_clock_update(worker_peer_clock(worker, call->target_id),
		    text, loom_now_us());
	shed_thresholds_learn(worker, call->context.team_id,
	    loom_fetch_header(call->fetch, HEADER_CUT));
	read_utilization(call, loom_fetch_header(call->fetch, HEADER_USED));
	read_work(call, loom_fetch_header(call->fetch, HEADER_WORK));
	read_start_bound(
	    call, loom_fetch_header(call->fetch, HEADER_START_BOUND));
	throttle_learn(call, loom_fetch_header(call->fetch, HEADER_KEEP));
	read_stated_rate(call, loom_fetch_header(call->fetch, HEADER_RATE));
	read_leaving(call, loom_fetch_header(call->fetch, HEADER_LEAVING));
}

static void
leg_headers(void *arg, struct loom_fetch *fetch)
{
	struct call *call = arg;

	(void)fetch;
	read_peer_state(call);
}

static bool
parse_refusal(const struct call *call, struct loom_refusal *refusal)
{
	return loom_refusal_parse((const char *)loom_buffer_peek(&call->answer),
	    loom_buffer_length(&call->answer), refusal);
}

/* Refuses the call, or retries it, after its leg failed without a refusal
 * from the peer. */
static void
refuse_failed_leg(struct call *call, const struct loom_fetch_outcome *end)
{
	static const enum loom_failure failures[] = {
		[LOOM_FETCH_COMPLETE] = LOOM_FAILURE_CUT,
		[LOOM_FETCH_CONNECT_FAILED] = LOOM_FAILURE_CONNECT,
		[LOOM_FETCH_INTERRUPTED] = LOOM_FAILURE_CUT,
		[LOOM_FETCH_TIMEOUT] = LOOM_FAILURE_DEADLINE,
	};
	struct loom_failure_facts facts = {
		.leg = LOOM_LEG_PEER,
		.failure = failures[end->result],
		.sent = end->sent,
		.repeatable = call->route->repeatable,
		.ticketed = call->routed_by_ticket,
	};
	struct loom_refusal refusal;

	if (facts.failure == LOOM_FAILURE_CUT && end->headers_received)
		facts.failure = LOOM_FAILURE_ANSWER_CUT;
	refusal_of_failure(&facts, end->reason, &refusal);
	target_refused(call, &refusal);
}

static enum loom_target_result
leg_result(const struct call *call, const struct loom_fetch_outcome *end)
{
	const char *code;

	if (end->result != LOOM_FETCH_COMPLETE)
		return LOOM_TARGET_FAILED;
	code = loom_fetch_header(call->fetch, HEADER_CODE);
	if (code == NULL)
		return LOOM_TARGET_OK;
	return g_ascii_strtoull(code, NULL, 10) == LOOM_BETTER_ELSEWHERE
	    ? LOOM_TARGET_HANDED_BACK
	    : LOOM_TARGET_REFUSED;
}

static void
leg_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct call *call = arg;
	const enum loom_target_result result = leg_result(call, end);
	const bool refused =
	    result == LOOM_TARGET_REFUSED || result == LOOM_TARGET_HANDED_BACK;
	struct loom_refusal refusal;
	uint64_t host_id;

	record_leg_result(call, result);
	if (result == LOOM_TARGET_OK) {
		call->target_id = 0;
		relay_answer_complete(call);
		call->fetch = NULL;
		return;
	}
	host_id = call->target_id;
	call->target_id = 0;
	call->fetch = NULL;
	if (call->streaming) {
		loom_counter_add(call->worker->daemon->counters.truncated, 1);
		loom_exchange_abort(call->exchange);
	} else if (refused && parse_refusal(call, &refusal)) {
		call->refusal_from_peer = true;
		if (refusal.code == LOOM_UPSTREAM_LEFT)
			loom_balance_note_draining(
			    service_balance(call), host_id, loom_now_us());
		target_refused(call, &refusal);
	} else {
		refuse_failed_leg(call, end);
	}
}

static const struct loom_fetch_ops leg_ops = {
	.read_body = relay_read_body,
	.headers = leg_headers,
	.data = relay_data,
	.done = leg_done,
};

/*
 * Tells the executor that the call has been sent to another host before.  The
 * number is that of the hosts whose upstream may have got it, this one
 * included: from 2 on the call counts as a repeat there (repeats.c).  A host
 * that has handed it back sent nothing to its upstream, so with 1 the call is
 * no repeat, but it is not handed back once more.
 */
static void
add_attempt(const struct call *call, struct header_list *list)
{
	char text[16];

	const uint32_t attempt = call->ntried - call->nnot_sent;

	if (attempt < 2 && !call->handed_back)
		return;
	g_snprintf(text, sizeof(text), "%u", attempt);
	header_list_add(list, HEADER_ATTEMPT, text);
}

bool
target_may_move(const struct call *call)
{
	return call->body_buffered && !call->handed_back &&
	    call->ntried < MIN(call->route->max_attempts, CALL_ATTEMPTS_MAX) &&
	    !call->routed_by_ticket && call_ticket_text(call) == NULL;
}

/*
 * Tells the executor that the call may be handed back, with the time in which
 * another host would finish it, or 0 if that is unknown.  It is of use where
 * the time is known, and where an upstream states a rate.
 */
static void
add_else(const struct call *call, double stated_rate, struct header_list *list)
{
	char text[24];

	if ((call->else_us == 0 && stated_rate == 0) || !target_may_move(call))
		return;
	g_snprintf(text, sizeof(text), "%" PRIx64, call->else_us);
	header_list_add(list, HEADER_ELSE, text);
}

static void
leg_start(struct call *call, const struct loom_host *host)
{
	const double stated_rate =
	    loom_balance_stated_rate(service_balance(call), host->id);
	char context[LOOM_CONTEXT_TEXT_MAX];
	struct header_list list;
	struct loom_fetch_request request = {
		.method = loom_exchange_method(call->exchange),
		.has_body = call->body_length != 0,
		.body_length = call->body_length,
		.expect_continue = !call->body_buffered,
		.ops = &leg_ops,
		.arg = call,
	};

	call->target_id = host->id;
	call->leg_us = loom_now_us();
	loom_balance_note_sent(service_balance(call), host->id, call->leg_us);
	loom_balance_note_sent_route(
	    service_balance(call), host->id, call->route->id);
	encode_peer_context(call, context);
	header_list_init(&list);
	headers_forward_request(call, &list);
	header_list_add(&list, HEADER_CONTEXT, context);
	if (headers_are_traced(call))
		headers_add_trace(call, &list);
	add_else(call, stated_rate, &list);
	if (stated_rate > 0)
		headers_add_rate(&list, stated_rate);
	if (call->routed_by_ticket)
		header_list_add(&list, HEADER_TICKET, call_ticket_text(call));
	if (call->team_name != NULL)
		header_list_add(&list, HEADER_TEAM, call->team_name);
	if (call->caller_service != NULL)
		header_list_add(
		    &list, HEADER_CALLER_SERVICE, call->caller_service);
	add_attempt(call, &list);
	request.address = host->peer;
	request.target = loom_exchange_target(call->exchange);
	request.source = call->worker->daemon->settings.source_address;
	request.headers = header_list_items(&list);
	request.nheaders = list.headers->len;
	request.timeout_us = call_remaining_us(call, call->leg_us);
	call->fetch = loom_fetch_start(call->worker->fetcher, &request);
	header_list_clear(&list);
	if (call->fetch == NULL)
		call_fail(call, LOOM_NO_MEMORY);
}

void
target_send_to(struct call *call, uint64_t host_id)
{
	const struct loom_host *host;
	struct loom_refusal refusal;

	if (call_is_too_late_in_drain(call, loom_now_us())) {
		call_refuse_code(call, LOOM_DRAINING, 0);
		return;
	}
	call->refusal_from_peer = false;
	call->answer_kind = LOOM_ANSWER_RAN;
	/* What the local ticket records say does not hold for other hosts:
	 * from here on they are no ground for a refusal to report NOT_RUN. */
	call->ticket_checked = false;
	loom_buffer_clear(&call->answer);
	loom_buffer_rewind(&call->body);
	if (call->ntried < CALL_ATTEMPTS_MAX)
		call->tried_host_ids[call->ntried++] = host_id;
	if (host_id == call->worker->daemon->self.host_id) {
		executor_start(call);
		return;
	}
	if (loom_balance_has_left(
		service_balance(call), host_id, loom_now_us())) {
		refusal = loom_refusal_for_code(LOOM_UPSTREAM_LEFT);
		target_refused(call, &refusal);
		return;
	}
	host = loom_hosts_find(call->worker->hosts, host_id);
	if (host == NULL)
		target_refused(call, target_no_host(&refusal));
	else
		leg_start(call, host);
}

/* The state of this host as a target, which no answer reports. */
static void
note_own_state(const struct call *call, struct loom_balance *balance)
{
	const struct loom_daemon *daemon = call->worker->daemon;
	const uint64_t host_id = daemon->self.host_id;
	const uint64_t now_us = loom_now_us();
	struct loom_work_report report;

	if (statements_is_leaving(daemon))
		loom_balance_note_left(balance, host_id, now_us);
	loom_balance_note_utilization(balance, host_id,
	    loom_admission_used(daemon->admission) / UTILIZATION_UNIT, now_us);
	loom_balance_note_start_bound(balance, host_id,
	    loom_admission_start_bound(daemon->admission, now_us), now_us);
	if (call->service->id == daemon->self.service_id &&
	    work_report(call, &report))
		loom_balance_note_work(
		    balance, host_id, call->route->id, &report, 0, now_us);
}

static uint64_t
pick_host(struct call *call)
{
	struct loom_balance *balance = service_balance(call);
	struct loom_balance_choice choice;

	if (balance == NULL)
		return 0;
	probe_start_if_due(call->worker, balance);
	note_own_state(call, balance);
	loom_balance_pick_for(balance, call->route->id, call->tried_host_ids,
	    call->ntried, loom_now_us(), &choice);
	if (choice.by_work)
		loom_counter_add(call->worker->daemon->counters.by_work, 1);
	call->else_us = choice.else_us;
	return choice.host_id;
}

void
target_start(struct call *call)
{
	const char *ticket = call_ticket_text(call);
	struct loom_refusal refusal;
	uint64_t host_id;

	loom_retry_note_first_attempt(
	    call->worker->daemon->retry, call->service->id, loom_now_us());
	if (ticket != NULL) {
		ticket_route_start(call, ticket);
		return;
	}
	host_id = pick_host(call);
	if (host_id == 0)
		call_refuse(call, target_no_host(&refusal));
	else
		target_send_to(call, host_id);
}

void
target_retry(struct call *call)
{
	uint64_t host_id = pick_host(call);

	if (host_id == 0)
		call_retry_refuse(call);
	else
		target_send_to(call, host_id);
}

/*
 * The peer rejected the context because it was made for an earlier incarnation
 * of the peer or from an old reading of its clock.  Its answer carries the
 * current values (Loom-Clock), and nothing was executed, so the call is sent
 * again to the same host with a new context.  This is done once per host: a
 * ticket that was handed over may reach two daemons that were both restarted.
 */
static bool
resend_with_new_context(struct call *call, const struct loom_refusal *refusal)
{
	uint64_t host_id;

	if (refusal->code != LOOM_CONTEXT_STALE || call->ntried == 0)
		return false;
	host_id = call->tried_host_ids[call->ntried - 1];
	if (host_id == call->stale_resent_host_id)
		return false;
	call->stale_resent_host_id = host_id;
	call->ntried--;
	target_send_to(call, host_id);
	return true;
}

/*
 * The peer's upstream is busy and another host is expected to finish the call
 * sooner.  Nothing was sent to an upstream, so this is no retry and needs no
 * grant.  If there is no other host, or the route allows one only, the call
 * goes to the same host again and waits there.
 */
static bool
send_to_better_host(struct call *call, const struct loom_refusal *refusal)
{
	uint64_t host_id = 0;

	if (refusal->code != LOOM_BETTER_ELSEWHERE || call->handed_back ||
	    !call->body_buffered || call->routed_by_ticket || call->ntried == 0)
		return false;
	call->handed_back = true;
	loom_counter_add(call->worker->daemon->counters.handed_on, 1);
	if (call->ntried < MIN(call->route->max_attempts, CALL_ATTEMPTS_MAX))
		host_id = pick_host(call);
	if (host_id != 0)
		call->nnot_sent++;
	else
		host_id = call->tried_host_ids[--call->ntried];
	target_send_to(call, host_id);
	return true;
}

void
target_refused(struct call *call, const struct loom_refusal *refusal)
{
	struct loom_refusal lost = loom_refusal_for_code(LOOM_TICKET_LOST);

	if (resend_with_new_context(call, refusal))
		return;
	if (send_to_better_host(call, refusal))
		return;
	if (call->routed_by_ticket && ticket_route_try_next(call, refusal))
		return;
	if (call->routed_by_ticket && ticket_route_is_unresolved(refusal))
		refusal = &lost;
	if (!call_retry_request(call, refusal))
		call_retry_refuse(call);
}
