#ifndef LOOM_QUEUE_H
#define LOOM_QUEUE_H

/*
 * Calls that wait for one upstream: bounded, by importance, then fair by team
 * (deficit round robin with the team's weight), oldest first, or newest first
 * once the delay stands.  A full queue displaces its least valuable call.
 * Not thread-safe: the owner holds a lock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/manifest.h"

struct loom_queue;
struct loom_queue_team;

/* Of calls inside requests that were let in before, whosever they are. */
#define LOOM_QUEUE_NO_TEAM 0

/*
 * One call at one upstream, from the offer until it is done.  The memory is
 * the caller's; between QUEUED and its move it must not be freed without
 * loom_admission_cancel().
 */
struct loom_waiting {
	/* Set by the caller before the offer. */
	uint64_t team_id;
	uint64_t deadline_us; /* on the clock of now_us */
	void *arg; /* borrowed, untouched: the integrator's call */
	uint32_t team_weight; /* share among teams: the rate; 0 counts as 1 */
	enum loom_importance importance;
	uint16_t rank; /* loom_shed_rank() of importance and root request */
	uint8_t call_class; /* route index % LOOM_CALL_CLASSES */

	/* Set on a verdict. */
	uint16_t cut; /* threshold of this team to carry back (loom/shed.h) */
	enum loom_result code; /* LOOM_OK, LOOM_OVERLOAD, LOOM_QUEUE_DEADLINE */
	uint64_t retry_after_us; /* of a refusal */

	/* Private while it waits; next also links the lists of a move. */
	struct loom_waiting *next;
	struct loom_waiting *prev;
	struct loom_queue_team *team; /* NULL when it does not wait */
	uint64_t arrived_us;
};

/* Calls that an event set free; linked by next, in order. */
struct loom_moved {
	struct loom_waiting *go; /* admitted: forward them now */
	struct loom_waiting *refused; /* see code and retry_after_us */
	struct loom_waiting **go_tail; /* private */
	struct loom_waiting **refused_tail; /* private */
};

void loom_moved_init(struct loom_moved *);
void loom_moved_go(struct loom_moved *, struct loom_waiting *);
void loom_moved_refuse(struct loom_moved *, struct loom_waiting *);

/*
 * The bound of a host that has other slots than its service declares: as many
 * calls wait for each slot.
 */
uint32_t loom_queue_bound_of(
    uint32_t service_queue, uint32_t service_slots, uint32_t host_slots);

/* Owned by ctx; takes all the memory that it ever needs.  bound is the most
 * calls that may wait, at least 1; it may be raised later to 1024, or to what
 * it was at first if that was more. */
struct loom_queue *loom_queue_new(void *ctx, uint32_t bound);
/* critical_bound holds in place of bound while only critical calls wait, and
 * inside_bound while only calls without a team do at the least importance. */
void loom_queue_set_bounds(struct loom_queue *, uint32_t bound,
    uint32_t critical_bound, uint32_t inside_bound);

/*
 * Put a call in.  Returns NULL, or the call that has to leave because the
 * queue is full; it may be the new one itself.
 */
struct loom_waiting *loom_queue_push(
    struct loom_queue *, struct loom_waiting *, uint64_t now_us);

/* Take the call whose turn it is; NULL when empty. */
struct loom_waiting *loom_queue_pop(struct loom_queue *);

/* Take out one that waits. */
void loom_queue_remove(struct loom_queue *, struct loom_waiting *);

void loom_queue_set_newest_first(
    struct loom_queue *, enum loom_importance from, bool newest_first);

/* How many turns come before a new call of this team and importance. */
uint32_t loom_queue_ahead(const struct loom_queue *, uint64_t team_id,
    uint32_t team_weight, enum loom_importance);

uint32_t loom_queue_length(const struct loom_queue *);

/* Those of this importance and of more. */
uint32_t loom_queue_length_from(
    const struct loom_queue *, enum loom_importance);

/* How many more important calls were served since one of this importance
 * was, or since the first of those that wait here came. */
uint32_t loom_queue_passed(const struct loom_queue *, enum loom_importance);

/* Take out one call that is over the bound; NULL when none is. */
struct loom_waiting *loom_queue_trim(struct loom_queue *);

struct loom_queue_sweep_ops {
	/* False: gone() does not need to know how many turns are ahead, which
	 * costs a walk over the teams. */
	bool (*needs_ahead)(const struct loom_waiting *, void *arg);
	bool (*gone)(const struct loom_waiting *, uint32_t ahead, void *arg);
	void (*drop)(struct loom_waiting *, void *arg);
};

/* Take out each call for which gone() is true and hand it to drop(). */
void loom_queue_sweep(
    struct loom_queue *, const struct loom_queue_sweep_ops *, void *arg);

#endif
