#ifndef LOOM_DAEMON_TICKET_ROUTE_H
#define LOOM_DAEMON_TICKET_ROUTE_H

/*
 * Selects the hosts to which a request with a ticket is sent.
 */

#include "daemon/call.h"

/* Sends the call to the executor named in the ticket's text. */
void ticket_route_start(struct call *, const char *text);

/* Returns true if the call waits for a handover of tickets or was sent to a
 * successor of the executor, so that the refusal is not passed on. */
bool ticket_route_try_next(struct call *, const struct loom_refusal *);

/* Whether the refusal leaves open which host has the ticket: the executor
 * is unreachable, has lost its records or has handed them over. */
bool ticket_route_is_unresolved(const struct loom_refusal *);

#endif
