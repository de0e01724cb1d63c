#ifndef LOOM_HTTP_DEADLINES_H
#define LOOM_HTTP_DEADLINES_H

/*
 * Moments at which something has to happen unless it is taken out before, the
 * soonest first: a binary heap.  tevent keeps its timers in a sorted list,
 * whose insertion walks past all later ones; of a thousand requests that run
 * side by side with different deadlines each would pay for the others.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One moment; embedded in whatever waits for it. */
struct deadline {
	uint64_t at_us;
	size_t place; /* in the heap, from 1; 0: not in it */
};

/* All zeroes is an empty heap. */
struct deadlines {
	struct deadline **heap; /* owned: pointers are borrowed */
	size_t n;
	size_t capacity;
};

void deadlines_clear(struct deadlines *);

/* deadline is not in the heap. */
void deadlines_add(struct deadlines *, struct deadline *, uint64_t at_us);

/* Nothing happens when it is not in the heap. */
void deadlines_remove(struct deadlines *, struct deadline *);

/* The soonest, borrowed; NULL for none. */
struct deadline *deadlines_first(const struct deadlines *);

#endif
