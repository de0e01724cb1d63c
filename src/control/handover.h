#ifndef LOOM_CONTROL_HANDOVER_H
#define LOOM_CONTROL_HANDOVER_H

/*
 * Handover of tickets at a graceful shutdown, from the host that shuts down
 * (the source) to another host of its service (the successor; "heir" in
 * messages and refusals).  Runs on the control thread only.
 *
 *  source                               successor
 *    freeze, wait for running calls
 *    OFFER  ------------------------->
 *           <-------------------------  ACCEPT (its incarnation)
 *    CHUNK 0..n-1 ------------------->  stores them
 *           <-------------------------  ACK for each; when all have arrived,
 *                                       installs the state once
 *
 * Before the first chunk is sent, the source may turn to another candidate;
 * afterwards it must not.  The incarnation that accepted may have installed the
 * whole state, and a second successor could run a ticket that the first has
 * run.  A successor that restarts is another incarnation and rejects chunks
 * that were sealed for the previous one.
 *
 * The state in the chunks holds the issuers with their secrets, the ticket
 * windows and the cached answers.
 */

#include "loom/hosts.h"
#include "loom/ticket.h"

#define HANDOVER_TICK_US (50 * LOOM_US_PER_MS)

enum handover_phase {
	HANDOVER_IDLE,
	HANDOVER_WAITING, /* for running calls and incoming handovers */
	HANDOVER_OFFERING,
	HANDOVER_SENDING,
	HANDOVER_DONE,
};

struct handover_incoming; /* a state being received by the successor */

struct handover {
	struct loom_tickets *tickets; /* borrowed: the owner */
	uint8_t key[32];
	struct loom_hosts *hosts; /* reference-counted; NULL until known */
	uint64_t last_announce_us;
	uint64_t last_query_us;
	uint32_t query_count; /* successor queries sent so far */

	/* as the source */
	enum handover_phase phase;
	uint64_t phase_start_us; /* start of the phase */
	/* last offer or batch of chunks; 0 for none in this phase */
	uint64_t last_send_us;
	uint32_t offer_count; /* sent so far */
	uint64_t successor_host_id;
	uint64_t successor_incarnation;
	GByteArray *state; /* owned */
	GByteArray *acked; /* one byte for each chunk; owned */
	uint32_t acked_count;
	uint32_t next_chunk; /* index at which the next batch starts */

	/* as the successor */
	GHashTable *incoming; /* by the source's incarnation; owned */
	/*
	 * Incarnations whose state was installed.  Entries are never removed,
	 * so that no state is installed twice.
	 */
	GHashTable *installed;
};

struct handover *handover_new(
    struct loom_tickets *tickets, const uint8_t *fleet_secret);
void handover_free(struct handover *handover);

/* The source's side. */
void handover_start(struct handover *handover, uint64_t now_us);
void handover_source_tick(struct handover *handover, uint64_t now_us);
void handover_on_accept(struct handover *handover,
    const struct loom_message_source *from, uint64_t incarnation,
    uint64_t now_us);
void handover_on_ack(struct handover *handover,
    const struct loom_message_source *from, uint64_t incarnation,
    uint32_t index);

/* The successor's side. */
void handover_successor_init(struct handover *handover);
void handover_successor_free(struct handover *handover);
void handover_on_offer(
    struct handover *handover, const struct loom_message_source *from);
void handover_on_chunk(struct handover *handover,
    const struct loom_message_source *from, const uint8_t *message, size_t len,
    uint64_t now_us);
void handover_successor_tick(struct handover *handover, uint64_t now_us);

/*
 * Shared by both sides: send to one host; announce the successor to all hosts
 * of the service.
 */
void handover_send(struct handover *handover, uint64_t host_id, uint8_t type,
    const uint8_t *payload, size_t len);
void handover_announce(
    struct handover *handover, uint64_t successor_host_id, uint64_t now_us);

#endif
