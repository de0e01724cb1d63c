/*
 * The share that this daemon owns, computed without agreement between daemons.
 */

#include "decide/ownership.h"
#include "decide/team_bucket.h"

struct known_host {
	uint64_t host_id;
	/* set when it leaves the list: when it was last listed */
	uint64_t listed_us;
	bool listed; /* on the newest list */
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
		.withheld = true,
		.known_hosts =
		    g_array_new(FALSE, FALSE, sizeof(struct known_host)),
	};
}

void
loom_ownership_clear(struct loom_ownership *own)
{
	g_array_free(own->known_hosts, TRUE);
	own->known_hosts = NULL;
}

static uint64_t
removed_host_us(const struct loom_ownership *own)
{
	return own->list_lag_us * LOOM_OWN_REMOVED_HOST_LAGS;
}

static void
drop_removed_hosts(struct loom_ownership *own, uint64_t now_us)
{
	struct known_host *host;
	guint i = 0;

	while (i < own->known_hosts->len) {
		host = &g_array_index(own->known_hosts, struct known_host, i);
		if (!host->listed &&
		    now_us > host->listed_us + removed_host_us(own))
			g_array_remove_index_fast(own->known_hosts, i);
		else
			i++;
	}
}

static void
count_shares(struct loom_ownership *own, uint64_t now_us)
{
	if (own->slots > own->declared && now_us >= own->lower_slots_at_us)
		own->slots = own->declared;
	drop_removed_hosts(own, now_us);
	own->shares = MAX(own->slots, own->known_hosts->len);
}

void
loom_ownership_set_slots(
    struct loom_ownership *own, uint32_t declared, uint64_t now_us)
{
	/*
	 * Daemons that still use the old declaration still hold smaller shares,
	 * and their sum with larger ones could exceed the whole. A lower number
	 * of slots, which means larger shares, therefore takes effect late.
	 */
	if (declared < own->slots && declared != own->declared)
		own->lower_slots_at_us = now_us + removed_host_us(own);
	if (declared > own->slots)
		own->slots = declared;
	own->declared = declared;
	count_shares(own, now_us);
}

static void
update_known_hosts(
    struct loom_ownership *own, const struct loom_hosts *hosts, uint64_t now_us)
{
	GHashTable *known = g_hash_table_new(g_int64_hash, g_int64_equal);
	struct known_host added = { .listed_us = now_us, .listed = true };
	guint i, n = own->known_hosts->len;
	struct known_host *host;

	/*
	 * Reserve space first: the hash table points into the array, so that
	 * appending must not move its entries.
	 */
	g_array_set_size(own->known_hosts, n + hosts->nhosts);
	g_array_set_size(own->known_hosts, n);
	for (i = 0; i < n; i++) {
		host = &g_array_index(own->known_hosts, struct known_host, i);
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
			g_array_append_val(own->known_hosts, added);
	}
	g_hash_table_destroy(known);
}

/*
 * How long a host owns nothing after it is added to the list.
 *
 * Within the declared slots only an earlier process on the same host can have
 * had its share, so it waits for that process's loans to end. Beyond the
 * declared slots every other daemon must first have counted it, or the shares
 * would add up to more than a whole.
 *
 * A host that was removed from the list and is added again, for example after a
 * network partition that outlasted its registration, does not wait for an
 * earlier process's loans: the same process still runs and knows what it lent.
 * Waiting as after a start refused half of all calls for two seconds after each
 * partition that removed a third of the fleet.
 *
 * A process that was paused for longer than list_lag_us may have been removed
 * and replaced, and its successor now owns a share. It waits as after a start
 * and for the list lag, so that it has a current list before it owns a share
 * again.
 */
static uint64_t
withhold_us(const struct loom_ownership *own)
{
	bool large = own->shares > LOOM_OWN_LARGE_HOSTS;
	uint64_t withheld_us =
	    large ? LOOM_OWN_WITHHELD_LARGE_US : own->withheld_us;

	if (own->paused)
		return withheld_us + own->list_lag_us;
	return (own->was_listed ? 0 : withheld_us) +
	    (own->known_hosts->len > own->slots ? own->newcomer_us : 0);
}

static void
start_withholding(struct loom_ownership *own, uint64_t now_us, bool after_pause)
{
	own->listed_us = now_us;
	own->withheld = true;
	own->paused = after_pause;
}

void
loom_ownership_set_hosts(
    struct loom_ownership *own, const struct loom_hosts *hosts, uint64_t now_us)
{
	bool listed = loom_hosts_find(hosts, own->host_id) != NULL;

	drop_removed_hosts(own, now_us);
	update_known_hosts(own, hosts, now_us);
	count_shares(own, now_us);
	if (listed && !own->listed)
		start_withholding(own, now_us, false);
	if (own->listed && !listed)
		own->was_listed = !own->withheld;
	own->listed = listed;
}

uint64_t
loom_ownership_parts(struct loom_ownership *own, uint64_t now_us)
{
	if (own->checked_us != 0 && now_us > own->checked_us + own->list_lag_us)
		start_withholding(own, now_us, true);
	own->checked_us = now_us;
	count_shares(own, now_us);
	if (!own->listed ||
	    (own->withheld && now_us < own->listed_us + withhold_us(own)))
		return 0;
	own->withheld = false;
	/* Cannot divide by 0: a listed host counts itself. */
	return LOOM_SHARE_WHOLE / MAX(1, own->shares);
}
