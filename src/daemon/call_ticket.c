/*
 * Tickets at their executor.
 *
 * A run continues after its caller has disconnected: the caller may return
 * with the same ticket and then receives the answer.  A cancelled run would
 * leave the ticket with an unknown outcome.
 */

#include <string.h>

#include "daemon/call_ticket.h"
#include "daemon/headers.h"
#include "daemon/issue.h"

/* Refuses a request without a ticket; the refusal carries a new one. */
static void
refuse_with_ticket(struct call *call)
{
	struct loom_refusal refusal = loom_refusal_for_code(LOOM_TICKET_NEEDED);
	char texts[1][LOOM_TICKET_TEXT_MAX];
	enum loom_result result;

	result = loom_tickets_issue(call->worker->daemon->tickets,
	    call->context.team_id, call->route->id, 1, texts);
	if (result == LOOM_OK)
		g_strlcpy(refusal.ticket, texts[0], sizeof(refusal.ticket));
	else
		refusal = loom_refusal_for_code(result);
	executor_refuse(call, &refusal);
}

static void
add_stored_header(struct header_list *list, char *line)
{
	char *colon = strstr(line, ": ");

	if (colon == NULL)
		return;
	*colon = '\0';
	header_list_add(
	    list, g_string_chunk_insert(list->values, line), colon + 2);
}

/* Sends an answer that was stored with the ticket. */
static void
answer_from_stored(struct call *call, const struct loom_answer *answer)
{
	char *head = g_strndup(answer->head, answer->head_bytes);
	char **lines = g_strsplit(head, "\r\n", -1);
	struct header_list list;
	char **line;

	header_list_init(&list);
	for (line = lines; *line != NULL; line++)
		add_stored_header(&list, *line);
	headers_add_hop(call, &list);
	call->span.status = answer->status;
	loom_counter_add(call->worker->daemon->counters.answered, 1);
	loom_exchange_respond(call->exchange, answer->status,
	    header_list_items(&list), list.headers->len, answer->body,
	    answer->body_bytes);
	header_list_clear(&list);
	g_strfreev(lines);
	g_free(head);
}

static void
refuse_final(struct call *call, enum loom_result code,
    enum loom_outcome outcome, uint64_t heir_host_id)
{
	struct loom_refusal refusal = loom_refusal_for_code(code);

	refusal.outcome = outcome;
	refusal.successor_host_id = heir_host_id;
	refusal.final = true;
	executor_refuse(call, &refusal);
}

/* Runs on the call's worker after the run that the call waited for has
 * ended. */
static void
on_attached_run_end(void *arg)
{
	struct call *call = arg;

	call->attached = false;
	if (!call->exchange_ended) {
		if (call->attached_answer != NULL)
			answer_from_stored(call, call->attached_answer);
		else
			refuse_final(call, call->attached_code,
			    call->attached_outcome, 0);
	}
	loom_answer_release(call->attached_answer);
	call->attached_answer = NULL;
	call_unref(call);
}

/* Runs on the thread on which that run ended; posts to the call's worker. */
static void
on_run_end_any_thread(void *arg, enum loom_result code,
    enum loom_outcome outcome, struct loom_answer *answer)
{
	struct call *call = arg;

	call->attached_code = code;
	call->attached_outcome = outcome;
	if (answer != NULL)
		call->attached_answer = loom_answer_acquire(answer);
	loom_mailbox_post(call->worker->mailbox, on_attached_run_end, call);
}

void
call_ticket_detach(struct call *call)
{
	if (!call->attached)
		return;
	call->attached = false;
	if (loom_tickets_detach(call->worker->daemon->tickets, &call->ticket,
		&call->ticket_waiter))
		call_unref(call);
}

static void
look_up_ticket(struct call *call, struct loom_ticket_begin *lookup)
{
	struct loom_request_digest digest;
	bool has_body = call->body_buffered;

	loom_request_digest(&digest, loom_exchange_method(call->exchange),
	    loom_exchange_target(call->exchange),
	    call->body_length < 0 ? 0 : (uint64_t)call->body_length,
	    loom_buffer_peek(&call->body), loom_buffer_length(&call->body));
	digest.has_body = has_body;
	call->ticket_waiter = (struct loom_ticket_waiter){
		.done = on_run_end_any_thread,
		.arg = call,
	};
	call->ticket_checked = true;
	call_ref(call);
	call->attached = true;
	loom_tickets_begin(call->worker->daemon->tickets, &call->ticket,
	    call->context.team_id, call->route->id, &digest,
	    &call->ticket_waiter, lookup);
	if (lookup->verdict == LOOM_TICKET_VERDICT_ATTACHED)
		return;
	call->attached = false;
	call_unref(call);
}

bool
call_ticket_begin(struct call *call)
{
	const char *text = call_ticket_text(call);
	struct loom_ticket_begin lookup = { .run = NULL };

	if (call->issue_count > 0) {
		issue_answer(call);
		return false;
	}
	if (call->route->repeatable || !call->manifest->fleet.tickets)
		return true;
	if (text == NULL) {
		refuse_with_ticket(call);
		return false;
	}
	if (loom_ticket_parse(text, strlen(text), &call->ticket) != LOOM_OK) {
		executor_refuse_code(call, LOOM_TICKET_INVALID, 0);
		return false;
	}
	look_up_ticket(call, &lookup);
	switch (lookup.verdict) {
	case LOOM_TICKET_VERDICT_RUN:
		call->ticket_run = lookup.run;
		return true;
	case LOOM_TICKET_VERDICT_ATTACHED:
		break;
	case LOOM_TICKET_VERDICT_ANSWER:
		answer_from_stored(call, lookup.answer);
		loom_answer_release(lookup.answer);
		break;
	case LOOM_TICKET_VERDICT_REFUSED:
		refuse_final(call, lookup.code, lookup.outcome,
		    lookup.successor_host_id);
		break;
	}
	return false;
}

static struct loom_answer *
copy_answer(const struct call *call)
{
	GString *head = g_string_new(NULL);
	const struct loom_header *items;
	struct loom_answer *answer;
	struct header_list list;
	guint i;

	header_list_init(&list);
	headers_forward_answer(call->fetch, &list);
	items = header_list_items(&list);
	for (i = 0; i < list.headers->len; i++)
		g_string_append_printf(
		    head, "%s: %s\r\n", items[i].name, items[i].value);
	answer = loom_answer_new(loom_fetch_status(call->fetch), head->str,
	    head->len, loom_buffer_peek(&call->answer),
	    loom_buffer_length(&call->answer));
	header_list_clear(&list);
	g_string_free(head, TRUE);
	return answer;
}

void
call_ticket_store_answer(struct call *call)
{
	struct loom_answer *answer = NULL;

	if (call->ticket_run == NULL)
		return;
	if (!call->streaming && !call->answer_too_long)
		answer = copy_answer(call);
	loom_tickets_finish(call->worker->daemon->tickets, call->ticket_run,
	    LOOM_OUTCOME_RAN, LOOM_OK, answer);
	call->ticket_run = NULL;
	loom_answer_release(answer);
}

void
call_ticket_settle(
    struct call *call, enum loom_result code, enum loom_outcome outcome)
{
	struct loom_tickets *tickets = call->worker->daemon->tickets;
	struct loom_ticket_run *run = call->ticket_run;

	if (run == NULL)
		return;
	call->ticket_run = NULL;
	if (outcome == LOOM_OUTCOME_NOT_RUN)
		loom_tickets_abandon(tickets, run, code);
	else
		loom_tickets_finish(
		    tickets, run, LOOM_OUTCOME_UNKNOWN, code, NULL);
}
