#ifndef LOOM_DECIDE_INTEGER_H
#define LOOM_DECIDE_INTEGER_H

/* Minimum, maximum and saturating subtraction of unsigned integers. */

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

/* a - b, or 0 if b is larger. */
static inline uint64_t
saturating_sub(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

#endif
