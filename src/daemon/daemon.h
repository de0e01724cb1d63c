#ifndef LOOM_DAEMON_DAEMON_H
#define LOOM_DAEMON_DAEMON_H

/*
 * State that all threads of a daemon share. The comment on each member says
 * which threads may use it; "constant" means that it is not written any more
 * once the workers run.
 */

#include <netinet/in.h>
#include <sodium.h>

#include "daemon/cpu_usage.h"
#include "daemon/settings.h"
#include "decide/hand_back.h"
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
#include "loom/timer.h"
#include "loom/wait_share.h"
#include "loom/work_cost.h"
#include "loom/work_left.h"

struct cold;
struct config;
struct repeats;
struct statements;
struct tracer;
struct witnesses;
struct worker;

/* Metrics of calls; one series each. */
struct daemon_counters {
	struct loom_counter *requests; /* root requests, from callers */
	struct loom_counter
	    *nested; /* nested requests, from the own upstream */
	struct loom_counter *executed; /* sent to the own upstream */
	struct loom_counter *answered; /* complete answers */
	struct loom_counter *by_work; /* hosts chosen by work */
	struct loom_counter *truncated; /* truncated answers */
	struct loom_counter *disconnected; /* callers that disconnected early */
	struct loom_counter *retried; /* repeated on another host */
	struct loom_counter *probes;
	struct loom_counter *inflight; /* gauge */
	struct loom_counter *generation; /* gauge: of the manifest in force */
	/* gauge: calls a second to the cold upstream; 0 for no bound */
	struct loom_counter *start_bound;
	/* gauge: requests in 1000 s that the own upstream says it takes; 0: no
	 * bound */
	struct loom_counter *stated_rate;
	struct loom_counter *evacuated; /* gauge: hosts in the lists */
	/* gauges of the work at the own upstream (work.h) */
	struct loom_counter *work_wait;
	struct loom_counter *work_mean;
	struct loom_counter *work_pace;
	/* calls for which another host was better (hand_back.h) */
	struct loom_counter *handed_back; /* refused here */
	struct loom_counter *handed_on; /* sent from here to that host */
};

struct loom_daemon {
	struct daemon_settings settings; /* constant after the start */
	const struct loom_daemon_kind *kind; /* constant */
	const struct loom_dialect *dialect; /* constant */
	struct loom_self self; /* constant */
	struct loom_context_key context_key; /* constant */
	uint8_t fleet_secret[LOOM_FLEET_SECRET_SIZE]; /* constant */
	struct loom_calls *calls; /* any thread */
	struct loom_replay_set *replay; /* any thread */
	struct loom_tickets *tickets; /* any thread */
	struct loom_quarantine *quarantine; /* any thread */
	struct loom_rights_set *rights; /* any thread */
	atomic_bool rights_ready; /* the teams' rates can be used */
	uint64_t rights_wait_end_us; /* of the initial wait; control thread */
	/* control thread */
	struct loom_rights_summary
	    last_reported_rights[LOOM_RIGHTS_PARTITIONS_MAX];
	struct loom_retry *retry; /* any thread */
	struct loom_control *control; /* posting: any thread */
	struct loom_sender sender; /* for the control modules; constant */
	struct sockaddr_in upstream_address; /* constant */
	struct witnesses *witnesses; /* owned; any thread */
	/* guards wait_share, fanout, work_costs, work_left and hand_back */
	GMutex wait_lock;
	struct loom_wait_share wait_share;
	struct loom_fanout *fanout; /* owned */
	struct loom_work_costs *work_costs; /* owned */
	struct loom_work_left *work_left; /* owned */
	struct hand_back hand_back;
	/* as the upstream last reported it, and when; 0: never */
	atomic_uint pace_percent;
	atomic_uint_fast64_t pace_reported_us;
	/* when a reason to decide by work was last seen (work_known.h) */
	atomic_uint_fast64_t work_seen_us;
	/* when it last reported a free slot and no queue; 0: the last report
	 * had none */
	atomic_uint_fast64_t room_reported_us;
	GMutex admission_lock;
	struct loom_admission *admission; /* any thread */
	struct cold *cold; /* owned; any thread */
	struct repeats *repeats; /* owned; any thread */
	struct statements *statements; /* owned; any thread */
	struct daemon_counters counters; /* any thread */
	struct tracer *tracer; /* any thread */
	struct worker **workers; /* constant */
	uint32_t nworkers;
	atomic_bool shutting_down; /* not ready, but still serving */
	atomic_bool draining; /* callers are refused, peers informed */
	uint64_t drain_us; /* start; written before draining is set */
	/* then calls that have not ended are ended; written before that too */
	uint64_t drain_until_us;
	atomic_uint inflight; /* calls in progress, all workers */
	atomic_uint admitted; /* those of them that were admitted */
	struct config *config; /* ready and status: any thread */
	/* The rest is used by the main thread only. */
	struct tevent_context *ev;
	struct loom_timers *timers; /* owned, of ev */
	uint64_t exit_us; /* at the latest */
	bool calls_ended; /* calls were ended at drain_until_us */
	uint64_t connections_blocked_us; /* since when; 0: they are not */
	bool stopping;
	uint32_t last_reported_limit; /* as last logged (report.c) */
	bool was_shedding; /* as last logged */
	uint64_t last_report_us;
	uint64_t utilization_read_us; /* time of the last reading */
	double utilization; /* of the busiest worker */
	struct cpu_usage cpu_usage;
};

#endif
