#ifndef LOOM_DECIDE_SUSPECTS_H
#define LOOM_DECIDE_SUSPECTS_H

/*
 * Which request crashed the upstream: the decision behind loom/quarantine.h,
 * without lock, clock or messages.
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

struct loom_quarantine_entry {
	struct loom_fingerprint fingerprint;
	bool suspect; /* let in as the one suspect */
	bool alone; /* let in with nothing else in flight */
	bool blamed; /* counted in a crash already */
	uint64_t ghost_until_us; /* see struct suspects */
	GList link;
};

struct suspects {
	GHashTable *records; /* struct suspect_record, owned */
	GQueue in_flight; /* links of entries */
	/* Calls that were given up on.  The upstream may still be at them, so
	 * for a while they can be what crashes it. */
	GQueue ghosts;
	uint32_t suspects_in_flight;
	uint32_t alone_in_flight;
	/* The upstream is being emptied for a strong suspect. */
	struct loom_fingerprint gate_for;
	uint64_t gate_until_us;
	uint64_t gate_next_us; /* no gate before */
	bool crashed; /* ever; then crashed_us says when last */
	uint64_t crashed_us;
	uint64_t spontaneous_until_us; /* it comes down by itself */
	uint64_t suspect_us;
	uint64_t quarantine_us;
	uint32_t capacity;
};

void suspects_init(struct suspects *, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity);
void suspects_clear(struct suspects *);

enum loom_quarantine_verdict suspects_enter(struct suspects *,
    const struct loom_fingerprint *, uint64_t now_us,
    struct loom_quarantine_entry **entry);

/* True when a record was dropped that others were told of. */
bool suspects_leave(struct suspects *, struct loom_quarantine_entry *,
    enum loom_quarantine_end, uint64_t now_us);

void suspects_crashed(struct suspects *, uint64_t now_us);

/* A peer's word.  Raises, never lowers. */
void suspects_told(struct suspects *, const struct loom_fingerprint *,
    enum suspect_level, uint8_t strikes, uint64_t remaining_us,
    uint64_t now_us);
/* A peer saw a whole answer.  Does not end a quarantine. */
void suspects_told_clear(struct suspects *, const struct loom_fingerprint *);

/* The level now; lowers what has run out. */
enum suspect_level suspects_level(
    struct suspects *, const struct loom_fingerprint *, uint64_t now_us);

#endif
