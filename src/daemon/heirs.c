/*
 * Finding the place that can run a ticket.
 *
 * A ticket goes to the executor that it names and nowhere else.  When that
 * host has left it has handed its book to one heir: it names the heir as long
 * as it answers, and after that the service's hosts are asked in the order in
 * which a leaver ranks its heirs.
 */

#include <string.h>

#include "daemon/headers.h"
#include "daemon/heirs.h"

/*
 * A host that was replaced in place has never heard of its forerunner's heir
 * until that one answers its question.  Its callers were told that the ticket
 * is lost while the heir held their answer; so the heirs are asked here as
 * they are when nobody is back at all.  At most CALL_TRIES_MAX hosts look a
 * ticket up that is lost indeed, before they admit anything.
 */
bool
heirs_lost(const struct loom_refusal *refusal)
{
	return refusal->code == LOOM_TICKET_LOST ||
	    refusal->code == LOOM_TICKET_MOVED ||
	    refusal->code == LOOM_PEER_CONNECT ||
	    refusal->code == LOOM_NO_TARGET;
}

/* Whether the call was at the host before. */
static bool
was_tried(const struct call *call, uint64_t host_id)
{
	uint32_t i;

	for (i = 0; i < call->ntried; i++) {
		if (call->tried[i] == host_id)
			return true;
	}
	return false;
}

/* The executor itself has named its heir. */
static bool
try_named_heir(struct call *call, const struct loom_refusal *refusal)
{
	uint64_t heir = refusal->heir_host_id;

	if (heir == 0 || call->ntried >= CALL_TRIES_MAX ||
	    was_tried(call, heir) ||
	    loom_hosts_find(call->worker->hosts, heir) == NULL)
		return false;
	target_go_to(call, heir);
	return true;
}

static void
on_moving_over(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct call *call = arg;

	(void)ev;
	(void)timer;
	(void)now;
	call->moving_timer = NULL;
	target_go_to(call, call->tried[--call->ntried]);
}

/*
 * The tickets are on their way from one host to another: nobody runs any of
 * them meanwhile, and asking again is always safe.
 */
static bool
wait_for_move(struct call *call, const struct loom_refusal *refusal)
{
	if (refusal->code != LOOM_TICKET_MOVING || call->ntried == 0 ||
	    !loom_ticket_may_wait(
		call->moving_asks, call_remaining_us(call, loom_now_us())))
		return false;
	call->moving_asks++;
	call->moving_timer = tevent_add_timer(call->worker->ev, call,
	    tevent_timeval_current_ofs(0, LOOM_TICKET_MOVING_ASK_US),
	    on_moving_over, call);
	return call->moving_timer != NULL;
}

/*
 * The next place that may hold the ticket's book: the executor's heirs in
 * their order.  Only the true heir can run it, all others say so.
 */
static bool
try_heir(struct call *call)
{
	uint64_t heirs[CALL_TRIES_MAX];
	uint32_t i;
	size_t n;

	n = loom_ticket_heirs(call->worker->hosts, call->service->id,
	    call->ticket.host_id, heirs, CALL_TRIES_MAX);
	for (i = 0; i < n && call->ntried < CALL_TRIES_MAX; i++) {
		if (!was_tried(call, heirs[i])) {
			target_go_to(call, heirs[i]);
			return true;
		}
	}
	return false;
}

bool
heirs_try(struct call *call, const struct loom_refusal *refusal)
{
	if (wait_for_move(call, refusal))
		return true;
	return heirs_lost(refusal) &&
	    (try_named_heir(call, refusal) || try_heir(call));
}

void
heirs_start(struct call *call, const char *text)
{
	struct loom_refusal refusal;

	if (loom_ticket_parse(text, strlen(text), &call->ticket) != LOOM_OK) {
		call_refuse_code(call, LOOM_TICKET_INVALID, 0);
		return;
	}
	call->ticketed = true;
	if (loom_hosts_find(call->worker->hosts, call->ticket.host_id) != NULL)
		target_go_to(call, call->ticket.host_id);
	else
		target_refused(call, target_none(&refusal));
}
