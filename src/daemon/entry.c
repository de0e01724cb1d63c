/*
 * The first stage of a call: authentication, route, deadline and the rate of
 * the team.
 *
 * A request arrives in one of three ways.  A client's request has a key; it is
 * a root request and counts against its team's rate.  A nested call of the
 * local upstream carries the context that this daemon gave it, and ends no
 * later than the call that it belongs to.  A peer's request carries a context
 * that was made for this daemon.  Anything else in a request that states a
 * team or an importance is ignored.
 */

#include <stdlib.h>
#include <string.h>

#include "daemon/auth.h"
#include "daemon/config.h"
#include "daemon/headers.h"
#include "daemon/internal.h"
#include "daemon/issue.h"
#include "daemon/rate.h"
#include "daemon/repeats.h"
#include "daemon/shed_thresholds.h"
#include "daemon/throttle.h"

/* Sets the deadline from the caller's header or the route's default, but no
 * later than latest_us. */
static enum loom_result
set_deadline(struct call *call, uint64_t latest_us)
{
	const char *text = loom_exchange_header(
	    call->exchange, call->worker->daemon->dialect->deadline_header);
	uint64_t requested_us = call->route->deadline_ms * LOOM_US_PER_MS;
	char *end;

	if (text != NULL) {
		if (!g_ascii_isdigit(*text))
			return LOOM_DEADLINE_INVALID;
		requested_us = g_ascii_strtoull(text, &end, 10);
		if (*end != '\0' ||
		    requested_us > LOOM_DEADLINE_MAX_US / LOOM_US_PER_MS)
			return LOOM_DEADLINE_INVALID;
		requested_us *= LOOM_US_PER_MS;
	}
	if (call->route->timeout_ms > 0)
		requested_us =
		    MIN(requested_us, call->route->timeout_ms * LOOM_US_PER_MS);
	call->deadline_us = call->arrived_us + requested_us;
	if (call->deadline_us > latest_us)
		call->deadline_us = latest_us;
	return LOOM_OK;
}

static const struct loom_route *
match_route(const struct call *call)
{
	return loom_manifest_route_for_host(call->manifest,
	    loom_exchange_header(call->exchange, "Host"),
	    loom_exchange_method(call->exchange),
	    loom_exchange_target(call->exchange));
}

/* Selects one of the services that share the route's requests, at random by
 * weight. */
static const struct loom_service *
choose_service(const struct call *call)
{
	const struct loom_route *route = call->route;
	const struct loom_service *services = call->manifest->services;
	uint64_t total = 0, offset;
	uint32_t i;

	for (i = 0; i < route->nsplits; i++)
		total += route->splits[i].weight;
	if (total == 0)
		return &services[route->service_index];
	offset = loom_random_below(&loom_random_system, total);
	for (i = 0; offset >= route->splits[i].weight; i++)
		offset -= route->splits[i].weight;
	return &services[route->splits[i].service_index];
}

static enum loom_result
find_route(struct call *call)
{
	if (issue_is_request(call->exchange))
		return issue_parse(call);
	call->route = match_route(call);
	if (call->route == NULL)
		return LOOM_ROUTE_UNKNOWN;
	call->service = choose_service(call);
	if (call->body_length > 0 &&
	    (uint64_t)call->body_length > call->route->max_body_bytes)
		return LOOM_BODY_TOO_LARGE;
	return LOOM_OK;
}

/* Opens the root request's retry budget.  The first half of the root id is
 * the id of the budget. */
static void
open_retry_budget(struct call *call, struct loom_id128 *id)
{
	const char *request_id = loom_exchange_header(
	    call->exchange, call->worker->daemon->dialect->request_id_header);
	struct loom_retry_root root;
	uint64_t request_key = 0;

	if (request_id != NULL)
		request_key =
		    loom_retry_request_key(call->context.team_id, request_id);
	loom_retry_begin_root(call->worker->daemon->retry, request_key,
	    call->arrived_us, call->deadline_us, &root);
	loom_random_bytes(id->bytes, sizeof(id->bytes));
	memcpy(id->bytes, &root.id, sizeof(root.id));
}

/* Initializes the context of a root request, whose home is this daemon.  On
 * a public route key is NULL. */
static void
init_root_context(struct call *call, const struct loom_key *key)
{
	const struct loom_self *self = &call->worker->daemon->self;
	struct loom_context *context = &call->context;
	const struct loom_team *team = NULL;

	if (key != NULL) {
		team = &call->manifest->teams[key->team_index];
		context->team_id = team->id;
		call->team_name = team->name;
		memcpy(context->key_prefix, key->digest, LOOM_KEY_PREFIX_SIZE);
	}
	open_retry_budget(call, &context->root);
	context->importance = team != NULL && team->has_importance
	    ? loom_importance_combine(team->importance, call->route->importance)
	    : call->route->importance;
	context->hops = 0;
	context->home_host_id = self->host_id;
	context->home_incarnation = self->incarnation;
}

static bool
is_public(const struct call *call)
{
	const struct loom_route *route = match_route(call);

	return route != NULL && route->is_public;
}

static enum loom_result
admit_caller(struct call *call, uint64_t *retry_after_us)
{
	const struct loom_key *key = NULL;
	enum loom_result result = LOOM_OK;

	if (atomic_load(&call->worker->daemon->draining))
		return LOOM_DRAINING;
	if (!is_public(call))
		result = auth_key(call, &key);
	if (result != LOOM_OK)
		return result;
	result = find_route(call);
	if (result != LOOM_OK)
		return result;
	result = set_deadline(call, UINT64_MAX);
	if (result != LOOM_OK)
		return result;
	call->caller_service = call->worker->daemon->self.service;
	init_root_context(call, key);
	/* A root request has a key.  Without a key, on a route that is
	 * meant for upstreams, this is a nested call of a request that was
	 * admitted before. */
	call->is_nested = key == NULL;
	if (call->is_nested) {
		call->context.importance = LOOM_CRITICAL;
		executor_count_nested(call, true);
		throttle_count_nested(call);
		repeats_note_nested(call->worker->daemon);
		loom_counter_add(call->worker->daemon->counters.nested, 1);
		return LOOM_OK;
	}
	loom_counter_add(call->worker->daemon->counters.requests, 1);
	if (!throttle_check(call, call->arrived_us))
		return LOOM_BELOW_FULL;
	return shed_thresholds_check(call, call->arrived_us, retry_after_us);
}

static enum loom_result
admit_upstream(struct call *call, const char *text)
{
	struct loom_live_call parent;
	enum loom_result result;

	result = auth_upstream_context(call, text, &parent);
	if (result != LOOM_OK)
		return result;
	result = find_route(call);
	if (result != LOOM_OK)
		return result;
	loom_counter_add(call->worker->daemon->counters.nested, 1);
	repeats_note_nested(call->worker->daemon);
	call->has_parent = true;
	call->parent_id = parent.context.call;
	loom_calls_nested_begin(
	    call->worker->daemon->calls, &call->parent_id, call->arrived_us);
	return set_deadline(call, parent.deadline_us);
}

/*
 * Two daemons may briefly use different manifests.  With fleet.entry_decides
 * the choice of the entry daemon is final: a route that is unknown here, or
 * that now leads to another service, is run nevertheless.  Otherwise requests
 * would be lost at each change of a route.
 */
static enum loom_result
use_entry_route(struct call *call)
{
	call->route = match_route(call);
	if (call->route == NULL)
		call->route = &call->manifest->routes[call->manifest->nroutes];
	call->service = loom_manifest_service(
	    call->manifest, call->worker->daemon->self.service);
	return call->service == NULL ? LOOM_NO_MANIFEST : LOOM_OK;
}

static enum loom_result
admit_peer(struct call *call)
{
	enum loom_result result;

	result = auth_peer_context(call);
	if (result != LOOM_OK)
		return result;
	call->caller_service =
	    loom_exchange_header(call->exchange, HEADER_CALLER_SERVICE);
	if (call->manifest->fleet.entry_decides)
		return use_entry_route(call);
	result = find_route(call);
	if (result != LOOM_OK)
		return result;
	if (call->service->id != call->worker->daemon->self.service_id)
		return LOOM_ROUTE_UNKNOWN;
	return LOOM_OK;
}

/* Whether the request only obtains a ticket.  The rate token is taken by
 * the request that uses the ticket. */
static bool
requests_ticket_only(const struct call *call)
{
	if (call->issue_count > 0)
		return true;
	return call->manifest->fleet.tickets && !call->route->repeatable &&
	    call_ticket_text(call) == NULL;
}

static bool
counts_against_rate(const struct call *call)
{
	const struct loom_team *team = call_team(call);

	return team != NULL && !team->unlimited;
}

static void
start_caller(struct call *call)
{
	uint64_t retry_after_us = 0;
	enum loom_result result;

	if (!requests_ticket_only(call)) {
		if (counts_against_rate(call))
			rate_take_token(call);
		else
			call_start(call);
		return;
	}
	result = issue_take_quota(
	    call, MAX(call->issue_count, 1), call->arrived_us, &retry_after_us);
	if (result != LOOM_OK)
		call_refuse_code(call, result, retry_after_us);
	else
		call_start(call);
}

static struct call *
begin_call(struct worker *worker, struct loom_exchange *x)
{
	struct call *call = call_new(worker, x);

	if (call == NULL) {
		loom_exchange_abort(x);
		return NULL;
	}
	span_begin(&call->span, loom_exchange_header(x, HEADER_TRACEPARENT),
	    call->arrived_us);
	return call;
}

/*
 * A stale platform may give a daemon that has just started an old manifest,
 * with keys that were withdrawn since.  The daemon serves no requests until it
 * has asked its peers for a newer one (loom/spread.h).
 */
static bool
is_ready_to_serve(const struct call *call)
{
	return call->manifest != NULL &&
	    config_ready(call->worker->daemon->config);
}

void
entry_request(struct worker *worker, struct loom_exchange *x)
{
	const char *context = loom_exchange_header(x, HEADER_CONTEXT);
	uint64_t retry_after_us = 0;
	enum loom_result result;
	struct call *call;

	call = begin_call(worker, x);
	if (call == NULL)
		return;
	if (internal_request(call))
		return;
	if (!is_ready_to_serve(call)) {
		call_refuse_code(call, LOOM_NO_MANIFEST, 0);
		return;
	}
	if (context != NULL) {
		call->origin = CALL_ORIGIN_UPSTREAM;
		result = admit_upstream(call, context);
	} else {
		call->origin = CALL_ORIGIN_CALLER;
		result = admit_caller(call, &retry_after_us);
	}
	if (result != LOOM_OK)
		call_refuse_code(call, result, retry_after_us);
	else if (call->origin == CALL_ORIGIN_CALLER)
		start_caller(call);
	else
		call_start(call);
}

void
entry_ready_request(struct worker *worker, struct loom_exchange *x)
{
	struct call *call = begin_call(worker, x);

	if (call != NULL)
		internal_ready_request(call);
}

void
entry_peer_request(struct worker *worker, struct loom_exchange *x)
{
	enum loom_result result;
	struct call *call;

	call = begin_call(worker, x);
	if (call == NULL)
		return;
	/* Peers probe /.loom/serving after a period without traffic
	 * (probe.c). */
	if (internal_request(call))
		return;
	call->origin = CALL_ORIGIN_PEER;
	result = is_ready_to_serve(call) ? admit_peer(call) : LOOM_NO_MANIFEST;
	if (result != LOOM_OK)
		call_refuse_code(call, result, 0);
	else
		call_start(call);
}
