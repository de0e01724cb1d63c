/*
 * Judging by the witnesses.
 *
 * Each condition keeps an innocent call from blame: a witness that was last
 * seen long before its end may have ended at any time since, as in a paused
 * daemon; one that ended long before the call says nothing of it; and two of
 * the same age may share an idle timeout.
 */

#include "decide/gone.h"

static uint64_t
between(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

static bool
ended_now(const struct gone_witness *witness, uint64_t now_us)
{
	return witness->ended &&
	    between(witness->seen_us, witness->ended_us) <= GONE_TOGETHER_US &&
	    between(witness->ended_us, now_us) <= GONE_TOGETHER_US;
}

bool
gone_with(const struct gone_witness witnesses[GONE_WITNESSES], uint64_t now_us)
{
	return ended_now(&witnesses[0], now_us) &&
	    ended_now(&witnesses[1], now_us) &&
	    between(witnesses[0].opened_us, witnesses[1].opened_us) >=
	    GONE_APART_US;
}

bool
gone_may_open(uint64_t other_opened_us, uint64_t now_us)
{
	return other_opened_us == 0 ||
	    now_us >= other_opened_us + GONE_APART_US;
}
