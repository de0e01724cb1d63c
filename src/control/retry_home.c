/*
 * The home of requests that entered at this daemon. Each request has one budget
 * for its whole call tree, until its deadline.
 */

#include "control/retry_internal.h"

#define ROOTS_PER_SHARD_MAX (RETRY_ROOTS_MAX / RETRY_SHARD_COUNT)

void
retry_home_init(struct loom_retry *retry)
{
	unsigned i;

	for (i = 0; i < RETRY_SHARD_COUNT; i++) {
		g_mutex_init(&retry->home_shards[i].lock);
		retry->home_shards[i].by_id = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
		retry->home_shards[i].by_request_key =
		    g_hash_table_new(g_int64_hash, g_int64_equal);
	}
}

void
retry_home_clear(struct loom_retry *retry)
{
	unsigned i;

	for (i = 0; i < RETRY_SHARD_COUNT; i++) {
		g_hash_table_destroy(retry->home_shards[i].by_request_key);
		g_hash_table_destroy(retry->home_shards[i].by_id);
		g_mutex_clear(&retry->home_shards[i].lock);
	}
}

uint64_t
loom_retry_request_key(uint64_t team_id, const char *request_id)
{
	/*
	 * The team is part of the key, so that a team cannot spend the budget
	 * of another team by sending its request id.
	 */
	uint64_t key = loom_name_id(request_id) * UINT64_C(0x9e3779b97f4a7c15);

	key ^= team_id;
	return key == 0 ? 1 : key;
}

/*
 * Returns the existing root of the request, or a new one; NULL if the shard is
 * full.
 */
static struct retry_root *
find_or_create_root(struct loom_retry *retry, struct retry_home_shard *shard,
    uint64_t request_key, uint64_t id, uint64_t now_us)
{
	struct retry_root *root = NULL;

	if (request_key != 0)
		root = g_hash_table_lookup(shard->by_request_key, &request_key);
	if (root != NULL && now_us < root->budget.deadline_us)
		return root;
	if (g_hash_table_size(shard->by_id) >= ROOTS_PER_SHARD_MAX ||
	    g_hash_table_contains(shard->by_id, &id))
		return NULL;
	root = g_new0(struct retry_root, 1);
	root->id = id;
	root->request_key = request_key;
	root->budget.remaining = atomic_load(&retry->budget);
	g_hash_table_insert(shard->by_id, &root->id, root);
	if (request_key != 0)
		g_hash_table_replace(
		    shard->by_request_key, &root->request_key, root);
	return root;
}

bool
loom_retry_begin_root(struct loom_retry *retry, uint64_t request_key,
    uint64_t now_us, uint64_t deadline_us, struct loom_retry_root *root)
{
	uint64_t id = retry->random.next(retry->random.arg);
	struct retry_home_shard *shard;
	struct retry_root *found;

	/*
	 * The root id is chosen from the shard of the request key, so that one
	 * lock protects both tables.
	 */
	if (request_key != 0)
		id = id - id % RETRY_SHARD_COUNT +
		    request_key % RETRY_SHARD_COUNT;
	shard = &retry->home_shards[id % RETRY_SHARD_COUNT];
	*root = (struct loom_retry_root){ 0 };
	g_mutex_lock(&shard->lock);
	found = find_or_create_root(retry, shard, request_key, id, now_us);
	if (found != NULL) {
		found->budget.deadline_us =
		    MAX(found->budget.deadline_us, deadline_us);
		root->home_host_id = retry->self.host_id;
		root->home_incarnation = retry->self.incarnation;
		root->id = found->id;
	}
	g_mutex_unlock(&shard->lock);
	return found != NULL;
}

bool
retry_home_grant(struct loom_retry *retry, uint64_t root_id, uint64_t now_us)
{
	struct retry_home_shard *shard =
	    &retry->home_shards[root_id % RETRY_SHARD_COUNT];
	struct retry_root *root;
	bool granted = false;

	g_mutex_lock(&shard->lock);
	root = g_hash_table_lookup(shard->by_id, &root_id);
	if (root != NULL)
		granted = loom_retry_budget_spend(&root->budget, now_us);
	g_mutex_unlock(&shard->lock);
	return granted;
}

static void
sweep_shard(struct retry_home_shard *shard, uint64_t now_us)
{
	struct retry_root *root;
	GHashTableIter iter;

	g_mutex_lock(&shard->lock);
	g_hash_table_iter_init(&iter, shard->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&root)) {
		if (now_us < root->budget.deadline_us)
			continue;
		if (g_hash_table_lookup(
			shard->by_request_key, &root->request_key) == root)
			g_hash_table_remove(
			    shard->by_request_key, &root->request_key);
		g_hash_table_iter_remove(&iter);
	}
	g_mutex_unlock(&shard->lock);
}

void
retry_home_sweep(struct loom_retry *retry, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < RETRY_SHARD_COUNT; i++)
		sweep_shard(&retry->home_shards[i], now_us);
}
