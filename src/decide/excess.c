/*
 * Tests whether requests of a route make calls, by comparing the call rate
 * while a request runs with the rate before and after.
 *
 * Load pattern: a downstream service is saturated. Its callers' calls then
 * arrive at the rate at which it serves them, whatever runs above it, and the
 * fit of calls to running requests (fanout.c) attributes the constant part of
 * that rate to whichever route runs constantly. Uploads that call nothing were
 * estimated at ten calls each, and refused on behalf of a service that they
 * never reach.
 *
 * If a request makes calls, more calls are counted while it runs than in
 * equally long intervals just before and just after it. Averaging both sides
 * cancels a rate that rises or falls, and calls of other requests add equally
 * to all three intervals. It takes long to tell by this how many calls a
 * request makes, but not long to tell that a route does not make as many as the
 * fit says.
 */

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "loom/clock.h"
#include "loom/excess.h"

#define ROUTES LOOM_FANOUT_ROUTES

/*
 * Width of a bucket of the call counter: short compared with a request, long
 * enough that advancing the counter costs little.
 */
#define BUCKET_US (UINT64_C(5) * LOOM_US_PER_MS)
#define BUCKETS 1024 /* power of two: 5 s */
/*
 * The buckets must hold three times this (before, during and after), and the
 * time that a request waits to be measured.
 */
#define REQUEST_MAX_US (UINT64_C(1200) * LOOM_US_PER_MS)
/* Requests whose following interval is not over yet; a power of two. */
#define PENDING_MAX 512
/* Number of requests over which the excess is averaged. */
#define AVERAGING_REQUESTS 800.0
/* With fewer samples the variance is unknown. */
#define REQUESTS_MIN 10.0
#define OVERLAP_WEIGHT 0.05
/*
 * Half width of the confidence interval; chance alone exceeds it in one of two
 * hundred cases.
 */
#define STANDARD_ERRORS 2.5
/*
 * When the downstream service is saturated, the calls of this request displace
 * calls of others. So a measured excess of half the estimated calls does not
 * contradict the estimate.
 */
#define CALLS_RATIO_MIN 0.5

struct request {
	uint32_t route;
	uint64_t began_us;
	uint64_t ended_us;
};

struct excess {
	double requests;
	double mean; /* mean of the excess calls per request */
	double variance; /* of the excess calls */
};

/*
 * How much requests of one route overlap. Overlapping requests measure the same
 * fluctuations, so their samples are not independent.
 */
struct overlap {
	uint64_t ended_us; /* of the last request that ended */
	double duration_us; /* moving average */
	double interval_us; /* between two ends, moving average */
};

struct loom_excess {
	/* calls since the start, up to the end of each bucket */
	uint32_t total_until[ROUTES][BUCKETS];
	uint32_t calls[ROUTES];
	uint64_t bucket; /* current one: time / BUCKET_US */
	struct request pending[PENDING_MAX];
	uint32_t first_pending, npending;
	struct excess excess[ROUTES][ROUTES]; /* [route][inner] */
	struct overlap overlaps[ROUTES];
};

struct loom_excess *
loom_excess_new(void *ctx)
{
	return talloc_zero(ctx, struct loom_excess);
}

static void
advance(struct loom_excess *excess, uint64_t now_us)
{
	uint64_t bucket = now_us / BUCKET_US;
	uint32_t i;

	if (bucket > excess->bucket + BUCKETS)
		excess->bucket = bucket - BUCKETS;
	while (excess->bucket < bucket) {
		for (i = 0; i < ROUTES; i++)
			excess->total_until[i][excess->bucket % BUCKETS] =
			    excess->calls[i];
		excess->bucket++;
	}
}

/*
 * Number of calls made before at_us, which must lie within the stored buckets.
 */
static double
interpolate_calls(
    const struct loom_excess *excess, uint32_t inner, uint64_t at_us)
{
	uint64_t bucket = at_us / BUCKET_US;
	double fraction = (double)(at_us % BUCKET_US) / BUCKET_US;
	double from, to;

	from = excess->total_until[inner][(bucket - 1) % BUCKETS];
	to = excess->total_until[inner][bucket % BUCKETS];
	return from + (to - from) * fraction;
}

static void
add_sample(struct excess *excess, double calls)
{
	double deviation;

	excess->requests = MIN(excess->requests + 1, AVERAGING_REQUESTS);
	deviation = calls - excess->mean;
	excess->mean += deviation / excess->requests;
	excess->variance +=
	    (deviation * (calls - excess->mean) - excess->variance) /
	    excess->requests;
}

static void
measure_request(struct loom_excess *excess, const struct request *request)
{
	const uint64_t duration_us = request->ended_us - request->began_us;
	double total_before, total_at_start, total_at_end, total_after;
	uint32_t i;

	for (i = 0; i < ROUTES; i++) {
		total_before = interpolate_calls(
		    excess, i, request->began_us - duration_us);
		total_at_start =
		    interpolate_calls(excess, i, request->began_us);
		total_at_end = interpolate_calls(excess, i, request->ended_us);
		total_after = interpolate_calls(
		    excess, i, request->ended_us + duration_us);
		add_sample(&excess->excess[request->route][i],
		    (total_at_end - total_at_start) -
			(total_at_start - total_before + total_after -
			    total_at_end) /
			    2);
	}
}

static void
measure_pending(struct loom_excess *excess)
{
	const struct request *request;
	uint64_t window_end_us;

	while (excess->npending > 0) {
		request = &excess->pending[excess->first_pending % PENDING_MAX];
		window_end_us =
		    request->ended_us + (request->ended_us - request->began_us);
		/*
		 * Measured in order: a longer request delays those behind it
		 * until they are dropped from the queue.
		 */
		if (window_end_us / BUCKET_US >= excess->bucket)
			return;
		/* skipped if its preceding interval is no longer stored */
		if (request->began_us / BUCKET_US + BUCKETS - 1 >
		    excess->bucket +
			(request->ended_us - request->began_us) / BUCKET_US)
			measure_request(excess, request);
		excess->first_pending++;
		excess->npending--;
	}
}

void
loom_excess_add_call(
    struct loom_excess *excess, uint32_t inner, uint64_t now_us)
{
	advance(excess, now_us);
	excess->calls[inner]++;
	measure_pending(excess);
}

static void
update_overlap(struct overlap *overlap, uint64_t duration_us, uint64_t now_us)
{
	double interval_us = (double)(now_us - overlap->ended_us);

	if (overlap->ended_us == 0) {
		overlap->duration_us = (double)duration_us;
		interval_us = overlap->interval_us = (double)duration_us;
	}
	overlap->ended_us = now_us;
	overlap->duration_us +=
	    ((double)duration_us - overlap->duration_us) * OVERLAP_WEIGHT;
	overlap->interval_us +=
	    (interval_us - overlap->interval_us) * OVERLAP_WEIGHT;
}

void
loom_excess_add_request(struct loom_excess *excess, uint32_t route,
    uint64_t began_us, uint64_t now_us)
{
	advance(excess, now_us);
	measure_pending(excess);
	update_overlap(&excess->overlaps[route], now_us - began_us, now_us);
	if (now_us - began_us > REQUEST_MAX_US || now_us - began_us < BUCKET_US)
		return;
	if (excess->npending == PENDING_MAX) {
		excess->first_pending++;
		excess->npending--;
	}
	excess->pending[(excess->first_pending + excess->npending++) %
	    PENDING_MAX] = (struct request){
		.route = route,
		.began_us = began_us,
		.ended_us = now_us,
	};
}

void
loom_excess_reset_inner(struct loom_excess *excess, uint32_t inner)
{
	uint32_t i;

	for (i = 0; i < ROUTES; i++)
		excess->excess[i][inner] = (struct excess){ .mean = 0 };
}

void
loom_excess_reset_route(struct loom_excess *excess, uint32_t route)
{
	memset(excess->excess[route], 0, sizeof(excess->excess[route]));
	excess->overlaps[route] = (struct overlap){ .duration_us = 0 };
}

/*
 * Standard error of the mean. Overlapping requests share about half of the
 * fluctuations they measure.
 */
static double
standard_error(const struct loom_excess *excess, uint32_t route, uint32_t inner)
{
	const struct excess *stats = &excess->excess[route][inner];
	const struct overlap *overlap = &excess->overlaps[route];
	double overlap_factor =
	    1 + overlap->duration_us / MAX(2 * overlap->interval_us, 1);

	return sqrt(stats->variance / stats->requests * overlap_factor);
}

bool
loom_excess_rules_out(const struct loom_excess *excess, uint32_t route,
    uint32_t inner, double calls)
{
	const struct excess *stats = &excess->excess[route][inner];

	return stats->requests >= REQUESTS_MIN &&
	    stats->mean +
		STANDARD_ERRORS * standard_error(excess, route, inner) <
	    CALLS_RATIO_MIN * calls;
}

bool
loom_excess_confirms(
    const struct loom_excess *excess, uint32_t route, uint32_t inner)
{
	const struct excess *stats = &excess->excess[route][inner];

	return stats->requests >= REQUESTS_MIN &&
	    stats->mean >
	    STANDARD_ERRORS * standard_error(excess, route, inner);
}
