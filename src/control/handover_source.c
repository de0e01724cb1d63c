/*
 * The source's side of a handover.
 */

#include <string.h>

#include "control/tickets_state.h"
#include "inner/handover_codec.h"
#include "loom/log.h"

/*
 * How long to wait for running calls.  After that their tickets are handed over
 * as used, with an unknown outcome; their callers still get the answer from
 * here.
 */
#define RUNS_WAIT_MAX_US (10 * LOOM_US_PER_S)
/*
 * A live candidate answers within milliseconds; after this the next one is
 * asked.
 */
#define OFFER_TIMEOUT_US (300 * LOOM_US_PER_MS)
#define OFFERS_MAX 16
#define CANDIDATES_MAX 4
#define RESEND_INTERVAL_US (200 * LOOM_US_PER_MS)
/*
 * Chunks sent in one tick.  Limits the handover to 10 MB/s, for about a second
 * in the life of a daemon.
 */
#define CHUNKS_PER_TICK 32
/*
 * A successor whose acknowledgements are not complete by then is considered
 * gone.
 */
#define SEND_TIMEOUT_US (10 * LOOM_US_PER_S)
/*
 * How long a successor handles the tickets of an incarnation.  Far longer than
 * any deadline; without a limit, the state of all past incarnations would
 * accumulate.
 */
#define INHERITED_TTL_US (3600 * LOOM_US_PER_S)
/* Of cached answers; the tickets of the others are handed over as "ran". */
#define ANSWERS_MAX_BYTES (1024 * 1024)

static void
enter_phase(
    struct handover *handover, enum handover_phase phase, uint64_t now_us)
{
	handover->phase = phase;
	handover->phase_start_us = now_us;
	handover->last_send_us = 0;
}

static void
finish(struct handover *handover, uint64_t successor_host_id, uint64_t now_us)
{
	enter_phase(handover, HANDOVER_DONE, now_us);
	tickets_set_drained(handover->tickets, successor_host_id);
	if (successor_host_id != 0)
		handover_announce(handover, successor_host_id, now_us);
	else
		loom_log(LOOM_LOG_WARN, "tickets", LOOM_TICKET_LOST,
		    "no host took over the tickets at shutdown");
}

void
handover_start(struct handover *handover, uint64_t now_us)
{
	if (handover->phase != HANDOVER_IDLE)
		return;
	tickets_freeze(handover->tickets);
	enter_phase(handover, HANDOVER_WAITING, now_us);
}

static void
send_offer(struct handover *handover, uint64_t now_us)
{
	const struct loom_self *self = handover->tickets->config.self;
	uint64_t ids[CANDIDATES_MAX];
	size_t n = 0;

	if (handover->offer_count >= OFFERS_MAX) {
		finish(handover, 0, now_us);
		return;
	}
	if (handover->hosts != NULL)
		n = loom_ticket_successors(handover->hosts, self->service_id,
		    self->host_id, ids, CANDIDATES_MAX);
	if (n != 0)
		handover_send(handover, ids[handover->offer_count % n],
		    HANDOVER_OFFER, (const uint8_t *)"", 0);
	handover->offer_count++;
	handover->last_send_us = now_us;
}

/* Passed through the callbacks that write the state. */
struct state_writer {
	struct loom_packer packer;
	uint64_t now_us;
	size_t cached_bytes;
};

static void
pack_window(void *arg, uint64_t incarnation, uint64_t team_id,
    const struct ticket_window *window)
{
	struct state_writer *writer = arg;

	/*
	 * If there is no room, cached answers are left out first, and then
	 * whole windows.  Tickets without a window are answered as lost and
	 * never run.
	 */
	if (writer->packer.len + sizeof(*window) + 4 * LOOM_PACKED_SCALAR_MAX <
	    HANDOVER_STATE_MAX)
		handover_window_pack(
		    &writer->packer, incarnation, team_id, window);
}

static bool
pack_answer(void *arg, const struct loom_ticket_run *run)
{
	struct state_writer *writer = arg;
	size_t size = handover_answer_size(run);

	writer->cached_bytes += size;
	if (writer->cached_bytes > ANSWERS_MAX_BYTES / TICKET_SHARDS)
		return false;
	if (writer->packer.len + size + LOOM_PACKED_SCALAR_MAX >
	    HANDOVER_STATE_MAX)
		return false;
	handover_answer_pack(&writer->packer, run);
	return true;
}

static void
pack_issuers(struct loom_tickets *tickets, struct state_writer *writer)
{
	const struct ticket_issuer *issuer;
	struct handover_issuer item;
	guint i;

	g_mutex_lock(&tickets->issuers_lock);
	for (i = 0; i < tickets->issuers->len; i++) {
		issuer =
		    &g_array_index(tickets->issuers, struct ticket_issuer, i);
		if (issuer->expires_us <= writer->now_us)
			continue;
		item = (struct handover_issuer){
			.host_id = issuer->host_id,
			.incarnation = issuer->incarnation,
			.remaining_us = MIN(issuer->expires_us - writer->now_us,
			    INHERITED_TTL_US),
		};
		memcpy(item.secret, issuer->secret, sizeof(item.secret));
		handover_issuer_pack(&writer->packer, &item);
	}
	g_mutex_unlock(&tickets->issuers_lock);
}

static void
pack_shard(struct ticket_shard *shard, struct state_writer *writer)
{
	writer->cached_bytes = 0;
	g_mutex_lock(&shard->lock);
	ticket_windows_foreach(
	    ticket_store_windows(shard->store), pack_window, writer);
	ticket_store_foreach_answer(shard->store, pack_answer, writer);
	g_mutex_unlock(&shard->lock);
}

static void
pack_state(struct handover *handover, uint64_t now_us)
{
	struct state_writer writer = { .now_us = now_us };
	struct loom_tickets *tickets = handover->tickets;
	GByteArray *state = g_byte_array_new();
	size_t i;

	g_byte_array_set_size(state, HANDOVER_STATE_MAX);
	loom_pack_init(&writer.packer, state->data, state->len);
	handover_state_begin(&writer.packer);
	pack_issuers(tickets, &writer);
	for (i = 0; i < TICKET_SHARDS; i++)
		pack_shard(&tickets->shards[i], &writer);
	handover_state_end(&writer.packer);
	g_byte_array_set_size(state, (guint)writer.packer.len);
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
		.source_host_id = self->host_id,
		.source_incarnation = self->incarnation,
		.successor_incarnation = handover->successor_incarnation,
	};
	uint8_t message[HANDOVER_MESSAGE_MAX];
	size_t offset = (size_t)index * HANDOVER_CHUNK_BYTES;
	size_t len = MIN(handover->state->len - offset, HANDOVER_CHUNK_BYTES);

	len = handover_chunk_seal(handover->key, &pair, index,
	    chunk_count(handover), handover->state->data + offset, len,
	    message);
	handover_send(handover, handover->successor_host_id, HANDOVER_CHUNK,
	    message, len);
}

/* Sends the next batch of unacknowledged chunks, at most CHUNKS_PER_TICK. */
static void
send_next_chunks(struct handover *handover, uint64_t now_us)
{
	uint32_t n = chunk_count(handover), sent = 0;

	if (handover->next_chunk == 0 && handover->last_send_us != 0 &&
	    now_us - handover->last_send_us < RESEND_INTERVAL_US)
		return;
	handover->last_send_us = now_us;
	while (handover->next_chunk < n && sent < CHUNKS_PER_TICK) {
		if (!handover->acked->data[handover->next_chunk]) {
			send_chunk(handover, handover->next_chunk);
			sent++;
		}
		handover->next_chunk++;
	}
	if (handover->next_chunk == n)
		handover->next_chunk = 0;
}

void
handover_on_accept(struct handover *handover,
    const struct loom_message_source *from, uint64_t incarnation,
    uint64_t now_us)
{
	const struct loom_self *self = handover->tickets->config.self;

	/*
	 * The first host to accept is the successor.  A second one, or the same
	 * host after a restart, is too late.
	 */
	if (handover->phase != HANDOVER_OFFERING ||
	    incarnation != self->incarnation || from->host_id == self->host_id)
		return;
	handover->successor_host_id = from->host_id;
	handover->successor_incarnation = from->incarnation;
	pack_state(handover, now_us);
	handover->acked = g_byte_array_new();
	g_byte_array_set_size(handover->acked, chunk_count(handover));
	memset(handover->acked->data, 0, handover->acked->len);
	enter_phase(handover, HANDOVER_SENDING, now_us);
	send_next_chunks(handover, now_us);
}

void
handover_on_ack(struct handover *handover,
    const struct loom_message_source *from, uint64_t incarnation,
    uint32_t index)
{
	if (handover->phase != HANDOVER_SENDING ||
	    incarnation != handover->tickets->config.self->incarnation ||
	    from->host_id != handover->successor_host_id ||
	    from->incarnation != handover->successor_incarnation ||
	    index >= handover->acked->len || handover->acked->data[index])
		return;
	handover->acked->data[index] = 1;
	handover->acked_count++;
}

static void
waiting_tick(struct handover *handover, uint64_t now_us)
{
	bool timed_out = now_us - handover->phase_start_us >= RUNS_WAIT_MAX_US;
	bool busy = tickets_running(handover->tickets) != 0 ||
	    g_hash_table_size(handover->incoming) != 0;

	if (busy && !timed_out)
		return;
	enter_phase(handover, HANDOVER_OFFERING, now_us);
	send_offer(handover, now_us);
}

void
handover_source_tick(struct handover *handover, uint64_t now_us)
{
	switch (handover->phase) {
	case HANDOVER_WAITING:
		waiting_tick(handover, now_us);
		break;
	case HANDOVER_OFFERING:
		if (now_us - handover->last_send_us >= OFFER_TIMEOUT_US)
			send_offer(handover, now_us);
		break;
	case HANDOVER_SENDING:
		/*
		 * Even if acknowledgements are missing, the tickets count as
		 * handed over: the successor may run them, so this daemon no
		 * longer may.
		 */
		if (handover->acked_count == handover->acked->len ||
		    now_us - handover->phase_start_us >= SEND_TIMEOUT_US)
			finish(handover, handover->successor_host_id, now_us);
		else
			send_next_chunks(handover, now_us);
		break;
	case HANDOVER_IDLE:
	case HANDOVER_DONE:
		break;
	}
}
