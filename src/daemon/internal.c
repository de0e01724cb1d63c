/*
 * The daemon's own pages, for process supervision (health) and monitoring
 * (status, metrics).  No page requires a key or shows one.
 */

#include <string.h>

#include "daemon/config.h"
#include "daemon/headers.h"
#include "daemon/internal.h"
#include "daemon/issue.h"
#include "daemon/status.h"
#include "loom/histogram.h"

static const char own_prefix[] = "/.loom/";

static void
answer_text(
    struct call *call, uint16_t status, const char *type, const char *text)
{
	const struct loom_header header = { "Content-Type", type };

	loom_exchange_respond(
	    call->exchange, status, &header, 1, text, strlen(text));
}

static void
answer_health(struct call *call)
{
	if (atomic_load(&call->worker->daemon->shutting_down))
		answer_text(call, 503, "text/plain", "draining\n");
	else if (call->manifest == NULL ||
	    !config_ready(call->worker->daemon->config))
		answer_text(call, 503, "text/plain", "no manifest yet\n");
	else if (!atomic_load(&call->worker->daemon->rights_ready))
		answer_text(call, 503, "text/plain", "no rights yet\n");
	else
		answer_text(call, 200, "text/plain", "ready\n");
}

/* Answers probes of peers: whether calls can run here, even while clients
 * are not admitted yet. */
static void
answer_serving(struct call *call)
{
	if (atomic_load(&call->worker->daemon->draining) ||
	    call->manifest == NULL ||
	    !config_ready(call->worker->daemon->config))
		answer_text(call, 503, "text/plain", "not serving\n");
	else
		answer_text(call, 200, "text/plain", "serving\n");
}

static void
answer_metrics(struct call *call)
{
	char *counters = loom_counter_text();
	char *histograms = loom_histogram_text();
	char *text = g_strconcat(counters, histograms, NULL);

	answer_text(call, 200, "text/plain; version=0.0.4", text);
	g_free(text);
	g_free(histograms);
	g_free(counters);
}

static void
answer_status(struct call *call)
{
	char *text = status_json(call->worker, call->manifest);

	answer_text(call, 200, "application/json", text);
	g_free(text);
}

struct page {
	const char *path;
	void (*answer)(struct call *);
};

static const struct page pages[] = {
	{ .path = "health", .answer = answer_health },
	{ .path = "serving", .answer = answer_serving },
	{ .path = "status", .answer = answer_status },
	{ .path = "metrics", .answer = answer_metrics },
};

/* The readiness address serves only dialect->ready_path and /metrics. */
void
internal_ready_request(struct call *call)
{
	const char *target = loom_exchange_target(call->exchange);

	call->is_internal_page = true;
	if (strcmp(target, call->worker->daemon->dialect->ready_path) == 0)
		answer_health(call);
	else if (strcmp(target, "/metrics") == 0)
		answer_metrics(call);
	else
		call_refuse_code(call, LOOM_ROUTE_UNKNOWN, 0);
}

bool
internal_request(struct call *call)
{
	const char *target = loom_exchange_target(call->exchange);
	size_t i;

	if (strncmp(target, own_prefix, sizeof(own_prefix) - 1) != 0 ||
	    issue_is_request(call->exchange))
		return false;
	call->is_internal_page = true;
	target += sizeof(own_prefix) - 1;
	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (strcmp(target, pages[i].path) == 0) {
			pages[i].answer(call);
			return true;
		}
	}
	call_refuse_code(call, LOOM_ROUTE_UNKNOWN, 0);
	return true;
}
