/*
 * The records behind the suspicion: levels, how long they last, and how long
 * a strong suspect stays out.
 */

#include <string.h>
#include <talloc.h>

#include "decide/suspect_records.h"

/* After each crash a strong suspect stays out twice as long as before, so
 * that one which cannot be caught alone still costs only a few crashes in an
 * hour. */
#define BACKOFF_US UINT64_C(5000000)
#define STRIKES_MAX 8

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
 * The record as of now.  A quarantine that has run out leaves a strong
 * suspect: should the request still crash its upstream, that costs one idle
 * upstream and not three busy ones.
 */
struct suspect_record *
suspect_records_find(struct suspect_records *records,
    const struct loom_fingerprint *fingerprint, uint64_t now_us)
{
	struct suspect_record *record =
	    g_hash_table_lookup(records->table, fingerprint);

	if (record == NULL || now_us < record->until_us)
		return record;
	if (record->level == SUSPECT_QUARANTINED &&
	    now_us < record->until_us + records->suspect_us) {
		record->level = SUSPECT_STRONG;
		record->until_us += records->suspect_us;
		return record;
	}
	g_hash_table_remove(records->table, fingerprint);
	return NULL;
}

/* Room for one more record: the weakest that ends first makes way, but no
 * quarantine does for a mere suspicion. */
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
			record->until_us < victim->until_us))
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
backoff_us(uint8_t strikes)
{
	return BACKOFF_US << MIN(strikes, STRIKES_MAX);
}

/*
 * A run that began before the word of another's crash is no strike of its
 * own: a caller that sends to four hosts in turn would else be out for 40 s
 * before it was ever run apart.
 */
void
suspect_records_raise(struct suspect_records *records,
    const struct loom_fingerprint *fingerprint, enum suspect_level level,
    uint8_t strikes_known, uint64_t now_us)
{
	struct suspect_record *record = find_or_add(records, fingerprint);

	if (record == NULL)
		return;
	record->level = MAX(record->level, level);
	record->until_us = now_us +
	    (record->level == SUSPECT_QUARANTINED ? records->quarantine_us
						  : records->suspect_us);
	record->strikes =
	    MAX(record->strikes, MIN(strikes_known, UINT8_MAX - 1) + 1);
	record->not_before_us = now_us + backoff_us(record->strikes - 1);
	record->ours = true;
	record->untold = true;
}

void
suspect_records_told(struct suspect_records *records,
    const struct loom_fingerprint *fingerprint, enum suspect_level level,
    uint8_t strikes, uint64_t remaining_us, uint64_t now_us)
{
	struct suspect_record *record;

	/* Lowers what has run out here. */
	suspect_records_find(records, fingerprint, now_us);
	record = find_or_add(records, fingerprint);
	if (record == NULL || level < record->level)
		return;
	if (level > record->level) {
		record->level = level;
		record->until_us = now_us;
		record->ours = false;
	}
	record->until_us = MAX(record->until_us, now_us + remaining_us);
	if (strikes <= record->strikes)
		return;
	record->strikes = strikes;
	record->not_before_us = now_us + backoff_us(strikes - 1);
}

bool
suspect_records_answered(
    struct suspect_records *records, const struct loom_fingerprint *fingerprint)
{
	const struct suspect_record *record =
	    g_hash_table_lookup(records->table, fingerprint);

	if (record == NULL || record->level == SUSPECT_QUARANTINED)
		return false;
	g_hash_table_remove(records->table, fingerprint);
	return true;
}
