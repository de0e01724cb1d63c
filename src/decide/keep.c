/*
 * Letting in whole requests by what the narrowest service below can carry.
 *
 * Load pattern: one small service deep down is called many times by most
 * requests, and is the only one that is full.  Its calls carry neither the
 * importance nor the team of the request that they belong to, so it cannot
 * choose among them; and refusing any one of the ten calls of a request wastes
 * the other nine and all work above.  At 1.2 times its capacity refusing by
 * chance fails five in six requests of ten calls.  So calls inside a request
 * that was let in are served, and requests are refused where they enter.
 *
 * How much is let in is steered by the executor, which sees its queue: the
 * share moves at a rate in proportion to how far the use is off USED_TARGET.
 * It is a share of what is offered and not a rank, since an executor does not
 * know how many requests of which rank lead to it, while each entry sees its
 * own: the same share then works at once for any mix, without a stretch of
 * ranks that nobody has and that a rank would have to cross first.
 *
 * A queue that stands is made of requests that were let in while the share was
 * too high, and each of those makes its other calls yet.  By the steered share
 * alone it lasted until the share had fallen far below what can be carried, and
 * the service idled before it had risen again: both by turns.  So the share
 * that entries are told is lower by the queue, for as long as it stands.
 *
 * STEER_US: news takes an answer of each service on the way, and requests that
 * are inside make their other calls yet, some 0.3 s together in chains that
 * take 0.2 s.  At 0.8 s it swings once news is late by a second (0.53 of what
 * could be is served, 0.66 at 1.1 s), at 1.6 s a service that lost half of its
 * capacity is still flooded ten seconds later (test_keep).
 */

#include <glib.h>
#include <math.h>
#include <talloc.h>

#include "loom/keep.h"

/* Of the limit, running.  Higher, and the queue of smooth arrivals stands while
 * news is on its way: at 1.1 the control swings (test_keep). */
#define USED_TARGET 0.93
/*
 * Calls come in bursts, as each request makes several; a queue that is gone
 * again within this time, after which admission takes one for standing, cost
 * its calls little and says nothing of the load. Counted as use, such bursts
 * held the narrowest service of a chain at 0.65 of its slots while half of the
 * requests were refused for its sake.
 */
#define QUEUE_WINDOW_US (100 * LOOM_US_PER_MS)
#define STEER_US (1.1 * LOOM_US_PER_S)
/* A queue of three times the limit lowers the share no faster than this, or
 * one burst would shut the gate for seconds. */
#define OVER_MAX 1.0
/* A queue as long as the limit halves the share. */
#define QUEUE_GAIN 1.0
/* A tick that comes late after a pause steers for no longer. */
#define STEP_MAX_US (50.0 * LOOM_US_PER_MS)
/* Some requests always go through, or nothing would show that there is room
 * again. */
#define SHARE_MIN 0.02

/* An entry's share is the mean over about so many reports, or over the last
 * 100 ms when they are rarer. */
#define REPORT_WEIGHT 0.2
#define REPORT_TAU_US (100.0 * LOOM_US_PER_MS)
/* Without a report it stands so long, and then doubles each time that so much
 * has passed.  In a straight line to 1 an entry that was told a hundredth, and
 * hears nothing since it lets in so little, let in ten times that at once. */
#define REFRESH_US (500.0 * LOOM_US_PER_MS)
#define DOUBLE_US (250.0 * LOOM_US_PER_MS)
/* Shares are told in thousandths: it doubles from no less. */
#define TOLD_MIN 0.001

/* Ranks are counted in bins, over about this time: long enough for some
 * twenty requests at an entry of ten a second. */
#define OFFERED_TAU_US (2.0 * LOOM_US_PER_S)
/* The mean cost is over about so many requests of an entry: some seconds. */
#define COST_WEIGHT 0.02
#define CHEAPEST_PART 0.5
#define BIN_RANKS 32
#define BINS (LOOM_CUT_NONE / BIN_RANKS)

struct keep_entry {
	uint64_t service_id;
	double share;
	uint64_t reported_us;
	double offered[BINS]; /* calls, decayed to offered_us */
	uint64_t offered_us;
	double mean_calls; /* of the requests offered lately */
};

struct loom_keep_gate {
	GHashTable *entries; /* service id to struct keep_entry, owned */
};

void
loom_keep_control_init(struct loom_keep_control *control, uint64_t now_us)
{
	*control = (struct loom_keep_control){
		.steered = 1.0,
		.share = 1.0,
		.ticked_us = now_us,
		.window_us = now_us,
	};
}

/* The queue that did not go away lately, to the limit. */
static double
standing_queue(struct loom_keep_control *control, double queue, uint64_t now_us)
{
	double *least = control->queue_min;

	if (now_us - control->window_us >= QUEUE_WINDOW_US) {
		control->window_us = now_us;
		least[1] = least[0];
		least[0] = queue;
	}
	least[0] = MIN(least[0], queue);
	return MIN(least[0], least[1]);
}

void
loom_keep_control_tick(
    struct loom_keep_control *control, double used, uint64_t now_us)
{
	double step_us = (double)(now_us - control->ticked_us);
	double queue = standing_queue(control, MAX(used - 1.0, 0), now_us);
	double over = MIN(used, 1.0) - USED_TARGET + queue;

	control->ticked_us = now_us;
	step_us = MIN(step_us, STEP_MAX_US);
	over = MIN(over, OVER_MAX);
	control->steered *= exp(-over * step_us / STEER_US);
	control->steered = CLAMP(control->steered, SHARE_MIN, 1.0);
	control->share = control->steered / (1.0 + QUEUE_GAIN * queue);
}

static int
gate_destroy(struct loom_keep_gate *gate)
{
	g_hash_table_unref(gate->entries);
	return 0;
}

struct loom_keep_gate *
loom_keep_gate_new(void *ctx)
{
	struct loom_keep_gate *gate = talloc_zero(ctx, struct loom_keep_gate);

	if (gate == NULL)
		return NULL;
	gate->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	talloc_set_destructor(gate, gate_destroy);
	return gate;
}

/* With its rise since the last report: an entry that sends nothing there
 * would never learn that the overload has ended. */
static double
share_now(const struct keep_entry *entry, uint64_t now_us)
{
	double silent_us = (double)(now_us - entry->reported_us);
	double open;

	if (silent_us <= REFRESH_US)
		return entry->share;
	open = exp2((silent_us - REFRESH_US) / DOUBLE_US);
	return MIN(MAX(entry->share, TOLD_MIN) * open, 1.0);
}

void
loom_keep_note(struct loom_keep_gate *gate, uint64_t service_id, double share,
    uint64_t now_us)
{
	struct keep_entry *entry;
	double gap_us, weight;

	entry = g_hash_table_lookup(gate->entries, &service_id);
	if (entry == NULL) {
		entry = g_new0(struct keep_entry, 1);
		entry->service_id = service_id;
		entry->share = 1.0;
		g_hash_table_insert(gate->entries, &entry->service_id, entry);
	}
	gap_us = (double)(now_us - entry->reported_us);
	weight = MAX(gap_us / (gap_us + REPORT_TAU_US), REPORT_WEIGHT);
	entry->share += (CLAMP(share, 0.0, 1.0) - entry->share) * weight;
	entry->reported_us = now_us;
}

double
loom_keep_share(
    const struct loom_keep_gate *gate, uint64_t service_id, uint64_t now_us)
{
	const struct keep_entry *entry;

	entry = g_hash_table_lookup(gate->entries, &service_id);
	return entry == NULL ? 1.0 : share_now(entry, now_us);
}

uint64_t
loom_keep_age_us(
    const struct loom_keep_gate *gate, uint64_t service_id, uint64_t now_us)
{
	const struct keep_entry *entry;

	entry = g_hash_table_lookup(gate->entries, &service_id);
	return entry == NULL ? 0 : now_us - MIN(now_us, entry->reported_us);
}

static void
count_offered(
    struct keep_entry *entry, uint32_t bin, double calls, uint64_t now_us)
{
	double gap_us = (double)(now_us - entry->offered_us);
	double left = exp(-gap_us / OFFERED_TAU_US);
	uint32_t i;

	for (i = 0; i < BINS; i++)
		entry->offered[i] *= left;
	entry->offered[bin] += calls;
	entry->offered_us = now_us;
}

/* The rank below which the share of what is offered lies. */
static double
rank_of_share(const struct keep_entry *entry, double share)
{
	double total = 0, volume;
	uint32_t i;

	for (i = 0; i < BINS; i++)
		total += entry->offered[i];
	volume = total * share;
	for (i = 0; i < BINS; i++) {
		if (volume < entry->offered[i])
			return (i + volume / entry->offered[i]) * BIN_RANKS;
		volume -= entry->offered[i];
	}
	return LOOM_CUT_NONE;
}

/*
 * Among equals, one that takes half of the room is up to twice as likely to be
 * let in: more callers are served, and none of a costly route is starved for
 * it, as it would be if the cheapest went first.
 */
static uint16_t
rank_by_cost(struct keep_entry *entry, uint16_t rank, double calls)
{
	uint16_t level = rank / LOOM_COHORTS * LOOM_COHORTS;
	double part;

	entry->mean_calls += (calls - entry->mean_calls) * COST_WEIGHT;
	part = CLAMP(calls / entry->mean_calls, CHEAPEST_PART, 1.0);
	return (uint16_t)(level + (rank - level) * part);
}

bool
loom_keep_pass(struct loom_keep_gate *gate, uint64_t service_id, uint16_t rank,
    double calls, uint64_t now_us)
{
	struct keep_entry *entry;
	double share;

	entry = g_hash_table_lookup(gate->entries, &service_id);
	if (entry == NULL)
		return true;
	rank = rank_by_cost(entry, rank, calls);
	count_offered(entry, MIN(rank / BIN_RANKS, BINS - 1), calls, now_us);
	share = share_now(entry, now_us);
	return share >= 1.0 || rank < rank_of_share(entry, share);
}
