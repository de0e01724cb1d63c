#ifndef LOOM_DAEMON_LAG_H
#define LOOM_DAEMON_LAG_H

/*
 * How long a worker's event loop takes to come to an event that is ready.
 */

#include <stdatomic.h>
#include <stdint.h>

#include "loom/mailbox.h"

struct lag {
	atomic_uint_fast64_t asked_us; /* when the probe was posted; 0: none */
	atomic_uint_fast64_t took_us; /* the last one */
};

/* Post a probe, unless one is on its way.  Any one thread. */
void lag_probe(struct lag *, struct loom_mailbox *, uint64_t now_us);

/* Of the last probe, or of the one on its way when that is more. */
uint64_t lag_read(struct lag *, uint64_t now_us);

#endif
