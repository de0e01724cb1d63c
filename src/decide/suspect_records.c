/*
 * Records of suspects: their levels, how long these last, and how long a strong
 * suspect has to wait.
 */

#include <string.h>
#include <talloc.h>

#include "decide/suspect_records.h"

/*
 * A strong suspect waits this long after its first crash and twice as long
 * after each further one. Even a culprit that never gets to run exclusively
 * then causes only a few crashes per hour.
 */
#define BACKOFF_US UINT64_C(5000000)
#define BACKOFF_DOUBLINGS_MAX 8

guint
fingerprint_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

gboolean
fingerprint_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct loom_fingerprint)) == 0;
}

static void
record_free(gpointer record)
{
	talloc_free(record);
}

void
suspect_records_init(struct suspect_records *records, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity)
{
	records->ctx = talloc_new(NULL);
	records->table = g_hash_table_new_full(
	    fingerprint_hash, fingerprint_equal, record_free, NULL);
	records->suspect_us = suspect_us;
	records->quarantine_us = quarantine_us;
	records->capacity = capacity;
}

void
suspect_records_clear(struct suspect_records *records)
{
	g_hash_table_destroy(records->table);
	talloc_free(records->ctx);
}

/*
 * An expired quarantine leaves a strong suspect. If the request still crashes
 * its upstream, that costs one crash of an idle upstream instead of three of a
 * busy one.
 */
struct suspect_record *
suspect_records_find(struct suspect_records *records,
    const struct loom_fingerprint *fingerprint, uint64_t now_us)
{
	struct suspect_record *record =
	    g_hash_table_lookup(records->table, fingerprint);

	if (record == NULL || now_us < record->expires_us)
		return record;
	if (record->level == SUSPECT_QUARANTINED &&
	    now_us < record->expires_us + records->suspect_us) {
		record->level = SUSPECT_STRONG;
		record->expires_us += records->suspect_us;
		return record;
	}
	g_hash_table_remove(records->table, fingerprint);
	return NULL;
}

/*
 * Makes room for one more record by removing the one with the lowest level that
 * expires first. A quarantine is never removed for a suspicion.
 */
static bool
make_room(struct suspect_records *records)
{
	const struct suspect_record *record, *victim = NULL;
	GHashTableIter iter;
	gpointer key;

	if (g_hash_table_size(records->table) < records->capacity)
		return true;
	g_hash_table_iter_init(&iter, records->table);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		record = key;
		if (record->level == SUSPECT_QUARANTINED)
			continue;
		if (victim == NULL || record->level < victim->level ||
		    (record->level == victim->level &&
			record->expires_us < victim->expires_us))
			victim = record;
	}
	if (victim == NULL)
		return false;
	g_hash_table_remove(records->table, victim);
	return true;
}

static struct suspect_record *
find_or_add(
    struct suspect_records *records, const struct loom_fingerprint *fingerprint)
{
	struct suspect_record *record =
	    g_hash_table_lookup(records->table, fingerprint);

	if (record != NULL)
		return record;
	if (!make_room(records))
		return NULL;
	record = talloc_zero(records->ctx, struct suspect_record);
	record->fingerprint = *fingerprint;
	g_hash_table_add(records->table, record);
	return record;
}

static uint64_t
backoff_us(uint8_t crash_count)
{
	return BACKOFF_US << MIN(crash_count, BACKOFF_DOUBLINGS_MAX);
}

/*
 * A run that began before this host learned of a crash elsewhere does not count
 * as a further crash. Otherwise a request that its caller sends to four hosts
 * in turn would have to wait 40 s before it was ever run exclusively.
 */
void
suspect_records_raise(struct suspect_records *records,
    const struct loom_fingerprint *fingerprint, enum suspect_level level,
    uint8_t known_crashes, uint64_t now_us)
{
	struct suspect_record *record = find_or_add(records, fingerprint);

	if (record == NULL)
		return;
	record->level = MAX(record->level, level);
	record->expires_us = now_us +
	    (record->level == SUSPECT_QUARANTINED ? records->quarantine_us
						  : records->suspect_us);
	record->crash_count =
	    MAX(record->crash_count, MIN(known_crashes, UINT8_MAX - 1) + 1);
	record->not_before_us = now_us + backoff_us(record->crash_count - 1);
	record->local = true;
	record->unannounced = true;
}

void
suspect_records_merge(struct suspect_records *records,
    const struct loom_fingerprint *fingerprint, enum suspect_level level,
    uint8_t crash_count, uint64_t remaining_us, uint64_t now_us)
{
	struct suspect_record *record;

	/* Lowers the level first if the record has expired. */
	suspect_records_find(records, fingerprint, now_us);
	record = find_or_add(records, fingerprint);
	if (record == NULL || level < record->level)
		return;
	if (level > record->level) {
		record->level = level;
		record->expires_us = now_us;
		record->local = false;
	}
	record->expires_us = MAX(record->expires_us, now_us + remaining_us);
	if (crash_count <= record->crash_count)
		return;
	record->crash_count = crash_count;
	record->not_before_us = now_us + backoff_us(crash_count - 1);
}

bool
suspect_records_remove(
    struct suspect_records *records, const struct loom_fingerprint *fingerprint)
{
	const struct suspect_record *record =
	    g_hash_table_lookup(records->table, fingerprint);

	if (record == NULL || record->level == SUSPECT_QUARANTINED)
		return false;
	g_hash_table_remove(records->table, fingerprint);
	return true;
}
