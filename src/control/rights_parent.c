/*
 * Chooses the pool above this daemon and decides when to leave it.
 */

#include "control/rights_internal.h"

/*
 * A pool that leaves five renewals unanswered is taken for dead. With 10% of
 * all messages lost this happens to a healthy pool once in 4,000 times, and a
 * wrong guess costs only balance.
 */
#define POOL_TIMEOUT_US (5 * LOOM_LOAN_RENEW_US)
/* How often the preferred pool is tried again after it was silent. */
#define PROBE_US UINT64_C(1000000)
/*
 * Children heard from within this time count as recent. Longer than the time
 * between two renewals of an idle daemon.
 */
#define CHILD_RECENT_US UINT64_C(2000000)

static bool
is_usable(void *arg, uint64_t host_id)
{
	struct loom_rights *rights = arg;

	return !g_hash_table_contains(rights->silent_hosts, &host_id);
}

static void
reset_team_requests(struct loom_rights *rights)
{
	struct rights_team *team;
	unsigned i;

	for (i = 0; i < rights->teams->len; i++) {
		team = g_ptr_array_index(rights->teams, i);
		rights_lock(team);
		team->requested_us = 0;
		team->no_tokens_until_us = 0;
		team->scarce = false;
		team->plenty = false;
		rights_unlock(team);
	}
}

bool
rights_pool_responds(const struct loom_rights *rights, uint64_t now_us)
{
	return rights->parent.overdue_since_us == 0 ||
	    now_us <= rights->parent.overdue_since_us + POOL_TIMEOUT_US;
}

/*
 * Whether the switch away from a pool that still responds must wait. What was
 * lent to it returns only when those loans end, and until then only this pool
 * can grant anything from them. It therefore gets no more loans but is still
 * sent requests until the last loan has ended.
 */
static bool
must_delay_switch(struct loom_rights *rights, uint64_t now_us)
{
	struct rights_parent *parent = &rights->parent;

	if (parent->incarnation == 0 || !rights_pool_responds(rights, now_us))
		return false;
	if (parent->leave_at_us == 0)
		parent->leave_at_us =
		    MAX(now_us, rights_lent_until_us(rights, parent->host_id));
	return now_us < parent->leave_at_us;
}

void
rights_choose_parent(struct loom_rights *rights, uint64_t now_us)
{
	uint64_t old = rights->parent.host_id;

	if (rights->hosts == NULL || rights->settings.shares_only)
		return;
	rights->choice = loom_pool_choose(rights->hosts, &rights->self,
	    rights->settings.partition, &rights->recent_children, is_usable,
	    rights);
	rights->grantable_until_us = 0;
	if (rights->choice.parent_host_id == old)
		rights->parent.leave_at_us = 0;
	else if (old == 0 || !must_delay_switch(rights, now_us)) {
		rights->parent = (struct rights_parent){
			.host_id = rights->choice.parent_host_id,
			.received_us = now_us,
			.overdue_since_us = now_us,
		};
		reset_team_requests(rights);
	}
	atomic_store(&rights->may_borrow,
	    rights->parent.host_id != 0 ||
		g_hash_table_size(rights->children) > 0);
}

void
rights_set_silent(struct loom_rights *rights, uint64_t host_id)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = host_id;
	g_hash_table_add(rights->silent_hosts, key);
}

static void
add_pool_child(
    struct loom_pool_children *below, const struct rights_child *child)
{
	below->any = true;
	below->highest_stage = MAX(below->highest_stage, child->stage);
}

static void
set_pool_children(struct loom_rights *rights,
    const struct loom_pool_children *below, uint64_t now_us)
{
	if (below->any == rights->recent_children.any &&
	    below->highest_stage == rights->recent_children.highest_stage)
		return;
	rights->recent_children = *below;
	rights_choose_parent(rights, now_us);
}

void
rights_note_child(struct loom_rights *rights, const struct rights_child *child,
    uint64_t now_us)
{
	struct loom_pool_children below = rights->recent_children;

	add_pool_child(&below, child);
	set_pool_children(rights, &below, now_us);
}

static void
check_children(struct loom_rights *rights, uint64_t now_us)
{
	struct loom_pool_children below = { 0 };
	struct rights_child *child;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, rights->children);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&child)) {
		if (now_us < child->received_us + CHILD_RECENT_US)
			add_pool_child(&below, child);
	}
	set_pool_children(rights, &below, now_us);
}

void
rights_check_parent(struct loom_rights *rights, uint64_t now_us)
{
	uint64_t preferred;

	check_children(rights, now_us);
	if (rights->parent.host_id != 0 &&
	    !rights_pool_responds(rights, now_us)) {
		rights_set_silent(rights, rights->parent.host_id);
		rights_choose_parent(rights, now_us);
	} else if (rights->parent.leave_at_us != 0 &&
	    now_us >= rights->parent.leave_at_us) {
		rights_choose_parent(rights, now_us);
	}
	preferred = rights->choice.preferred_host_id;
	if (preferred == 0 || preferred == rights->parent.host_id ||
	    now_us < rights->probed_us + PROBE_US)
		return;
	rights->probed_us = now_us;
	rights_send_up(rights, preferred, now_us);
}
