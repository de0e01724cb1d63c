#ifndef LOOM_DAEMON_THROTTLE_H
#define LOOM_DAEMON_THROTTLE_H

/*
 * Admitted shares of overloaded services that answers between daemons carry:
 * the header "Loom-Keep" lists SERVICE:SHARE:CALLS in hexadecimal, separated
 * by commas.  SHARE is in thousandths.  CALLS is the number of calls to that
 * service per request of the answered call's route, also in thousandths.
 *
 * For the service that answers, CALLS is 0 unless the executor knows the work
 * of its calls (daemon/work.h).  Then it is the slot time of the answered route
 * relative to the mean of all calls there, and the header lists every service
 * that the route's requests reach.  Such a complete list is sent while the
 * executor's own share is below 1, and else with one answer in eight: costs
 * have to be known when an overload begins.
 */

#include "daemon/call.h"

/*
 * The id under which an executor lists the share of chains of calls
 * (loom_admission_chain_share()).  Its entry is an ordinary one for the daemons
 * above.  Only an entry whose request is itself a call to the service leaves it
 * out.
 */
uint64_t throttle_chain_id(uint64_t service_id);

/* Returns the header's value, with the services whose share is below 1 or, in a
 * complete list, with all.  Owned by the caller, g_free; NULL if there is none.
 */
char *throttle_format(const struct call *);

/* Records the shares and costs from the answer to a call, up to the first
 * malformed entry. */
void throttle_learn(const struct call *, const char *text);

/* Counts the start or end of the call's run at the local upstream. */
void throttle_count_run(const struct call *, bool begins);
/* Counts a nested call that the local upstream sent without a context. */
void throttle_count_nested(const struct call *);

/*
 * Returns false if the root request must be refused: its service, or one that
 * its nested calls reach, admits only a share of its requests and this one is
 * not among them.
 */
bool throttle_check(struct call *, uint64_t now_us);

#endif
