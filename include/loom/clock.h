#ifndef LOOM_CLOCK_H
#define LOOM_CLOCK_H

/*
 * Time and chance come in through tables of functions, so that everything
 * that decides can be run on a fake clock with a fixed seed.  Decision code
 * takes now_us as an argument; only programs hold a clock.
 */

#include <stddef.h>
#include <stdint.h>

#define LOOM_US_PER_MS UINT64_C(1000)
#define LOOM_US_PER_S UINT64_C(1000000)

/* Monotonic time in microseconds; it never goes back, but it may jump
 * forward when the process was paused. */
uint64_t loom_now_us(void);

/* Wall clock in nanoseconds since 1970, for spans and logs only. */
uint64_t loom_wall_ns(void);

struct loom_random {
	uint64_t (*next)(void *arg); /* uniform over all 64 bits */
	void *arg; /* borrowed */
};

/* The kernel's randomness (libsodium), fit for ids that must not be guessed;
 * safe from any thread.  For many short draws: keys come from libsodium. */
void loom_random_bytes(void *buf, size_t len);
extern const struct loom_random loom_random_system;

/* Uniform in [0, bound); 0 for a bound of 0. */
uint64_t loom_random_below(const struct loom_random *, uint64_t bound);

/* Uniform in [0, 1). */
double loom_random_unit(const struct loom_random *);

#endif
