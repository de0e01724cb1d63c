/*
 * Which services lie below another is learned from answers: an executor names
 * those that its upstream's own calls met, and those that were named to it.
 * So news of the narrowest service climbs a chain of any depth, one answer a
 * hop, without a declared call graph and without a mark on the calls, which
 * upstreams do not pass on.
 */

#include <string.h>

#include "daemon/cuts.h"
#include "daemon/keep.h"
#include "loom/keep.h"

/* How long a service that was met counts as one that lies below. */
#define BELOW_US (60 * LOOM_US_PER_S)
/* Services below one; a header of them takes 1.4 KB at most. */
#define BELOW_MAX 64
#define PER_THOUSAND 1000.0

/* The services met below one service, or below the own upstream. */
struct below {
	uint64_t service_id; /* of the one above */
	uint64_t ids[BELOW_MAX];
	uint64_t met_us[BELOW_MAX];
	uint32_t n;
};

static struct below *
below_of(struct worker *worker, uint64_t service_id)
{
	struct below *below =
	    g_hash_table_lookup(worker->below, &service_id);

	if (below != NULL)
		return below;
	below = talloc_zero(worker, struct below);
	below->service_id = service_id;
	g_hash_table_insert(worker->below, &below->service_id, below);
	return below;
}

static void
note_below(struct below *below, uint64_t id, uint64_t now_us)
{
	uint32_t i, oldest = 0;

	for (i = 0; i < below->n && below->ids[i] != id; i++) {
		if (below->met_us[i] < below->met_us[oldest])
			oldest = i;
	}
	if (i == below->n) {
		if (below->n < BELOW_MAX)
			below->n++;
		else
			i = oldest;
	}
	below->ids[i] = id;
	below->met_us[i] = now_us;
}

static void
append(GString *text, uint64_t service_id, double share)
{
	if (share >= 1.0)
		return;
	g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x:%x",
	    text->len > 0 ? "," : "", service_id,
	    (unsigned)(share * PER_THOUSAND));
}

char *
keep_format(const struct call *call)
{
	struct worker *worker = call->worker;
	const struct loom_daemon *daemon = worker->daemon;
	const uint64_t now_us = loom_now_us();
	const struct below *below;
	GString *text = g_string_new(NULL);
	uint32_t i;

	append(text, daemon->self.service_id,
	    loom_admission_keep(daemon->admission));
	below = below_of(worker, daemon->self.service_id);
	for (i = 0; i < below->n; i++) {
		if (below->ids[i] != daemon->self.service_id &&
		    now_us - below->met_us[i] < BELOW_US)
			append(text, below->ids[i],
			    loom_keep_share(
				worker->keep, below->ids[i], now_us));
	}
	return g_string_free(text, text->len == 0);
}

/* A call of the own upstream tells what lies below the own service, a root
 * request what lies below the one that it was sent to. */
static struct below *
above(const struct call *call)
{
	struct worker *worker = call->worker;

	if (call->is_inner)
		return below_of(worker, worker->daemon->self.service_id);
	return below_of(worker, call->service->id);
}

void
keep_learn(const struct call *call, const char *text)
{
	struct below *below = above(call);
	const uint64_t now_us = loom_now_us();
	uint64_t service_id;
	double share;
	char *end;

	if (call->is_inner)
		note_below(below, call->service->id, now_us);
	while (text != NULL && *text != '\0') {
		service_id = g_ascii_strtoull(text, &end, 16);
		if (end == text || *end != ':')
			return;
		text = end + 1;
		share = (double)g_ascii_strtoull(text, &end, 16) / PER_THOUSAND;
		if (end == text)
			return;
		note_below(below, service_id, now_us);
		loom_keep_note(call->worker->keep, service_id, share, now_us);
		text = *end == ',' ? end + 1 : end;
	}
}

bool
keep_check(const struct call *call, uint64_t now_us)
{
	struct worker *worker = call->worker;
	const struct below *below;
	bool pass = true;
	uint32_t i;

	below = g_hash_table_lookup(worker->below, &call->service->id);
	for (i = 0; below != NULL && i < below->n; i++) {
		if (below->ids[i] == call->service->id ||
		    now_us - below->met_us[i] >= BELOW_US)
			continue;
		/* each counts what is offered, whichever refuses */
		pass &= loom_keep_pass(
		    worker->keep, below->ids[i], cuts_rank(call), now_us);
	}
	return pass;
}
