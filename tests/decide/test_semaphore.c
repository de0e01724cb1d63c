/*
 * The semaphore never admits more calls than its limit and never loses a
 * wake-up, with one thread and with several.
 */

#include <pthread.h>

#include "loom/semaphore.h"
#include "support/test.h"

#define THREADS 4
#define ROUNDS 20000
#define LIMIT 3

static void
test_limit(void)
{
	struct loom_semaphore semaphore;

	loom_semaphore_init(&semaphore, 2);
	CU_ASSERT(loom_semaphore_try_acquire(&semaphore));
	CU_ASSERT(loom_semaphore_try_acquire(&semaphore));
	CU_ASSERT_FALSE(loom_semaphore_try_acquire(&semaphore));
	CU_ASSERT_EQUAL(loom_semaphore_in_flight(&semaphore), 2);
	CU_ASSERT_FALSE(loom_semaphore_release(&semaphore));
	loom_semaphore_set_slow_path(&semaphore, true);
	CU_ASSERT_FALSE(loom_semaphore_try_acquire(&semaphore));
	CU_ASSERT(loom_semaphore_try_acquire_slow_path(&semaphore));
	CU_ASSERT(loom_semaphore_release(&semaphore));
	loom_semaphore_set_slow_path(&semaphore, false);
	CU_ASSERT(loom_semaphore_try_acquire(&semaphore));
	/* After the limit is lowered, running calls finish and no new call
	 * enters until the count is below it. */
	loom_semaphore_set_limit(&semaphore, 1);
	loom_semaphore_release(&semaphore);
	CU_ASSERT_FALSE(loom_semaphore_try_acquire(&semaphore));
	loom_semaphore_release(&semaphore);
	CU_ASSERT(loom_semaphore_try_acquire(&semaphore));
	loom_semaphore_set_limit(&semaphore, UINT32_MAX);
	CU_ASSERT_EQUAL(
	    loom_semaphore_limit(&semaphore), LOOM_SEMAPHORE_LIMIT_MAX);
	CU_ASSERT_EQUAL(loom_semaphore_in_flight(&semaphore), 1);
}

struct shared {
	struct loom_semaphore semaphore;
	atomic_int in_flight;
	atomic_int max_in_flight;
	atomic_int waiter_signalled;
	atomic_int stop;
};

static void
hold_and_release(struct shared *shared)
{
	int now = atomic_fetch_add(&shared->in_flight, 1) + 1;
	int max_in_flight = atomic_load(&shared->max_in_flight);

	while (now > max_in_flight &&
	    !atomic_compare_exchange_weak(
		&shared->max_in_flight, &max_in_flight, now))
		;
	atomic_fetch_sub(&shared->in_flight, 1);
	if (loom_semaphore_release(&shared->semaphore))
		atomic_store(&shared->waiter_signalled, 1);
}

static void *
acquire_rounds(void *data)
{
	struct shared *shared = data;
	int done = 0;

	while (done < ROUNDS) {
		if (!loom_semaphore_try_acquire(&shared->semaphore)) {
			g_thread_yield();
			continue;
		}
		hold_and_release(shared);
		done++;
	}
	return NULL;
}

/*
 * Four threads compete for three slots.  With a separate load and store instead
 * of the compare-and-swap, two of them could take the same last slot.
 */
static void
test_threads(void)
{
	pthread_t threads[THREADS];
	struct shared shared = { 0 };
	int i;

	loom_semaphore_init(&shared.semaphore, LIMIT);
	for (i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, acquire_rounds, &shared);
	for (i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	TEST_CHECK(atomic_load(&shared.max_in_flight) <= LIMIT, "%d in flight",
	    atomic_load(&shared.max_in_flight));
	CU_ASSERT_EQUAL(loom_semaphore_in_flight(&shared.semaphore), 0);
}

static void *
acquire_until_stopped(void *data)
{
	struct shared *shared = data;

	while (atomic_load(&shared->stop) == 0) {
		if (loom_semaphore_try_acquire(&shared->semaphore))
			hold_and_release(shared);
		else
			g_thread_yield();
	}
	return NULL;
}

/*
 * One thread holds the only slot while another finds it taken, sets the
 * slow-path flag and tries once more.  Either the retry succeeds, or the
 * release must return the flag; otherwise the second thread would wait for
 * ever.
 */
static void
test_no_lost_wakeup(void)
{
	pthread_t thread;
	struct shared shared = { 0 };
	bool acquired;
	int i;

	for (i = 0; i < 300; i++) {
		loom_semaphore_init(&shared.semaphore, 1);
		atomic_store(&shared.waiter_signalled, 0);
		atomic_store(&shared.stop, 0);
		pthread_create(&thread, NULL, acquire_until_stopped, &shared);
		while (loom_semaphore_try_acquire(&shared.semaphore)) {
			loom_semaphore_release(&shared.semaphore);
			g_thread_yield();
		}
		loom_semaphore_set_slow_path(&shared.semaphore, true);
		acquired =
		    loom_semaphore_try_acquire_slow_path(&shared.semaphore);
		if (acquired)
			loom_semaphore_release(&shared.semaphore);
		atomic_store(&shared.stop, 1);
		pthread_join(thread, NULL);
		TEST_CHECK(
		    acquired || atomic_load(&shared.waiter_signalled) == 1,
		    "round %d: the release did not return the flag", i);
	}
}

static const struct test_case tests[] = {
	{ "limit", test_limit },
	{ "threads", test_threads },
	{ "no lost wake-up", test_no_lost_wakeup },
};

TEST_MAIN("gate", tests)
