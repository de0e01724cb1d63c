#ifndef LOOM_DAEMON_PROCESSOR_H
#define LOOM_DAEMON_PROCESSOR_H

/*
 * What on-call engineers see of a daemon's processor time: counters of it, the
 * time a call takes, and a line in the log when the event loops are late and
 * when they are in time again.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/counter.h"

struct loom_daemon;

/* The main thread's own. */
struct processor {
	struct loom_counter *used; /* borrowed, like all counters */
	struct loom_counter *workers_used;
	struct loom_counter *a_call; /* gauge */
	struct loom_counter *delay; /* gauge */
	uint64_t used_us; /* at the last report */
	uint64_t workers_us;
	int64_t calls;
	uint64_t lag_us; /* the longest since then */
	uint64_t reported_us;
	bool late;
};

void processor_init(struct processor *);

/* How late the latest worker's loop is now. */
void processor_note_lag(struct processor *, uint64_t lag_us);

/* To be called now and then by the main thread. */
void processor_report(struct loom_daemon *, uint64_t now_us);

#endif
