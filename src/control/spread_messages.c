/*
 * Handling of the gossip protocol's messages.
 *
 * A change reaches a daemon in three ways, each of which makes up for failures
 * of the one before: a push of ids to neighbours at once; a query with a
 * summary of the latest ids, sent to one peer per interval, whose reply lists
 * what the summary lacks; and an exchange of digests when two stores differ in
 * what neither names, as after a pause or a partition.
 */

#include <string.h>

#include "control/spread_compress.h"
#include "control/spread_private.h"
#include "loom/event.h"
#include "loom/log.h"

/*
 * Minimum intervals between exchanges of digests, each of which costs up to a
 * few kilobytes.  While changes arrive, stores differ for short times and the
 * messages about the changes resolve it, so exchanges are made rarely then.
 */
#define EXCHANGE_INTERVAL_US (10 * LOOM_US_PER_S)
#define EXCHANGE_BUSY_INTERVAL_US (60 * LOOM_US_PER_S)
#define QUIET_US (3 * LOOM_US_PER_S)
#define LIST_BUFFER_BYTES (128 * 1024)

static const char *const prefixes[LOOM_SPREAD_KINDS] = {
	[LOOM_SPREAD_MANIFEST] = "manifest/",
	[LOOM_SPREAD_HOSTS] = "hosts/",
};

void
spread_send(struct loom_spread *spread, uint64_t host_id, uint8_t type,
    const void *payload, size_t len)
{
	if (host_id != 0 && len > 0)
		spread->sender.send(
		    spread->sender.arg, host_id, type, payload, len);
}

/* Rounded up, since data must not look newer than it is. */
static uint32_t
reported_age_ms(const struct loom_spread *spread, uint64_t now_us)
{
	uint64_t age_us = loom_age_us(&spread->age, now_us);

	if (age_us == UINT64_MAX)
		return SPREAD_AGE_UNKNOWN;
	return (uint32_t)MIN(
	    age_us / LOOM_US_PER_MS + 1, SPREAD_AGE_UNKNOWN - 1);
}

void
spread_send_have(struct loom_spread *spread, uint64_t host_id,
    struct spread_have *have, uint64_t now_us)
{
	uint8_t buf[3 * LOOM_PACKED_SCALAR_MAX * (SPREAD_HAVE_IDS_MAX + 3)];
	size_t len;

	have->ready = atomic_load(&spread->ready);
	have->root = spread_store_root(spread->store);
	have->age_ms = reported_age_ms(spread, now_us);
	len = spread_have_pack(have, buf, sizeof(buf));
	spread_send(spread, host_id, SPREAD_HAVE, buf, len);
}

void
spread_send_summary(struct loom_spread *spread, uint64_t host_id,
    bool wants_reply, uint64_t now_us)
{
	struct spread_have have = { .kind = SPREAD_SUMMARY,
		.wants_reply = wants_reply };
	uint64_t since_us =
	    now_us > SPREAD_RECENT_US ? now_us - SPREAD_RECENT_US : 0;

	if (host_id == 0)
		return;
	if (wants_reply)
		have.query = spread_age_note_query(spread, host_id, now_us);
	have.nids = spread_store_recent(
	    spread->store, since_us, have.ids, SPREAD_RECENT_IDS);
	spread_send_have(spread, host_id, &have, now_us);
}

static uint64_t
exchange_interval_us(const struct loom_spread *spread, uint64_t now_us)
{
	if (!atomic_load(&spread->ready))
		return SPREAD_STARTUP_INTERVAL_US;
	if (now_us - spread->last_accepted_us < QUIET_US)
		return EXCHANGE_BUSY_INTERVAL_US;
	return EXCHANGE_INTERVAL_US;
}

/* Starts comparing whole stores with a peer, unless the last exchange was too
 * recent. */
static void
start_exchange(struct loom_spread *spread, uint64_t host_id, uint64_t now_us)
{
	uint8_t
	    buf[SPREAD_NBUCKETS * sizeof(uint64_t) + LOOM_PACKED_HEADER_MAX];
	size_t len;

	if (spread->last_exchange_us != 0 &&
	    now_us - spread->last_exchange_us <
		exchange_interval_us(spread, now_us))
		return;
	spread->last_exchange_us = now_us;
	loom_counter_add(spread->counters.exchanges, 1);
	len = spread_buckets_pack(
	    spread_store_buckets(spread->store), buf, sizeof(buf));
	spread_send(spread, host_id, SPREAD_BUCKETS, buf, len);
}

/* Adds to the reply those of a peer's ids of which this daemon holds a newer
 * version. */
static void
add_newer(const struct loom_spread *spread, const struct spread_id *ids,
    uint32_t n, struct spread_have *reply)
{
	uint32_t i;

	for (i = 0; i < n && reply->nids < SPREAD_HAVE_IDS_MAX; i++) {
		if (spread_store_compare(spread->store, &ids[i]) > 0)
			reply->ids[reply->nids++] = spread_id_of(
			    spread_store_find(spread->store, ids[i].id));
	}
}

static bool
have_contains(const struct spread_have *have, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < have->nids; i++) {
		if (have->ids[i].id == id)
			return true;
	}
	return false;
}

/* Adds the latest ids that a summary lacks: the peer may have missed them,
 * since it has few incoming links and all may have lost the push. */
static void
add_recent(struct loom_spread *spread, const struct spread_have *summary,
    struct spread_have *reply, uint64_t now_us)
{
	struct spread_id recent[SPREAD_RECENT_IDS];
	uint32_t n, i;

	n = spread_store_recent(spread->store,
	    now_us > SPREAD_RECENT_US ? now_us - SPREAD_RECENT_US : 0, recent,
	    SPREAD_RECENT_IDS);
	for (i = 0; i < n; i++) {
		if (!have_contains(summary, recent[i].id))
			reply->ids[reply->nids++] = recent[i];
	}
}

static bool
receive_have(struct loom_spread *spread, uint64_t host_id,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct spread_have have, reply = { .kind = SPREAD_REPLY };
	bool differs;
	uint32_t newer;

	if (!spread_have_unpack(&have, payload, len))
		return false;
	spread_apply_note_peer(spread, host_id, have.root, have.ready);
	spread_age_note_reply(spread, host_id, &have, now_us);
	differs = have.root != spread_store_root(spread->store);
	newer =
	    spread_pull_request(spread, host_id, have.ids, have.nids, now_us);
	add_newer(spread, have.ids, have.nids, &reply);
	if (have.kind == SPREAD_SUMMARY && differs)
		add_recent(spread, &have, &reply, now_us);
	reply.in_reply_to = have.query;
	if (have.wants_reply || reply.nids > 0)
		spread_send_have(spread, host_id, &reply, now_us);
	if (differs && newer == 0 && reply.nids == 0)
		start_exchange(spread, host_id, now_us);
	return true;
}

static bool
receive_want(struct loom_spread *spread, uint64_t host_id,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct spread_want want;

	if (!spread_want_unpack(&want, payload, len))
		return false;
	spread_pull_serve(spread, host_id, &want, now_us);
	return true;
}

static void
send_list(struct loom_spread *spread, uint64_t host_id, uint64_t mask,
    const GArray *ids)
{
	struct spread_list *list = g_new(struct spread_list, 1);
	uint8_t *buf = g_malloc(LIST_BUFFER_BYTES);
	size_t len;

	list->mask = mask;
	list->nids = MIN(ids->len, SPREAD_LIST_IDS_MAX);
	if (list->nids > 0)
		memcpy(list->ids, ids->data, list->nids * sizeof(*list->ids));
	len = spread_list_pack(list, buf, LIST_BUFFER_BYTES);
	spread_send(spread, host_id, SPREAD_LIST, buf, len);
	g_free(buf);
	g_free(list);
}

/* Replies with the ids of the buckets that differ. */
static bool
receive_buckets(struct loom_spread *spread, uint64_t host_id,
    const uint8_t *payload, size_t len)
{
	const uint64_t *own_buckets = spread_store_buckets(spread->store);
	uint64_t peer_buckets[SPREAD_NBUCKETS], mask = 0;
	GArray *ids;
	unsigned i;

	if (!spread_buckets_unpack(peer_buckets, payload, len))
		return false;
	for (i = 0; i < SPREAD_NBUCKETS; i++) {
		if (peer_buckets[i] != own_buckets[i])
			mask |= UINT64_C(1) << i;
	}
	if (mask == 0)
		return true;
	ids = g_array_new(FALSE, FALSE, sizeof(struct spread_id));
	spread_store_list(spread->store, mask, ids);
	send_list(spread, host_id, mask, ids);
	g_array_free(ids, TRUE);
	return true;
}

static bool
list_contains(const struct spread_list *list, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < list->nids; i++) {
		if (list->ids[i].id == id)
			return true;
	}
	return false;
}

/* Adds the ids of the listed buckets whose names are not in the peer's list. */
static void
add_missing(const struct loom_spread *spread, const struct spread_list *list,
    struct spread_have *reply)
{
	const struct spread_id *id;
	GArray *ids;
	guint i;

	ids = g_array_new(FALSE, FALSE, sizeof(struct spread_id));
	spread_store_list(spread->store, list->mask, ids);
	for (i = 0; i < ids->len && reply->nids < SPREAD_HAVE_IDS_MAX; i++) {
		id = &g_array_index(ids, struct spread_id, i);
		if (!list_contains(list, id->id))
			reply->ids[reply->nids++] = *id;
	}
	g_array_free(ids, TRUE);
}

static bool
receive_list(struct loom_spread *spread, uint64_t host_id,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct spread_list *list = g_new(struct spread_list, 1);
	struct spread_have reply = { .kind = SPREAD_REPLY };
	bool ok = spread_list_unpack(list, payload, len);

	if (ok) {
		spread_pull_request(
		    spread, host_id, list->ids, list->nids, now_us);
		add_newer(spread, list->ids, list->nids, &reply);
		add_missing(spread, list, &reply);
		if (reply.nids > 0)
			spread_send_have(spread, host_id, &reply, now_us);
	}
	g_free(list);
	return ok;
}

static bool
kind_of(const char *name, enum loom_spread_kind *kind)
{
	unsigned i;

	for (i = 0; i < LOOM_SPREAD_KINDS; i++) {
		if (g_str_has_prefix(name, prefixes[i]) &&
		    strlen(name) <= LOOM_SPREAD_NAME_MAX) {
			*kind = (enum loom_spread_kind)i;
			return true;
		}
	}
	return false;
}

/* A line for each document from the platform and for each value that a peer did
 * not send when it was first asked; the others are in force a moment later, of
 * which there is a line. */
static void
log_received(const struct loom_spread_item *item, enum spread_origin origin,
    const struct spread_pull_effort *effort, uint64_t now_us)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", "received"),
		LOOM_F_TEXT("name", item->name),
		LOOM_F_INT("version", item->version.number),
		LOOM_F_INT("bytes", item->len),
		LOOM_F_TEXT("from",
		    origin == SPREAD_FROM_PLATFORM ? "platform" : "peer"),
		LOOM_F_INT("requests", effort->requests),
		LOOM_F_INT("waited_ms", effort->waited_us / LOOM_US_PER_MS),
		LOOM_F_END,
	};

	const bool is_read = item->kind == LOOM_SPREAD_MANIFEST &&
	    origin == SPREAD_FROM_PLATFORM;

	if (!is_read && effort->requests <= 1)
		return;
	if (loom_event_admit(NULL, now_us))
		loom_event_write(LOOM_EVENT_VALUE, fields);
}

/* The signature is verified before any other field is used, and the version is
 * compared before the value replaces another. */
void
spread_receive_value(struct loom_spread *spread, enum spread_origin origin,
    const char *name, uint64_t number, const char *text, size_t len,
    uint64_t now_us)
{
	struct loom_spread_version version = { .number = number };
	struct spread_pull_effort effort;
	enum loom_spread_kind kind;
	GError *error = NULL;
	void *object = NULL;
	uint64_t id;

	if (!kind_of(name, &kind) || len > LOOM_SPREAD_TEXT_MAX) {
		loom_counter_add(spread->counters.malformed, 1);
		return;
	}
	if (!spread->ops->check(spread->arg, kind, name, text, len, &version,
		&object, &error)) {
		loom_counter_add(spread->counters.refused, 1);
		loom_log(LOOM_LOG_WARN, "spread",
		    error != NULL ? (enum loom_result)error->code
				  : LOOM_INTERNAL,
		    "%s: %s", name, error != NULL ? error->message : "");
		g_clear_error(&error);
		return;
	}
	if (!spread_store_put(spread->store, kind, name, &version, text, len,
		object, now_us)) {
		loom_counter_add(spread->counters.old, 1);
		if (object != NULL)
			spread->ops->release(spread->arg, kind, object);
		return;
	}
	loom_counter_add(spread->counters.accepted, 1);
	id = loom_name_id(name);
	effort = spread_pull_received(spread, id, now_us);
	log_received(
	    spread_store_find(spread->store, id), origin, &effort, now_us);
	g_array_append_val(spread->push_queue, id);
	spread->last_accepted_us = now_us;
	spread->changed[kind] = true;
	spread_age_update(spread);
}

static bool
receive_give(struct loom_spread *spread, const uint8_t *payload, size_t len,
    uint64_t now_us)
{
	struct loom_unpacker unpacker;
	struct spread_value value;

	loom_unpack_init(&unpacker, payload, len);
	while (spread_value_unpack(&unpacker, &value))
		spread_receive_value(spread, SPREAD_FROM_PEER, value.name,
		    value.number, value.text, value.len, now_us);
	return loom_unpack_end(&unpacker);
}

static bool
receive_compressed(struct loom_spread *spread, const uint8_t *payload,
    size_t len, uint64_t now_us)
{
	struct spread_compressed value;
	char *text;

	if (!spread_compressed_unpack(&value, payload, len))
		return false;
	text = spread_decompress(value.data, value.len, value.text_len);
	if (text == NULL)
		return false;
	spread_receive_value(spread, SPREAD_FROM_PEER, value.name, value.number,
	    text, value.text_len, now_us);
	g_free(text);
	return true;
}

void
spread_handle_message(void *part, const struct loom_message_source *from,
    uint8_t type, const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_spread *spread = part;
	uint64_t host_id = from->host_id;
	bool ok = false;

	switch (type) {
	case SPREAD_HAVE:
		ok = receive_have(spread, host_id, payload, len, now_us);
		break;
	case SPREAD_WANT:
		ok = receive_want(spread, host_id, payload, len, now_us);
		break;
	case SPREAD_GIVE:
		ok = receive_give(spread, payload, len, now_us);
		break;
	case SPREAD_GIVE_COMPRESSED:
		ok = receive_compressed(spread, payload, len, now_us);
		break;
	case SPREAD_BUCKETS:
		ok = receive_buckets(spread, host_id, payload, len);
		break;
	case SPREAD_LIST:
		ok = receive_list(spread, host_id, payload, len, now_us);
		break;
	default:
		break;
	}
	if (!ok)
		loom_counter_add(spread->counters.malformed, 1);
}
