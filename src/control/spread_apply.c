/*
 * Applying versions, readiness and the status.
 *
 * A version is held as soon as its own check has passed, and is passed on to
 * peers then; it takes effect once all versions held combine into a valid set.
 * So an incomplete set, as when one of two related documents has not arrived,
 * does no harm, and a bad set is held by every daemon but applied by none.
 */

#include <json-c/json.h>
#include <string.h>

#include "control/spread_private.h"
#include "loom/log.h"

/* Minimum interval between applications.  Changes arrive in groups, and
 * applying them takes milliseconds for thousands of hosts. */
#define APPLY_INTERVAL_US (250 * LOOM_US_PER_MS)

struct spread_status_row {
	char name[LOOM_SPREAD_NAME_MAX + 1];
	uint64_t applied_number;
	uint64_t applied_digest;
	uint64_t applied_us;
	uint64_t held_number; /* 0 if it is the one in effect */
};

static const char *const kind_names[LOOM_SPREAD_KINDS] = {
	[LOOM_SPREAD_MANIFEST] = "manifest",
	[LOOM_SPREAD_HOSTS] = "hosts",
};

void
spread_apply_init(struct loom_spread *spread)
{
	g_mutex_init(&spread->status_lock);
	spread->status =
	    g_array_new(FALSE, TRUE, sizeof(struct spread_status_row));
}

void
spread_apply_free(struct loom_spread *spread)
{
	g_array_free(spread->status, TRUE);
	g_mutex_clear(&spread->status_lock);
}

static void
mark_applied(const GPtrArray *items, uint64_t now_us)
{
	struct loom_spread_item *item;
	struct spread_id id;
	guint i;

	for (i = 0; i < items->len; i++) {
		item = g_ptr_array_index(items, i);
		id = spread_id_of(item);
		if (item->applied_number == id.number &&
		    item->applied_digest == id.digest)
			continue;
		item->applied_number = id.number;
		item->applied_digest = id.digest;
		item->applied_us = now_us;
	}
}

static void
append_rows(struct loom_spread *spread, enum loom_spread_kind kind)
{
	struct spread_status_row row;
	const struct loom_spread_item *item;
	GPtrArray *items = spread_store_items(spread->store, kind);
	struct spread_id id;
	guint i;

	for (i = 0; i < items->len; i++) {
		item = g_ptr_array_index(items, i);
		id = spread_id_of(item);
		row = (struct spread_status_row){
			.applied_number = item->applied_number,
			.applied_digest = item->applied_digest,
			.applied_us = item->applied_us,
		};
		if (item->applied_number != id.number ||
		    item->applied_digest != id.digest)
			row.held_number = id.number;
		g_strlcpy(row.name, item->name, sizeof(row.name));
		g_array_append_val(spread->status, row);
	}
	g_ptr_array_free(items, TRUE);
}

static void
refresh_status(struct loom_spread *spread)
{
	unsigned kind;

	g_mutex_lock(&spread->status_lock);
	g_array_set_size(spread->status, 0);
	for (kind = 0; kind < LOOM_SPREAD_KINDS; kind++)
		append_rows(spread, (enum loom_spread_kind)kind);
	g_mutex_unlock(&spread->status_lock);
}

static void
apply_kind(
    struct loom_spread *spread, enum loom_spread_kind kind, uint64_t now_us)
{
	GPtrArray *items = spread_store_items(spread->store, kind);
	bool ok;

	ok = spread->ops->apply(spread->arg, kind,
	    (const struct loom_spread_item *const *)(void *)items->pdata,
	    items->len, now_us);
	if (ok) {
		mark_applied(items, now_us);
		if (kind == LOOM_SPREAD_MANIFEST)
			spread->has_manifest = true;
	} else {
		loom_counter_add(spread->counters.bad_set, 1);
		loom_log(LOOM_LOG_WARN, "spread", LOOM_SPREAD_SET_REFUSED,
		    "%s: the versions held do not form a valid set; "
		    "those in effect stay",
		    kind_names[kind]);
	}
	spread->refused[kind] = !ok;
	g_ptr_array_free(items, TRUE);
}

/*
 * Returns the entry of a host, or a free one.  If there is none, a ready host
 * gets the entry of one that is not ready, since hosts that are not ready do
 * not count and must not displace those that do; any other host gets NULL.
 */
static struct spread_peer_state *
peer_state_slot(struct loom_spread *spread, uint64_t host_id, bool ready)
{
	struct spread_peer_state *row, *spare = NULL;
	uint32_t i;

	for (i = 0; i < spread->npeer_states; i++) {
		row = &spread->peer_states[i];
		if (row->host_id == host_id)
			return row;
		if (!row->ready)
			spare = row;
	}
	if (spread->npeer_states < SPREAD_PEER_STATES_MAX)
		return &spread->peer_states[spread->npeer_states++];
	return ready ? spare : NULL;
}

void
spread_apply_note_peer(
    struct loom_spread *spread, uint64_t host_id, uint64_t root, bool ready)
{
	struct spread_peer_state *row;

	if (atomic_load(&spread->ready))
		return;
	spread->any_peer_answered = true;
	row = peer_state_slot(spread, host_id, ready);
	if (row != NULL)
		*row = (struct spread_peer_state){ host_id, root, ready };
}

static uint32_t
known_peers(const struct loom_spread *spread)
{
	uint32_t known = spread->local->len + spread->remote->len;

	return known > 0 ? known - 1 : spread->nseeds;
}

/*
 * Returns whether all versions held are in effect.  A daemon compares what it
 * holds with its peers but serves requests by what is in effect, which may be
 * older: a newer version may not have been applied yet, or the set with it may
 * have been rejected.
 */
static bool
all_applied(const struct loom_spread *spread)
{
	unsigned kind;

	for (kind = 0; kind < LOOM_SPREAD_KINDS; kind++) {
		if (spread->changed[kind] || spread->refused[kind])
			return false;
	}
	return spread->has_manifest;
}

static void
check_ready(struct loom_spread *spread, uint64_t now_us)
{
	struct loom_spread_start_state state = {
		.versions_applied = all_applied(spread),
		.known_peers = known_peers(spread),
		.any_peer_replied = spread->any_peer_answered,
		.platform_is_current = spread->platform_is_current,
	};
	uint64_t root = spread_store_root(spread->store), first_us = 0;
	unsigned kind;
	uint32_t i;

	state.platform_answered = true;
	for (kind = 0; kind < LOOM_SPREAD_KINDS; kind++) {
		state.platform_answered &= spread->answered_us[kind] != 0;
		first_us = MAX(first_us, spread->first_answer_us[kind]);
	}
	state.since_answer_us = now_us - first_us;
	for (i = 0; i < spread->npeer_states; i++) {
		if (!spread->peer_states[i].ready)
			continue;
		state.ready_peers++;
		state.agreeing_peers += spread->peer_states[i].root == root;
	}
	if (!loom_spread_ready(&state))
		return;
	atomic_store(&spread->ready, true);
	loom_log(LOOM_LOG_INFO, "spread", LOOM_OK,
	    "ready: platform %s, %u of %u ready peers agree",
	    state.platform_answered ? "answered" : "silent",
	    state.agreeing_peers, state.ready_peers);
}

void
spread_apply_tick(struct loom_spread *spread, uint64_t now_us)
{
	bool any = false;
	unsigned kind;

	if (now_us - spread->last_apply_us >= APPLY_INTERVAL_US) {
		for (kind = 0; kind < LOOM_SPREAD_KINDS; kind++) {
			if (!spread->changed[kind])
				continue;
			spread->changed[kind] = false;
			apply_kind(spread, (enum loom_spread_kind)kind, now_us);
			any = true;
		}
	}
	if (any) {
		spread->last_apply_us = now_us;
		refresh_status(spread);
	}
	if (!atomic_load(&spread->ready))
		check_ready(spread, now_us);
}

static struct json_object *
row_to_json(const struct spread_status_row *row, uint64_t now_us)
{
	struct json_object *object = json_object_new_object();
	char digest[17];

	json_object_object_add(
	    object, "name", json_object_new_string(row->name));
	json_object_object_add(object, "version",
	    json_object_new_int64((int64_t)row->applied_number));
	g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
	    row->applied_digest);
	json_object_object_add(
	    object, "digest", json_object_new_string(digest));
	json_object_object_add(object, "age_ms",
	    json_object_new_int64(
		(int64_t)((now_us - row->applied_us) / LOOM_US_PER_MS)));
	if (row->held_number != 0)
		json_object_object_add(object, "held_version",
		    json_object_new_int64((int64_t)row->held_number));
	return object;
}

char *
loom_spread_status(struct loom_spread *spread, uint64_t now_us)
{
	struct json_object *object = json_object_new_object();
	struct json_object *list = json_object_new_array();
	char *text;
	guint i;

	json_object_object_add(object, "ready",
	    json_object_new_boolean(atomic_load(&spread->ready)));
	g_mutex_lock(&spread->status_lock);
	for (i = 0; i < spread->status->len; i++)
		json_object_array_add(list,
		    row_to_json(&g_array_index(spread->status,
				    struct spread_status_row, i),
			now_us));
	g_mutex_unlock(&spread->status_lock);
	json_object_object_add(object, "versions", list);
	text = g_strdup(
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	json_object_put(object);
	return text;
}

bool
loom_spread_is_ready(const struct loom_spread *spread)
{
	return atomic_load(&spread->ready);
}
