/*
 * Reads the CPU time of the process and of its worker threads from the kernel's
 * CPU clocks.
 */

#include <pthread.h>
#include <time.h>

#include "daemon/cpu_usage.h"
#include "daemon/worker.h"
#include "loom/event.h"

/*
 * Delay from which a loop is reported as delayed. A host that has used up its
 * CPU quota stands still for the rest of a period of 100 ms, which delays the
 * loop by less than this.
 */
#define DELAY_HIGH_US (100 * LOOM_US_PER_MS)
/*
 * Delay below which it is reported as recovered. The hysteresis avoids an event
 * for each short dip during one long overload.
 */
#define DELAY_LOW_US (30 * LOOM_US_PER_MS)

void
cpu_usage_init(struct cpu_usage *cpu_usage)
{
	*cpu_usage = (struct cpu_usage){
		.process_total =
		    loom_counter("loom_processor_microseconds_total",
			"threads=\"all\"", "Processor time used."),
		.workers_total =
		    loom_counter("loom_processor_microseconds_total",
			"threads=\"workers\"", "Processor time used."),
		.per_call = loom_gauge("loom_processor_microseconds_a_call",
		    NULL, "Of all threads, for each call lately."),
		.loop_delay = loom_gauge("loom_loop_delay_microseconds", NULL,
		    "What an event waited for the latest worker lately."),
	};
}

void
cpu_usage_record_delay(struct cpu_usage *cpu_usage, uint64_t delay_us)
{
	cpu_usage->max_delay_us = MAX(cpu_usage->max_delay_us, delay_us);
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
workers_cpu_us(const struct loom_daemon *daemon)
{
	uint64_t used_us = 0;
	uint32_t i;

	for (i = 0; i < daemon->nworkers; i++) {
		if (atomic_load(&daemon->workers[i]->has_cpu_clock))
			used_us += clock_us(daemon->workers[i]->cpu_clock);
	}
	return used_us;
}

/*
 * Returns the number of calls so far. A call that this daemon handles as both
 * entry and executor counts twice.
 */
static int64_t
count_calls(const struct daemon_counters *counters)
{
	return loom_counter_value(counters->requests) +
	    loom_counter_value(counters->nested) +
	    loom_counter_value(counters->executed);
}

static bool
is_delayed(const struct cpu_usage *cpu_usage)
{
	return cpu_usage->max_delay_us >=
	    (cpu_usage->is_delayed ? DELAY_LOW_US : DELAY_HIGH_US);
}

static void
report_delay_change(const struct cpu_usage *cpu_usage, uint64_t used_us,
    int64_t calls, uint64_t gap_us)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", cpu_usage->is_delayed ? "late" : "in time"),
		LOOM_F_INT(
		    "delay_ms", cpu_usage->max_delay_us / LOOM_US_PER_MS),
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
cpu_usage_report(struct loom_daemon *daemon, uint64_t now_us)
{
	struct cpu_usage *cpu_usage = &daemon->cpu_usage;
	const uint64_t all_us = clock_us(CLOCK_PROCESS_CPUTIME_ID);
	const uint64_t threads_us = workers_cpu_us(daemon);
	const uint64_t used_us = all_us - cpu_usage->last_used_us;
	const int64_t all_calls = count_calls(&daemon->counters);
	const int64_t calls = all_calls - cpu_usage->last_calls;
	const bool delayed = is_delayed(cpu_usage);

	loom_counter_add(cpu_usage->process_total, (int64_t)used_us);
	loom_counter_add(cpu_usage->workers_total,
	    (int64_t)(threads_us - cpu_usage->last_workers_us));
	if (calls > 0)
		loom_gauge_set(cpu_usage->per_call, (int64_t)used_us / calls);
	loom_gauge_set(cpu_usage->loop_delay, (int64_t)cpu_usage->max_delay_us);
	if (delayed != cpu_usage->is_delayed) {
		cpu_usage->is_delayed = delayed;
		report_delay_change(cpu_usage, used_us, calls,
		    now_us - cpu_usage->last_report_us);
	}
	cpu_usage->last_used_us = all_us;
	cpu_usage->last_workers_us = threads_us;
	cpu_usage->last_calls = all_calls;
	cpu_usage->max_delay_us = 0;
	cpu_usage->last_report_us = now_us;
}
