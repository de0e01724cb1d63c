#ifndef LOOM_DAEMON_LOOP_DELAY_H
#define LOOM_DAEMON_LOOP_DELAY_H

/*
 * Measures the delay of an event loop: the time from when an event is ready
 * until the loop handles it.
 */

#include <stdatomic.h>
#include <stdint.h>

#include "loom/mailbox.h"

struct loop_delay {
	atomic_uint_fast64_t posted_us; /* of the pending probe; 0: none */
	atomic_uint_fast64_t last_delay_us; /* of the last completed probe */
};

/*
 * Posts a probe to the loop's mailbox unless one is pending. Always to be
 * called by the same thread, which may be any.
 */
void loop_delay_probe(
    struct loop_delay *, struct loom_mailbox *, uint64_t now_us);

/*
 * Returns the delay of the last completed probe, or the age of the pending one
 * if that is greater.
 */
uint64_t loop_delay_read(struct loop_delay *, uint64_t now_us);

#endif
