#ifndef LOOM_CONTROL_TICKETS_STATE_H
#define LOOM_CONTROL_TICKETS_STATE_H

/*
 * What the executor's side of tickets and their hand-over share.
 */

#include "control/handover.h"
#include "decide/ticket_book.h"
#include "inner/seal.h"
#include "loom/ticket.h"

#define TICKET_SHARDS 16

/* An incarnation whose tickets run here: our own, or one handed over. */
struct ticket_issuer {
	uint64_t host_id;
	uint64_t incarnation;
	uint8_t secret[LOOM_SEAL_KEY_SIZE];
	uint64_t expires_us; /* UINT64_MAX for our own */
};

struct ticket_shard {
	GMutex lock;
	struct ticket_store *store; /* owned */
	/* The daemon leaves: nothing unused runs here any more.  Under each
	 * shard's lock, so that no run can begin after it was seen set. */
	bool frozen;
};

struct loom_tickets {
	struct loom_tickets_config config;
	struct ticket_shard shards[TICKET_SHARDS];

	GMutex issuers_lock; /* never held together with a shard's */
	GArray *issuers; /* struct ticket_issuer; the first is our own */
	GHashTable *heirs; /* incarnation (uint64_t) to host id (uint64_t) */
	GHashTable *moving; /* incarnations that are being handed to us */
	bool handed; /* our tickets and the inherited ones are an heir's */
	uint64_t heir_host_id;
	bool drained;

	struct handover *handover; /* owned; the control thread's alone */
};

struct ticket_shard *tickets_shard(
    struct loom_tickets *tickets, uint64_t team_id);

/* Stop all new runs for good. */
void tickets_freeze(struct loom_tickets *tickets);

uint32_t tickets_running(struct loom_tickets *tickets);

/* From now on our tickets are the heir's; or, with 0, nobody's. */
void tickets_set_drained(struct loom_tickets *tickets, uint64_t heir_host_id);

/* Whom to ask about an incarnation's tickets, by the heir's own word. */
void tickets_note_heir(
    struct loom_tickets *tickets, uint64_t incarnation, uint64_t host_id);

void tickets_note_moving(
    struct loom_tickets *tickets, uint64_t incarnation, bool moving);

#endif
