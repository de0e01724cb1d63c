/*
 * The time that an event loop does not wait for events.
 *
 * Load pattern: calls so short and many that the daemon and not its upstream is
 * full.  Slots stay free then, the queue stands in the kernel, and nothing else
 * shows it.  Processor time would not: on a host whose share of a core is used
 * up the process stands still, which is time that it does not wait either.
 */

#include <glib.h>

#include "daemon/busy.h"
#include "loom/clock.h"

static void
note_wait(struct busy *busy, uint64_t since_us, uint64_t now_us)
{
	const uint64_t wait_us = since_us == 0 ? 0 : now_us - since_us;

	atomic_fetch_add(&busy->waited_us, wait_us);
	if (!loom_rest_due(&busy->rest, wait_us, now_us))
		return;
	g_usleep(LOOM_REST_US);
	loom_rest_init(&busy->rest, loom_now_us());
	atomic_fetch_add(&busy->waited_us, busy->rest.since_us - now_us);
}

static void
trace(enum tevent_trace_point point, void *arg)
{
	struct busy *busy = arg;

	if (point == TEVENT_TRACE_BEFORE_WAIT) {
		atomic_store(&busy->waits_since_us, loom_now_us());
	} else if (point == TEVENT_TRACE_AFTER_WAIT) {
		note_wait(busy, atomic_exchange(&busy->waits_since_us, 0),
		    loom_now_us());
	}
}

void
busy_watch(struct busy *busy, struct tevent_context *ev, uint64_t now_us)
{
	busy->read_us = now_us;
	loom_rest_init(&busy->rest, now_us);
	tevent_set_trace_callback(ev, trace, busy);
}

double
busy_read(struct busy *busy, uint64_t now_us)
{
	uint64_t since_us = atomic_load(&busy->waits_since_us);
	uint64_t waited_us = atomic_load(&busy->waited_us);
	double waited, gap = (double)(now_us - busy->read_us);

	if (since_us != 0 && since_us < now_us)
		waited_us += now_us - since_us;
	waited = (double)waited_us - (double)busy->read_waited_us;
	busy->read_us = now_us;
	busy->read_waited_us = waited_us;
	return gap > 0 ? CLAMP(1.0 - waited / gap, 0, 1) : 0;
}
