/*
 * Fairness between teams at an entry.
 *
 * Load pattern: one team sends many times its usual amount to a service that
 * was nearly full.  If requests are refused at random, each team loses the same
 * fraction, and all pay for the one.
 *
 * A request is ordered by c * u, where c is uniform in [0, 1) and u is the
 * usage of its team, relative to the team's share by weight.  Admission takes
 * the requests below some level L.  Of a team's demand that is the fraction
 * min(1, L / u), so each team gets the smaller of its demand and an amount in
 * proportion to its weight: the weighted max-min fair allocation.  The level is
 * found by the share (throttle.c); it does not have to be computed here.
 *
 * Only callers of this entry are counted.  A team that sends many times its
 * usual through one entry pays there, and elsewhere all pay by the share.
 */

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <talloc.h>

#include "decide/mix.h"
#include "decide/team_room.h"
#include "loom/clock.h"

/* Averaging time of the usage: some hundred requests at a busy entry. */
#define USAGE_TAU_US (5.0 * LOOM_US_PER_S)
/* A team that sent nothing for this long claims no share. */
#define ACTIVE_US (10 * LOOM_US_PER_S)
#define WEIGHT_INTERVAL_US (500 * LOOM_US_PER_MS)
/*
 * A team's usage counts this many mean requests more, as if it had sent them at
 * the typical usage of a team.  Otherwise a small team that sends one request
 * in ten seconds would be taken for a large user whenever it sends one.
 */
#define PRIOR_REQUESTS 4.0
/* Weight of a request in the mean work of requests. */
#define MEAN_WEIGHT 0.02

/* Teams whose usage is kept; a new one replaces the one of its set that was
 * used longest ago and starts without usage. */
#define ENTRIES 256 /* power of two */
#define WAYS 4 /* entries in the set of a team */

struct usage {
	uint64_t team_id;
	uint64_t used_us; /* 0: the entry is free */
	double weight;
	double work; /* decayed to used_us */
};

struct team_room {
	struct usage entries[ENTRIES];
	double total_work; /* decayed to updated_us */
	double mean_work; /* of a request */
	uint64_t updated_us;
	/* computed at weighed_us */
	double total_weight; /* of the active teams */
	double typical_usage; /* relative to the share by weight */
	uint64_t weighed_us;
};

/* An active team's work for its weight. */
struct rating {
	double work_per_weight;
	double weight;
};

struct team_room *
team_room_new(void *ctx)
{
	return talloc_zero(ctx, struct team_room);
}

static struct usage *
find_or_replace(struct team_room *room, uint64_t team_id)
{
	struct usage *set =
	    &room->entries[mix_murmur3(team_id) % (ENTRIES / WAYS) * WAYS];
	struct usage *oldest = &set[0];
	uint32_t i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].used_us != 0 && set[i].team_id == team_id)
			return &set[i];
		if (set[i].used_us < oldest->used_us)
			oldest = &set[i];
	}
	*oldest = (struct usage){ .team_id = team_id };
	return oldest;
}

static double
decay(double work, uint64_t since_us, uint64_t now_us)
{
	return work * exp(-(double)(now_us - since_us) / USAGE_TAU_US);
}

static int
compare_ratings(const void *left, const void *right)
{
	const struct rating *a = left, *b = right;

	return (a->work_per_weight > b->work_per_weight) -
	    (a->work_per_weight < b->work_per_weight);
}

/* Writes the active teams' ratings to out; returns their number. */
static uint32_t
rate_teams(
    const struct team_room *room, struct rating out[ENTRIES], uint64_t now_us)
{
	const struct usage *usage;
	uint32_t n = 0;

	for (usage = room->entries; usage < room->entries + ENTRIES; usage++) {
		if (usage->used_us == 0 || now_us - usage->used_us >= ACTIVE_US)
			continue;
		out[n++] = (struct rating){
			.work_per_weight =
			    decay(usage->work, usage->used_us, now_us) /
			    usage->weight,
			.weight = usage->weight,
		};
	}
	return n;
}

/*
 * The typical usage is the median by weight.  With the mean in its place, which
 * a team at many times its usual raises, small teams were taken for users as
 * large as the mean and lost half of their requests.
 */
static void
weigh_teams(struct team_room *room, uint64_t now_us)
{
	struct rating ratings[ENTRIES];
	uint32_t i, n;
	double weight = 0;

	if (room->total_weight > 0 &&
	    now_us - room->weighed_us < WEIGHT_INTERVAL_US)
		return;
	room->weighed_us = now_us;
	room->total_weight = 0;
	n = rate_teams(room, ratings, now_us);
	for (i = 0; i < n; i++)
		room->total_weight += ratings[i].weight;
	qsort(ratings, n, sizeof(ratings[0]), compare_ratings);
	for (i = 0; i + 1 < n; i++) {
		weight += ratings[i].weight;
		if (weight >= room->total_weight / 2)
			break;
	}
	room->typical_usage = n > 0 && room->total_work > 0
	    ? ratings[i].work_per_weight * room->total_weight / room->total_work
	    : 1;
}

static double
relative_usage(const struct team_room *room, const struct usage *usage)
{
	double prior = PRIOR_REQUESTS * room->mean_work;
	double share = room->total_work;

	/* A team that came after the weights were added up. */
	if (usage->weight < room->total_weight)
		share *= usage->weight / room->total_weight;
	if (!(prior > 0))
		return 1;
	return (usage->work + prior * room->typical_usage) / (share + prior);
}

static void
record(
    struct team_room *room, struct usage *usage, double work, uint64_t now_us)
{
	usage->work += work;
	room->total_work += work;
	if (room->mean_work <= 0)
		room->mean_work = work;
	room->mean_work += (work - room->mean_work) * MEAN_WEIGHT;
	usage->used_us = room->updated_us = now_us;
}

double
team_room_offer(struct team_room *room, uint64_t team_id, double weight,
    double work, uint64_t now_us)
{
	struct usage *usage;
	double relative;

	if (!(weight > 0))
		return 1;
	usage = find_or_replace(room, team_id);
	usage->work = decay(usage->work, usage->used_us, now_us);
	usage->used_us = now_us;
	usage->weight = weight;
	room->total_work = decay(room->total_work, room->updated_us, now_us);
	weigh_teams(room, now_us);
	relative = relative_usage(room, usage);
	record(room, usage, work, now_us);
	return relative;
}
