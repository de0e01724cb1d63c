/*
 * Who is to blame for a crash.
 *
 * Evidence is counted so that innocence is never a matter of luck: the only
 * step that quarantines is a crash with nothing else in flight, after an
 * earlier one.  The steps before it only narrow down which requests have to
 * run apart.  Clean requests wait only while the upstream is emptied for a
 * strong suspect, and while that runs.
 *
 * Weighed and left: quarantine whatever was in flight at two crashes.  With
 * two culprits about, or a lookup that every handset makes all the time, an
 * innocent request is in both.  Running each suspect quite alone from the
 * start would save one crash, but empties the upstream for each of the up to
 * 200 neighbours, and waits for the slowest upload each time.
 */

#include <string.h>
#include <talloc.h>

#include "decide/suspects.h"

/* Upstreams accept cancellation and deadlines; this is for those that are
 * slow to.  Without ghosts, a culprit that its caller gives up on would leave
 * the blame to whoever runs when the upstream comes down. */
#define GHOST_US UINT64_C(30000000)
#define GHOSTS_MAX 256
/* Several workers see one crash, and what went out on a kept connection breaks
 * after it. */
#define CRASH_MERGE_US UINT64_C(500000)
/*
 * A busy upstream is never idle by itself, and an innocent strong suspect
 * would be refused until its suspicion ends.  So new calls are held back for
 * it: half a second is as long as most calls take and far below their
 * deadlines, and one in five seconds costs a tenth of the upstream at most,
 * only while strong suspects come.
 */
#define GATE_US UINT64_C(500000)
#define GATE_EVERY_US UINT64_C(5000000)
/* How long an upstream counts as one that comes down by itself. */
#define SPONTANEOUS_US UINT64_C(60000000)

void
suspects_init(struct suspects *suspects, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity)
{
	memset(suspects, 0, sizeof(*suspects));
	suspect_records_init(
	    &suspects->records, suspect_us, quarantine_us, capacity);
	suspects->ctx = talloc_new(NULL);
	g_queue_init(&suspects->in_flight);
	g_queue_init(&suspects->ghosts);
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
	free_entries(&suspects->ghosts);
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
drop_ghosts(struct suspects *suspects, uint64_t now_us)
{
	const struct loom_quarantine_entry *entry;
	GList *link;

	while ((link = suspects->ghosts.head) != NULL) {
		entry = link->data;
		if (now_us < entry->ghost_until_us &&
		    suspects->ghosts.length <= GHOSTS_MAX)
			return;
		g_queue_unlink(&suspects->ghosts, link);
		talloc_free(link->data);
	}
}

static void
open_gate(struct suspects *suspects, const struct loom_fingerprint *fingerprint,
    uint64_t now_us)
{
	suspects->gate_for = *fingerprint;
	suspects->gate_until_us = now_us + GATE_US;
	suspects->gate_next_us = now_us + GATE_EVERY_US;
}

static void
close_gate(struct suspects *suspects)
{
	memset(&suspects->gate_for, 0, sizeof(suspects->gate_for));
	suspects->gate_until_us = 0;
}

/*
 * Ghosts do not count here, or a few callers that give up would keep every
 * strong suspect out; they count when it comes to the blame.  Where the
 * upstream could not be emptied in time, as with long uploads, the suspect
 * runs in company after all: it is cleared if it is innocent, and waits twice
 * as long if it is not.
 */
static enum loom_quarantine_verdict
judge_strong(struct suspects *suspects, const struct suspect_record *record,
    uint64_t now_us)
{
	bool ours =
	    fingerprint_equal(&suspects->gate_for, &record->fingerprint);

	if (now_us < record->not_before_us)
		return LOOM_QUARANTINE_LATER;
	if (suspects->in_flight.length == 0)
		return LOOM_QUARANTINE_PASS;
	if (now_us < suspects->gate_until_us)
		return ours ? LOOM_QUARANTINE_HOLD : LOOM_QUARANTINE_LATER;
	if (ours && suspects->suspects_in_flight == 0)
		return LOOM_QUARANTINE_PASS;
	if (now_us < suspects->gate_next_us)
		return ours ? LOOM_QUARANTINE_HOLD : LOOM_QUARANTINE_LATER;
	open_gate(suspects, &record->fingerprint, now_us);
	return LOOM_QUARANTINE_HOLD;
}

static enum loom_quarantine_verdict
judge(struct suspects *suspects, const struct suspect_record *record,
    uint64_t now_us)
{
	enum suspect_level level =
	    record != NULL ? record->level : SUSPECT_NONE;

	if (level == SUSPECT_QUARANTINED)
		return LOOM_QUARANTINE_REFUSE;
	/* Whoever joined now would be in flight at its crash, and neither
	 * could be told from the other. */
	if (suspects->alone_in_flight != 0)
		return LOOM_QUARANTINE_HOLD;
	if (level == SUSPECT_STRONG)
		return judge_strong(suspects, record, now_us);
	if (now_us < suspects->gate_until_us)
		return LOOM_QUARANTINE_HOLD;
	if (level == SUSPECT_WEAK &&
	    (suspects->suspects_in_flight != 0 ||
		now_us < suspects->blind_until_us))
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
	enum loom_quarantine_verdict verdict = judge(suspects, record, now_us);
	enum suspect_level level =
	    record != NULL ? record->level : SUSPECT_NONE;
	bool alone;

	*entry = NULL;
	if (verdict != LOOM_QUARANTINE_PASS)
		return verdict;
	if (level == SUSPECT_STRONG)
		close_gate(suspects);
	alone = level == SUSPECT_STRONG && suspects->in_flight.length == 0;
	*entry = add_entry(suspects, fingerprint);
	(*entry)->suspect = level != SUSPECT_NONE && !alone;
	(*entry)->alone = alone;
	(*entry)->strikes = record != NULL ? record->strikes : 0;
	suspects->suspects_in_flight += (*entry)->suspect;
	suspects->alone_in_flight += (*entry)->alone;
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
		return record->until_us - now_us;
	if (record->level == SUSPECT_STRONG && now_us < record->not_before_us)
		return record->not_before_us - now_us;
	return 0;
}

bool
suspects_leave(struct suspects *suspects, struct loom_quarantine_entry *entry,
    enum loom_quarantine_end end, uint64_t now_us)
{
	bool cleared = false;

	suspects->suspects_in_flight -= entry->suspect;
	suspects->alone_in_flight -= entry->alone;
	g_queue_unlink(&suspects->in_flight, &entry->link);
	if (end == LOOM_QUARANTINE_ANSWERED) {
		cleared = suspect_records_answered(
		    &suspects->records, &entry->fingerprint);
		/* An answer from before the crash may come after its word. */
		if (!entry->blamed)
			suspects->down = false;
	}
	drop_ghosts(suspects, now_us);
	if (end == LOOM_QUARANTINE_BROKEN && !entry->blamed) {
		entry->ghost_until_us = now_us + GHOST_US;
		g_queue_push_tail_link(&suspects->ghosts, &entry->link);
	} else {
		talloc_free(entry);
	}
	return cleared;
}

/* What was in flight at a crash, each fingerprint once. */
struct crash_scene {
	GHashTable *runners; /* entries by fingerprint, borrowed */
	bool alone; /* nothing else can have done it */
};

/* Of several runs of one request the one that knew most counts. */
static void
note_runner(struct crash_scene *scene, struct loom_quarantine_entry *entry)
{
	const struct loom_quarantine_entry *other =
	    g_hash_table_lookup(scene->runners, &entry->fingerprint);

	if (other == NULL || other->strikes < entry->strikes)
		g_hash_table_replace(
		    scene->runners, &entry->fingerprint, entry);
}

static void
survey_list(const GQueue *list, struct crash_scene *scene)
{
	struct loom_quarantine_entry *entry;
	GList *link;

	for (link = list->head; link != NULL; link = link->next) {
		entry = link->data;
		/* Left over from the crash before, if that was one. */
		if (entry->blamed)
			scene->alone = false;
		else
			note_runner(scene, entry);
		entry->blamed = true;
	}
	if (g_hash_table_size(scene->runners) > 1)
		scene->alone = false;
}

static enum suspect_level
verdict_on(const struct crash_scene *scene, enum suspect_level before)
{
	if (before == SUSPECT_NONE)
		return scene->alone ? SUSPECT_STRONG : SUSPECT_WEAK;
	return scene->alone ? SUSPECT_QUARANTINED : SUSPECT_STRONG;
}

/* Blames what was given up on, and all that are in flight or none of them. */
static void
blame(struct suspects *suspects, bool in_flight, uint64_t now_us)
{
	struct crash_scene scene = { .alone = true };
	const struct loom_quarantine_entry *runner;
	enum suspect_level before;
	GHashTableIter iter;
	gpointer value;

	suspects->down = true;
	suspects->crashed = true;
	suspects->crashed_us = now_us;
	scene.runners = g_hash_table_new(fingerprint_hash, fingerprint_equal);
	drop_ghosts(suspects, now_us);
	if (in_flight)
		survey_list(&suspects->in_flight, &scene);
	survey_list(&suspects->ghosts, &scene);
	if (now_us < suspects->spontaneous_until_us)
		scene.alone = false;
	g_hash_table_iter_init(&iter, scene.runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		runner = value;
		before = suspects_level(suspects, &runner->fingerprint, now_us);
		suspect_records_raise(&suspects->records, &runner->fingerprint,
		    verdict_on(&scene, before), runner->strikes, now_us);
	}
	g_hash_table_destroy(scene.runners);
	/* With the upstream's memory they are gone for good. */
	free_entries(&suspects->ghosts);
}

/*
 * Each broken connection of one crash is told, by several workers; those that
 * were in flight at it are marked.  What comes soon after went out on a kept
 * connection that nobody had found broken yet: it is marked too, or it would
 * count as still running for GHOST_US, in an upstream that is gone, and its
 * company would save the culprit from the next crash's blame.
 */
void
suspects_crashed(struct suspects *suspects, struct loom_quarantine_entry *entry,
    uint64_t now_us)
{
	if (entry->blamed)
		return;
	/* A worker may have read its clock before the one that was first. */
	if (suspects->crashed &&
	    now_us < suspects->crashed_us + CRASH_MERGE_US) {
		entry->blamed = true;
		return;
	}
	blame(suspects, true, now_us);
}

/*
 * Whoever cannot connect did not bring the upstream down.  Counting it as
 * another crash made strong suspects, and then quarantined ones, of requests
 * that came while a crashed upstream took its time to restart.
 *
 * With others in flight, their own broken connections tell.  With none, what
 * was given up on may have done it, which ran since the last crash; or else
 * the upstream comes down by itself, as after a bad rollout, and whoever
 * happens to be alone at its next crash is not to be quarantined for it.
 */
void
suspects_unreachable(struct suspects *suspects,
    const struct loom_quarantine_entry *entry, uint64_t now_us)
{
	uint32_t in_flight = suspects->in_flight.length;

	if (in_flight > (entry != NULL ? 1 : 0))
		return;
	drop_ghosts(suspects, now_us);
	if (suspects->ghosts.length != 0)
		blame(suspects, false, now_us);
	else if (!suspects->down)
		suspects->spontaneous_until_us = now_us + SPONTANEOUS_US;
	suspects->down = true;
}

/*
 * The upstream crashed and is back at once.  Another crash now would be taken
 * for a part of that one, or not be noticed: a caller that repeats a culprit
 * without a pause would crash the upstream at each of its restarts, unseen.
 * One that refuses connections while it is down needs no such pause, and
 * would have innocent suspects wait for nothing.
 */
void
suspects_blind(struct suspects *suspects, uint64_t now_us)
{
	suspects->blind_until_us = now_us + CRASH_MERGE_US;
}
