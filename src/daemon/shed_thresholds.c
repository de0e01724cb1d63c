/*
 * Passes shedding thresholds back to the entries.
 *
 * Load pattern: a service at the end of a call chain is overloaded and rejects
 * calls on which the services before it have already spent work.  Each answer
 * carries the thresholds of the services involved, so that entries refuse
 * requests that would be rejected later.  The decision is in loom/shed.h.
 */

#include <string.h>

#include "daemon/shed_thresholds.h"

static void
append_threshold(GString *text, uint64_t service_id, uint16_t threshold)
{
	if (threshold >= LOOM_CUT_NONE)
		return;
	g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x:%x",
	    text->len > 0 ? "," : "", service_id, (unsigned)threshold);
}

char *
shed_thresholds_format(const struct call *call)
{
	struct worker *worker = call->worker;
	const struct route_services *view;
	uint64_t now_us = loom_now_us();
	GString *text;
	uint32_t i;

	if (call->route == NULL)
		return NULL;
	text = g_string_new(NULL);
	if (call->offered_to_admission)
		append_threshold(
		    text, worker->daemon->self.service_id, call->waiting.cut);
	view = worker_route_services(worker, call->manifest, call->route);
	for (i = 0; view != NULL && i < view->nservices; i++) {
		if (view->service_ids[i] != worker->daemon->self.service_id)
			append_threshold(text, view->service_ids[i],
			    loom_shed_cut(worker->shed, view->service_ids[i],
				call->context.team_id, now_us));
	}
	return g_string_free(text, text->len == 0);
}

void
shed_thresholds_learn(struct worker *worker, uint64_t team_id, const char *text)
{
	struct loom_threshold threshold;
	uint64_t now_us = loom_now_us();
	char *end;

	while (text != NULL && *text != '\0') {
		threshold.service_id = g_ascii_strtoull(text, &end, 16);
		if (end == text || *end != ':')
			return;
		text = end + 1;
		threshold.cut = (uint16_t)g_ascii_strtoull(text, &end, 16);
		if (end == text)
			return;
		loom_shed_record(worker->shed, team_id, &threshold, now_us);
		text = *end == ',' ? end + 1 : end;
	}
}

/*
 * The rank is derived from the second half of the root id, which is new for
 * each request of a client.  The first half identifies the retry budget and
 * stays the same when the client sends the request again; with a rank from it,
 * a request that was refused once would always be refused.
 */
uint16_t
call_shed_rank(const struct call *call)
{
	const struct loom_id128 *root = &call->context.root;
	uint64_t attempt;

	memcpy(&attempt, root->bytes + sizeof(root->bytes) - sizeof(attempt),
	    sizeof(attempt));
	return loom_shed_rank(call->context.importance, attempt);
}

enum loom_result
shed_thresholds_check(
    const struct call *call, uint64_t now_us, uint64_t *retry_after_us)
{
	struct worker *worker = call->worker;
	const struct route_services *view;

	view = worker_route_services(worker, call->manifest, call->route);
	if (view == NULL)
		return LOOM_OK;
	return loom_shed_check(worker->shed, view->service_ids, view->nservices,
	    call->context.team_id, call_shed_rank(call), now_us,
	    retry_after_us);
}
