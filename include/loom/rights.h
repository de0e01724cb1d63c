#ifndef LOOM_RIGHTS_H
#define LOOM_RIGHTS_H

/*
 * Team rate and burst over all daemons together.
 *
 * A right is a part of a team's whole: refill, capacity and present level,
 * which always move together.  Each daemon owns 1/n of every team, lends it
 * to a pool and borrows back what its callers need; see
 * docs/design/rights.md.  All daemons together never admit more than
 * rate * t + burst in any window of t seconds.
 *
 * Threads: take, wait and cancel may be called from any thread.  The table
 * loom_rights_ops and loom_rights_run() belong to the control thread, and
 * every callback of a waiter is made there.
 */

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/control.h"
#include "loom/result.h"

/* Message types of the first partition; each has as many of its own. */
enum loom_rights_message {
	LOOM_RIGHTS_UP = LOOM_MESSAGE_RIGHTS_FIRST, /* child to its pool */
	LOOM_RIGHTS_DOWN, /* pool to a child */
	LOOM_RIGHTS_LAST,
};
#define LOOM_RIGHTS_MESSAGES (LOOM_RIGHTS_LAST - LOOM_RIGHTS_UP)

/* As many as there are message types for. */
#define LOOM_RIGHTS_PARTITIONS_MAX 10

/* The longest that a call waits for a loan of a pool that answers. */
#define LOOM_RIGHTS_WAIT_US UINT64_C(8000)

/* And where the pool is silent: by then another is asked, and what was lent to
 * the silent one is back. */
#define LOOM_RIGHTS_SILENCE_US UINT64_C(2000000)

/* Limits on what the promise rests on; zero takes the default. */
struct loom_rights_settings {
	/*
	 * How far two daemons' host lists may lag behind each other.  A
	 * newcomer beyond the declared slots owns nothing for so long.
	 * Default 10 s.
	 */
	uint64_t list_lag_us;
	/*
	 * How long a daemon that starts owns nothing.  Default: the longest
	 * that any loan runs, so that a restart lets nothing in twice.  Less
	 * gives up so much of the promise: loans that the forerunner had made
	 * overlap with the new part, each of which starts empty.
	 */
	uint64_t withheld_us;
	/*
	 * How long a daemon beyond the declared slots owns nothing when the
	 * list begins to show it.  Default: list_lag_us, so that all others
	 * count it by then.  Less gives up 1/n of each rate for as long as
	 * another's list lags behind.
	 */
	uint64_t newcomer_us;
	/* The longest that a call waits for a loan; LOOM_RIGHTS_WAIT_US unless
	 * set.  On hosts whose processor stands still for tens of milliseconds
	 * a shorter wait refuses calls within their team's rate. */
	uint64_t wait_us;
	/* Of how many, 0 for one, and which this is: loom/rights_set.h. */
	uint32_t partitions;
	uint32_t partition;
	/* Own shares alone: no pool is used.  For comparison and tests. */
	bool shares_only;
};

/* Tells the control thread to call loom_rights_run() soon. */
struct loom_rights_waker {
	void (*wake)(void *arg); /* called from any thread */
	void *arg; /* borrowed */
};

struct loom_rights;

/* The partition that a team belongs to. */
uint32_t loom_rights_partition(uint64_t team_id, uint32_t partitions);

/* What drives one partition; pass the struct loom_rights as part.  The part of
 * a daemon is loom_rights_set_ops, which also has the types and times. */
extern const struct loom_part_ops loom_rights_ops;

/*
 * Owned by ctx.  self, sender, random, settings and waker are copied; what
 * they point to is borrowed.  settings may be NULL.  The daemon owns nothing
 * before manifest_changed() and hosts_changed() were called.
 */
struct loom_rights *loom_rights_new(TALLOC_CTX *ctx,
    const struct loom_self *self, const struct loom_sender *sender,
    const struct loom_random *random, const struct loom_rights_waker *waker,
    const struct loom_rights_settings *settings, uint64_t now_us);

/*
 * Take one token of a team.
 *
 * LOOM_OK: taken.
 * LOOM_TEAM_RATE: refused; *retry_after_us says when to come back.
 * LOOM_RIGHTS_PENDING: a loan may bring a token within LOOM_RIGHTS_WAIT_US;
 *     call loom_rights_wait().
 */
enum loom_result loom_rights_take(struct loom_rights *, uint64_t team_id,
    uint64_t now_us, uint64_t *retry_after_us);

/* A call that waits for a token; memory of the caller, until the callback
 * was made or loom_rights_cancel() returned true. */
struct loom_rights_waiter {
	/*
	 * Made once, on the control thread, without a lock held.  result is
	 * LOOM_OK (a token was taken), LOOM_TEAM_RATE with the time after
	 * which to come back, or LOOM_RATE_UNKNOWN where the pool is silent.
	 */
	void (*done)(struct loom_rights_waiter *, enum loom_result result,
	    uint64_t retry_after_us);
	void *arg; /* the caller's own */
	uint64_t deadline_us; /* its call's; 0 for none */
	/* private */
	struct loom_rights_waiter *next;
	uint64_t team_id;
	uint64_t since_us;
	uint64_t until_us; /* where the pool answers */
	uint64_t latest_us; /* where it is silent */
	uint64_t retry_after_us;
	enum loom_result result;
	uint8_t state;
};

/* Wait after LOOM_RIGHTS_PENDING.  done is always called later, also when
 * the token is there by now. */
void loom_rights_wait(struct loom_rights *, uint64_t team_id,
    struct loom_rights_waiter *waiter, uint64_t now_us);

/* The caller went away.  True: done will not be called.  False: it was or
 * is being called, and a token that came is lost. */
bool loom_rights_cancel(struct loom_rights *, struct loom_rights_waiter *);

/* Ask for what workers wait for, and end waits that are over.  Control
 * thread; also done by each tick. */
void loom_rights_run(struct loom_rights *, uint64_t now_us);

/* One team as this daemon sees it; parts are of 1. */
struct loom_rights_status {
	double refill_per_s; /* usable here now */
	double capacity; /* tokens */
	double level; /* tokens */
	double borrowed; /* part of the capacity borrowed from a pool */
	double lent; /* part of the capacity lent to daemons below */
	double demand_per_s; /* calls here and below */
	uint32_t waiting; /* calls that wait here */
	uint64_t pool_host_id; /* 0: this daemon is the topmost pool */
	uint64_t pool_silent_us; /* since something came from it */
	uint64_t lent_elsewhere_us; /* own parts are with another for so long */
};

/* False when the team is unknown. */
bool loom_rights_team_status(struct loom_rights *, uint64_t team_id,
    uint64_t now_us, struct loom_rights_status *status);

/* The part as a whole. */
struct loom_rights_summary {
	double owned; /* part of every team that is this daemon's own */
	double pooled; /* part lent to this daemon as a pool */
	double lent_up; /* part lent to this daemon's pool */
	uint64_t pool_host_id; /* 0: this daemon is the topmost pool */
	const char *pool; /* its name, borrowed from the list; NULL: none */
	uint32_t children; /* daemons that use this one as their pool */
	uint32_t shares; /* n: a daemon owns 1/n */
	bool holding; /* owns nothing yet: (re)started or newly listed */
};

/* Control thread. */
void loom_rights_summary(struct loom_rights *, struct loom_rights_summary *);

#endif
