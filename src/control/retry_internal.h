#ifndef LOOM_CONTROL_RETRY_INTERNAL_H
#define LOOM_CONTROL_RETRY_INTERNAL_H

/*
 * What the files of the retry part share: retry.c asks homes, retry_home.c is
 * the home of requests that entered here.
 */

#include <glib.h>
#include <stdatomic.h>

#include "decide/retry.h"
#include "loom/counter.h"
#include "loom/retry.h"

#define RETRY_SHARDS 64

/* Requests that a home knows at once, in all: a few bytes over 100 each. */
#define RETRY_ROOTS_MAX (RETRY_SHARDS * 4096)

/* A request that entered here. */
struct retry_root {
	uint64_t id;
	uint64_t request_key; /* 0 for none */
	struct loom_retry_budget budget;
};

struct retry_home_shard {
	GMutex lock;
	GHashTable *by_id; /* (lock) owned, of struct retry_root */
	GHashTable *by_key; /* (lock) borrowed from by_id */
};

struct retry_ask_shard {
	GMutex lock;
	GHashTable *asks; /* (lock) by number; memory of their callers */
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
	atomic_uint budget; /* retries of one request in all */
	_Atomic(double) ratio;
	atomic_uint_fast64_t number;
	struct retry_home_shard homes[RETRY_SHARDS];
	struct retry_ask_shard asks[RETRY_SHARDS];
	struct retry_service_shard services[RETRY_SHARDS];
	uint64_t swept_us;
	struct loom_counter *granted;
	struct loom_counter *refused;
	struct loom_counter *unanswered;
};

/* retry_home.c */
void retry_home_init(struct loom_retry *);
void retry_home_clear(struct loom_retry *);
/* Take one grant of a request that entered here. */
bool retry_home_grant(struct loom_retry *, uint64_t root_id, uint64_t now_us);
void retry_home_sweep(struct loom_retry *, uint64_t now_us);

#endif
