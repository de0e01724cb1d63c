#ifndef DECIDE_WINDOW_H
#define DECIDE_WINDOW_H

/* The measurements of a limit's window, gathered without a lock. */

#include "loom/limit.h"

/* One window's sums, taken out of the atomics. */
struct loom_window {
	double own_us[LOOM_CALL_CLASSES]; /* means */
	double whole_us[LOOM_CALL_CLASSES];
	double calls[LOOM_CALL_CLASSES];
	double all_calls;
	double overloads;
};

/* Calls measured since the last take. */
uint32_t loom_window_pending(const struct loom_limit *);

/* Move what was measured out of the atomics.  Under the owner's lock. */
void loom_window_take(struct loom_limit *, struct loom_window *);

#endif
