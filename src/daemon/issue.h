#ifndef LOOM_DAEMON_ISSUE_H
#define LOOM_DAEMON_ISSUE_H

/*
 * Taking tickets: the page "/.loom/tickets?route=NAME&count=N", and how many
 * a team may take.
 */

#include "daemon/call.h"

/* Whether the request is for that page. */
bool issue_is_page(const struct loom_exchange *);

/*
 * Read the page's query: sets the call's route and count.  LOOM_OK,
 * LOOM_ROUTE_UNKNOWN or LOOM_BAD_REQUEST.
 */
enum loom_result issue_read(struct call *);

/* May the team take count tickets here now?  LOOM_OK, or LOOM_TEAM_RATE with
 * when to come back. */
enum loom_result issue_allowed(
    struct call *, uint32_t count, uint64_t now_us, uint64_t *retry_after_us);

/* At the executor: issue and answer {"tickets":[...]}. */
void issue_answer(struct call *);

#endif
