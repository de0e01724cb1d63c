#ifndef LOOM_DECIDE_MIX_H
#define LOOM_DECIDE_MIX_H

/*
 * Finalizers of 64-bit hashes: each bit of the result depends on all of the
 * argument, and both are bijections, so that two ids never tie.  Daemons of
 * one fleet must agree on the results; neither may change.
 */

#include <stdint.h>

/* That of MurmurHash3. */
static inline uint64_t
mix_murmur(uint64_t x)
{
	x ^= x >> 33;
	x *= UINT64_C(0xff51afd7ed558ccd);
	x ^= x >> 33;
	x *= UINT64_C(0xc4ceb9fe1a85ec53);
	return x ^ x >> 33;
}

/* That of splitmix64. */
static inline uint64_t
mix_split(uint64_t x)
{
	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}

#endif
