#ifndef LOOM_DECIDE_SUSPECTS_H
#define LOOM_DECIDE_SUSPECTS_H

/*
 * Which request crashed the upstream: the decision behind loom/quarantine.h,
 * without lock, clock or messages.
 */

#include "decide/suspect_records.h"

struct loom_quarantine_entry {
	struct loom_fingerprint fingerprint;
	bool suspect; /* let in as the one suspect */
	bool alone; /* let in with nothing else in flight */
	bool blamed; /* counted in a crash already */
	uint8_t strikes; /* that were known when it began */
	uint64_t ghost_until_us; /* see struct suspects */
	GList link;
};

struct suspects {
	struct suspect_records records;
	void *ctx; /* talloc; owns the entries */
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
	bool down; /* seen gone, and no whole answer since */
	bool crashed; /* ever; then crashed_us says when last */
	uint64_t crashed_us;
	uint64_t spontaneous_until_us; /* it comes down by itself */
	uint64_t blind_until_us; /* suspects wait: see suspects_blind() */
};

void suspects_init(struct suspects *, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity);
void suspects_clear(struct suspects *);

enum loom_quarantine_verdict suspects_enter(struct suspects *,
    const struct loom_fingerprint *, uint64_t now_us,
    struct loom_quarantine_entry **entry);

/* How long judging by its record alone gives the same verdict; see
 * loom_quarantine_wait_us(). */
uint64_t suspects_wait_us(
    struct suspects *, const struct loom_fingerprint *, uint64_t now_us);

/* True when a record was dropped that others were told of. */
bool suspects_leave(struct suspects *, struct loom_quarantine_entry *,
    enum loom_quarantine_end, uint64_t now_us);

/* The connection of entry broke while it ran, and a new one is refused. */
void suspects_crashed(
    struct suspects *, struct loom_quarantine_entry *, uint64_t now_us);

/* entry could not connect, and nothing of it was sent; NULL where whoever
 * found the upstream gone is not in flight. */
void suspects_unreachable(
    struct suspects *, const struct loom_quarantine_entry *, uint64_t now_us);

/* It is back already: for a moment no other crash would be told from it. */
void suspects_blind(struct suspects *, uint64_t now_us);

/* The level now; lowers what has run out. */
enum suspect_level suspects_level(
    struct suspects *, const struct loom_fingerprint *, uint64_t now_us);

#endif
