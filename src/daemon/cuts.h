#ifndef LOOM_DAEMON_CUTS_H
#define LOOM_DAEMON_CUTS_H

/*
 * Shedding thresholds on their way back: the header "Loom-Cut" of an answer
 * between daemons, "SERVICE:CUT" pairs with commas, both in hex.
 */

#include "daemon/call.h"

/* What to carry back for a call: the own service's threshold and those known
 * of the services below its route.  Owned by the caller, g_free; NULL when
 * nothing is shed. */
char *cuts_format(const struct call *);

/* Learn from an answer; pairs that are malformed are passed over. */
void cuts_learn(struct worker *, uint64_t team_id, const char *text);

/* The call's rank: the same at each hop of its root request. */
uint16_t cuts_rank(const struct call *);

/* LOOM_OK, or LOOM_OVERLOAD when a service below the call's route would shed
 * it. */
enum loom_result cuts_check(
    const struct call *, uint64_t now_us, uint64_t *retry_after_us);

#endif
