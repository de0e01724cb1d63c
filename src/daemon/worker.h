#ifndef LOOM_DAEMON_WORKER_H
#define LOOM_DAEMON_WORKER_H

/*
 * A worker thread: an event loop with one server for callers, one for peers,
 * and the outgoing requests of both. A call stays on the worker that received
 * it.
 */

#include <stdatomic.h>
#include <time.h>

#include "daemon/daemon.h"
#include "daemon/loop_delay.h"
#include "daemon/loop_utilization.h"
#include "decide/own_upstream.h"
#include "loom/balance.h"
#include "loom/costs.h"
#include "loom/fetch.h"
#include "loom/peer_server.h"
#include "loom/server.h"
#include "loom/shed.h"
#include "loom/throttle.h"

struct call;

/* State of a service that the worker sends calls to. */
struct service_state {
	uint64_t service_id;
	struct loom_balance *balance; /* owned */
};

/* The services that a route reaches through its declared calls. */
struct route_services {
	uint64_t *service_ids; /* owned */
	uint32_t nservices;
};

struct worker {
	struct loom_daemon *daemon; /* borrowed */
	uint32_t index;
	GThread *thread;
	struct tevent_context *ev; /* owned, like all below */
	struct loom_timers *timers;
	struct loom_mailbox *mailbox;
	struct loom_hangup *hangup;
	struct loom_sockets *sockets; /* of fetcher and peer_server */
	struct loom_fetcher *fetcher;
	struct loom_server *caller_server;
	struct loom_peer_server *peer_server;
	struct loom_server *ready_server; /* readiness and metrics; or NULL */
	struct loom_shed *shed;
	struct loom_throttle *keep;
	struct loom_costs *costs; /* owned */
	struct loom_manifest *manifest; /* acquired; NULL before the first */
	struct loom_hosts *hosts; /* acquired; NULL before the first */
	struct own_upstream own_upstream; /* as in hosts */
	struct route_services *routes; /* one for each route of manifest */
	GHashTable *services; /* service id to struct service_state */
	GHashTable *peer_clocks; /* host id to struct loom_peer_clock */
	GHashTable *issues; /* team id to struct issue_bucket */
	struct latencies *latencies;
	struct loop_delay loop_delay; /* any thread */
	struct loop_utilization utilization; /* read by the main thread */
	clockid_t cpu_clock; /* of the thread; valid if has_cpu_clock */
	atomic_bool has_cpu_clock;
	struct call *calls; /* list of all calls of this worker */
	bool stopping;
};

/* Listening sockets. Workers duplicate them, so they are only borrowed. */
struct worker_listeners {
	int callers_fd;
	int peers_fd;
	int ready_fd; /* -1 for none */
};

/*
 * Starts a worker thread, to be ended with worker_stop(). Returns NULL with
 * LOOM_START.
 */
struct worker *worker_start(struct loom_daemon *, uint32_t index,
    const struct worker_listeners *, const struct loom_tls_pair *tls,
    GError **error);

/*
 * Sends the worker a new manifest and host list, and acquires both. Any thread.
 */
void worker_set_versions(
    struct worker *, struct loom_manifest *, struct loom_hosts *);

/* From now on each answer closes its connection. Any thread. */
void worker_drain(struct worker *);

/* Blocks new connections, as the last step before the stop. Any thread. */
void worker_block_connections(struct worker *);

/* Answers the calls that have not ended (calls_end()). Any thread. */
void worker_end_calls(struct worker *);

/* Ends the thread and frees the worker. Calls in progress are aborted. */
void worker_stop(struct worker *);

/*
 * Returns the load balancing state of a service, borrowed; it is created by the
 * first call. Returns NULL before the first host list.
 */
struct loom_balance *worker_balance(struct worker *, uint64_t service_id);

/* Returns a peer's clock, borrowed; it is created by the first call. */
struct loom_peer_clock *worker_peer_clock(struct worker *, uint64_t host_id);

/*
 * Returns the services that a route reaches, or NULL if the manifest is not the
 * worker's current one.
 */
const struct route_services *worker_route_services(const struct worker *,
    const struct loom_manifest *, const struct loom_route *);

#endif
