#ifndef LOOM_DECIDE_OWN_UPSTREAM_H
#define LOOM_DECIDE_OWN_UPSTREAM_H

/*
 * Whether the upstream beside a daemon may still be sent calls, by the list of
 * hosts.
 *
 * A call can wait for seconds in the daemon of its executor, for its body or in
 * the queue.  Meanwhile the upstream may have said that it leaves, or have
 * ended, and another service's upstream may have its address.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/hosts.h"

/*
 * For so long after the upstream has left the list its calls are still sent:
 * other daemons hear of the change a little later, and a refusal costs each of
 * their calls another attempt.
 */
#define OWN_UPSTREAM_GRACE_US (500 * LOOM_US_PER_MS)

/* Zero-initialized before the first list of hosts. */
struct own_upstream {
	char instance[LOOM_NAME_MAX + 1]; /* last listed; "" before the first */
	bool has_left; /* leaving, evacuated, or not in the list */
	uint64_t left_us; /* since when, if has_left */
};

/* Takes in a list; host is the daemon's own entry, or NULL. */
void own_upstream_update(
    struct own_upstream *, const struct loom_host *host, uint64_t now_us);

bool own_upstream_accepts(const struct own_upstream *, uint64_t now_us);

#endif
