/*
 * The status page: the daemon's identity, the versions in force, the state of
 * admission, each team's rate at this daemon, and the work at the hosts that it
 * calls. It is built for each request; no state is kept for it.
 */

#include <json-c/json.h>
#include <string.h>

#include "daemon/config.h"
#include "daemon/status.h"
#include "daemon/work.h"
#include "loom/json.h"

static void
add_real(struct json_object *object, const char *name, double number)
{
	json_object_object_add(object, name, json_object_new_double(number));
}

static struct json_object *
self_json(const struct worker *worker)
{
	struct json_object *object = json_object_new_object();
	const struct loom_daemon *daemon = worker->daemon;
	const struct loom_self *self = &daemon->self;
	const struct loom_host *host = worker->hosts == NULL
	    ? NULL
	    : loom_hosts_find(worker->hosts, self->host_id);

	loom_json_add_text(object, "host", self->host);
	loom_json_add_text(object, "service", self->service);
	loom_json_add_text(object, "data_centre", self->data_centre);
	loom_json_add_text(object, "region", self->region);
	json_object_object_add(object, "ready",
	    json_object_new_boolean(config_ready(daemon->config)));
	json_object_object_add(object, "draining",
	    json_object_new_boolean(atomic_load(&daemon->draining)));
	json_object_object_add(object, "evacuated",
	    json_object_new_boolean(host != NULL && host->evacuated));
	loom_json_add_int(object, "inflight", atomic_load(&daemon->inflight));
	return object;
}

/* Absent where decisions are not made by work. */
static void
add_work(struct json_object *object, struct loom_daemon *daemon)
{
	struct work_state state;

	if (!work_is_known(daemon))
		return;
	work_state(daemon, &state);
	loom_json_add_int(object, "wait_us", (int64_t)state.wait_us);
	loom_json_add_int(object, "call_us", (int64_t)state.mean_us);
	add_real(object, "pace", state.pace);
}

static struct json_object *
admission_json(struct loom_daemon *daemon)
{
	struct json_object *object = json_object_new_object();
	struct loom_admission_state state;

	loom_admission_state(daemon->admission, &state);
	loom_json_add_int(object, "limit", state.limit);
	loom_json_add_int(object, "inside", state.inside);
	loom_json_add_int(object, "waiting", state.waiting);
	add_real(object, "latency_us", state.latency_us);
	add_real(object, "latency_ratio", state.latency_ratio);
	json_object_object_add(object, "newest_first",
	    json_object_new_boolean(state.newest_first));
	loom_json_add_int(object, "start_bound",
	    loom_admission_start_bound(daemon->admission, loom_now_us()));
	loom_json_add_int(object, "quarantined",
	    (int64_t)loom_quarantine_count(daemon->quarantine, loom_now_us()));
	add_work(object, daemon);
	return object;
}

static struct json_object *
team_json(const struct loom_daemon *daemon, const struct loom_team *team)
{
	struct json_object *object = json_object_new_object();
	struct loom_rights_status status;

	loom_json_add_text(object, "team", team->name);
	add_real(object, "rate_per_s", team->rate_per_s);
	loom_json_add_int(object, "burst", team->burst);
	if (!loom_rights_team_status(
		loom_rights_set_find(daemon->rights, team->id), team->id,
		loom_now_us(), &status))
		return object;
	add_real(object, "refill_per_s", status.refill_per_s);
	add_real(object, "capacity", status.capacity);
	add_real(object, "level", status.level);
	add_real(object, "borrowed", status.borrowed);
	add_real(object, "lent", status.lent);
	add_real(object, "demand_per_s", status.demand_per_s);
	loom_json_add_int(object, "waiting", status.waiting);
	return object;
}

static struct json_object *
teams_json(
    const struct loom_daemon *daemon, const struct loom_manifest *manifest)
{
	struct json_object *list = json_object_new_array();
	uint32_t i;

	for (i = 0; manifest != NULL && i < manifest->nteams; i++)
		json_object_array_add(
		    list, team_json(daemon, &manifest->teams[i]));
	return list;
}

static struct json_object *
host_work_json(
    const struct worker *worker, const struct loom_balance_work *work)
{
	struct json_object *object = json_object_new_object();
	const struct loom_host *host = worker->hosts == NULL
	    ? NULL
	    : loom_hosts_find(worker->hosts, work->host_id);

	loom_json_add_text(object, "host", host == NULL ? "" : host->name);
	json_object_object_add(
	    object, "eligible", json_object_new_boolean(work->eligible));
	if (!work->known)
		return object;
	loom_json_add_int(
	    object, "age_ms", (int64_t)(work->age_us / LOOM_US_PER_MS));
	loom_json_add_int(object, "pace_percent", work->pace_percent);
	add_real(object, "slowness", work->slowness);
	add_real(object, "wait_us", work->wait_us);
	add_real(object, "correction", work->correction);
	add_real(object, "used", work->used);
	return object;
}

/* Work at the hosts of one service; NULL if no host reports it. */
static struct json_object *
service_work_json(
    const struct worker *worker, const struct loom_balance *balance)
{
	struct json_object *list = json_object_new_array();
	const uint64_t now_us = loom_now_us();
	struct loom_balance_work work;
	bool any_known = false;
	uint32_t i;

	for (i = 0; loom_balance_work_at(balance, i, now_us, &work); i++) {
		any_known |= work.known;
		json_object_array_add(list, host_work_json(worker, &work));
	}
	if (any_known)
		return list;
	json_object_put(list);
	return NULL;
}

/* Work as the worker that serves this page knows it. */
static struct json_object *
work_json(const struct worker *worker, const struct loom_manifest *manifest)
{
	struct json_object *object = json_object_new_object();
	const struct loom_service *service;
	struct json_object *hosts;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, worker->services);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct service_state *state = item;

		service = manifest == NULL
		    ? NULL
		    : loom_manifest_service_by_id(manifest, state->service_id);
		hosts = service == NULL
		    ? NULL
		    : service_work_json(worker, state->balance);
		if (hosts != NULL)
			json_object_object_add(object, service->name, hosts);
	}
	return object;
}

static struct json_object *
versions_json(const struct loom_daemon *daemon)
{
	char *text = config_status(daemon->config);
	struct json_object *object = json_tokener_parse(text);

	g_free(text);
	return object;
}

char *
status_json(struct worker *worker, const struct loom_manifest *manifest)
{
	struct loom_daemon *daemon = worker->daemon;
	struct json_object *object = json_object_new_object();
	char *text;

	json_object_object_add(object, "daemon", self_json(worker));
	json_object_object_add(object, "admission", admission_json(daemon));
	json_object_object_add(object, "teams", teams_json(daemon, manifest));
	json_object_object_add(object, "work", work_json(worker, manifest));
	json_object_object_add(object, "versions", versions_json(daemon));
	text = g_strdup(
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
	return text;
}
