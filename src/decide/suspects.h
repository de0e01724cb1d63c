#ifndef LOOM_DECIDE_SUSPECTS_H
#define LOOM_DECIDE_SUSPECTS_H

/*
 * Decides which request crashed the upstream. This is the logic behind
 * loom/quarantine.h, without its lock, clock and messages.
 */

#include "decide/suspect_records.h"

struct loom_quarantine_entry {
	struct loom_fingerprint fingerprint;
	bool suspect; /* admitted as the only suspect */
	bool exclusive; /* admitted with nothing else in flight */
	bool crash_counted; /* counted at a crash already */
	uint8_t crash_count; /* of its record when the call began */
	uint64_t abandoned_until_us; /* for calls in suspects.abandoned */
	GList link;
};

struct suspects {
	struct suspect_records records;
	void *ctx; /* talloc; owns the entries */
	GQueue in_flight; /* links of struct loom_quarantine_entry */
	/*
	 * Calls whose callers gave up. The upstream may still be executing
	 * them, so for some time they may be what crashes it.
	 */
	GQueue abandoned;
	uint32_t suspects_in_flight;
	uint32_t exclusive_in_flight;
	/* The strong suspect for which new calls are held back. */
	struct loom_fingerprint quiesce_for;
	uint64_t quiesce_until_us;
	uint64_t next_quiesce_us; /* no earlier start of another such period */
	bool down; /* found down, and no complete answer since */
	bool crashed; /* at least once; crashed_us is the last time */
	uint64_t crashed_us;
	uint64_t spontaneous_until_us; /* see suspects_unreachable() */
	uint64_t fast_restart_until_us; /* weak suspects wait until then */
};

void suspects_init(struct suspects *, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity);
void suspects_clear(struct suspects *);

enum loom_quarantine_verdict suspects_enter(struct suspects *,
    const struct loom_fingerprint *, uint64_t now_us,
    struct loom_quarantine_entry **entry);

/*
 * How long the record of the fingerprint alone keeps the verdict the same; see
 * loom_quarantine_wait_us().
 */
uint64_t suspects_wait_us(
    struct suspects *, const struct loom_fingerprint *, uint64_t now_us);

/*
 * Returns true if a record was removed that may have been announced to other
 * hosts.
 */
bool suspects_leave(struct suspects *, struct loom_quarantine_entry *,
    enum loom_quarantine_result, uint64_t now_us);

/*
 * The connection of entry broke while it ran, and the upstream was found to
 * have crashed.
 */
void suspects_crashed(
    struct suspects *, struct loom_quarantine_entry *, uint64_t now_us);

/*
 * entry could not connect, and nothing of it was sent. entry is NULL if the
 * upstream was found down other than by a call.
 */
void suspects_unreachable(
    struct suspects *, const struct loom_quarantine_entry *, uint64_t now_us);

/*
 * The upstream is running again already, so that for a short time another crash
 * could not be told from the last one.
 */
void suspects_fast_restart(struct suspects *, uint64_t now_us);

/* Returns the current level of a fingerprint and applies expiry. */
enum suspect_level suspects_level(
    struct suspects *, const struct loom_fingerprint *, uint64_t now_us);

#endif
