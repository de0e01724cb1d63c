/*
 * A worker's view of the fleet: the manifest and hosts in force, and its own
 * measurements of each service and peer.
 */

#include <string.h>

#include "daemon/call.h"
#include "daemon/cold.h"
#include "daemon/statements.h"

struct clock_entry {
	uint64_t host_id;
	struct loom_peer_clock clock;
};

struct loom_peer_clock *
worker_peer_clock(struct worker *worker, uint64_t host_id)
{
	struct clock_entry *entry;

	entry = g_hash_table_lookup(worker->peer_clocks, &host_id);
	if (entry == NULL) {
		entry = talloc_zero(worker, struct clock_entry);
		entry->host_id = host_id;
		g_hash_table_insert(
		    worker->peer_clocks, &entry->host_id, entry);
	}
	return &entry->clock;
}

static GArray *
balance_hosts(const struct worker *worker, uint64_t service_id)
{
	GArray *list =
	    g_array_new(FALSE, FALSE, sizeof(struct loom_balance_host));
	const struct loom_self *self = &worker->daemon->self;
	const struct loom_host *hosts;
	const struct loom_service *service =
	    loom_manifest_service_by_id(worker->manifest, service_id);
	struct loom_balance_host entry;
	uint32_t i, n;

	hosts = loom_hosts_of_service(worker->hosts, service_id, &n);
	for (i = 0; i < n; i++) {
		entry = (struct loom_balance_host){
			.host_id = hosts[i].id,
			.near = strcmp(hosts[i].data_centre,
				    self->data_centre) == 0,
			.draining = hosts[i].state == LOOM_HOST_LEAVING,
			.evacuated = hosts[i].evacuated,
			.slots = hosts[i].slots,
			.instance_id = loom_name_id(hosts[i].instance),
			.cold_ms = hosts[i].cold_ms,
		};
		if (service != NULL) {
			entry.cold_starts =
			    cold_starts_max(worker->daemon, service);
			entry.cold_start_ms = service->cold_start_ms;
		}
		g_array_append_val(list, entry);
	}
	return list;
}

/* Passes a service's current hosts on to its load balancing. */
static void
update_service_hosts(struct worker *worker, struct service_state *service)
{
	GArray *list = balance_hosts(worker, service->service_id);

	loom_balance_set_hosts(service->balance,
	    (const struct loom_balance_host *)(const void *)list->data,
	    list->len, loom_now_us());
	g_array_free(list, TRUE);
}

static uint64_t
cold_start_us(const struct worker *worker, uint64_t service_id)
{
	const struct loom_service *service =
	    loom_manifest_service_by_id(worker->manifest, service_id);

	return service == NULL ? 0 : service->cold_start_ms * LOOM_US_PER_MS;
}

struct loom_balance *
worker_balance(struct worker *worker, uint64_t service_id)
{
	struct service_state *service;

	service = g_hash_table_lookup(worker->services, &service_id);
	if (service != NULL)
		return service->balance;
	if (worker->hosts == NULL)
		return NULL;
	service = talloc_zero(worker, struct service_state);
	service->service_id = service_id;
	service->balance = loom_balance_new(
	    service, &loom_random_system, cold_start_us(worker, service_id));
	loom_balance_set_far_cost(
	    service->balance, worker->daemon->settings.far_cost);
	update_service_hosts(worker, service);
	g_hash_table_insert(worker->services, &service->service_id, service);
	return service->balance;
}

/*
 * Appends the services of a route and of the calls that it declares, directly
 * or through other routes. seen marks the routes that have been visited.
 */
static void
collect_services(const struct loom_manifest *manifest, uint32_t route_index,
    bool *seen, GArray *ids)
{
	const struct loom_route *route = &manifest->routes[route_index];
	const uint64_t id = manifest->services[route->service_index].id;
	uint32_t i;

	if (seen[route_index])
		return;
	seen[route_index] = true;
	for (i = 0; i < ids->len && g_array_index(ids, uint64_t, i) != id; i++)
		;
	if (i == ids->len)
		g_array_append_val(ids, id);
	for (i = 0; i < route->ncalls; i++)
		collect_services(manifest, route->calls[i], seen, ids);
}

static struct route_services *
build_route_views(struct worker *worker, const struct loom_manifest *manifest)
{
	struct route_services *views;
	bool *seen = g_new(bool, manifest->nroutes);
	GArray *ids;
	uint32_t i;

	/* with an empty one at the end, for the unlisted route */
	views = talloc_zero_array(
	    worker, struct route_services, manifest->nroutes + 1);
	for (i = 0; i < manifest->nroutes; i++) {
		ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		memset(seen, 0, manifest->nroutes * sizeof(bool));
		collect_services(manifest, i, seen, ids);
		views[i].nservices = ids->len;
		views[i].service_ids = talloc_memdup(
		    views, ids->data, ids->len * sizeof(uint64_t));
		g_array_free(ids, TRUE);
	}
	g_free(seen);
	return views;
}

const struct route_services *
worker_route_services(const struct worker *worker,
    const struct loom_manifest *manifest, const struct loom_route *route)
{
	/* A call that began under an older manifest gets none. */
	if (manifest != worker->manifest || worker->routes == NULL)
		return NULL;
	return &worker->routes[route - manifest->routes];
}

struct versions_message {
	struct worker *worker; /* borrowed */
	struct loom_manifest *manifest; /* acquired */
	struct loom_hosts *hosts; /* acquired */
};

static void
update_own_upstream(struct worker *worker)
{
	const struct loom_self *self = &worker->daemon->self;
	const struct loom_host *host =
	    loom_hosts_find(worker->hosts, self->host_id);

	if (host != NULL && host->service_id != self->service_id)
		host = NULL;
	if (host != NULL && worker->own_upstream.instance[0] != '\0' &&
	    strcmp(host->instance, worker->own_upstream.instance) != 0)
		statements_forget(worker->daemon);
	own_upstream_update(&worker->own_upstream, host, loom_now_us());
}

/* Runs on the worker's thread; takes over the message's references. */
static void
apply_versions(void *arg)
{
	struct versions_message *message = arg;
	struct worker *worker = message->worker;
	GHashTableIter iter;
	gpointer service;

	if (worker->manifest != NULL)
		loom_manifest_release(worker->manifest);
	if (worker->hosts != NULL)
		loom_hosts_release(worker->hosts);
	worker->manifest = message->manifest;
	worker->hosts = message->hosts;
	update_own_upstream(worker);
	TALLOC_FREE(worker->routes);
	worker->routes = build_route_views(worker, worker->manifest);
	g_hash_table_iter_init(&iter, worker->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		update_service_hosts(worker, service);
	g_free(message);
	calls_recheck_keys(worker);
}

void
worker_set_versions(struct worker *worker, struct loom_manifest *manifest,
    struct loom_hosts *hosts)
{
	struct versions_message *message = g_new(struct versions_message, 1);

	message->worker = worker;
	message->manifest = loom_manifest_acquire(manifest);
	message->hosts = loom_hosts_acquire(hosts);
	loom_mailbox_post(worker->mailbox, apply_versions, message);
}
