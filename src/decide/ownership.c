/*
 * Own parts, without agreement between daemons.
 */

#include "decide/ownership.h"
#include "decide/holding.h"

struct seen_host {
	uint64_t host_id;
	uint64_t listed_us; /* when it was last listed, once it is not */
	bool listed; /* it is on the newest list */
};

void
loom_ownership_init(
    struct loom_ownership *own, uint64_t host_id, uint64_t list_lag_us)
{
	*own = (struct loom_ownership){
		.host_id = host_id,
		.list_lag_us = list_lag_us,
		.withheld_us = LOOM_OWN_WITHHELD_US,
		.newcomer_us = list_lag_us,
		.holding = true,
		.seen = g_array_new(FALSE, FALSE, sizeof(struct seen_host)),
	};
}

void
loom_ownership_clear(struct loom_ownership *own)
{
	g_array_free(own->seen, TRUE);
	own->seen = NULL;
}

static uint64_t
seen_us(const struct loom_ownership *own)
{
	return own->list_lag_us * LOOM_SEEN_LAGS;
}

static void
forget_old(struct loom_ownership *own, uint64_t now_us)
{
	struct seen_host *host;
	guint i = 0;

	while (i < own->seen->len) {
		host = &g_array_index(own->seen, struct seen_host, i);
		if (!host->listed && now_us > host->listed_us + seen_us(own))
			g_array_remove_index_fast(own->seen, i);
		else
			i++;
	}
}

static void
count_shares(struct loom_ownership *own, uint64_t now_us)
{
	if (own->slots > own->declared && now_us >= own->slots_until_us)
		own->slots = own->declared;
	forget_old(own, now_us);
	own->shares = MAX(own->slots, own->seen->len);
}

void
loom_ownership_slots(
    struct loom_ownership *own, uint32_t declared, uint64_t now_us)
{
	/* a daemon that has the old declaration still holds the old part:
	 * fewer slots mean larger parts, so they count late */
	if (declared < own->slots && declared != own->declared)
		own->slots_until_us = now_us + seen_us(own);
	if (declared > own->slots)
		own->slots = declared;
	own->declared = declared;
	count_shares(own, now_us);
}

static void
see_all(
    struct loom_ownership *own, const struct loom_hosts *hosts, uint64_t now_us)
{
	GHashTable *known = g_hash_table_new(g_int64_hash, g_int64_equal);
	struct seen_host added = { .listed_us = now_us, .listed = true };
	guint i, n = own->seen->len;
	struct seen_host *host;

	/* the entries must not move while the table points at them */
	g_array_set_size(own->seen, n + hosts->nhosts);
	g_array_set_size(own->seen, n);
	for (i = 0; i < n; i++) {
		host = &g_array_index(own->seen, struct seen_host, i);
		if (host->listed)
			host->listed_us = now_us;
		host->listed = false;
		g_hash_table_insert(known, &host->host_id, host);
	}
	for (i = 0; i < hosts->nhosts; i++) {
		host = g_hash_table_lookup(known, &hosts->hosts[i].id);
		added.host_id = hosts->hosts[i].id;
		if (host != NULL)
			host->listed = true;
		else
			g_array_append_val(own->seen, added);
	}
	g_hash_table_destroy(known);
}

/*
 * A newly listed host owns nothing for a while.  Within the declared slots
 * only a forerunner of the same name can have had its part; beyond them,
 * every other daemon must first have counted it, or the parts would add up
 * to more than a whole.
 *
 * A host that was struck off and comes back, as after a cut that its
 * registration did not outlive, has no forerunner: it knows what it lent.
 * Waiting as after a start refused half of all calls for two seconds after
 * each such cut of a third of the fleet.
 *
 * A process that was stopped for longer than lists lag may have been struck
 * off and replaced meanwhile; its successor owns a part now.  It starts anew,
 * and by the time it owns again it has the list.
 */
static uint64_t
hold_us(const struct loom_ownership *own)
{
	bool large = own->shares > LOOM_OWN_LARGE_HOSTS;
	uint64_t withheld_us =
	    large ? LOOM_OWN_WITHHELD_LARGE_US : own->withheld_us;

	if (own->stopped)
		return withheld_us + own->list_lag_us;
	return (own->was_listed ? 0 : withheld_us) +
	    (own->seen->len > own->slots ? own->newcomer_us : 0);
}

static void
hold_from(struct loom_ownership *own, uint64_t now_us, bool stopped)
{
	own->listed_us = now_us;
	own->holding = true;
	own->stopped = stopped;
}

void
loom_ownership_hosts(
    struct loom_ownership *own, const struct loom_hosts *hosts, uint64_t now_us)
{
	bool listed = loom_hosts_find(hosts, own->host_id) != NULL;

	forget_old(own, now_us);
	see_all(own, hosts, now_us);
	count_shares(own, now_us);
	if (listed && !own->listed)
		hold_from(own, now_us, false);
	if (own->listed && !listed)
		own->was_listed = !own->holding;
	own->listed = listed;
}

uint64_t
loom_ownership_parts(struct loom_ownership *own, uint64_t now_us)
{
	if (own->checked_us != 0 && now_us > own->checked_us + own->list_lag_us)
		hold_from(own, now_us, true);
	own->checked_us = now_us;
	count_shares(own, now_us);
	if (!own->listed ||
	    (own->holding && now_us < own->listed_us + hold_us(own)))
		return 0;
	own->holding = false;
	/* a listed host counts itself, so there is one share at least */
	return LOOM_WHOLE / MAX(1, own->shares);
}
