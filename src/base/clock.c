/*
 * The clocks of the machine and the system's source of randomness.
 */

#include <sodium.h>
#include <time.h>

#include "loom/clock.h"

#define NS_PER_S UINT64_C(1000000000)
#define NS_PER_US UINT64_C(1000)

static uint64_t
read_ns(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

/*
 * CLOCK_BOOTTIME and not CLOCK_MONOTONIC: a lease must also run out while a
 * machine is suspended, or a daemon would wake with rights that others have
 * already taken over.
 */
uint64_t
loom_now_us(void)
{
	return read_ns(CLOCK_BOOTTIME) / NS_PER_US;
}

uint64_t
loom_wall_ns(void)
{
	return read_ns(CLOCK_REALTIME);
}

static uint64_t
system_next(void *arg)
{
	uint64_t value;

	(void)arg;
	randombytes_buf(&value, sizeof(value));
	return value;
}

const struct loom_random loom_random_system = { .next = system_next };

uint64_t
loom_random_below(const struct loom_random *random, uint64_t bound)
{
	if (bound == 0)
		return 0;
	return random->next(random->arg) % bound;
}

double
loom_random_unit(const struct loom_random *random)
{
	return (double)(random->next(random->arg) >> 11) * 0x1p-53;
}
