#ifndef LOOM_DECIDE_SUSPECT_RECORDS_H
#define LOOM_DECIDE_SUSPECT_RECORDS_H

/*
 * What is held against each fingerprint, by our own crashes and by the word
 * of other daemons.
 */

#include <glib.h>

#include "loom/quarantine.h"

enum suspect_level {
	SUSPECT_NONE,
	SUSPECT_WEAK, /* in flight at a crash, with others */
	SUSPECT_STRONG, /* in flight at a second, or alone at one */
	SUSPECT_QUARANTINED,
};

struct suspect_record {
	struct loom_fingerprint fingerprint; /* the key: first */
	enum suspect_level level;
	uint64_t until_us;
	uint64_t not_before_us; /* a strong suspect's next run */
	uint8_t strikes; /* crashes since it was suspected */
	bool ours; /* we saw the crash: we tell the others */
	bool untold; /* they have not been told of this level */
};

struct suspect_records {
	void *ctx; /* talloc; owns the records */
	GHashTable *table; /* struct suspect_record by its fingerprint */
	uint64_t suspect_us;
	uint64_t quarantine_us;
	uint32_t capacity;
};

void suspect_records_init(struct suspect_records *, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity);
void suspect_records_clear(struct suspect_records *);

/* The record as of now, or NULL; lowers what has run out. */
struct suspect_record *suspect_records_find(
    struct suspect_records *, const struct loom_fingerprint *, uint64_t now_us);

/* A crash of our own upstream raises to level, and adds a strike to those
 * that were known when the run began. */
void suspect_records_raise(struct suspect_records *,
    const struct loom_fingerprint *, enum suspect_level, uint8_t strikes_known,
    uint64_t now_us);

/* A peer's word: raises, never lowers. */
void suspect_records_told(struct suspect_records *,
    const struct loom_fingerprint *, enum suspect_level, uint8_t strikes,
    uint64_t remaining_us, uint64_t now_us);

/* A whole answer came, here or at a peer.  Ends no quarantine.  True when
 * there was something to clear. */
bool suspect_records_answered(
    struct suspect_records *, const struct loom_fingerprint *);

guint fingerprint_hash(gconstpointer key);
gboolean fingerprint_equal(gconstpointer a, gconstpointer b);

#endif
