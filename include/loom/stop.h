#ifndef LOOM_STOP_H
#define LOOM_STOP_H

/*
 * Divides the time between a request to stop and the kill: first everything is
 * served as before while callers move away, then the calls in progress
 * complete, and at the end those that have not are answered by the daemon.
 */

#include <stdbool.h>
#include <stdint.h>

struct loom_stop {
	uint64_t drain_delay_us; /* requests are served as before */
	uint64_t drain_timeout_us; /* for calls in progress, after the delay */
	uint64_t closing_us; /* for the last answers, after that */
};

/*
 * wanted holds the configured times. within_us is the time until the process is
 * killed, or 0 if nothing kills it; the plan then equals wanted.
 */
struct loom_stop loom_stop_plan(
    const struct loom_stop *wanted, uint64_t within_us);

/*
 * Whether a call that was accepted earlier may still be sent on, at a time
 * between the end of the delay and that of the time for calls in progress.
 */
bool loom_stop_may_send(
    uint64_t now_us, uint64_t drain_us, uint64_t drain_until_us);

#endif
