#ifndef LOOM_DECIDE_MIX_H
#define LOOM_DECIDE_MIX_H

/*
 * Finalizers of 64-bit hash functions: each bit of the result depends on all
 * bits of the argument. Both are bijections, so that distinct ids never tie.
 * All daemons of a fleet must compute the same results, so neither function may
 * change.
 */

#include <stdint.h>

/* The finalizer of MurmurHash3. */
static inline uint64_t
mix_murmur3(uint64_t x)
{
	x ^= x >> 33;
	x *= UINT64_C(0xff51afd7ed558ccd);
	x ^= x >> 33;
	x *= UINT64_C(0xc4ceb9fe1a85ec53);
	return x ^ x >> 33;
}

/* The finalizer of splitmix64. */
static inline uint64_t
mix_splitmix64(uint64_t x)
{
	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}

#endif
