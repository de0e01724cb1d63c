#ifndef LOOM_CONTROL_RETRY_INTERNAL_H
#define LOOM_CONTROL_RETRY_INTERNAL_H

/*
 * Declarations shared by the files of the retry component: retry.c sends
 * queries to homes, retry_home.c is the home of requests that entered here.
 */

#include <glib.h>
#include <stdatomic.h>

#include "decide/retry.h"
#include "loom/counter.h"
#include "loom/retry.h"

#define RETRY_SHARD_COUNT 64

/*
 * The most requests for which a home keeps a budget, over all shards. Each
 * takes slightly more than 100 bytes.
 */
#define RETRY_ROOTS_MAX (RETRY_SHARD_COUNT * 4096)

/* A request that entered here. */
struct retry_root {
	uint64_t id;
	uint64_t request_key; /* 0 for none */
	struct loom_retry_budget budget;
};

struct retry_home_shard {
	GMutex lock;
	GHashTable *by_id; /* (lock) owned, of struct retry_root */
	GHashTable *by_request_key; /* (lock) borrowed from by_id */
};

struct retry_query_shard {
	GMutex lock;
	GHashTable *queries; /* (lock) by query id; owned by the callers */
};

struct retry_service {
	uint64_t id;
	struct loom_retry_credit credit;
};

struct retry_service_shard {
	GMutex lock;
	GHashTable *services; /* (lock) owned, by id */
};

struct loom_retry {
	struct loom_self self;
	struct loom_sender sender;
	struct loom_random random;
	void (*wake)(void *arg);
	void *wake_arg;
	atomic_uint budget; /* total retries of one request */
	_Atomic(double) ratio;
	atomic_uint_fast64_t last_query_id;
	struct retry_home_shard home_shards[RETRY_SHARD_COUNT];
	struct retry_query_shard queries[RETRY_SHARD_COUNT];
	struct retry_service_shard services[RETRY_SHARD_COUNT];
	uint64_t last_sweep_us;
	struct loom_counter *granted;
	struct loom_counter *refused;
	struct loom_counter *unanswered;
};

/* retry_home.c */
void retry_home_init(struct loom_retry *);
void retry_home_clear(struct loom_retry *);
/* Spends one retry of the budget of a request that entered here. */
bool retry_home_grant(struct loom_retry *, uint64_t root_id, uint64_t now_us);
void retry_home_sweep(struct loom_retry *, uint64_t now_us);

#endif
