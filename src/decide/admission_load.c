/*
 * The load of an upstream as its daemon reports it to the entries: the part of
 * the slots in use, and the share of the fleet's load that it can carry.  What
 * other parts of the daemon know of it, as processor time and delays of event
 * loops, comes in from any thread.
 */

#include <glib.h>

#include "decide/admission_private.h"

/*
 * Share of a worker thread's time at which the daemon counts as full.  The rest
 * is left to the thread that reads from the platform: next to a worker that
 * never waited, a new manifest came into force 2.1 s late, and calls were
 * handled by the old one.
 */
#define BUSY_FULL 0.8

/* Event loop lag that is normal when the loop is idle now and then, or when its
 * host is suspended for the rest of a period of 100 ms. */
#define LAG_NORMAL_US (20.0 * LOOM_US_PER_MS)
/* This much more lag counts as a queue as long as the limit. */
#define LAG_FULL_US (100.0 * LOOM_US_PER_MS)

/* A share of chains still lets some requests in; otherwise nothing would
 * show that the upstream accepts calls again. */
#define CHAIN_SHARE_MIN 0.02

#define MILLION 1000000U
#define THOUSAND 1000U

void
admission_init_load(struct loom_admission *adm, uint64_t now_us)
{
	loom_throttle_control_init(&adm->throttle, now_us);
	atomic_store(&adm->throttle_share_millionths, MILLION);
	atomic_store(&adm->chain_share_millionths, MILLION);
}

/* Calls that run or wait, relative to those that may run.  During a cold start
 * the calls of the last second are compared with their bound instead.  With a
 * stated rate only those that wait count besides: a host that sends all that
 * its upstream takes is no reason to refuse requests for other hosts. */
static double
used_share(struct loom_admission *adm, uint64_t now_us)
{
	double running = loom_semaphore_in_flight(&adm->semaphore);
	double waiting = loom_queue_length(adm->queue);
	uint32_t limit = loom_semaphore_limit(&adm->semaphore);
	double used = (running + waiting) / limit;

	if (adm->start_bound == 0)
		return used;
	used = MAX(used, waiting / admission_concurrency(adm, limit));
	if (loom_cold_start_bound(&adm->starts.cold, now_us) > 0)
		used = MAX(used,
		    (double)loom_cold_start_used(&adm->starts.cold, now_us) /
			    adm->start_bound +
			waiting / admission_concurrency(adm, limit));
	return used;
}

/* Updates the share of the fleet's load that this upstream can carry.  Slots,
 * processor time and event loop lag count as used by whichever is highest. */
void
admission_tick_load(struct loom_admission *adm, uint64_t now_us)
{
	double used = used_share(adm, now_us);
	double busy =
	    atomic_load_explicit(&adm->busy_thousandths, memory_order_relaxed) /
	    (double)THOUSAND;
	double lag;

	used = MAX(used, busy / BUSY_FULL);
	lag = atomic_load_explicit(&adm->lag_us, memory_order_relaxed);
	if (lag > LAG_NORMAL_US)
		used = MAX(used, 1.0 + (lag - LAG_NORMAL_US) / LAG_FULL_US);
	adm->throttle.fast_recovery =
	    atomic_load_explicit(&adm->fast_recovery, memory_order_relaxed);
	loom_throttle_control_update(&adm->throttle, used, now_us);
	atomic_store_explicit(&adm->used_thousandths,
	    (unsigned)(used * THOUSAND), memory_order_relaxed);
	atomic_store_explicit(&adm->throttle_share_millionths,
	    (unsigned)(adm->throttle.share * MILLION), memory_order_relaxed);
}

void
loom_admission_set_fast_recovery(struct loom_admission *adm, bool fast)
{
	atomic_store_explicit(&adm->fast_recovery, fast, memory_order_relaxed);
}

void
loom_admission_set_busy(struct loom_admission *adm, double busy)
{
	atomic_store_explicit(&adm->busy_thousandths,
	    (unsigned)(busy * THOUSAND), memory_order_relaxed);
}

void
loom_admission_set_loop_lag(struct loom_admission *adm, uint64_t lag_us)
{
	atomic_store_explicit(&adm->lag_us,
	    (unsigned)MIN(lag_us, LOOM_US_PER_S), memory_order_relaxed);
}

uint32_t
loom_admission_limit(struct loom_admission *adm)
{
	return loom_semaphore_limit(&adm->semaphore);
}

uint32_t
loom_admission_used(struct loom_admission *adm)
{
	return atomic_load_explicit(
	    &adm->used_thousandths, memory_order_relaxed);
}

void
loom_admission_set_chain_share(struct loom_admission *adm, double share)
{
	share = CLAMP(share, CHAIN_SHARE_MIN, 1.0);
	atomic_store_explicit(&adm->chain_share_millionths,
	    (unsigned)(share * MILLION), memory_order_relaxed);
}

double
loom_admission_chain_share(struct loom_admission *adm)
{
	return atomic_load_explicit(
		   &adm->chain_share_millionths, memory_order_relaxed) /
	    (double)MILLION;
}

double
loom_admission_throttle_share(struct loom_admission *adm)
{
	return atomic_load_explicit(
		   &adm->throttle_share_millionths, memory_order_relaxed) /
	    (double)MILLION;
}
