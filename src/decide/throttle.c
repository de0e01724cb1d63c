/*
 * Admits root requests according to what the most loaded downstream service can
 * carry.
 *
 * Load pattern: a small service deep in the call graph is called many times by
 * most requests and is the only one that is saturated. Its calls carry neither
 * the importance nor the team of the request they belong to, so it cannot
 * choose among them. Refusing any one of a request's ten calls wastes the other
 * nine and all work above: at 1.2 times its capacity, refusing calls at random
 * fails five of six requests of ten calls. So calls of a request that was
 * admitted are served, and whole requests are refused where they enter.
 *
 * The executor (the daemon beside the service) sees the queue and controls how
 * much is admitted: it changes the share at a rate proportional to the
 * deviation of the utilization from UTILIZATION_TARGET (an integral
 * controller). It reports a share of the offered load rather than a cutoff
 * rank, because an executor does not know how many requests of which rank lead
 * to it, while each entry knows its own mix. One share therefore applies at
 * once to any mix; a cutoff rank would first have to move across ranges of
 * ranks that no request has.
 *
 * A standing queue consists of requests that were admitted while the share was
 * too high, and each of them still has further calls to make. With the integral
 * term alone, the queue lasted until the share had fallen far below what
 * the service can carry, and the service then idled until the share had risen
 * again; this oscillated. So the share reported to entries is additionally
 * reduced by the current standing queue.
 *
 * INTEGRAL_TIME_US has to suit the delay of this loop: a report travels back
 * with an answer of each service on the way, and admitted requests still make
 * their remaining calls; together some 0.3 s in chains that take 0.2 s. With
 * 0.8 s the control oscillates once reports are a second late (0.53 of the
 * possible throughput is served, against 0.66 with 1.1 s). With 1.6 s a service
 * that lost half of its capacity is still overloaded ten seconds later
 * (test_throttle).
 */

#include <glib.h>
#include <math.h>
#include <talloc.h>

#include "decide/team_room.h"
#include "loom/throttle.h"

/*
 * Running calls relative to the limit. With a higher target, the queue of a
 * smooth arrival process persists while a report is under way: at 1.1 the
 * control oscillates (test_throttle).
 */
#define UTILIZATION_TARGET 0.93
/*
 * Calls arrive in bursts, since each request makes several. A queue that drains
 * within this time, after which admission also treats a queue as standing,
 * costs its calls little and says nothing about the load. When such bursts
 * counted as utilization, they held the most loaded service of a chain at 0.65
 * of its slots while half of the requests were refused on its behalf.
 */
#define QUEUE_WINDOW_US (100 * LOOM_US_PER_MS)
#define INTEGRAL_TIME_US (1.1 * LOOM_US_PER_S)
/*
 * Without this bound, one burst with a queue of three times the limit would
 * stop admission for seconds.
 */
#define ERROR_MAX 1.0
/* A queue as long as the limit halves the share. */
#define QUEUE_WEIGHT 1.0
/*
 * For the fast recovery. Below RECOVERY_TARGET the share is raised within about
 * RECOVERY_TIME_US to where the utilization would reach it.
 */
#define RECOVERY_TARGET 0.85
#define RECOVERY_TIME_US (100.0 * LOOM_US_PER_MS)
/* The share rises by no more than this exponent in RECOVERY_TIME_US. */
#define RECOVERY_ERROR_MAX 0.5
#define MEAN_TAU_US (150.0 * LOOM_US_PER_MS)
/* Calls that a higher share lets in have arrived after one window. */
#define SHARE_WINDOW_US (1300 * LOOM_US_PER_MS)
/* Longest interval that one update accounts for, in case it comes late. */
#define STEP_MAX_US (50.0 * LOOM_US_PER_MS)
/*
 * Some requests are always admitted; otherwise nothing would show that there is
 * capacity again.
 */
#define SHARE_MIN 0.02

/*
 * An entry averages the share over about 1 / REPORT_WEIGHT reports, or over the
 * last 100 ms if reports are less frequent.
 */
#define REPORT_WEIGHT 0.2
#define REPORT_TAU_US (100.0 * LOOM_US_PER_MS)
/*
 * The share is held for REPORT_HOLD_US after the last report and then doubles
 * every DOUBLING_US. With linear growth to 1, an entry that had been told 0.01,
 * and received no reports because it admitted so little, admitted ten times as
 * much at once.
 */
#define REPORT_HOLD_US (500.0 * LOOM_US_PER_MS)
#define DOUBLING_US (250.0 * LOOM_US_PER_MS)
/* Shares are reported in thousandths; growth starts from at least one. */
#define REPORTED_SHARE_MIN 0.001

/*
 * Time constant of the histogram of offered ranks: long enough for some twenty
 * requests at an entry that receives ten per second.
 */
#define OFFERED_TAU_US (2.0 * LOOM_US_PER_S)
/*
 * The mean cost covers about 1 / COST_WEIGHT requests of an entry, which takes
 * some seconds.
 */
#define COST_WEIGHT 0.02
#define COST_FACTOR_MIN 0.5
#define BIN_RANKS 32
#define BINS (LOOM_CUT_NONE / BIN_RANKS)

/* How long costs count as work after an answer that measured them so. */
#define WORK_HOLD_US (30 * LOOM_US_PER_S)
/*
 * By work, a request of at most half of the mean cost of its importance is up
 * to four times as likely to be admitted as one of twice the mean or more.
 */
#define WORK_FACTOR_MIN 0.5
#define WORK_FACTOR_MAX 2.0
#define USAGE_EXPONENT 1.5
/*
 * Of the requests of each kind and team that are not critical, this part of the
 * mean fraction of admitted requests is admitted before the others: a quarter,
 * and a margin, since the mean is that of the last requests.
 */
#define FLOOR 0.3

struct service_state {
	uint64_t service_id;
	double share;
	uint64_t reported_us;
	double offered[BINS]; /* calls per bin, decayed to offered_us */
	uint64_t offered_us;
	double mean_calls; /* per request, over the last ones offered */
	/* while the room is shared out by work */
	uint64_t work_until_us;
	struct team_room *team_room; /* owned; NULL before the first request */
	double mean_work[LOOM_IMPORTANCE_COUNT]; /* of a request; 0: none yet */
	double refused; /* mean fraction of requests */
};

struct loom_throttle {
	GHashTable *services; /* service id to struct service_state, owned */
};

void
loom_throttle_control_init(
    struct loom_throttle_control *control, uint64_t now_us)
{
	*control = (struct loom_throttle_control){
		.integral_share = 1.0,
		.share = 1.0,
		.updated_us = now_us,
		.window_start_us = now_us,
		.share_min = { 1.0, 1.0 },
		.share_window_start_us = now_us,
	};
}

/* The shortest queue of this window and the last one, relative to the limit. */
static double
standing_queue(
    struct loom_throttle_control *control, double queue, uint64_t now_us)
{
	double *minimum = control->queue_min;

	if (now_us - control->window_start_us >= QUEUE_WINDOW_US) {
		control->window_start_us = now_us;
		minimum[1] = minimum[0];
		minimum[0] = queue;
	}
	minimum[0] = MIN(minimum[0], queue);
	return MIN(minimum[0], minimum[1]);
}

/* The lowest share of this window and the last one. */
static double
lowest_share(struct loom_throttle_control *control, uint64_t now_us)
{
	double *minimum = control->share_min;

	if (now_us - control->share_window_start_us >= SHARE_WINDOW_US) {
		control->share_window_start_us = now_us;
		minimum[1] = minimum[0];
		minimum[0] = control->share;
	}
	minimum[0] = MIN(minimum[0], control->share);
	return MIN(minimum[0], minimum[1]);
}

/*
 * Returns the exponent by which the share may rise at once. After a burst, the
 * integral term alone took five seconds to bring it back while a third of the
 * slots were idle. A higher gain oscillates, since utilization follows the
 * share only after the delay of the loop. So the utilization is extrapolated to
 * what has been let in already: in proportion to the rise of the share since
 * the lowest one in the last windows. The share rises once by what is missing
 * and then stays until the effect has arrived.
 */
static double
recovery_error(struct loom_throttle_control *control, double utilization,
    double step_us, uint64_t now_us)
{
	double lowest = lowest_share(control, now_us);
	double expected;

	control->mean_utilization +=
	    (MIN(utilization, 1.0) - control->mean_utilization) * step_us /
	    (step_us + MEAN_TAU_US);
	expected = control->mean_utilization * control->share / lowest;
	if (expected >= RECOVERY_TARGET)
		return 0;
	expected = MAX(expected, RECOVERY_TARGET * exp(-RECOVERY_ERROR_MAX));
	return log(RECOVERY_TARGET / expected);
}

void
loom_throttle_control_update(
    struct loom_throttle_control *control, double utilization, uint64_t now_us)
{
	double step_us = (double)(now_us - control->updated_us);
	double queue =
	    standing_queue(control, MAX(utilization - 1.0, 0), now_us);
	double error = MIN(utilization, 1.0) - UTILIZATION_TARGET + queue;
	double recovery = 0;

	control->updated_us = now_us;
	step_us = MIN(step_us, STEP_MAX_US);
	if (control->fast_recovery)
		recovery =
		    recovery_error(control, utilization, step_us, now_us);
	error = MIN(error, ERROR_MAX);
	control->integral_share *= exp(-error * step_us / INTEGRAL_TIME_US);
	if (queue <= 0)
		control->integral_share *=
		    exp(recovery * step_us / RECOVERY_TIME_US);
	control->integral_share =
	    CLAMP(control->integral_share, SHARE_MIN, 1.0);
	control->share = control->integral_share / (1.0 + QUEUE_WEIGHT * queue);
}

static void
service_free(void *arg)
{
	struct service_state *service = arg;

	talloc_free(service->team_room);
	g_free(service);
}

static int
throttle_destroy(struct loom_throttle *throttle)
{
	g_hash_table_unref(throttle->services);
	return 0;
}

struct loom_throttle *
loom_throttle_new(void *ctx)
{
	struct loom_throttle *throttle = talloc_zero(ctx, struct loom_throttle);

	if (throttle == NULL)
		return NULL;
	throttle->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, service_free);
	talloc_set_destructor(throttle, throttle_destroy);
	return throttle;
}

/*
 * Applies the growth since the last report: an entry that sends nothing to the
 * service would otherwise never learn that the overload has ended.
 */
static double
current_share(const struct service_state *service, uint64_t now_us)
{
	double silent_us = (double)(now_us - service->reported_us);
	double growth;

	if (silent_us <= REPORT_HOLD_US)
		return service->share;
	growth = exp2((silent_us - REPORT_HOLD_US) / DOUBLING_US);
	return MIN(MAX(service->share, REPORTED_SHARE_MIN) * growth, 1.0);
}

static struct service_state *
find_or_create(struct loom_throttle *throttle, uint64_t service_id)
{
	struct service_state *service;

	service = g_hash_table_lookup(throttle->services, &service_id);
	if (service != NULL)
		return service;
	service = g_new0(struct service_state, 1);
	service->service_id = service_id;
	service->share = 1.0;
	g_hash_table_insert(throttle->services, &service->service_id, service);
	return service;
}

void
loom_throttle_add_report(struct loom_throttle *throttle, uint64_t service_id,
    double share, uint64_t now_us)
{
	struct service_state *service = find_or_create(throttle, service_id);
	double elapsed_us, weight;

	elapsed_us = (double)(now_us - service->reported_us);
	weight = MAX(elapsed_us / (elapsed_us + REPORT_TAU_US), REPORT_WEIGHT);
	service->share += (CLAMP(share, 0.0, 1.0) - service->share) * weight;
	service->reported_us = now_us;
}

/*
 * Without it, the few executors of a service that are full, cold or in trouble
 * would decide alone how much of the load of all is admitted.
 */
void
loom_throttle_add_omission(
    struct loom_throttle *throttle, uint64_t service_id, uint64_t now_us)
{
	if (g_hash_table_contains(throttle->services, &service_id))
		loom_throttle_add_report(throttle, service_id, 1.0, now_us);
}

double
loom_throttle_share(
    const struct loom_throttle *throttle, uint64_t service_id, uint64_t now_us)
{
	const struct service_state *service;

	service = g_hash_table_lookup(throttle->services, &service_id);
	return service == NULL ? 1.0 : current_share(service, now_us);
}

uint64_t
loom_throttle_report_age_us(
    const struct loom_throttle *throttle, uint64_t service_id, uint64_t now_us)
{
	const struct service_state *service;

	service = g_hash_table_lookup(throttle->services, &service_id);
	if (service == NULL || service->reported_us == 0)
		return 0;
	return now_us - MIN(now_us, service->reported_us);
}

static void
count_offered(
    struct service_state *service, uint32_t bin, double calls, uint64_t now_us)
{
	double elapsed_us = (double)(now_us - service->offered_us);
	double decay = exp(-elapsed_us / OFFERED_TAU_US);
	uint32_t i;

	for (i = 0; i < BINS; i++)
		service->offered[i] *= decay;
	service->offered[bin] += calls;
	service->offered_us = now_us;
}

/* Returns the rank below which the given share of the offered calls lies. */
static double
cutoff_rank(const struct service_state *service, double share)
{
	double total = 0, volume;
	uint32_t i;

	for (i = 0; i < BINS; i++)
		total += service->offered[i];
	volume = total * share;
	for (i = 0; i < BINS; i++) {
		if (volume < service->offered[i])
			return (i + volume / service->offered[i]) * BIN_RANKS;
		volume -= service->offered[i];
	}
	return LOOM_CUT_NONE;
}

/*
 * Lowers the rank of cheap requests within their importance (lower ranks are
 * admitted first): a request with at most half of the mean cost is up to twice
 * as likely to be admitted. More
 * callers are served that way, and costly routes are not starved, as they would
 * be if the cheapest requests always went first.
 */
static uint16_t
adjust_rank_for_cost(struct service_state *service, uint16_t rank, double calls)
{
	uint16_t level = rank / LOOM_COHORTS * LOOM_COHORTS;
	double factor;

	service->mean_calls += (calls - service->mean_calls) * COST_WEIGHT;
	factor = CLAMP(calls / service->mean_calls, COST_FACTOR_MIN, 1.0);
	return (uint16_t)(level + (rank - level) * factor);
}

static bool
is_within_share(
    const struct service_state *service, uint16_t rank, uint64_t now_us)
{
	double share = current_share(service, now_us);

	return share >= 1.0 || rank < cutoff_rank(service, share);
}

bool
loom_throttle_admit(struct loom_throttle *throttle, uint64_t service_id,
    uint16_t rank, double calls, uint64_t now_us)
{
	struct service_state *service;

	service = g_hash_table_lookup(throttle->services, &service_id);
	if (service == NULL)
		return true;
	rank = adjust_rank_for_cost(service, rank, calls);
	count_offered(service, MIN(rank / BIN_RANKS, BINS - 1), calls, now_us);
	return is_within_share(service, rank, now_us);
}

void
loom_throttle_add_work(
    struct loom_throttle *throttle, uint64_t service_id, uint64_t now_us)
{
	struct service_state *service = find_or_create(throttle, service_id);

	service->work_until_us = now_us + WORK_HOLD_US;
}

/* The cost relative to the mean of requests of this importance, within
 * bounds. */
static double
work_factor(struct service_state *service, uint32_t importance, double calls)
{
	double *mean = &service->mean_work[importance];

	if (*mean <= 0)
		*mean = calls;
	*mean += (calls - *mean) * COST_WEIGHT;
	return *mean > 0
	    ? CLAMP(calls / *mean, WORK_FACTOR_MIN, WORK_FACTOR_MAX)
	    : 1;
}

/*
 * Orders requests of one importance by cost and by the usage of the team
 * (team_room.c). The exponent makes the usage outweigh the cost: without it,
 * cheap requests of a team at seven times its usual pushed out costly ones of
 * others. Requests below the floor get the lowest rank that is not critical:
 * otherwise, a kind of low importance got nothing while more important ones
 * filled the service, and its callers only came again.
 */
static uint16_t
rank_by_work(struct service_state *service,
    const struct loom_throttle_request *request, uint64_t now_us)
{
	uint32_t importance = request->rank / LOOM_COHORTS;
	double cohort = request->rank % LOOM_COHORTS / (double)LOOM_COHORTS;
	double factor = work_factor(service, importance, request->calls);
	double usage, order;

	if (service->team_room == NULL)
		service->team_room = team_room_new(NULL);
	usage = team_room_offer(service->team_room, request->team_id,
	    request->team_weight, request->calls, now_us);
	order = cohort * pow(usage, USAGE_EXPONENT) * factor;
	if (importance != LOOM_CRITICAL &&
	    cohort < FLOOR * (1 - service->refused))
		return LOOM_COHORTS;
	return (uint16_t)(importance * LOOM_COHORTS +
	    order / (1 + order) * LOOM_COHORTS);
}

bool
loom_throttle_admit_request(struct loom_throttle *throttle,
    const struct loom_throttle_request *request, uint64_t now_us)
{
	struct service_state *service;
	uint16_t rank;
	bool admitted;

	service = g_hash_table_lookup(throttle->services, &request->service_id);
	if (service == NULL || now_us >= service->work_until_us)
		return loom_throttle_admit(throttle, request->service_id,
		    request->rank, request->calls, now_us);
	rank = rank_by_work(service, request, now_us);
	count_offered(
	    service, MIN(rank / BIN_RANKS, BINS - 1), request->calls, now_us);
	admitted = is_within_share(service, rank, now_us);
	service->refused += (!admitted - service->refused) * COST_WEIGHT;
	return admitted;
}
