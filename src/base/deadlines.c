/*
 * A binary heap of deadlines.  Each deadline stores its index, so that it can
 * be removed without a search.
 */

#include <glib.h>

#include "base/deadlines.h"

#define CAPACITY_MIN 64

static void
heap_set(struct deadlines *deadlines, struct deadline *deadline, size_t index)
{
	deadlines->heap[index - 1] = deadline;
	deadline->index = index;
}

static struct deadline *
heap_get(const struct deadlines *deadlines, size_t index)
{
	return deadlines->heap[index - 1];
}

static void
sift_up(struct deadlines *deadlines, struct deadline *deadline, size_t index)
{
	while (index > 1 &&
	    heap_get(deadlines, index / 2)->at_us > deadline->at_us) {
		heap_set(deadlines, heap_get(deadlines, index / 2), index);
		index /= 2;
	}
	heap_set(deadlines, deadline, index);
}

static void
sift_down(struct deadlines *deadlines, struct deadline *deadline, size_t index)
{
	size_t child;

	while ((child = 2 * index) <= deadlines->n) {
		if (child < deadlines->n &&
		    heap_get(deadlines, child + 1)->at_us <
			heap_get(deadlines, child)->at_us)
			child++;
		if (heap_get(deadlines, child)->at_us >= deadline->at_us)
			break;
		heap_set(deadlines, heap_get(deadlines, child), index);
		index = child;
	}
	heap_set(deadlines, deadline, index);
}

void
deadlines_clear(struct deadlines *deadlines)
{
	g_free(deadlines->heap);
	*deadlines = (struct deadlines){ 0 };
}

void
deadlines_add(
    struct deadlines *deadlines, struct deadline *deadline, uint64_t at_us)
{
	if (deadlines->n == deadlines->capacity) {
		deadlines->capacity =
		    MAX(2 * deadlines->capacity, CAPACITY_MIN);
		deadlines->heap = g_renew(
		    struct deadline *, deadlines->heap, deadlines->capacity);
	}
	deadline->at_us = at_us;
	deadlines->n++;
	sift_up(deadlines, deadline, deadlines->n);
}

void
deadlines_remove(struct deadlines *deadlines, struct deadline *deadline)
{
	const size_t index = deadline->index;
	struct deadline *last;

	if (index == 0)
		return;
	deadline->index = 0;
	last = heap_get(deadlines, deadlines->n);
	deadlines->n--;
	if (last == deadline)
		return;
	if (index > 1 && heap_get(deadlines, index / 2)->at_us > last->at_us)
		sift_up(deadlines, last, index);
	else
		sift_down(deadlines, last, index);
}

struct deadline *
deadlines_first(const struct deadlines *deadlines)
{
	return deadlines->n == 0 ? NULL : heap_get(deadlines, 1);
}
