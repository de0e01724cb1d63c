/*
 * A binary heap of deadlines; each knows its place, so that one that is no
 * longer waited for is taken out without a search.
 */

#include <glib.h>

#include "http/deadlines.h"

#define CAPACITY_MIN 64

static void
put(struct deadlines *deadlines, struct deadline *deadline, size_t place)
{
	deadlines->heap[place - 1] = deadline;
	deadline->place = place;
}

static struct deadline *
at(const struct deadlines *deadlines, size_t place)
{
	return deadlines->heap[place - 1];
}

static void
move_up(struct deadlines *deadlines, struct deadline *deadline, size_t place)
{
	while (place > 1 && at(deadlines, place / 2)->at_us > deadline->at_us) {
		put(deadlines, at(deadlines, place / 2), place);
		place /= 2;
	}
	put(deadlines, deadline, place);
}

static void
move_down(struct deadlines *deadlines, struct deadline *deadline, size_t place)
{
	size_t child;

	while ((child = 2 * place) <= deadlines->n) {
		if (child < deadlines->n &&
		    at(deadlines, child + 1)->at_us <
			at(deadlines, child)->at_us)
			child++;
		if (at(deadlines, child)->at_us >= deadline->at_us)
			break;
		put(deadlines, at(deadlines, child), place);
		place = child;
	}
	put(deadlines, deadline, place);
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
	move_up(deadlines, deadline, deadlines->n);
}

void
deadlines_remove(struct deadlines *deadlines, struct deadline *deadline)
{
	const size_t place = deadline->place;
	struct deadline *last;

	if (place == 0)
		return;
	deadline->place = 0;
	last = at(deadlines, deadlines->n);
	deadlines->n--;
	if (last == deadline)
		return;
	if (place > 1 && at(deadlines, place / 2)->at_us > last->at_us)
		move_up(deadlines, last, place);
	else
		move_down(deadlines, last, place);
}

struct deadline *
deadlines_first(const struct deadlines *deadlines)
{
	return deadlines->n == 0 ? NULL : at(deadlines, 1);
}
