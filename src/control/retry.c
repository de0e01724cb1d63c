/*
 * Queries to the home of a request for permission to retry.
 *
 * No message needs to arrive: if a query or a reply is lost there is no retry,
 * and a grant that arrives too late is not used. The home's budget is therefore
 * an upper bound on the retries of all daemons together.
 */

#include "control/retry_internal.h"
#include "inner/retry_codec.h"

#define QUERY_TICK_US 5000

/* Without pending queries, ticks only remove expired budgets. */
#define IDLE_TICK_US 100000
#define SWEEP_INTERVAL_US UINT64_C(1000000)
#define DEFAULT_BUDGET 2
#define DEFAULT_RATIO 0.1

static int
destroy(struct loom_retry *retry)
{
	unsigned i;

	retry_home_clear(retry);
	for (i = 0; i < RETRY_SHARD_COUNT; i++) {
		g_hash_table_destroy(retry->queries[i].queries);
		g_mutex_clear(&retry->queries[i].lock);
		g_hash_table_destroy(retry->services[i].services);
		g_mutex_clear(&retry->services[i].lock);
	}
	return 0;
}

struct loom_retry *
loom_retry_new(TALLOC_CTX *ctx, const struct loom_self *self,
    const struct loom_sender *sender, const struct loom_random *random,
    void (*wake)(void *arg), void *wake_arg)
{
	struct loom_retry *retry = talloc_zero(ctx, struct loom_retry);
	unsigned i;

	retry->self = *self;
	retry->sender = *sender;
	retry->random = *random;
	retry->wake = wake;
	retry->wake_arg = wake_arg;
	atomic_store(&retry->budget, DEFAULT_BUDGET);
	atomic_store(&retry->ratio, DEFAULT_RATIO);
	retry_home_init(retry);
	for (i = 0; i < RETRY_SHARD_COUNT; i++) {
		g_mutex_init(&retry->queries[i].lock);
		retry->queries[i].queries =
		    g_hash_table_new(g_int64_hash, g_int64_equal);
		g_mutex_init(&retry->services[i].lock);
		retry->services[i].services = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
	}
	retry->granted = loom_counter("loom_retries_total",
	    "verdict=\"granted\"", "Questions for one retry.");
	retry->refused = loom_counter("loom_retries_total",
	    "verdict=\"refused\"", "Questions for one retry.");
	retry->unanswered = loom_counter("loom_retries_total",
	    "verdict=\"unanswered\"", "Questions for one retry.");
	talloc_set_destructor(retry, destroy);
	return retry;
}

static struct retry_service_shard *
service_shard(struct loom_retry *retry, uint64_t service_id)
{
	return &retry->services[service_id % RETRY_SHARD_COUNT];
}

/* The shard's lock is held. */
static struct loom_retry_credit *
service_credit(
    struct retry_service_shard *shard, uint64_t service_id, uint64_t now_us)
{
	struct retry_service *service;

	service = g_hash_table_lookup(shard->services, &service_id);
	if (service == NULL) {
		service = g_new0(struct retry_service, 1);
		service->id = service_id;
		service->credit = (struct loom_retry_credit){ .credit = 1,
			.updated_us = now_us };
		g_hash_table_insert(shard->services, &service->id, service);
	}
	return &service->credit;
}

void
loom_retry_note_first_attempt(
    struct loom_retry *retry, uint64_t service_id, uint64_t now_us)
{
	struct retry_service_shard *shard = service_shard(retry, service_id);

	g_mutex_lock(&shard->lock);
	loom_retry_credit_earn(service_credit(shard, service_id, now_us),
	    atomic_load(&retry->ratio), now_us);
	g_mutex_unlock(&shard->lock);
}

static bool
spend_credit(struct loom_retry *retry, uint64_t service_id, uint64_t now_us)
{
	struct retry_service_shard *shard = service_shard(retry, service_id);
	bool spent;

	g_mutex_lock(&shard->lock);
	spent = loom_retry_credit_spend(
	    service_credit(shard, service_id, now_us), now_us);
	g_mutex_unlock(&shard->lock);
	return spent;
}

static void
refund_credit(struct loom_retry *retry, uint64_t service_id, uint64_t now_us)
{
	struct retry_service_shard *shard = service_shard(retry, service_id);

	g_mutex_lock(&shard->lock);
	loom_retry_credit_refund(service_credit(shard, service_id, now_us));
	g_mutex_unlock(&shard->lock);
}

bool
loom_retry_query(struct loom_retry *retry, const struct loom_retry_root *root,
    uint64_t service_id, uint64_t now_us, struct loom_retry_query *query)
{
	struct retry_query_shard *shard;

	if (root->home_host_id == 0 ||
	    !spend_credit(retry, service_id, now_us)) {
		loom_counter_add(retry->refused, 1);
		return false;
	}
	query->next = NULL;
	query->root = *root;
	query->query_id = atomic_fetch_add(&retry->last_query_id, 1) + 1;
	query->expires_us = now_us + LOOM_RETRY_REPLY_TIMEOUT_US;
	query->service_id = service_id;
	query->sent = false;
	shard = &retry->queries[query->query_id % RETRY_SHARD_COUNT];
	g_mutex_lock(&shard->lock);
	g_hash_table_insert(shard->queries, &query->query_id, query);
	g_mutex_unlock(&shard->lock);
	if (retry->wake != NULL)
		retry->wake(retry->wake_arg);
	return true;
}

bool
loom_retry_cancel(struct loom_retry *retry, struct loom_retry_query *query)
{
	struct retry_query_shard *shard =
	    &retry->queries[query->query_id % RETRY_SHARD_COUNT];
	bool found;

	g_mutex_lock(&shard->lock);
	found = g_hash_table_remove(shard->queries, &query->query_id);
	g_mutex_unlock(&shard->lock);
	return found;
}

/* Control thread; no lock is held. */
static void
complete_query(struct loom_retry *retry, struct loom_retry_query *query,
    bool granted, uint64_t now_us)
{
	loom_counter_add(granted ? retry->granted : retry->refused, 1);
	if (!granted)
		refund_credit(retry, query->service_id, now_us);
	query->done(query, granted);
}

static bool
home_is_here(const struct loom_retry *retry, const struct loom_retry_root *root)
{
	return root->home_host_id == retry->self.host_id &&
	    root->home_incarnation == retry->self.incarnation;
}

static void
send_query(struct loom_retry *retry, const struct loom_retry_query *query)
{
	const struct loom_retry_query_message wire_query = {
		.query_id = query->query_id,
		.home_incarnation = query->root.home_incarnation,
		.root_id = query->root.id,
	};
	uint8_t buf[LOOM_RETRY_MESSAGE_MAX];
	size_t len;

	len = loom_retry_query_pack(&wire_query, buf, sizeof(buf));
	retry->sender.send(retry->sender.arg, query->root.home_host_id,
	    LOOM_RETRY_QUERY, buf, len);
}

/*
 * Sends new queries. Returns those that have timed out or whose home is this
 * daemon, removed from the shard.
 */
static struct loom_retry_query *
process_shard(
    struct loom_retry *retry, struct retry_query_shard *shard, uint64_t now_us)
{
	struct loom_retry_query *query, *completed = NULL;
	GHashTableIter iter;

	g_mutex_lock(&shard->lock);
	g_hash_table_iter_init(&iter, shard->queries);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&query)) {
		if (now_us >= query->expires_us ||
		    home_is_here(retry, &query->root)) {
			query->next = completed;
			completed = query;
			g_hash_table_iter_remove(&iter);
		} else if (!query->sent) {
			query->sent = true;
			send_query(retry, query);
		}
	}
	g_mutex_unlock(&shard->lock);
	return completed;
}

void
loom_retry_process(struct loom_retry *retry, uint64_t now_us)
{
	struct loom_retry_query *query, *next;
	bool granted;
	unsigned i;

	for (i = 0; i < RETRY_SHARD_COUNT; i++) {
		query = process_shard(retry, &retry->queries[i], now_us);
		for (; query != NULL; query = next) {
			next = query->next;
			granted = false;
			if (now_us < query->expires_us)
				granted = retry_home_grant(
				    retry, query->root.id, now_us);
			else
				loom_counter_add(retry->unanswered, 1);
			complete_query(retry, query, granted, now_us);
		}
	}
}

static void
handle_query(struct loom_retry *retry, const struct loom_message_source *from,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_retry_query_message wire_query;
	struct loom_retry_reply_message wire_reply;
	uint8_t buf[LOOM_RETRY_MESSAGE_MAX];

	if (!loom_retry_query_unpack(&wire_query, payload, len))
		return;
	/*
	 * A restarted home has lost its record of earlier grants, so it grants
	 * nothing for requests that entered before the restart.
	 */
	wire_reply = (struct loom_retry_reply_message){
		.query_id = wire_query.query_id,
		.requester_incarnation = from->incarnation,
		.granted =
		    wire_query.home_incarnation == retry->self.incarnation &&
		    retry_home_grant(retry, wire_query.root_id, now_us),
	};
	len = loom_retry_reply_pack(&wire_reply, buf, sizeof(buf));
	retry->sender.send(
	    retry->sender.arg, from->host_id, LOOM_RETRY_REPLY, buf, len);
}

static void
handle_reply(struct loom_retry *retry, const struct loom_message_source *from,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_retry_reply_message wire_reply;
	struct retry_query_shard *shard;
	struct loom_retry_query *query;

	if (!loom_retry_reply_unpack(&wire_reply, payload, len) ||
	    wire_reply.requester_incarnation != retry->self.incarnation)
		return;
	shard = &retry->queries[wire_reply.query_id % RETRY_SHARD_COUNT];
	g_mutex_lock(&shard->lock);
	query = g_hash_table_lookup(shard->queries, &wire_reply.query_id);
	if (query != NULL && query->root.home_host_id == from->host_id)
		g_hash_table_remove(shard->queries, &wire_reply.query_id);
	else
		query = NULL;
	g_mutex_unlock(&shard->lock);
	if (query == NULL)
		return;
	/*
	 * The reply is too old if this process was stopped in the meantime.
	 */
	complete_query(retry, query,
	    wire_reply.granted && now_us < query->expires_us, now_us);
}

static void
message(void *part, const struct loom_message_source *from, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_retry *retry = part;

	if (type == LOOM_RETRY_QUERY)
		handle_query(retry, from, payload, len, now_us);
	else if (type == LOOM_RETRY_REPLY)
		handle_reply(retry, from, payload, len, now_us);
}

static void
tick(void *part, uint64_t now_us)
{
	struct loom_retry *retry = part;

	loom_retry_process(retry, now_us);
	if (now_us < retry->last_sweep_us + SWEEP_INTERVAL_US)
		return;
	retry->last_sweep_us = now_us;
	retry_home_sweep(retry, now_us);
}

static void
manifest_changed(void *part, struct loom_manifest *manifest, uint64_t now_us)
{
	struct loom_retry *retry = part;

	(void)now_us;
	atomic_store(&retry->budget, manifest->fleet.retry_budget);
	atomic_store(&retry->ratio, manifest->fleet.retry_ratio);
}

/* Whether a query is waiting for its reply. */
static bool
has_pending_queries(void *part)
{
	struct loom_retry *retry = part;
	bool pending = false;
	unsigned i;

	for (i = 0; i < RETRY_SHARD_COUNT && !pending; i++) {
		g_mutex_lock(&retry->queries[i].lock);
		pending = g_hash_table_size(retry->queries[i].queries) > 0;
		g_mutex_unlock(&retry->queries[i].lock);
	}
	return pending;
}

const struct loom_component_ops loom_retry_ops = {
	.name = "retry",
	.first_type = LOOM_RETRY_QUERY,
	.last_type = LOOM_RETRY_REPLY,
	.tick_us = IDLE_TICK_US,
	.busy_tick_us = QUERY_TICK_US,
	.busy = has_pending_queries,
	.message = message,
	.tick = tick,
	.manifest_changed = manifest_changed,
};
