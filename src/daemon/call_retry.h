#ifndef LOOM_DAEMON_CALL_RETRY_H
#define LOOM_DAEMON_CALL_RETRY_H

/*
 * Retries a call on another host after a refusal or failure.
 */

#include "daemon/call.h"

/*
 * Asks the home of the root request for a retry.  Returns true if it was
 * asked: its reply then either retries or refuses the call.  Returns false if
 * no retry is possible; the refusal is stored for call_retry_refuse().
 */
bool call_retry_request(struct call *, const struct loom_refusal *);

/* Sends the refusal given to call_retry_request(), marked as final. */
void call_retry_refuse(struct call *);

/* Cancels the wait for the home's reply. */
void call_retry_cancel(struct call *);

#endif
