#ifndef LOOM_DAEMON_WORKER_H
#define LOOM_DAEMON_WORKER_H

/*
 * One worker thread: an event loop with a server for callers, a server for
 * peers, and the fetches of both.  A call stays on the worker it came to.
 */

#include <stdatomic.h>
#include <time.h>

#include "daemon/busy.h"
#include "daemon/daemon.h"
#include "daemon/lag.h"
#include "loom/balance.h"
#include "loom/costs.h"
#include "loom/fetch.h"
#include "loom/keep.h"
#include "loom/peer_server.h"
#include "loom/server.h"
#include "loom/shed.h"

struct call;

/* What this worker knows of one service that it sends calls to. */
struct service_state {
	uint64_t service_id;
	struct loom_balance *balance; /* owned */
};

/* The services that a route's closure of declared calls reaches. */
struct route_view {
	uint64_t *service_ids; /* owned */
	uint32_t nservices;
};

struct worker {
	struct loom_daemon *daemon; /* borrowed */
	uint32_t index;
	GThread *thread;
	struct tevent_context *ev; /* owned, like all below */
	struct loom_mailbox *mailbox;
	struct loom_hangup *hangup;
	struct loom_sockets *sockets; /* of the next ones */
	struct loom_fetcher *fetcher;
	struct loom_server *callers;
	struct loom_peer_server *peers;
	struct loom_server *ready; /* readiness and metrics; NULL for none */
	struct loom_shed *shed;
	struct loom_keep_gate *keep;
	struct loom_costs *costs; /* owned */
	struct loom_manifest *manifest; /* counted; NULL before the first */
	struct loom_hosts *hosts; /* counted; NULL before the first */
	struct route_view *routes; /* one for each route of manifest */
	GHashTable *services; /* service id to struct service_state */
	GHashTable *clocks; /* host id to struct loom_peer_clock */
	GHashTable *issues; /* team id to struct issue_bucket */
	struct latencies *latencies;
	struct loop_delay loop_delay; /* any thread */
	struct loop_utilization utilization; /* read by the main thread */
	clockid_t
	    cpu_clock; /* of the thread's processor time, once it is known */
	atomic_bool has_cpu_clock;
	struct call *calls; /* all that live here */
	bool stopping;
};

/* Listening sockets, borrowed for the start: workers serve on duplicates. */
struct worker_listeners {
	int callers_fd;
	int peers_fd;
	int ready_fd; /* -1 for none */
};

/* Start the thread; owned by the daemon.  NULL with LOOM_START. */
struct worker *worker_start(struct loom_daemon *, uint32_t index,
    const struct worker_listeners *, const struct loom_tls_pair *tls,
    GError **error);

/* Give the worker a new manifest and host list; both are acquired.  Any
 * thread. */
void worker_set_versions(
    struct worker *, struct loom_manifest *, struct loom_hosts *);

/* Answers close their connections from now on.  Any thread. */
void worker_drain(struct worker *);

/* Hold off new connections; the last thing before the stop.  Any thread. */
void worker_pause_accepting(struct worker *);

/* End the loop and join the thread.  Calls that still run are cut. */
void worker_stop(struct worker *);

/* The balance of a service; made when first asked for.  Borrowed; NULL when
 * the service has no hosts. */
struct loom_balance *worker_balance(struct worker *, uint64_t service_id);

/* The clock of a peer; made when first asked for.  Borrowed. */
struct loom_peer_clock *worker_peer_clock(struct worker *, uint64_t host_id);

/* The services below a route of the worker's manifest. */
const struct route_view *worker_route(const struct worker *,
    const struct loom_manifest *, const struct loom_route *);

#endif
