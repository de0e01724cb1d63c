/*
 * Processor time by the kernel's clocks of the process and of its workers.
 */

#include <pthread.h>
#include <time.h>

#include "daemon/processor.h"
#include "daemon/worker.h"
#include "loom/event.h"

/* A loop whose host stands still for the rest of a tenth of a second is late
 * by less than this. */
#define LATE_US (100 * LOOM_US_PER_MS)
/* Hysteresis keeps one long overload from a line for each of its lulls. */
#define IN_TIME_US (30 * LOOM_US_PER_MS)

void
processor_init(struct processor *processor)
{
	*processor = (struct processor){
		.used = loom_counter("loom_processor_microseconds_total",
		    "threads=\"all\"", "Processor time used."),
		.workers_used =
		    loom_counter("loom_processor_microseconds_total",
			"threads=\"workers\"", "Processor time used."),
		.a_call = loom_gauge("loom_processor_microseconds_a_call", NULL,
		    "Of all threads, for each call lately."),
		.delay = loom_gauge("loom_loop_delay_microseconds", NULL,
		    "What an event waited for the latest worker lately."),
	};
}

void
processor_note_lag(struct processor *processor, uint64_t lag_us)
{
	processor->lag_us = MAX(processor->lag_us, lag_us);
}

static uint64_t
clock_us(clockid_t clock)
{
	struct timespec now;

	if (clock_gettime(clock, &now) != 0)
		return 0;
	return (uint64_t)now.tv_sec * LOOM_US_PER_S +
	    (uint64_t)now.tv_nsec / 1000;
}

static uint64_t
workers_us(const struct loom_daemon *daemon)
{
	uint64_t used_us = 0;
	uint32_t i;

	for (i = 0; i < daemon->nworkers; i++) {
		if (atomic_load(&daemon->workers[i]->has_clock))
			used_us += clock_us(daemon->workers[i]->clock);
	}
	return used_us;
}

/* Each stage of a call at this daemon is one. */
static int64_t
calls_of(const struct daemon_counters *counters)
{
	return loom_counter_value(counters->requests) +
	    loom_counter_value(counters->deeper) +
	    loom_counter_value(counters->executed);
}

static bool
is_late(const struct processor *processor)
{
	return processor->lag_us >= (processor->late ? IN_TIME_US : LATE_US);
}

static void
report_change(const struct processor *processor, uint64_t used_us,
    int64_t calls, uint64_t gap_us)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", processor->late ? "late" : "in time"),
		LOOM_F_INT("delay_ms", processor->lag_us / LOOM_US_PER_MS),
		LOOM_F_REAL("cores",
		    gap_us == 0 ? 0 : (double)used_us / (double)gap_us),
		LOOM_F_INT("calls", calls),
		LOOM_F_INT("call_us", calls == 0 ? 0 : used_us / calls),
		LOOM_F_END,
	};

	if (loom_event_admit(NULL, loom_now_us()))
		loom_event_write(LOOM_EVENT_PROCESSOR, fields);
}

void
processor_report(struct loom_daemon *daemon, uint64_t now_us)
{
	struct processor *processor = &daemon->processor;
	const uint64_t all_us = clock_us(CLOCK_PROCESS_CPUTIME_ID);
	const uint64_t threads_us = workers_us(daemon);
	const uint64_t used_us = all_us - processor->used_us;
	const int64_t all_calls = calls_of(&daemon->counters);
	const int64_t calls = all_calls - processor->calls;
	const bool late = is_late(processor);

	loom_counter_add(processor->used, (int64_t)used_us);
	loom_counter_add(processor->workers_used,
	    (int64_t)(threads_us - processor->workers_us));
	if (calls > 0)
		loom_gauge_set(processor->a_call, (int64_t)used_us / calls);
	loom_gauge_set(processor->delay, (int64_t)processor->lag_us);
	if (late != processor->late) {
		processor->late = late;
		report_change(
		    processor, used_us, calls, now_us - processor->reported_us);
	}
	processor->used_us = all_us;
	processor->workers_us = threads_us;
	processor->calls = all_calls;
	processor->lag_us = 0;
	processor->reported_us = now_us;
}
