/*
 * Tests where decisions are made by work: the dispersion of costs, and how a
 * reason spreads among daemons and ends.
 */

#include <talloc.h>

#include "decide/work_known.h"
#include "loom/clock.h"
#include "loom/work_cost.h"
#include "support/test.h"

#define S LOOM_US_PER_S
#define CALLS 8192

struct class_load {
	uint64_t slot_us;
	uint32_t every; /* one call in so many is of this class; 0: the rest */
};

static const struct {
	const char *name;
	struct class_load classes[3];
	double dispersion_min, dispersion_max;
} loads[] = {
	{ "one class", { { 50000, 0 } }, 0.99, 1.01 },
	{ "costs that differ little", { { 50000, 0 }, { 100000, 4 } }, 1.0,
	    1.3 },
	{ "few calls that cost 16 times as much",
	    { { 55000, 0 }, { 880000, 40 } }, 3.0, 5.0 },
	{ "half of the calls cost next to nothing",
	    { { 1000, 0 }, { 100000, 2 } }, 1.8, 2.0 },
};

static uint64_t
class_of(const struct class_load classes[3], uint32_t call)
{
	uint32_t i;

	for (i = 2; i > 0; i--) {
		if (classes[i].every != 0 && call % classes[i].every == 0)
			return i;
	}
	return 0;
}

static void
test_dispersion(void)
{
	struct loom_work_costs *costs;
	double dispersion;
	uint64_t class;
	uint32_t call;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		costs = loom_work_costs_new(NULL);
		for (call = 1; call <= CALLS; call++) {
			class = class_of(loads[i].classes, call);
			loom_work_costs_note(costs, class + 1,
			    loads[i].classes[class].slot_us,
			    loads[i].classes[class].slot_us, call * 1000);
		}
		dispersion = loom_work_costs_dispersion(costs);
		TEST_CHECK(dispersion >= loads[i].dispersion_min &&
			dispersion <= loads[i].dispersion_max,
		    "%s: %.2f", loads[i].name, dispersion);
		talloc_free(costs);
	}
}

/* Guards against deciding by the costs of the first few calls. */
static void
test_few_calls(void)
{
	struct loom_work_costs *costs = loom_work_costs_new(NULL);
	uint32_t call;

	for (call = 0; call < 16; call++)
		loom_work_costs_note(costs, call % 2 + 1,
		    call % 2 == 0 ? 1000 : 900000, 1000, call * 1000);
	TEST_CHECK(loom_work_costs_dispersion(costs) < 1, "%.2f",
	    loom_work_costs_dispersion(costs));
	talloc_free(costs);
}

static const struct {
	const char *name;
	double dispersion; /* noted at 20 s; 0: not noted */
	bool pace; /* noted at 20 s */
	uint64_t peer_age_us; /* noted at 20 s; UINT64_MAX: not noted */
	uint64_t asked_us;
	bool known;
} reasons[] = {
	{ "none", 0, false, UINT64_MAX, 21 * S, false },
	{ "even costs", 1.9, false, UINT64_MAX, 21 * S, false },
	{ "uneven costs", 2.0, false, UINT64_MAX, 21 * S, true },
	{ "uneven costs, long ago", 3.0, false, UINT64_MAX, 31 * S, false },
	{ "a pace", 0, true, UINT64_MAX, 29 * S, true },
	{ "a peer's", 0, false, 0, 29 * S, true },
	{ "a peer's, that was old", 0, false, 5 * S, 26 * S, false },
	{ "a peer's, older than the clock", 0, false, UINT64_MAX - 1, 20 * S,
	    false },
};

static void
test_reasons(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reasons); i++) {
		struct work_known known = { 0 };

		if (reasons[i].dispersion > 0)
			work_known_note_dispersion(
			    &known, reasons[i].dispersion, 20 * S);
		if (reasons[i].pace)
			work_known_note_pace(&known, 20 * S);
		if (reasons[i].peer_age_us != UINT64_MAX)
			work_known_note_peer(
			    &known, reasons[i].peer_age_us, 20 * S);
		TEST_CHECK(work_known_is(&known, reasons[i].asked_us) ==
			reasons[i].known,
		    "%s", reasons[i].name);
	}
}

/*
 * Guards against daemons that go on telling each other of a reason after it has
 * ended: on its way from one to the next it must not grow younger.
 */
static void
test_repeated(void)
{
	enum {
		DAEMONS = 16,
		ANSWERS = 20000,
		STEP_US = 1000,
		WAY_US = 300
	};
	struct work_known daemons[DAEMONS] = { { 0 } };
	struct loom_random random = test_random_new(1);
	uint64_t now_us = 20 * S;
	uint32_t i, from, to, age_ms;

	work_known_note_pace(&daemons[0], now_us);
	for (i = 0; i < ANSWERS; i++, now_us += STEP_US) {
		from = (uint32_t)loom_random_below(&random, DAEMONS);
		to = (uint32_t)loom_random_below(&random, DAEMONS);
		if (!work_known_is(&daemons[from], now_us))
			continue;
		age_ms = work_known_age_ms(&daemons[from], now_us);
		work_known_note_peer(&daemons[to],
		    age_ms * LOOM_US_PER_MS + 2 * WAY_US, now_us + WAY_US);
	}
	for (i = 0; i < DAEMONS; i++)
		TEST_CHECK(!work_known_is(&daemons[i], 31 * S),
		    "daemon %u: seen %.3f s later", (unsigned)i,
		    (double)(daemons[i].seen_us - 20 * S) / S);
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "dispersion of costs", test_dispersion },
	{ "few calls", test_few_calls },
	{ "reasons", test_reasons },
	{ "reasons that are repeated", test_repeated },
};

TEST_MAIN("work_known", tests)
