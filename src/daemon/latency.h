#ifndef LOOM_DAEMON_LATENCY_H
#define LOOM_DAEMON_LATENCY_H

/*
 * How long calls took, for the metrics page: by stage, end and route.
 */

#include "daemon/call.h"

struct latencies;

/* One for each worker; owned by ctx. */
struct latencies *latencies_new(TALLOC_CTX *ctx);

/* The call is over. */
void latency_count(const struct call *);

#endif
