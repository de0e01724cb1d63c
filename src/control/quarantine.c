/*
 * The quarantine of one upstream: locks the logic in src/decide and exchanges
 * reports with the other daemons of the service.
 *
 * Worker threads only mark what has to be sent. The control thread sends it,
 * because the sender belongs to that thread.
 */

#include <talloc.h>

#include "inner/quarantine_codec.h"
#include "loom/clock.h"

/*
 * Longest delay of a report. A repetition by the caller takes a round trip, and
 * far longer if the caller respects Retry-After.
 */
#define TICK_US (20 * LOOM_US_PER_MS)
/*
 * Reports are repeated for the sake of lost messages and hosts that started
 * later. 16 records to 20 hosts take about 1.3 KB per second, and only while
 * there are suspects.
 */
#define REPEAT_INTERVAL_US (10 * LOOM_US_PER_S)
#define DEFAULT_SUSPECT_US (600 * LOOM_US_PER_S)
#define DEFAULT_QUARANTINE_US (1800 * LOOM_US_PER_S)
#define DEFAULT_CAPACITY 4096
/*
 * Limit on cleared fingerprints waiting to be sent; further ones expire by
 * themselves on the other hosts.
 */
#define PENDING_CLEARED_MAX 64

struct loom_quarantine {
	struct loom_quarantine_config config;
	GMutex lock;
	struct suspects suspects;
	GArray *cleared; /* struct loom_fingerprint */
	struct loom_hosts *hosts; /* reference held; control thread only */
	uint64_t last_repeat_us;
};

struct loom_quarantine *
loom_quarantine_new(const struct loom_quarantine_config *config)
{
	struct loom_quarantine *quarantine =
	    talloc_zero(NULL, struct loom_quarantine);
	uint64_t suspect_us = config->suspect_us;
	uint64_t quarantine_us = config->quarantine_us;
	uint32_t capacity = config->capacity;

	quarantine->config = *config;
	g_mutex_init(&quarantine->lock);
	suspects_init(&quarantine->suspects,
	    suspect_us != 0 ? suspect_us : DEFAULT_SUSPECT_US,
	    quarantine_us != 0 ? quarantine_us : DEFAULT_QUARANTINE_US,
	    capacity != 0 ? capacity : DEFAULT_CAPACITY);
	quarantine->cleared =
	    g_array_new(FALSE, FALSE, sizeof(struct loom_fingerprint));
	return quarantine;
}

void
loom_quarantine_free(struct loom_quarantine *quarantine)
{
	if (quarantine == NULL)
		return;
	if (quarantine->hosts != NULL)
		loom_hosts_release(quarantine->hosts);
	suspects_clear(&quarantine->suspects);
	g_array_free(quarantine->cleared, TRUE);
	g_mutex_clear(&quarantine->lock);
	talloc_free(quarantine);
}

enum loom_quarantine_verdict
loom_quarantine_enter(struct loom_quarantine *quarantine,
    const struct loom_fingerprint *fingerprint, uint64_t now_us,
    struct loom_quarantine_entry **entry)
{
	enum loom_quarantine_verdict verdict;

	g_mutex_lock(&quarantine->lock);
	verdict =
	    suspects_enter(&quarantine->suspects, fingerprint, now_us, entry);
	g_mutex_unlock(&quarantine->lock);
	return verdict;
}

uint64_t
loom_quarantine_wait_us(struct loom_quarantine *quarantine,
    const struct loom_fingerprint *fingerprint, uint64_t now_us)
{
	uint64_t wait_us;

	g_mutex_lock(&quarantine->lock);
	wait_us = suspects_wait_us(&quarantine->suspects, fingerprint, now_us);
	g_mutex_unlock(&quarantine->lock);
	return wait_us;
}

void
loom_quarantine_leave(struct loom_quarantine *quarantine,
    struct loom_quarantine_entry *entry, enum loom_quarantine_result end,
    uint64_t now_us)
{
	struct loom_fingerprint fingerprint = entry->fingerprint;

	g_mutex_lock(&quarantine->lock);
	if (suspects_leave(&quarantine->suspects, entry, end, now_us) &&
	    quarantine->cleared->len < PENDING_CLEARED_MAX)
		g_array_append_val(quarantine->cleared, fingerprint);
	g_mutex_unlock(&quarantine->lock);
}

void
loom_quarantine_crashed(struct loom_quarantine *quarantine,
    struct loom_quarantine_entry *entry, uint64_t now_us)
{
	g_mutex_lock(&quarantine->lock);
	suspects_crashed(&quarantine->suspects, entry, now_us);
	g_mutex_unlock(&quarantine->lock);
}

void
loom_quarantine_fast_restart(
    struct loom_quarantine *quarantine, uint64_t now_us)
{
	g_mutex_lock(&quarantine->lock);
	suspects_fast_restart(&quarantine->suspects, now_us);
	g_mutex_unlock(&quarantine->lock);
}

void
loom_quarantine_unreachable(struct loom_quarantine *quarantine,
    const struct loom_quarantine_entry *entry, uint64_t now_us)
{
	g_mutex_lock(&quarantine->lock);
	suspects_unreachable(&quarantine->suspects, entry, now_us);
	g_mutex_unlock(&quarantine->lock);
}

size_t
loom_quarantine_count(struct loom_quarantine *quarantine, uint64_t now_us)
{
	const struct suspect_record *record;
	GHashTableIter iter;
	gpointer key;
	size_t n = 0;

	g_mutex_lock(&quarantine->lock);
	g_hash_table_iter_init(&iter, quarantine->suspects.records.table);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		record = key;
		n += record->level == SUSPECT_QUARANTINED &&
		    now_us < record->expires_us;
	}
	g_mutex_unlock(&quarantine->lock);
	return n;
}

static void
send_to_service(struct loom_quarantine *quarantine, uint8_t type,
    const uint8_t *message, size_t len)
{
	const struct loom_self *self = quarantine->config.self;
	const struct loom_sender *sender = quarantine->config.sender;
	const struct loom_host *hosts;
	uint32_t i, n;

	if (quarantine->hosts == NULL)
		return;
	hosts = loom_hosts_of_service(quarantine->hosts, self->service_id, &n);
	for (i = 0; i < n; i++) {
		if (hosts[i].id != self->host_id)
			sender->send(
			    sender->arg, hosts[i].id, type, message, len);
	}
}

/* Collects up to QUARANTINE_RECORDS_MAX records that this host has to send. */
static uint32_t
collect_records(struct loom_quarantine *quarantine, bool repeat,
    uint64_t now_us, struct quarantine_report *reports)
{
	struct suspect_record *record;
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer key;

	g_mutex_lock(&quarantine->lock);
	g_hash_table_iter_init(&iter, quarantine->suspects.records.table);
	while (count < QUARANTINE_RECORDS_MAX &&
	    g_hash_table_iter_next(&iter, &key, NULL)) {
		record = key;
		if (!record->local || now_us >= record->expires_us ||
		    !(record->unannounced || repeat))
			continue;
		record->unannounced = false;
		reports[count++] = (struct quarantine_report){
			.fingerprint = record->fingerprint,
			.level = record->level,
			.crash_count = record->crash_count,
			.remaining_us = record->expires_us - now_us,
		};
	}
	g_mutex_unlock(&quarantine->lock);
	return count;
}

static bool
pop_cleared(
    struct loom_quarantine *quarantine, struct loom_fingerprint *fingerprint)
{
	bool any;

	g_mutex_lock(&quarantine->lock);
	any = quarantine->cleared->len != 0;
	if (any) {
		*fingerprint = g_array_index(
		    quarantine->cleared, struct loom_fingerprint, 0);
		g_array_remove_index(quarantine->cleared, 0);
	}
	g_mutex_unlock(&quarantine->lock);
	return any;
}

static void
part_tick(void *part, uint64_t now_us)
{
	struct loom_quarantine *quarantine = part;
	struct quarantine_report reports[QUARANTINE_RECORDS_MAX];
	uint8_t message[QUARANTINE_MESSAGE_MAX];
	bool repeat = now_us - quarantine->last_repeat_us >= REPEAT_INTERVAL_US;
	struct loom_fingerprint fingerprint;
	uint32_t count;

	if (repeat)
		quarantine->last_repeat_us = now_us;
	count = collect_records(quarantine, repeat, now_us, reports);
	if (count != 0)
		send_to_service(quarantine, QUARANTINE_RECORDS, message,
		    quarantine_records_pack(reports, count, message));
	while (pop_cleared(quarantine, &fingerprint))
		send_to_service(quarantine, QUARANTINE_CLEAR, message,
		    quarantine_clear_pack(&fingerprint, message));
}

static void
merge_records(struct loom_quarantine *quarantine, const uint8_t *payload,
    size_t len, uint64_t now_us)
{
	struct quarantine_report reports[QUARANTINE_RECORDS_MAX];
	uint32_t i, count = quarantine_records_unpack(payload, len, reports);

	g_mutex_lock(&quarantine->lock);
	for (i = 0; i < count; i++)
		suspect_records_merge(&quarantine->suspects.records,
		    &reports[i].fingerprint, reports[i].level,
		    reports[i].crash_count, reports[i].remaining_us, now_us);
	g_mutex_unlock(&quarantine->lock);
}

static void
part_message(void *part, const struct loom_message_source *from, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_quarantine *quarantine = part;
	struct loom_fingerprint fingerprint;

	(void)from;
	if (type == QUARANTINE_RECORDS) {
		merge_records(quarantine, payload, len, now_us);
	} else if (type == QUARANTINE_CLEAR &&
	    quarantine_clear_unpack(payload, len, &fingerprint)) {
		g_mutex_lock(&quarantine->lock);
		suspect_records_remove(
		    &quarantine->suspects.records, &fingerprint);
		g_mutex_unlock(&quarantine->lock);
	}
}

static void
part_hosts_changed(void *part, struct loom_hosts *hosts, uint64_t now_us)
{
	struct loom_quarantine *quarantine = part;
	struct loom_hosts *old = quarantine->hosts;

	(void)now_us;
	quarantine->hosts = loom_hosts_acquire(hosts);
	if (old != NULL)
		loom_hosts_release(old);
}

const struct loom_component_ops loom_quarantine_ops = {
	.name = "quarantine",
	.first_type = QUARANTINE_RECORDS,
	.last_type = QUARANTINE_LAST,
	.tick_us = TICK_US,
	.message = part_message,
	.tick = part_tick,
	.hosts_changed = part_hosts_changed,
};
