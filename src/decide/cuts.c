/*
 * The shedding threshold (cut) that one executor keeps for each team.
 *
 * It matters under lasting overload of a service that other services call.  The
 * queue alone protects this upstream, but each refusal here wastes the work of
 * all services before it in the call chain.  The cut tells the entries which
 * calls the queue would refuse.
 *
 * The queue decides which team exceeds its share, and the cut only follows the
 * queue.  A team whose calls are not refused here has no cut, whatever the
 * others send.  A cut never falls below the most important level with a refused
 * call, since the queue refuses the least important calls first.
 *
 * All offered calls are counted by rank, also those above the current cut.
 * Entries learn of a new cut with their next answers, and until then they still
 * send calls above it.  When such calls were counted as calls below the cut, it
 * was lowered again and again, and a flooding team was left with 60% of its
 * share.
 *
 * Lowering: at once, to the number of calls served plus a surplus, because work
 * is wasted in every window of delay.  The calls served are what the team is
 * entitled to, however many it sent and however late its refusals come.  The
 * surplus keeps the queue from running empty.
 *
 * Raising: by STEP_SHARE while the upstream is busy, and otherwise by half of
 * the way to full use.  The whole way overshoots, because the calls that a
 * raised cut admits arrive a few answers later.  Doubling the admitted calls
 * made them oscillate between a third of the capacity and three times as much,
 * twice per second.
 */

#include <string.h>
#include <talloc.h>

#include "decide/cuts.h"
#include "loom/clock.h"

/* A window needs WINDOW_CALLS_MIN calls of a team, or the longer time: with two
 * calls in 50 ms, a single refusal would count as half of the calls. */
#define WINDOW_US (UINT64_C(50) * LOOM_US_PER_MS)
#define WINDOW_CALLS_MIN 20
#define WINDOW_MAX_US (UINT64_C(200) * LOOM_US_PER_MS)

/* A raised cut takes effect only after a report, a call and an answer. */
#define RAISE_INTERVAL_US (UINT64_C(100) * LOOM_US_PER_MS)

/* Shares of a team's calls that are refused: above the first its cut is
 * lowered, at or below the second it is raised. */
#define REFUSED_SHARE_LOWER 0.10
#define REFUSED_SHARE_KEEP 0.02
#define SURPLUS_SHARE 0.05
#define SURPLUS_CALLS 2.0

/* Steps are shares of a team's offered calls.  They are converted to ranks by
 * the density of its calls at the cut. */
#define STEP_SHARE 0.05
#define STEP_SHARE_MAX 2.0
#define STEP_RANKS_MIN 4.0 /* where no calls lie at the cut */
#define HEADROOM_SHARE 0.5
#define BUSY_USED 0.9 /* of the limit in use: the upstream is busy */

/* Size of the hash table of teams.  Teams with the same hash share an entry,
 * which becomes free when it has no cut and no refusal in a window. */
#define TEAM_ENTRIES 256 /* power of two */

/* Calls are counted in bins of this many ranks. */
#define BIN_RANKS 32
#define BINS (LOOM_CUT_NONE / BIN_RANKS)
#define BINS_PER_LEVEL (LOOM_COHORTS / BIN_RANKS)

struct team_cut {
	uint64_t team_id;
	uint64_t window_start_us; /* 0: the entry is free */
	double cut;
	uint64_t last_raised_us;
	uint32_t served;
	uint32_t offered[BINS];
	uint32_t refused[BINS];
};

struct loom_cuts {
	struct team_cut teams[TEAM_ENTRIES];
	uint64_t now_us; /* of the last tick */
	uint32_t used; /* entries that are not free */
};

struct loom_cuts *
loom_cuts_new(void *ctx)
{
	return talloc_zero(ctx, struct loom_cuts);
}

static struct team_cut *
entry_of(const struct loom_cuts *cuts, uint64_t team_id)
{
	return (struct team_cut *)&cuts
	    ->teams[(team_id ^ team_id >> 32) & (TEAM_ENTRIES - 1)];
}

/* A team with the same hash as one in the table shares that entry and its cut.
 * This is rare, and it ends when the entry becomes free. */
static struct team_cut *
find_or_claim_entry(struct loom_cuts *cuts, uint64_t team_id)
{
	struct team_cut *team = entry_of(cuts, team_id);

	if (team->window_start_us == 0) {
		memset(team, 0, sizeof(*team));
		team->team_id = team_id;
		team->window_start_us = cuts->now_us > 0 ? cuts->now_us : 1;
		team->cut = LOOM_CUT_NONE;
		cuts->used++;
	}
	return team;
}

static uint32_t
bin_of(uint16_t rank)
{
	return rank < LOOM_CUT_NONE ? rank / BIN_RANKS : BINS - 1;
}

void
loom_cuts_offered(struct loom_cuts *cuts, uint64_t team_id, uint16_t rank)
{
	find_or_claim_entry(cuts, team_id)->offered[bin_of(rank)]++;
}

void
loom_cuts_served(struct loom_cuts *cuts, uint64_t team_id)
{
	find_or_claim_entry(cuts, team_id)->served++;
}

void
loom_cuts_refused(struct loom_cuts *cuts, uint64_t team_id, uint16_t rank)
{
	find_or_claim_entry(cuts, team_id)->refused[bin_of(rank)]++;
}

uint16_t
loom_cuts_get(const struct loom_cuts *cuts, uint64_t team_id)
{
	const struct team_cut *team = entry_of(cuts, team_id);

	return team->window_start_us == 0 ? LOOM_CUT_NONE : (uint16_t)team->cut;
}

static double
total_calls(const uint32_t counts[BINS])
{
	double total = 0;
	int i;

	for (i = 0; i < BINS; i++)
		total += counts[i];
	return total;
}

/* The rank below which ncalls of the offered calls lie. */
static double
rank_below_calls(const struct team_cut *team, double ncalls)
{
	int i;

	for (i = 0; i < BINS; i++) {
		if (ncalls < team->offered[i])
			return (i + ncalls / team->offered[i]) * BIN_RANKS;
		ncalls -= team->offered[i];
	}
	return LOOM_CUT_NONE;
}

/* The lowest rank of the most important level that has a refused call. */
static double
lowest_allowed_cut(const struct team_cut *team)
{
	int i;

	for (i = 0; i < BINS; i++) {
		if (team->refused[i] > 0)
			break;
	}
	return (i - i % BINS_PER_LEVEL) * BIN_RANKS;
}

static void
lower_cut(struct team_cut *team)
{
	double cut, lowest_allowed = lowest_allowed_cut(team);

	cut = rank_below_calls(
	    team, team->served * (1.0 + SURPLUS_SHARE) + SURPLUS_CALLS);
	if (cut < lowest_allowed)
		cut = lowest_allowed;
	if (cut < team->cut)
		team->cut = cut;
}

/* Number of ranks above the cut that would hold ncalls more calls, if calls are
 * as dense there as in the last level below the cut. */
static double
ranks_holding_calls(const struct team_cut *team, double ncalls)
{
	int bin = (int)(team->cut / BIN_RANKS);
	double calls = 0, ranks = 0;
	int i;

	for (i = bin < BINS ? bin : BINS - 1; i >= 0; i--) {
		calls += team->offered[i];
		ranks += BIN_RANKS;
		if (calls > 0 && ranks >= LOOM_COHORTS)
			break;
	}
	ranks = calls > 0 ? ranks * ncalls / calls : 0;
	return ranks > STEP_RANKS_MIN ? ranks : STEP_RANKS_MIN;
}

static double
step_share(double used)
{
	double share;

	if (used >= BUSY_USED)
		return STEP_SHARE;
	if (used < BUSY_USED / (1.0 + STEP_SHARE_MAX / HEADROOM_SHARE))
		return STEP_SHARE_MAX;
	share = (BUSY_USED / used - 1.0) * HEADROOM_SHARE;
	return share > STEP_SHARE ? share : STEP_SHARE;
}

static void
raise_cut(struct team_cut *team, double used, uint64_t now_us)
{
	double ncalls = total_calls(team->offered) * step_share(used);

	team->cut += ranks_holding_calls(team, ncalls);
	if (team->cut > LOOM_CUT_NONE)
		team->cut = LOOM_CUT_NONE;
	team->last_raised_us = now_us;
}

static void
start_window(struct loom_cuts *cuts, struct team_cut *team)
{
	if (team->cut >= LOOM_CUT_NONE && total_calls(team->refused) == 0) {
		team->window_start_us = 0;
		cuts->used--;
		return;
	}
	team->served = 0;
	memset(team->offered, 0, sizeof(team->offered));
	memset(team->refused, 0, sizeof(team->refused));
	team->window_start_us = cuts->now_us;
}

static void
update_team(struct loom_cuts *cuts, struct team_cut *team, double used)
{
	double offered = total_calls(team->offered);
	double refused = total_calls(team->refused);
	uint64_t age_us = cuts->now_us - team->window_start_us;

	if (age_us < WINDOW_US)
		return;
	if (offered < WINDOW_CALLS_MIN && age_us < WINDOW_MAX_US &&
	    (used >= BUSY_USED || refused > 0))
		return;
	/* While there is room, these are late refusals of calls that waited for
	 * long. */
	if (used < BUSY_USED)
		refused = 0;
	if (refused > REFUSED_SHARE_LOWER * offered)
		lower_cut(team);
	else if (refused > REFUSED_SHARE_KEEP * offered)
		team->last_raised_us = cuts->now_us;
	else if (cuts->now_us < team->last_raised_us + RAISE_INTERVAL_US)
		return;
	else
		raise_cut(team, used, cuts->now_us);
	start_window(cuts, team);
}

void
loom_cuts_restart_windows(struct loom_cuts *cuts, uint64_t now_us)
{
	uint32_t i;

	cuts->now_us = now_us;
	for (i = 0; i < TEAM_ENTRIES && cuts->used > 0; i++) {
		if (cuts->teams[i].window_start_us != 0)
			start_window(cuts, &cuts->teams[i]);
	}
}

bool
loom_cuts_tick(struct loom_cuts *cuts, double used, uint64_t now_us)
{
	bool any_in_force = false;
	uint32_t i;

	cuts->now_us = now_us;
	if (cuts->used == 0)
		return false;
	for (i = 0; i < TEAM_ENTRIES; i++) {
		if (cuts->teams[i].window_start_us == 0)
			continue;
		update_team(cuts, &cuts->teams[i], used);
		if (cuts->teams[i].window_start_us != 0 &&
		    cuts->teams[i].cut < LOOM_CUT_NONE)
			any_in_force = true;
	}
	return any_in_force;
}
