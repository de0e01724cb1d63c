/*
 * Decides which requests to blame for a crash.
 *
 * A request is quarantined only for a crash at which nothing else was in
 * flight, and only after an earlier crash, so an innocent request can never be
 * quarantined by coincidence. The earlier steps only narrow down which requests
 * have to run separately. Requests that are not suspects wait only while the
 * upstream is quiesced for a strong suspect and while that suspect runs.
 *
 * Rejected alternatives: quarantining whatever was in flight at two crashes
 * would hit innocent requests if there are two culprits, or if the innocent
 * request is a common one such as a lookup that every mobile client makes all
 * the time. Running each suspect exclusively from the start would save one
 * crash, but would quiesce the upstream for each of up to 200 suspects, each
 * time waiting for the slowest upload.
 */

#include <string.h>
#include <talloc.h>

#include "decide/suspects.h"

/*
 * How long an abandoned call counts as possibly still running. Upstreams accept
 * cancellation and deadlines, but some react slowly. If abandoned calls were
 * ignored, a culprit whose caller gave up would leave the blame to whatever
 * runs when the upstream crashes.
 */
#define ABANDONED_US UINT64_C(30000000)
#define ABANDONED_MAX 256
/*
 * Reports of a crash within this time of the first count as the same crash.
 * Several workers detect one crash, and a request sent on a kept connection
 * only fails after it.
 */
#define CRASH_DEDUP_US UINT64_C(500000)
/*
 * A busy upstream is never idle by itself, so an innocent strong suspect would
 * be refused until its suspicion expires. Therefore new calls are held back for
 * it. Half a second is as long as most calls take and far below their
 * deadlines. At one such period in five seconds it takes at most a tenth of the
 * upstream's capacity, and only while strong suspects arrive.
 */
#define QUIESCE_US UINT64_C(500000)
#define QUIESCE_INTERVAL_US UINT64_C(5000000)
/*
 * How long an upstream that crashed without a call is assumed to crash
 * spontaneously.
 */
#define SPONTANEOUS_CRASH_US UINT64_C(60000000)

void
suspects_init(struct suspects *suspects, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity)
{
	memset(suspects, 0, sizeof(*suspects));
	suspect_records_init(
	    &suspects->records, suspect_us, quarantine_us, capacity);
	suspects->ctx = talloc_new(NULL);
	g_queue_init(&suspects->in_flight);
	g_queue_init(&suspects->abandoned);
}

static void
free_entries(GQueue *entries)
{
	GList *link;

	while ((link = g_queue_pop_head_link(entries)) != NULL)
		talloc_free(link->data);
}

void
suspects_clear(struct suspects *suspects)
{
	free_entries(&suspects->in_flight);
	free_entries(&suspects->abandoned);
	suspect_records_clear(&suspects->records);
	talloc_free(suspects->ctx);
}

enum suspect_level
suspects_level(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, uint64_t now_us)
{
	const struct suspect_record *record =
	    suspect_records_find(&suspects->records, fingerprint, now_us);

	return record != NULL ? record->level : SUSPECT_NONE;
}

static struct loom_quarantine_entry *
add_entry(struct suspects *suspects, const struct loom_fingerprint *fingerprint)
{
	struct loom_quarantine_entry *entry =
	    talloc_zero(suspects->ctx, struct loom_quarantine_entry);

	entry->fingerprint = *fingerprint;
	entry->link.data = entry;
	g_queue_push_tail_link(&suspects->in_flight, &entry->link);
	return entry;
}

static void
expire_abandoned(struct suspects *suspects, uint64_t now_us)
{
	const struct loom_quarantine_entry *entry;
	GList *link;

	while ((link = suspects->abandoned.head) != NULL) {
		entry = link->data;
		if (now_us < entry->abandoned_until_us &&
		    suspects->abandoned.length <= ABANDONED_MAX)
			return;
		g_queue_unlink(&suspects->abandoned, link);
		talloc_free(link->data);
	}
}

static void
start_quiesce(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, uint64_t now_us)
{
	suspects->quiesce_for = *fingerprint;
	suspects->quiesce_until_us = now_us + QUIESCE_US;
	suspects->next_quiesce_us = now_us + QUIESCE_INTERVAL_US;
}

static void
end_quiesce(struct suspects *suspects)
{
	memset(&suspects->quiesce_for, 0, sizeof(suspects->quiesce_for));
	suspects->quiesce_until_us = 0;
}

/*
 * Abandoned calls do not count here, otherwise a few callers that give up would
 * keep all strong suspects out; they do count when the blame is decided. If the
 * upstream cannot be quiesced in time, for example because of long uploads, the
 * suspect runs together with other calls after all. If it is innocent it is
 * cleared; if not, it has to wait twice as long.
 */
static enum loom_quarantine_verdict
decide_strong(struct suspects *suspects, const struct suspect_record *record,
    uint64_t now_us)
{
	bool quiescing_for_this =
	    fingerprint_equal(&suspects->quiesce_for, &record->fingerprint);

	if (now_us < record->not_before_us)
		return LOOM_QUARANTINE_RETRY_LATER;
	if (suspects->in_flight.length == 0)
		return LOOM_QUARANTINE_PASS;
	if (now_us < suspects->quiesce_until_us)
		return quiescing_for_this ? LOOM_QUARANTINE_HOLD
					  : LOOM_QUARANTINE_RETRY_LATER;
	if (quiescing_for_this && suspects->suspects_in_flight == 0)
		return LOOM_QUARANTINE_PASS;
	if (now_us < suspects->next_quiesce_us)
		return quiescing_for_this ? LOOM_QUARANTINE_HOLD
					  : LOOM_QUARANTINE_RETRY_LATER;
	start_quiesce(suspects, &record->fingerprint, now_us);
	return LOOM_QUARANTINE_HOLD;
}

static enum loom_quarantine_verdict
decide(struct suspects *suspects, const struct suspect_record *record,
    uint64_t now_us)
{
	enum suspect_level level =
	    record != NULL ? record->level : SUSPECT_NONE;

	if (level == SUSPECT_QUARANTINED)
		return LOOM_QUARANTINE_REFUSE;
	/*
	 * A call that joined now would be in flight at a crash of the exclusive
	 * call, and neither could be ruled out.
	 */
	if (suspects->exclusive_in_flight != 0)
		return LOOM_QUARANTINE_HOLD;
	if (level == SUSPECT_STRONG)
		return decide_strong(suspects, record, now_us);
	if (now_us < suspects->quiesce_until_us)
		return LOOM_QUARANTINE_HOLD;
	if (level == SUSPECT_WEAK &&
	    (suspects->suspects_in_flight != 0 ||
		now_us < suspects->fast_restart_until_us))
		return LOOM_QUARANTINE_HOLD;
	return LOOM_QUARANTINE_PASS;
}

enum loom_quarantine_verdict
suspects_enter(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, uint64_t now_us,
    struct loom_quarantine_entry **entry)
{
	const struct suspect_record *record =
	    suspect_records_find(&suspects->records, fingerprint, now_us);
	enum loom_quarantine_verdict verdict = decide(suspects, record, now_us);
	enum suspect_level level =
	    record != NULL ? record->level : SUSPECT_NONE;
	bool exclusive;

	*entry = NULL;
	if (verdict != LOOM_QUARANTINE_PASS)
		return verdict;
	if (level == SUSPECT_STRONG)
		end_quiesce(suspects);
	exclusive = level == SUSPECT_STRONG && suspects->in_flight.length == 0;
	*entry = add_entry(suspects, fingerprint);
	(*entry)->suspect = level != SUSPECT_NONE && !exclusive;
	(*entry)->exclusive = exclusive;
	(*entry)->crash_count = record != NULL ? record->crash_count : 0;
	suspects->suspects_in_flight += (*entry)->suspect;
	suspects->exclusive_in_flight += (*entry)->exclusive;
	return verdict;
}

uint64_t
suspects_wait_us(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, uint64_t now_us)
{
	const struct suspect_record *record =
	    suspect_records_find(&suspects->records, fingerprint, now_us);

	if (record == NULL)
		return 0;
	if (record->level == SUSPECT_QUARANTINED)
		return record->expires_us - now_us;
	if (record->level == SUSPECT_STRONG && now_us < record->not_before_us)
		return record->not_before_us - now_us;
	return 0;
}

bool
suspects_leave(struct suspects *suspects, struct loom_quarantine_entry *entry,
    enum loom_quarantine_result end, uint64_t now_us)
{
	bool cleared = false;

	suspects->suspects_in_flight -= entry->suspect;
	suspects->exclusive_in_flight -= entry->exclusive;
	g_queue_unlink(&suspects->in_flight, &entry->link);
	if (end == LOOM_QUARANTINE_ANSWERED) {
		cleared = suspect_records_remove(
		    &suspects->records, &entry->fingerprint);
		/*
		 * An answer sent before the crash may arrive after the report
		 * of it.
		 */
		if (!entry->crash_counted)
			suspects->down = false;
	}
	expire_abandoned(suspects, now_us);
	if (end == LOOM_QUARANTINE_INCOMPLETE && !entry->crash_counted) {
		entry->abandoned_until_us = now_us + ABANDONED_US;
		g_queue_push_tail_link(&suspects->abandoned, &entry->link);
	} else {
		talloc_free(entry);
	}
	return cleared;
}

/* The calls that may have caused a crash, each fingerprint once. */
struct crash_candidates {
	GHashTable *by_fingerprint; /* struct loom_quarantine_entry, borrowed */
	bool exclusive; /* nothing else can have caused the crash */
};

/*
 * Of several runs of one request, the one that started with the highest crash
 * count is kept.
 */
static void
add_candidate(
    struct crash_candidates *candidates, struct loom_quarantine_entry *entry)
{
	const struct loom_quarantine_entry *other = g_hash_table_lookup(
	    candidates->by_fingerprint, &entry->fingerprint);

	if (other == NULL || other->crash_count < entry->crash_count)
		g_hash_table_replace(
		    candidates->by_fingerprint, &entry->fingerprint, entry);
}

static void
add_candidates(const GQueue *list, struct crash_candidates *candidates)
{
	struct loom_quarantine_entry *entry;
	GList *link;

	for (link = list->head; link != NULL; link = link->next) {
		entry = link->data;
		/*
		 * Counted at the previous crash; may still be running if that
		 * was a false alarm.
		 */
		if (entry->crash_counted)
			candidates->exclusive = false;
		else
			add_candidate(candidates, entry);
		entry->crash_counted = true;
	}
	if (g_hash_table_size(candidates->by_fingerprint) > 1)
		candidates->exclusive = false;
}

static enum suspect_level
level_after_crash(
    const struct crash_candidates *candidates, enum suspect_level before)
{
	if (before == SUSPECT_NONE)
		return candidates->exclusive ? SUSPECT_STRONG : SUSPECT_WEAK;
	return candidates->exclusive ? SUSPECT_QUARANTINED : SUSPECT_STRONG;
}

/*
 * Records a crash: raises the level of the abandoned calls and, if in_flight is
 * set, of the calls in flight.
 */
static void
record_crash(struct suspects *suspects, bool in_flight, uint64_t now_us)
{
	struct crash_candidates candidates = { .exclusive = true };
	const struct loom_quarantine_entry *candidate;
	enum suspect_level before;
	GHashTableIter iter;
	gpointer value;

	suspects->down = true;
	suspects->crashed = true;
	suspects->crashed_us = now_us;
	candidates.by_fingerprint =
	    g_hash_table_new(fingerprint_hash, fingerprint_equal);
	expire_abandoned(suspects, now_us);
	if (in_flight)
		add_candidates(&suspects->in_flight, &candidates);
	add_candidates(&suspects->abandoned, &candidates);
	if (now_us < suspects->spontaneous_until_us)
		candidates.exclusive = false;
	g_hash_table_iter_init(&iter, candidates.by_fingerprint);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		candidate = value;
		before =
		    suspects_level(suspects, &candidate->fingerprint, now_us);
		suspect_records_raise(&suspects->records,
		    &candidate->fingerprint,
		    level_after_crash(&candidates, before),
		    candidate->crash_count, now_us);
	}
	g_hash_table_destroy(candidates.by_fingerprint);
	/* The upstream's process is gone, and the abandoned calls with it. */
	free_entries(&suspects->abandoned);
}

/*
 * Each broken connection is reported, possibly by several workers; all calls in
 * flight at the crash are marked as counted. A report that follows soon after
 * belongs to a call that was sent on a kept connection not yet known to be
 * broken. That call is marked as well. Otherwise it would count as still
 * running for ABANDONED_US, in an upstream that is gone, and because of it the
 * culprit would not count as alone at the next crash.
 */
void
suspects_crashed(struct suspects *suspects, struct loom_quarantine_entry *entry,
    uint64_t now_us)
{
	if (entry->crash_counted)
		return;
	/*
	 * A worker may have read its clock earlier than the first one to
	 * report.
	 */
	if (suspects->crashed &&
	    now_us < suspects->crashed_us + CRASH_DEDUP_US) {
		entry->crash_counted = true;
		return;
	}
	record_crash(suspects, true, now_us);
}

/*
 * A call that cannot connect did not crash the upstream. When this counted as
 * another crash, requests that arrived while a crashed upstream was restarting
 * became strong suspects and were then quarantined.
 *
 * If other calls are in flight, their broken connections will report the crash.
 * If there are none, abandoned calls that ran since the last crash may have
 * caused it. Otherwise the upstream crashes spontaneously, as after a faulty
 * rollout, and a request that happens to be alone at its next crash must not be
 * quarantined for it.
 */
void
suspects_unreachable(struct suspects *suspects,
    const struct loom_quarantine_entry *entry, uint64_t now_us)
{
	uint32_t in_flight = suspects->in_flight.length;

	if (in_flight > (entry != NULL ? 1 : 0))
		return;
	expire_abandoned(suspects, now_us);
	if (suspects->abandoned.length != 0)
		record_crash(suspects, false, now_us);
	else if (!suspects->down)
		suspects->spontaneous_until_us = now_us + SPONTANEOUS_CRASH_US;
	suspects->down = true;
}

/*
 * The upstream crashed and is already running again. Another crash now would be
 * attributed to the first one or not be detected, so a caller that repeats a
 * culprit without a pause could crash the upstream at each restart without
 * being detected. An upstream that refuses connections while it is down does
 * not need this pause, which would only delay innocent suspects.
 */
void
suspects_fast_restart(struct suspects *suspects, uint64_t now_us)
{
	suspects->fast_restart_until_us = now_us + CRASH_DEDUP_US;
}
