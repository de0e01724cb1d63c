#ifndef LOOM_HOSTS_H
#define LOOM_HOSTS_H

/*
 * The hosts as the platform lists them: one value for each service, named
 * "hosts/SERVICE", a JSON array:
 *
 *   [ { "name": "orders-1", "data_centre": "hobart-a", "region": "tas",
 *       "state": "live",            // or "leaving"
 *       "peer": "127.0.0.1:7101",   // data between daemons, HTTP
 *       "control": "127.0.0.1:7201", // control between daemons, ZeroMQ
 *       "instance": "i-7f3a91c2",   // optional: this start of the upstream
 *       "slots": 36,                // optional: goes before the service's
 *       "cold_ms": 3000             // optional: it is still slow so long
 *     } ]
 *
 * The list lags; it names who may be asked, not who is well.
 */

#include <stddef.h>
#include <stdint.h>

#include "loom/manifest.h"
#include "loom/ref.h"

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
	char instance[LOOM_NAME_MAX + 1]; /* of its upstream; "" if unknown */
	uint32_t slots; /* of its upstream; 0: as the service has it */
	uint32_t cold_ms; /* for so long after its listing it is slow */
};

/* All services' hosts; immutable, counted, shared by all threads. */
struct loom_hosts {
	struct loom_ref ref;
	struct loom_host *hosts; /* owned, sorted by (service_id, id) */
	uint32_t nhosts;
	uint32_t *by_id; /* private: indexes in the order of the ids */
};

/*
 * Parse one service's value and append its hosts to *hosts, a GArray of
 * struct loom_host owned by the caller.  On failure nothing is appended.
 */
bool loom_hosts_parse(const char *service, const char *text, size_t len,
    GArray *hosts, GError **error);

/* Make the shared list; hosts is copied. */
struct loom_hosts *loom_hosts_build(const GArray *hosts);
struct loom_hosts *loom_hosts_acquire(struct loom_hosts *);
void loom_hosts_release(struct loom_hosts *);

/* The run of a service's hosts; *n receives its length.  Borrowed. */
const struct loom_host *loom_hosts_of_service(
    const struct loom_hosts *, uint64_t service_id, uint32_t *n);
const struct loom_host *loom_hosts_find(const struct loom_hosts *, uint64_t id);

#endif
