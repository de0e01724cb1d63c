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

#include "decide/suspects.h"

/* Upstreams accept cancellation and deadlines; this is for those that are
 * slow to.  Without ghosts, a culprit that its caller gives up on would leave
 * the blame to whoever runs when the upstream comes down. */
#define GHOST_US UINT64_C(30000000)
#define GHOSTS_MAX 256
/* Several workers see one crash; none restarts an upstream faster. */
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
/* After each crash a strong suspect stays out twice as long as before, so
 * that one which cannot be caught alone still costs only a few crashes in an
 * hour. */
#define BACKOFF_US UINT64_C(5000000)
#define STRIKES_MAX 8
/* How long an upstream counts as one that comes down by itself. */
#define SPONTANEOUS_US UINT64_C(60000000)

static guint
fingerprint_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean
fingerprint_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct loom_fingerprint)) == 0;
}

void
suspects_init(struct suspects *suspects, uint64_t suspect_us,
    uint64_t quarantine_us, uint32_t capacity)
{
	memset(suspects, 0, sizeof(*suspects));
	suspects->records = g_hash_table_new_full(
	    fingerprint_hash, fingerprint_equal, g_free, NULL);
	g_queue_init(&suspects->in_flight);
	g_queue_init(&suspects->ghosts);
	suspects->suspect_us = suspect_us;
	suspects->quarantine_us = quarantine_us;
	suspects->capacity = capacity;
}

static void
free_entries(GQueue *entries)
{
	GList *link;

	while ((link = g_queue_pop_head_link(entries)) != NULL)
		g_free(link->data);
}

void
suspects_clear(struct suspects *suspects)
{
	free_entries(&suspects->in_flight);
	free_entries(&suspects->ghosts);
	g_hash_table_destroy(suspects->records);
}

/*
 * The record as of now.  A quarantine that has run out leaves a strong
 * suspect: should the request still crash its upstream, that costs one idle
 * upstream and not three busy ones.
 */
static struct suspect_record *
find(struct suspects *suspects, const struct loom_fingerprint *fingerprint,
    uint64_t now_us)
{
	struct suspect_record *record =
	    g_hash_table_lookup(suspects->records, fingerprint);

	if (record == NULL || now_us < record->until_us)
		return record;
	if (record->level == SUSPECT_QUARANTINED &&
	    now_us < record->until_us + suspects->suspect_us) {
		record->level = SUSPECT_STRONG;
		record->until_us += suspects->suspect_us;
		return record;
	}
	g_hash_table_remove(suspects->records, fingerprint);
	return NULL;
}

enum suspect_level
suspects_level(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, uint64_t now_us)
{
	const struct suspect_record *record =
	    find(suspects, fingerprint, now_us);

	return record != NULL ? record->level : SUSPECT_NONE;
}

static struct loom_quarantine_entry *
add_entry(struct suspects *suspects, const struct loom_fingerprint *fingerprint)
{
	struct loom_quarantine_entry *entry =
	    g_new0(struct loom_quarantine_entry, 1);

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
		g_free(link->data);
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
	if (level == SUSPECT_WEAK && suspects->suspects_in_flight != 0)
		return LOOM_QUARANTINE_HOLD;
	return LOOM_QUARANTINE_PASS;
}

enum loom_quarantine_verdict
suspects_enter(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, uint64_t now_us,
    struct loom_quarantine_entry **entry)
{
	const struct suspect_record *record =
	    find(suspects, fingerprint, now_us);
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
	suspects->suspects_in_flight += (*entry)->suspect;
	suspects->alone_in_flight += (*entry)->alone;
	return verdict;
}

bool
suspects_leave(struct suspects *suspects, struct loom_quarantine_entry *entry,
    enum loom_quarantine_end end, uint64_t now_us)
{
	const struct suspect_record *record;
	bool cleared = false;

	suspects->suspects_in_flight -= entry->suspect;
	suspects->alone_in_flight -= entry->alone;
	g_queue_unlink(&suspects->in_flight, &entry->link);
	record = g_hash_table_lookup(suspects->records, &entry->fingerprint);
	if (end == LOOM_QUARANTINE_ANSWERED && record != NULL &&
	    record->level != SUSPECT_QUARANTINED) {
		g_hash_table_remove(suspects->records, &entry->fingerprint);
		cleared = true;
	}
	drop_ghosts(suspects, now_us);
	if (end == LOOM_QUARANTINE_BROKEN && !entry->blamed) {
		entry->ghost_until_us = now_us + GHOST_US;
		g_queue_push_tail_link(&suspects->ghosts, &entry->link);
	} else {
		g_free(entry);
	}
	return cleared;
}

/* Room for one more record: the weakest that ends first makes way, but no
 * quarantine does for a mere suspicion. */
static bool
make_room(struct suspects *suspects)
{
	const struct suspect_record *record, *victim = NULL;
	GHashTableIter iter;
	gpointer key;

	if (g_hash_table_size(suspects->records) < suspects->capacity)
		return true;
	g_hash_table_iter_init(&iter, suspects->records);
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
	g_hash_table_remove(suspects->records, victim);
	return true;
}

static struct suspect_record *
find_or_add(
    struct suspects *suspects, const struct loom_fingerprint *fingerprint)
{
	struct suspect_record *record =
	    g_hash_table_lookup(suspects->records, fingerprint);

	if (record != NULL)
		return record;
	if (!make_room(suspects))
		return NULL;
	record = g_new0(struct suspect_record, 1);
	record->fingerprint = *fingerprint;
	g_hash_table_add(suspects->records, record);
	return record;
}

static uint64_t
backoff_us(uint8_t strikes)
{
	return BACKOFF_US << MIN(strikes, STRIKES_MAX);
}

static void
raise_level(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, enum suspect_level level,
    uint64_t now_us)
{
	struct suspect_record *record = find_or_add(suspects, fingerprint);

	if (record == NULL)
		return;
	record->level = MAX(record->level, level);
	record->until_us = now_us +
	    (record->level == SUSPECT_QUARANTINED ? suspects->quarantine_us
						  : suspects->suspect_us);
	record->not_before_us = now_us + backoff_us(record->strikes);
	record->strikes += record->strikes < UINT8_MAX;
	record->ours = true;
	record->untold = true;
}

/* What was in flight at a crash, each fingerprint once. */
struct crash_scene {
	GHashTable *fingerprints; /* pointers into the entries */
	bool alone; /* nothing else can have done it */
};

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
			g_hash_table_add(
			    scene->fingerprints, &entry->fingerprint);
		entry->blamed = true;
	}
	if (g_hash_table_size(scene->fingerprints) > 1)
		scene->alone = false;
}

static enum suspect_level
verdict_on(const struct crash_scene *scene, enum suspect_level before)
{
	if (before == SUSPECT_NONE)
		return scene->alone ? SUSPECT_STRONG : SUSPECT_WEAK;
	return scene->alone ? SUSPECT_QUARANTINED : SUSPECT_STRONG;
}

/*
 * An upstream that comes down with nothing in flight does so by itself, as
 * after a bad rollout; whoever happens to be alone at its next crash is not
 * to be quarantined for it.
 */
static void
note_spontaneous(
    struct suspects *suspects, struct crash_scene *scene, uint64_t now_us)
{
	if (g_hash_table_size(scene->fingerprints) == 0)
		suspects->spontaneous_until_us = now_us + SPONTANEOUS_US;
	if (now_us < suspects->spontaneous_until_us)
		scene->alone = false;
}

void
suspects_crashed(struct suspects *suspects, uint64_t now_us)
{
	struct crash_scene scene = { .alone = true };
	const struct loom_fingerprint *fingerprint;
	enum suspect_level before;
	GHashTableIter iter;
	gpointer key;

	if (suspects->crashed && now_us - suspects->crashed_us < CRASH_MERGE_US)
		return;
	suspects->crashed = true;
	suspects->crashed_us = now_us;
	scene.fingerprints =
	    g_hash_table_new(fingerprint_hash, fingerprint_equal);
	drop_ghosts(suspects, now_us);
	survey_list(&suspects->in_flight, &scene);
	survey_list(&suspects->ghosts, &scene);
	note_spontaneous(suspects, &scene, now_us);
	g_hash_table_iter_init(&iter, scene.fingerprints);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		fingerprint = key;
		before = suspects_level(suspects, fingerprint, now_us);
		raise_level(
		    suspects, fingerprint, verdict_on(&scene, before), now_us);
	}
	g_hash_table_destroy(scene.fingerprints);
	/* With the upstream's memory they are gone for good. */
	free_entries(&suspects->ghosts);
}

void
suspects_told(struct suspects *suspects,
    const struct loom_fingerprint *fingerprint, enum suspect_level level,
    uint8_t strikes, uint64_t remaining_us, uint64_t now_us)
{
	struct suspect_record *record;

	/* Lowers what has run out here. */
	find(suspects, fingerprint, now_us);
	record = find_or_add(suspects, fingerprint);
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

void
suspects_told_clear(
    struct suspects *suspects, const struct loom_fingerprint *fingerprint)
{
	const struct suspect_record *record =
	    g_hash_table_lookup(suspects->records, fingerprint);

	if (record != NULL && record->level != SUSPECT_QUARANTINED)
		g_hash_table_remove(suspects->records, fingerprint);
}
