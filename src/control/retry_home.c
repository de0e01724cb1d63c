/*
 * The home of requests that entered at this daemon: one budget for each, for
 * the whole tree of calls below it, until its deadline.
 */

#include "control/retry_internal.h"

#define ROOTS_PER_SHARD (RETRY_ROOTS_MAX / RETRY_SHARDS)

void
retry_home_init(struct loom_retry *retry)
{
	unsigned i;

	for (i = 0; i < RETRY_SHARDS; i++) {
		g_mutex_init(&retry->homes[i].lock);
		retry->homes[i].by_id = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
		retry->homes[i].by_key =
		    g_hash_table_new(g_int64_hash, g_int64_equal);
	}
}

void
retry_home_clear(struct loom_retry *retry)
{
	unsigned i;

	for (i = 0; i < RETRY_SHARDS; i++) {
		g_hash_table_destroy(retry->homes[i].by_key);
		g_hash_table_destroy(retry->homes[i].by_id);
		g_mutex_clear(&retry->homes[i].lock);
	}
}

uint64_t
loom_retry_request_key(uint64_t team_id, const char *request_id)
{
	/* The team is mixed in so that no team can spend another's budget by
	 * sending its request id. */
	uint64_t key = loom_name_id(request_id) * UINT64_C(0x9e3779b97f4a7c15);

	key ^= team_id;
	return key == 0 ? 1 : key;
}

/* The attempt's root, joined or new; NULL when the shard is full. */
static struct retry_root *
join_or_make(struct loom_retry *retry, struct retry_home_shard *home,
    uint64_t request_key, uint64_t id, uint64_t now_us)
{
	struct retry_root *root = NULL;

	if (request_key != 0)
		root = g_hash_table_lookup(home->by_key, &request_key);
	if (root != NULL && now_us < root->budget.deadline_us)
		return root;
	if (g_hash_table_size(home->by_id) >= ROOTS_PER_SHARD ||
	    g_hash_table_contains(home->by_id, &id))
		return NULL;
	root = g_new0(struct retry_root, 1);
	root->id = id;
	root->request_key = request_key;
	root->budget.left = atomic_load(&retry->budget);
	g_hash_table_insert(home->by_id, &root->id, root);
	if (request_key != 0)
		g_hash_table_replace(home->by_key, &root->request_key, root);
	return root;
}

bool
loom_retry_begin_root(struct loom_retry *retry, uint64_t request_key,
    uint64_t now_us, uint64_t deadline_us, struct loom_retry_root *root)
{
	uint64_t id = retry->random.next(retry->random.arg);
	struct retry_home_shard *home;
	struct retry_root *found;

	/* a request's id lies in the shard of its key, so that one lock does
	 * for both tables */
	if (request_key != 0)
		id = id - id % RETRY_SHARDS + request_key % RETRY_SHARDS;
	home = &retry->homes[id % RETRY_SHARDS];
	*root = (struct loom_retry_root){ 0 };
	g_mutex_lock(&home->lock);
	found = join_or_make(retry, home, request_key, id, now_us);
	if (found != NULL) {
		found->budget.deadline_us =
		    MAX(found->budget.deadline_us, deadline_us);
		root->home_host_id = retry->self.host_id;
		root->home_incarnation = retry->self.incarnation;
		root->id = found->id;
	}
	g_mutex_unlock(&home->lock);
	return found != NULL;
}

bool
retry_home_grant(struct loom_retry *retry, uint64_t root_id, uint64_t now_us)
{
	struct retry_home_shard *home = &retry->homes[root_id % RETRY_SHARDS];
	struct retry_root *root;
	bool granted = false;

	g_mutex_lock(&home->lock);
	root = g_hash_table_lookup(home->by_id, &root_id);
	if (root != NULL)
		granted = loom_retry_budget_take(&root->budget, now_us);
	g_mutex_unlock(&home->lock);
	return granted;
}

static void
sweep_shard(struct retry_home_shard *home, uint64_t now_us)
{
	struct retry_root *root;
	GHashTableIter iter;

	g_mutex_lock(&home->lock);
	g_hash_table_iter_init(&iter, home->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&root)) {
		if (now_us < root->budget.deadline_us)
			continue;
		if (g_hash_table_lookup(home->by_key, &root->request_key) ==
		    root)
			g_hash_table_remove(home->by_key, &root->request_key);
		g_hash_table_iter_remove(&iter);
	}
	g_mutex_unlock(&home->lock);
}

void
retry_home_sweep(struct loom_retry *retry, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < RETRY_SHARDS; i++)
		sweep_shard(&retry->homes[i], now_us);
}
