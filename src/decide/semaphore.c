/*
 * Non-blocking counting semaphore that bounds the calls in flight at one
 * upstream.
 *
 * Most calls arrive while the load is far below the limit, and each microsecond
 * spent here is added at every hop of a call chain.  Taking a lock for each
 * call would also make that lock the first resource to saturate.
 *
 * The limit, the number of calls in flight and the slow-path flag share one
 * word, so that a single compare-and-swap checks the flag, checks for a free
 * slot and takes it.
 *
 * No wake-up is lost.  The owner sets the flag before it checks for a free slot
 * a last time, and a release is one atomic step that returns the flag.  A
 * release that precedes the flag has already freed the slot when the owner
 * checks; a release that follows it returns the flag, and its caller must
 * dispatch a waiting call.
 */

#include "loom/semaphore.h"

#define SLOW_PATH_FLAG (UINT64_C(1) << 63)
#define LIMIT_SHIFT 32
#define IN_FLIGHT_MASK UINT64_C(0xffffffff)

static uint32_t
in_flight_of(uint64_t word)
{
	return (uint32_t)(word & IN_FLIGHT_MASK);
}

static uint32_t
limit_of(uint64_t word)
{
	return (uint32_t)(word >> LIMIT_SHIFT) & LOOM_SEMAPHORE_LIMIT_MAX;
}

static uint64_t
limit_bits(uint32_t limit)
{
	if (limit > LOOM_SEMAPHORE_LIMIT_MAX)
		limit = LOOM_SEMAPHORE_LIMIT_MAX;
	return (uint64_t)limit << LIMIT_SHIFT;
}

void
loom_semaphore_init(struct loom_semaphore *semaphore, uint32_t limit)
{
	atomic_init(&semaphore->word, limit_bits(limit));
}

static bool
try_acquire(struct loom_semaphore *semaphore, uint64_t blocking_flags)
{
	uint64_t word =
	    atomic_load_explicit(&semaphore->word, memory_order_relaxed);

	do {
		if ((word & blocking_flags) != 0)
			return false;
		if (in_flight_of(word) >= limit_of(word))
			return false;
	} while (!atomic_compare_exchange_weak_explicit(&semaphore->word, &word,
	    word + 1, memory_order_acq_rel, memory_order_relaxed));
	return true;
}

bool
loom_semaphore_try_acquire(struct loom_semaphore *semaphore)
{
	return try_acquire(semaphore, SLOW_PATH_FLAG);
}

bool
loom_semaphore_try_acquire_slow_path(struct loom_semaphore *semaphore)
{
	return try_acquire(semaphore, 0);
}

bool
loom_semaphore_release(struct loom_semaphore *semaphore)
{
	uint64_t before;

	before = atomic_fetch_sub_explicit(
	    &semaphore->word, 1, memory_order_acq_rel);
	return (before & SLOW_PATH_FLAG) != 0;
}

void
loom_semaphore_set_limit(struct loom_semaphore *semaphore, uint32_t limit)
{
	uint64_t word =
	    atomic_load_explicit(&semaphore->word, memory_order_relaxed);
	uint64_t preserved_bits = SLOW_PATH_FLAG | IN_FLIGHT_MASK;

	while (!atomic_compare_exchange_weak_explicit(&semaphore->word, &word,
	    (word & preserved_bits) | limit_bits(limit), memory_order_acq_rel,
	    memory_order_relaxed))
		;
}

void
loom_semaphore_set_slow_path(struct loom_semaphore *semaphore, bool slow_path)
{
	if (slow_path)
		atomic_fetch_or_explicit(
		    &semaphore->word, SLOW_PATH_FLAG, memory_order_acq_rel);
	else
		atomic_fetch_and_explicit(
		    &semaphore->word, ~SLOW_PATH_FLAG, memory_order_acq_rel);
}

bool
loom_semaphore_is_slow_path(struct loom_semaphore *semaphore)
{
	return (atomic_load_explicit(&semaphore->word, memory_order_acquire) &
		   SLOW_PATH_FLAG) != 0;
}

uint32_t
loom_semaphore_in_flight(struct loom_semaphore *semaphore)
{
	return in_flight_of(
	    atomic_load_explicit(&semaphore->word, memory_order_acquire));
}

uint32_t
loom_semaphore_limit(struct loom_semaphore *semaphore)
{
	return limit_of(
	    atomic_load_explicit(&semaphore->word, memory_order_acquire));
}
