#ifndef LOOM_DAEMON_WORK_H
#define LOOM_DAEMON_WORK_H

/*
 * What the executor knows about the work at its upstream: the costs of the
 * classes of calls and what the upstream reports about its load.
 */

#include "daemon/call.h"

/* Reads the load report in the answer to the call's leg, if there is one. */
void work_read_report(struct call *);

/*
 * Whether the upstream of this host reports its pace and use_load_reports is
 * set.  Decisions by work instead of by the number of calls are made only then.
 * Any thread.
 */
bool work_is_known(const struct loom_daemon *);

/* Whether the upstream last reported a free slot and no queue.  Any thread. */
bool work_has_room(const struct loom_daemon *);

/* A call released its slot; ok: it was answered without an error. */
void work_note_run(
    const struct call *, uint64_t slot_us, uint64_t own_us, bool ok);

/* Mean slot time of the call's route, relative to that of all calls here; 1 if
 * nothing is known. */
double work_relative_cost(const struct call *);

#endif
