/*
 * Refusals: problem documents (RFC 9457) with a numeric code and exactly one
 * outcome.  They are sent immediately; Retry-After tells the caller when to
 * try again.
 */

#include <string.h>

#include "daemon/headers.h"
#include "daemon/rate.h"
#include "loom/retry_after.h"

static void
add_refusal_headers(const struct call *call, const struct loom_refusal *refusal,
    struct header_list *list)
{
	char number[16];

	header_list_add(list, "Content-Type", "application/problem+json");
	g_snprintf(number, sizeof(number), "%d", (int)refusal->code);
	header_list_add(list, HEADER_CODE, number);
	header_list_add(
	    list, HEADER_OUTCOME, loom_outcome_name(refusal->outcome));
	if (refusal->retry_after_ms > 0) {
		call->worker->daemon->dialect->retry_after(
		    refusal->retry_after_ms, number, sizeof(number));
		header_list_add(list, "Retry-After", number);
	}
	if (refusal->ticket[0] != '\0')
		header_list_add(list, HEADER_TICKET, refusal->ticket);
	headers_add_hop(call, list);
}

/*
 * Whether a valid ticket came with the request.  The caller may be repeating a
 * request that ran with this ticket, so a refusal that is made before the
 * ticket's executor was reached must not report not-run.  This includes
 * refusals made before the route is known, such as that of a peer which finds
 * the context stale.  Text that is not a valid ticket never identified a run.
 */
static bool
came_with_ticket(const struct call *call)
{
	const char *text = call_ticket_text(call);
	struct loom_ticket ticket;

	return text != NULL &&
	    loom_ticket_parse(text, strlen(text), &ticket) == LOOM_OK;
}

/* The deadline left no time at all, and would not on a retry either. */
static bool
came_without_time(const struct call *call)
{
	return call->route != NULL && call->deadline_us == call->arrived_us;
}

void
call_refuse(struct call *call, const struct loom_refusal *given)
{
	struct loom_refusal refusal = *given;
	struct header_list list;
	char *json;

	call->refused = true;
	if (call->may_have_run ||
	    (!call->refusal_from_peer && !call->ticket_checked &&
		came_with_ticket(call)))
		loom_refusal_hide_not_run(&refusal);
	/* The caller of an entry is no daemon that could retry. */
	if (call->origin != CALL_ORIGIN_PEER)
		refusal.final = true;
	if (refusal.retry_after_ms == 0 && !came_without_time(call))
		refusal.retry_after_ms =
		    loom_retry_after_ms(refusal.code, &loom_random_system);
	span_trace_id_text(&call->span, refusal.trace_id);
	call->span.code = refusal.code;
	call->span.outcome = refusal.outcome;
	if (refusal.outcome == LOOM_OUTCOME_NOT_RUN)
		rate_give_back(call);
	json = loom_refusal_json(&refusal);
	header_list_init(&list);
	add_refusal_headers(call, &refusal, &list);
	loom_exchange_respond(call->exchange,
	    call->worker->daemon->dialect->status(&refusal),
	    header_list_items(&list), list.headers->len, json, strlen(json));
	header_list_clear(&list);
	g_free(json);
}

void
refusal_of_failure(const struct loom_failure_facts *facts, const char *reason,
    struct loom_refusal *refusal)
{
	const struct loom_failure_verdict verdict = loom_failure_decide(facts);

	*refusal = loom_refusal_for_code(verdict.code);
	refusal->outcome = verdict.outcome;
	refusal->final = verdict.final && !verdict.retry_here;
	g_strlcpy(refusal->detail, reason, sizeof(refusal->detail));
}

struct loom_refusal
refusal_of_code(enum loom_result code, uint64_t retry_after_us)
{
	struct loom_refusal refusal = loom_refusal_for_code(code);

	refusal.retry_after_ms = loom_retry_after_from_us(retry_after_us);
	return refusal;
}

void
call_refuse_code(
    struct call *call, enum loom_result code, uint64_t retry_after_us)
{
	const struct loom_refusal refusal =
	    refusal_of_code(code, retry_after_us);

	call_refuse(call, &refusal);
}
