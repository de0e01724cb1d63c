#ifndef LOOM_DAEMON_ISSUE_H
#define LOOM_DAEMON_ISSUE_H

/*
 * Issues tickets: the page "/.loom/tickets?route=NAME&count=N", and the limit
 * on the tickets of a team.
 */

#include "daemon/call.h"

bool issue_is_request(const struct loom_exchange *);

/*
 * Parses the page's query and sets the call's route and issue_count.  Returns
 * LOOM_OK, LOOM_ROUTE_UNKNOWN or LOOM_BAD_REQUEST.
 */
enum loom_result issue_parse(struct call *);

/*
 * Takes count tickets from the team's quota of this worker.  Returns LOOM_OK,
 * LOOM_KEY_WITHDRAWN if the team is unknown, or LOOM_TEAM_RATE and the time
 * after which to try again.
 */
enum loom_result issue_take_quota(
    struct call *, uint32_t count, uint64_t now_us, uint64_t *retry_after_us);

/* Issues the tickets at the executor and answers {"tickets":[...]}. */
void issue_answer(struct call *);

#endif
