/*
 * The gate in front of one upstream.
 *
 * Answers: the ordinary load, far below the limit, where each microsecond that
 * a decision takes is added to every hop of a chain.  Without it each call
 * would queue for one lock, and the lock would be the first thing to saturate.
 *
 * Limit, calls inside and the watch flag share one word, so that "is there
 * room, does nobody wait, take a place" is one compare-and-swap.  No wake-up
 * is lost: the owner sets the watch flag before it looks for room a last time,
 * and leaving is one atomic step that returns the flag.  Either the leave came
 * first, and the owner sees the room; or it came second, and sees the flag.
 */

#include "loom/gate.h"

#define GATE_WATCH (UINT64_C(1) << 63)
#define GATE_LIMIT_SHIFT 32
#define GATE_INSIDE_MASK UINT64_C(0xffffffff)

static uint32_t
word_inside(uint64_t word)
{
	return (uint32_t)(word & GATE_INSIDE_MASK);
}

static uint32_t
word_limit(uint64_t word)
{
	return (uint32_t)(word >> GATE_LIMIT_SHIFT) & LOOM_GATE_LIMIT_MAX;
}

static uint64_t
limit_bits(uint32_t limit)
{
	if (limit > LOOM_GATE_LIMIT_MAX)
		limit = LOOM_GATE_LIMIT_MAX;
	return (uint64_t)limit << GATE_LIMIT_SHIFT;
}

void
loom_gate_init(struct loom_gate *gate, uint32_t limit)
{
	atomic_init(&gate->word, limit_bits(limit));
}

static bool
enter(struct loom_gate *gate, uint64_t kept_out_by)
{
	uint64_t word = atomic_load_explicit(&gate->word, memory_order_relaxed);

	do {
		if ((word & kept_out_by) != 0)
			return false;
		if (word_inside(word) >= word_limit(word))
			return false;
	} while (!atomic_compare_exchange_weak_explicit(&gate->word, &word,
	    word + 1, memory_order_acq_rel, memory_order_relaxed));
	return true;
}

bool
loom_gate_enter(struct loom_gate *gate)
{
	return enter(gate, GATE_WATCH);
}

bool
loom_gate_enter_watched(struct loom_gate *gate)
{
	return enter(gate, 0);
}

bool
loom_gate_leave(struct loom_gate *gate)
{
	uint64_t before;

	before =
	    atomic_fetch_sub_explicit(&gate->word, 1, memory_order_acq_rel);
	return (before & GATE_WATCH) != 0;
}

void
loom_gate_set_limit(struct loom_gate *gate, uint32_t limit)
{
	uint64_t word = atomic_load_explicit(&gate->word, memory_order_relaxed);
	uint64_t other = GATE_WATCH | GATE_INSIDE_MASK;

	while (!atomic_compare_exchange_weak_explicit(&gate->word, &word,
	    (word & other) | limit_bits(limit), memory_order_acq_rel,
	    memory_order_relaxed))
		;
}

void
loom_gate_set_watch(struct loom_gate *gate, bool watch)
{
	if (watch)
		atomic_fetch_or_explicit(
		    &gate->word, GATE_WATCH, memory_order_acq_rel);
	else
		atomic_fetch_and_explicit(
		    &gate->word, ~GATE_WATCH, memory_order_acq_rel);
}

bool
loom_gate_watched(struct loom_gate *gate)
{
	return (atomic_load_explicit(&gate->word, memory_order_acquire) &
		   GATE_WATCH) != 0;
}

uint32_t
loom_gate_inside(struct loom_gate *gate)
{
	return word_inside(
	    atomic_load_explicit(&gate->word, memory_order_acquire));
}

uint32_t
loom_gate_limit(struct loom_gate *gate)
{
	return word_limit(
	    atomic_load_explicit(&gate->word, memory_order_acquire));
}
