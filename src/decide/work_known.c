/*
 * Whether decisions are made by work.
 */

#include <glib.h>

#include "decide/work_known.h"
#include "loom/clock.h"

/*
 * From this dispersion on, the call that holds a slot when another arrives is
 * expected to cost twice the mean call, or more.
 */
#define UNEVEN_DISPERSION 2.0

/* A reason holds on over pauses of the load and over restarts of daemons. */
#define HOLD_US (10 * LOOM_US_PER_S)

static void
note_seen(struct work_known *known, uint64_t seen_us)
{
	known->seen_us = MAX(known->seen_us, seen_us);
}

void
work_known_note_pace(struct work_known *known, uint64_t now_us)
{
	note_seen(known, now_us);
}

void
work_known_note_dispersion(
    struct work_known *known, double dispersion, uint64_t now_us)
{
	if (dispersion >= UNEVEN_DISPERSION)
		note_seen(known, now_us);
}

void
work_known_note_peer(struct work_known *known, uint64_t age_us, uint64_t now_us)
{
	if (age_us < HOLD_US && age_us < now_us)
		note_seen(known, now_us - age_us);
}

bool
work_known_is(const struct work_known *known, uint64_t now_us)
{
	return known->seen_us != 0 && now_us < known->seen_us + HOLD_US;
}

uint32_t
work_known_age_ms(const struct work_known *known, uint64_t now_us)
{
	const uint64_t age_us = now_us - MIN(known->seen_us, now_us);

	return (uint32_t)MIN(
	    (age_us + LOOM_US_PER_MS - 1) / LOOM_US_PER_MS, UINT32_MAX);
}
