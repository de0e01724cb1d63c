#ifndef LOOM_DAEMON_SHED_THRESHOLDS_H
#define LOOM_DAEMON_SHED_THRESHOLDS_H

/*
 * Shedding thresholds that answers between daemons carry: the header
 * "Loom-Cut" lists SERVICE:THRESHOLD pairs in hexadecimal, separated by
 * commas.
 */

#include "daemon/call.h"

/*
 * Returns the header's value for the answer to a call: the threshold of this
 * service and the known ones of the services that the call's route leads to.
 * Owned by the caller, g_free; NULL if nothing is shed.
 */
char *shed_thresholds_format(const struct call *);

/* Records the thresholds from an answer's header, up to the first malformed
 * pair. */
void shed_thresholds_learn(struct worker *, uint64_t team_id, const char *text);

/* Returns the call's rank for shedding, which is the same at each hop of
 * its root request. */
uint16_t call_shed_rank(const struct call *);

/* Returns LOOM_OVERLOAD if a service that the call's route leads to would
 * shed it, otherwise LOOM_OK. */
enum loom_result shed_thresholds_check(
    const struct call *, uint64_t now_us, uint64_t *retry_after_us);

#endif
