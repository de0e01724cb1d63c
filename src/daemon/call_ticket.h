#ifndef LOOM_DAEMON_CALL_TICKET_H
#define LOOM_DAEMON_CALL_TICKET_H

/*
 * Handles tickets of non-idempotent routes, at their executor.
 */

#include "daemon/call.h"

/*
 * Called before admission at the executor.  Returns true if the call may
 * continue to admission: it needs no ticket, or its ticket may run now.
 * Otherwise the call has been answered, refused or attached to a run in
 * progress.
 */
bool call_ticket_begin(struct call *);

/* Stores the upstream's complete answer with the ticket. */
void call_ticket_store_answer(struct call *);

/* Records that the ticket's run ended in a refusal.  Does nothing if the
 * call has no run. */
void call_ticket_settle(
    struct call *, enum loom_result code, enum loom_outcome outcome);

/* Cancels the wait for a run that another request with the same ticket
 * started. */
void call_ticket_detach(struct call *);

#endif
