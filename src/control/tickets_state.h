#ifndef LOOM_CONTROL_TICKETS_STATE_H
#define LOOM_CONTROL_TICKETS_STATE_H

/*
 * State shared by the executor's side of tickets (tickets.c) and their handover
 * (handover*.c).
 */

#include "control/handover.h"
#include "decide/ticket_store.h"
#include "inner/mac_text.h"
#include "loom/ticket.h"

#define TICKET_SHARDS 16

/*
 * An incarnation whose tickets run here: this daemon's own, or one whose
 * tickets were handed over to it.
 */
struct ticket_issuer {
	uint64_t host_id;
	uint64_t incarnation;
	uint8_t secret[LOOM_DERIVED_KEY_SIZE];
	uint64_t expires_us; /* UINT64_MAX for this daemon's own */
};

struct ticket_shard {
	GMutex lock;
	struct ticket_store *store; /* owned */
	/*
	 * Set when the daemon shuts down: no unused ticket may start to run
	 * here any more.  Written under the lock of each shard, so that no run
	 * can start once it is set.
	 */
	bool frozen;
};

struct loom_tickets {
	struct loom_tickets_config config;
	struct ticket_shard shards[TICKET_SHARDS];

	GMutex issuers_lock; /* never held together with a shard's lock */
	/* struct ticket_issuer; the first is this daemon's own */
	GArray *issuers;
	/* incarnation (uint64_t) to host id (uint64_t) */
	GHashTable *successors;
	/* incarnations whose handover to this daemon is in progress */
	GHashTable *moving;
	/*
	 * A successor has taken over this daemon's tickets and the inherited
	 * ones.
	 */
	bool handed_over;
	uint64_t successor_host_id;
	bool drained;

	struct handover *handover; /* owned; control thread only */
};

struct ticket_shard *tickets_shard(
    struct loom_tickets *tickets, uint64_t team_id);

/* Stops all new runs permanently. */
void tickets_freeze(struct loom_tickets *tickets);

uint32_t tickets_running(struct loom_tickets *tickets);

/*
 * Marks the handover as finished: the tickets now belong to the successor, or
 * to no host if successor_host_id is 0.
 */
void tickets_set_drained(
    struct loom_tickets *tickets, uint64_t successor_host_id);

/*
 * Records the host that announced itself as the successor of an incarnation, to
 * which callers with its tickets are sent.
 */
void tickets_set_successor(
    struct loom_tickets *tickets, uint64_t incarnation, uint64_t host_id);

/*
 * Marks whether the handover of an incarnation to this daemon is in progress,
 * in which case its tickets are refused with LOOM_TICKET_MOVING.
 */
void tickets_set_moving(
    struct loom_tickets *tickets, uint64_t incarnation, bool moving);

#endif
