/*
 * The shedding threshold that one executor keeps for each team.
 *
 * Answers: standing overload at a service that others call.  The queue alone
 * protects this upstream, but each refusal here has cost work in all services
 * above.  The cut tells the entries what the queue would refuse.
 *
 * The queue decides who is over its share; the cut only follows it.  A team
 * whose calls are not refused here has no cut, whatever the others send.  A
 * cut never falls below the most important level that was refused, since the
 * queue refuses from the least important one upwards.
 *
 * Calls are counted by their own ranks and not by the cut that stands here:
 * entries learn of a cut with their next answers, and until then calls arrive
 * that it has already condemned.  Taking them for calls below the cut lowered
 * it again and again (measured: a flooding team ended with 60% of its share).
 *
 * Down: to what the team was served plus SURPLUS, at once, since every window
 * of delay is a window of wasted work.  What was served is what the team may
 * have, whatever it sent and however late its refusals come.  The surplus
 * keeps the queue from running dry.
 * Up: by STEP_SHARE while the upstream is busy.  While it has room, half way
 * to where it would be full: the whole way overshoots, because the calls that
 * a new cut lets in come a few answers later, and doubling blindly swung
 * between a third of the capacity and three times as much, twice a second.
 */

#include <string.h>
#include <talloc.h>

#include "decide/cuts.h"
#include "loom/clock.h"

/* A window needs WINDOW_CALLS of a team, or the longer time: at two calls in
 * 50 ms one refusal would read as a half. */
#define WINDOW_US (UINT64_C(50) * LOOM_US_PER_MS)
#define WINDOW_CALLS 20
#define WINDOW_MAX_US (UINT64_C(200) * LOOM_US_PER_MS)

/* A raised cut shows its effect after a report, a call and an answer. */
#define RAISE_US (UINT64_C(100) * LOOM_US_PER_MS)

#define REFUSED_HIGH 0.10 /* of a team's calls: lower its cut */
#define REFUSED_LOW 0.02 /* raise it */
#define SURPLUS 0.05
#define SURPLUS_CALLS 2.0

/* Steps are shares of what the team is let in with, turned into ranks by how
 * densely its calls lie at the cut. */
#define STEP_SHARE 0.05
#define STEP_SHARE_MAX 2.0
#define STEP_RANKS_MIN 4.0 /* where no call lies at the cut */
#define ROOM_PART 0.5
#define FULL 0.9 /* of the limit in use: busy */

/* Teams watched at once; more than that share places by their hash, and a
 * place is given up as soon as its cut is open and a window went by. */
#define PLACES 256 /* power of two */

/* Ranks are counted in bins of this many. */
#define BIN_RANKS 32
#define BINS (LOOM_CUT_NONE / BIN_RANKS)
#define BINS_PER_LEVEL (LOOM_COHORTS / BIN_RANKS)

struct team_cut {
	uint64_t team_id;
	uint64_t window_us; /* start; 0: the place is free */
	double cut;
	uint64_t raised_us;
	uint32_t served;
	uint32_t offered[BINS];
	uint32_t refused[BINS];
};

struct loom_cuts {
	struct team_cut places[PLACES];
	uint64_t now_us; /* of the last tick */
	uint32_t used; /* places that are not free */
};

struct loom_cuts *
loom_cuts_new(void *ctx)
{
	return talloc_zero(ctx, struct loom_cuts);
}

static struct team_cut *
place_of(const struct loom_cuts *cuts, uint64_t team_id)
{
	return (struct team_cut *)&cuts
	    ->places[(team_id ^ team_id >> 32) & (PLACES - 1)];
}

/* Two teams of one hash share the place of the first, and its cut: rare, and
 * over as soon as that cut is open again. */
static struct team_cut *
take_place(struct loom_cuts *cuts, uint64_t team_id)
{
	struct team_cut *team = place_of(cuts, team_id);

	if (team->window_us == 0) {
		memset(team, 0, sizeof(*team));
		team->team_id = team_id;
		team->window_us = cuts->now_us > 0 ? cuts->now_us : 1;
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
	take_place(cuts, team_id)->offered[bin_of(rank)]++;
}

void
loom_cuts_served(struct loom_cuts *cuts, uint64_t team_id)
{
	take_place(cuts, team_id)->served++;
}

void
loom_cuts_refused(struct loom_cuts *cuts, uint64_t team_id, uint16_t rank)
{
	take_place(cuts, team_id)->refused[bin_of(rank)]++;
}

uint16_t
loom_cuts_of(const struct loom_cuts *cuts, uint64_t team_id)
{
	const struct team_cut *team = place_of(cuts, team_id);

	return team->window_us == 0 ? LOOM_CUT_NONE : (uint16_t)team->cut;
}

static double
sum(const uint32_t counts[BINS])
{
	double total = 0;
	int i;

	for (i = 0; i < BINS; i++)
		total += counts[i];
	return total;
}

/* The rank below which `volume` of the offered calls lie. */
static double
rank_of_volume(const struct team_cut *team, double volume)
{
	int i;

	for (i = 0; i < BINS; i++) {
		if (volume < team->offered[i])
			return (i + volume / team->offered[i]) * BIN_RANKS;
		volume -= team->offered[i];
	}
	return LOOM_CUT_NONE;
}

/* Where the most important level begins that was refused. */
static double
lowest_cut(const struct team_cut *team)
{
	int i;

	for (i = 0; i < BINS; i++) {
		if (team->refused[i] > 0)
			break;
	}
	return (i - i % BINS_PER_LEVEL) * BIN_RANKS;
}

static void
lower(struct team_cut *team)
{
	double cut, lowest = lowest_cut(team);

	cut = rank_of_volume(
	    team, team->served * (1.0 + SURPLUS) + SURPLUS_CALLS);
	if (cut < lowest)
		cut = lowest;
	if (cut < team->cut)
		team->cut = cut;
}

/* Ranks that hold `volume` more calls, above the cut: as densely as those
 * of the last level below it lie. */
static double
ranks_of_volume(const struct team_cut *team, double volume)
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
	ranks = calls > 0 ? ranks * volume / calls : 0;
	return ranks > STEP_RANKS_MIN ? ranks : STEP_RANKS_MIN;
}

static double
step_share(double used)
{
	double share;

	if (used >= FULL)
		return STEP_SHARE;
	if (used < FULL / (1.0 + STEP_SHARE_MAX / ROOM_PART))
		return STEP_SHARE_MAX;
	share = (FULL / used - 1.0) * ROOM_PART;
	return share > STEP_SHARE ? share : STEP_SHARE;
}

static void
raise_cut(struct team_cut *team, double used, uint64_t now_us)
{
	double volume = sum(team->offered) * step_share(used);

	team->cut += ranks_of_volume(team, volume);
	if (team->cut > LOOM_CUT_NONE)
		team->cut = LOOM_CUT_NONE;
	team->raised_us = now_us;
}

static void
open_window(struct loom_cuts *cuts, struct team_cut *team)
{
	if (team->cut >= LOOM_CUT_NONE && sum(team->refused) == 0) {
		team->window_us = 0;
		cuts->used--;
		return;
	}
	team->served = 0;
	memset(team->offered, 0, sizeof(team->offered));
	memset(team->refused, 0, sizeof(team->refused));
	team->window_us = cuts->now_us;
}

static void
tick_team(struct loom_cuts *cuts, struct team_cut *team, double used)
{
	double offered = sum(team->offered);
	double refused = sum(team->refused);
	uint64_t age_us = cuts->now_us - team->window_us;

	if (age_us < WINDOW_US)
		return;
	if (offered < WINDOW_CALLS && age_us < WINDOW_MAX_US &&
	    (used >= FULL || refused > 0))
		return;
	/* Refusals of calls that waited for long come after the room. */
	if (used < FULL)
		refused = 0;
	if (refused > REFUSED_HIGH * offered)
		lower(team);
	else if (refused > REFUSED_LOW * offered)
		team->raised_us = cuts->now_us;
	else if (cuts->now_us < team->raised_us + RAISE_US)
		return;
	else
		raise_cut(team, used, cuts->now_us);
	open_window(cuts, team);
}

void
loom_cuts_forget(struct loom_cuts *cuts, uint64_t now_us)
{
	uint32_t i;

	cuts->now_us = now_us;
	for (i = 0; i < PLACES && cuts->used > 0; i++) {
		if (cuts->places[i].window_us != 0)
			open_window(cuts, &cuts->places[i]);
	}
}

bool
loom_cuts_tick(struct loom_cuts *cuts, double used, uint64_t now_us)
{
	bool in_force = false;
	uint32_t i;

	cuts->now_us = now_us;
	if (cuts->used == 0)
		return false;
	for (i = 0; i < PLACES; i++) {
		if (cuts->places[i].window_us == 0)
			continue;
		tick_team(cuts, &cuts->places[i], used);
		if (cuts->places[i].window_us != 0 &&
		    cuts->places[i].cut < LOOM_CUT_NONE)
			in_force = true;
	}
	return in_force;
}
