#ifndef LOOM_CONTROL_HANDOVER_H
#define LOOM_CONTROL_HANDOVER_H

/*
 * Hand-over of tickets at a graceful shutdown; the control thread's alone.
 *
 *   leaver                               heir
 *     freeze, wait for running ones
 *     OFFER  ------------------------->
 *            <-------------------------  ACCEPT (its incarnation)
 *     CHUNK 0..n-1 ------------------->  keeps them
 *            <-------------------------  ACK each; all there: installs once
 *
 * Until the first chunk the leaver may turn to another heir; after it, to
 * none: that one incarnation may have installed all of it, and a second heir
 * could run what the first has run.  A restarted heir is another incarnation
 * and takes no chunk that was sealed for the one before.
 */

#include "loom/hosts.h"
#include "loom/ticket.h"

#define HANDOVER_TICK_US (50 * LOOM_US_PER_MS)

enum handover_phase {
	HANDOVER_STAY,
	HANDOVER_WAIT, /* for running calls and incoming hand-overs */
	HANDOVER_OFFERING,
	HANDOVER_SENDING,
	HANDOVER_DONE,
};

struct handover_incoming; /* a state that is arriving, at its heir */

struct handover {
	struct loom_tickets *tickets; /* borrowed: the owner */
	uint8_t key[32];
	struct loom_hosts *hosts; /* counted, NULL until known */
	uint64_t announced_us;
	uint64_t asked_us;
	uint32_t asked; /* times */

	/* as leaver */
	enum handover_phase phase;
	uint64_t phase_us; /* when it began */
	uint64_t sent_us; /* the last offer or round of chunks */
	uint32_t offers; /* sent so far */
	uint64_t heir_host_id;
	uint64_t heir_incarnation;
	GByteArray *state; /* owned */
	GByteArray *acked; /* one byte a chunk; owned */
	uint32_t nacked;
	uint32_t cursor; /* the chunk to send next */

	/* as heir */
	GHashTable *incoming; /* by the leaver's incarnation; owned */
	GHashTable *installed; /* leavers' incarnations; never forgotten */
};

struct handover *handover_new(
    struct loom_tickets *tickets, const uint8_t *fleet_secret);
void handover_free(struct handover *handover);

/* The leaver's side. */
void handover_leave(struct handover *handover, uint64_t now_us);
void handover_leave_tick(struct handover *handover, uint64_t now_us);
void handover_accepted(struct handover *handover, const struct loom_from *from,
    uint64_t incarnation, uint64_t now_us);
void handover_acked(struct handover *handover, const struct loom_from *from,
    uint64_t incarnation, uint32_t index);

/* The heir's side. */
void handover_take_init(struct handover *handover);
void handover_take_free(struct handover *handover);
void handover_offered(struct handover *handover, const struct loom_from *from);
void handover_take(struct handover *handover, const struct loom_from *from,
    const uint8_t *message, size_t len, uint64_t now_us);
void handover_take_tick(struct handover *handover, uint64_t now_us);

/* Shared: to one host, and to all of the service. */
void handover_send(struct handover *handover, uint64_t host_id, uint8_t type,
    const uint8_t *payload, size_t len);
void handover_announce(
    struct handover *handover, uint64_t heir_host_id, uint64_t now_us);

#endif
