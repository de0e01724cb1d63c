#ifndef LOOM_CONTROL_RIGHTS_INTERNAL_H
#define LOOM_CONTROL_RIGHTS_INTERNAL_H

/*
 * What the files of the rights part share.
 *
 * rights.c joins the part; rights_take.c is the workers' path; rights_parent.c
 * chooses the pool above and rights_child.c speaks to it; rights_pool.c serves
 * the daemons below, with rights_recall.c between their messages; rights_base.c
 * keeps the part of every team that this daemon holds.
 *
 * Fields marked (shard) are under the shard's lock; all others belong to the
 * control thread.  A shard's lock is held for a few arithmetic steps, never
 * while a message is sent or a callback is made.
 */

#include <glib.h>
#include <stdatomic.h>

#include "decide/demand.h"
#include "decide/holding.h"
#include "decide/loan.h"
#include "decide/ownership.h"
#include "decide/pool_choice.h"
#include "inner/codec_rights.h"
#include "loom/counter.h"
#include "loom/rights.h"

#define RIGHTS_SHARDS 64

/*
 * An unanswered question is asked again after this; one that names more than
 * the last may go out sooner.  Both grow with the time that the pool takes to
 * answer: a pool that is short of processor time got each question many times,
 * from all daemons, and came to answer none in time.
 */
#define RIGHTS_REQUEST_RETRY_US UINT64_C(10000)
#define RIGHTS_REQUEST_GAP_US UINT64_C(1000)
#define RIGHTS_REQUEST_RETRY_MAX_US UINT64_C(200000)

/* A pool is silent, and not merely behind, when nothing has come from it for
 * some of the times that it takes to answer, and after the second in any case:
 * with a team in use it is asked each LOOM_LOAN_RENEW_US at least. */
#define RIGHTS_LATE_RESPONSES 4
#define RIGHTS_SILENT_US UINT64_C(250000)

/* A daemon below this one, in one of its incarnations. */
struct rights_child {
	struct loom_from from;
	gint number; /* of this pool's children, in the order they came */
	uint64_t seq; /* of its last message; older ones are dropped */
	uint64_t child_now_us; /* its clock in that message */
	uint64_t received_us;
	uint64_t lend_parts;
	uint64_t lend_until_us;
	uint32_t stage;
	uint32_t nloans; /* entries in teams' child_loans */
};

/* A loan to one child. */
struct rights_child_loan {
	struct loom_lender_loan lender_loan;
	struct rights_child *child; /* borrowed */
	uint64_t held_utok; /* its tokens as last reported, and sent since */
	bool waiting; /* stands in team->waiting_children */
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

/* Capacity of tokens on their way to calls that wait. */
struct rights_transit {
	uint64_t parts;
	uint64_t until_us;
};

struct rights_team {
	uint64_t id;
	struct rights_shard *shard;
	struct loom_team_bucket bucket; /* (shard) */
	struct loom_demand demand; /* (shard) calls that came here */
	struct loom_demand refused; /* (shard) */
	uint64_t requested_us; /* (shard) a question is open since; 0: none */
	uint64_t requested_utok; /* (shard) what it named as missing */
	uint64_t
	    no_tokens_until_us; /* (shard) the pool has nothing till then */
	bool scarce; /* (shard) the pool gives nothing ahead */
	bool plenty; /* (shard) the pool gives more ahead */
	uint64_t called_us; /* (shard) the last call */
	struct loom_rights_waiter *first_waiter; /* (shard) */
	struct loom_rights_waiter **last_waiter; /* (shard) */
	uint32_t nwaiters; /* (shard) */
	/* workers put teams on rights->dirty, the control thread takes all */
	atomic_bool dirty;
	struct rights_team *next_dirty;
	bool watched; /* stands in rights->watched */
	GHashTable *child_loans; /* owned, by the child's number */
	GArray *transits; /* (shard) owned, in the order of their ends */
	GQueue
	    waiting_children; /* of struct rights_child_loan, in their order */
	double demand_below_per_s;
	uint64_t near_rate_us; /* last time that calls were not far under it */
	bool recall_pending; /* the pool above needs what children hold */
	uint64_t recalled_us;
	uint64_t recall_gap_us;
	uint64_t returned_utok; /* since the last recall */
};

/* What was lent to one pool of every team. */
#define RIGHTS_BASE_LOANS_MAX 4
struct rights_base_loan {
	uint64_t host_id;
	uint64_t incarnation; /* what another base_loans on stays with its
				 borrowers */
	uint64_t parts;
	uint64_t until_us;
	/* a larger earlier one that may still be in use */
	uint64_t old_parts;
	uint64_t old_until_us;
};

struct rights_parent {
	uint64_t host_id; /* 0: none */
	uint64_t incarnation; /* 0: not heard yet */
	uint64_t now_us; /* its clock when it last spoke */
	uint64_t seq; /* of its last message */
	uint64_t received_us; /* or when it was chosen */
	uint64_t sent_us; /* the last message to it */
	uint64_t renewed_us; /* the last renewal */
	uint64_t newest_echo_us; /* this daemon's time in its newest answer */
	uint64_t response_us; /* it takes to answer, smoothed */
	uint64_t
	    overdue_since_us; /* since when it owes an answer; 0: it does not */
	uint64_t lent_parts; /* by the last message that lent */
	bool lent_for_idle; /* that was for an idle daemon's time */
	uint64_t leave_at_us; /* not 0: nothing more is lent to it, and another
			       * is chosen then */
};

struct rights_counters {
	struct loom_counter *refused;
	struct loom_counter *unknown;
	struct loom_counter *waited;
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
	struct loom_manifest *manifest; /* counted, or NULL */
	struct loom_hosts *hosts; /* counted, or NULL */
	struct rights_shard shards[RIGHTS_SHARDS];
	GPtrArray *teams; /* owned: all, also those no longer declared */
	_Atomic(struct rights_team *) dirty;
	atomic_bool may_borrow; /* there is a pool above or a child below */
	atomic_uint shares; /* copy of own.shares for workers */
	/* own parts are with a pool that base_loans nothing until then; 0: none
	 */
	atomic_uint_fast64_t lent_elsewhere_until_us;
	/* copies of the parent's, for what is logged on other threads */
	atomic_uint_fast64_t pool_host_id;
	atomic_uint_fast64_t pool_heard_us;
	atomic_uint_fast64_t clock_us; /* the control thread's last time */
	GPtrArray *watched; /* teams with calls that wait here or below */
	uint64_t seq;
	struct loom_ownership own;
	struct loom_base_share base;
	uint64_t own_parts;
	uint64_t pooled_parts; /* lent to this daemon, safely running */
	bool base_changed;
	uint64_t grantable_parts; /* of the base, for a loan down */
	uint64_t grantable_us; /* how long that loan may run */
	uint64_t grantable_until_us; /* computed for loans sent till then */
	struct rights_base_loan base_loans[RIGHTS_BASE_LOANS_MAX];
	struct loom_pool_choice choice;
	struct loom_pool_children recent_children; /* what the choice went by */
	struct rights_parent parent;
	GHashTable *silent_hosts; /* hosts that did not answer, until they do */
	uint64_t probed_us;
	GHashTable *children; /* owned, by host and incarnation */
	gint last_child;
	struct loom_rights_waiter *done; /* to be called back */
	struct loom_rights_waiter **last_done;
	uint64_t renewed_us;
	uint64_t ticked_us;
	uint64_t surplus_checked_us;
	bool leaving;
	struct loom_rights_up up; /* being filled */
	struct loom_rights_up up_read;
	struct loom_rights_down down; /* being filled */
	struct loom_rights_down down_read;
	uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct rights_counters counters;
};

/* rights.c */
/* The number of this partition's messages of a kind. */
uint8_t rights_message_type(
    const struct loom_rights *, enum loom_rights_message);

/* rights_take.c */
struct rights_team *rights_team_locked(struct loom_rights *, uint64_t team_id);
void rights_unlock(struct rights_team *);
void rights_lock(struct rights_team *);
void rights_watch(struct loom_rights *, struct rights_team *);
/* Give tokens to calls that wait and end those whose time is over; they are
 * moved to *done.  The shard is locked. */
void rights_serve_waiters(struct loom_rights *, struct rights_team *,
    uint64_t now_us, struct loom_rights_waiter ***done);
/* The same, with tokens that are only for calls that wait now. */
void rights_serve_transit(struct rights_team *, uint64_t utok, uint64_t now_us,
    struct loom_rights_waiter ***done);
/* Calls that wait here and for which the pool is asked. */
uint32_t rights_waiters_to_request_for(
    const struct loom_rights *, const struct rights_team *, uint64_t now_us);
void rights_call_waiters(struct loom_rights_waiter *done);

/* rights_base.c */
void rights_refresh_base(struct loom_rights *, uint64_t now_us);
/* Compute the base again if that was too long ago to lend from it; to be
 * called before a shard is locked. */
void rights_refresh_if_stale(struct loom_rights *, uint64_t now_us);
/* Lend to the parent what can be spared, and count it as lent. */
uint64_t rights_lend_up(
    struct loom_rights *, uint64_t duration_us, uint64_t now_us);
/* What that would lend. */
uint64_t rights_lendable_up(
    struct loom_rights *, uint64_t duration_us, uint64_t now_us);
/* The end of what was lent to a pool, 0 for nothing. */
uint64_t rights_lent_until_us(const struct loom_rights *, uint64_t host_id);
/* The last end of what was lent to other pools than the one that answers. */
uint64_t rights_lent_elsewhere_until_us(
    const struct loom_rights *, uint64_t now_us);
uint64_t rights_lent_up(const struct loom_rights *, uint64_t now_us);

/* rights_parent.c */
void rights_choose_parent(struct loom_rights *, uint64_t now_us);
void rights_check_parent(struct loom_rights *, uint64_t now_us);
/* A child spoke: it may change this daemon's own place. */
void rights_note_child(
    struct loom_rights *, const struct rights_child *, uint64_t now_us);
bool rights_pool_responds(const struct loom_rights *, uint64_t now_us);
/* Do not choose this host until it is heard again. */
void rights_set_silent(struct loom_rights *, uint64_t host_id);

/* rights_child.c */
/* Send the message being filled. */
void rights_send_up(struct loom_rights *, uint64_t host_id, uint64_t now_us);
/* Renew the loans, if it is time; called each LOOM_LOAN_RENEW_US. */
void rights_renew(struct loom_rights *, uint64_t now_us);
/* Put a question on the message being filled.  The shard is locked. */
void rights_add_request(
    struct loom_rights *, struct rights_team *, uint64_t now_us);
bool rights_may_request(
    const struct loom_rights *, const struct rights_team *, uint64_t now_us);
void rights_flush_up(struct loom_rights *, uint64_t now_us);
void rights_receive_down(struct loom_rights *, const struct loom_from *,
    const uint8_t *payload, size_t len, uint64_t now_us);

/* rights_pool.c */
void rights_receive_up(struct loom_rights *, const struct loom_from *,
    const uint8_t *payload, size_t len, uint64_t now_us);
void rights_serve_children(
    struct loom_rights *, struct rights_team *, uint64_t now_us);
/* Begin a message; its number is also that of the grants in it. */
void rights_start_down(struct loom_rights *);
struct loom_rights_down_entry *rights_add_entry(
    struct loom_rights *, const struct rights_team *);
void rights_send_down(
    struct loom_rights *, struct rights_child *, uint64_t now_us);
/* Decide a loan and put it on the message.  The shard is locked, here and
 * for the next three. */
void rights_grant(struct loom_rights *, struct rights_team *,
    struct rights_child_loan *, uint64_t ahead_utok, uint64_t now_us);
void rights_end_transits(struct rights_team *, uint64_t now_us);
void rights_update_lent(struct rights_team *, const struct loom_share *old,
    const struct loom_share *new);
void rights_stop_waiting(struct rights_team *, struct rights_child_loan *);
/* Far more calls come than the rate lets in; topmost pool only. */
bool rights_is_over_rate(const struct rights_team *, uint64_t now_us);
/* Far fewer, and for a while. */
bool rights_is_under_rate(struct rights_team *, uint64_t now_us);

/* rights_recall.c */
void rights_recall(struct loom_rights *, struct rights_team *, uint64_t now_us);
bool rights_recall_allowed(const struct rights_team *, uint64_t now_us);
/* Give tokens that would overflow here to borrowers that have room. */
void rights_push_surplus(struct loom_rights *, uint64_t now_us);
void rights_expire_loans(struct loom_rights *, uint64_t now_us);
void rights_announce_leaving(struct loom_rights *, uint64_t now_us);

/* Microtokens that children wait for; the shard is locked. */
uint64_t rights_children_need(const struct rights_team *);

#endif
