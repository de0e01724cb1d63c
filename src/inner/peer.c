/*
 * Outgoing connections.
 *
 * With ZMQ_IMMEDIATE, ZeroMQ accepts no message until a connection is
 * established, so that nothing accumulates for a peer that is gone. The first
 * messages to a new peer are therefore queued here, in a small queue and for a
 * short time: a message delivered a minute late is worse than a lost one,
 * because its content is out of date.
 *
 * A peer costs a socket, a TCP connection and a handshake of about 1.5 KB, so
 * connections are kept while in use and closed when idle. When the maximum
 * number is reached, the least recently used one is closed.
 *
 * ZeroMQ heartbeats are not used: with one ping every five seconds, fifty
 * connections would use a third of the 3 KB/s allowed for control traffic.
 * Instead, ZMQ_TCP_MAXRT closes a connection whose data is not acknowledged.
 */

#include <string.h>
#include <zmq.h>

#include "inner/peer.h"
#include "loom/clock.h"
#include "loom/counter.h"

/*
 * Limits on the messages queued for a new connection, and on their waiting
 * time.
 */
#define PENDING_MAX 16
#define PENDING_MAX_BYTES (2 * LOOM_PAYLOAD_MAX)
#define PENDING_MAX_US (2 * LOOM_US_PER_S)
/* Messages in ZeroMQ's queue for one peer. */
#define SEND_HWM 32
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 1000
#define HANDSHAKE_TIMEOUT_MS 5000
#define UNACKNOWLEDGED_MAX_MS 1000
/* Only the handshake is received on these sockets. */
#define RECEIVE_MAX_BYTES INT64_C(4096)
/*
 * Which messages include this daemon's address. A peer that has not received
 * the address looks it up in the host list, which lags, so its answers to a new
 * daemon would be lost. It uses a received address for a minute. The first
 * messages include the address, since some may be lost, and after that one
 * every few seconds, for a peer that has been restarted. It is omitted from all
 * others, because it would be a quarter of the size of a renewal of rights.
 */
#define ADDRESS_FIRST_MESSAGES 8
#define ADDRESS_INTERVAL_US (5 * LOOM_US_PER_S)
/* For "tcp://SOURCE:0;ADDRESS". */
#define ENDPOINT_SIZE (2 * LOOM_ADDRESS_SIZE + 16)

struct pending_message {
	uint8_t *data; /* owned */
	size_t len;
	uint64_t queued_us;
};

struct peer {
	struct loom_peers *peers; /* borrowed */
	char address[LOOM_ADDRESS_SIZE];
	void *socket; /* owned: DEALER */
	struct tevent_fd *fde; /* owned */
	struct pending_message pending[PENDING_MAX]; /* ring buffer */
	uint32_t first; /* index of the oldest pending message */
	uint32_t npending;
	size_t pending_bytes;
	uint64_t last_used_us;
	uint64_t address_sent_us;
	uint32_t naddress_sent; /* stops at ADDRESS_FIRST_MESSAGES */
};

struct loom_peers {
	struct loom_peers_options options;
	GHashTable *table; /* struct peer by address; talloc */
	struct loom_counter *dropped; /* borrowed */
	struct loom_counter *connected; /* borrowed */
	struct loom_counter *open; /* borrowed */
};

static void
pop_pending(struct peer *peer)
{
	struct pending_message *first = &peer->pending[peer->first];

	peer->pending_bytes -= first->len;
	TALLOC_FREE(first->data);
	peer->first = (peer->first + 1) % PENDING_MAX;
	peer->npending--;
}

/*
 * Queues a message. Returns false if the queue is full. A single message may be
 * larger than PENDING_MAX_BYTES.
 */
static bool
push_pending(struct peer *peer, const void *data, size_t len, uint64_t now_us)
{
	struct pending_message *last;

	if (peer->npending == PENDING_MAX ||
	    (peer->npending > 0 &&
		peer->pending_bytes + len > PENDING_MAX_BYTES))
		return false;
	last = &peer->pending[(peer->first + peer->npending) % PENDING_MAX];
	last->data = talloc_memdup(peer, data, len);
	if (last->data == NULL)
		return false;
	last->len = len;
	last->queued_us = now_us;
	peer->npending++;
	peer->pending_bytes += len;
	return true;
}

static bool
send_to_socket(struct peer *peer, const void *data, size_t len)
{
	return zmq_send(peer->socket, data, len, ZMQ_DONTWAIT) >= 0;
}

/*
 * Reading ZMQ_EVENTS makes ZeroMQ process all its pending internal commands.
 * Without it, the descriptor may never become readable again: zmq_send() checks
 * the mailbox only occasionally, and commands left unread there trigger no
 * further edge.
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
flush_pending(struct peer *peer)
{
	const struct pending_message *first;

	while (peer->npending > 0 && is_writable(peer)) {
		first = &peer->pending[peer->first];
		if (!send_to_socket(peer, first->data, first->len))
			return;
		pop_pending(peer);
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
	if (is_writable(peer)) /* also re-arms the edge-triggered descriptor */
		flush_pending(peer);
}

static int
peer_destroy(struct peer *peer)
{
	/* Must precede zmq_close(), which closes the descriptor. */
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
	loom_counter_add(peers->dropped, peer->npending);
	g_hash_table_remove(peers->table, peer->address);
	loom_gauge_set(peers->open, g_hash_table_size(peers->table));
}

static void
close_least_recently_used(struct loom_peers *peers)
{
	struct peer *peer, *lru = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer = value;
		if (lru == NULL || peer->last_used_us < lru->last_used_us)
			lru = peer;
	}
	if (lru != NULL)
		close_peer(peers, lru);
}

static struct peer *
open_peer(struct loom_peers *peers, const char *address)
{
	struct peer *peer;

	if (g_hash_table_size(peers->table) >= peers->options.max_connections)
		close_least_recently_used(peers);
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

/*
 * Queues a message after those already pending, to keep their order, and sends
 * as many as ZeroMQ accepts.
 */
static bool
send_or_queue(struct peer *peer, const void *data, size_t len, uint64_t now_us)
{
	peer->last_used_us = now_us;
	if (!push_pending(peer, data, len, now_us))
		return false;
	flush_pending(peer);
	return true;
}

static struct peer *
get_or_open_peer(struct loom_peers *peers, const char *address)
{
	struct peer *peer = g_hash_table_lookup(peers->table, address);

	return peer != NULL ? peer : open_peer(peers, address);
}

bool
loom_peers_include_address(
    struct loom_peers *peers, const char *address, uint64_t now_us)
{
	struct peer *peer = get_or_open_peer(peers, address);

	if (peer == NULL ||
	    (peer->naddress_sent >= ADDRESS_FIRST_MESSAGES &&
		now_us < peer->address_sent_us + ADDRESS_INTERVAL_US))
		return false;
	peer->address_sent_us = now_us;
	peer->naddress_sent =
	    MIN(peer->naddress_sent + 1, ADDRESS_FIRST_MESSAGES);
	return true;
}

bool
loom_peers_send(struct loom_peers *peers, const char *address, const void *data,
    size_t len, uint64_t now_us)
{
	struct peer *peer = get_or_open_peer(peers, address);

	if (peer != NULL && send_or_queue(peer, data, len, now_us))
		return true;
	loom_counter_add(peers->dropped, 1);
	return false;
}

static void
drop_expired(struct peer *peer, uint64_t now_us)
{
	while (peer->npending > 0 &&
	    now_us - peer->pending[peer->first].queued_us > PENDING_MAX_US) {
		pop_pending(peer);
		loom_counter_add(peer->peers->dropped, 1);
	}
}

void
loom_peers_expire(struct loom_peers *peers, uint64_t now_us)
{
	GHashTableIter iter;
	struct peer *peer;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer = value;
		drop_expired(peer, now_us);
		if (now_us - peer->last_used_us > peers->options.idle_us)
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
