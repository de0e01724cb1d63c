/*
 * Load balancing among the targets of a service.
 *
 * The cases to handle are one slow target, one that fails at once, new targets,
 * draining targets, and more load in one data centre than its targets can take.
 * Round robin gives a slow target as many calls as the others; it holds them
 * longer, until most of the calls in flight wait for it. Choosing by lowest
 * latency alone sends the calls of all entries to the same target.
 *
 * The better of two random choices needs only what this worker observes itself:
 * its calls in flight, which change at once, and the measured latency. The
 * first choice is drawn from the local data centre and the second from all
 * other targets, so calls stay local while scores are equal and spill over
 * under load.
 *
 * A target that refuses or fails answers quickly and would score best of all.
 * Therefore the score is multiplied by a factor that grows with the share of
 * refusals, and consecutive failures eject the target for a time that doubles
 * with each ejection. The time is randomized so that entries do not all return
 * to the target at the same instant. At most half of the targets are ejected:
 * when more than half seem to fail, the fault is more likely on this host or
 * behind the targets, and the remaining ones could not carry the load.
 *
 * Latency alone loads a fast target until its queue makes it as slow as a slow
 * target that is idle. No caller is worse off, but the fast target looks
 * overloaded and requests are refused although the service has room. With
 * targets of 12 and 25 ms, the fast one admitted a fifth to a third of the
 * offered load while half of the slots of the slow one were free. So targets
 * report their utilization with each answer, and the score grows as the waiting
 * time of a queue does, by 1 / (1 - utilization).
 *
 * The score of a far target is multiplied by a factor, because traffic between
 * data centres is expensive. The factor decreases as near targets fill up or
 * become slower than others. With a fixed factor near targets have queues while
 * far ones have room, a slow near target gets all calls, and requests are
 * refused for lack of room.
 *
 * A cold target takes a few dozen calls a second, from all entries together,
 * where a warm one takes hundreds, so it is a candidate for that part of the
 * calls only. A factor of its score would not do: both random choices may be
 * cold, and one in thirty calls that find two of eight targets so are more than
 * the two take. Their daemons report an overload then, for which entries refuse
 * requests that the six could serve.
 *
 * A target behind a network partition is neither slow nor failing: it does not
 * answer at all. Calls to it end at their deadline or when the caller
 * disconnects, long after the next calls were sent to it, and more than half of
 * a service may be unreachable at once. So the time for which a target has left
 * calls unanswered counts. If it is several times the mean latency, it replaces
 * the latency in the score. If it counted sooner, the few long calls of a busy
 * service would move its calls from target to target. If it also exceeds
 * UNRESPONSIVE_MIN_US, the target gets no calls while any other is available,
 * and the owner probes it meanwhile, so that no call is spent on testing it. An
 * overloaded target refuses, which is an answer. When something behind all
 * targets stalls, all are unresponsive and all are used as before.
 */

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "decide/balance_private.h"

/* Weight of a new sample: the last ten samples dominate. */
#define LATENCY_EWMA_WEIGHT 0.1
#define REFUSAL_EWMA_WEIGHT 0.1

/* Targets that are compared for a call. */
#define CHOICES 2

/* A target that refuses everything scores 11 times as much. */
#define REFUSAL_PENALTY 10.0
/* A new target scores 5 times as much, decreasing to the plain score. */
#define COLD_START_PENALTY 4.0

/*
 * After this time without a new sample, a sample has half its weight, so that a
 * target that was slow once is tried again.
 */
#define SAMPLE_HALF_WEIGHT_US (2.0 * LOOM_US_PER_S)

/*
 * At a failure rate of a few per cent, five consecutive failures are unlikely
 * to be chance. An upstream that is down reaches them within its next five
 * calls.
 */
#define EJECT_FAILURES 5
#define EJECT_MIN_US (UINT64_C(500) * LOOM_US_PER_MS)
#define EJECT_DOUBLINGS_MAX 5 /* up to 16 s */
#define EJECT_MAX_DIVISOR 2 /* at most one target in two */

/*
 * Longer than a retransmission on a lossy path (1 s at most for the first one)
 * or a short pause of the target's process, which do not count as unresponsive,
 * and shorter than the few seconds within which calls have to move elsewhere.
 */
#define UNRESPONSIVE_MIN_US (1 * LOOM_US_PER_S)
#define PROBE_INTERVAL_US (UINT64_C(500) * LOOM_US_PER_MS)

/*
 * How long a host's report that it is draining is believed. The limit is needed
 * because a host that is restarted in place returns under the same name, and
 * the delayed host list may never have shown it as gone. A host that is still
 * draining refuses the next call without running it and reports again.
 *
 * Probes bring a host back sooner. A host that is restarted in place serves
 * again after one or two seconds; without probes, a third of a service of three
 * hosts was idle for the rest of the five seconds.
 */
#define DRAINING_REPORT_US (5 * LOOM_US_PER_S)

/*
 * For so long a reported bound of a cold upstream is believed. Its host reports
 * it with each answer and raises it in steps.
 */
#define START_BOUND_REPORT_US (1 * LOOM_US_PER_S)

struct loom_balance *
loom_balance_new(
    void *ctx, const struct loom_random *random, uint64_t cold_start_us)
{
	struct loom_balance *balance = talloc_zero(ctx, struct loom_balance);

	balance->random = *random;
	balance->cold_start_us = cold_start_us;
	balance->far_cost = LOOM_FAR_COST;
	return balance;
}

void
loom_balance_set_far_cost(struct loom_balance *balance, double far_cost)
{
	balance->far_cost = far_cost;
}

struct target *
balance_find(const struct loom_balance *balance, uint64_t host_id)
{
	uint32_t i;

	for (i = 0; i < balance->ntargets; i++) {
		if (balance->targets[i].host.host_id == host_id)
			return &balance->targets[i];
	}
	return NULL;
}

static void
set_start_bound(struct target *target, uint32_t cold_ms, uint64_t now_us)
{
	target->start_bound = target->host.cold_starts;
	target->start_bound_until_us = now_us + cold_ms * LOOM_US_PER_MS;
}

/*
 * Takes in what the list says about a cold start. An upstream may have become
 * cold while its data centre was evacuated.
 */
static void
update_cold_start(
    struct target *target, const struct target *known, uint64_t now_us)
{
	if (known == NULL || known->host.cold_ms != target->host.cold_ms ||
	    known->host.instance_id != target->host.instance_id)
		set_start_bound(target, target->host.cold_ms, now_us);
	else if (known->host.evacuated && !target->host.evacuated)
		set_start_bound(target, target->host.cold_start_ms, now_us);
}

void
loom_balance_set_hosts(struct loom_balance *balance,
    const struct loom_balance_host *hosts, uint32_t nhosts, uint64_t now_us)
{
	struct target *targets, *known;
	bool first_list = balance->ntargets == 0;
	uint32_t i;

	targets = talloc_zero_array(balance, struct target, nhosts);
	for (i = 0; i < nhosts; i++) {
		known = balance_find(balance, hosts[i].host_id);
		if (known != NULL)
			targets[i] = *known;
		else if (!first_list)
			targets[i].cold_start_end_us =
			    now_us + balance->cold_start_us;
		if (targets[i].host.instance_id != hosts[i].instance_id) {
			targets[i].left_until_us = 0;
			targets[i].stated_rate = 0;
		}
		targets[i].host = hosts[i];
		update_cold_start(&targets[i], known, now_us);
	}
	talloc_free(balance->targets);
	talloc_free(balance->eligible);
	balance->eligible = talloc_array(balance, struct target *, nhosts);
	balance->targets = targets;
	balance->ntargets = nhosts;
}

bool
balance_accepts_calls(const struct target *target, uint64_t now_us)
{
	return !target->host.draining && !target->host.evacuated &&
	    now_us >= target->draining_until_us &&
	    now_us >= target->left_until_us;
}

bool
balance_ejected(const struct target *target, uint64_t now_us)
{
	return now_us < target->ejected_until_us;
}

static bool
was_tried(const struct target *target, const uint64_t *tried, uint32_t ntried)
{
	uint32_t i;

	for (i = 0; i < ntried; i++) {
		if (tried[i] == target->host.host_id)
			return true;
	}
	return false;
}

/*
 * Mean latency of the targets that have samples. A target without samples is
 * assumed to have it too, so that it is neither avoided nor flooded.
 */
double
balance_mean_latency_us(const struct loom_balance *balance)
{
	double sum = 0;
	uint32_t i, n = 0;

	for (i = 0; i < balance->ntargets; i++) {
		if (balance->targets[i].latency_us <= 0)
			continue;
		sum += balance->targets[i].latency_us;
		n++;
	}
	return n > 0 ? sum / n : 1.0;
}

double
balance_unresponsive_us(const struct target *target, uint64_t now_us)
{
	uint64_t until_us =
	    target->in_flight > 0 ? now_us : target->last_end_us;

	if (target->unanswered_since_us == 0 ||
	    until_us < target->unanswered_since_us)
		return 0;
	return (double)(until_us - target->unanswered_since_us);
}

static double
unresponsive_limit_us(double mean_us)
{
	return MAX(
	    (double)UNRESPONSIVE_MIN_US, UNRESPONSIVE_LATENCIES * mean_us);
}

/* Weight of the reported utilization, which decreases with its age. */
double
balance_utilization_weight(const struct target *target, uint64_t now_us)
{
	return 1.0 /
	    (1.0 +
		(double)(now_us - target->utilization_at_us) /
		    SAMPLE_HALF_WEIGHT_US);
}

/* The factor for far targets, given the load of the eligible near ones. */
static double
effective_far_cost(const struct loom_balance *balance, uint32_t nnear,
    double mean_us, uint64_t now_us)
{
	const double min_cost = MIN(balance->far_cost, FAR_COST_BUSY_MAX);
	const struct target *target;
	double utilization = 0, latency_us = 0, fraction;
	uint32_t i;

	for (i = 0; i < nnear; i++) {
		target = balance->eligible[i];
		utilization += target->utilization *
		    balance_utilization_weight(target, now_us) / nnear;
		latency_us += target->latency_us / nnear;
	}
	fraction = CLAMP(1.0 - utilization / NEAR_FULL_UTILIZATION, 0, 1);
	fraction *= CLAMP(NEAR_SLOW_RATIO - latency_us / mean_us, 0, 1);
	return min_cost + (balance->far_cost - min_cost) * fraction;
}

/* Weight of the last results, which decreases with their age. */
static double
result_weight(const struct target *target, uint64_t now_us)
{
	return 1.0 /
	    (1.0 +
		(double)(now_us - target->last_result_us) /
		    SAMPLE_HALF_WEIGHT_US);
}

/* Factor of a target's score for refusals, a cold start and distance. */
double
balance_penalty(const struct loom_balance *balance, const struct target *target,
    double far_cost, uint64_t now_us)
{
	double factor = 1.0 +
	    REFUSAL_PENALTY * target->refusal_rate *
		result_weight(target, now_us);
	double remaining;

	if (now_us < target->cold_start_end_us) {
		remaining = (double)(target->cold_start_end_us - now_us) /
		    (double)balance->cold_start_us;
		factor *= 1.0 + COLD_START_PENALTY * remaining;
	}
	return target->host.near ? factor : factor * far_cost;
}

static double
score(const struct loom_balance *balance, const struct target *target,
    double mean_us, double far_cost, uint64_t now_us)
{
	double latency = mean_us;
	double unresponsive, value;

	if (target->latency_us > 0)
		latency += (target->latency_us - latency) *
		    result_weight(target, now_us);
	unresponsive = balance_unresponsive_us(target, now_us);
	if (unresponsive > UNRESPONSIVE_LATENCIES * mean_us)
		latency = MAX(latency, unresponsive);
	value = latency * (target->in_flight + 1);
	value /= 1.0 -
	    MIN(target->utilization, SCORED_UTILIZATION_MAX) *
		balance_utilization_weight(target, now_us);
	return value * balance_penalty(balance, target, far_cost, now_us);
}

/* Whether a target is left out of this choice because it is cold: it stays in
 * for the part of the calls that it takes now of those that it takes when warm,
 * since it is idle and wins each comparison that it is in.
 */
static bool
leave_out_cold(const struct loom_balance *balance, const struct target *target,
    double mean_us, uint64_t now_us)
{
	double warm_per_s;

	if (target->start_bound == 0 || now_us >= target->start_bound_until_us)
		return false;
	warm_per_s = target->host.slots * (double)LOOM_US_PER_S / mean_us;
	if (warm_per_s <= target->start_bound)
		return false;
	return loom_random_below(&balance->random,
		   (uint64_t)(CHOICES * warm_per_s)) >= target->start_bound;
}

/* What keeps a target from being chosen, besides that it takes no calls. */
struct pick_limits {
	double unresponsive_us;
	bool any_cold; /* cold ones are not left out */
};

/* Appends the eligible targets that are near, or those that are far. */
static uint32_t
collect_by_distance(struct loom_balance *balance, const uint64_t *tried,
    uint32_t ntried, uint64_t now_us, bool near, double mean_us,
    const struct pick_limits *limits, uint32_t n)
{
	struct target *target;
	uint32_t i;

	for (i = 0; i < balance->ntargets; i++) {
		target = &balance->targets[i];
		if (target->host.near != near ||
		    !balance_accepts_calls(target, now_us))
			continue;
		if (balance_ejected(target, now_us) ||
		    was_tried(target, tried, ntried))
			continue;
		if (balance_unresponsive_us(target, now_us) >
		    limits->unresponsive_us)
			continue;
		if (!limits->any_cold &&
		    leave_out_cold(balance, target, mean_us, now_us))
			continue;
		balance->eligible[n++] = target;
	}
	return n;
}

/*
 * Collects all eligible targets, near ones first; *nnear receives the number of
 * near ones.
 */
static uint32_t
collect_eligible(struct loom_balance *balance, const uint64_t *tried,
    uint32_t ntried, uint64_t now_us, double mean_us,
    const struct pick_limits *limits, uint32_t *nnear)
{
	*nnear = collect_by_distance(
	    balance, tried, ntried, now_us, true, mean_us, limits, 0);
	return collect_by_distance(
	    balance, tried, ntried, now_us, false, mean_us, limits, *nnear);
}

/* Collects the best targets that there are: responsive and warm, or at least
 * responsive, or any. */
uint32_t
balance_collect(struct loom_balance *balance, const uint64_t *tried,
    uint32_t ntried, uint64_t now_us, double mean_us, uint32_t *nnear)
{
	const struct pick_limits levels[] = {
		{ unresponsive_limit_us(mean_us), false },
		{ unresponsive_limit_us(mean_us), true },
		{ HUGE_VAL, true },
	};
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels) && n == 0; i++)
		n = collect_eligible(
		    balance, tried, ntried, now_us, mean_us, &levels[i], nnear);
	return n;
}

/* The better of two of the n eligible targets, by latency and calls in flight.
 */
uint64_t
balance_pick_by_latency(struct loom_balance *balance, uint32_t n,
    uint32_t nnear, double mean_us, uint64_t now_us)
{
	const struct target *first, *second;
	double far_cost;
	uint32_t i, j;

	i = (uint32_t)loom_random_below(
	    &balance->random, nnear > 0 ? nnear : n);
	first = balance->eligible[i];
	if (n == 1)
		return first->host.host_id;
	j = (uint32_t)loom_random_below(&balance->random, n - 1);
	second = balance->eligible[j < i ? j : j + 1];
	far_cost = effective_far_cost(balance, nnear, mean_us, now_us);
	if (score(balance, second, mean_us, far_cost, now_us) <
	    score(balance, first, mean_us, far_cost, now_us))
		first = second;
	return first->host.host_id;
}

uint64_t
loom_balance_pick(struct loom_balance *balance, const uint64_t *tried,
    uint32_t ntried, uint64_t now_us)
{
	double mean_us = balance_mean_latency_us(balance);
	uint32_t n, nnear;

	n = balance_collect(balance, tried, ntried, now_us, mean_us, &nnear);
	return n == 0
	    ? 0
	    : balance_pick_by_latency(balance, n, nnear, mean_us, now_us);
}

void
loom_balance_note_sent(
    struct loom_balance *balance, uint64_t host_id, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target == NULL)
		return;
	if (target->unanswered_since_us == 0)
		target->unanswered_since_us = now_us;
	target->in_flight++;
}

/*
 * The target responded. Calls still in flight count as unanswered from now on.
 */
static void
note_response(struct target *target, uint64_t now_us)
{
	target->unanswered_since_us = target->in_flight > 0 ? now_us : 0;
}

/* The target reported that it is draining, but the list does not say so. */
static bool
listed_but_draining(const struct target *target, uint64_t now_us)
{
	return !target->host.draining && now_us < target->draining_until_us;
}

uint64_t
loom_balance_probe_due(struct loom_balance *balance, uint64_t now_us)
{
	double unresponsive_limit =
	    unresponsive_limit_us(balance_mean_latency_us(balance));
	struct target *target;
	uint32_t i;

	for (i = 0; i < balance->ntargets; i++) {
		target = &balance->targets[i];
		if (target->probe_in_flight ||
		    (balance_unresponsive_us(target, now_us) <=
			    unresponsive_limit &&
			!listed_but_draining(target, now_us)) ||
		    now_us < target->last_probe_us + PROBE_INTERVAL_US)
			continue;
		target->probe_in_flight = true;
		target->last_probe_us = now_us;
		return target->host.host_id;
	}
	return 0;
}

void
loom_balance_note_probe(struct loom_balance *balance, uint64_t host_id,
    enum loom_probe_result end, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target == NULL)
		return;
	target->probe_in_flight = false;
	target->last_probe_us = now_us;
	if (end != LOOM_PROBE_NO_ANSWER)
		note_response(target, now_us);
	if (end == LOOM_PROBE_SERVING)
		target->draining_until_us = 0;
}

static uint32_t
count_ejected(const struct loom_balance *balance, uint64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < balance->ntargets; i++)
		n += balance_ejected(&balance->targets[i], now_us);
	return n;
}

static void
eject(struct loom_balance *balance, struct target *target, uint64_t now_us)
{
	uint64_t duration_us;

	if ((count_ejected(balance, now_us) + 1) * EJECT_MAX_DIVISOR >
	    balance->ntargets)
		return;
	duration_us = EJECT_MIN_US << target->ejection_count;
	duration_us += loom_random_below(&balance->random, duration_us);
	target->ejected_until_us = now_us + duration_us;
	if (target->ejection_count < EJECT_DOUBLINGS_MAX)
		target->ejection_count++;
	/* After the ejection a single failure ejects it again. */
	target->consecutive_failures = EJECT_FAILURES - 1;
}

static void
note_ok(struct target *target, uint64_t latency_us)
{
	double latency = (double)latency_us;

	if (target->latency_us <= 0)
		target->latency_us = latency;
	target->latency_us +=
	    (latency - target->latency_us) * LATENCY_EWMA_WEIGHT;
	target->refusal_rate -= target->refusal_rate * REFUSAL_EWMA_WEIGHT;
	target->consecutive_failures = 0;
	target->ejection_count = 0;
}

void
loom_balance_note_done(struct loom_balance *balance, uint64_t host_id,
    enum loom_target_result end, uint64_t latency_us, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target == NULL)
		return;
	if (target->in_flight > 0)
		target->in_flight--;
	target->last_end_us = now_us;
	if (end != LOOM_TARGET_CANCELLED)
		target->last_result_us = now_us;
	if (end != LOOM_TARGET_FAILED && end != LOOM_TARGET_CANCELLED)
		note_response(target, now_us);
	switch (end) {
	case LOOM_TARGET_OK:
		note_ok(target, latency_us);
		break;
	case LOOM_TARGET_REFUSED:
		target->refusal_rate +=
		    (1.0 - target->refusal_rate) * REFUSAL_EWMA_WEIGHT;
		target->consecutive_failures = 0;
		break;
	case LOOM_TARGET_FAILED:
		target->consecutive_failures++;
		if (target->consecutive_failures >= EJECT_FAILURES &&
		    !balance_ejected(target, now_us))
			eject(balance, target, now_us);
		break;
	case LOOM_TARGET_HANDED_BACK:
		/* Its report says how long calls wait there. */
		target->consecutive_failures = 0;
		break;
	case LOOM_TARGET_CANCELLED:
		break;
	}
}

void
loom_balance_note_utilization(struct loom_balance *balance, uint64_t host_id,
    double utilization, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target == NULL)
		return;
	target->utilization = utilization;
	target->utilization_at_us = now_us;
}

void
loom_balance_note_start_bound(struct loom_balance *balance, uint64_t host_id,
    uint32_t bound, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target == NULL || (bound == 0 && target->start_bound == 0))
		return;
	target->start_bound = bound;
	target->start_bound_until_us = now_us + START_BOUND_REPORT_US;
}

void
loom_balance_note_stated_rate(
    struct loom_balance *balance, uint64_t host_id, double per_s)
{
	struct target *target = balance_find(balance, host_id);

	if (target != NULL)
		target->stated_rate = per_s;
}

double
loom_balance_stated_rate(const struct loom_balance *balance, uint64_t host_id)
{
	const struct target *target = balance_find(balance, host_id);

	return target == NULL ? 0 : target->stated_rate;
}

void
loom_balance_note_left(
    struct loom_balance *balance, uint64_t host_id, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target != NULL)
		target->left_until_us = now_us + LOOM_LEFT_US;
}

bool
loom_balance_has_left(
    const struct loom_balance *balance, uint64_t host_id, uint64_t now_us)
{
	const struct target *target = balance_find(balance, host_id);

	return target != NULL && now_us < target->left_until_us;
}

void
loom_balance_note_draining(
    struct loom_balance *balance, uint64_t host_id, uint64_t now_us)
{
	struct target *target = balance_find(balance, host_id);

	if (target == NULL)
		return;
	target->draining_until_us = now_us + DRAINING_REPORT_US;
	target->last_probe_us = now_us;
}

uint32_t
loom_balance_available_count(
    const struct loom_balance *balance, uint64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < balance->ntargets; i++)
		n += balance_accepts_calls(&balance->targets[i], now_us) &&
		    !balance_ejected(&balance->targets[i], now_us);
	return n;
}
