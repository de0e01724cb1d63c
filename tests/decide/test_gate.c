/*
 * The gate: never more inside than the limit, and no lost wake-up, also with
 * several threads.
 */

#include <pthread.h>

#include "loom/gate.h"
#include "support/test.h"

#define THREADS 4
#define ROUNDS 20000
#define LIMIT 3

static void
test_room(void)
{
	struct loom_gate gate;

	loom_gate_init(&gate, 2);
	CU_ASSERT(loom_gate_enter(&gate));
	CU_ASSERT(loom_gate_enter(&gate));
	CU_ASSERT_FALSE(loom_gate_enter(&gate));
	CU_ASSERT_EQUAL(loom_gate_inside(&gate), 2);
	CU_ASSERT_FALSE(loom_gate_leave(&gate));
	loom_gate_set_watch(&gate, true);
	CU_ASSERT_FALSE(loom_gate_enter(&gate));
	CU_ASSERT(loom_gate_enter_watched(&gate));
	CU_ASSERT(loom_gate_leave(&gate));
	loom_gate_set_watch(&gate, false);
	CU_ASSERT(loom_gate_enter(&gate));
	/* A lower limit lets those inside finish and nobody else in. */
	loom_gate_set_limit(&gate, 1);
	loom_gate_leave(&gate);
	CU_ASSERT_FALSE(loom_gate_enter(&gate));
	loom_gate_leave(&gate);
	CU_ASSERT(loom_gate_enter(&gate));
	loom_gate_set_limit(&gate, UINT32_MAX);
	CU_ASSERT_EQUAL(loom_gate_limit(&gate), LOOM_GATE_LIMIT_MAX);
	CU_ASSERT_EQUAL(loom_gate_inside(&gate), 1);
}

struct shared {
	struct loom_gate gate;
	atomic_int inside;
	atomic_int most;
	atomic_int woken;
	atomic_int stop;
};

static void
enter_and_leave(struct shared *shared)
{
	int now = atomic_fetch_add(&shared->inside, 1) + 1;
	int most = atomic_load(&shared->most);

	while (now > most &&
	    !atomic_compare_exchange_weak(&shared->most, &most, now))
		;
	atomic_fetch_sub(&shared->inside, 1);
	if (loom_gate_leave(&shared->gate))
		atomic_store(&shared->woken, 1);
}

static void *
run_thread(void *data)
{
	struct shared *shared = data;
	int done = 0;

	while (done < ROUNDS) {
		if (!loom_gate_enter(&shared->gate)) {
			g_thread_yield();
			continue;
		}
		enter_and_leave(shared);
		done++;
	}
	return NULL;
}

/*
 * Four threads take turns at three places.  With a load and a store in place
 * of the compare-and-swap two of them take the same last place.
 */
static void
test_threads(void)
{
	pthread_t threads[THREADS];
	struct shared shared = { 0 };
	int i;

	loom_gate_init(&shared.gate, LIMIT);
	for (i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, run_thread, &shared);
	for (i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	TEST_CHECK(atomic_load(&shared.most) <= LIMIT, "%d inside",
	    atomic_load(&shared.most));
	CU_ASSERT_EQUAL(loom_gate_inside(&shared.gate), 0);
}

static void *
hold_again_and_again(void *data)
{
	struct shared *shared = data;

	while (atomic_load(&shared->stop) == 0) {
		if (loom_gate_enter(&shared->gate))
			enter_and_leave(shared);
		else
			g_thread_yield();
	}
	return NULL;
}

/*
 * One thread holds the only place; another finds it full, sets the watch and
 * looks once more.  Either it gets the place, or the leaver is told that
 * somebody waits; else the second would wait for ever.
 */
static void
test_no_lost_wakeup(void)
{
	pthread_t thread;
	struct shared shared = { 0 };
	bool got;
	int i;

	for (i = 0; i < 300; i++) {
		loom_gate_init(&shared.gate, 1);
		atomic_store(&shared.woken, 0);
		atomic_store(&shared.stop, 0);
		pthread_create(&thread, NULL, hold_again_and_again, &shared);
		while (loom_gate_enter(&shared.gate)) {
			loom_gate_leave(&shared.gate);
			g_thread_yield();
		}
		loom_gate_set_watch(&shared.gate, true);
		got = loom_gate_enter_watched(&shared.gate);
		if (got)
			loom_gate_leave(&shared.gate);
		atomic_store(&shared.stop, 1);
		pthread_join(thread, NULL);
		TEST_CHECK(got || atomic_load(&shared.woken) == 1,
		    "round %d: nobody was told", i);
	}
}

static const struct test_case tests[] = {
	{ "room", test_room },
	{ "threads", test_threads },
	{ "no lost wake-up", test_no_lost_wakeup },
};

TEST_MAIN("gate", tests)
