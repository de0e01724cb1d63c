/*
 * The leaver's side of a hand-over.
 */

#include <string.h>

#include "control/tickets_state.h"
#include "inner/handover_codec.h"
#include "loom/log.h"

/* Running calls may take this long before they are handed over as used with
 * an unknown outcome; their own callers are still answered from here. */
#define WAIT_MAX_US (10 * LOOM_US_PER_S)
/* A live heir answers within milliseconds; after this the next is asked. */
#define OFFER_US (300 * LOOM_US_PER_MS)
#define OFFERS_MAX 16
#define HEIRS_ASKED 4
#define RESEND_US (200 * LOOM_US_PER_MS)
/* Chunks in one tick: 10 MB/s at most, for a second or so in a daemon's
 * life. */
#define CHUNKS_PER_TICK 32
/* An heir that acknowledges nothing for so long is gone. */
#define SEND_MAX_US (10 * LOOM_US_PER_S)
/* How long an heir answers for the tickets of a leaver.  Far over any
 * deadline; without an end, years of leavers would pile up. */
#define INHERIT_US (3600 * LOOM_US_PER_S)
/* Of kept answers; the others are handed over as "ran". */
#define KEPT_MAX_BYTES (1024 * 1024)

static void
enter_phase(
    struct handover *handover, enum handover_phase phase, uint64_t now_us)
{
	handover->phase = phase;
	handover->phase_us = now_us;
	handover->sent_us = 0;
}

static void
finish(struct handover *handover, uint64_t heir_host_id, uint64_t now_us)
{
	enter_phase(handover, HANDOVER_DONE, now_us);
	tickets_set_drained(handover->tickets, heir_host_id);
	if (heir_host_id != 0)
		handover_announce(handover, heir_host_id, now_us);
	else
		loom_log(LOOM_LOG_WARN, "tickets", LOOM_TICKET_LOST,
		    "no heir took our tickets over");
}

void
handover_leave(struct handover *handover, uint64_t now_us)
{
	if (handover->phase != HANDOVER_STAY)
		return;
	tickets_freeze(handover->tickets);
	enter_phase(handover, HANDOVER_WAIT, now_us);
}

static void
send_offer(struct handover *handover, uint64_t now_us)
{
	const struct loom_self *self = handover->tickets->config.self;
	uint64_t ids[HEIRS_ASKED];
	size_t n = 0;

	if (handover->offers >= OFFERS_MAX) {
		finish(handover, 0, now_us);
		return;
	}
	if (handover->hosts != NULL)
		n = loom_ticket_heirs(handover->hosts, self->service_id,
		    self->host_id, ids, HEIRS_ASKED);
	if (n != 0)
		handover_send(handover, ids[handover->offers % n],
		    HANDOVER_OFFER, (const uint8_t *)"", 0);
	handover->offers++;
	handover->sent_us = now_us;
}

/* What the packing of the state carries along. */
struct state_packing {
	struct loom_packer packer;
	uint64_t now_us;
	size_t cached_bytes;
};

static void
pack_window(void *arg, uint64_t incarnation, uint64_t team_id,
    const struct ticket_window *window)
{
	struct state_packing *packing = arg;

	/* Kept answers, and then whole windows, are left out when there is
	 * no room: such tickets are answered as lost, never run. */
	if (packing->packer.len + sizeof(*window) + 4 * LOOM_PACKED_SCALAR_MAX <
	    HANDOVER_STATE_MAX)
		handover_window_pack(
		    &packing->packer, incarnation, team_id, window);
}

static bool
pack_kept(void *arg, const struct loom_ticket_run *run)
{
	struct state_packing *packing = arg;
	size_t size = handover_kept_size(run);

	packing->cached_bytes += size;
	if (packing->cached_bytes > KEPT_MAX_BYTES / TICKET_SHARDS)
		return false;
	if (packing->packer.len + size + LOOM_PACKED_SCALAR_MAX >
	    HANDOVER_STATE_MAX)
		return false;
	handover_kept_pack(&packing->packer, run);
	return true;
}

static void
pack_issuers(struct loom_tickets *tickets, struct state_packing *packing)
{
	const struct ticket_issuer *issuer;
	struct handover_issuer item;
	guint i;

	g_mutex_lock(&tickets->issuers_lock);
	for (i = 0; i < tickets->issuers->len; i++) {
		issuer =
		    &g_array_index(tickets->issuers, struct ticket_issuer, i);
		if (issuer->expires_us <= packing->now_us)
			continue;
		item = (struct handover_issuer){
			.host_id = issuer->host_id,
			.incarnation = issuer->incarnation,
			.remaining_us = MIN(
			    issuer->expires_us - packing->now_us, INHERIT_US),
		};
		memcpy(item.secret, issuer->secret, sizeof(item.secret));
		handover_issuer_pack(&packing->packer, &item);
	}
	g_mutex_unlock(&tickets->issuers_lock);
}

static void
pack_shard(struct ticket_shard *shard, struct state_packing *packing)
{
	packing->cached_bytes = 0;
	g_mutex_lock(&shard->lock);
	ticket_windows_foreach(
	    ticket_store_windows(shard->store), pack_window, packing);
	ticket_store_foreach_answer(shard->store, pack_kept, packing);
	g_mutex_unlock(&shard->lock);
}

static void
pack_state(struct handover *handover, uint64_t now_us)
{
	struct state_packing packing = { .now_us = now_us };
	struct loom_tickets *tickets = handover->tickets;
	GByteArray *state = g_byte_array_new();
	size_t i;

	g_byte_array_set_size(state, HANDOVER_STATE_MAX);
	loom_pack_init(&packing.packer, state->data, state->len);
	handover_state_begin(&packing.packer);
	pack_issuers(tickets, &packing);
	for (i = 0; i < TICKET_SHARDS; i++)
		pack_shard(&tickets->shards[i], &packing);
	handover_state_end(&packing.packer);
	g_byte_array_set_size(state, (guint)packing.packer.len);
	handover->state = state;
}

static uint32_t
chunk_count(const struct handover *handover)
{
	return (handover->state->len + HANDOVER_CHUNK_BYTES - 1) /
	    HANDOVER_CHUNK_BYTES;
}

static void
send_chunk(struct handover *handover, uint32_t index)
{
	const struct loom_self *self = handover->tickets->config.self;
	const struct handover_pair pair = {
		.leaver_host_id = self->host_id,
		.leaver_incarnation = self->incarnation,
		.heir_incarnation = handover->heir_incarnation,
	};
	uint8_t message[HANDOVER_MESSAGE_MAX];
	size_t offset = (size_t)index * HANDOVER_CHUNK_BYTES;
	size_t len = MIN(handover->state->len - offset, HANDOVER_CHUNK_BYTES);

	len = handover_chunk_seal(handover->key, &pair, index,
	    chunk_count(handover), handover->state->data + offset, len,
	    message);
	handover_send(
	    handover, handover->heir_host_id, HANDOVER_CHUNK, message, len);
}

/* One tick's share of the chunks that are not acknowledged. */
static void
send_round(struct handover *handover, uint64_t now_us)
{
	uint32_t n = chunk_count(handover), sent = 0;

	if (handover->cursor == 0 && handover->sent_us != 0 &&
	    now_us - handover->sent_us < RESEND_US)
		return;
	handover->sent_us = now_us;
	while (handover->cursor < n && sent < CHUNKS_PER_TICK) {
		if (!handover->acked->data[handover->cursor]) {
			send_chunk(handover, handover->cursor);
			sent++;
		}
		handover->cursor++;
	}
	if (handover->cursor == n)
		handover->cursor = 0;
}

void
handover_accepted(struct handover *handover, const struct loom_from *from,
    uint64_t incarnation, uint64_t now_us)
{
	const struct loom_self *self = handover->tickets->config.self;

	/* The first to accept is the heir; a second one, or the same host
	 * after a restart, comes too late. */
	if (handover->phase != HANDOVER_OFFERING ||
	    incarnation != self->incarnation || from->host_id == self->host_id)
		return;
	handover->heir_host_id = from->host_id;
	handover->heir_incarnation = from->incarnation;
	pack_state(handover, now_us);
	handover->acked = g_byte_array_new();
	g_byte_array_set_size(handover->acked, chunk_count(handover));
	memset(handover->acked->data, 0, handover->acked->len);
	enter_phase(handover, HANDOVER_SENDING, now_us);
	send_round(handover, now_us);
}

void
handover_acked(struct handover *handover, const struct loom_from *from,
    uint64_t incarnation, uint32_t index)
{
	if (handover->phase != HANDOVER_SENDING ||
	    incarnation != handover->tickets->config.self->incarnation ||
	    from->host_id != handover->heir_host_id ||
	    from->incarnation != handover->heir_incarnation ||
	    index >= handover->acked->len || handover->acked->data[index])
		return;
	handover->acked->data[index] = 1;
	handover->nacked++;
}

static void
wait_tick(struct handover *handover, uint64_t now_us)
{
	bool waited = now_us - handover->phase_us >= WAIT_MAX_US;
	bool busy = tickets_running(handover->tickets) != 0 ||
	    g_hash_table_size(handover->incoming) != 0;

	if (busy && !waited)
		return;
	enter_phase(handover, HANDOVER_OFFERING, now_us);
	send_offer(handover, now_us);
}

void
handover_leave_tick(struct handover *handover, uint64_t now_us)
{
	switch (handover->phase) {
	case HANDOVER_WAIT:
		wait_tick(handover, now_us);
		break;
	case HANDOVER_OFFERING:
		if (now_us - handover->sent_us >= OFFER_US)
			send_offer(handover, now_us);
		break;
	case HANDOVER_SENDING:
		/* Without the last acknowledgement it counts as handed over
		 * all the same: the heir may run what we no longer do. */
		if (handover->nacked == handover->acked->len ||
		    now_us - handover->phase_us >= SEND_MAX_US)
			finish(handover, handover->heir_host_id, now_us);
		else
			send_round(handover, now_us);
		break;
	case HANDOVER_STAY:
	case HANDOVER_DONE:
		break;
	}
}
