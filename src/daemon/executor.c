/*
 * The third stage: admission to the own upstream and the leg to it.
 */

#include <string.h>

#include "daemon/auth.h"
#include "daemon/headers.h"

/* Calls are told apart by route for the measurement of their latency. */
static uint8_t
call_class(const struct call *call)
{
	return (uint8_t)((size_t)(call->route - call->manifest->routes) %
	    LOOM_CALL_CLASSES);
}

static uint32_t
team_weight(const struct call *call)
{
	const struct loom_team *team;

	team = loom_manifest_team(call->manifest, call->context.team_id);
	return team == NULL || team->rate_per_s < 1
	    ? 1
	    : (uint32_t)team->rate_per_s;
}

/* The call is refused here: a peer is told, an own entry may go elsewhere. */
static void
refuse(struct call *call, const struct loom_refusal *refusal)
{
	if (call->origin == CALL_ORIGIN_PEER)
		call_refuse(call, refusal);
	else
		target_refused(call, refusal);
}

static void
refuse_code(struct call *call, enum loom_result code, uint64_t retry_after_us)
{
	struct loom_refusal refusal = loom_refusal_of(code);

	refusal.retry_after_ms = (uint32_t)(retry_after_us / LOOM_US_PER_MS);
	refuse(call, &refusal);
}

static void
end_live(struct call *call)
{
	if (!call->live)
		return;
	call->live = false;
	loom_calls_end(call->worker->daemon->calls, &call->live_id);
}

static void
done_inside(struct call *call, enum loom_call_end end)
{
	struct loom_call_result result = { .end = end };
	uint64_t now_us = loom_now_us();
	struct loom_moved moved;

	result.latency_us = now_us - call->leg_us;
	call->admission = CALL_ADMISSION_NONE;
	loom_moved_init(&moved);
	loom_admission_done(call->worker->daemon->admission, &call->waiting,
	    &result, now_us, &moved);
	executor_moved(&moved);
}

/*
 * A call that is in the queue may be on a list that another thread acts on
 * just now; its memory then stays until that thread's post arrives.
 */
void
executor_leave(struct call *call, enum loom_call_end end)
{
	end_live(call);
	if (call->admission == CALL_ADMISSION_INSIDE) {
		done_inside(call, end);
	} else if (call->admission == CALL_ADMISSION_QUEUED) {
		call->admission = CALL_ADMISSION_NONE;
		if (loom_admission_cancel(
			call->worker->daemon->admission, &call->waiting))
			call_drop(call);
	}
}

static enum loom_call_end
end_of(const struct call *call)
{
	uint16_t status = loom_fetch_status(call->fetch);

	return status == 503 || status == 429 ? LOOM_CALL_OVERLOAD
					      : LOOM_CALL_OK;
}

static void
upstream_failed(struct call *call, const struct loom_fetch_end *end)
{
	struct loom_failure_facts facts = {
		.leg = LOOM_LEG_UPSTREAM,
		.failure = LOOM_FAILURE_CUT,
		.sent = end->sent,
		.repeatable = call->route->repeatable,
	};
	struct loom_failure_verdict verdict;
	struct loom_refusal refusal;

	if (end->result == LOOM_FETCH_CONNECT)
		facts.failure = LOOM_FAILURE_CONNECT;
	else if (end->result == LOOM_FETCH_TIMEOUT)
		facts.failure = LOOM_FAILURE_DEADLINE;
	else if (end->answered)
		facts.failure = LOOM_FAILURE_ANSWER_CUT;
	verdict = loom_failure_decide(&facts);
	refusal = loom_refusal_of(verdict.code);
	refusal.outcome = verdict.outcome;
	refusal.final = verdict.final;
	g_strlcpy(refusal.detail, end->reason, sizeof(refusal.detail));
	refuse(call, &refusal);
}

static void
upstream_headers(void *arg, struct loom_fetch *fetch)
{
	(void)arg;
	(void)fetch;
}

static void
upstream_done(void *arg, const struct loom_fetch_end *end)
{
	struct call *call = arg;

	call->span.leg_us += loom_now_us() - call->leg_us;
	if (end->result == LOOM_FETCH_WHOLE) {
		executor_leave(call, end_of(call));
		relay_answer_whole(call);
		call->fetch = NULL;
		return;
	}
	call->fetch = NULL;
	executor_leave(call, LOOM_CALL_FAILED);
	if (call->streaming) {
		loom_counter_add(call->worker->daemon->counters.cut, 1);
		loom_exchange_abort(call->x);
	} else {
		upstream_failed(call, end);
	}
}

static const struct loom_fetch_ops upstream_ops = {
	.read_body = relay_read_body,
	.headers = upstream_headers,
	.data = relay_data,
	.done = upstream_done,
};

/* The context that the upstream hands back with its deeper calls. */
static void
upstream_context(
    struct call *call, uint64_t now_us, char text[LOOM_CONTEXT_TEXT_MAX])
{
	const struct loom_daemon *daemon = call->worker->daemon;
	struct loom_live_call live = {
		.context = call->context,
		.deadline_us = call->deadline_us,
		.owner = call,
	};
	struct loom_context *context = &live.context;

	context->kind = LOOM_CONTEXT_UPSTREAM;
	randombytes_buf(call->live_id.bytes, sizeof(call->live_id.bytes));
	context->call = call->live_id;
	if (call->origin != CALL_ORIGIN_PEER)
		context->hops++;
	context->remaining_us = call_remaining_us(call, now_us);
	context->audience_host_id = daemon->self.host_id;
	context->audience_incarnation = daemon->self.incarnation;
	context->audience_stamp_us = now_us;
	context->issuer_host_id = daemon->self.host_id;
	context->issuer_incarnation = daemon->self.incarnation;
	loom_calls_begin(daemon->calls, &live);
	call->live = true;
	loom_context_encode(
	    context, &daemon->context_key, text, LOOM_CONTEXT_TEXT_MAX);
}

static void
add_upstream_headers(struct call *call, struct header_list *list)
{
	char context[LOOM_CONTEXT_TEXT_MAX];
	char traceparent[SPAN_TRACEPARENT_SIZE];
	char text[2 * sizeof(call->context.root.bytes) + 1];
	const struct loom_team *team;

	headers_forward_request(call, list);
	upstream_context(call, call->leg_us, context);
	header_list_add(list, HEADER_CONTEXT, context);
	span_traceparent(&call->span, traceparent);
	header_list_add(list, HEADER_TRACEPARENT, traceparent);
	sodium_bin2hex(text, sizeof(text), call->context.root.bytes,
	    sizeof(call->context.root.bytes));
	header_list_add(list, HEADER_REQUEST_ID, text);
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT,
	    call_remaining_us(call, call->leg_us) / LOOM_US_PER_MS);
	header_list_add(list, HEADER_DEADLINE_MS, text);
	team = loom_manifest_team(call->manifest, call->context.team_id);
	if (team != NULL)
		header_list_add(list, HEADER_TEAM, team->name);
}

/*
 * The key is looked up once more, in the newest manifest, after the call
 * stands among the live ones: a withdrawal either finds it there and cuts it,
 * or is seen here.
 */
static bool
still_granted(const struct call *call)
{
	return auth_key_granted(call->worker->manifest, &call->context);
}

static void
send_upstream(struct call *call)
{
	struct loom_fetch_request request = {
		.method = loom_exchange_method(call->x),
		.has_body = call->body_length != 0,
		.body_length = call->body_length,
		.ops = &upstream_ops,
		.arg = call,
	};
	struct header_list list;
	char *url;

	call->leg_us = loom_now_us();
	call->span.queue_us += call->leg_us - call->waiting.arrived_us;
	header_list_init(&list);
	add_upstream_headers(call, &list);
	url = g_strconcat("http://", call->worker->daemon->settings.upstream,
	    loom_exchange_target(call->x), NULL);
	request.url = url;
	request.headers = header_list_items(&list);
	request.nheaders = list.headers->len;
	request.timeout_us = call_remaining_us(call, call->leg_us);
	if (!still_granted(call)) {
		executor_leave(call, LOOM_CALL_FAILED);
		refuse_code(call, LOOM_KEY_WITHDRAWN, 0);
	} else {
		call->fetch = loom_fetch_start(call->worker->fetcher, &request);
		if (call->fetch == NULL)
			call_fail_code(call, LOOM_NO_MEMORY);
		else
			loom_counter_add(
			    call->worker->daemon->counters.executed, 1);
	}
	g_free(url);
	header_list_clear(&list);
}

/* Admitted: the call holds a place inside from here until it leaves. */
static void
go(struct call *call)
{
	call->admission = CALL_ADMISSION_INSIDE;
	if (call_remaining_us(call, loom_now_us()) == 0) {
		executor_leave(call, LOOM_CALL_FAILED);
		refuse_code(call, LOOM_LATE, 0);
		return;
	}
	send_upstream(call);
}

void
executor_start(struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;
	struct loom_waiting *waiting = &call->waiting;
	uint64_t now_us = loom_now_us();
	struct loom_moved moved;
	enum loom_admit admit;

	*waiting = (struct loom_waiting){
		.team_id = call->context.team_id,
		.team_weight = team_weight(call),
		.importance = call->context.importance,
		.call_class = call_class(call),
		.deadline_us = call->deadline_us,
		.arg = call,
	};
	call->offered = true;
	loom_moved_init(&moved);
	call_hold(call);
	call->admission = CALL_ADMISSION_QUEUED;
	admit =
	    loom_admission_offer(daemon->admission, waiting, now_us, &moved);
	executor_moved(&moved);
	if (admit == LOOM_QUEUED)
		return;
	call->admission = CALL_ADMISSION_NONE;
	if (admit == LOOM_ADMITTED) {
		waiting->arrived_us = now_us;
		go(call);
	} else {
		refuse_code(call, waiting->code, waiting->retry_after_us);
	}
	call_drop(call);
}

/* A call that waited has its verdict; on its own worker's thread. */
static void
moved_go(void *arg)
{
	struct call *call = arg;

	if (call->over || call->admission != CALL_ADMISSION_QUEUED) {
		call->admission = CALL_ADMISSION_INSIDE;
		call->leg_us = loom_now_us();
		done_inside(call, LOOM_CALL_FAILED);
	} else {
		go(call);
	}
	call_drop(call);
}

static void
moved_refused(void *arg)
{
	struct call *call = arg;
	bool waiting = call->admission == CALL_ADMISSION_QUEUED;

	call->admission = CALL_ADMISSION_NONE;
	if (!call->over && waiting)
		refuse_code(
		    call, call->waiting.code, call->waiting.retry_after_us);
	call_drop(call);
}

void
executor_moved(struct loom_moved *moved)
{
	struct loom_waiting *waiting, *next;
	struct call *call;

	for (waiting = moved->go; waiting != NULL; waiting = next) {
		next = waiting->next;
		call = waiting->arg;
		loom_mailbox_post(call->worker->mailbox, moved_go, call);
	}
	for (waiting = moved->refused; waiting != NULL; waiting = next) {
		next = waiting->next;
		call = waiting->arg;
		loom_mailbox_post(call->worker->mailbox, moved_refused, call);
	}
}
