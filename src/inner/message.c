/*
 * Encodes and decodes message envelopes, and detects replayed messages.
 */

#include <glib.h>
#include <string.h>

#include "loom/clock.h"
#include "loom/inner.h"

/*
 * Maximum number of senders tracked: twice a fleet of 17,000 hosts, in about 3
 * MB.
 */
#define SENDERS_MAX 34000
/*
 * When the table is full, senders that have sent nothing for this long are
 * removed. A later replay of one of their messages would need a captured
 * session key.
 */
#define SENDER_IDLE_US (60 * LOOM_US_PER_S)
#define WINDOW_BITS 64

size_t
loom_message_pack(const struct loom_message *envelope, void *buf, size_t size)
{
	struct loom_packer packer;

	loom_pack_init(&packer, buf, size);
	loom_pack_u64(&packer, LOOM_INNER_PROTOCOL);
	loom_pack_u64(&packer, envelope->type);
	loom_pack_u64(&packer, envelope->from.host_id);
	loom_pack_u64(&packer, envelope->from.incarnation);
	loom_pack_u64(&packer, envelope->sequence);
	loom_pack_str(&packer, envelope->control);
	loom_pack_bin(&packer, envelope->payload, envelope->len);
	return loom_pack_ok(&packer) ? packer.len : 0;
}

enum loom_result
loom_message_unpack(const void *data, size_t len, struct loom_message *envelope)
{
	struct loom_unpacker unpacker;
	uint64_t version;

	*envelope = (struct loom_message){ .type = 0 };
	if (len > LOOM_PAYLOAD_MAX + LOOM_MESSAGE_HEADER_MAX)
		return LOOM_INNER_OVERSIZED;
	loom_unpack_init(&unpacker, data, len);
	version = loom_unpack_u64(&unpacker, UINT64_MAX);
	if (loom_unpack_error(&unpacker) != LOOM_OK)
		return loom_unpack_error(&unpacker);
	if (version != LOOM_INNER_PROTOCOL)
		return LOOM_INNER_VERSION;
	envelope->type =
	    (uint8_t)loom_unpack_u64(&unpacker, LOOM_MESSAGE_TYPES - 1);
	envelope->from.host_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	envelope->from.incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	envelope->sequence = loom_unpack_u64(&unpacker, UINT64_MAX);
	loom_unpack_str(
	    &unpacker, envelope->control, sizeof(envelope->control));
	envelope->payload =
	    loom_unpack_bin(&unpacker, LOOM_PAYLOAD_MAX, &envelope->len);
	loom_unpack_end(&unpacker);
	return loom_unpack_error(&unpacker);
}

struct loom_replay_window {
	GHashTable *senders; /* struct replay_sender, keyed by its field from */
};

struct replay_sender {
	struct loom_message_source from;
	uint64_t highest_sequence;
	uint64_t received_mask; /* bit i: highest_sequence - i was received */
	uint64_t last_received_us;
};

static guint
from_hash(gconstpointer key)
{
	const struct loom_message_source *from = key;

	return (
	    guint)(from->host_id ^ from->incarnation ^ from->incarnation >> 32);
}

static gboolean
from_equal(gconstpointer a, gconstpointer b)
{
	const struct loom_message_source *x = a, *y = b;

	return x->host_id == y->host_id && x->incarnation == y->incarnation;
}

static int
replay_window_destroy(struct loom_replay_window *replay_window)
{
	g_hash_table_destroy(replay_window->senders);
	return 0;
}

struct loom_replay_window *
loom_replay_window_new(TALLOC_CTX *mem_ctx)
{
	struct loom_replay_window *replay_window =
	    talloc_zero(mem_ctx, struct loom_replay_window);

	if (replay_window == NULL)
		return NULL;
	replay_window->senders =
	    g_hash_table_new_full(from_hash, from_equal, NULL, g_free);
	talloc_set_destructor(replay_window, replay_window_destroy);
	return replay_window;
}

static gboolean
sender_is_idle(gpointer key, gpointer value, gpointer arg)
{
	const struct replay_sender *sender = value;
	const uint64_t *now_us = arg;

	(void)key;
	return *now_us - sender->last_received_us > SENDER_IDLE_US;
}

/*
 * Starts tracking a sender. Returns false if the maximum number of senders is
 * reached and none of them is idle.
 */
static bool
add_sender(struct loom_replay_window *replay_window,
    const struct loom_message_source *from, uint64_t sequence, uint64_t now_us)
{
	struct replay_sender *sender;

	if (g_hash_table_size(replay_window->senders) >= SENDERS_MAX)
		g_hash_table_foreach_remove(
		    replay_window->senders, sender_is_idle, &now_us);
	if (g_hash_table_size(replay_window->senders) >= SENDERS_MAX)
		return false;
	sender = g_new0(struct replay_sender, 1);
	sender->from = *from;
	sender->highest_sequence = sequence;
	sender->received_mask = 1;
	sender->last_received_us = now_us;
	g_hash_table_insert(replay_window->senders, &sender->from, sender);
	return true;
}

bool
loom_replay_window_accept(struct loom_replay_window *replay_window,
    const struct loom_message_source *from, uint64_t sequence, uint64_t now_us)
{
	struct replay_sender *sender;
	uint64_t shift, bit;

	sender = g_hash_table_lookup(replay_window->senders, from);
	if (sender == NULL)
		return add_sender(replay_window, from, sequence, now_us);
	sender->last_received_us = now_us;
	if (sequence > sender->highest_sequence) {
		shift = sequence - sender->highest_sequence;
		sender->received_mask =
		    shift < WINDOW_BITS ? sender->received_mask << shift : 0;
		sender->received_mask |= 1;
		sender->highest_sequence = sequence;
		return true;
	}
	if (sender->highest_sequence - sequence >= WINDOW_BITS)
		return false;
	bit = UINT64_C(1) << (sender->highest_sequence - sequence);
	if (sender->received_mask & bit)
		return false;
	sender->received_mask |= bit;
	return true;
}
