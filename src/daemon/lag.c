/*
 * The delay of an event loop, by a probe that waits its turn among all else.
 *
 * Load pattern: a daemon out of processor time.  That its loop never waits says
 * that it is full, but not by how much: the same whether it is a hundredth or
 * the double over what it can do.
 */

#include <glib.h>

#include "daemon/lag.h"
#include "loom/clock.h"

static void
on_probe(void *arg)
{
	struct lag *lag = arg;
	uint64_t now_us = loom_now_us();
	uint64_t asked_us = atomic_load(&lag->asked_us);

	atomic_store(&lag->took_us, now_us - MIN(now_us, asked_us));
	atomic_store(&lag->asked_us, 0);
}

void
lag_probe(struct lag *lag, struct loom_mailbox *mailbox, uint64_t now_us)
{
	if (atomic_load(&lag->asked_us) != 0)
		return;
	atomic_store(&lag->asked_us, now_us);
	loom_mailbox_post(mailbox, on_probe, lag);
}

uint64_t
lag_read(struct lag *lag, uint64_t now_us)
{
	uint64_t asked_us = atomic_load(&lag->asked_us);
	uint64_t took_us = atomic_load(&lag->took_us);

	if (asked_us != 0 && asked_us < now_us)
		took_us = MAX(took_us, now_us - asked_us);
	return took_us;
}
