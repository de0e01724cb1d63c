#ifndef LOOM_QUEUE_H
#define LOOM_QUEUE_H

/*
 * Bounded queue of the calls that wait for one upstream.  The next call is
 * chosen by importance, then fairly between teams in proportion to their
 * weights, then oldest first, or newest first while the queue is a standing
 * one.  A full queue displaces its lowest-priority call.  Not thread-safe: the
 * owner holds a lock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/manifest.h"

struct loom_queue;
struct loom_queue_team;

/* team_id of nested calls, which belong to requests that were admitted before,
 * of whatever team. */
#define LOOM_QUEUE_NO_TEAM 0

/*
 * One call at one upstream, from the offer until it is done.  The caller owns
 * the memory.  While the call is QUEUED and has no verdict yet, it must not be
 * freed without loom_admission_cancel().
 */
struct loom_admission_call {
	/* Set by the caller before the offer. */
	uint64_t team_id;
	uint64_t deadline_us; /* on the clock of now_us */
	void *arg; /* borrowed, not used: the caller's call */
	uint32_t team_weight; /* weight of the team, its rate; 0 counts as 1 */
	enum loom_importance importance;
	uint16_t rank; /* loom_shed_rank() of importance and root request */
	uint8_t call_class; /* route index % LOOM_CALL_CLASSES */

	/* Set with the verdict. */
	uint16_t cut; /* the team's shedding threshold, for the answer
			 (loom/shed.h) */
	enum loom_result code; /* LOOM_OK, LOOM_OVERLOAD, LOOM_QUEUE_DEADLINE */
	uint64_t retry_after_us; /* of a refusal */

	/* Private while the call waits; next also links the lists of struct
	 * loom_verdicts. */
	struct loom_admission_call *next;
	struct loom_admission_call *prev;
	struct loom_queue_team *team; /* NULL while the call does not wait */
	uint64_t arrived_us;
	bool reserved; /* admitted and not sent yet */
	bool has_token; /* of the stated rate; given back if not sent */
};

/* Queued calls that received their verdict; linked by next, in order. */
struct loom_verdicts {
	struct loom_admission_call *admitted; /* admitted: forward them now */
	struct loom_admission_call *refused; /* see code and retry_after_us */
	struct loom_admission_call **admitted_tail; /* private */
	struct loom_admission_call **refused_tail; /* private */
};

void loom_verdicts_init(struct loom_verdicts *);
void loom_verdicts_admit(struct loom_verdicts *, struct loom_admission_call *);
void loom_verdicts_refuse(struct loom_verdicts *, struct loom_admission_call *);

/*
 * Scales the queue bound of a service to a host whose slots differ from those
 * that the service declares: the number of waiting calls per slot stays the
 * same.
 */
uint32_t loom_queue_bound_for_host(
    uint32_t service_queue, uint32_t service_slots, uint32_t host_slots);

/* Owned by ctx.  Allocates all memory here.  bound, at least 1, is the number
 * of calls that may wait; it may be raised later to 1024, or to its initial
 * value if that is higher. */
struct loom_queue *loom_queue_new(void *ctx, uint32_t bound);

/* Sets the number of calls that may wait.  critical_bound applies instead of
 * bound while only critical calls wait, and nested_bound while all waiting
 * calls of the lowest waiting importance are nested calls. */
void loom_queue_set_bounds(struct loom_queue *, uint32_t bound,
    uint32_t critical_bound, uint32_t nested_bound);

/*
 * Adds a call.  Returns NULL, or the call that is displaced because the queue
 * is full, which may be the new one itself.
 */
struct loom_admission_call *loom_queue_push(
    struct loom_queue *, struct loom_admission_call *, uint64_t now_us);

/* Removes and returns the next call; NULL when the queue is empty. */
struct loom_admission_call *loom_queue_pop(struct loom_queue *);

/* Removes a waiting call. */
void loom_queue_remove(struct loom_queue *, struct loom_admission_call *);

/* Serves calls of importance from and of lower ones newest first; all calls
 * oldest first when newest_first is false. */
void loom_queue_set_newest_first(
    struct loom_queue *, enum loom_importance from, bool newest_first);

/* Number of calls that would be served before a new call of this team and
 * importance. */
uint32_t loom_queue_calls_ahead(const struct loom_queue *, uint64_t team_id,
    uint32_t team_weight, enum loom_importance);

uint32_t loom_queue_length(const struct loom_queue *);

/* Number of waiting calls of this importance and of higher ones. */
uint32_t loom_queue_length_from(
    const struct loom_queue *, enum loom_importance);

/* Number of more important calls served since a call of this importance was
 * served, or since the first of the calls that wait at this importance
 * arrived. */
uint32_t loom_queue_overtaken(const struct loom_queue *, enum loom_importance);

/* Removes and returns one call while the queue is over its bound; else NULL. */
struct loom_admission_call *loom_queue_trim(struct loom_queue *);

struct loom_queue_sweep_ops {
	/* Returns false when should_drop() does not need the number of calls
	 * ahead, which takes a walk over the teams to compute. */
	bool (*needs_calls_ahead)(
	    const struct loom_admission_call *, void *arg);
	bool (*should_drop)(
	    const struct loom_admission_call *, uint32_t ahead, void *arg);
	void (*drop)(struct loom_admission_call *, void *arg);
};

/* Removes each call for which should_drop() returns true and passes it to
 * drop(). */
void loom_queue_sweep(
    struct loom_queue *, const struct loom_queue_sweep_ops *, void *arg);

#endif
