/*
 * Counts the calls that reach the own upstream, offers those again that it
 * rejected, and bounds the load that entries admit by what can be repeated.
 *
 * A run that is itself a repeat makes the calls of its chain, which the budgets
 * of the services below do not know as repeats.  So only calls whose runs make
 * no calls are offered again.
 */

#include <string.h>

#include "daemon/headers.h"
#include "daemon/repeats.h"
#include "daemon/work.h"
#include "decide/repeat_budget.h"
#include "loom/log.h"

/* The upstream counts as rejecting calls for this long after a rejected call
 * that could be offered again. */
#define REJECTS_US (2 * LOOM_US_PER_S)

/* Of an upstream that takes no call at the moment; other statuses that promise
 * "not run" mean that the call is wrong there. */
#define REJECTED_STATUS 503

#define PER_THOUSAND 1000

struct repeats {
	struct loom_daemon *daemon; /* borrowed */
	bool enabled; /* constant */
	GMutex lock; /* guards all below */
	struct loom_repeat_budget budget;
	struct loom_acceptance acceptance;
	struct loom_nested_rate nested;
	uint64_t rejected_us; /* the last such call; 0: none */
	bool logged_rejecting; /* as last logged */
	struct loom_counter *repeated;
	struct loom_counter *without_budget;
	struct loom_counter *used_up; /* the offers of a call */
	struct loom_counter *retries_refused;
	struct loom_counter *acceptance_gauge; /* in thousandths */
	struct loom_counter *share_gauge; /* in thousandths */
};

static int
repeats_destructor(struct repeats *repeats)
{
	g_mutex_clear(&repeats->lock);
	return 0;
}

static void
create_counters(struct repeats *repeats)
{
	static const char help[] =
	    "Calls that the own upstream rejected, by what followed.";
	static const char name[] = "loom_upstream_rejected_total";

	repeats->repeated = loom_counter(name, "then=\"offered again\"", help);
	repeats->without_budget =
	    loom_counter(name, "then=\"no budget\"", help);
	repeats->used_up = loom_counter(name, "then=\"last offer\"", help);
	repeats->retries_refused = loom_counter("loom_retries_refused_total",
	    NULL, "Calls of other hosts refused since the budget is used up.");
	repeats->acceptance_gauge = loom_gauge("loom_upstream_acceptance", NULL,
	    "Thousandths of the calls that the own upstream accepts.");
	repeats->share_gauge = loom_gauge("loom_repeat_share", NULL,
	    "Thousandths of the load that the budget of repeats can carry.");
}

struct repeats *
repeats_new(struct loom_daemon *daemon)
{
	const struct daemon_settings *settings = &daemon->settings;
	struct repeats *repeats = talloc_zero(daemon, struct repeats);

	if (repeats == NULL)
		return NULL;
	repeats->daemon = daemon;
	repeats->enabled = settings->repeat_ratio > 0;
	g_mutex_init(&repeats->lock);
	talloc_set_destructor(repeats, repeats_destructor);
	loom_repeat_budget_init(&repeats->budget, settings->repeat_ratio,
	    (uint64_t)(settings->repeat_window_s * (double)LOOM_US_PER_S),
	    loom_now_us());
	create_counters(repeats);
	return repeats;
}

static bool
is_active(const struct repeats *repeats)
{
	return repeats->enabled && work_is_known(repeats->daemon);
}

static bool
was_sent_before(const struct call *call)
{
	const char *text;

	if (call->origin != CALL_ORIGIN_PEER)
		return call->ntried - call->nnot_sent >= 2;
	text = loom_exchange_header(call->exchange, HEADER_ATTEMPT);
	return text != NULL && g_ascii_strtoull(text, NULL, 10) >= 2;
}

bool
repeats_admit_retry(struct call *call)
{
	struct repeats *repeats = call->worker->daemon->repeats;
	bool exhausted;

	call->offers = 0;
	call->is_retry = repeats->enabled && was_sent_before(call);
	if (!call->is_retry || !is_active(repeats))
		return true;
	g_mutex_lock(&repeats->lock);
	exhausted =
	    loom_repeat_budget_is_exhausted(&repeats->budget, loom_now_us());
	g_mutex_unlock(&repeats->lock);
	if (exhausted)
		loom_counter_add(repeats->retries_refused, 1);
	return !exhausted;
}

/* Repeats at this upstream are counted when they are decided on. */
void
repeats_note_sent(struct call *call)
{
	struct repeats *repeats = call->worker->daemon->repeats;

	if (!repeats->enabled || call->offers++ > 0)
		return;
	g_mutex_lock(&repeats->lock);
	loom_nested_rate_note_sent(&repeats->nested, loom_now_us());
	if (call->is_retry)
		loom_repeat_budget_note_repeat(&repeats->budget, loom_now_us());
	else
		loom_repeat_budget_note_first(&repeats->budget, loom_now_us());
	g_mutex_unlock(&repeats->lock);
}

void
repeats_note_nested(struct loom_daemon *daemon)
{
	struct repeats *repeats = daemon->repeats;

	if (!repeats->enabled)
		return;
	g_mutex_lock(&repeats->lock);
	loom_nested_rate_note_nested(&repeats->nested, loom_now_us());
	g_mutex_unlock(&repeats->lock);
}

void
repeats_note_answer(const struct call *call)
{
	struct repeats *repeats = call->worker->daemon->repeats;

	if (!is_active(repeats))
		return;
	g_mutex_lock(&repeats->lock);
	loom_acceptance_note(&repeats->acceptance,
	    call->answer_kind != LOOM_ANSWER_NOT_RUN, loom_now_us());
	g_mutex_unlock(&repeats->lock);
}

/*
 * Whether the run of the call may make calls to other services: its route
 * declares some, or the upstream's runs make any.  Which routes make them is an
 * estimate (loom/fanout.h), and not certain enough for this.  The lock is held.
 */
static bool
may_make_calls(
    const struct repeats *repeats, const struct call *call, uint64_t now_us)
{
	return call->route->ncalls > 0 ||
	    loom_nested_rate_may_nest(&repeats->nested, now_us);
}

static bool
is_cold(const struct loom_daemon *daemon, uint64_t now_us)
{
	return loom_admission_start_bound(daemon->admission, now_us) > 0;
}

/*
 * With a nested call the rest of its request is lost.  One without a context is
 * critical, as is a request that was admitted by a share; one with a context
 * comes from further away than the entry.
 */
static bool
has_priority(const struct call *call)
{
	return call_importance(call) == LOOM_CRITICAL || call->has_parent ||
	    call->context.hops > 1;
}

/* Takes a repeat from the budget.  The lock is held. */
static enum loom_reoffer_verdict
take_repeat(struct repeats *repeats, const struct call *call, uint64_t now_us)
{
	if (!loom_repeat_budget_is_ahead(&repeats->budget, now_us) &&
	    loom_repeat_budget_take(
		&repeats->budget, has_priority(call), now_us)) {
		loom_counter_add(repeats->repeated, 1);
		return LOOM_REOFFER_AGAIN;
	}
	loom_counter_add(repeats->without_budget, 1);
	return LOOM_REOFFER_ELSEWHERE;
}

enum loom_reoffer_verdict
repeats_decide(const struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;
	struct repeats *repeats = daemon->repeats;
	const uint64_t now_us = loom_now_us();
	struct loom_rejected_call rejected = {
		.offers = call->offers,
		.body_available = call->body_buffered && call->body_ended &&
		    !call->exchange_ended,
		.is_bounded_otherwise =
		    loom_fetch_status(call->fetch) != REJECTED_STATUS ||
		    is_cold(daemon, now_us) || !work_has_room(daemon),
	};
	enum loom_reoffer_verdict verdict;

	if (!is_active(repeats))
		return LOOM_REOFFER_ELSEWHERE;
	rejected.has_time = loom_admission_can_finish(daemon->admission,
	    &call->waiting, now_us + LOOM_REOFFER_PAUSE_MAX_US);
	g_mutex_lock(&repeats->lock);
	rejected.is_bounded_otherwise |= may_make_calls(repeats, call, now_us);
	rejected.acceptance =
	    loom_acceptance_share(&repeats->acceptance, now_us);
	verdict = loom_reoffer_decide(&rejected);
	if (verdict != LOOM_REOFFER_ELSEWHERE)
		repeats->rejected_us = now_us;
	if (verdict == LOOM_REOFFER_AGAIN)
		verdict = take_repeat(repeats, call, now_us);
	else if (verdict == LOOM_REOFFER_END)
		loom_counter_add(repeats->used_up, 1);
	g_mutex_unlock(&repeats->lock);
	return verdict;
}

/* Logs when the upstream begins to reject calls, and when that has ended.  The
 * lock is held. */
static void
log_change(
    struct repeats *repeats, bool rejecting, double acceptance, double share)
{
	if (rejecting == repeats->logged_rejecting)
		return;
	repeats->logged_rejecting = rejecting;
	if (rejecting)
		loom_log(LOOM_LOG_INFO, "repeats", LOOM_OK,
		    "the upstream rejects calls: accepts %.2f, the budget of "
		    "repeats carries %.2f of the load",
		    acceptance, share);
	else
		loom_log(LOOM_LOG_INFO, "repeats", LOOM_OK,
		    "the upstream rejects no more calls");
}

void
repeats_tick(struct repeats *repeats)
{
	const uint64_t now_us = loom_now_us();
	double acceptance, share = 1;
	bool rejecting;

	if (!repeats->enabled)
		return;
	g_mutex_lock(&repeats->lock);
	acceptance = loom_acceptance_share(&repeats->acceptance, now_us);
	rejecting = is_active(repeats) && repeats->rejected_us != 0 &&
	    now_us < repeats->rejected_us + REJECTS_US;
	if (rejecting && !loom_acceptance_is_hopeless(acceptance))
		share = loom_repeat_budget_share(
		    &repeats->budget, acceptance, now_us);
	log_change(repeats, rejecting, acceptance, share);
	g_mutex_unlock(&repeats->lock);
	loom_gauge_set(
	    repeats->acceptance_gauge, (int64_t)(acceptance * PER_THOUSAND));
	loom_gauge_set(repeats->share_gauge, (int64_t)(share * PER_THOUSAND));
	loom_admission_set_chain_share(repeats->daemon->admission, share);
}
