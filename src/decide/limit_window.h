#ifndef DECIDE_WINDOW_H
#define DECIDE_WINDOW_H

/* Latency samples of one measurement window of the adaptive limit, collected
 * without a lock. */

#include "loom/limit.h"

/* Means over the samples of one window. */
struct loom_limit_window {
	double self_us[LOOM_CALL_CLASSES]; /* without nested calls */
	double total_us[LOOM_CALL_CLASSES];
	double calls[LOOM_CALL_CLASSES];
	double total_calls;
	double overloads;
};

/* Number of samples since the last loom_limit_window_take(). */
uint32_t loom_limit_window_pending(const struct loom_limit *);

/* Reads and clears the samples.  The caller holds the owner's lock. */
void loom_limit_window_take(struct loom_limit *, struct loom_limit_window *);

#endif
