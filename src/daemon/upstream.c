/*
 * The leg to the own upstream: from a place inside admission to the answer.
 *
 * The last things before a byte is sent, in this order: the body's first
 * bytes are there (they are part of the fingerprint), the quarantine lets the
 * request run, the call stands among the live ones, and its key is still
 * granted.
 */

#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/auth.h"
#include "daemon/headers.h"
#include "daemon/ticketed.h"
#include "daemon/witness.h"
#include "loom/log.h"

/* How soon a call that the quarantine holds asks again.  Only suspects wait
 * so, one at a time; a finer step would gain them nothing. */
#define HOLD_RETRY_US 5000

/* By then the gate for a suspect has closed (src/decide/suspects.c). */
#define HOLD_RETRY_AFTER_US (1 * LOOM_US_PER_S)

/* The upstream is on this host: the kernel knows at once. */
#define GONE_WAIT_MS 5

/* A process that ends closes its connections one after another: the witnesses
 * may outlive the broken call by as much as this. */
#define VERDICT_US 5000

/*
 * An answer of failure says nothing about how long the upstream's work takes:
 * one whose deeper call was refused fails in a third of the time.  Taken
 * for a measurement it lowers the floor, all that works again after it looks
 * slow, and the limit fell from 104 to 4 of 225 and stayed there for ten
 * seconds after a deep service's fault.
 */
static enum loom_call_end
end_of(const struct call *call)
{
	uint16_t status = loom_fetch_status(call->fetch);

	if (status == 503 || status == 429)
		return LOOM_CALL_OVERLOAD;
	return status >= 500 ? LOOM_CALL_FAILED : LOOM_CALL_OK;
}

static void
leave_quarantine(struct call *call, enum loom_quarantine_end end)
{
	if (call->quarantine == NULL)
		return;
	loom_quarantine_leave(call->worker->daemon->quarantine,
	    call->quarantine, end, loom_now_us());
	call->quarantine = NULL;
}

void
upstream_leave(struct call *call)
{
	bool sent = call->broke ||
	    (call->fetch != NULL && loom_fetch_sent(call->fetch));

	leave_quarantine(
	    call, sent ? LOOM_QUARANTINE_BROKEN : LOOM_QUARANTINE_NOT_SENT);
	TALLOC_FREE(call->hold_timer);
	if (!call->live)
		return;
	call->live = false;
	call->deeper_us = loom_calls_deeper_us(
	    call->worker->daemon->calls, &call->live_id, loom_now_us());
	loom_calls_end(call->worker->daemon->calls, &call->live_id);
}

/* Some kernels answer a connect on this host only after the call returned:
 * its outcome is waited for, far longer than it takes. */
static bool
is_refused(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
	socklen_t size = sizeof(int);
	int cause = 0;

	return poll(&poll_fd, 1, GONE_WAIT_MS) > 0 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &cause, &size) == 0 &&
	    cause == ECONNREFUSED;
}

/*
 * A connection broke while a call ran.  When a new one is refused the
 * upstream is gone and not just done with one connection; one that is back
 * already has lost its witnesses.
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
		    (errno == EINPROGRESS && is_refused(fd));
	close(fd);
	return refused;
}

/* A call whose connection broke is told apart from one that got none: only
 * what ran can have brought the upstream down. */
static void
note_crash(struct call *call, bool sent)
{
	struct loom_daemon *daemon = call->worker->daemon;
	uint64_t now_us = loom_now_us();

	loom_log(LOOM_LOG_WARN, "upstream", LOOM_UPSTREAM_CUT,
	    "the upstream is gone while calls run");
	if (sent && call->quarantine != NULL)
		loom_quarantine_crashed(
		    daemon->quarantine, call->quarantine, now_us);
	else
		loom_quarantine_unreachable(
		    daemon->quarantine, call->quarantine, now_us);
	loom_admission_upstream_new(daemon->admission, now_us);
}

static void
failed(struct call *call, const struct loom_fetch_end *end, bool crashed)
{
	struct loom_failure_facts facts = {
		.leg = LOOM_LEG_UPSTREAM,
		.failure = LOOM_FAILURE_CUT,
		.sent = end->sent,
		.repeatable = call->route->repeatable,
		.ticketed = call->run != NULL,
	};
	struct loom_refusal refusal;

	if (end->result == LOOM_FETCH_CONNECT)
		facts.failure = LOOM_FAILURE_CONNECT;
	else if (end->result == LOOM_FETCH_TIMEOUT)
		facts.failure = LOOM_FAILURE_DEADLINE;
	else if (crashed)
		facts.failure = LOOM_FAILURE_CRASH;
	else if (end->answered)
		facts.failure = LOOM_FAILURE_ANSWER_CUT;
	refusal_of_failure(&facts, end->reason, &refusal);
	executor_refuse(call, &refusal);
}

static void
leg_whole(struct call *call)
{
	leave_quarantine(call, LOOM_QUARANTINE_ANSWERED);
	ticketed_ran(call);
	executor_leave(call, end_of(call));
	if (!call->over)
		relay_answer_whole(call);
	call->fetch = NULL;
}

/* The upstream turned the call away, and says that it did not run. */
static void
leg_turned_away(struct call *call)
{
	leave_quarantine(call, LOOM_QUARANTINE_ANSWERED);
	call->fetch = NULL;
	executor_leave(call, LOOM_CALL_OVERLOAD);
	executor_refuse_code(call, LOOM_UPSTREAM_SHED, 0);
}

static void
leg_broken(struct call *call, const struct loom_fetch_end *end, bool crashed)
{
	if (crashed)
		note_crash(call, end->sent);
	leave_quarantine(call,
	    end->sent ? LOOM_QUARANTINE_BROKEN : LOOM_QUARANTINE_NOT_SENT);
	call->fetch = NULL;
	executor_leave(call, LOOM_CALL_FAILED);
	if (!call->over && call->streaming) {
		ticketed_settle(call, LOOM_UPSTREAM_CUT, LOOM_OUTCOME_UNKNOWN);
		loom_counter_add(call->worker->daemon->counters.cut, 1);
		loom_exchange_abort(call->x);
	} else {
		failed(call, end, crashed);
	}
}

/* The leg is over, and with it a run that outlived its caller. */
static void
leg_over(struct call *call)
{
	if (call->detached) {
		call->detached = false;
		call_drop(call);
	}
	call_drop(call);
}

static void
on_verdict(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct call *call = arg;
	const struct loom_daemon *daemon = call->worker->daemon;
	uint64_t now_us = loom_now_us();
	bool crashed = witnesses_gone(daemon->witnesses, now_us);

	(void)ev;
	(void)timer;
	(void)now;
	call->hold_timer = NULL;
	call_hold(call);
	if (crashed)
		loom_quarantine_back_at_once(daemon->quarantine, now_us);
	leg_broken(call, &call->broken_end, crashed);
	call->broke = false;
	leg_over(call);
}

/*
 * The refusal waits for the verdict, since one that is not final would be
 * retried, and take the culprit to the next host.
 */
static bool
wait_for_verdict(struct call *call, const struct loom_fetch_end *end)
{
	call->hold_timer = tevent_add_timer(call->worker->ev, call,
	    tevent_timeval_current_ofs(0, VERDICT_US), on_verdict, call);
	if (call->hold_timer == NULL)
		return false;
	call->fetch = NULL;
	call->sent = true;
	call->broke = true;
	call->broken_end = *end;
	return true;
}

static void
leg_done(void *arg, const struct loom_fetch_end *end)
{
	struct call *call = arg;
	bool gone;

	call->span.leg_us += loom_now_us() - call->leg_us;
	call_hold(call);
	gone = end->result != LOOM_FETCH_WHOLE &&
	    end->result != LOOM_FETCH_TIMEOUT &&
	    refuses_connections(call->worker->daemon);
	if (end->result == LOOM_FETCH_WHOLE &&
	    call->answer_kind == LOOM_ANSWER_NOT_RUN) {
		leg_turned_away(call);
	} else if (end->result == LOOM_FETCH_WHOLE) {
		leg_whole(call);
	} else if (end->result == LOOM_FETCH_CUT && !gone &&
	    call->worker->daemon->witnesses != NULL &&
	    wait_for_verdict(call, end)) {
		call_drop(call);
		return;
	} else {
		leg_broken(call, end, gone);
	}
	leg_over(call);
}

/* The answer's kind is known before its first byte goes on. */
static void
leg_headers(void *arg, struct loom_fetch *fetch)
{
	struct call *call = arg;
	const struct loom_dialect *dialect = call->worker->daemon->dialect;

	if (call->x == NULL)
		return;
	call->answer_kind = dialect->judge(
	    fetch, loom_exchange_header(call->x, dialect->request_id_header));
	/* An answer too many came before, and this request's own may follow:
	 * on this connection no answer can be told from another any more. */
	if (call->answer_kind == LOOM_ANSWER_FOREIGN)
		loom_fetch_reject(fetch);
}

static const struct loom_fetch_ops leg_ops = {
	.read_body = relay_read_body,
	.headers = leg_headers,
	.data = relay_data,
	.done = leg_done,
};

/* The context that the upstream hands back with its deeper calls. */
static void
make_context(
    struct call *call, uint64_t now_us, char text[LOOM_CONTEXT_TEXT_MAX])
{
	const struct loom_daemon *daemon = call->worker->daemon;
	struct loom_live_call live = {
		.context = call->context,
		.deadline_us = call->deadline_us,
	};
	struct loom_context *context = &live.context;

	context->kind = LOOM_CONTEXT_UPSTREAM;
	loom_random_bytes(call->live_id.bytes, sizeof(call->live_id.bytes));
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
add_context(struct call *call, struct header_list *list)
{
	char context[LOOM_CONTEXT_TEXT_MAX];

	make_context(call, call->leg_us, context);
	header_list_add(list, HEADER_CONTEXT, context);
}

static void
add_header(void *arg, const char *name, const char *value)
{
	header_list_add(arg, name, value);
}

/* This start of the own upstream, as the platform lists it; "" if unknown. */
static const char *
own_instance(const struct worker *worker)
{
	const struct loom_host *host;

	if (worker->hosts == NULL)
		return "";
	host = loom_hosts_find(worker->hosts, worker->daemon->self.host_id);
	return host == NULL ||
		host->service_id != worker->daemon->self.service_id
	    ? ""
	    : host->instance;
}

static void
add_headers(struct call *call, struct header_list *list)
{
	char request_id[2 * sizeof(call->context.root.bytes) + 1];
	const bool passes_context =
	    call->worker->daemon->dialect->passes_context;
	const struct loom_team *team = call_team(call);
	const struct loom_upstream_facts facts = {
		.request_id = request_id,
		.remaining_us = call_remaining_us(call, call->leg_us),
		.team = team == NULL ? NULL : team->name,
		.instance = own_instance(call->worker),
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
 * The key is looked up once more, in the worker's newest manifest, right before
 * the first byte: a call may have waited here for long.  A withdrawal after it
 * finds the call on the worker's list and cuts it (calls_recheck_keys()).
 */
static bool
still_granted(const struct call *call)
{
	return auth_key_granted(call->worker->manifest, &call->context);
}

static void
send_request(struct call *call)
{
	struct loom_fetch_request request = {
		.method = loom_exchange_method(call->x),
		.has_body = call->body_length != 0,
		.body_length = call->body_length,
		.ops = &leg_ops,
		.arg = call,
	};
	struct header_list list;

	header_list_init(&list);
	add_headers(call, &list);
	request.address = call->worker->daemon->settings.upstream;
	request.target = loom_exchange_target(call->x);
	request.headers = header_list_items(&list);
	request.nheaders = list.headers->len;
	request.timeout_us = call_remaining_us(call, call->leg_us);
	request.idle_ms = call->worker->daemon->settings.upstream_idle_ms;
	call->answer_kind = LOOM_ANSWER_RAN;
	if (still_granted(call))
		call->fetch = loom_fetch_start(call->worker->fetcher, &request);
	header_list_clear(&list);
	if (call->fetch != NULL) {
		loom_counter_add(call->worker->daemon->counters.executed, 1);
		return;
	}
	executor_leave(call, LOOM_CALL_FAILED);
	executor_refuse_code(
	    call, still_granted(call) ? LOOM_NO_MEMORY : LOOM_KEY_WITHDRAWN, 0);
}

static void
fingerprint(const struct call *call, struct loom_fingerprint *print)
{
	uint64_t declared =
	    call->body_length < 0 ? 0 : (uint64_t)call->body_length;

	loom_fingerprint(print, call->context.team_id, call->route->id,
	    loom_exchange_target(call->x), declared,
	    loom_buffer_peek(&call->body),
	    MIN(loom_buffer_length(&call->body),
		(size_t)LOOM_FINGERPRINT_PREFIX_BYTES));
}

static void
on_hold_over(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct call *call = arg;

	(void)ev;
	(void)timer;
	(void)now;
	call->hold_timer = NULL;
	upstream_start(call);
}

/* The caller is told when it ends: it is known to the microsecond. */
static void
refuse_for_crashes(struct call *call, enum loom_result code,
    const struct loom_fingerprint *print, uint64_t now_us)
{
	uint64_t wait_us = loom_quarantine_wait_us(
	    call->worker->daemon->quarantine, print, now_us);

	executor_leave(call, LOOM_CALL_FAILED);
	executor_refuse_code(call, code, wait_us);
}

/*
 * A call that cannot end in time once it is let go has been given up on: it
 * would keep its slot until its deadline, and its caller from asking again.
 */
static void
hold(struct call *call, uint64_t now_us)
{
	if (loom_admission_fits(call->worker->daemon->admission, &call->waiting,
		now_us + HOLD_RETRY_US)) {
		call->hold_timer = tevent_add_timer(call->worker->ev, call,
		    tevent_timeval_current_ofs(0, HOLD_RETRY_US), on_hold_over,
		    call);
		return;
	}
	executor_leave(call, LOOM_CALL_FAILED);
	executor_refuse_code(call, LOOM_QUEUE_DEADLINE, HOLD_RETRY_AFTER_US);
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
		hold(call, now_us);
		break;
	case LOOM_QUARANTINE_LATER:
		refuse_for_crashes(call, LOOM_SUSPECT, &print, now_us);
		break;
	case LOOM_QUARANTINE_REFUSE:
		refuse_for_crashes(call, LOOM_QUARANTINED, &print, now_us);
		break;
	}
}

static bool
has_prefix(const struct call *call)
{
	return call->body_whole || call->body_ended ||
	    loom_buffer_length(&call->body) >= LOOM_FINGERPRINT_PREFIX_BYTES;
}

void
upstream_start(struct call *call)
{
	if (call_remaining_us(call, loom_now_us()) == 0) {
		executor_leave(call, LOOM_CALL_FAILED);
		executor_refuse_code(call, LOOM_LATE, 0);
	} else if (!has_prefix(call)) {
		call->wants_prefix = true;
		loom_exchange_take_body(call->x);
	} else {
		call->wants_prefix = false;
		enter_quarantine(call);
	}
}

void
upstream_body_came(struct call *call)
{
	if (call->wants_prefix && has_prefix(call))
		upstream_start(call);
}
