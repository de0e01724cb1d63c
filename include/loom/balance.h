#ifndef LOOM_BALANCE_H
#define LOOM_BALANCE_H

/*
 * Which target of a service gets a call: the better of two random choices by
 * calls in flight and measured latency.  One for each worker thread and
 * service; no lock.  Targets are known by their host id.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

struct loom_balance;

/* One target as the host list gives it. */
struct loom_balance_host {
	uint64_t host_id;
	bool near; /* in our own data centre */
	bool leaving; /* as the platform lists it */
};

enum loom_target_end {
	LOOM_TARGET_OK, /* any answer of the upstream itself */
	LOOM_TARGET_REFUSED, /* its daemon shed the call */
	LOOM_TARGET_FAILED, /* no connection, cut, no answer in time */
	LOOM_TARGET_CANCELLED, /* we gave up; no failure of the target */
};

/* Owned by ctx; random is copied. */
struct loom_balance *loom_balance_new(
    void *ctx, const struct loom_random *random, uint64_t cold_start_us);

/* How many times the wait in front of it a target in another data centre
 * counts.  LOOM_FAR_COST unless set: below it, crossing is worth no few per
 * cent.  More where bytes between data centres are dear. */
#define LOOM_FAR_COST 1.25
void loom_balance_set_far_cost(struct loom_balance *, double far_cost);

/* The list changed.  What was measured of hosts that stay is kept; new ones
 * start cold, save for the very first list. */
void loom_balance_hosts_changed(struct loom_balance *,
    const struct loom_balance_host *hosts, uint32_t nhosts, uint64_t now_us);

/* The host id for the next call, 0 for none.  tried lists those that the
 * call has already been at; they come again only by the caller's asking. */
uint64_t loom_balance_pick(struct loom_balance *, const uint64_t *tried,
    uint32_t ntried, uint64_t now_us);

/* A call was sent to the host, and how it ended. */
void loom_balance_note_sent(
    struct loom_balance *, uint64_t host_id, uint64_t now_us);
void loom_balance_note_done(struct loom_balance *, uint64_t host_id,
    enum loom_target_end, uint64_t latency_us, uint64_t now_us);

enum loom_probe_end {
	LOOM_PROBE_SILENT, /* no answer */
	LOOM_PROBE_ALIVE, /* an answer: it does not serve just now */
	LOOM_PROBE_SERVING,
};

/*
 * A host that is to be asked for a sign of life, 0 for none: it has been
 * silent for too long, or has said that it leaves.  It counts as being asked
 * until loom_balance_note_probe() says how that ended.
 */
uint64_t loom_balance_probe_due(struct loom_balance *, uint64_t now_us);
void loom_balance_note_probe(struct loom_balance *, uint64_t host_id,
    enum loom_probe_end, uint64_t now_us);

/* The host's own word on its use: calls that run or wait there, to the limit
 * of those that may run. */
void loom_balance_note_used(
    struct loom_balance *, uint64_t host_id, double used, uint64_t now_us);

/* The host's own word that it leaves: no new call for some seconds, or until
 * a probe finds it serving again. */
void loom_balance_note_leaving(
    struct loom_balance *, uint64_t host_id, uint64_t now_us);

/* Hosts that may be picked now. */
uint32_t loom_balance_live(const struct loom_balance *, uint64_t now_us);

#endif
