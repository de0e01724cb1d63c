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
 * Down: to what was served plus SURPLUS, at once, since every window of delay
 * is a window of wasted work.  The surplus keeps the queue from running dry,
 * so that the upstream stays busy and the cut can be seen to be still needed.
 * Up: by small steps while the upstream is busy, by doubling ones while it has
 * room, so that 1024 ranks open within six windows (0.3 s) of the overload's
 * end, and yet not all at once.
 */

#include <string.h>
#include <talloc.h>

#include "decide/cuts.h"
#include "loom/clock.h"

/* A window needs WINDOW_CALLS of a team to lower its cut, or the longer
 * time: at two calls in 50 ms one refusal would read as a half. */
#define WINDOW_US (UINT64_C(50) * LOOM_US_PER_MS)
#define WINDOW_CALLS 20
#define WINDOW_MAX_US (UINT64_C(200) * LOOM_US_PER_MS)

#define REFUSED_HIGH 0.05 /* of a team's calls: lower its cut */
#define REFUSED_LOW 0.02 /* raise it */
#define SURPLUS 0.03
#define STEP_MIN 16.0

/* Teams watched at once; more than that share places by their hash, and a
 * place is given up as soon as its cut is open and a window went by. */
#define PLACES 256 /* power of two */

struct team_cut {
	uint64_t team_id;
	uint64_t window_us; /* start; 0: the place is free */
	double cut;
	double step;
	uint32_t offered[LOOM_IMPORTANCES];
	uint32_t refused[LOOM_IMPORTANCES];
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
		team->step = STEP_MIN;
		cuts->used++;
	}
	return team;
}

void
loom_cuts_offered(
    struct loom_cuts *cuts, uint64_t team_id, enum loom_importance importance)
{
	take_place(cuts, team_id)->offered[importance]++;
}

void
loom_cuts_refused(
    struct loom_cuts *cuts, uint64_t team_id, enum loom_importance importance)
{
	take_place(cuts, team_id)->refused[importance]++;
}

uint16_t
loom_cuts_of(const struct loom_cuts *cuts, uint64_t team_id)
{
	const struct team_cut *team = place_of(cuts, team_id);

	return team->window_us == 0 ? LOOM_CUT_NONE : (uint16_t)team->cut;
}

static double
sum(const uint32_t counts[LOOM_IMPORTANCES])
{
	double total = 0;
	int i;

	for (i = 0; i < LOOM_IMPORTANCES; i++)
		total += counts[i];
	return total;
}

/* The rank below which `volume` of the offered calls lie. */
static double
rank_of_volume(const struct team_cut *team, double volume)
{
	double start, end, part;
	int i;

	for (i = 0; i < LOOM_IMPORTANCES; i++) {
		start = i * LOOM_COHORTS;
		if (start >= team->cut)
			break;
		if (volume >= team->offered[i]) {
			volume -= team->offered[i];
			continue;
		}
		end = start + LOOM_COHORTS;
		if (end > team->cut)
			end = team->cut;
		part = volume / team->offered[i];
		return start + (end - start) * part;
	}
	return team->cut;
}

/* Where the most important level begins that was refused. */
static double
lowest_cut(const struct team_cut *team)
{
	int i;

	for (i = 0; i < LOOM_IMPORTANCES; i++) {
		if (team->refused[i] > 0)
			break;
	}
	return i * LOOM_COHORTS;
}

static void
lower(struct team_cut *team, double offered, double refused)
{
	double cut, lowest = lowest_cut(team);

	cut = rank_of_volume(team, offered - refused + SURPLUS * offered);
	if (cut < lowest)
		cut = lowest;
	if (cut < team->cut)
		team->cut = cut;
	team->step = STEP_MIN;
}

static void
raise_cut(struct team_cut *team, bool idle)
{
	team->cut += team->step;
	if (idle)
		team->step *= 2;
	else
		team->step = STEP_MIN;
	if (team->cut > LOOM_CUT_NONE)
		team->cut = LOOM_CUT_NONE;
}

static void
open_window(struct loom_cuts *cuts, struct team_cut *team)
{
	if (team->cut >= LOOM_CUT_NONE && sum(team->refused) == 0) {
		team->window_us = 0;
		cuts->used--;
		return;
	}
	memset(team->offered, 0, sizeof(team->offered));
	memset(team->refused, 0, sizeof(team->refused));
	team->window_us = cuts->now_us;
}

static void
tick_team(struct loom_cuts *cuts, struct team_cut *team, bool idle)
{
	double offered = sum(team->offered);
	double refused = sum(team->refused);
	uint64_t age_us = cuts->now_us - team->window_us;

	if (age_us < WINDOW_US)
		return;
	if (offered < refused)
		offered = refused;
	if (offered < WINDOW_CALLS && age_us < WINDOW_MAX_US &&
	    !(idle && refused == 0))
		return;
	if (refused > REFUSED_HIGH * offered)
		lower(team, offered, refused);
	else if (refused <= REFUSED_LOW * offered)
		raise_cut(team, idle);
	open_window(cuts, team);
}

bool
loom_cuts_tick(struct loom_cuts *cuts, bool idle, uint64_t now_us)
{
	bool in_force = false;
	uint32_t i;

	cuts->now_us = now_us;
	if (cuts->used == 0)
		return false;
	for (i = 0; i < PLACES; i++) {
		if (cuts->places[i].window_us == 0)
			continue;
		tick_team(cuts, &cuts->places[i], idle);
		if (cuts->places[i].window_us != 0 &&
		    cuts->places[i].cut < LOOM_CUT_NONE)
			in_force = true;
	}
	return in_force;
}
