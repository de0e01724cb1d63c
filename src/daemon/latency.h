#ifndef LOOM_DAEMON_LATENCY_H
#define LOOM_DAEMON_LATENCY_H

/*
 * Latency histograms of calls for the metrics page, by stage, end and route.
 */

#include "daemon/call.h"

struct latencies;

/* To be created once per worker; owned by ctx. */
struct latencies *latencies_new(TALLOC_CTX *ctx);

/* Records the latency of a call that has ended. */
void latency_record(const struct call *);

#endif
