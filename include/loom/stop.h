#ifndef LOOM_STOP_H
#define LOOM_STOP_H

/*
 * Divides the time between a request to stop and the kill: first everything is
 * served as before while callers move away, then the calls in progress
 * complete, and at the end those that have not are answered by the daemon.
 */

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

#endif
