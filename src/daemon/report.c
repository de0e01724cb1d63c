/*
 * Events in the log, which together with the metrics let operators investigate
 * a complaint. A call is logged as one line when it ends, so that the log has
 * either the complete record of a call or none.
 */

#include <math.h>
#include <string.h>

#include "daemon/headers.h"
#include "daemon/rate.h"
#include "daemon/report.h"
#include "daemon/throttle.h"
#include "loom/event.h"
#include "loom/log.h"

/*
 * One successful call in so many is logged. The choice depends on the call's id
 * alone, so that all daemons log the same calls.
 */
#define SAMPLE_EVERY 256

/* Relative change of the limit from which it is logged. */
#define LIMIT_CHANGE_MIN 0.25

#define SERVER_ERROR 500

static bool
ended_well(const struct call *call)
{
	return !call->refused && call->span.status != 0 &&
	    call->span.status < SERVER_ERROR;
}

static bool
is_sampled(const char *id)
{
	return id != NULL && g_str_hash(id) % SAMPLE_EVERY == 0;
}

static const char *
last_host_name(const struct call *call)
{
	const struct loom_host *host = NULL;

	if (call->ntried > 0 && call->worker->hosts != NULL)
		host = loom_hosts_find(call->worker->hosts,
		    call->tried_host_ids[call->ntried - 1]);
	return host == NULL ? NULL : host->name;
}

enum call_end_kind
call_end_kind(const struct call *call)
{
	if (call->refused)
		return CALL_END_REFUSED;
	if (call->span.status == 0)
		return CALL_END_BROKEN;
	return CALL_END_ANSWERED;
}

const char *
call_end_name(enum call_end_kind kind)
{
	static const char *const names[CALL_ENDS] = {
		[CALL_END_ANSWERED] = "answered",
		[CALL_END_REFUSED] = "refused",
		[CALL_END_BROKEN] = "broken",
	};

	return names[kind];
}

/*
 * Returns the name of the service because of whose share the call was refused,
 * or else of the one with the lowest share among those that the call leads to.
 * Returns NULL if no share applied.
 */
static const char *
bottleneck_name(const struct call *call)
{
	const struct loom_service *service = NULL;

	if (call->throttled_service_id != 0)
		service = loom_manifest_service_by_id(
		    call->manifest, call->throttled_service_id);
	if (call->throttled_service_id != 0 && service == NULL)
		service = loom_manifest_service_by_id(call->manifest,
		    throttle_chain_id(call->throttled_service_id));
	return service == NULL ? NULL : service->name;
}

/* Returns whether the call was refused because of its team's rate. */
static bool
is_rate_refusal(const struct call *call)
{
	return call->refused &&
	    (call->span.code == LOOM_TEAM_RATE ||
		call->span.code == LOOM_RATE_UNKNOWN ||
		call->span.code == LOOM_STARTING);
}

/*
 * Returns the name of the daemon that lends the team's rate to this one, or
 * NULL if this one is the topmost pool.
 */
static const char *
pool_name(const struct call *call, const struct loom_rights_status *rate)
{
	const struct loom_host *pool = NULL;

	if (call->worker->hosts != NULL && rate->pool_host_id != 0)
		pool = loom_hosts_find(call->worker->hosts, rate->pool_host_id);
	return pool == NULL ? NULL : pool->name;
}

void
report_call(const struct call *call)
{
	const struct loom_team *team = call_team(call);
	const char *id = call->report_id;
	const uint64_t now_us = loom_now_us();
	struct loom_admission_state state = { .limit = 0 };
	struct loom_rights_status rate = { .level = 0 };
	bool rate_refused;

	if (call->is_internal_page || (ended_well(call) && !is_sampled(id)))
		return;
	if (!loom_event_admit(id, now_us))
		return;
	if (call->offered_to_admission)
		loom_admission_state(call->worker->daemon->admission, &state);
	const struct loom_event_field rate_of_team =
	    LOOM_F_REAL("rate_per_s", team == NULL ? 0 : team->rate_per_s);
	const struct loom_event_field end = LOOM_F_END;

	rate_refused = is_rate_refusal(call) && rate_state(call, &rate);
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("id", id),
		LOOM_F_TEXT("stage",
		    call->origin == CALL_ORIGIN_PEER ? "executor" : "entry"),
		LOOM_F_TEXT("end", call_end_name(call_end_kind(call))),
		LOOM_F_INT("code", call->span.code),
		LOOM_F_TEXT("result",
		    call->refused ? loom_result_info(call->span.code)->name
				  : NULL),
		LOOM_F_TEXT("outcome",
		    call->refused ? loom_outcome_name(call->span.outcome)
				  : NULL),
		LOOM_F_INT("status", call->span.status),
		LOOM_F_TEXT(
		    "route", call->route == NULL ? NULL : call->route->name),
		LOOM_F_TEXT("service",
		    call->service == NULL ? NULL : call->service->name),
		LOOM_F_TEXT("team", call->team_name),
		LOOM_F_BOOL("inner", call->is_nested),
		LOOM_F_INT("importance", call->context.importance),
		LOOM_F_INT("manifest",
		    call->manifest == NULL ? 0 : call->manifest->generation),
		LOOM_F_INT(
		    "age_ms", (now_us - call->arrived_us) / LOOM_US_PER_MS),
		LOOM_F_INT("left_ms",
		    call_remaining_us(call, now_us) / LOOM_US_PER_MS),
		LOOM_F_INT("queue_ms", call->span.queue_us / LOOM_US_PER_MS),
		LOOM_F_INT("leg_ms", call->span.leg_us / LOOM_US_PER_MS),
		LOOM_F_INT("tries", call->ntried),
		LOOM_F_TEXT("host", last_host_name(call)),
		LOOM_F_BOOL("may_have_run", call->may_have_run),
		LOOM_F_TEXT("below", bottleneck_name(call)),
		LOOM_F_REAL("below_share", call->throttled_share),
		LOOM_F_REAL("below_calls", call->throttled_calls_per_request),
		LOOM_F_INT("below_age_ms",
		    call->throttled_report_age_us / LOOM_US_PER_MS),
		LOOM_F_INT("limit", state.limit),
		LOOM_F_INT("inside", state.inside),
		LOOM_F_INT("waiting", state.waiting),
		/* ends the list here unless the rate refused the call */
		rate_refused ? rate_of_team : end,
		LOOM_F_REAL("rate_here_per_s", rate.refill_per_s),
		LOOM_F_REAL("rate_level", rate.level),
		LOOM_F_REAL("rate_capacity", rate.capacity),
		LOOM_F_REAL("rate_demand_per_s", rate.demand_per_s),
		LOOM_F_INT("rate_waiting", rate.waiting),
		LOOM_F_TEXT("rate_pool", pool_name(call, &rate)),
		LOOM_F_INT("rate_pool_silent_ms",
		    rate.pool_silent_us / LOOM_US_PER_MS),
		LOOM_F_INT("rate_lent_elsewhere_ms",
		    rate.lent_elsewhere_us / LOOM_US_PER_MS),
		LOOM_F_END,
	};
	loom_event_write(LOOM_EVENT_CALL, fields);
}

static const char *
host_state_name(const struct loom_host *host)
{
	if (host == NULL)
		return "gone";
	if (host->state == LOOM_HOST_LEAVING)
		return "leaving";
	return host->evacuated ? "evacuated" : "live";
}

static void
report_host(const struct loom_host *host, const struct loom_host *before,
    const struct loom_host *after)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("host", host->name),
		LOOM_F_TEXT("service", host->service),
		LOOM_F_TEXT("data_centre", host->data_centre),
		LOOM_F_TEXT("instance", host->instance),
		LOOM_F_TEXT("was",
		    before == NULL ? "unknown" : host_state_name(before)),
		LOOM_F_TEXT("is", host_state_name(after)),
		LOOM_F_END,
	};

	if (before != NULL && after != NULL && before->state == after->state &&
	    before->evacuated == after->evacuated &&
	    strcmp(before->instance, after->instance) == 0)
		return;
	if (loom_event_admit(NULL, loom_now_us()))
		loom_event_write(LOOM_EVENT_HOST, fields);
}

void
report_versions(const struct loom_manifest *manifest,
    const struct loom_hosts *before, const struct loom_hosts *after)
{
	const struct loom_event_field fields[] = {
		LOOM_F_INT("manifest", manifest->generation),
		LOOM_F_INT("version", manifest->version),
		LOOM_F_INT("routes", manifest->nroutes),
		LOOM_F_INT("teams", manifest->nteams),
		LOOM_F_INT("keys", manifest->nkeys),
		LOOM_F_INT("hosts", after->nhosts),
		LOOM_F_END,
	};
	uint32_t i;

	if (loom_event_admit(NULL, loom_now_us()))
		loom_event_write(LOOM_EVENT_CONFIG, fields);
	for (i = 0; i < after->nhosts; i++) {
		const struct loom_host *known = before == NULL
		    ? NULL
		    : loom_hosts_find(before, after->hosts[i].id);

		report_host(&after->hosts[i], known, &after->hosts[i]);
	}
	for (i = 0; before != NULL && i < before->nhosts; i++) {
		if (loom_hosts_find(after, before->hosts[i].id) == NULL)
			report_host(&before->hosts[i], &before->hosts[i], NULL);
	}
}

static void
report_limit(
    struct loom_daemon *daemon, const struct loom_admission_state *state)
{
	const struct loom_event_field fields[] = {
		LOOM_F_INT("was", daemon->last_reported_limit),
		LOOM_F_INT("is", state->limit),
		LOOM_F_INT("inside", state->inside),
		LOOM_F_INT("waiting", state->waiting),
		LOOM_F_INT("latency_us", state->latency_us),
		LOOM_F_REAL("ratio", state->latency_ratio),
		LOOM_F_END,
	};
	double change =
	    fabs((double)state->limit - daemon->last_reported_limit);

	if (change < LIMIT_CHANGE_MIN * MAX(daemon->last_reported_limit, 1))
		return;
	if (loom_event_admit(NULL, loom_now_us()))
		loom_event_write(LOOM_EVENT_LIMIT, fields);
	daemon->last_reported_limit = state->limit;
}

void
report_admission(struct loom_daemon *daemon)
{
	const double share =
	    MIN(loom_admission_throttle_share(daemon->admission),
		loom_admission_chain_share(daemon->admission));
	struct loom_admission_state state;

	loom_admission_state(daemon->admission, &state);
	report_limit(daemon, &state);
	const struct loom_event_field fields[] = {
		LOOM_F_REAL("share", share),
		LOOM_F_INT("limit", state.limit),
		LOOM_F_INT("inside", state.inside),
		LOOM_F_INT("waiting", state.waiting),
		LOOM_F_END,
	};
	if ((share < 1.0) == daemon->was_shedding)
		return;
	daemon->was_shedding = share < 1.0;
	if (loom_event_admit(NULL, loom_now_us()))
		loom_event_write(LOOM_EVENT_SHARE, fields);
}

static void
report_partition(struct loom_daemon *daemon, uint32_t partition)
{
	const struct loom_rights_summary was =
	    daemon->last_reported_rights[partition];
	struct loom_rights_summary is;

	loom_rights_summary(loom_rights_set_at(daemon->rights, partition), &is);
	daemon->last_reported_rights[partition] = is;
	if (is.pool_host_id == was.pool_host_id && is.shares == was.shares &&
	    is.holding == was.holding && is.children == was.children)
		return;
	const struct loom_event_field fields[] = {
		LOOM_F_INT("partition", partition),
		LOOM_F_TEXT("pool", is.pool),
		LOOM_F_INT("shares", is.shares),
		LOOM_F_BOOL("holding", is.holding),
		LOOM_F_REAL("owned", is.owned),
		LOOM_F_REAL("pooled", is.pooled),
		LOOM_F_REAL("lent_up", is.lent_up),
		LOOM_F_INT("children", is.children),
		LOOM_F_END,
	};
	if (loom_event_admit(NULL, loom_now_us()))
		loom_event_write(LOOM_EVENT_RIGHTS, fields);
}

void
report_rights(struct loom_daemon *daemon)
{
	uint32_t i;

	for (i = 0; i < loom_rights_set_count(daemon->rights); i++)
		report_partition(daemon, i);
}

void
report_lifecycle(const struct loom_daemon *daemon, const char *what)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", what),
		LOOM_F_TEXT("host", daemon->self.host),
		LOOM_F_TEXT("service", daemon->self.service),
		LOOM_F_TEXT("data_centre", daemon->self.data_centre),
		LOOM_F_INT("lines_dropped", loom_log_dropped()),
		LOOM_F_END,
	};

	loom_event_write(LOOM_EVENT_LIFE, fields);
}
