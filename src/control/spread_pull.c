/*
 * Requesting values from peers and serving their requests.
 *
 * Ids are sent first.  A value is requested once, from the first peer that
 * announced it; if it does not arrive, it is requested again from the latest
 * peer that announced it.  So each daemon receives each value about once,
 * however many peers announce it.
 */

#include <string.h>

#include "control/spread_compress.h"
#include "control/spread_private.h"
#include "loom/event.h"

/* After this time the request or its answer counts as lost, or the peer as
 * gone. */
#define RETRY_INTERVAL_US (500 * LOOM_US_PER_MS)
/* After these a later summary will announce the value again. */
#define ATTEMPTS_MAX 6
/* Limit on the bytes of values in one message. */
#define GIVE_MESSAGE_BYTES (64 * 1024)
/* Longer values are sent compressed, in a message each. */
#define UNCOMPRESSED_MAX_BYTES (16 * 1024)

struct pending_request {
	uint64_t id; /* the key */
	struct spread_id wanted;
	uint64_t host_id; /* the latest peer that announced it */
	uint64_t first_asked_us;
	uint64_t asked_us; /* the latest time */
	uint32_t attempts;
};

void
spread_pull_init(struct loom_spread *spread)
{
	spread->pending =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
spread_pull_free(struct loom_spread *spread)
{
	g_hash_table_destroy(spread->pending);
}

struct spread_pull_effort
spread_pull_received(struct loom_spread *spread, uint64_t id, uint64_t now_us)
{
	struct pending_request *pending =
	    g_hash_table_lookup(spread->pending, &id);
	struct spread_pull_effort effort = { .requests = 0 };

	if (pending == NULL)
		return effort;
	effort.requests = pending->attempts;
	effort.waited_us = now_us - pending->first_asked_us;
	if (spread_store_compare(spread->store, &pending->wanted) >= 0)
		g_hash_table_remove(spread->pending, &id);
	return effort;
}

static bool
id_newer(const struct spread_id *a, const struct spread_id *b)
{
	return a->number != b->number ? a->number > b->number
				      : a->digest > b->digest;
}

/* Returns whether to request the value from the host now. */
static bool
add_pending(struct loom_spread *spread, uint64_t host_id,
    const struct spread_id *id, uint64_t now_us)
{
	struct pending_request *pending;

	pending = g_hash_table_lookup(spread->pending, &id->id);
	if (pending != NULL && !id_newer(id, &pending->wanted)) {
		/* Already requested: try this host next. */
		if (!id_newer(&pending->wanted, id))
			pending->host_id = host_id;
		return false;
	}
	if (pending == NULL) {
		pending = g_new0(struct pending_request, 1);
		pending->id = id->id;
		pending->first_asked_us = now_us;
		g_hash_table_insert(spread->pending, &pending->id, pending);
	}
	pending->wanted = *id;
	pending->host_id = host_id;
	pending->asked_us = now_us;
	pending->attempts = 1;
	return true;
}

static void
send_want(struct loom_spread *spread, uint64_t host_id,
    const struct spread_want *want)
{
	uint8_t buf[LOOM_PACKED_SCALAR_MAX * (SPREAD_WANT_IDS_MAX + 1)];
	size_t len;

	if (want->nids == 0)
		return;
	len = spread_want_pack(want, buf, sizeof(buf));
	spread_send(spread, host_id, SPREAD_WANT, buf, len);
}

uint32_t
spread_pull_request(struct loom_spread *spread, uint64_t host_id,
    const struct spread_id *ids, uint32_t n, uint64_t now_us)
{
	struct spread_want want = { .nids = 0 };
	uint32_t newer = 0, i;

	for (i = 0; i < n; i++) {
		if (spread_store_compare(spread->store, &ids[i]) >= 0)
			continue;
		newer++;
		if (!add_pending(spread, host_id, &ids[i], now_us))
			continue;
		want.ids[want.nids++] = ids[i].id;
		if (want.nids == SPREAD_WANT_IDS_MAX) {
			send_want(spread, host_id, &want);
			want.nids = 0;
		}
	}
	send_want(spread, host_id, &want);
	return newer;
}

void
spread_pull_tick(struct loom_spread *spread, uint64_t now_us)
{
	struct spread_want want = { .nids = 1 };
	struct pending_request *pending;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, spread->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pending = value;
		if (now_us - pending->asked_us < RETRY_INTERVAL_US)
			continue;
		if (pending->attempts == ATTEMPTS_MAX) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		pending->attempts++;
		pending->asked_us = now_us;
		want.ids[0] = pending->id;
		send_want(spread, pending->host_id, &want);
	}
}

static void
log_not_sent(
    const struct loom_spread_item *item, const char *why, uint64_t now_us)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", "not sent"),
		LOOM_F_TEXT("cause", why),
		LOOM_F_TEXT("name", item->name),
		LOOM_F_INT("version", item->version.number),
		LOOM_F_INT("bytes", item->len),
		LOOM_F_END,
	};

	if (item->kind == LOOM_SPREAD_MANIFEST &&
	    loom_event_admit(NULL, now_us))
		loom_event_write(LOOM_EVENT_VALUE, fields);
}

static bool
may_send(struct loom_spread *spread, uint64_t host_id,
    const struct loom_spread_item *item, uint64_t now_us)
{
	if (send_limit_admit(spread->send_limit, host_id, item->id,
		spread_id_of(item).digest, now_us))
		return true;
	loom_counter_add(spread->counters.held_back, 1);
	log_not_sent(item, "sent a moment ago", now_us);
	return false;
}

/* A value that is too long even when it is compressed reaches the other daemons
 * from the platform: each reads it once its data is old enough. */
static void
send_compressed(struct loom_spread *spread, uint64_t host_id,
    struct loom_spread_item *item, uint64_t now_us)
{
	struct spread_compressed value = {
		.number = item->version.number,
		.text_len = item->len,
	};
	size_t size;
	uint8_t *buf;

	if (item->compressed == NULL)
		item->compressed = spread_compress(
		    item->text, item->len, &item->compressed_len);
	g_strlcpy(value.name, item->name, sizeof(value.name));
	value.data = item->compressed;
	value.len = item->compressed_len;
	size = spread_compressed_size(&value);
	if (item->compressed == NULL || size > LOOM_PAYLOAD_MAX) {
		log_not_sent(item, "longer than a message", now_us);
		return;
	}
	buf = g_malloc(size);
	spread_send(spread, host_id, SPREAD_GIVE_COMPRESSED, buf,
	    spread_compressed_pack(&value, buf, size));
	g_free(buf);
}

static void
send_values(struct loom_spread *spread, uint64_t host_id,
    struct loom_spread_item *const *items, uint32_t n, size_t size)
{
	struct loom_packer packer;
	uint8_t *buf;
	uint32_t i;

	if (n == 0)
		return;
	buf = g_malloc(size);
	loom_pack_init(&packer, buf, size);
	for (i = 0; i < n; i++)
		spread_value_pack(&packer, items[i]->name,
		    items[i]->version.number, items[i]->text, items[i]->len);
	if (loom_pack_ok(&packer))
		spread_send(
		    spread, host_id, SPREAD_GIVE, packer.data, packer.len);
	g_free(buf);
}

void
spread_pull_serve(struct loom_spread *spread, uint64_t host_id,
    const struct spread_want *want, uint64_t now_us)
{
	struct loom_spread_item *items[SPREAD_WANT_IDS_MAX], *item;
	size_t size = 0, value_size;
	uint32_t n = 0, i;

	for (i = 0; i < want->nids; i++) {
		item = spread_store_find(spread->store, want->ids[i]);
		if (item == NULL || !may_send(spread, host_id, item, now_us))
			continue;
		if (item->len > UNCOMPRESSED_MAX_BYTES) {
			send_compressed(spread, host_id, item, now_us);
			continue;
		}
		value_size = spread_value_size(item->name, item->len);
		if (n > 0 && size + value_size > GIVE_MESSAGE_BYTES) {
			send_values(spread, host_id, items, n, size);
			size = 0;
			n = 0;
		}
		items[n++] = item;
		size += value_size;
	}
	send_values(spread, host_id, items, n, size);
}
