#ifndef LOOM_DECIDE_GONE_H
#define LOOM_DECIDE_GONE_H

/*
 * Whether an upstream crashed, where it is back before anybody looks.
 *
 * Load pattern: a request crashes its upstream, whose watchdog starts it anew
 * within a millisecond, or holds its listening socket.  A new connection is
 * then never refused, the crash looks like one broken connection, and the
 * culprit is repeated from host to host.
 *
 * The daemon keeps two idle connections to its upstream, its witnesses.  An
 * upstream that is done with one connection leaves them alone; one that comes
 * down takes both along.  They are opened apart, so that an upstream that
 * closes idle connections after a time of its own never closes both at once.
 */

#include <stdbool.h>
#include <stdint.h>

#define GONE_WITNESSES 2

/* How often the witnesses are looked at. */
#define GONE_LOOK_US UINT64_C(50000)
/* Far over the time between two looks, so that one upstream's idle timeout
 * cannot end both in between. */
#define GONE_APART_US UINT64_C(250000)
/* Both ends must be known to within this, and be as near to the broken call:
 * two looks, and a thread that is late. */
#define GONE_TOGETHER_US UINT64_C(150000)

/* The last witness of its place that ended. */
struct gone_witness {
	bool ended; /* ever */
	uint64_t opened_us;
	uint64_t seen_us; /* open for the last time */
	uint64_t ended_us; /* found closed */
};

/* A call broke just now: did the upstream go with it? */
bool gone_with(
    const struct gone_witness witnesses[GONE_WITNESSES], uint64_t now_us);

/* Whether a witness may be opened now; the other is open since then, or 0. */
bool gone_may_open(uint64_t other_opened_us, uint64_t now_us);

#endif
