#ifndef LOOM_DECIDE_INTEGER_H
#define LOOM_DECIDE_INTEGER_H

/*
 * Arithmetic on unsigned amounts that must not wrap.
 */

#include <stdint.h>

static inline uint64_t
min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static inline uint64_t
max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/* a - b, and 0 where b is more. */
static inline uint64_t
less(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

#endif
