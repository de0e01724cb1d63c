/*
 * The least free capacity since any time, from a few suffix minima.
 *
 * A note that is lower than earlier ones replaces them, so that the minima
 * increase with time. A note that is a little higher is merged with the one
 * before it, as the lower of the two at the later of both times: what is
 * reported is never more than the truth, and for a bucket that was not nearly
 * full it is at least two thirds of it.
 */

#include <stdbool.h>
#include <string.h>

#include "decide/headroom.h"
#include "decide/integer.h"

/* Notes closer than a factor of MERGE_NUMERATOR / MERGE_DENOMINATOR merge. */
#define MERGE_NUMERATOR 3
#define MERGE_DENOMINATOR 2

uint64_t
loom_headroom_stamp(struct loom_headroom *headroom, uint64_t now_us)
{
	headroom->last_us = max_u64(now_us, headroom->last_us + 1);
	return headroom->last_us;
}

static bool
is_close(uint64_t lower, uint64_t higher)
{
	return higher - lower <
	    lower / MERGE_DENOMINATOR * (MERGE_NUMERATOR - MERGE_DENOMINATOR);
}

static void
merge_oldest(struct loom_headroom *headroom)
{
	struct loom_headroom_minimum *minima = headroom->minima;

	minima[1].utok = minima[0].utok;
	headroom->n--;
	memmove(&minima[0], &minima[1], headroom->n * sizeof(minima[0]));
}

void
loom_headroom_note(
    struct loom_headroom *headroom, uint64_t utok, uint64_t now_us)
{
	struct loom_headroom_minimum *minima = headroom->minima;
	uint64_t at_us = loom_headroom_stamp(headroom, now_us);

	if (headroom->first_us == 0)
		headroom->first_us = at_us;
	while (headroom->n > 0 && minima[headroom->n - 1].utok >= utok)
		headroom->n--;
	if (headroom->n > 0 && is_close(minima[headroom->n - 1].utok, utok)) {
		minima[headroom->n - 1].at_us = at_us;
		return;
	}
	if (headroom->n == LOOM_HEADROOM_MINIMA)
		merge_oldest(headroom);
	minima[headroom->n++] = (struct loom_headroom_minimum){
		.at_us = at_us,
		.utok = utok,
	};
}

/* The index of the first minimum after a stamp; headroom->n for none. */
static uint32_t
first_since(const struct loom_headroom *headroom, uint64_t stamp_us)
{
	uint32_t i = headroom->n;

	while (i > 0 && headroom->minima[i - 1].at_us > stamp_us)
		i--;
	return i;
}

uint64_t
loom_headroom_since(const struct loom_headroom *headroom, uint64_t stamp_us)
{
	uint32_t i = first_since(headroom, stamp_us);

	if (headroom->first_us == 0 || stamp_us < headroom->first_us)
		return 0;
	return i == headroom->n ? UINT64_MAX : headroom->minima[i].utok;
}

void
loom_headroom_occupy(
    struct loom_headroom *headroom, uint64_t stamp_us, uint64_t utok)
{
	uint32_t i, first = first_since(headroom, stamp_us);
	struct loom_headroom_minimum *minima = headroom->minima;

	for (i = first; i < headroom->n; i++)
		minima[i].utok = saturating_sub(minima[i].utok, utok);
	if (first == headroom->n)
		return;
	for (i = 0; i < first; i++)
		minima[i].utok = min_u64(minima[i].utok, minima[first].utok);
}
