#ifndef LOOM_DAEMON_HEIRS_H
#define LOOM_DAEMON_HEIRS_H

/*
 * Where a request with a ticket goes.
 */

#include "daemon/call.h"

/* Go to the executor that the ticket's text names. */
void heirs_start(struct call *, const char *text);

/* True when the refusal is dealt with: the call waits for a hand-over, or
 * went to an heir. */
bool heirs_try(struct call *, const struct loom_refusal *);

/* Whether the refusal leaves the executor still to be found: it took no
 * connection, or has handed its tickets over. */
bool heirs_lost(const struct loom_refusal *);

#endif
