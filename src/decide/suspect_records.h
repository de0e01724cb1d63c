#ifndef LOOM_DECIDE_SUSPECT_RECORDS_H
#define LOOM_DECIDE_SUSPECT_RECORDS_H

/*
 * What is known about each fingerprint, from crashes on this host and from the
 * reports of other daemons.
 */

#include <glib.h>

#include "loom/quarantine.h"

enum suspect_level {
	SUSPECT_NONE,
	SUSPECT_WEAK, /* in flight at a crash, with others */
	SUSPECT_STRONG, /* in flight at a second crash, or alone at its first */
	SUSPECT_QUARANTINED,
};

struct suspect_record {
	struct loom_fingerprint fingerprint; /* the key, must be first */
	enum suspect_level level;
	uint64_t expires_us;
	uint64_t not_before_us; /* earliest next run of a strong suspect */
	uint8_t crash_count; /* since it became a suspect */
	bool local; /* crashed here, so this host announces it */
	bool unannounced; /* other hosts do not know this level yet */
};

struct suspect_records {
	void *ctx; /* talloc; owns the records */
	GHashTable *table; /* struct suspect_record by fingerprint */
	uint64_t suspect_us;
	uint64_t quarantine_us;
	uint32_t capacity;
};

void suspect_records_init(struct suspect_records *, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity);
void suspect_records_clear(struct suspect_records *);

/* Returns the record or NULL. Lowers or removes a record that has expired. */
struct suspect_record *suspect_records_find(
    struct suspect_records *, const struct loom_fingerprint *, uint64_t now_us);

/*
 * Raises a record to the level after a crash on this host. Its crash count
 * becomes at least known_crashes + 1, where known_crashes is the count when the
 * run began.
 */
void suspect_records_raise(struct suspect_records *,
    const struct loom_fingerprint *, enum suspect_level, uint8_t known_crashes,
    uint64_t now_us);

/* Applies a peer's report. Never lowers a level. */
void suspect_records_merge(struct suspect_records *,
    const struct loom_fingerprint *, enum suspect_level, uint8_t crash_count,
    uint64_t remaining_us, uint64_t now_us);

/*
 * Removes the record after a complete answer, here or at a peer. A quarantine
 * is kept. Returns whether a record was removed.
 */
bool suspect_records_remove(
    struct suspect_records *, const struct loom_fingerprint *);

guint fingerprint_hash(gconstpointer key);
gboolean fingerprint_equal(gconstpointer a, gconstpointer b);

#endif
