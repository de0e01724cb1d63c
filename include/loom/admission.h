#ifndef LOOM_ADMISSION_H
#define LOOM_ADMISSION_H

/*
 * What one upstream takes in, lets wait and turns away.  Joins the gate, the
 * limit, the queue and the thresholds of the teams.
 *
 * Thread-safe as a whole.  The gate and the samples are atomics.  All else is
 * under one lock, which the integrator owns and lends as a table of functions;
 * the module takes and releases it itself and never calls out while it holds
 * it.  A call that finds room while nobody waits takes no lock and no memory.
 *
 * Every offered call gets exactly one verdict: from the offer itself, or, when
 * QUEUED, in one list of a struct loom_moved filled by any later function, or
 * by a cancel that returns true.  Whoever gets a list (any thread) acts on all
 * of it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/limit.h"
#include "loom/queue.h"

struct loom_admission;

/* The integrator's lock; NULL functions when one thread is all there is. */
struct loom_admission_lock {
	void (*lock)(void *arg);
	void (*unlock)(void *arg);
	void *arg; /* borrowed */
};

struct loom_admission_settings {
	struct loom_limit_settings limit;
	uint32_t queue; /* calls that may wait; 0 counts as 1 */
	struct loom_admission_lock lock;
	struct loom_random random; /* for the spread of Retry-After */
};

enum loom_admit {
	LOOM_ADMITTED, /* forward it, then call loom_admission_done() */
	LOOM_QUEUED, /* a later move holds it */
	LOOM_REFUSED, /* see code and retry_after_us of the call */
};

enum loom_call_end {
	LOOM_CALL_OK, /* answered; any status that is not overload */
	LOOM_CALL_OVERLOAD, /* the upstream itself refused for overload */
	LOOM_CALL_FAILED, /* cut, cancelled, or no connection: not measured */
};

struct loom_call_result {
	enum loom_call_end end;
	uint64_t latency_us; /* from the first byte sent to the answer */
	uint64_t deeper_us; /* of it, spent on calls to deeper services */
};

struct loom_admission_state {
	uint32_t limit;
	uint32_t inside;
	uint32_t waiting;
	bool newest_first;
	double latency_us;
	double latency_ratio; /* to the floor */
};

/* Owned by ctx. */
struct loom_admission *loom_admission_new(
    void *ctx, const struct loom_admission_settings *, uint64_t now_us);

/* A new manifest: slots and queue. */
void loom_admission_set_slots(
    struct loom_admission *, uint32_t slots, uint32_t queue);

/* The upstream restarted: ramp again and forget the floor. */
void loom_admission_upstream_new(struct loom_admission *, uint64_t now_us);

/* The call w asks to run.  moved must be initialised; it may receive others
 * that w displaced.  Any thread. */
enum loom_admit loom_admission_offer(struct loom_admission *,
    struct loom_waiting *w, uint64_t now_us, struct loom_moved *moved);

/* Can a call that begins to run now end within its deadline, by the measured
 * pace of its class?  Any thread. */
bool loom_admission_fits(
    struct loom_admission *, const struct loom_waiting *, uint64_t now_us);

/* An admitted call ended; w->cut is set to what its answer must carry.  Any
 * thread. */
void loom_admission_done(struct loom_admission *, struct loom_waiting *w,
    const struct loom_call_result *, uint64_t now_us, struct loom_moved *moved);

/* The caller of a QUEUED call gave up.  True: it was taken out and is the
 * caller's again.  False: it has already moved, and whoever holds the list
 * acts on it.  Any thread. */
bool loom_admission_cancel(struct loom_admission *, struct loom_waiting *w);

/* To be called about every 10 ms by one thread: refuses what can no longer
 * be done in time, moves the limit and the thresholds. */
void loom_admission_tick(
    struct loom_admission *, uint64_t now_us, struct loom_moved *moved);

/*
 * How busy this process was lately, 0 to 1 of its thread's time.  A daemon out
 * of processor time is as full as an upstream out of slots: it counts as used
 * where that is more.  Any thread.
 */
void loom_admission_note_busy(struct loom_admission *, double busy);

/* How long the daemon takes to come to what is ready.  Any thread. */
void loom_admission_note_lag(struct loom_admission *, uint64_t lag_us);

/* Calls that run or wait, in thousandths of the limit, some milliseconds ago.
 * Any thread. */
uint32_t loom_admission_used(struct loom_admission *);

/* The part of what the fleet is offered that this upstream can carry
 * (loom/keep.h).  Any thread. */
double loom_admission_keep(struct loom_admission *);

/* The upstream's load report says that it is full: a hint (loom/limit.h). */
void loom_admission_hint_full(struct loom_admission *, uint64_t now_us);

void loom_admission_state(
    struct loom_admission *, struct loom_admission_state *);

#endif
