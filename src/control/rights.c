/*
 * The rights module's interface to the control thread and to status reports.
 */

#include "control/rights_internal.h"
#include "decide/mix.h"

#define LIST_LAG_US UINT64_C(10000000)
/* How often a pool checks for buckets that are about to overflow. */
#define SURPLUS_CHECK_US (LOOM_LOAN_RENEW_US / 4)
/* A tick this late means that the process was paused. */
#define PAUSED_TICK_US (3 * LOOM_LOAN_RENEW_US)

static guint
from_hash(gconstpointer key)
{
	const struct loom_message_source *from = key;

	return g_int64_hash(&from->host_id) ^ g_int64_hash(&from->incarnation);
}

static gboolean
from_equal(gconstpointer a, gconstpointer b)
{
	const struct loom_message_source *x = a, *y = b;

	return x->host_id == y->host_id && x->incarnation == y->incarnation;
}

static void
free_team(gpointer data)
{
	struct rights_team *team = data;

	g_hash_table_destroy(team->child_loans);
	g_array_free(team->transits, TRUE);
	g_queue_clear(&team->waiting_children);
	g_free(team);
}

static int
destroy(struct loom_rights *rights)
{
	unsigned i;

	if (rights->manifest != NULL)
		loom_manifest_release(rights->manifest);
	if (rights->hosts != NULL)
		loom_hosts_release(rights->hosts);
	for (i = 0; i < RIGHTS_SHARDS; i++) {
		g_hash_table_destroy(rights->shards[i].teams);
		g_mutex_clear(&rights->shards[i].lock);
	}
	g_ptr_array_free(rights->watched, TRUE);
	g_ptr_array_free(rights->teams, TRUE);
	g_hash_table_destroy(rights->children);
	g_hash_table_destroy(rights->silent_hosts);
	loom_ownership_clear(&rights->own);
	return 0;
}

static void
register_counters(struct rights_counters *counters)
{
	counters->refused = loom_counter("loom_rights_refused_total", NULL,
	    "Calls refused over their team's rate.");
	counters->unknown = loom_counter("loom_rights_unknown_total", NULL,
	    "Calls refused since the daemon that holds their team's rights "
	    "does not answer.");
	counters->waited = loom_counter(
	    "loom_rights_waited_total", NULL, "Calls that waited for a loan.");
	counters->given_back = loom_counter("loom_rights_given_back_total",
	    NULL, "Tokens given back by calls that did not run.");
	counters->up_messages = loom_counter("loom_rights_messages_total",
	    "to=\"pool\"", "Messages sent about teams' rights.");
	counters->down_messages = loom_counter("loom_rights_messages_total",
	    "to=\"child\"", "Messages sent about teams' rights.");
	counters->bytes = loom_counter(
	    "loom_rights_bytes_total", NULL, "Bytes sent about teams' rights.");
	counters->malformed = loom_counter("loom_rights_malformed_total", NULL,
	    "Messages about teams' rights that did not decode.");
}

static void
init_tables(struct loom_rights *rights)
{
	unsigned i;

	for (i = 0; i < RIGHTS_SHARDS; i++) {
		g_mutex_init(&rights->shards[i].lock);
		rights->shards[i].teams =
		    g_hash_table_new(g_int64_hash, g_int64_equal);
	}
	rights->teams = g_ptr_array_new_with_free_func(free_team);
	rights->watched = g_ptr_array_new();
	rights->silent_hosts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	rights->children =
	    g_hash_table_new_full(from_hash, from_equal, g_free, NULL);
}

struct loom_rights *
loom_rights_new(TALLOC_CTX *ctx, const struct loom_self *self,
    const struct loom_sender *sender, const struct loom_random *random,
    const struct loom_rights_waker *waker,
    const struct loom_rights_settings *settings, uint64_t now_us)
{
	struct loom_rights *rights = talloc_zero(ctx, struct loom_rights);

	rights->self = *self;
	rights->sender = *sender;
	rights->random = *random;
	if (waker != NULL)
		rights->waker = *waker;
	if (settings != NULL)
		rights->settings = *settings;
	if (rights->settings.list_lag_us == 0)
		rights->settings.list_lag_us = LIST_LAG_US;
	loom_ownership_init(
	    &rights->own, self->host_id, rights->settings.list_lag_us);
	if (rights->settings.wait_us == 0)
		rights->settings.wait_us = LOOM_RIGHTS_WAIT_US;
	if (rights->settings.withheld_us != 0)
		rights->own.withheld_us = rights->settings.withheld_us;
	if (rights->settings.newcomer_us != 0)
		rights->own.newcomer_us = rights->settings.newcomer_us;
	rights->ticked_us = now_us;
	rights->last_done = &rights->done;
	init_tables(rights);
	register_counters(&rights->counters);
	talloc_set_destructor(rights, destroy);
	return rights;
}

uint32_t
loom_rights_partition(uint64_t team_id, uint32_t partitions)
{
	return partitions < 2
	    ? 0
	    : (uint32_t)(mix_splitmix64(team_id) % partitions);
}

uint8_t
rights_message_type(
    const struct loom_rights *rights, enum loom_rights_message kind)
{
	return (
	    uint8_t)(kind + LOOM_RIGHTS_MESSAGES * rights->settings.partition);
}

static bool
is_own_team(const struct loom_rights *rights, uint64_t team_id)
{
	return loom_rights_partition(team_id, rights->settings.partitions) ==
	    rights->settings.partition;
}

static struct rights_team *
make_team(struct loom_rights *rights, const struct loom_team *declared,
    uint64_t now_us)
{
	struct rights_team *team = g_new0(struct rights_team, 1);

	team->id = declared->id;
	team->shard = &rights->shards[declared->id % RIGHTS_SHARDS];
	team->bucket.at_us = now_us;
	team->last_waiter = &team->first_waiter;
	team->child_loans =
	    g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
	team->transits =
	    g_array_new(FALSE, FALSE, sizeof(struct rights_transit));
	g_queue_init(&team->waiting_children);
	g_ptr_array_add(rights->teams, team);
	rights_lock(team);
	g_hash_table_insert(team->shard->teams, &team->id, team);
	rights_unlock(team);
	return team;
}

static void
set_limits(struct rights_team *team, double rate_per_s, uint32_t burst,
    uint64_t now_us)
{
	rights_lock(team);
	loom_bucket_set_limits(
	    &team->bucket, &team->shard->base, rate_per_s, burst, now_us);
	rights_unlock(team);
}

/*
 * The burst with the operator's tolerance. A team without a burst is never let
 * in and stays so.
 */
static uint32_t
burst_with_slack(const struct loom_rights *rights, uint32_t burst)
{
	return burst == 0
	    ? 0
	    : (uint32_t)MIN(
		  (uint64_t)burst + rights->settings.slack, UINT32_MAX);
}

static void
manifest_changed(void *part, struct loom_manifest *manifest, uint64_t now_us)
{
	struct loom_rights *rights = part;
	const struct loom_team *declared;
	struct rights_team *team;
	uint32_t i, known = rights->teams->len;

	/* Teams are kept when they are no longer declared, with a rate of 0. */
	for (i = 0; i < known; i++) {
		team = g_ptr_array_index(rights->teams, i);
		if (loom_manifest_team(manifest, team->id) == NULL)
			set_limits(team, 0, 0, now_us);
	}
	for (i = 0; i < manifest->nteams; i++) {
		declared = &manifest->teams[i];
		if (!is_own_team(rights, declared->id))
			continue;
		team = rights_team_locked(rights, declared->id);
		if (team != NULL)
			rights_unlock(team);
		else
			team = make_team(rights, declared, now_us);
		set_limits(team, declared->rate_per_s,
		    burst_with_slack(rights, declared->burst), now_us);
	}
	loom_ownership_set_slots(&rights->own, manifest->fleet.slots, now_us);
	if (rights->manifest != NULL)
		loom_manifest_release(rights->manifest);
	rights->manifest = loom_manifest_acquire(manifest);
	rights_refresh_base(rights, now_us);
}

static void
hosts_changed(void *part, struct loom_hosts *hosts, uint64_t now_us)
{
	struct loom_rights *rights = part;

	if (rights->hosts != NULL)
		loom_hosts_release(rights->hosts);
	rights->hosts = loom_hosts_acquire(hosts);
	loom_ownership_set_hosts(&rights->own, hosts, now_us);
	rights_choose_parent(rights, now_us);
	rights_refresh_base(rights, now_us);
}

static void
collect_dirty(struct loom_rights *rights)
{
	struct rights_team *team, *next;

	team = atomic_exchange(&rights->dirty, NULL);
	for (; team != NULL; team = next) {
		next = team->next_dirty;
		atomic_store(&team->dirty, false);
		rights_watch(rights, team);
	}
}

/*
 * Serves waiting calls and children and requests missing tokens. Returns true
 * while some still wait.
 */
static bool
run_team(struct loom_rights *rights, struct rights_team *team, uint64_t now_us)
{
	bool waiting, can_request;

	if (rights->up.nentries == LOOM_RIGHTS_ENTRIES_MAX)
		rights_flush_up(rights, now_us);
	rights_lock(team);
	rights_serve_waiters(rights, team, now_us, &rights->last_done);
	rights_unlock(team);
	rights_serve_children(rights, team, now_us);
	rights_lock(team);
	waiting =
	    team->nwaiters > 0 || !g_queue_is_empty(&team->waiting_children);
	can_request = rights_may_request(rights, team, now_us);
	if (can_request &&
	    (waiting ||
		(team->bucket.level_utok < LOOM_TOKEN_UTOK && !team->scarce)))
		rights_add_request(rights, team, now_us);
	/*
	 * The pool above is asked before tokens are recalled from children,
	 * since it sees more daemons than this daemon's children.
	 */
	can_request =
	    rights->parent.host_id != 0 && now_us >= team->no_tokens_until_us;
	rights_unlock(team);
	if (((waiting && !can_request) || team->recall_pending) &&
	    rights_recall_allowed(team, now_us))
		rights_recall(rights, team, now_us);
	return waiting;
}

void
loom_rights_run(struct loom_rights *rights, uint64_t now_us)
{
	struct loom_rights_waiter *done;
	struct rights_team *team;
	unsigned i = 0;

	collect_dirty(rights);
	while (i < rights->watched->len) {
		team = g_ptr_array_index(rights->watched, i);
		if (run_team(rights, team, now_us)) {
			i++;
			continue;
		}
		team->watched = false;
		g_ptr_array_remove_index_fast(rights->watched, i);
	}
	rights_flush_up(rights, now_us);
	done = rights->done;
	rights->done = NULL;
	rights->last_done = &rights->done;
	rights_call_waiters(done);
}

static void
tick(void *part, uint64_t now_us)
{
	struct loom_rights *rights = part;

	/*
	 * A paused process received no messages at all, which does not show
	 * that its pool is silent.
	 */
	if (now_us > rights->ticked_us + PAUSED_TICK_US &&
	    rights->parent.overdue_since_us != 0)
		rights->parent.overdue_since_us = now_us;
	rights->ticked_us = now_us;
	atomic_store(&rights->clock_us, now_us);
	atomic_store(&rights->pool_host_id, rights->parent.host_id);
	atomic_store(&rights->pool_received_us, rights->parent.received_us);
	if (now_us >= rights->renewed_us + LOOM_LOAN_RENEW_US) {
		rights->renewed_us = now_us;
		rights_expire_loans(rights, now_us);
		rights_refresh_base(rights, now_us);
		if (rights->teams->len > 0) {
			rights_check_parent(rights, now_us);
			atomic_store(&rights->lent_elsewhere_until_us,
			    rights_lent_elsewhere_until_us(rights, now_us));
			rights_renew(rights, now_us);
		}
	}
	if (rights->base_changed)
		rights_refresh_base(rights, now_us);
	if (now_us >= rights->surplus_checked_us + SURPLUS_CHECK_US) {
		rights->surplus_checked_us = now_us;
		rights_push_surplus(rights, now_us);
	}
	loom_rights_run(rights, now_us);
}

static void
message(void *part, const struct loom_message_source *from, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_rights *rights = part;

	if (rights->settings.shares_only)
		return;
	if (type == rights_message_type(rights, LOOM_RIGHTS_UP))
		rights_receive_up(rights, from, payload, len, now_us);
	else if (type == rights_message_type(rights, LOOM_RIGHTS_DOWN))
		rights_receive_down(rights, from, payload, len, now_us);
	loom_rights_run(rights, now_us);
}

static void
drain(void *part, uint64_t now_us)
{
	struct loom_rights *rights = part;

	rights->leaving = true;
	rights_announce_leaving(rights, now_us);
	rights_renew(rights, now_us);
}

/* Whether calls of some team wait for a token, or a team has too few tokens. */
static bool
busy(void *part)
{
	const struct loom_rights *rights = part;

	return rights->watched->len > 0;
}

const struct loom_component_ops loom_rights_ops = {
	.busy = busy,
	.message = message,
	.tick = tick,
	.manifest_changed = manifest_changed,
	.hosts_changed = hosts_changed,
	.drain = drain,
};

static double
part_of_whole(uint64_t parts)
{
	return (double)parts / (double)LOOM_SHARE_WHOLE;
}

bool
loom_rights_team_status(struct loom_rights *rights, uint64_t team_id,
    uint64_t now_us, struct loom_rights_status *status)
{
	struct rights_team *team = rights_team_locked(rights, team_id);
	struct loom_share net;
	uint64_t received_us = atomic_load(&rights->pool_received_us);
	uint64_t lent_until_us = atomic_load(&rights->lent_elsewhere_until_us);
	uint64_t borrowed = 0;
	unsigned i;

	if (team == NULL)
		return false;
	loom_bucket_advance(&team->bucket, &team->shard->base, now_us);
	net =
	    loom_bucket_usable_share(&team->bucket, &team->shard->base, now_us);
	for (i = 0; i < LOOM_LENDERS_MAX; i++) {
		if (now_us < team->bucket.borrowed[i].until_us)
			borrowed += team->bucket.borrowed[i].share.capacity;
	}
	*status = (struct loom_rights_status){
		.refill_per_s =
		    team->bucket.rate_per_s * part_of_whole(net.refill),
		.capacity = team->bucket.burst * part_of_whole(net.capacity),
		.level =
		    (double)team->bucket.level_utok / (double)LOOM_TOKEN_UTOK,
		.borrowed = part_of_whole(borrowed),
		.lent = part_of_whole(team->bucket.lent.capacity),
		.demand_per_s = loom_demand_per_s(&team->demand, now_us) +
		    team->demand_below_per_s,
		.waiting = team->nwaiters,
		.pool_host_id = atomic_load(&rights->pool_host_id),
		.pool_silent_us = now_us - MIN(now_us, received_us),
		.lent_elsewhere_us = lent_until_us - MIN(lent_until_us, now_us),
	};
	rights_unlock(team);
	return true;
}

void
loom_rights_summary(
    struct loom_rights *rights, struct loom_rights_summary *summary)
{
	const struct loom_host *pool = NULL;

	if (rights->hosts != NULL && rights->parent.host_id != 0)
		pool = loom_hosts_find(rights->hosts, rights->parent.host_id);
	*summary = (struct loom_rights_summary){
		.pool = pool == NULL ? NULL : pool->name,
		.owned = part_of_whole(rights->own_parts),
		.pooled = part_of_whole(rights->pooled_parts),
		.lent_up =
		    part_of_whole(rights_lent_up(rights, rights->ticked_us)),
		.pool_host_id = rights->parent.host_id,
		.children = g_hash_table_size(rights->children),
		.shares = rights->own.shares,
		.holding = rights->own_parts == 0,
	};
}
