/*
 * Computes the utilization of an event loop from the time that it spends
 * waiting for events.
 *
 * This detects a daemon that is saturated while its upstream is not, which
 * happens with many very short calls. Nothing else shows it: slots stay free,
 * and requests queue in the kernel. CPU time would not show it either: a host
 * that has used up its CPU quota does not run the process at all, although the
 * loop has work.
 */

#include <glib.h>

#include "daemon/loop_utilization.h"
#include "loom/clock.h"

/* Records the end of a wait, and pauses the loop if that is due. */
static void
end_wait(
    struct loop_utilization *utilization, uint64_t since_us, uint64_t now_us)
{
	const uint64_t wait_us = since_us == 0 ? 0 : now_us - since_us;

	atomic_fetch_add(&utilization->total_wait_us, wait_us);
	if (!loom_loop_pause_due(&utilization->pause, wait_us, now_us))
		return;
	g_usleep(LOOM_LOOP_PAUSE_US);
	loom_loop_pause_init(&utilization->pause, loom_now_us());
	atomic_fetch_add(&utilization->total_wait_us,
	    utilization->pause.window_start_us - now_us);
}

static void
on_trace_point(enum tevent_trace_point point, void *arg)
{
	struct loop_utilization *utilization = arg;

	if (point == TEVENT_TRACE_BEFORE_WAIT) {
		atomic_store(&utilization->wait_start_us, loom_now_us());
	} else if (point == TEVENT_TRACE_AFTER_WAIT) {
		end_wait(utilization,
		    atomic_exchange(&utilization->wait_start_us, 0),
		    loom_now_us());
	}
}

void
loop_utilization_start(struct loop_utilization *utilization,
    struct tevent_context *ev, uint64_t now_us)
{
	utilization->last_read_us = now_us;
	loom_loop_pause_init(&utilization->pause, now_us);
	tevent_set_trace_callback(ev, on_trace_point, utilization);
}

double
loop_utilization_read(struct loop_utilization *utilization, uint64_t now_us)
{
	uint64_t since_us = atomic_load(&utilization->wait_start_us);
	uint64_t total_wait_us = atomic_load(&utilization->total_wait_us);
	double waited, gap = (double)(now_us - utilization->last_read_us);

	if (since_us != 0 && since_us < now_us)
		total_wait_us += now_us - since_us;
	waited = (double)total_wait_us - (double)utilization->last_read_wait_us;
	utilization->last_read_us = now_us;
	utilization->last_read_wait_us = total_wait_us;
	return gap > 0 ? CLAMP(1.0 - waited / gap, 0, 1) : 0;
}
