#ifndef LOOM_DAEMON_DAEMON_H
#define LOOM_DAEMON_DAEMON_H

/*
 * What all threads of one daemon share.  Each member is safe from any thread
 * or only written before the workers start, as said.
 */

#include <netinet/in.h>
#include <sodium.h>

#include "daemon/processor.h"
#include "daemon/settings.h"
#include "loom/admission.h"
#include "loom/calls.h"
#include "loom/context.h"
#include "loom/control_thread.h"
#include "loom/counter.h"
#include "loom/daemon.h"
#include "loom/fanout.h"
#include "loom/mailbox.h"
#include "loom/quarantine.h"
#include "loom/retry.h"
#include "loom/rights_set.h"
#include "loom/ticket.h"
#include "loom/wait_share.h"

struct config;
struct tracer;
struct witnesses;
struct worker;

/* Counters of the data path; one series each. */
struct daemon_counters {
	struct loom_counter *requests; /* from callers, roots */
	struct loom_counter *deeper; /* from the own upstream */
	struct loom_counter *executed; /* as executor, sent to the upstream */
	struct loom_counter *answered; /* whole answers given */
	struct loom_counter *cut; /* answers cut in the middle */
	struct loom_counter *gone; /* callers that went away */
	struct loom_counter *retried; /* second attempts */
	struct loom_counter *probes;
	struct loom_counter *inflight; /* gauge */
	struct loom_counter *generation; /* gauge: manifest in force */
};

struct loom_daemon {
	struct daemon_settings settings; /* constant after the start */
	const struct loom_daemon_kind *kind; /* constant */
	const struct loom_dialect *dialect; /* constant: the kind's */
	struct loom_self self; /* constant */
	struct loom_context_key context_key; /* constant */
	uint8_t fleet_secret[LOOM_FLEET_SECRET_SIZE]; /* constant */
	struct loom_calls *calls; /* any thread */
	struct loom_replay *replay; /* any thread */
	struct loom_tickets *tickets; /* any thread */
	struct loom_quarantine *quarantine; /* any thread */
	struct loom_rights_set *rights; /* any thread */
	atomic_bool rights_held; /* the hold after the start is over */
	uint64_t rights_wait_end_us; /* control thread: when the hold ended */
	/* control thread */
	struct loom_rights_summary
	    last_reported_rights[LOOM_RIGHTS_PARTITIONS_MAX];
	struct loom_retry *retry; /* any thread */
	struct loom_control *control; /* its posts: any thread */
	struct loom_sender sender; /* for the parts; constant */
	struct sockaddr_in upstream_address; /* constant */
	struct witnesses *witnesses; /* owned; any thread */
	GMutex wait_lock; /* guards the next two */
	struct loom_wait_share wait_share;
	struct loom_fanout *fanout; /* owned */
	GMutex admission_lock;
	struct loom_admission *admission; /* any thread */
	struct daemon_counters counters; /* any thread */
	struct tracer *tracer; /* any thread */
	struct worker **workers; /* constant */
	uint32_t nworkers;
	atomic_bool leaving; /* not ready any more, but all is served yet */
	atomic_bool draining; /* callers are refused and peers told to go */
	uint64_t drain_us; /* since when; written before draining is set */
	atomic_uint inflight; /* calls under way in all workers */
	atomic_uint working; /* those that were let in */
	struct config *config; /* its ready and status: any thread */
	/* The main thread's own. */
	struct tevent_context *ev;
	uint64_t drain_until_us;
	uint64_t accept_paused_us; /* new connections, since then */
	bool stopping;
	uint32_t last_reported_limit; /* in the log (report.c) */
	bool was_shedding;
	uint64_t last_report_us;
	uint64_t utilization_read_us; /* when the workers' was read */
	double utilization; /* the busiest worker's */
	struct cpu_usage cpu_usage;
};

#endif
