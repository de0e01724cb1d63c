/*
 * Shedding at the entry, by the thresholds that executors report.
 *
 * Answers: a deep service that is slow or saturated.  Without it the chain in
 * front does all its work for a request that the last hop then refuses: at 3x
 * the load two thirds of what the chain does is wasted, and the refusal comes
 * late, when the caller has sent again.
 *
 * Rank is importance, then a cohort made of the root request.  The cohort is
 * the same at each hop, so that two overloaded hops shed the same requests; by
 * independent chance two hops that each keep half would finish a quarter.
 *
 * A cut belongs to a service and a team: what an executor refuses of one team
 * says nothing about another that is within its share.  The targets of one
 * service report different cuts; the mean over the last few is what the
 * service as a whole can take, since calls are spread over them.
 *
 * A cut that is no longer refreshed rises by itself: a report is as old as the
 * last answer, and an entry that sends nothing would never learn that the
 * overload has ended.  Besides, after each PROBE_US without a report one call
 * goes through: at most ten a second for each team, service and worker.
 */

#include <string.h>
#include <talloc.h>

#include "decide/mix.h"
#include "loom/returns.h"
#include "loom/shed.h"

/* A cut is the mean over about four reports, for the targets of a service,
 * or over the last 100 ms, when reports are rarer: a small team's ten answers
 * a second took over a second to learn that the overload had ended. */
#define REPORT_WEIGHT 0.25
#define REPORT_TAU_US (100.0 * LOOM_US_PER_MS)

/* A cut stands this long without a report: several answers' times even of a
 * slow service, so that a lull of one team does not open the gate. */
#define REFRESH_US (UINT64_C(500) * LOOM_US_PER_MS)

/* Then it opens from wherever it stood within this time. */
#define REOPEN_US (UINT64_C(500) * LOOM_US_PER_MS)

#define PROBE_US (UINT64_C(100) * LOOM_US_PER_MS)

/* Cuts in force at once; each costs 88 bytes.  Beyond them the oldest is
 * forgotten, which costs one refusal by the executor to learn it again. */
#define ENTRIES 1024 /* power of two */
#define WAYS 4 /* places that one (service, team) may have */

/* Rate by which returns are spaced until one was seen. */
#define PASSED_TAU_US (1.0 * LOOM_US_PER_S)

struct shed_entry {
	uint64_t service_id;
	uint64_t team_id;
	double cut;
	double passed_per_s; /* calls let through, smoothed */
	uint64_t passed_us;
	uint64_t reported_us; /* 0: the place is free */
	uint64_t probed_us;
	struct loom_returns returns;
};

struct loom_shed {
	struct loom_random random;
	uint32_t used; /* entries; 0 on an ordinary day, and then all pass */
	struct shed_entry entries[ENTRIES];
};

uint16_t
loom_shed_rank(enum loom_importance importance, uint64_t root_id)
{
	return (uint16_t)((uint32_t)importance * LOOM_COHORTS +
	    mix_murmur(root_id) % LOOM_COHORTS);
}

struct loom_shed *
loom_shed_new(void *ctx, const struct loom_random *random)
{
	struct loom_shed *shed = talloc_zero(ctx, struct loom_shed);

	shed->random = *random;
	return shed;
}

static struct shed_entry *
set_of(const struct loom_shed *shed, uint64_t service_id, uint64_t team_id)
{
	uint64_t set =
	    mix_murmur(service_id ^ mix_murmur(team_id)) % (ENTRIES / WAYS);

	return (struct shed_entry *)&shed->entries[set * WAYS];
}

static struct shed_entry *
find(const struct loom_shed *shed, uint64_t service_id, uint64_t team_id)
{
	struct shed_entry *set = set_of(shed, service_id, team_id);
	int i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].reported_us != 0 &&
		    set[i].service_id == service_id &&
		    set[i].team_id == team_id)
			return &set[i];
	}
	return NULL;
}

static struct shed_entry *
find_or_make(struct loom_shed *shed, uint64_t service_id, uint64_t team_id)
{
	struct shed_entry *entry = find(shed, service_id, team_id);
	struct shed_entry *set = set_of(shed, service_id, team_id);
	int i;

	if (entry != NULL)
		return entry;
	entry = &set[0];
	for (i = 1; i < WAYS; i++) {
		if (set[i].reported_us < entry->reported_us)
			entry = &set[i];
	}
	shed->used += entry->reported_us == 0;
	memset(entry, 0, sizeof(*entry));
	entry->service_id = service_id;
	entry->team_id = team_id;
	entry->cut = LOOM_CUT_NONE;
	return entry;
}

static void
forget(struct loom_shed *shed, struct shed_entry *entry)
{
	entry->reported_us = 0;
	shed->used--;
}

/* The cut with its rise since the last report. */
static double
cut_now(const struct shed_entry *entry, uint64_t now_us)
{
	double open;

	if (now_us <= entry->reported_us + REFRESH_US)
		return entry->cut;
	open = (double)(now_us - entry->reported_us - REFRESH_US) / REOPEN_US;
	if (open >= 1.0)
		return LOOM_CUT_NONE;
	return entry->cut + (LOOM_CUT_NONE - entry->cut) * open;
}

uint16_t
loom_shed_cut(const struct loom_shed *shed, uint64_t service_id,
    uint64_t team_id, uint64_t now_us)
{
	const struct shed_entry *entry = find(shed, service_id, team_id);

	if (entry == NULL)
		return LOOM_CUT_NONE;
	return (uint16_t)cut_now(entry, now_us);
}

/* Smoothed rate of calls let through. */
static void
count_passed(struct shed_entry *entry, uint64_t now_us)
{
	double gap_us = (double)(now_us - entry->passed_us);
	double keep;

	if (gap_us >= PASSED_TAU_US) {
		entry->passed_per_s = 1.0;
	} else {
		keep = 1.0 - gap_us / PASSED_TAU_US;
		entry->passed_per_s = entry->passed_per_s * keep + 1.0;
	}
	entry->passed_us = now_us;
}

static bool
probe_due(const struct shed_entry *entry, uint64_t now_us)
{
	return now_us >= entry->reported_us + PROBE_US &&
	    now_us >= entry->probed_us + PROBE_US;
}

enum loom_result
loom_shed_check(struct loom_shed *shed, const uint64_t *service_ids,
    uint32_t nservices, uint64_t team_id, uint16_t rank, uint64_t now_us,
    uint64_t *retry_after_us)
{
	struct shed_entry *entry;
	double cut;
	uint32_t i;

	for (i = 0; i < nservices && shed->used > 0; i++) {
		entry = find(shed, service_ids[i], team_id);
		if (entry == NULL)
			continue;
		cut = cut_now(entry, now_us);
		if (cut >= LOOM_CUT_NONE) {
			forget(shed, entry);
			continue;
		}
		if (rank < cut) {
			count_passed(entry, now_us);
			continue;
		}
		if (probe_due(entry, now_us)) {
			entry->probed_us = now_us;
			continue;
		}
		*retry_after_us = loom_returns_after(&entry->returns,
		    (enum loom_importance)(rank / LOOM_COHORTS),
		    entry->passed_per_s, &shed->random, now_us);
		return LOOM_OVERLOAD;
	}
	return LOOM_OK;
}

static double
report_weight(const struct shed_entry *entry, uint64_t now_us)
{
	double gap_us = (double)(now_us - entry->reported_us);
	double weight = gap_us / (gap_us + REPORT_TAU_US);

	return weight > REPORT_WEIGHT ? weight : REPORT_WEIGHT;
}

void
loom_shed_note(struct loom_shed *shed, uint64_t team_id,
    const struct loom_threshold *threshold, uint64_t now_us)
{
	struct shed_entry *entry;
	uint16_t cut = threshold->cut;

	if (cut > LOOM_CUT_NONE)
		cut = LOOM_CUT_NONE;
	if (cut == LOOM_CUT_NONE &&
	    find(shed, threshold->service_id, team_id) == NULL)
		return;
	entry = find_or_make(shed, threshold->service_id, team_id);
	entry->cut = cut_now(entry, now_us);
	entry->cut += (cut - entry->cut) * report_weight(entry, now_us);
	entry->reported_us = now_us;
	if (entry->cut > LOOM_CUT_NONE - 1)
		forget(shed, entry);
}
