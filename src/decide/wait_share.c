/*
 * Load pattern: a service deep in the call graph slows down, and each upstream
 * above it answers later although it does no more work itself. A concurrency
 * limit that follows latency then shrinks at all of them, idle ones included,
 * and the whole chain refuses what only its last service cannot carry. Where
 * inner calls name their parent call, the time spent waiting for them is known;
 * elsewhere, the mean over all running calls is used.
 *
 * Concurrent inner calls of one request count as one wait, so at most as many
 * calls wait as run.
 */

#include <glib.h>
#include <math.h>

#include "loom/clock.h"
#include "loom/wait_share.h"

/*
 * A few service times, so that the share describes the calls that it is applied
 * to, but shorter than typical load changes.
 */
#define TIME_CONSTANT_US (1.0 * LOOM_US_PER_S)
/*
 * At least the rest is the upstream's own time: a latency sample of zero would
 * set the latency floor to zero.
 */
#define SHARE_MAX 0.95

void
loom_wait_share_update(
    struct loom_wait_share *share, int running, int inner, uint64_t now_us)
{
	double elapsed_us = (double)(now_us - share->updated_us);
	double decay = exp(-elapsed_us / TIME_CONSTANT_US);

	share->run_us = share->run_us * decay + elapsed_us * share->running;
	share->wait_us = share->wait_us * decay +
	    elapsed_us * MIN(share->inner, share->running);
	share->updated_us = now_us;
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
