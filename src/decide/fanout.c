/*
 * Load pattern: requests of several routes at one upstream, of which some make
 * many calls to a narrow service and others none.  Refusing all of them for
 * its sake turns uploads away that never go there.
 *
 * Calls do not say which request made them.  But how many requests of each
 * route run varies all the time, and the calls with them: a least-squares fit
 * of the calls made in a stretch of time to the time that each route's
 * requests ran in it gives the calls a second of each, and with the time that
 * a request takes the calls that it makes.  Recursive least squares with
 * forgetting, one fit for all inner routes, since they share what ran.  It
 * begins with each route making calls in proportion to its time, and knows
 * routes apart within 8 s at 8 and 80 requests a second (test_keep).
 *
 * The fit alone gives a rare route beside one that makes all the calls a part
 * of them by chance, and a larger one when the service below is full
 * (excess.c). Its requests would be refused for the sake of a service that they
 * never reach.  So of each inner route the calls are taken to be made by the
 * route that runs most, unless that is denied, and by others once it shows.
 *
 * Time that requests ran, and not how many began: those that lie across the
 * edge of a bin would blur the fit by as much as a rare route's whole part.
 */

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/excess.h"
#include "loom/fanout.h"

/* Some service times, so that calls and the requests that make them fall into
 * the same one; short enough for ten of them within seconds. */
#define BIN_US (UINT64_C(250) * LOOM_US_PER_MS)
/* A changed call graph is learned within 60 bins, 15 s. */
#define FORGET 0.985
/* Of an unknown coefficient, to that of the calls in a bin: far more than any
 * true one, in calls a second squared. */
#define VARIANCE_START 1e4
/* Keeps an unused route's variance from growing without end. */
#define VARIANCE_MAX 1e5
#define USE_DECAY 0.9 /* a bin: the least used route gives way */

#define ROUTES LOOM_FANOUT_ROUTES

struct side {
	uint64_t ids[ROUTES]; /* 0 for none */
	double counts[ROUTES]; /* of the running bin: seconds run, or calls */
	double used[ROUTES]; /* decayed counts */
};

struct loom_fanout {
	struct side ran;
	uint32_t running[ROUTES]; /* requests of each route */
	/* decayed like ran.used */
	double begun[ROUTES];
	double ended[ROUTES];
	struct side called;
	double calls_per_s[ROUTES][ROUTES]; /* [inner][route] */
	double variance[ROUTES][ROUTES];
	struct loom_excess *excess; /* owned */
	uint64_t bin_us; /* when the running bin began */
	uint64_t at_us; /* up to when ran.counts goes */
};

struct loom_fanout *
loom_fanout_new(void *ctx, uint64_t now_us)
{
	struct loom_fanout *fanout = talloc_zero(ctx, struct loom_fanout);

	if (fanout == NULL)
		return NULL;
	fanout->bin_us = fanout->at_us = now_us;
	fanout->excess = loom_excess_new(fanout);
	return fanout;
}

static uint32_t
find(const struct side *side, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < ROUTES && side->ids[i] != id; i++)
		;
	return i;
}

static uint32_t
least_used(const struct side *side)
{
	uint32_t i, least = 0;

	for (i = 0; i < ROUTES; i++) {
		if (side->ids[i] == 0)
			return i;
		if (side->used[i] < side->used[least])
			least = i;
	}
	return least;
}

static uint32_t
replace(struct side *side, uint64_t id)
{
	uint32_t i = least_used(side);

	side->ids[i] = id;
	side->counts[i] = 0;
	side->used[i] = 0;
	return i;
}

static void
forget_variance(struct loom_fanout *fanout, uint32_t at)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++) {
		fanout->variance[i][at] = 0;
		fanout->variance[at][i] = 0;
	}
	fanout->variance[at][at] = VARIANCE_START;
}

static void
forget_route(struct loom_fanout *fanout, uint32_t at)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++)
		fanout->calls_per_s[i][at] = 0;
	forget_variance(fanout, at);
}

/* gain = variance * x / (FORGET + x' * variance * x) */
static void
compute_gain(const struct loom_fanout *fanout, double gain[ROUTES])
{
	const double *x = fanout->ran.counts;
	double sum = FORGET;
	uint32_t i, j;

	for (i = 0; i < ROUTES; i++) {
		gain[i] = 0;
		for (j = 0; j < ROUTES; j++)
			gain[i] += fanout->variance[i][j] * x[j];
	}
	for (i = 0; i < ROUTES; i++)
		sum += x[i] * gain[i];
	for (i = 0; i < ROUTES; i++)
		gain[i] /= sum;
}

static void
update_calls(struct loom_fanout *fanout, const double gain[ROUTES])
{
	double error;
	uint32_t inner, i;

	for (inner = 0; inner < ROUTES; inner++) {
		error = fanout->called.counts[inner];
		for (i = 0; i < ROUTES; i++)
			error -= fanout->calls_per_s[inner][i] *
			    fanout->ran.counts[i];
		for (i = 0; i < ROUTES; i++)
			fanout->calls_per_s[inner][i] += gain[i] * error;
	}
}

static void
update_variance(struct loom_fanout *fanout, const double gain[ROUTES])
{
	double seen[ROUTES] = { 0 };
	uint32_t i, j;

	for (j = 0; j < ROUTES; j++) {
		for (i = 0; i < ROUTES; i++)
			seen[j] +=
			    fanout->ran.counts[i] * fanout->variance[i][j];
	}
	for (i = 0; i < ROUTES; i++) {
		for (j = 0; j < ROUTES; j++)
			fanout->variance[i][j] =
			    (fanout->variance[i][j] - gain[i] * seen[j]) /
			    FORGET;
	}
	for (i = 0; i < ROUTES; i++) {
		if (fanout->variance[i][i] > VARIANCE_MAX)
			forget_variance(fanout, i);
	}
}

static void
clear_bin(struct side *side)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++) {
		side->used[i] = side->used[i] * USE_DECAY + side->counts[i];
		side->counts[i] = 0;
	}
}

static void
count_time(struct loom_fanout *fanout, uint64_t now_us)
{
	double gap_s = (double)(now_us - fanout->at_us) / LOOM_US_PER_S;
	uint32_t i;

	for (i = 0; i < ROUTES; i++)
		fanout->ran.counts[i] += fanout->running[i] * gap_s;
	fanout->at_us = now_us;
}

/* An idle bin tells nothing, and would only let what is known fade. */
static void
close_bin(struct loom_fanout *fanout, uint64_t now_us)
{
	double gain[ROUTES], ran = 0;
	uint32_t i;

	count_time(fanout, now_us);
	if (now_us < fanout->bin_us + BIN_US)
		return;
	fanout->bin_us = now_us;
	for (i = 0; i < ROUTES; i++)
		ran += fanout->ran.counts[i];
	if (ran > 0) {
		compute_gain(fanout, gain);
		update_calls(fanout, gain);
		update_variance(fanout, gain);
	}
	for (i = 0; i < ROUTES; i++) {
		fanout->begun[i] *= USE_DECAY;
		fanout->ended[i] *= USE_DECAY;
	}
	clear_bin(&fanout->ran);
	clear_bin(&fanout->called);
}

void
loom_fanout_begin(
    struct loom_fanout *fanout, uint64_t route_id, uint64_t now_us)
{
	uint32_t at;

	close_bin(fanout, now_us);
	at = find(&fanout->ran, route_id);
	if (at == ROUTES) {
		at = replace(&fanout->ran, route_id);
		fanout->running[at] = 0;
		fanout->begun[at] = 0;
		fanout->ended[at] = 0;
		forget_route(fanout, at);
		loom_excess_forget_route(fanout->excess, at);
	}
	fanout->running[at]++;
	fanout->begun[at]++;
}

void
loom_fanout_end(struct loom_fanout *fanout, uint64_t route_id,
    uint64_t began_us, uint64_t now_us)
{
	uint32_t at;

	close_bin(fanout, now_us);
	at = find(&fanout->ran, route_id);
	/* another route may have taken its place meanwhile */
	if (at == ROUTES || fanout->running[at] == 0)
		return;
	fanout->running[at]--;
	fanout->ended[at]++;
	loom_excess_ran(fanout->excess, at, began_us, now_us);
}

void
loom_fanout_called(
    struct loom_fanout *fanout, uint64_t inner_id, uint64_t now_us)
{
	uint32_t at;

	close_bin(fanout, now_us);
	at = find(&fanout->called, inner_id);
	if (at == ROUTES) {
		at = replace(&fanout->called, inner_id);
		memset(fanout->calls_per_s[at], 0,
		    sizeof(fanout->calls_per_s[at]));
		loom_excess_forget_inner(fanout->excess, at);
	}
	fanout->called.counts[at]++;
	loom_excess_called(fanout->excess, at, now_us);
}

uint32_t
loom_fanout_inner(
    const struct loom_fanout *fanout, uint64_t ids[LOOM_FANOUT_ROUTES])
{
	uint32_t i, n = 0;

	for (i = 0; i < ROUTES; i++) {
		if (fanout->called.ids[i] != 0)
			ids[n++] = fanout->called.ids[i];
	}
	return n;
}

/*
 * Requests that the counted calls and times belong to: half of those that run
 * is still to come.  By those that ended alone a request cost hundreds of calls
 * when many had begun after a start and the first had just ended.
 */
static double
requests_of(const struct loom_fanout *fanout, uint32_t at)
{
	return (fanout->begun[at] + fanout->ended[at]) / 2;
}

static double
fitted_calls(const struct loom_fanout *fanout, uint32_t at, uint32_t inner)
{
	double ran_s;

	if (fanout->ended[at] <= 0)
		return 0;
	ran_s = fanout->ran.used[at] / requests_of(fanout, at);
	return MAX(fanout->calls_per_s[inner][at], 0) * ran_s;
}

static bool
is_denied(const struct loom_fanout *fanout, uint32_t at, uint32_t inner)
{
	return loom_excess_denies(
	    fanout->excess, at, inner, fitted_calls(fanout, at, inner));
}

/* Of those that may make such calls it runs most. */
static bool
runs_most(const struct loom_fanout *fanout, uint32_t at, uint32_t inner)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++) {
		if (fanout->ran.used[i] > fanout->ran.used[at] &&
		    !is_denied(fanout, i, inner))
			return false;
	}
	return true;
}

static bool
makes_calls(const struct loom_fanout *fanout, uint32_t at, uint32_t inner)
{
	if (fanout->ran.ids[at] == 0 || is_denied(fanout, at, inner))
		return false;
	return runs_most(fanout, at, inner) ||
	    loom_excess_shows(fanout->excess, at, inner);
}

/*
 * What the fit gave to routes that make none was made by the others, and one
 * alone made all: then no fit is needed.
 */
static double
part_of_fit(const struct loom_fanout *fanout, uint32_t at, uint32_t inner)
{
	double all = 0;
	uint32_t i, n = 0;

	for (i = 0; i < ROUTES; i++) {
		if (!makes_calls(fanout, i, inner))
			continue;
		all += fitted_calls(fanout, i, inner) * requests_of(fanout, i);
		n++;
	}
	if (n == 1)
		return 1;
	return all > 0
	    ? fitted_calls(fanout, at, inner) * requests_of(fanout, at) / all
	    : 0;
}

double
loom_fanout_calls(
    const struct loom_fanout *fanout, uint64_t route_id, uint64_t inner_id)
{
	uint32_t at = find(&fanout->ran, route_id);
	uint32_t inner = find(&fanout->called, inner_id);

	if (at == ROUTES || inner == ROUTES || fanout->ended[at] <= 0 ||
	    !makes_calls(fanout, at, inner))
		return 0;
	return part_of_fit(fanout, at, inner) * fanout->called.used[inner] /
	    requests_of(fanout, at);
}
