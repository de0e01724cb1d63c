/*
 * Learns from answers how many calls a request causes at each service it leads
 * to.
 *
 * An executor knows how many calls of each inner route its upstream makes per
 * request (loom/fanout.h), and the answers to those calls state what each of
 * them costs further on.  So the share of an overloaded service reaches the
 * entry through a call chain of any depth, one hop per answer.  This needs
 * neither a declared call graph nor an identifier in the calls, which
 * upstreams do not pass on.
 */

#include <string.h>

#include "daemon/shed_thresholds.h"
#include "daemon/throttle.h"
#include "daemon/work.h"

#define PER_THOUSAND 1000.0
/* Calls of one request to a service; more are malformed. */
#define CALLS_MAX 1e6
/* One answer in this many lists all costs while the share is 1. */
#define ANSWERS_PER_LIST 8
/* Makes the id of the calls to a service that are part of a chain. */
#define CHAIN_ID_BITS UINT64_C(0x9e3779b97f4a7c15)

/* Calls per request to each service, summed over the inner routes. */
struct cost_sums {
	struct loom_cost costs[LOOM_COSTS_MAX];
	uint32_t n;
};

static void
add_cost(struct cost_sums *sums, uint64_t service_id, double calls)
{
	uint32_t i;

	for (i = 0; i < sums->n; i++) {
		if (sums->costs[i].service_id == service_id) {
			sums->costs[i].calls += calls;
			return;
		}
	}
	if (sums->n < LOOM_COSTS_MAX)
		sums->costs[sums->n++] = (struct loom_cost){
			.service_id = service_id,
			.calls = calls,
		};
}

/* Adds calls to an inner route and what each of them costs further on. */
static void
add_nested_costs(struct cost_sums *sums, const struct loom_costs *costs,
    uint64_t inner_id, double calls)
{
	struct loom_cost known[LOOM_COSTS_MAX];
	uint64_t service_id;
	uint32_t i, n;

	service_id = loom_costs_known(costs, inner_id, known, &n);
	if (service_id == 0)
		return;
	add_cost(sums, service_id, calls * loom_costs_own(costs, inner_id));
	for (i = 0; i < n; i++)
		add_cost(sums, known[i].service_id, calls * known[i].calls);
}

static void
sum_costs(const struct call *call, struct cost_sums *sums)
{
	struct worker *worker = call->worker;
	struct loom_daemon *daemon = worker->daemon;
	uint64_t ids[LOOM_FANOUT_ROUTES];
	double calls[LOOM_FANOUT_ROUTES];
	uint32_t i, n;

	g_mutex_lock(&daemon->wait_lock);
	n = loom_fanout_inner_routes(daemon->fanout, ids);
	for (i = 0; i < n; i++)
		calls[i] = loom_fanout_calls_per_request(
		    daemon->fanout, call->route->id, ids[i]);
	g_mutex_unlock(&daemon->wait_lock);
	for (i = 0; i < n; i++) {
		if (calls[i] >= LOOM_COSTS_CALLS_MIN)
			add_nested_costs(sums, worker->costs, ids[i], calls[i]);
	}
}

/*
 * Whether the answer lists all costs.  The id of a call is random and new for
 * each hop, so the lists are spread evenly over routes and entries.
 */
static bool
lists_all_costs(const struct call *call, double share)
{
	return work_is_known(call->worker->daemon) &&
	    (share < 1.0 ||
		call->context.call.bytes[0] % ANSWERS_PER_LIST == 0);
}

/* A relative cost that rounds to 0 would read as one that is not known. */
static double
own_calls(const struct call *call)
{
	return MAX(work_relative_cost(call), 1 / PER_THOUSAND);
}

uint64_t
throttle_chain_id(uint64_t service_id)
{
	return service_id ^ CHAIN_ID_BITS;
}

static void
append_share(GString *text, uint64_t service_id, double share, double calls)
{
	g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x:%x:%x",
	    text->len > 0 ? "," : "", service_id,
	    (unsigned)(share * PER_THOUSAND),
	    (unsigned)(MIN(calls, CALLS_MAX) * PER_THOUSAND));
}

/* Appends the entries of the service that answers; returns whether the list is
 * a complete one. */
static bool
append_own_shares(GString *text, const struct call *call)
{
	const struct loom_daemon *daemon = call->worker->daemon;
	const uint64_t service_id = daemon->self.service_id;
	const double share = loom_admission_throttle_share(daemon->admission);
	const double chains = loom_admission_chain_share(daemon->admission);
	const bool is_complete = lists_all_costs(call, MIN(share, chains));

	if (is_complete || share < 1.0)
		append_share(
		    text, service_id, share, is_complete ? own_calls(call) : 0);
	if (is_complete && chains < 1.0)
		append_share(text, throttle_chain_id(service_id), chains,
		    own_calls(call));
	return is_complete;
}

char *
throttle_format(const struct call *call)
{
	struct worker *worker = call->worker;
	const struct loom_daemon *daemon = worker->daemon;
	const uint64_t now_us = loom_now_us();
	GString *text;
	struct cost_sums sums = { .n = 0 };
	double share;
	bool is_complete;
	uint32_t i;

	if (call->route == NULL)
		return NULL;
	text = g_string_new(NULL);
	is_complete = append_own_shares(text, call);
	sum_costs(call, &sums);
	for (i = 0; i < sums.n; i++) {
		if (sums.costs[i].service_id == daemon->self.service_id)
			continue;
		share = loom_throttle_share(
		    worker->keep, sums.costs[i].service_id, now_us);
		if (is_complete || share < 1.0)
			append_share(text, sums.costs[i].service_id, share,
			    sums.costs[i].calls);
	}
	return g_string_free(text, text->len == 0);
}

/* Parses "SERVICE:SHARE:CALLS"; returns its end, or NULL if it is malformed. */
static const char *
parse_entry(
    const char *text, uint64_t *service_id, double *share, double *calls)
{
	char *end;

	*service_id = g_ascii_strtoull(text, &end, 16);
	if (end == text || *end != ':')
		return NULL;
	text = end + 1;
	*share = (double)g_ascii_strtoull(text, &end, 16) / PER_THOUSAND;
	if (end == text || *end != ':')
		return NULL;
	text = end + 1;
	*calls = (double)g_ascii_strtoull(text, &end, 16) / PER_THOUSAND;
	return end == text || *calls > CALLS_MAX ? NULL : end;
}

void
throttle_learn(const struct call *call, const char *text)
{
	struct loom_route_costs *costs = loom_costs_answer_begin(
	    call->worker->costs, call->route->id, call->service->id);
	const uint64_t now_us = loom_now_us();
	const uint64_t chain_id = throttle_chain_id(call->service->id);
	bool executor_reported = false, is_complete = false, has_chains = false;
	uint64_t service_id;
	double share, calls;

	while (text != NULL && *text != '\0') {
		text = parse_entry(text, &service_id, &share, &calls);
		if (text == NULL)
			return;
		/* A complete list also has services whose share is 1. */
		if (share < 1.0)
			loom_throttle_add_report(
			    call->worker->keep, service_id, share, now_us);
		if (service_id != call->service->id) {
			loom_costs_answer_add(costs, service_id, calls, now_us);
		} else {
			executor_reported = share < 1.0;
			is_complete = calls > 0;
			loom_costs_answer_complete(costs, calls);
		}
		has_chains = has_chains || service_id == chain_id;
		/* The answering service comes first in the list. */
		if (is_complete)
			loom_throttle_add_work(
			    call->worker->keep, service_id, now_us);
		if (*text == ',')
			text++;
	}
	if (!executor_reported)
		loom_throttle_add_omission(
		    call->worker->keep, call->service->id, now_us);
	if (!has_chains)
		loom_throttle_add_omission(
		    call->worker->keep, chain_id, now_us);
	loom_costs_answer_end(costs, now_us);
}

void
throttle_count_run(const struct call *call, bool begins)
{
	struct loom_daemon *daemon = call->worker->daemon;

	g_mutex_lock(&daemon->wait_lock);
	if (begins)
		loom_fanout_begin(
		    daemon->fanout, call->route->id, loom_now_us());
	else
		loom_fanout_end(daemon->fanout, call->route->id, call->leg_us,
		    loom_now_us());
	g_mutex_unlock(&daemon->wait_lock);
}

void
throttle_count_nested(const struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;

	g_mutex_lock(&daemon->wait_lock);
	loom_fanout_add_call(daemon->fanout, call->route->id, call->arrived_us);
	g_mutex_unlock(&daemon->wait_lock);
}

/* Records for the log line the service that refused the call, or else the
 * one with the lowest share. */
static void
note_lowest_share(struct call *call, uint64_t service_id, double calls,
    bool pass, uint64_t now_us)
{
	struct loom_throttle *keep = call->worker->keep;
	double share = loom_throttle_share(keep, service_id, now_us);
	bool is_lowest =
	    call->throttled_service_id == 0 || share < call->throttled_share;

	if (pass && (share >= 1.0 || !is_lowest))
		return;
	call->throttled_service_id = service_id;
	call->throttled_calls_per_request = calls;
	call->throttled_share = share;
	call->throttled_report_age_us =
	    loom_throttle_report_age_us(keep, service_id, now_us);
}

/*
 * Marks a request that was admitted by the share of the service that runs it.
 * From then on it counts as critical, like the nested calls that other
 * requests make there.  Queued behind all of those, such a request was refused
 * after all while they used up the service's capacity, although it had been
 * admitted for its importance and cost a fifth as much as they did.
 */
static void
mark_admitted_by_share(struct call *call, uint64_t now_us)
{
	call->admitted_by_share = loom_throttle_share(call->worker->keep,
				      call->service->id, now_us) < 1.0;
}

static bool
pass_service(struct call *call, struct loom_throttle_request *request,
    uint64_t service_id, double calls, uint64_t now_us)
{
	bool pass;

	request->service_id = service_id;
	request->calls = calls;
	pass = loom_throttle_admit_request(call->worker->keep, request, now_us);
	note_lowest_share(call, service_id, calls, pass, now_us);
	return pass;
}

bool
throttle_check(struct call *call, uint64_t now_us)
{
	const struct loom_team *team = call_team(call);
	struct loom_throttle_request request = {
		.rank = call_shed_rank(call),
		.team_id = call->context.team_id,
		.team_weight =
		    team == NULL || team->unlimited ? 0 : team->rate_per_s,
	};
	struct loom_cost costs[LOOM_COSTS_MAX];
	uint32_t i, n;
	bool pass;

	/* The request itself is a call to its service.  Without this check,
	 * less important requests that run at an overloaded service are
	 * admitted ahead of more important ones that lead to it. */
	pass = pass_service(call, &request, call->service->id,
	    loom_costs_own(call->worker->costs, call->route->id), now_us);
	n = loom_costs_to_check(
	    call->worker->costs, call->route->id, now_us, costs);
	for (i = 0; i < n; i++) {
		/* The request itself is no part of a chain. */
		if (costs[i].service_id == throttle_chain_id(call->service->id))
			continue;
		/* Each check counts the offered calls, so all are made even
		 * after one has refused. */
		if (!pass_service(call, &request, costs[i].service_id,
			costs[i].calls, now_us))
			pass = false;
	}
	if (pass)
		mark_admitted_by_share(call, now_us);
	return pass;
}
