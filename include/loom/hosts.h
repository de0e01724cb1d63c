#ifndef LOOM_HOSTS_H
#define LOOM_HOSTS_H

/*
 * The lists of hosts that the platform publishes.  Each service has one value,
 * named "hosts/SERVICE", which is a JSON array:
 *
 *   [ { "name": "orders-1", "data_centre": "hobart-a", "region": "tas",
 *       "state": "live",            // or "leaving"
 *       "peer": "127.0.0.1:7101",   // requests between daemons, HTTP
 *       "control": "127.0.0.1:7201", // control messages, ZeroMQ
 *       "instance": "i-7f3a91c2",   // optional: the upstream's current run
 *       "slots": 36,                // optional: overrides the service's
 *       "cold_ms": 3000,            // optional: slow for this long
 *       "evacuated": true           // optional: gets no calls for now
 *     } ]
 *
 * The list lags behind the actual state of the hosts.  It says which hosts may
 * be tried, not which ones are healthy.
 */

#include <stddef.h>
#include <stdint.h>

#include "loom/manifest.h"
#include "loom/ref.h"

struct json_object;

enum loom_host_state {
	LOOM_HOST_LIVE,
	LOOM_HOST_LEAVING,
};

struct loom_host {
	char name[LOOM_NAME_MAX + 1];
	uint64_t id; /* loom_name_id(name) */
	char data_centre[LOOM_NAME_MAX + 1];
	char region[LOOM_NAME_MAX + 1];
	char service[LOOM_NAME_MAX + 1];
	uint64_t service_id;
	char peer[64]; /* "ip:port" */
	char control[64]; /* "ip:port" */
	enum loom_host_state state;
	char instance[LOOM_NAME_MAX + 1]; /* of the upstream; "" if unknown */
	uint32_t slots; /* of the upstream; 0: use the service's */
	uint32_t cold_ms; /* cold start: slow for so long after listing */
	/* Its upstream gets no calls, because its data centre is to be emptied;
	 * its daemon still serves callers. */
	bool evacuated;
};

/* The hosts of all services.  Immutable, reference-counted and shared by all
 * threads. */
struct loom_hosts {
	struct loom_ref ref;
	struct loom_host *hosts; /* owned, sorted by (service_id, id) */
	uint32_t nhosts;
	uint32_t *by_id; /* private: indexes into hosts, sorted by id */
};

/*
 * Parses one service's value and appends its hosts to *hosts, a GArray of
 * struct loom_host owned by the caller.  On failure nothing is appended.
 */
bool loom_hosts_parse(const char *service, const char *text, size_t len,
    GArray *hosts, GError **error);

/*
 * Checks one entry of a list by the rules of loom_hosts_parse().  A translator
 * of another platform's entries leaves out those that fail: a list is refused
 * as a whole, and then no host of its service can join or leave any more.
 * Fails with LOOM_HOSTS_MALFORMED.
 */
bool loom_host_check(struct json_object *entry, GError **error);

/* Builds the shared list from a copy of hosts. */
struct loom_hosts *loom_hosts_build(const GArray *hosts);
struct loom_hosts *loom_hosts_acquire(struct loom_hosts *);
void loom_hosts_release(struct loom_hosts *);

/* Returns the service's hosts as a borrowed array, NULL if it has none; *n
 * receives its length. */
const struct loom_host *loom_hosts_of_service(
    const struct loom_hosts *, uint64_t service_id, uint32_t *n);
const struct loom_host *loom_hosts_find(const struct loom_hosts *, uint64_t id);

#endif
