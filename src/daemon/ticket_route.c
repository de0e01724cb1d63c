/*
 * Finds the host that can run a request with a ticket.
 *
 * Such a request is sent to the executor named in the ticket and to no other
 * host.  An executor that is drained hands its ticket records over to one
 * successor.  It names the successor while it still answers; after that, the
 * hosts of the service are asked in the order in which a draining host ranks
 * its successors.
 */

#include <string.h>

#include "daemon/headers.h"
#include "daemon/ticket_route.h"
#include "loom/timer.h"

/*
 * LOOM_TICKET_LOST is included because a host that was replaced under the same
 * address does not know the successor of its predecessor until that successor
 * replies to its query.  Without it, callers were told that a ticket was lost
 * while the successor had the answer.  So the successors are asked as if the
 * host were unreachable.  A ticket that is really lost costs a lookup on at
 * most CALL_ATTEMPTS_MAX hosts, before admission.
 */
bool
ticket_route_is_unresolved(const struct loom_refusal *refusal)
{
	return refusal->code == LOOM_TICKET_LOST ||
	    refusal->code == LOOM_TICKET_MOVED ||
	    refusal->code == LOOM_PEER_CONNECT ||
	    refusal->code == LOOM_NO_TARGET;
}

static bool
was_tried(const struct call *call, uint64_t host_id)
{
	uint32_t i;

	for (i = 0; i < call->ntried; i++) {
		if (call->tried_host_ids[i] == host_id)
			return true;
	}
	return false;
}

/* Sends the call to the successor that the executor named. */
static bool
try_named_successor(struct call *call, const struct loom_refusal *refusal)
{
	uint64_t successor = refusal->successor_host_id;

	if (successor == 0 || call->ntried >= CALL_ATTEMPTS_MAX ||
	    was_tried(call, successor) ||
	    loom_hosts_find(call->worker->hosts, successor) == NULL)
		return false;
	target_send_to(call, successor);
	return true;
}

static void
on_handover_timer(void *arg)
{
	struct call *call = arg;

	call->handover_timer = NULL;
	target_send_to(call, call->tried_host_ids[--call->ntried]);
}

/*
 * Waits while the tickets are handed over to another host.  No host runs any
 * of them during that time, so asking again is always safe.
 */
static bool
wait_for_handover(struct call *call, const struct loom_refusal *refusal)
{
	if (refusal->code != LOOM_TICKET_MOVING || call->ntried == 0 ||
	    !loom_ticket_may_poll(
		call->handover_retries, call_remaining_us(call, loom_now_us())))
		return false;
	call->handover_retries++;
	call->handover_timer = loom_timer_add(call->worker->timers, call,
	    LOOM_TICKET_MOVING_POLL_US, on_handover_timer, call);
	return call->handover_timer != NULL;
}

/*
 * Sends the call to the next possible successor of the executor, in rank
 * order.  Only the actual successor can run the ticket; all others refuse it.
 */
static bool
try_successors(struct call *call)
{
	uint64_t successors[CALL_ATTEMPTS_MAX];
	uint32_t i;
	size_t n;

	n = loom_ticket_successors(call->worker->hosts, call->service->id,
	    call->ticket.host_id, successors, CALL_ATTEMPTS_MAX);
	for (i = 0; i < n && call->ntried < CALL_ATTEMPTS_MAX; i++) {
		if (!was_tried(call, successors[i])) {
			target_send_to(call, successors[i]);
			return true;
		}
	}
	return false;
}

bool
ticket_route_try_next(struct call *call, const struct loom_refusal *refusal)
{
	if (wait_for_handover(call, refusal))
		return true;
	return ticket_route_is_unresolved(refusal) &&
	    (try_named_successor(call, refusal) || try_successors(call));
}

void
ticket_route_start(struct call *call, const char *text)
{
	struct loom_refusal refusal;

	if (loom_ticket_parse(text, strlen(text), &call->ticket) != LOOM_OK) {
		call_refuse_code(call, LOOM_TICKET_INVALID, 0);
		return;
	}
	call->routed_by_ticket = true;
	if (loom_hosts_find(call->worker->hosts, call->ticket.host_id) != NULL)
		target_send_to(call, call->ticket.host_id);
	else
		target_refused(call, target_no_host(&refusal));
}
