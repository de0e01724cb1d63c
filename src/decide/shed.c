/*
 * Load shedding at the entry, by the thresholds (cuts) that executors report.
 *
 * When a service deep in the call chain is slow or saturated, the services
 * before it would do all their work for a request that the last hop refuses.
 * At three times the capacity two thirds of that work is wasted, and the
 * refusal arrives so late that the caller has already sent the request again.
 *
 * A rank is the importance, then a cohort derived from the root request.  The
 * cohort is the same at each hop, so that two overloaded hops shed the same
 * requests.  If each of two hops kept a random half, only a quarter of the
 * requests would finish.
 *
 * A cut belongs to a service and a team: refusals of one team's calls say
 * nothing about another team that stays within its share.  The targets of one
 * service report different cuts; calls are spread over the targets, so the mean
 * of the last few reports is what the service as a whole can take.
 *
 * A cut that is not refreshed rises by itself.  A report is as old as the last
 * answer, and an entry that sends nothing would never learn that the overload
 * is over.  In addition, one call passes as a probe after each
 * PROBE_INTERVAL_US without a report: at most ten per second for each team,
 * service and worker.
 */

#include <string.h>
#include <talloc.h>

#include "decide/mix.h"
#include "loom/return_schedule.h"
#include "loom/shed.h"

/* A cut is the mean over about four reports, for the several targets of a
 * service, or over the last 100 ms when reports are rarer.  Without the second
 * rule, a small team with ten answers per second took over a second to learn
 * that the overload was over. */
#define REPORT_WEIGHT_MIN 0.25
#define REPORT_TAU_US (100.0 * LOOM_US_PER_MS)

/* A cut stays in force this long without a report: the time of several answers
 * even of a slow service, so that a short pause in one team's calls does not
 * lift its cut. */
#define CUT_FRESH_US (UINT64_C(500) * LOOM_US_PER_MS)

/* Then it rises to LOOM_CUT_NONE within this time. */
#define CUT_EXPIRY_US (UINT64_C(500) * LOOM_US_PER_MS)

#define PROBE_INTERVAL_US (UINT64_C(100) * LOOM_US_PER_MS)

/* Number of cuts kept, at 88 bytes each.  A new cut replaces the one of its set
 * with the oldest report, which costs one refusal by the executor to learn
 * again. */
#define ENTRIES 1024 /* power of two */
#define WAYS 4 /* entries in the set of a (service, team) */

/* Averaging time of the rate of admitted calls, by which Retry-After spaces the
 * returns; after a longer gap the rate starts again at one per second. */
#define ADMITTED_TAU_US (1.0 * LOOM_US_PER_S)

struct shed_entry {
	uint64_t service_id;
	uint64_t team_id;
	double cut;
	double admitted_per_s; /* smoothed rate */
	uint64_t last_admitted_us;
	uint64_t last_report_us; /* 0: the entry is free */
	uint64_t last_probe_us;
	struct loom_return_schedule returns;
};

struct loom_shed {
	struct loom_random random;
	uint32_t used; /* entries in use; usually 0, and then all calls pass */
	struct shed_entry entries[ENTRIES];
};

uint16_t
loom_shed_rank(enum loom_importance importance, uint64_t root_id)
{
	return (uint16_t)((uint32_t)importance * LOOM_COHORTS +
	    mix_murmur3(root_id) % LOOM_COHORTS);
}

struct loom_shed *
loom_shed_new(void *ctx, const struct loom_random *random)
{
	struct loom_shed *shed = talloc_zero(ctx, struct loom_shed);

	shed->random = *random;
	return shed;
}

static struct shed_entry *
entry_set(const struct loom_shed *shed, uint64_t service_id, uint64_t team_id)
{
	uint64_t set =
	    mix_murmur3(service_id ^ mix_murmur3(team_id)) % (ENTRIES / WAYS);

	return (struct shed_entry *)&shed->entries[set * WAYS];
}

static struct shed_entry *
find_entry(const struct loom_shed *shed, uint64_t service_id, uint64_t team_id)
{
	struct shed_entry *set = entry_set(shed, service_id, team_id);
	int i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].last_report_us != 0 &&
		    set[i].service_id == service_id &&
		    set[i].team_id == team_id)
			return &set[i];
	}
	return NULL;
}

static struct shed_entry *
find_or_add(struct loom_shed *shed, uint64_t service_id, uint64_t team_id)
{
	struct shed_entry *entry = find_entry(shed, service_id, team_id);
	struct shed_entry *set = entry_set(shed, service_id, team_id);
	int i;

	if (entry != NULL)
		return entry;
	entry = &set[0];
	for (i = 1; i < WAYS; i++) {
		if (set[i].last_report_us < entry->last_report_us)
			entry = &set[i];
	}
	shed->used += entry->last_report_us == 0;
	memset(entry, 0, sizeof(*entry));
	entry->service_id = service_id;
	entry->team_id = team_id;
	entry->cut = LOOM_CUT_NONE;
	return entry;
}

static void
remove_entry(struct loom_shed *shed, struct shed_entry *entry)
{
	entry->last_report_us = 0;
	shed->used--;
}

/* The cut, including its rise since the last report. */
static double
current_cut(const struct shed_entry *entry, uint64_t now_us)
{
	double expired;

	if (now_us <= entry->last_report_us + CUT_FRESH_US)
		return entry->cut;
	expired = (double)(now_us - entry->last_report_us - CUT_FRESH_US) /
	    CUT_EXPIRY_US;
	if (expired >= 1.0)
		return LOOM_CUT_NONE;
	return entry->cut + (LOOM_CUT_NONE - entry->cut) * expired;
}

uint16_t
loom_shed_cut(const struct loom_shed *shed, uint64_t service_id,
    uint64_t team_id, uint64_t now_us)
{
	const struct shed_entry *entry = find_entry(shed, service_id, team_id);

	if (entry == NULL)
		return LOOM_CUT_NONE;
	return (uint16_t)current_cut(entry, now_us);
}

/* Adds an admitted call to the smoothed rate. */
static void
count_admitted(struct shed_entry *entry, uint64_t now_us)
{
	double gap_us = (double)(now_us - entry->last_admitted_us);
	double keep;

	if (gap_us >= ADMITTED_TAU_US) {
		entry->admitted_per_s = 1.0;
	} else {
		keep = 1.0 - gap_us / ADMITTED_TAU_US;
		entry->admitted_per_s = entry->admitted_per_s * keep + 1.0;
	}
	entry->last_admitted_us = now_us;
}

static bool
probe_due(const struct shed_entry *entry, uint64_t now_us)
{
	return now_us >= entry->last_report_us + PROBE_INTERVAL_US &&
	    now_us >= entry->last_probe_us + PROBE_INTERVAL_US;
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
		entry = find_entry(shed, service_ids[i], team_id);
		if (entry == NULL)
			continue;
		cut = current_cut(entry, now_us);
		if (cut >= LOOM_CUT_NONE) {
			remove_entry(shed, entry);
			continue;
		}
		if (rank < cut) {
			count_admitted(entry, now_us);
			continue;
		}
		if (probe_due(entry, now_us)) {
			entry->last_probe_us = now_us;
			continue;
		}
		*retry_after_us = loom_return_schedule_reserve(&entry->returns,
		    (enum loom_importance)(rank / LOOM_COHORTS),
		    entry->admitted_per_s, &shed->random, now_us);
		return LOOM_OVERLOAD;
	}
	return LOOM_OK;
}

static double
report_weight(const struct shed_entry *entry, uint64_t now_us)
{
	double gap_us = (double)(now_us - entry->last_report_us);
	double weight = gap_us / (gap_us + REPORT_TAU_US);

	return weight > REPORT_WEIGHT_MIN ? weight : REPORT_WEIGHT_MIN;
}

void
loom_shed_record(struct loom_shed *shed, uint64_t team_id,
    const struct loom_threshold *threshold, uint64_t now_us)
{
	struct shed_entry *entry;
	uint16_t cut = threshold->cut;

	if (cut > LOOM_CUT_NONE)
		cut = LOOM_CUT_NONE;
	if (cut == LOOM_CUT_NONE &&
	    find_entry(shed, threshold->service_id, team_id) == NULL)
		return;
	entry = find_or_add(shed, threshold->service_id, team_id);
	entry->cut = current_cut(entry, now_us);
	entry->cut += (cut - entry->cut) * report_weight(entry, now_us);
	entry->last_report_us = now_us;
	if (entry->cut > LOOM_CUT_NONE - 1)
		remove_entry(shed, entry);
}
