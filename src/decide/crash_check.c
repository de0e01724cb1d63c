/*
 * Crash detection from the witness connections.
 *
 * Each condition avoids blaming an innocent call. A witness that was last seen
 * open long before it was found closed may have closed at any time in between,
 * for example while the daemon was paused. One that closed long before the call
 * broke says nothing about the call. Two witnesses of the same age may have
 * reached the same idle timeout of the upstream.
 */

#include "decide/crash_check.h"

static uint64_t
time_difference(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

static bool
ended_recently(const struct crash_witness *witness, uint64_t now_us)
{
	return witness->ended &&
	    time_difference(witness->last_open_us, witness->ended_us) <=
	    CRASH_CHECK_WINDOW_US &&
	    time_difference(witness->ended_us, now_us) <= CRASH_CHECK_WINDOW_US;
}

bool
crash_check_upstream_gone(
    const struct crash_witness witnesses[CRASH_WITNESS_COUNT], uint64_t now_us)
{
	return ended_recently(&witnesses[0], now_us) &&
	    ended_recently(&witnesses[1], now_us) &&
	    time_difference(witnesses[0].opened_us, witnesses[1].opened_us) >=
	    CRASH_WITNESS_SPACING_US;
}

bool
crash_check_may_open_witness(uint64_t other_opened_us, uint64_t now_us)
{
	return other_opened_us == 0 ||
	    now_us >= other_opened_us + CRASH_WITNESS_SPACING_US;
}
