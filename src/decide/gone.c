/*
 * Crash detection from the witness connections.
 *
 * Each condition avoids blaming an innocent call. A witness that was last seen
 * open long before it was found closed may have closed at any time in between,
 * for example while the daemon was paused. One that closed long before the call
 * broke says nothing about the call. Two witnesses of the same age may have
 * reached the same idle timeout of the upstream.
 */

#include "decide/gone.h"

static uint64_t
time_difference(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

static bool
ended_recently(const struct gone_witness *witness, uint64_t now_us)
{
	return witness->ended &&
	    time_difference(witness->seen_us, witness->ended_us) <=
	    GONE_TOGETHER_US &&
	    time_difference(witness->ended_us, now_us) <= GONE_TOGETHER_US;
}

bool
gone_with(const struct gone_witness witnesses[GONE_WITNESSES], uint64_t now_us)
{
	return ended_recently(&witnesses[0], now_us) &&
	    ended_recently(&witnesses[1], now_us) &&
	    time_difference(witnesses[0].opened_us, witnesses[1].opened_us) >=
	    GONE_APART_US;
}

bool
gone_may_open(uint64_t other_opened_us, uint64_t now_us)
{
	return other_opened_us == 0 ||
	    now_us >= other_opened_us + GONE_APART_US;
}
