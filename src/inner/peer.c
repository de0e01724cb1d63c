/*
 * Connections out.
 *
 * With ZMQ_IMMEDIATE ZeroMQ takes no message before a connection stands, so
 * that nothing piles up for a peer that is gone.  The first messages to a new
 * peer therefore wait here, few and for a short time: a message that comes a
 * minute late is worse than a lost one, since it tells an old view.
 *
 * A peer costs a socket, a TCP connection and a handshake of about 1.5 KB, so
 * connections are kept while they are used and closed when idle; when all
 * places are taken, the one that was unused for longest gives way.
 *
 * No ZeroMQ heartbeats: at one ping each five seconds fifty connections would
 * use a third of the 3 KB/s that control may spend.  ZMQ_TCP_MAXRT ends a
 * connection whose bytes are not acknowledged instead.
 */

#include <string.h>
#include <zmq.h>

#include "inner/peer.h"
#include "loom/clock.h"
#include "loom/counter.h"

/* Messages that wait for a new connection, and for how long. */
#define WAITING_MAX 16
#define WAITING_MAX_BYTES (2 * LOOM_PAYLOAD_MAX)
#define WAITING_MAX_US (2 * LOOM_US_PER_S)
/* Messages in ZeroMQ's own queue for one peer. */
#define SEND_HWM 32
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 1000
#define HANDSHAKE_TIMEOUT_MS 5000
#define UNACKNOWLEDGED_MAX_MS 1000
/* Nothing is received on these sockets but the handshake. */
#define RECEIVE_MAX_BYTES INT64_C(4096)
/*
 * A peer that is not told this daemon's address by itself goes by the host
 * list, which lags: its answers to a newcomer would be lost.  It believes a
 * word for a minute.  The first messages tell it, as some may be lost, and
 * later ones often enough for a peer that was started anew; in all others the
 * address would be a quarter of a renewal's bytes.
 */
#define TELL_FIRST 8
#define TELL_GAP_US (5 * LOOM_US_PER_S)
/* "tcp://SOURCE:0;ADDRESS" */
#define ENDPOINT_SIZE (2 * LOOM_ADDRESS_SIZE + 16)

struct waiting {
	uint8_t *data; /* owned */
	size_t len;
	uint64_t since_us;
};

struct peer {
	struct loom_peers *peers; /* borrowed */
	char address[LOOM_ADDRESS_SIZE];
	void *socket; /* owned: DEALER */
	struct tevent_fd *fde; /* owned */
	struct waiting waiting[WAITING_MAX]; /* a ring */
	uint32_t first;
	uint32_t nwaiting;
	size_t waiting_bytes;
	uint64_t used_us;
	uint64_t told_us;
	uint32_t ntold; /* up to TELL_FIRST */
};

struct loom_peers {
	struct loom_peers_options options;
	GHashTable *table; /* address: struct peer, talloc'd */
	struct loom_counter *dropped; /* borrowed */
	struct loom_counter *connected; /* borrowed */
	struct loom_counter *open; /* borrowed */
};

static void
pop_waiting(struct peer *peer)
{
	struct waiting *first = &peer->waiting[peer->first];

	peer->waiting_bytes -= first->len;
	TALLOC_FREE(first->data);
	peer->first = (peer->first + 1) % WAITING_MAX;
	peer->nwaiting--;
}

static bool
push_waiting(struct peer *peer, const void *data, size_t len, uint64_t now_us)
{
	struct waiting *last;

	if (peer->nwaiting == WAITING_MAX ||
	    (peer->nwaiting > 0 &&
		peer->waiting_bytes + len > WAITING_MAX_BYTES))
		return false;
	last = &peer->waiting[(peer->first + peer->nwaiting) % WAITING_MAX];
	last->data = talloc_memdup(peer, data, len);
	if (last->data == NULL)
		return false;
	last->len = len;
	last->since_us = now_us;
	peer->nwaiting++;
	peer->waiting_bytes += len;
	return true;
}

static bool
give_to_socket(struct peer *peer, const void *data, size_t len)
{
	return zmq_send(peer->socket, data, len, ZMQ_DONTWAIT) >= 0;
}

/*
 * Reading the events takes in all that ZeroMQ has to tell.  Without it the
 * descriptor may stay silent for ever: zmq_send looks at the mailbox only now
 * and then, and what lies there unread raises no further edge.
 */
static bool
is_writable(const struct peer *peer)
{
	size_t size = sizeof(int);
	int events = 0;

	zmq_getsockopt(peer->socket, ZMQ_EVENTS, &events, &size);
	return events & ZMQ_POLLOUT;
}

static void
flush(struct peer *peer)
{
	const struct waiting *first;

	while (peer->nwaiting > 0 && is_writable(peer)) {
		first = &peer->waiting[peer->first];
		if (!give_to_socket(peer, first->data, first->len))
			return;
		pop_waiting(peer);
	}
}

static void
peer_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct peer *peer = arg;

	(void)ev;
	(void)fde;
	(void)flags;
	if (is_writable(peer)) /* clears the descriptor too */
		flush(peer);
}

static int
peer_destroy(struct peer *peer)
{
	/* Before its descriptor is closed. */
	TALLOC_FREE(peer->fde);
	if (peer->socket != NULL)
		zmq_close(peer->socket);
	return 0;
}

static bool
set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value)) == 0;
}

static bool
set_options(void *socket)
{
	int64_t max = RECEIVE_MAX_BYTES;

	return set_int(socket, ZMQ_LINGER, 0) &&
	    set_int(socket, ZMQ_IMMEDIATE, 1) &&
	    set_int(socket, ZMQ_SNDHWM, SEND_HWM) &&
	    set_int(socket, ZMQ_RCVHWM, 1) &&
	    set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS) &&
	    set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS) &&
	    set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS) &&
	    set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS) &&
	    set_int(socket, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_MAX_MS) &&
	    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max)) == 0;
}

static void
endpoint_of(const struct peer *peer, char *endpoint, size_t size)
{
	const char *source = peer->peers->options.source;
	bool v6 = source != NULL && strchr(source, ':') != NULL;

	if (source == NULL)
		g_snprintf(endpoint, size, "tcp://%s", peer->address);
	else
		g_snprintf(endpoint, size,
		    v6 ? "tcp://[%s]:0;%s" : "tcp://%s:0;%s", source,
		    peer->address);
}

static bool
open_socket(struct peer *peer)
{
	const struct loom_peers_options *options = &peer->peers->options;
	char endpoint[ENDPOINT_SIZE];
	size_t size = sizeof(int);
	int fd;

	peer->socket = zmq_socket(options->zmq, ZMQ_DEALER);
	if (peer->socket == NULL)
		return false;
	endpoint_of(peer, endpoint, sizeof(endpoint));
	if (!set_options(peer->socket) ||
	    !loom_curve_client(options->curve, peer->socket) ||
	    zmq_connect(peer->socket, endpoint) != 0 ||
	    zmq_getsockopt(peer->socket, ZMQ_FD, &fd, &size) != 0)
		return false;
	peer->fde = tevent_add_fd(
	    options->ev, peer, fd, TEVENT_FD_READ, peer_ready, peer);
	return peer->fde != NULL;
}

static void
close_peer(struct loom_peers *peers, struct peer *peer)
{
	loom_counter_add(peers->dropped, peer->nwaiting);
	g_hash_table_remove(peers->table, peer->address);
	loom_gauge_set(peers->open, g_hash_table_size(peers->table));
}

static void
close_least_used(struct loom_peers *peers)
{
	struct peer *peer, *least = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer = value;
		if (least == NULL || peer->used_us < least->used_us)
			least = peer;
	}
	if (least != NULL)
		close_peer(peers, least);
}

static struct peer *
open_peer(struct loom_peers *peers, const char *address)
{
	struct peer *peer;

	if (g_hash_table_size(peers->table) >= peers->options.max)
		close_least_used(peers);
	peer = talloc_zero(peers, struct peer);
	if (peer == NULL)
		return NULL;
	talloc_set_destructor(peer, peer_destroy);
	peer->peers = peers;
	g_strlcpy(peer->address, address, sizeof(peer->address));
	if (!open_socket(peer)) {
		talloc_free(peer);
		return NULL;
	}
	g_hash_table_insert(peers->table, peer->address, peer);
	loom_counter_add(peers->connected, 1);
	loom_gauge_set(peers->open, g_hash_table_size(peers->table));
	return peer;
}

static bool
hand_over(struct peer *peer, const void *data, size_t len, uint64_t now_us)
{
	peer->used_us = now_us;
	if (!push_waiting(peer, data, len, now_us))
		return false;
	flush(peer);
	return true;
}

static struct peer *
find_peer(struct loom_peers *peers, const char *address)
{
	struct peer *peer = g_hash_table_lookup(peers->table, address);

	return peer != NULL ? peer : open_peer(peers, address);
}

bool
loom_peers_tell_address(
    struct loom_peers *peers, const char *address, uint64_t now_us)
{
	struct peer *peer = find_peer(peers, address);

	if (peer == NULL ||
	    (peer->ntold >= TELL_FIRST && now_us < peer->told_us + TELL_GAP_US))
		return false;
	peer->told_us = now_us;
	peer->ntold = MIN(peer->ntold + 1, TELL_FIRST);
	return true;
}

bool
loom_peers_send(struct loom_peers *peers, const char *address, const void *data,
    size_t len, uint64_t now_us)
{
	struct peer *peer = find_peer(peers, address);

	if (peer != NULL && hand_over(peer, data, len, now_us))
		return true;
	loom_counter_add(peers->dropped, 1);
	return false;
}

static void
drop_late(struct peer *peer, uint64_t now_us)
{
	while (peer->nwaiting > 0 &&
	    now_us - peer->waiting[peer->first].since_us > WAITING_MAX_US) {
		pop_waiting(peer);
		loom_counter_add(peer->peers->dropped, 1);
	}
}

void
loom_peers_sweep(struct loom_peers *peers, uint64_t now_us)
{
	GHashTableIter iter;
	struct peer *peer;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer = value;
		drop_late(peer, now_us);
		if (now_us - peer->used_us > peers->options.idle_us)
			g_hash_table_iter_remove(&iter);
	}
	loom_gauge_set(peers->open, g_hash_table_size(peers->table));
}

static void
free_peer(gpointer peer)
{
	talloc_free(peer);
}

static int
peers_destroy(struct loom_peers *peers)
{
	g_hash_table_destroy(peers->table);
	return 0;
}

struct loom_peers *
loom_peers_new(TALLOC_CTX *mem_ctx, const struct loom_peers_options *options)
{
	struct loom_peers *peers = talloc_zero(mem_ctx, struct loom_peers);

	if (peers == NULL)
		return NULL;
	peers->options = *options;
	peers->table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	talloc_set_destructor(peers, peers_destroy);
	peers->dropped = loom_counter("loom_inner_send_dropped_total", NULL,
	    "Messages to peers dropped before they were sent.");
	peers->connected = loom_counter("loom_inner_connections_total", NULL,
	    "Connections opened to peers.");
	peers->open = loom_gauge("loom_inner_connections_open", NULL,
	    "Connections to peers that are open.");
	return peers;
}
