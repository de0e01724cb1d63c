#ifndef LOOM_DAEMON_CPU_USAGE_H
#define LOOM_DAEMON_CPU_USAGE_H

/*
 * Reports a daemon's CPU usage to operators: metrics of the CPU time in total
 * and per call, and an event in the log when the event loops become delayed and
 * when they have recovered.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/counter.h"

struct loom_daemon;

/* Used by the main thread only. */
struct cpu_usage {
	struct loom_counter *process_total; /* borrowed, like the others */
	struct loom_counter *workers_total;
	struct loom_counter *per_call; /* gauge */
	struct loom_counter *loop_delay; /* gauge */
	uint64_t last_used_us; /* at the last report, like the next two */
	uint64_t last_workers_us;
	int64_t last_calls;
	uint64_t max_delay_us; /* since the last report */
	uint64_t last_report_us;
	bool is_delayed; /* as last reported */
};

void cpu_usage_init(struct cpu_usage *);

/* Records the delay of the most delayed worker's event loop. */
void cpu_usage_record_delay(struct cpu_usage *, uint64_t delay_us);

/* Updates the metrics and logs a change. To be called periodically. */
void cpu_usage_report(struct loom_daemon *, uint64_t now_us);

#endif
