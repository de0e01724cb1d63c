/*
 * Statements of the own upstream; see the header.
 */

#include "daemon/statements.h"
#include "daemon/headers.h"
#include "decide/stated_leaving.h"
#include "decide/stated_rate.h"
#include "loom/log.h"

/* The rate in force, for any thread, is kept in thousandths. */
#define RATE_UNIT 1000.0

struct statements {
	struct loom_daemon *daemon; /* borrowed */
	GMutex lock; /* guards rate */
	struct stated_rate rate;
	atomic_uint rate_thousandths;
	atomic_uint_fast64_t leaving_us; /* since when; 0: it does not */
};

static int
statements_destructor(struct statements *statements)
{
	g_mutex_clear(&statements->lock);
	return 0;
}

struct statements *
statements_new(struct loom_daemon *daemon)
{
	struct statements *statements = talloc_zero(daemon, struct statements);

	if (statements == NULL)
		return NULL;
	statements->daemon = daemon;
	g_mutex_init(&statements->lock);
	talloc_set_destructor(statements, statements_destructor);
	return statements;
}

/* Puts a changed rate into force.  The lock is held. */
static void
apply_rate(struct statements *statements, uint64_t now_us)
{
	const struct loom_daemon *daemon = statements->daemon;
	const double per_s = statements->rate.per_s;
	const unsigned thousandths = (unsigned)(per_s * RATE_UNIT);
	const unsigned before =
	    atomic_exchange(&statements->rate_thousandths, thousandths);

	if (before == thousandths)
		return;
	loom_admission_set_rate(daemon->admission, per_s, now_us);
	loom_gauge_set(daemon->counters.stated_rate, thousandths);
	if (thousandths == 0)
		loom_log(LOOM_LOG_INFO, "upstream", LOOM_OK,
		    "the upstream states no rate any more");
	else if (before == 0)
		loom_log(LOOM_LOG_INFO, "upstream", LOOM_OK,
		    "the upstream takes %.1f requests a second%s", per_s,
		    statements->rate.source == STATED_RATE_FROM_PEER
			? ", as a peer was told"
			: "");
}

static void
note_leaving(struct statements *statements, uint64_t now_us)
{
	uint_fast64_t before = atomic_load(&statements->leaving_us);

	if (!stated_leaving_holds(before, now_us) &&
	    atomic_compare_exchange_strong(
		&statements->leaving_us, &before, now_us))
		loom_log(LOOM_LOG_INFO, "upstream", LOOM_OK,
		    "the upstream says that it leaves");
}

static bool
is_stated(const struct statements *statements)
{
	return statements->rate.per_s > 0 ||
	    statements->rate.source != STATED_RATE_FROM_UPSTREAM;
}

void
statements_note_answer(const struct call *call)
{
	struct loom_daemon *daemon = call->worker->daemon;
	struct statements *statements = daemon->statements;
	const struct loom_dialect *dialect = daemon->dialect;
	const char *rate = loom_fetch_header(call->fetch, dialect->rate_header);
	const uint64_t now_us = loom_now_us();

	if (stated_leaving_parse(
		loom_fetch_header(call->fetch, dialect->leaving_header)))
		note_leaving(statements, now_us);
	g_mutex_lock(&statements->lock);
	if (rate != NULL || is_stated(statements)) {
		stated_rate_note_answer(&statements->rate, rate, now_us);
		apply_rate(statements, now_us);
	}
	g_mutex_unlock(&statements->lock);
}

void
statements_note_call(const struct call *call)
{
	struct statements *statements = call->worker->daemon->statements;
	const char *text = loom_exchange_header(call->exchange, HEADER_RATE);
	double per_s;

	if (call->origin != CALL_ORIGIN_PEER || text == NULL ||
	    !stated_rate_parse(text, &per_s))
		return;
	g_mutex_lock(&statements->lock);
	stated_rate_note_peer(&statements->rate, per_s);
	apply_rate(statements, loom_now_us());
	g_mutex_unlock(&statements->lock);
}

void
statements_forget(struct loom_daemon *daemon)
{
	struct statements *statements = daemon->statements;

	atomic_store(&statements->leaving_us, 0);
	g_mutex_lock(&statements->lock);
	statements->rate = (struct stated_rate){ 0 };
	apply_rate(statements, loom_now_us());
	g_mutex_unlock(&statements->lock);
}

double
statements_rate(const struct loom_daemon *daemon)
{
	return atomic_load(&daemon->statements->rate_thousandths) / RATE_UNIT;
}

bool
statements_is_leaving(const struct loom_daemon *daemon)
{
	return stated_leaving_holds(
	    atomic_load(&daemon->statements->leaving_us), loom_now_us());
}

bool
statements_accepts(const struct loom_daemon *daemon, uint64_t now_us)
{
	return stated_leaving_accepts(
	    atomic_load(&daemon->statements->leaving_us), now_us);
}
