#ifndef LOOM_CONTROL_RIGHTS_INTERNAL_H
#define LOOM_CONTROL_RIGHTS_INTERNAL_H

/*
 * Shared by the source files of the rights module.
 *
 * rights.c is the module's interface to the control thread; rights_take.c is
 * the workers' path; rights_parent.c chooses the pool above and rights_child.c
 * talks to it; rights_pool.c handles messages of the daemons below, and
 * rights_recall.c the pool's periodic work; rights_base.c computes the base
 * share, which is the same for every team.
 *
 * Fields marked (shard) are protected by the shard's lock; all others belong to
 * the control thread. A shard's lock is held for a few arithmetic operations,
 * never while a message is sent or a callback is called.
 */

#include <glib.h>
#include <stdatomic.h>

#include "decide/demand.h"
#include "decide/loan.h"
#include "decide/ownership.h"
#include "decide/pool_choice.h"
#include "decide/team_bucket.h"
#include "inner/rights_codec.h"
#include "loom/counter.h"
#include "loom/rights.h"

#define RIGHTS_SHARDS 64

/*
 * An unanswered request is repeated after RIGHTS_REQUEST_RETRY_US; one that
 * needs more than the previous one may be sent RIGHTS_REQUEST_GAP_US after it.
 * Both intervals grow with the pool's response time, the first up to
 * RIGHTS_REQUEST_RETRY_MAX_US and the second up to half of it. Without that, a
 * pool short of processor time received each request many times from all
 * daemons, and answered none in time.
 */
#define RIGHTS_REQUEST_RETRY_US UINT64_C(10000)
#define RIGHTS_REQUEST_GAP_US UINT64_C(1000)
#define RIGHTS_REQUEST_RETRY_MAX_US UINT64_C(200000)

/*
 * A pool counts as silent, and not merely slow, when nothing has come from it
 * for RIGHTS_LATE_RESPONSES response times, and after RIGHTS_SILENT_US in any
 * case: while a team is in use, the pool is sent a request at least every
 * LOOM_LOAN_RENEW_US.
 */
#define RIGHTS_LATE_RESPONSES 4
#define RIGHTS_SILENT_US UINT64_C(250000)

/* A daemon below this one. A restarted daemon is a new child. */
struct rights_child {
	struct loom_message_source from;
	gint number; /* key of its loans; counts this pool's children */
	uint64_t seq; /* of its last message; messages up to it are dropped */
	uint64_t child_now_us; /* the child's clock in that message */
	uint64_t received_us;
	uint64_t lend_parts;
	uint64_t lend_until_us;
	uint32_t stage;
	uint32_t nloans; /* entries in the teams' child_loans */
};

/* A loan of one team's share to one child. */
struct rights_child_loan {
	struct loom_lender_loan lender_loan;
	struct rights_child *child; /* borrowed */
	/* the child's tokens: last reported plus sent since */
	uint64_t held_utok;
	bool waiting; /* in team->waiting_children */
};

enum rights_waiter_state {
	RIGHTS_WAITER_QUEUED = 1,
	RIGHTS_WAITER_DONE,
};

struct rights_shard {
	GMutex lock;
	struct loom_base_share base; /* (shard) copy of rights->base */
	GHashTable *teams; /* (shard) by id */
};

/* Capacity reserved for tokens that are in transit to waiting calls. */
struct rights_transit {
	uint64_t parts;
	uint64_t until_us;
};

struct rights_team {
	uint64_t id;
	struct rights_shard *shard;
	struct loom_team_bucket bucket; /* (shard) */
	struct loom_demand demand; /* (shard) calls received here */
	struct loom_demand refused; /* (shard) */
	uint64_t requested_us; /* (shard) time of the open request; 0: none */
	uint64_t requested_utok; /* (shard) tokens that it requested */
	/* (shard) the pool said that it has no tokens until then */
	uint64_t no_tokens_until_us;
	/*
	 * (shard) tokens to give back to the pool, and when the first of them
	 * was taken
	 */
	uint64_t given_utok;
	uint64_t given_us;
	bool scarce; /* (shard) the pool gives no tokens in advance */
	bool plenty; /* (shard) the pool gives more tokens in advance */
	uint64_t called_us; /* (shard) time of the last call */
	struct loom_rights_waiter *first_waiter; /* (shard) */
	struct loom_rights_waiter **last_waiter; /* (shard) */
	uint32_t nwaiters; /* (shard) */
	/*
	 * In the list rights->dirty, to which workers add teams and which the
	 * control thread takes as a whole.
	 */
	atomic_bool dirty;
	struct rights_team *next_dirty;
	bool watched; /* in rights->watched */
	/* owned; rights_child_loan by the child's number */
	GHashTable *child_loans;
	/* (shard) owned; rights_transit in the order of until_us */
	GArray *transits;
	/* struct rights_child_loan, first come first served */
	GQueue waiting_children;
	double demand_below_per_s;
	/* last time that demand was not far below the rate */
	uint64_t near_rate_us;
	/* the pool above recalled tokens that children hold */
	bool recall_pending;
	uint64_t recalled_us;
	uint64_t recall_gap_us;
	uint64_t returned_utok; /* returned by children since the last recall */
};

/* A loan of the base share, that is of every team alike, to one pool. */
#define RIGHTS_BASE_LOANS_MAX 4
struct rights_base_loan {
	uint64_t host_id;
	/*
	 * What another incarnation of that host lent on is not with the current
	 * one; it stays with its borrowers.
	 */
	uint64_t incarnation;
	uint64_t parts;
	uint64_t until_us;
	/* an earlier, larger loan that may still be in use */
	uint64_t old_parts;
	uint64_t old_until_us;
};

struct rights_parent {
	uint64_t host_id; /* 0: none */
	uint64_t incarnation; /* 0: no message received yet */
	uint64_t now_us; /* its clock in its last message */
	uint64_t seq; /* of its last message */
	/* last message received; initially when it was chosen */
	uint64_t received_us;
	uint64_t sent_us; /* last message sent to it */
	uint64_t renewed_us; /* last renewal sent to it */
	/* newest clock of this daemon that it echoed */
	uint64_t newest_echo_us;
	uint64_t response_us; /* moving average of its response time */
	/* since when a response is overdue; 0: none is */
	uint64_t overdue_since_us;
	uint64_t lent_parts; /* what the last loan message lent */
	/* that loan had the duration used by idle daemons */
	bool lent_for_idle;
	/*
	 * If not 0, this parent gets no more loans and is replaced at that
	 * time.
	 */
	uint64_t leave_at_us;
};

struct rights_counters {
	struct loom_counter *refused;
	struct loom_counter *unknown;
	struct loom_counter *waited;
	struct loom_counter *given_back;
	struct loom_counter *up_messages;
	struct loom_counter *down_messages;
	struct loom_counter *bytes;
	struct loom_counter *malformed;
};

struct loom_rights {
	struct loom_self self;
	struct loom_sender sender;
	struct loom_random random;
	struct loom_rights_waker waker;
	struct loom_rights_settings settings;
	struct loom_manifest *manifest; /* one reference, or NULL */
	struct loom_hosts *hosts; /* one reference, or NULL */
	struct rights_shard shards[RIGHTS_SHARDS];
	/* owned; includes teams that are no longer declared */
	GPtrArray *teams;
	_Atomic(struct rights_team *) dirty;
	atomic_bool may_borrow; /* there is a pool above or a child below */
	atomic_uint shares; /* copy of own.shares for workers */
	/*
	 * The owned share is lent to a pool that lends nothing until then; 0:
	 * it is not.
	 */
	atomic_uint_fast64_t lent_elsewhere_until_us;
	/* copies of parent.host_id and parent.received_us for other threads */
	atomic_uint_fast64_t pool_host_id;
	atomic_uint_fast64_t pool_received_us;
	/* time of the control thread's last tick */
	atomic_uint_fast64_t clock_us;
	GPtrArray *watched; /* teams with calls waiting here or below */
	uint64_t seq;
	struct loom_ownership own;
	struct loom_base_share base;
	uint64_t own_parts;
	uint64_t pooled_parts; /* lent to this daemon and not about to expire */
	bool base_changed;
	/* part of the base share available for loans to children */
	uint64_t grantable_parts;
	uint64_t grantable_us; /* duration of such a loan */
	/* both are valid for loans sent before then */
	uint64_t grantable_until_us;
	struct rights_base_loan base_loans[RIGHTS_BASE_LOANS_MAX];
	struct loom_pool_choice choice;
	/* the children that `choice` took into account */
	struct loom_pool_children recent_children;
	struct rights_parent parent;
	/* host ids that did not answer; removed on a message */
	GHashTable *silent_hosts;
	uint64_t probed_us;
	GHashTable *children; /* owned; rights_child by host and incarnation */
	gint last_child;
	/* finished waiters whose callbacks are due */
	struct loom_rights_waiter *done;
	struct loom_rights_waiter **last_done;
	uint64_t renewed_us;
	uint64_t ticked_us;
	uint64_t surplus_checked_us;
	bool leaving;
	struct loom_rights_up up; /* being assembled */
	struct loom_rights_up up_read;
	struct loom_rights_down down; /* being assembled */
	struct loom_rights_down down_read;
	uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct rights_counters counters;
};

/* rights.c */
/* The message type of a kind of message in this partition. */
uint8_t rights_message_type(
    const struct loom_rights *, enum loom_rights_message);

/* rights_take.c */
struct rights_team *rights_team_locked(struct loom_rights *, uint64_t team_id);
void rights_unlock(struct rights_team *);
void rights_lock(struct rights_team *);
void rights_watch(struct loom_rights *, struct rights_team *);
/*
 * Gives tokens to waiting calls and ends waits whose time is over; both are
 * moved to *done. The shard must be locked.
 */
void rights_serve_waiters(struct loom_rights *, struct rights_team *,
    uint64_t now_us, struct loom_rights_waiter ***done);
/*
 * Likewise, with tokens that only calls waiting now may use; the rest is lost.
 */
void rights_serve_transit(struct rights_team *, uint64_t utok, uint64_t now_us,
    struct loom_rights_waiter ***done);
/* The number of calls waiting here for which the pool is sent a request. */
uint32_t rights_waiters_to_request_for(
    const struct loom_rights *, const struct rights_team *, uint64_t now_us);
void rights_call_waiters(struct loom_rights_waiter *done);

/* rights_base.c */
void rights_refresh_base(struct loom_rights *, uint64_t now_us);
/*
 * Recomputes the base share if the last computation is too old to lend from it.
 * Must be called before a shard is locked.
 */
void rights_refresh_if_stale(struct loom_rights *, uint64_t now_us);
/* Lends to the parent what can be spared, records it as lent and returns it. */
uint64_t rights_lend_up(
    struct loom_rights *, uint64_t duration_us, uint64_t now_us);
/* What rights_lend_up() would lend. */
uint64_t rights_lendable_up(
    struct loom_rights *, uint64_t duration_us, uint64_t now_us);
/* When the last base loan to a pool ends; 0 for none. */
uint64_t rights_lent_until_us(const struct loom_rights *, uint64_t host_id);
/*
 * When the last base loan to a pool other than the responding parent ends, plus
 * the time to lend the share anew; 0 for none.
 */
uint64_t rights_lent_elsewhere_until_us(
    const struct loom_rights *, uint64_t now_us);
uint64_t rights_lent_up(const struct loom_rights *, uint64_t now_us);

/* rights_parent.c */
void rights_choose_parent(struct loom_rights *, uint64_t now_us);
void rights_check_parent(struct loom_rights *, uint64_t now_us);
/*
 * Handles a change of this daemon's place in the tree after a child's message.
 */
void rights_note_child(
    struct loom_rights *, const struct rights_child *, uint64_t now_us);
bool rights_pool_responds(const struct loom_rights *, uint64_t now_us);
/* Excludes a host from the choice until a message comes from it. */
void rights_set_silent(struct loom_rights *, uint64_t host_id);

/* rights_child.c */
/* Sends the message being assembled. */
void rights_send_up(struct loom_rights *, uint64_t host_id, uint64_t now_us);
/* Renews the loans if a renewal is due; called every LOOM_LOAN_RENEW_US. */
void rights_renew(struct loom_rights *, uint64_t now_us);
/* Adds a request to the message being assembled. The shard must be locked. */
void rights_add_request(
    struct loom_rights *, struct rights_team *, uint64_t now_us);
bool rights_may_request(
    const struct loom_rights *, const struct rights_team *, uint64_t now_us);
void rights_flush_up(struct loom_rights *, uint64_t now_us);
void rights_receive_down(struct loom_rights *,
    const struct loom_message_source *, const uint8_t *payload, size_t len,
    uint64_t now_us);

/* rights_pool.c */
void rights_receive_up(struct loom_rights *, const struct loom_message_source *,
    const uint8_t *payload, size_t len, uint64_t now_us);
void rights_serve_children(
    struct loom_rights *, struct rights_team *, uint64_t now_us);
/*
 * Starts a message to a child. Its sequence number is also that of its grants.
 */
void rights_start_down(struct loom_rights *);
struct loom_rights_down_entry *rights_add_entry(
    struct loom_rights *, const struct rights_team *);
void rights_send_down(
    struct loom_rights *, struct rights_child *, uint64_t now_us);
/*
 * Decides a loan and adds the grant to the message being assembled. The shard
 * must be locked here and for the next three functions.
 */
void rights_grant(struct loom_rights *, struct rights_team *,
    struct rights_child_loan *, uint64_t prefetch_utok, uint64_t now_us);
void rights_end_transits(struct rights_team *, uint64_t now_us);
void rights_update_lent(struct rights_team *, const struct loom_share *old,
    const struct loom_share *new);
void rights_stop_waiting(struct rights_team *, struct rights_child_loan *);
/* Whether the demand is far above the rate; root of the tree only. */
bool rights_is_over_rate(const struct rights_team *, uint64_t now_us);
/* Whether the demand has been far below the rate for a while. */
bool rights_is_under_rate(struct rights_team *, uint64_t now_us);

/* rights_recall.c */
void rights_recall(struct loom_rights *, struct rights_team *, uint64_t now_us);
bool rights_recall_allowed(const struct rights_team *, uint64_t now_us);
/* Gives tokens that would overflow here to borrowers with free capacity. */
void rights_push_surplus(struct loom_rights *, uint64_t now_us);
void rights_expire_loans(struct loom_rights *, uint64_t now_us);
void rights_announce_leaving(struct loom_rights *, uint64_t now_us);

/* Microtokens that children wait for. The shard must be locked. */
uint64_t rights_children_need(const struct rights_team *);

#endif
