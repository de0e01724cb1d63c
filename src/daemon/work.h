#ifndef LOOM_DAEMON_WORK_H
#define LOOM_DAEMON_WORK_H

/*
 * What the executor knows about the work at its upstream: the costs of the
 * classes of calls, the work that is left of the calls that run and wait there,
 * and what the upstream reports about its load.
 */

#include "daemon/call.h"
#include "loom/work_report.h"

/* For metrics and the status page. */
struct work_state {
	uint64_t wait_us; /* expected, of the least important call */
	uint64_t mean_us; /* of a call in its slot, at the usual pace */
	double pace; /* time that work takes now, relative to the usual */
};

/* Reads the load report in the answer to the call's leg, if there is one. */
void work_read_report(struct call *);

/*
 * Whether decisions are made by work instead of by the number of calls: the
 * setting decide_by_work is set, and this daemon or one that it calls has
 * seen a reason to (decide/work_known.h).  Any thread.
 */
bool work_is_known(const struct loom_daemon *);

/* Takes over the reason that an executor reports in an answer whose leg took
 * leg_us. */
void work_note_peer(
    struct loom_daemon *, const struct loom_work_report *, uint64_t leg_us);

/* The call waits for a slot, has one, or has left the upstream or the queue;
 * each may be called in any stage.  Without decide_by_work they have no
 * effect. */
void work_call_waits(struct call *);
void work_call_runs(struct call *);
void work_call_ends(struct call *);

/* Whether the upstream has just reported a free slot and no queue.  Any thread.
 */
bool work_has_room(const struct loom_daemon *);

/* A call releases its slot; ok: it was answered without an error.  To be called
 * before work_call_ends(). */
void work_note_run(
    const struct call *, uint64_t slot_us, uint64_t own_us, bool ok);

/* Mean slot time of the call's route, relative to that of all calls here; 1 if
 * nothing is known. */
double work_relative_cost(const struct call *);

/* Expected wait for a slot of a call of this importance that comes now.  Any
 * thread. */
uint64_t work_wait_us(struct loom_daemon *, enum loom_importance);

/* Fills in what the answer to the call tells its entry about the work here;
 * returns false if nothing is known. */
bool work_report(const struct call *, struct loom_work_report *report);

/* Whether to hand a call of a peer back, since another host of its service is
 * expected to finish it clearly sooner.  To be called once for each call,
 * before it is offered to admission. */
/* Whether the call can still be sent to another host than this one. */
bool work_may_move(const struct call *);

bool work_is_better_elsewhere(const struct call *, uint64_t now_us);

/* Any thread. */
void work_state(struct loom_daemon *, struct work_state *state);

/* Sets the gauges.  Main thread. */
void work_report_gauges(struct loom_daemon *);

#endif
