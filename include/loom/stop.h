#ifndef LOOM_STOP_H
#define LOOM_STOP_H

/*
 * How the time between a request to stop and the kill is divided: first all
 * is served on while callers move away, then what is under way ends.
 */

#include <stdint.h>

struct loom_stop {
	uint64_t delay_us; /* served on */
	uint64_t end_us; /* for what is under way, after the delay */
};

/*
 * wanted holds the two times as they are set.  within_us is the time until
 * the process is killed, 0 when nobody kills it: then wanted is the answer.
 */
struct loom_stop loom_stop_plan(
    const struct loom_stop *wanted, uint64_t within_us);

#endif
