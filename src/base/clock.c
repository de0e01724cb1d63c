/*
 * System clocks and random numbers.
 */

#include <sodium.h>
#include <string.h>
#include <time.h>

#include "loom/clock.h"

#define NS_PER_S UINT64_C(1000000000)
#define NS_PER_US UINT64_C(1000)

static uint64_t
read_clock_ns(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

/*
 * CLOCK_BOOTTIME rather than CLOCK_MONOTONIC: a lease must also expire while
 * the machine is suspended.  Otherwise a daemon would resume with rights that
 * others have already taken over.
 */
uint64_t
loom_now_us(void)
{
	return read_clock_ns(CLOCK_BOOTTIME) / NS_PER_US;
}

uint64_t
loom_wall_ns(void)
{
	return read_clock_ns(CLOCK_REALTIME);
}

/*
 * A call draws six random numbers: ids, span ids and two candidate hosts.
 * Asking the kernel for each one was a quarter of the system calls of a call (6
 * of 25, counted at an entry daemon), so each thread reads random bytes in
 * blocks.  Bytes are wiped as they are handed out: none is used twice, and none
 * can be read from memory later.
 *
 * The block serves about 15 calls of 72 bytes each, so that a call costs less
 * than a tenth of a system call.
 */
#define RANDOM_POOL_BYTES 1024

struct random_pool {
	uint8_t bytes[RANDOM_POOL_BYTES];
	size_t remaining;
};

static _Thread_local struct random_pool random_pool;

void
loom_random_bytes(void *buf, size_t len)
{
	uint8_t *from;

	if (len > sizeof(random_pool.bytes)) {
		randombytes_buf(buf, len);
		return;
	}
	if (random_pool.remaining < len) {
		randombytes_buf(random_pool.bytes, sizeof(random_pool.bytes));
		random_pool.remaining = sizeof(random_pool.bytes);
	}
	random_pool.remaining -= len;
	from = random_pool.bytes + random_pool.remaining;
	memcpy(buf, from, len);
	sodium_memzero(from, len);
}

static uint64_t
system_random_next(void *arg)
{
	uint64_t value;

	(void)arg;
	loom_random_bytes(&value, sizeof(value));
	return value;
}

const struct loom_random loom_random_system = { .next = system_random_next };

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
