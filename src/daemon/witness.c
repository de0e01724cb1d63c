/*
 * Opens the witnesses and checks whether they are still open.
 */

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/witness.h"
#include "decide/crash_check.h"
#include "loom/clock.h"
#include "loom/timer.h"

struct witnesses {
	struct loom_timers *timers; /* owned */
	struct sockaddr_in upstream;
	GMutex lock; /* guards the members below */
	int fds[CRASH_WITNESS_COUNT]; /* owned; -1: none */
	uint64_t opened_us[CRASH_WITNESS_COUNT];
	/* last seen open; 0 until connected */
	uint64_t last_open_us[CRASH_WITNESS_COUNT];
	struct crash_witness ended[CRASH_WITNESS_COUNT];
};

static void
close_witness(struct witnesses *witnesses, size_t i)
{
	close(witnesses->fds[i]);
	witnesses->fds[i] = -1;
}

/*
 * Closes a witness whose connection has ended. The end is recorded only if the
 * connection had been established.
 */
static void
record_end(struct witnesses *witnesses, size_t i, uint64_t now_us)
{
	if (witnesses->last_open_us[i] != 0)
		witnesses->ended[i] = (struct crash_witness){
			.ended = true,
			.opened_us = witnesses->opened_us[i],
			.last_open_us = witnesses->last_open_us[i],
			.ended_us = now_us,
		};
	close_witness(witnesses, i);
}

/*
 * Data on a witness comes from an upstream that closes idle connections with an
 * answer (408). It is alive, so the witness is closed without recording an end.
 */
static void
check_witness(struct witnesses *witnesses, size_t i, uint64_t now_us)
{
	ssize_t got;
	char byte;

	if (witnesses->fds[i] < 0)
		return;
	got = recv(witnesses->fds[i], &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (got > 0)
		close_witness(witnesses, i);
	else if (got < 0 && (errno == EAGAIN || errno == EINTR))
		witnesses->last_open_us[i] = now_us;
	else
		record_end(witnesses, i, now_us);
}

static void
open_witness(struct witnesses *witnesses, size_t i, uint64_t now_us)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return;
	if (connect(fd, (struct sockaddr *)&witnesses->upstream,
		sizeof(witnesses->upstream)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return;
	}
	witnesses->fds[i] = fd;
	witnesses->opened_us[i] = now_us;
	witnesses->last_open_us[i] = 0;
}

/* Opens the missing witnesses, but not both at the same time. */
static void
open_missing(struct witnesses *witnesses, uint64_t now_us)
{
	size_t i, other;

	for (i = 0; i < CRASH_WITNESS_COUNT; i++) {
		other = CRASH_WITNESS_COUNT - 1 - i;
		if (witnesses->fds[i] < 0 &&
		    crash_check_may_open_witness(witnesses->fds[other] < 0
			    ? 0
			    : witnesses->opened_us[other],
			now_us))
			open_witness(witnesses, i, now_us);
	}
}

static void
check_witnesses(struct witnesses *witnesses, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < CRASH_WITNESS_COUNT; i++)
		check_witness(witnesses, i, now_us);
}

static void
on_check_timer(void *arg)
{
	struct witnesses *witnesses = arg;
	uint64_t now_us = loom_now_us();

	g_mutex_lock(&witnesses->lock);
	check_witnesses(witnesses, now_us);
	open_missing(witnesses, now_us);
	g_mutex_unlock(&witnesses->lock);
	loom_timer_add(witnesses->timers, witnesses, CRASH_WITNESS_POLL_US,
	    on_check_timer, witnesses);
}

static int
witnesses_destructor(struct witnesses *witnesses)
{
	size_t i;

	for (i = 0; i < CRASH_WITNESS_COUNT; i++) {
		if (witnesses->fds[i] >= 0)
			close_witness(witnesses, i);
	}
	g_mutex_clear(&witnesses->lock);
	return 0;
}

struct witnesses *
witnesses_new(TALLOC_CTX *ctx, struct tevent_context *ev,
    const struct sockaddr_in *upstream)
{
	struct witnesses *witnesses = talloc_zero(ctx, struct witnesses);
	size_t i;

	if (witnesses == NULL)
		return NULL;
	witnesses->timers = loom_timers_new(witnesses, ev);
	if (witnesses->timers == NULL) {
		talloc_free(witnesses);
		return NULL;
	}
	witnesses->upstream = *upstream;
	g_mutex_init(&witnesses->lock);
	for (i = 0; i < CRASH_WITNESS_COUNT; i++)
		witnesses->fds[i] = -1;
	talloc_set_destructor(witnesses, witnesses_destructor);
	on_check_timer(witnesses);
	return witnesses;
}

bool
witnesses_detect_crash(struct witnesses *witnesses, uint64_t now_us)
{
	bool gone;

	g_mutex_lock(&witnesses->lock);
	check_witnesses(witnesses, now_us);
	gone = crash_check_upstream_gone(witnesses->ended, now_us);
	g_mutex_unlock(&witnesses->lock);
	return gone;
}
