/*
 * The daemon on a machine whose time of day is set: SIGUSR1 sets it back,
 * SIGUSR2 ahead, by CLOCK_STEP_S each.  It defines the C library's functions
 * that read the time of day, so the libraries use them as well.
 */

#include <signal.h>
#include <stdatomic.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "loom/daemon.h"

/* Longer than any test waits. */
#define CLOCK_STEP_S 600

static atomic_long offset_s;

int
clock_gettime(clockid_t clock, struct timespec *ts)
{
	long result = syscall(SYS_clock_gettime, clock, ts);

	if (result == 0 && clock == CLOCK_REALTIME)
		ts->tv_sec += atomic_load(&offset_s);
	return (int)result;
}

int
gettimeofday(struct timeval *restrict tv, void *restrict zone)
{
	struct timespec ts;

	(void)zone;
	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

static void
on_signal(int signo)
{
	atomic_fetch_add(
	    &offset_s, signo == SIGUSR2 ? CLOCK_STEP_S : -CLOCK_STEP_S);
}

int
main(int argc, char **argv)
{
	static const struct loom_daemon_kind kind = {
		.program = "loomd-clock",
		.log_fd = STDERR_FILENO,
		.dialect = &loom_dialect_own,
		.source = &loom_platform_values,
	};

	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	return loom_daemon_main(argc, argv, &kind);
}
