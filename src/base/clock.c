/*
 * The clocks of the machine and the system's source of randomness.
 */

#include <sodium.h>
#include <string.h>
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

/*
 * A call draws six numbers: ids, spans, two hosts to choose from.  Asking the
 * kernel for each is a quarter of the system calls of a call (6 of 25 counted
 * at an entry), so each thread asks for many bytes at once.  Bytes are wiped as
 * they are handed out: none is used twice, and none can be read again later.
 */
/* Some 15 calls of 72 bytes: less than a tenth of a system call for each. */
#define POOL_BYTES 1024

struct pool {
	uint8_t bytes[POOL_BYTES];
	size_t left;
};

static _Thread_local struct pool pool;

void
loom_random_bytes(void *buf, size_t len)
{
	uint8_t *from;

	if (len > sizeof(pool.bytes)) {
		randombytes_buf(buf, len);
		return;
	}
	if (pool.left < len) {
		randombytes_buf(pool.bytes, sizeof(pool.bytes));
		pool.left = sizeof(pool.bytes);
	}
	pool.left -= len;
	from = pool.bytes + pool.left;
	memcpy(buf, from, len);
	sodium_memzero(from, len);
}

static uint64_t
system_next(void *arg)
{
	uint64_t value;

	(void)arg;
	loom_random_bytes(&value, sizeof(value));
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
