/*
 * Load pattern: a deep service slows, and each upstream above it answers later
 * though it does no more itself.  A limit that follows latency then shrinks at
 * all of them, the idle ones too, and the whole chain refuses what only its
 * last service cannot carry.  Where inner calls name their parents their time
 * is known; where they do not, the mean over all that run stands in for it.
 *
 * Several inner calls of one request at once count as one wait: no more calls
 * can wait than run.
 */

#include <glib.h>
#include <math.h>

#include "loom/clock.h"
#include "loom/wait_share.h"

/* As long as a few service times, so that the share belongs to the calls that
 * it is applied to, and short of a change of load. */
#define TAU_US (1.0 * LOOM_US_PER_S)
/* The rest is the upstream's own, however little: a sample of none would make
 * a floor of none. */
#define SHARE_MAX 0.95

void
loom_wait_share_change(
    struct loom_wait_share *share, int running, int inner, uint64_t now_us)
{
	double gap_us = (double)(now_us - share->at_us);
	double left = exp(-gap_us / TAU_US);

	share->run_us = share->run_us * left + gap_us * share->running;
	share->wait_us =
	    share->wait_us * left + gap_us * MIN(share->inner, share->running);
	share->at_us = now_us;
	share->running = (uint32_t)((int64_t)share->running + running);
	share->inner = (uint32_t)((int64_t)share->inner + inner);
}

double
loom_wait_share(const struct loom_wait_share *share)
{
	if (share->run_us <= 0)
		return 0;
	return MIN(share->wait_us / share->run_us, SHARE_MAX);
}
