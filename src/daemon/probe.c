/*
 * Probes hosts that have not answered a call, or that announced their shutdown.
 * A probe is a plain request for the serving page on the peer's data address,
 * so it takes the same path as calls do. Any answer shows that the host is
 * alive, even one that says "not serving": such a host refuses calls itself.
 *
 * Probes are started by calls only, as the result is not needed otherwise.
 */

#include "daemon/probe.h"
#include "daemon/call.h"

/* A host that takes longer would delay calls too much to get any. */
#define PROBE_TIMEOUT_US (1 * LOOM_US_PER_S)
#define PROBE_BODY_MAX_BYTES (64 * 1024)

struct probe {
	struct loom_balance *balance; /* borrowed from the worker */
	bool serving; /* as answered */
	uint64_t host_id;
};

static void
on_probe_headers(void *arg, struct loom_fetch *fetch)
{
	struct probe *probe = arg;

	probe->serving = loom_fetch_status(fetch) == 200;
}

static void
on_probe_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct probe *probe = arg;

	enum loom_probe_result probe_end = LOOM_PROBE_NO_ANSWER;

	if (end->headers_received)
		probe_end = probe->serving ? LOOM_PROBE_SERVING
					   : LOOM_PROBE_NOT_SERVING;
	loom_balance_note_probe(
	    probe->balance, probe->host_id, probe_end, loom_now_us());
	talloc_free(probe);
}

static const struct loom_fetch_ops probe_ops = {
	.headers = on_probe_headers,
	.done = on_probe_done,
};

static bool
start_fetch(struct worker *worker, struct probe *probe)
{
	const struct loom_host *host =
	    loom_hosts_find(worker->hosts, probe->host_id);
	struct loom_fetch_request request = {
		.method = "GET",
		.timeout_us = PROBE_TIMEOUT_US,
		.body_max_bytes = PROBE_BODY_MAX_BYTES,
		.source = worker->daemon->settings.source_address,
		.ops = &probe_ops,
		.arg = probe,
	};

	if (host == NULL)
		return false;
	request.address = host->peer;
	request.target = "/.loom/serving";
	return loom_fetch_start(worker->fetcher, &request) != NULL;
}

void
probe_start_if_due(struct worker *worker, struct loom_balance *balance)
{
	uint64_t now_us = loom_now_us();
	uint64_t host_id = loom_balance_probe_due(balance, now_us);
	struct probe *probe;

	if (host_id == 0)
		return;
	probe = talloc(worker, struct probe);
	*probe = (struct probe){ .balance = balance, .host_id = host_id };
	loom_counter_add(worker->daemon->counters.probes, 1);
	if (start_fetch(worker, probe))
		return;
	loom_balance_note_probe(balance, host_id, LOOM_PROBE_NO_ANSWER, now_us);
	talloc_free(probe);
}
