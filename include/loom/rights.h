#ifndef LOOM_RIGHTS_H
#define LOOM_RIGHTS_H

/*
 * Enforces each team's rate and burst over all daemons together.
 *
 * What a daemon may use of a team's rate and burst is called its rights. They
 * are shares of the whole: a share comprises refill, capacity and the tokens in
 * it, which normally move together. Each daemon owns 1/n of every team, lends
 * it to a pool and borrows back what its callers need; see
 * docs/design/rights.md. In any window of t seconds, all daemons together never
 * admit more calls of a team than burst + rate * t.
 *
 * Threads: loom_rights_take(), loom_rights_give_back(), loom_rights_wait() and
 * loom_rights_cancel() may be called from any thread. loom_rights_ops and
 * loom_rights_run() belong to the control thread, which also makes every
 * callback of a waiter.
 */

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/control.h"
#include "loom/result.h"

/*
 * Message types of the first partition. Each further partition has its own
 * pair.
 */
enum loom_rights_message {
	LOOM_RIGHTS_UP = LOOM_MESSAGE_RIGHTS_FIRST, /* child to its pool */
	LOOM_RIGHTS_DOWN, /* pool to a child */
	LOOM_RIGHTS_LAST,
};
#define LOOM_RIGHTS_MESSAGES (LOOM_RIGHTS_LAST - LOOM_RIGHTS_UP)

/* Limited by the number of message types reserved for rights. */
#define LOOM_RIGHTS_PARTITIONS_MAX 10

/* The longest that a call waits for a loan while its pool responds. */
#define LOOM_RIGHTS_WAIT_US UINT64_C(8000)

/*
 * The longest that a call waits while its pool is silent. By then another pool
 * has been chosen and what was lent to the silent one has returned.
 */
#define LOOM_RIGHTS_SILENT_WAIT_US UINT64_C(2000000)

/* Conditions under which the rates are guaranteed. 0 selects the default. */
struct loom_rights_settings {
	/*
	 * How far the host lists of two daemons may lag behind each other. A
	 * new daemon beyond the declared slots owns nothing for this long.
	 * Default: 10 s.
	 */
	uint64_t list_lag_us;
	/*
	 * How long a daemon owns nothing after it starts. Default: longer than
	 * any loan runs, so that a restart admits nothing twice. With a smaller
	 * value, loans made by the previous process on the host may overlap
	 * with the new share, and the rate may be exceeded by that much. A new
	 * share always starts without tokens.
	 */
	uint64_t withheld_us;
	/*
	 * How long a daemon beyond the declared slots owns nothing after its
	 * host list first shows it. Default: list_lag_us, so that all others
	 * count it by then. With a smaller value each rate may be exceeded by
	 * 1/n for as long as another daemon's list lags behind.
	 */
	uint64_t newcomer_us;
	/*
	 * The longest that a call waits for a loan. Default:
	 * LOOM_RIGHTS_WAIT_US. On hosts whose processor stalls for tens of
	 * milliseconds, a shorter wait refuses calls that are within their
	 * team's rate.
	 */
	uint64_t wait_us;
	/*
	 * Calls that each team with a burst may send beyond it. All daemons
	 * together then admit burst + slack + rate * t in any window, so the
	 * rule on the rates has to tolerate it. Default: 0.
	 */
	uint32_t slack;
	/*
	 * The number of partitions, 0 meaning 1, and the index of this one; see
	 * loom/rights_set.h.
	 */
	uint32_t partitions;
	uint32_t partition;
	/* Use only the owned share and no pool. For comparisons and tests. */
	bool shares_only;
};

/* Asks the control thread to call loom_rights_run() soon. */
struct loom_rights_waker {
	void (*wake)(void *arg); /* called from any thread */
	void *arg; /* borrowed */
};

struct loom_rights;

/* The index of the partition that a team belongs to. */
uint32_t loom_rights_partition(uint64_t team_id, uint32_t partitions);

/*
 * Operations of one partition; `part` is its struct loom_rights. A daemon
 * registers loom_rights_set_ops, which also has the message types and tick
 * times.
 */
extern const struct loom_component_ops loom_rights_ops;

/*
 * The result is owned by ctx. self, sender, random, settings and waker are
 * copied, but what they point to is borrowed. settings may be NULL. The daemon
 * owns nothing before manifest_changed() and hosts_changed() have been called.
 */
struct loom_rights *loom_rights_new(TALLOC_CTX *ctx,
    const struct loom_self *self, const struct loom_sender *sender,
    const struct loom_random *random, const struct loom_rights_waker *waker,
    const struct loom_rights_settings *settings, uint64_t now_us);

/*
 * Takes one token of a team.
 *
 * LOOM_OK: taken; *taken_us identifies the token to loom_rights_give_back().
 *
 * LOOM_TEAM_RATE: refused; *retry_after_us is the time after which to retry.
 *
 * LOOM_RIGHTS_PENDING: a loan may supply a token within LOOM_RIGHTS_WAIT_US;
 * call loom_rights_wait().
 */
enum loom_result loom_rights_take(struct loom_rights *, uint64_t team_id,
    uint64_t now_us, uint64_t *retry_after_us, uint64_t *taken_us);

/*
 * Gives back the token of a call that has not run and never will. To be called
 * once for a token at most. The token may be lost, in part or whole; it never
 * adds to what the team's rate and burst allow. Any thread.
 */
void loom_rights_give_back(
    struct loom_rights *, uint64_t team_id, uint64_t taken_us, uint64_t now_us);

/*
 * A call that waits for a token. The caller owns the memory and must keep it
 * until the callback has been made or loom_rights_cancel() has returned true.
 */
struct loom_rights_waiter {
	/*
	 * Called once, on the control thread, without a lock held. result is
	 * LOOM_OK (a token was taken), LOOM_TEAM_RATE with the time after which
	 * to retry, or LOOM_RATE_UNKNOWN if the pool is silent.
	 */
	void (*done)(struct loom_rights_waiter *, enum loom_result result,
	    uint64_t retry_after_us);
	void *arg; /* for the caller's use */
	uint64_t deadline_us; /* deadline of the call; 0 for none */
	/* set before `done` is called with LOOM_OK; see loom_rights_take() */
	uint64_t taken_us;
	/* private */
	struct loom_rights_waiter *next;
	uint64_t team_id;
	uint64_t since_us;
	uint64_t until_us; /* end of the wait if the pool responds */
	uint64_t silent_until_us; /* end of the wait if it is silent */
	uint64_t retry_after_us;
	enum loom_result result;
	uint8_t state;
};

/*
 * Waits after LOOM_RIGHTS_PENDING. `done` is always called later and not from
 * here, even if a token is available by now.
 */
void loom_rights_wait(struct loom_rights *, uint64_t team_id,
    struct loom_rights_waiter *waiter, uint64_t now_us);

/*
 * Cancels a wait. True: `done` will not be called. False: it has been or is
 * being called, and a token that it received can be given back.
 */
bool loom_rights_cancel(struct loom_rights *, struct loom_rights_waiter *);

/*
 * Requests what workers wait for, and ends waits that are over. Control thread;
 * each tick also does this.
 */
void loom_rights_run(struct loom_rights *, uint64_t now_us);

/* One team as this daemon sees it. Fractions are of the whole team. */
struct loom_rights_status {
	double refill_per_s; /* usable here now */
	double capacity; /* tokens */
	double level; /* tokens */
	double borrowed; /* fraction of the capacity borrowed from a pool */
	double lent; /* fraction of the capacity lent to daemons below */
	double demand_per_s; /* calls here and below */
	uint32_t waiting; /* calls waiting here */
	uint64_t pool_host_id; /* 0: this daemon is the root */
	uint64_t pool_silent_us; /* time since its last message */
	/* for how long the owned share is still lent elsewhere */
	uint64_t lent_elsewhere_us;
};

/* Returns false if the team is unknown. */
bool loom_rights_team_status(struct loom_rights *, uint64_t team_id,
    uint64_t now_us, struct loom_rights_status *status);

/* A partition as a whole. */
struct loom_rights_summary {
	double owned; /* fraction of every team that this daemon owns */
	double pooled; /* fraction lent to this daemon as a pool */
	double lent_up; /* fraction lent to this daemon's pool */
	uint64_t pool_host_id; /* 0: this daemon is the root */
	/* its name, borrowed from the host list; NULL: none */
	const char *pool;
	uint32_t children; /* daemons that use this one as their pool */
	uint32_t shares; /* n: a daemon owns 1/n */
	bool holding; /* owns nothing yet: it was started or newly listed */
};

/* Control thread. */
void loom_rights_summary(struct loom_rights *, struct loom_rights_summary *);

#endif
