/*
 * The successor's side of a handover.
 */

#include <string.h>
#include <talloc.h>

#include "control/tickets_state.h"
#include "inner/handover_codec.h"
#include "loom/log.h"

/* States received at the same time; each may take HANDOVER_STATE_MAX bytes. */
#define INCOMING_MAX 4
/*
 * Longer than a source keeps sending (SEND_TIMEOUT_US), so that no state is
 * dropped that could still be completed.
 */
#define INCOMING_TIMEOUT_US (60 * LOOM_US_PER_S)

struct handover_incoming {
	uint64_t incarnation; /* key: the source's incarnation; must be first */
	uint64_t started_us;
	uint32_t count;
	uint32_t received_count;
	GBytes **chunks; /* owned; NULL until each is received */
};

static void
incoming_free(gpointer value)
{
	struct handover_incoming *incoming = value;
	uint32_t i;

	for (i = 0; i < incoming->count; i++) {
		if (incoming->chunks[i] != NULL)
			g_bytes_unref(incoming->chunks[i]);
	}
	talloc_free(incoming);
}

void
handover_successor_init(struct handover *handover)
{
	handover->incoming = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, incoming_free);
	handover->installed =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void
handover_successor_free(struct handover *handover)
{
	g_hash_table_destroy(handover->incoming);
	g_hash_table_destroy(handover->installed);
}

/*
 * This daemon's own state is written once, when it is sent; a state received
 * later could not be passed on.
 */
static bool
can_receive(const struct handover *handover)
{
	return handover->phase == HANDOVER_IDLE ||
	    handover->phase == HANDOVER_WAITING;
}

void
handover_on_offer(
    struct handover *handover, const struct loom_message_source *from)
{
	uint8_t message[HANDOVER_MESSAGE_MAX];
	size_t len;

	if (handover->phase != HANDOVER_IDLE ||
	    g_hash_table_size(handover->incoming) >= INCOMING_MAX ||
	    g_hash_table_contains(handover->installed, &from->incarnation))
		return;
	len = handover_reply_pack(from->incarnation, 0, message);
	handover_send(handover, from->host_id, HANDOVER_ACCEPT, message, len);
}

/* Passed through the callbacks that read a state. */
struct state_install {
	struct loom_tickets *tickets;
	uint64_t now_us;
	GArray *issuers; /* struct ticket_issuer */
};

static void
install_issuer(void *arg, const struct handover_issuer *item)
{
	struct state_install *install = arg;
	struct ticket_issuer issuer = {
		.host_id = item->host_id,
		.incarnation = item->incarnation,
		.expires_us = install->now_us + item->remaining_us,
	};

	memcpy(issuer.secret, item->secret, sizeof(issuer.secret));
	g_array_append_val(install->issuers, issuer);
}

static void
install_window(void *arg, uint64_t incarnation, uint64_t team_id,
    const struct ticket_window *window)
{
	struct state_install *install = arg;
	struct ticket_shard *shard = tickets_shard(install->tickets, team_id);

	g_mutex_lock(&shard->lock);
	ticket_windows_import(
	    ticket_store_windows(shard->store), incarnation, team_id, window);
	g_mutex_unlock(&shard->lock);
}

static void
install_answer(void *arg, const struct ticket_key *key,
    const struct loom_request_digest *digest, struct loom_answer *answer)
{
	struct state_install *install = arg;
	struct ticket_shard *shard =
	    tickets_shard(install->tickets, key->team_id);

	g_mutex_lock(&shard->lock);
	ticket_store_import_answer(shard->store, key, digest, answer);
	g_mutex_unlock(&shard->lock);
}

/*
 * Removes the recorded successors of incarnations that this daemon has
 * inherited.  A stale entry would send callers in a circle once the inherited
 * issuers expire here.
 */
static void
remove_successors(struct loom_tickets *tickets, const GArray *issuers)
{
	guint i;

	for (i = 0; i < issuers->len; i++)
		g_hash_table_remove(tickets->successors,
		    &g_array_index(issuers, struct ticket_issuer, i)
			 .incarnation);
}

/*
 * Installs the issuers last.  A ticket that arrives in between is answered as
 * moving and never finds an issuer whose windows are not installed yet.
 */
static void
install_state(
    struct handover *handover, const GByteArray *state, uint64_t now_us)
{
	struct loom_tickets *tickets = handover->tickets;
	struct state_install install = {
		.tickets = tickets,
		.now_us = now_us,
		.issuers =
		    g_array_new(FALSE, FALSE, sizeof(struct ticket_issuer)),
	};
	const struct handover_reader reader = {
		.issuer = install_issuer,
		.window = install_window,
		.answer = install_answer,
		.arg = &install,
	};

	if (!handover_state_read(state->data, state->len, &reader))
		loom_log(LOOM_LOG_ERROR, "tickets", LOOM_INNER_MALFORMED,
		    "cannot decode a received ticket handover; its tickets are lost");
	g_mutex_lock(&tickets->issuers_lock);
	g_array_append_vals(
	    tickets->issuers, install.issuers->data, install.issuers->len);
	remove_successors(tickets, install.issuers);
	g_mutex_unlock(&tickets->issuers_lock);
	g_array_free(install.issuers, TRUE);
}

static void
complete(struct handover *handover, struct handover_incoming *incoming,
    uint64_t now_us)
{
	uint64_t incarnation = incoming->incarnation;
	GByteArray *state = g_byte_array_new();
	gconstpointer data;
	uint32_t i;
	gsize len;

	for (i = 0; i < incoming->count; i++) {
		data = g_bytes_get_data(incoming->chunks[i], &len);
		g_byte_array_append(state, data, (guint)len);
	}
	/*
	 * Recorded before anything is installed: a second copy of the state
	 * would reset tickets to unused that have run since the first.
	 */
	g_hash_table_add(
	    handover->installed, g_memdup2(&incarnation, sizeof(incarnation)));
	g_hash_table_remove(handover->incoming, &incarnation);
	install_state(handover, state, now_us);
	g_byte_array_free(state, TRUE);
	tickets_set_moving(handover->tickets, incarnation, false);
	handover_announce(
	    handover, handover->tickets->config.self->host_id, now_us);
}

static struct handover_incoming *
get_incoming(struct handover *handover, uint64_t incarnation, uint32_t count,
    uint64_t now_us)
{
	struct handover_incoming *incoming;

	incoming = g_hash_table_lookup(handover->incoming, &incarnation);
	if (incoming != NULL)
		return incoming->count == count ? incoming : NULL;
	if (g_hash_table_size(handover->incoming) >= INCOMING_MAX)
		return NULL;
	incoming = talloc_zero(handover, struct handover_incoming);
	incoming->incarnation = incarnation;
	incoming->started_us = now_us;
	incoming->count = count;
	incoming->chunks = talloc_zero_array(incoming, GBytes *, count);
	g_hash_table_insert(
	    handover->incoming, &incoming->incarnation, incoming);
	tickets_set_moving(handover->tickets, incarnation, true);
	return incoming;
}

static void
acknowledge(struct handover *handover, const struct loom_message_source *from,
    uint32_t index)
{
	uint8_t message[HANDOVER_MESSAGE_MAX];
	size_t len = handover_reply_pack(from->incarnation, index, message);

	handover_send(handover, from->host_id, HANDOVER_ACK, message, len);
}

/* Returns true if the chunk is stored, now or by an earlier copy. */
static bool
store_chunk(struct handover *handover, const struct loom_message_source *from,
    const struct handover_chunk *chunk, uint64_t now_us)
{
	struct handover_incoming *incoming;

	if (g_hash_table_contains(handover->installed, &from->incarnation))
		return true;
	if (!can_receive(handover))
		return false;
	incoming =
	    get_incoming(handover, from->incarnation, chunk->count, now_us);
	if (incoming == NULL)
		return false;
	if (incoming->chunks[chunk->index] != NULL)
		return true;
	incoming->chunks[chunk->index] = g_bytes_new(chunk->data, chunk->len);
	incoming->received_count++;
	if (incoming->received_count == incoming->count)
		complete(handover, incoming, now_us);
	return true;
}

void
handover_on_chunk(struct handover *handover,
    const struct loom_message_source *from, const uint8_t *message, size_t len,
    uint64_t now_us)
{
	const struct handover_pair pair = {
		.source_host_id = from->host_id,
		.source_incarnation = from->incarnation,
		.successor_incarnation =
		    handover->tickets->config.self->incarnation,
	};
	struct handover_chunk chunk;

	if (!handover_chunk_open(handover->key, &pair, message, len, &chunk))
		return;
	if (store_chunk(handover, from, &chunk, now_us))
		acknowledge(handover, from, chunk.index);
}

static void
drop_timed_out(struct handover *handover, uint64_t now_us)
{
	const struct handover_incoming *incoming;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, handover->incoming);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		incoming = value;
		if (now_us - incoming->started_us < INCOMING_TIMEOUT_US)
			continue;
		tickets_set_moving(
		    handover->tickets, incoming->incarnation, false);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Removes one inherited issuer that has expired and returns its incarnation, or
 * 0.
 */
static uint64_t
pop_expired(struct loom_tickets *tickets, uint64_t now_us)
{
	const struct ticket_issuer *issuer;
	uint64_t incarnation = 0;
	guint i;

	g_mutex_lock(&tickets->issuers_lock);
	for (i = 1; i < tickets->issuers->len && incarnation == 0; i++) {
		issuer =
		    &g_array_index(tickets->issuers, struct ticket_issuer, i);
		if (issuer->expires_us > now_us)
			continue;
		incarnation = issuer->incarnation;
		g_array_remove_index(tickets->issuers, i);
	}
	g_mutex_unlock(&tickets->issuers_lock);
	return incarnation;
}

static void
remove_expired(struct loom_tickets *tickets, uint64_t now_us)
{
	uint64_t incarnation;
	size_t i;

	while ((incarnation = pop_expired(tickets, now_us)) != 0) {
		for (i = 0; i < TICKET_SHARDS; i++) {
			g_mutex_lock(&tickets->shards[i].lock);
			ticket_windows_remove_issuer(
			    ticket_store_windows(tickets->shards[i].store),
			    incarnation);
			g_mutex_unlock(&tickets->shards[i].lock);
		}
	}
}

void
handover_successor_tick(struct handover *handover, uint64_t now_us)
{
	drop_timed_out(handover, now_us);
	/* Once the state was written, inherited issuers are kept until exit. */
	if (can_receive(handover))
		remove_expired(handover->tickets, now_us);
}
