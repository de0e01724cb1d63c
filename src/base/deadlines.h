#ifndef LOOM_BASE_DEADLINES_H
#define LOOM_BASE_DEADLINES_H

/*
 * A priority queue of deadlines, earliest first, as a binary heap.
 *
 * tevent keeps its timers in a sorted list and walks past all later ones at
 * each insertion.  With a thousand concurrent requests that have different
 * deadlines, each insertion would cost time proportional to their number.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A deadline; embedded in its owner. */
struct deadline {
	uint64_t at_us;
	size_t index; /* in the heap, from 1; 0: not in the heap */
};

/* A zero-initialized struct is an empty heap. */
struct deadlines {
	struct deadline **heap; /* owned; the deadlines are borrowed */
	size_t n;
	size_t capacity;
};

/* Free the heap; it is empty afterwards. */
void deadlines_clear(struct deadlines *);

/* Add a deadline that is not in the heap. */
void deadlines_add(struct deadlines *, struct deadline *, uint64_t at_us);

/* Remove a deadline; no effect if it is not in the heap. */
void deadlines_remove(struct deadlines *, struct deadline *);

/* The earliest deadline, borrowed; NULL if the heap is empty. */
struct deadline *deadlines_first(const struct deadlines *);

#endif
