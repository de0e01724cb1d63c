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

/*
 * A loop that never waits, on a host with one core for all threads, kept the
 * thread that reads the platform from running for as long as the load lasted
 * (18 s: no new manifest, no loan of a rate, no answer to peers), and the one
 * that would have told entries to send less.  So it rests now and then, for
 * both together; a tenth of what it could do then is lost.  20 ms are two ticks
 * of admission; 2 ms let each of the other threads take a turn of its own.
 */
#define RUN_MAX_US (20 * LOOM_US_PER_MS)
#define REST_US (2 * LOOM_US_PER_MS)

static void
rest(struct busy *busy, uint64_t now_us)
{
	if (now_us - busy->rested_us < RUN_MAX_US)
		return;
	g_usleep(REST_US);
	busy->rested_us = loom_now_us();
	atomic_fetch_add(&busy->waited_us, busy->rested_us - now_us);
}

static void
note_wait(struct busy *busy, uint64_t since_us, uint64_t now_us)
{
	if (since_us == 0)
		return;
	atomic_fetch_add(&busy->waited_us, now_us - since_us);
	if (now_us - since_us >= REST_US)
		busy->rested_us = now_us;
	else
		rest(busy, now_us);
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
	busy->rested_us = now_us;
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
