#ifndef LOOM_ADMISSION_H
#define LOOM_ADMISSION_H

/*
 * Admission control in front of one upstream: which calls run, wait or are
 * refused.  Combines the semaphore for the calls in flight, the adaptive limit,
 * the queue and the shedding thresholds of the teams.
 *
 * Thread-safe.  The semaphore and the latency samples are atomic; all else is
 * protected by one lock, which the owner supplies as a table of functions.  The
 * module takes and releases this lock itself and never calls out while it holds
 * it.  A call that finds a free slot while none waits takes no lock and
 * allocates nothing.
 *
 * Every offered call receives exactly one verdict: from the offer itself, or,
 * when QUEUED, in a list of a struct loom_verdicts that a later function fills,
 * or by a cancel that returns true.  The thread that receives such a list must
 * act on all calls in it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/limit.h"
#include "loom/queue.h"

struct loom_admission;

/* Lock functions; NULL if only one thread uses the object. */
struct loom_admission_lock {
	void (*lock)(void *arg);
	void (*unlock)(void *arg);
	void *arg; /* borrowed */
};

struct loom_admission_settings {
	struct loom_limit_settings limit;
	uint32_t queue; /* calls that may wait; 0 counts as 1 */
	struct loom_admission_lock lock;
	struct loom_random random; /* for the jitter of Retry-After */
};

enum loom_admission_verdict {
	LOOM_ADMITTED, /* forward it, then call loom_admission_done() */
	LOOM_QUEUED, /* the verdict comes later in a struct loom_verdicts */
	LOOM_REFUSED, /* see code and retry_after_us of the call */
};

enum loom_call_end {
	LOOM_CALL_OK, /* answered; any status that is not overload */
	LOOM_CALL_OVERLOAD, /* refused by the upstream for overload */
	LOOM_CALL_FAILED, /* broken off, cancelled, or no connection */
};

struct loom_call_result {
	enum loom_call_end end;
	uint64_t latency_us; /* from the first byte sent to the answer */
	uint64_t nested_us; /* part of it, spent in nested calls */
};

struct loom_admission_state {
	uint32_t limit;
	uint32_t inside;
	uint32_t waiting;
	bool newest_first;
	double latency_us;
	double latency_ratio; /* to the baseline */
};

/* Owned by ctx. */
struct loom_admission *loom_admission_new(
    void *ctx, const struct loom_admission_settings *, uint64_t now_us);

/* Sets slots and queue bound of a new manifest. */
void loom_admission_set_slots(
    struct loom_admission *, uint32_t slots, uint32_t queue);

/* The upstream restarted: ramps up again and discards the latency baseline. */
void loom_admission_upstream_restarted(
    struct loom_admission *, uint64_t now_us);

/*
 * The upstream is cold until until_us, and is sent at most starts_max calls in
 * any second until then; 0 for no bound.  until_us of 0: it is warm, and what
 * was set before was wrong (loom/cold_start.h).
 */
void loom_admission_set_cold(struct loom_admission *, uint32_t starts_max,
    uint64_t until_us, uint64_t now_us);

/*
 * Sets the rate that the upstream states: calls are sent at this pace; 0 for
 * none.  Any thread.
 */
void loom_admission_set_rate(
    struct loom_admission *, double per_s, uint64_t now_us);

/* Whether a call could be sent now by the stated rate, without waiting behind
 * others.  Any thread. */
bool loom_admission_may_start(struct loom_admission *, uint64_t now_us);

/* The first byte of an admitted call has been sent.  Any thread. */
void loom_admission_sent(
    struct loom_admission *, struct loom_admission_call *call, uint64_t now_us);

/* Calls that may be sent in a second while the upstream is cold or has just
 * been, or states a rate; 0 for no bound.  Any thread. */
uint32_t loom_admission_start_bound(struct loom_admission *, uint64_t now_us);

/* Offers a call.  verdicts must be initialised; it may receive other calls that
 * this one displaced.  Any thread. */
enum loom_admission_verdict loom_admission_offer(struct loom_admission *,
    struct loom_admission_call *call, uint64_t now_us,
    struct loom_verdicts *verdicts);

/* Returns whether a call that starts now can finish before its deadline, by the
 * measured time of its class.  Any thread. */
bool loom_admission_can_finish(struct loom_admission *,
    const struct loom_admission_call *, uint64_t now_us);

/* Ends an admitted call; sets call->cut to the threshold that its answer must
 * carry.  Any thread. */
void loom_admission_done(struct loom_admission *,
    struct loom_admission_call *call, const struct loom_call_result *,
    uint64_t now_us, struct loom_verdicts *verdicts);

/* Cancels a QUEUED call.  True: it was removed and belongs to the caller again.
 * False: its verdict is already in a list, and the thread that has the list
 * acts on it.  Any thread. */
bool loom_admission_cancel(
    struct loom_admission *, struct loom_admission_call *call);

/* Refuses the calls that can no longer finish in time, and updates the limit
 * and the thresholds.  One thread calls it about every 10 ms. */
void loom_admission_tick(
    struct loom_admission *, uint64_t now_us, struct loom_verdicts *verdicts);

/*
 * Reports the recent load of this process, 0 to 1 of the time of its busiest
 * thread.  A daemon out of processor time limits the load as an upstream out of
 * slots does, so the higher of the two counts as used.  Any thread.
 */
void loom_admission_set_busy(struct loom_admission *, double busy);

/* Reports the event loop lag: how long ready events wait.  Any thread. */
void loom_admission_set_loop_lag(struct loom_admission *, uint64_t lag_us);

/* Calls that may run at once now.  Any thread. */
uint32_t loom_admission_limit(struct loom_admission *);
/*
 * Sets the share of the load in call chains that can be carried by an upstream
 * which rejects calls though it has room; 1 for all.  A request that is a
 * single call there is not bound by it: it is accepted or not, and no other
 * work is lost with it.  Any thread.
 */
void loom_admission_set_chain_share(struct loom_admission *, double share);
double loom_admission_chain_share(struct loom_admission *);

/* Calls that run or wait, in thousandths of the limit, at the last tick.  Any
 * thread. */
uint32_t loom_admission_used(struct loom_admission *);

/* Share of the load offered to the whole fleet that this upstream can carry
 * (loom/throttle.h).  Any thread. */
double loom_admission_throttle_share(struct loom_admission *);

/* Whether the share comes back within about a second when there is room, in
 * place of some seconds; at first it does not.  Any thread. */
void loom_admission_set_fast_recovery(struct loom_admission *, bool fast);

/* The upstream's load report says that it is full; used as a hint
 * (loom/limit.h). */
void loom_admission_hint_full(struct loom_admission *, uint64_t now_us);

void loom_admission_state(
    struct loom_admission *, struct loom_admission_state *);

#endif
