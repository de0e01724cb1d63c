/*
 * Choice of the peers that are notified or queried.
 *
 * Neighbours are kept for minutes rather than drawn for each message: a new
 * connection costs about 1.5 KB of handshake, half of what a daemon may send in
 * a second.
 */

#include <string.h>

#include "control/spread_private.h"

#define REMOTE_PEER_US (60 * LOOM_US_PER_S)

static void
choose_neighbours(struct loom_spread *spread)
{
	spread->nneighbours = loom_spread_neighbours(
	    (const uint64_t *)(void *)spread->local->data, spread->local->len,
	    spread->self.host_id, spread->neighbours, SPREAD_FANOUT);
}

static void
choose_rank(struct loom_spread *spread)
{
	const uint64_t *live = (const uint64_t *)(void *)spread->live->data;
	uint64_t self = spread->self.host_id;

	spread->rank = loom_spread_rank(live, spread->live->len, self);
}

void
spread_peers_set(struct loom_spread *spread, const struct loom_hosts *hosts)
{
	const struct loom_host *host;
	uint32_t i;

	g_array_set_size(spread->local, 0);
	g_array_set_size(spread->live, 0);
	g_array_set_size(spread->remote, 0);
	for (i = 0; i < hosts->nhosts; i++) {
		host = &hosts->hosts[i];
		if (strcmp(host->data_centre, spread->self.data_centre) != 0) {
			g_array_append_val(spread->remote, host->id);
			continue;
		}
		g_array_append_val(spread->local, host->id);
		if (host->state == LOOM_HOST_LIVE)
			g_array_append_val(spread->live, host->id);
	}
	loom_spread_sort_by_rank(
	    (uint64_t *)(void *)spread->live->data, spread->live->len);
	choose_neighbours(spread);
	choose_rank(spread);
	spread->remote_peer_until_us = 0; /* it may have left */
}

void
spread_peers_rotate(struct loom_spread *spread, uint64_t now_us)
{
	if (now_us >= spread->remote_peer_until_us) {
		spread->remote_peer = spread_peers_random_remote(spread);
		spread->remote_peer_until_us = now_us + REMOTE_PEER_US;
	}
}

static uint64_t
random_peer(struct loom_spread *spread, const uint64_t *ids, uint32_t n)
{
	uint64_t id;

	if (n == 0)
		return 0;
	id = ids[loom_random_below(&spread->random, n)];
	return id != spread->self.host_id ? id : 0;
}

uint64_t
spread_peers_random_local(struct loom_spread *spread)
{
	return random_peer(spread,
	    (const uint64_t *)(void *)spread->local->data, spread->local->len);
}

uint64_t
spread_peers_random_remote(struct loom_spread *spread)
{
	return random_peer(spread,
	    (const uint64_t *)(void *)spread->remote->data,
	    spread->remote->len);
}

uint64_t
spread_peers_random_seed(struct loom_spread *spread)
{
	return random_peer(spread, spread->seeds, spread->nseeds);
}
