#ifndef LOOM_DECIDE_CRASH_CHECK_H
#define LOOM_DECIDE_CRASH_CHECK_H

/*
 * Detects a crash of an upstream that accepts connections again before anybody
 * notices.
 *
 * Such an upstream has a watchdog that restarts it within a millisecond or that
 * holds its listening socket. A new connection is then never refused, so a
 * crash caused by a request looks like a single broken connection, and the
 * request is repeated on one host after another.
 *
 * Therefore the daemon keeps two idle connections to its upstream, called
 * witnesses. An upstream that closes one connection leaves them open, whereas
 * one that crashes closes both. They are opened at different times, so that an
 * upstream with an idle timeout never closes both at once.
 */

#include <stdbool.h>
#include <stdint.h>

#define CRASH_WITNESS_COUNT 2

/* Interval at which the witnesses are checked. */
#define CRASH_WITNESS_POLL_US UINT64_C(50000)
/*
 * Far longer than the interval between two checks, so that an idle timeout of
 * the upstream cannot close both witnesses between two checks.
 */
#define CRASH_WITNESS_SPACING_US UINT64_C(250000)
/*
 * The closing time of both witnesses must be known to within this time and must
 * lie within this time of the broken call. It allows for two checks and a
 * thread that runs late.
 */
#define CRASH_CHECK_WINDOW_US UINT64_C(150000)

/* The last witness connection of a slot that was closed by the upstream. */
struct crash_witness {
	bool ended; /* false if none was closed yet */
	uint64_t opened_us;
	uint64_t last_open_us; /* last seen open */
	uint64_t ended_us; /* found closed */
};

/* Whether the upstream went down together with a call that broke just now. */
bool crash_check_upstream_gone(
    const struct crash_witness witnesses[CRASH_WITNESS_COUNT], uint64_t now_us);

/*
 * Whether a witness may be opened now. other_opened_us is the time when the
 * other one was opened, or 0 if it is not open.
 */
bool crash_check_may_open_witness(uint64_t other_opened_us, uint64_t now_us);

#endif
