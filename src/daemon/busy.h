#ifndef LOOM_DAEMON_BUSY_H
#define LOOM_DAEMON_BUSY_H

/*
 * How busy a worker's event loop is, and that it leaves others some time.
 */

#include <stdatomic.h>
#include <stdint.h>
#include <tevent.h>

#include "loom/rest.h"

struct busy {
	atomic_uint_fast64_t waits_since_us; /* 0: it does not wait now */
	atomic_uint_fast64_t waited_us; /* in all, but for the running wait */
	struct loom_rest rest; /* the loop's own */
	/* the reader's own */
	uint64_t read_us;
	uint64_t read_waited_us;
};

/* Count the waits of this loop from now on; busy must outlive it. */
void busy_watch(struct busy *, struct tevent_context *, uint64_t now_us);

/* The part of the time since the last call that the loop did not wait, 0 to 1.
 * Any one thread. */
double busy_read(struct busy *, uint64_t now_us);

#endif
