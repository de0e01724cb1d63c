/*
 * What a decision costs when nothing is wrong: throughput on several threads
 * as a ratio to a lock in the same run, and that no memory is taken.
 *
 * usage: bench_hotpath [kind]
 *	With a kind it only runs that decision COUNTED times inside
 *	counted_run(), for tools/count-instructions.
 */

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "bounds.h"
#include "loom/admission.h"
#include "loom/balance.h"
#include "loom/semaphore.h"
#include "loom/shed.h"
#include "support/allocations.h"

#define BOUNDS "bench/bounds.tsv"
#define COUNTED 1000
#define WARM 100
#define ROUNDS 400000 /* of each thread */
#define THREADS_MAX 8
#define SLOTS 64
#define HOSTS 5
#define CLOSURE 4
#define LATENCY_US 10000

/* All that a decision is made with. */
struct setup {
	struct loom_semaphore gate;
	struct loom_admission *admission;
	struct loom_shed *shed;
	struct loom_balance *balance;
	GMutex lock;
	uint32_t inside; /* under lock: what the gate is compared with */
	struct loom_admission_call held[SLOTS];
	uint64_t now_us;
};

static void
lock_mutex(void *arg)
{
	g_mutex_lock(arg);
}

static void
unlock_mutex(void *arg)
{
	g_mutex_unlock(arg);
}

static uint64_t
cheap_next(void *arg)
{
	uint64_t *state = arg;

	*state = *state * UINT64_C(6364136223846793005) + 1;
	return *state;
}

static uint64_t random_state = 1;
static const struct loom_random cheap_random = {
	.next = cheap_next,
	.arg = &random_state,
};

static void
setup_init(struct setup *setup)
{
	struct loom_admission_settings settings = {
		.limit = { .slots = SLOTS },
		.queue = SLOTS,
		.lock = { lock_mutex, unlock_mutex, &setup->lock },
		.random = cheap_random,
	};
	struct loom_balance_host hosts[HOSTS];
	int i;

	memset(setup, 0, sizeof(*setup));
	g_mutex_init(&setup->lock);
	loom_semaphore_init(&setup->gate, SLOTS);
	setup->admission = loom_admission_new(NULL, &settings, 0);
	setup->shed = loom_shed_new(NULL, &cheap_random);
	setup->balance = loom_balance_new(NULL, &cheap_random, 0);
	for (i = 0; i < HOSTS; i++)
		hosts[i] = (struct loom_balance_host){
			.host_id = (uint64_t)i + 1,
			.near = i < 2,
		};
	loom_balance_set_hosts(setup->balance, hosts, HOSTS, 0);
}

static void
call_init(struct loom_admission_call *w)
{
	*w = (struct loom_admission_call){
		.team_id = 1,
		.team_weight = 10,
		.importance = LOOM_NORMAL,
		.deadline_us = UINT64_MAX / 2,
	};
}

static void
run_gate(struct setup *setup)
{
	if (loom_semaphore_try_acquire(&setup->gate))
		loom_semaphore_release(&setup->gate);
}

static void
run_lock(struct setup *setup)
{
	bool entered;

	g_mutex_lock(&setup->lock);
	entered = setup->inside < SLOTS;
	if (entered)
		setup->inside++;
	g_mutex_unlock(&setup->lock);
	if (!entered)
		return;
	g_mutex_lock(&setup->lock);
	setup->inside--;
	g_mutex_unlock(&setup->lock);
}

static void
end_call(struct setup *setup, struct loom_admission_call *w)
{
	struct loom_call_result result = {
		.end = LOOM_CALL_OK,
		.latency_us = LATENCY_US,
	};
	struct loom_verdicts moved;

	loom_verdicts_init(&moved);
	loom_admission_done(
	    setup->admission, w, &result, setup->now_us, &moved);
}

static void
run_admit(struct setup *setup)
{
	struct loom_admission_call w;
	struct loom_verdicts moved;

	call_init(&w);
	loom_verdicts_init(&moved);
	if (loom_admission_offer(setup->admission, &w, setup->now_us, &moved) ==
	    LOOM_ADMITTED)
		end_call(setup, &w);
}

/* Every slot is taken: the call waits, and goes when another one ends. */
static void
run_queue(struct setup *setup)
{
	static uint32_t turn;
	struct loom_admission_call *oldest = &setup->held[turn++ % SLOTS];
	struct loom_admission_call w;
	struct loom_verdicts moved;

	call_init(&w);
	loom_verdicts_init(&moved);
	loom_admission_offer(setup->admission, &w, setup->now_us, &moved);
	end_call(setup, oldest);
	call_init(oldest);
}

static void
fill_slots(struct setup *setup)
{
	struct loom_verdicts moved;
	int i;

	for (i = 0; i < SLOTS; i++) {
		call_init(&setup->held[i]);
		loom_verdicts_init(&moved);
		loom_admission_offer(
		    setup->admission, &setup->held[i], setup->now_us, &moved);
	}
}

static void
run_shed(struct setup *setup)
{
	static const uint64_t closure[CLOSURE] = { 1, 2, 3, 4 };
	uint64_t retry_after_us;

	loom_shed_check(setup->shed, closure, CLOSURE, 1,
	    loom_shed_rank(LOOM_NORMAL, setup->now_us), setup->now_us,
	    &retry_after_us);
}

static void
run_pick(struct setup *setup)
{
	uint64_t host_id;

	host_id = loom_balance_pick(setup->balance, NULL, 0, setup->now_us);
	loom_balance_note_sent(setup->balance, host_id, setup->now_us);
	loom_balance_note_done(
	    setup->balance, host_id, LOOM_TARGET_OK, LATENCY_US, setup->now_us);
}

static const struct kind {
	const char *name;
	void (*run)(struct setup *);
	bool full; /* all slots are taken before */
} kinds[] = {
	{ "gate", run_gate, false },
	{ "admit", run_admit, false },
	{ "queue", run_queue, true },
	{ "shed", run_shed, false },
	{ "pick", run_pick, false },
};

/* The function whose instructions are counted. */
__attribute__((noinline)) static void
counted_run(struct setup *setup, const struct kind *kind)
{
	int i;

	for (i = 0; i < COUNTED; i++)
		kind->run(setup);
}

static void
prepare(struct setup *setup, const struct kind *kind)
{
	int i;

	setup_init(setup);
	if (kind->full)
		fill_slots(setup);
	for (i = 0; i < WARM; i++)
		kind->run(setup);
}

static bool
check_allocations(void)
{
	struct setup setup;
	uint64_t before, taken;
	bool ok = true;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		prepare(&setup, &kinds[i]);
		before = test_allocations();
		counted_run(&setup, &kinds[i]);
		taken = test_allocations() - before;
		printf("%-6s allocations in %d decisions: %" PRIu64 "\n",
		    kinds[i].name, COUNTED, taken);
		ok = ok && taken == 0;
	}
	return ok;
}

struct race {
	struct setup setup;
	void (*run)(struct setup *);
	atomic_int ready;
	atomic_int go;
};

static gpointer
race_thread(gpointer data)
{
	struct race *race = data;
	int i;

	atomic_fetch_add(&race->ready, 1);
	while (atomic_load(&race->go) == 0)
		g_thread_yield();
	for (i = 0; i < ROUNDS; i++)
		race->run(&race->setup);
	return NULL;
}

/* Millions of decisions a second by n threads together. */
static double
race_rate(void (*run)(struct setup *), int n)
{
	GThread *threads[THREADS_MAX];
	struct race *race = g_new0(struct race, 1);
	uint64_t start_us, took_us;
	int i;

	setup_init(&race->setup);
	race->run = run;
	for (i = 0; i < n; i++)
		threads[i] = g_thread_new("race", race_thread, race);
	while (atomic_load(&race->ready) < n)
		g_thread_yield();
	start_us = loom_now_us();
	atomic_store(&race->go, 1);
	for (i = 0; i < n; i++)
		g_thread_join(threads[i]);
	took_us = loom_now_us() - start_us;
	g_free(race);
	return (double)n * ROUNDS / (double)(took_us + 1);
}

static bool
check_rates(const struct bounds *bounds)
{
	double gate, admit, lock, ratio = 0, least = 0;
	int n;

	printf("threads  lock M/s  gate/lock  admission/lock\n");
	for (n = 1; n <= THREADS_MAX; n *= 2) {
		lock = race_rate(run_lock, n);
		gate = race_rate(run_gate, n);
		admit = race_rate(run_admit, n);
		ratio = gate / lock;
		printf("%7d  %8.1f  %9.2f  %14.2f\n", n, lock, ratio,
		    admit / lock);
	}
	if (bounds_value(bounds, "hotpath", "gate", "ratio_8", &least) &&
	    ratio >= least)
		return true;
	printf("BROKEN gate/lock on 8 threads: %.2f, bound min %.2f\n", ratio,
	    least);
	return false;
}

static int
run_counted(const char *name)
{
	struct setup setup;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) != 0)
			continue;
		prepare(&setup, &kinds[i]);
		counted_run(&setup, &kinds[i]);
		return EXIT_SUCCESS;
	}
	return EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct bounds *bounds;
	bool ok;

	if (argc > 1)
		return run_counted(argv[1]);
	bounds = bounds_load(BOUNDS);
	if (bounds == NULL)
		return EXIT_FAILURE;
	ok = check_allocations();
	ok = check_rates(bounds) && ok;
	bounds_free(bounds);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
