/*
 * The transport between daemons: the ROUTER socket that receives, the monitor
 * that counts failed handshakes, and outgoing messages, which peer.c sends.
 */

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "inner/peer.h"
#include "loom/clock.h"
#include "loom/counter.h"
#include "loom/log.h"
#include "loom/timer.h"

/*
 * Messages received per iteration of the event loop, so that a flood of
 * messages cannot delay timers.
 */
#define RECEIVE_BATCH 64
/* Messages in ZeroMQ's queue for one incoming connection. */
#define RECEIVE_HWM 256
#define BACKLOG 1024
#define HANDSHAKE_TIMEOUT_MS 5000
#define KEEPALIVE_IDLE_S 60
#define PEERS_DEFAULT 256
#define IDLE_DEFAULT_MS 60000
#define SWEEP_MS 1000
#define MONITOR_ENDPOINT "inproc://loom-monitor"
#define TCP_PREFIX "tcp://"
#define HANDSHAKE_FAILED_EVENTS                   \
	(ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |   \
	    ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | \
	    ZMQ_EVENT_HANDSHAKE_FAILED_AUTH)

struct drop_counter {
	enum loom_result code;
	const char *labels;
	struct loom_counter *counter; /* borrowed */
};

struct loom_inner {
	struct tevent_context *ev; /* borrowed */
	struct loom_inner_options options;
	struct loom_curve curve;
	char address[LOOM_ADDRESS_SIZE];
	void *zmq; /* owned: the ZeroMQ context */
	void *router; /* owned */
	void *monitor; /* owned: PAIR */
	struct loom_zap *zap; /* owned */
	struct loom_peers *peers; /* owned */
	struct loom_replay_window *replay_window; /* owned */
	struct tevent_fd *router_fde; /* owned */
	struct tevent_fd *monitor_fde; /* owned */
	struct tevent_immediate *receive_immediate; /* owned */
	struct loom_timers *timers; /* owned */
	struct loom_timer *sweep; /* owned */
	uint8_t *send_buffer; /* owned: the message being encoded */
	uint64_t sequence;
	loom_inner_receive receive;
	void *arg; /* borrowed */
	struct loom_counter *received; /* borrowed, like all counters */
	struct loom_counter *received_bytes;
	struct loom_counter *sent;
	struct loom_counter *sent_bytes;
	struct loom_counter *handshake_failures;
	struct drop_counter drops[5];
};

static void
count_drop(struct loom_inner *inner, enum loom_result code)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(inner->drops); i++) {
		if (inner->drops[i].code == code)
			loom_counter_add(inner->drops[i].counter, 1);
	}
}

/* Checks a message, and passes it on if it is valid and not a replay. */
static void
handle_message(struct loom_inner *inner, const void *data, size_t len)
{
	struct loom_message envelope;
	uint64_t now_us = loom_now_us();
	enum loom_result result;

	loom_counter_add(inner->received, 1);
	loom_counter_add(inner->received_bytes, (int64_t)len);
	result = loom_message_unpack(data, len, &envelope);
	if (result == LOOM_OK &&
	    !loom_replay_window_accept(inner->replay_window, &envelope.from,
		envelope.sequence, now_us))
		result = LOOM_INNER_REPLAYED;
	if (result != LOOM_OK) {
		count_drop(inner, result);
		return;
	}
	inner->receive(inner->arg, &envelope, now_us);
}

/*
 * Receives one message: the routing id followed by a single frame. Other frame
 * counts are malformed. Returns false if no message is pending.
 */
static bool
receive_one(struct loom_inner *inner)
{
	zmq_msg_t frame, body;
	unsigned frames = 0;
	bool more = true;

	zmq_msg_init(&body);
	while (more) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, inner->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			zmq_msg_close(&body);
			return false;
		}
		more = zmq_msg_more(&frame);
		frames++;
		if (frames == 2)
			zmq_msg_move(&body, &frame);
		zmq_msg_close(&frame);
	}
	if (frames == 2)
		handle_message(inner, zmq_msg_data(&body), zmq_msg_size(&body));
	else
		count_drop(inner, LOOM_INNER_MALFORMED);
	zmq_msg_close(&body);
	return true;
}

static void receive_more(
    struct tevent_context *, struct tevent_immediate *, void *arg);

/*
 * ZeroMQ's descriptor is edge-triggered and does not signal messages that were
 * already pending. Therefore either all messages are read, or another iteration
 * is scheduled.
 */
static void
receive_batch(struct loom_inner *inner)
{
	unsigned i;

	for (i = 0; i < RECEIVE_BATCH; i++) {
		if (!receive_one(inner))
			return;
	}
	tevent_schedule_immediate(
	    inner->receive_immediate, inner->ev, receive_more, inner);
}

static void
receive_more(
    struct tevent_context *ev, struct tevent_immediate *immediate, void *arg)
{
	(void)ev;
	(void)immediate;
	receive_batch(arg);
}

static void
router_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	(void)ev;
	(void)fde;
	(void)flags;
	receive_batch(arg);
}

/* Counts failed handshakes. The monitor subscribes to no other events. */
static void
read_monitor(struct loom_inner *inner)
{
	char frame[LOOM_ADDRESS_SIZE];
	size_t size = sizeof(int);
	int more;

	while (
	    zmq_recv(inner->monitor, frame, sizeof(frame), ZMQ_DONTWAIT) >= 0) {
		zmq_getsockopt(inner->monitor, ZMQ_RCVMORE, &more, &size);
		if (!more)
			loom_counter_add(inner->handshake_failures, 1);
	}
}

static void
monitor_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	(void)ev;
	(void)fde;
	(void)flags;
	read_monitor(arg);
}

static void schedule_sweep(struct loom_inner *);

static void
on_sweep_timer(void *arg)
{
	struct loom_inner *inner = arg;

	loom_peers_expire(inner->peers, loom_now_us());
	schedule_sweep(inner);
}

static void
schedule_sweep(struct loom_inner *inner)
{
	inner->sweep = loom_timer_add(inner->timers, inner,
	    SWEEP_MS * LOOM_US_PER_MS, on_sweep_timer, inner);
}

static bool
set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value)) == 0;
}

static bool
set_router_options(void *router)
{
	int64_t max = LOOM_PAYLOAD_MAX + LOOM_MESSAGE_HEADER_MAX;

	return set_int(router, ZMQ_LINGER, 0) &&
	    set_int(router, ZMQ_RCVHWM, RECEIVE_HWM) &&
	    set_int(router, ZMQ_SNDHWM, 1) &&
	    set_int(router, ZMQ_BACKLOG, BACKLOG) &&
	    set_int(router, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS) &&
	    set_int(router, ZMQ_TCP_KEEPALIVE, 1) &&
	    set_int(router, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S) &&
	    zmq_setsockopt(router, ZMQ_MAXMSGSIZE, &max, sizeof(max)) == 0;
}

static bool
bind_router(struct loom_inner *inner, GError **error)
{
	char endpoint[LOOM_ADDRESS_SIZE + sizeof(TCP_PREFIX)];
	size_t size = sizeof(endpoint);

	g_snprintf(
	    endpoint, sizeof(endpoint), TCP_PREFIX "%s", inner->options.bind);
	/* In ZeroMQ, "*" selects a free port; 0 is taken literally. */
	if (g_str_has_suffix(endpoint, ":0"))
		endpoint[strlen(endpoint) - 1] = '*';
	if (zmq_bind(inner->router, endpoint) != 0)
		return loom_set_error(error, LOOM_INNER_SOCKET, "%s: %s",
		    inner->options.bind, zmq_strerror(zmq_errno()));
	zmq_getsockopt(inner->router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	g_strlcpy(inner->address, endpoint + strlen(TCP_PREFIX),
	    sizeof(inner->address));
	return true;
}

static struct tevent_fd *
watch_socket(
    struct loom_inner *inner, void *socket, tevent_fd_handler_t handler)
{
	size_t size = sizeof(int);
	int fd;

	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size) != 0)
		return NULL;
	return tevent_add_fd(
	    inner->ev, inner, fd, TEVENT_FD_READ, handler, inner);
}

static bool
open_monitor(struct loom_inner *inner)
{
	if (zmq_socket_monitor(
		inner->router, MONITOR_ENDPOINT, HANDSHAKE_FAILED_EVENTS) != 0)
		return false;
	inner->monitor = zmq_socket(inner->zmq, ZMQ_PAIR);
	return inner->monitor != NULL &&
	    set_int(inner->monitor, ZMQ_LINGER, 0) &&
	    zmq_connect(inner->monitor, MONITOR_ENDPOINT) == 0;
}

/*
 * Events that occurred before a descriptor was watched trigger no edge on it,
 * so each socket is read once at the start. The ZAP handler is created before
 * the router is bound, so that no connection can bypass it.
 */
static bool
open_sockets(struct loom_inner *inner, GError **error)
{
	inner->zmq = zmq_ctx_new();
	if (inner->zmq == NULL)
		return loom_set_error(
		    error, LOOM_INNER_SOCKET, "cannot create a ZeroMQ context");
	inner->zap = loom_zap_new(inner, inner->ev, inner->zmq, &inner->curve);
	inner->router = zmq_socket(inner->zmq, ZMQ_ROUTER);
	if (inner->zap == NULL || inner->router == NULL ||
	    !set_router_options(inner->router) ||
	    !loom_curve_server(&inner->curve, inner->router) ||
	    !open_monitor(inner))
		return loom_set_error(
		    error, LOOM_INNER_SOCKET, "%s", zmq_strerror(zmq_errno()));
	if (!bind_router(inner, error))
		return false;
	inner->router_fde = watch_socket(inner, inner->router, router_ready);
	inner->monitor_fde = watch_socket(inner, inner->monitor, monitor_ready);
	if (inner->router_fde == NULL || inner->monitor_fde == NULL)
		return loom_set_error(error, LOOM_INNER_SOCKET,
		    "cannot watch the ZeroMQ descriptors");
	read_monitor(inner);
	return true;
}

static void
close_socket(void *socket)
{
	if (socket != NULL)
		zmq_close(socket);
}

static int
inner_destroy(struct loom_inner *inner)
{
	TALLOC_FREE(inner->router_fde);
	TALLOC_FREE(inner->monitor_fde);
	TALLOC_FREE(inner->peers);
	TALLOC_FREE(inner->zap);
	if (inner->router != NULL)
		zmq_socket_monitor(inner->router, NULL, 0);
	close_socket(inner->monitor);
	close_socket(inner->router);
	if (inner->zmq != NULL)
		zmq_ctx_term(inner->zmq);
	return 0;
}

static void
register_counters(struct loom_inner *inner)
{
	static const struct drop_counter drops[] = {
		{ LOOM_INNER_TRUNCATED, "reason=\"truncated\"", NULL },
		{ LOOM_INNER_VERSION, "reason=\"version\"", NULL },
		{ LOOM_INNER_MALFORMED, "reason=\"malformed\"", NULL },
		{ LOOM_INNER_OVERSIZED, "reason=\"oversized\"", NULL },
		{ LOOM_INNER_REPLAYED, "reason=\"replayed\"", NULL },
	};
	size_t i;

	G_STATIC_ASSERT(sizeof(drops) == sizeof(inner->drops));
	memcpy(inner->drops, drops, sizeof(drops));
	for (i = 0; i < G_N_ELEMENTS(drops); i++)
		inner->drops[i].counter =
		    loom_counter("loom_inner_dropped_total", drops[i].labels,
			"Messages from peers that were dropped.");
	inner->received = loom_counter(
	    "loom_inner_received_total", NULL, "Messages received from peers.");
	inner->received_bytes = loom_counter("loom_inner_received_bytes_total",
	    NULL, "Bytes of messages received, without the wire's own.");
	inner->sent = loom_counter(
	    "loom_inner_sent_total", NULL, "Messages given to be sent.");
	inner->sent_bytes = loom_counter("loom_inner_sent_bytes_total", NULL,
	    "Bytes of messages sent, without the wire's own.");
	inner->handshake_failures = loom_counter("loom_inner_strangers_total",
	    NULL, "Connections that failed to prove the fleet's key.");
}

static bool
create_components(struct loom_inner *inner)
{
	const struct loom_inner_options *options = &inner->options;
	struct loom_peers_options peers = {
		.zmq = inner->zmq,
		.ev = inner->ev,
		.curve = &inner->curve,
		.source = options->source,
		.max_connections = options->max_connections > 0
		    ? options->max_connections
		    : PEERS_DEFAULT,
		.idle_us = LOOM_US_PER_MS *
		    (options->idle_timeout_ms > 0 ? options->idle_timeout_ms
						  : IDLE_DEFAULT_MS),
	};

	inner->peers = loom_peers_new(inner, &peers);
	inner->replay_window = loom_replay_window_new(inner);
	inner->receive_immediate = tevent_create_immediate(inner);
	inner->send_buffer =
	    talloc_size(inner, LOOM_PAYLOAD_MAX + LOOM_MESSAGE_HEADER_MAX);
	return inner->peers != NULL && inner->replay_window != NULL &&
	    inner->receive_immediate != NULL && inner->send_buffer != NULL;
}

struct loom_inner *
loom_inner_new(TALLOC_CTX *mem_ctx, struct tevent_context *ev,
    const struct loom_inner_options *options, loom_inner_receive receive,
    void *arg, GError **error)
{
	struct loom_inner *inner = talloc_zero(mem_ctx, struct loom_inner);

	if (inner == NULL) {
		loom_set_error(error, LOOM_NO_MEMORY, "transport");
		return NULL;
	}
	inner->ev = ev;
	inner->options = *options;
	inner->options.bind = talloc_strdup(inner, options->bind);
	inner->receive = receive;
	inner->arg = arg;
	talloc_set_destructor(inner, inner_destroy);
	loom_curve_derive(&inner->curve, options->secret);
	register_counters(inner);
	inner->timers = loom_timers_new(inner, ev);
	if (!open_sockets(inner, error))
		goto error;
	if (inner->timers == NULL || !create_components(inner)) {
		loom_set_error(error, LOOM_NO_MEMORY, "transport");
		goto error;
	}
	schedule_sweep(inner);
	tevent_schedule_immediate(
	    inner->receive_immediate, inner->ev, receive_more, inner);
	return inner;

error:
	talloc_free(inner);
	return NULL;
}

const char *
loom_inner_address(const struct loom_inner *inner)
{
	return inner->address;
}

bool
loom_inner_send(struct loom_inner *inner, const char *address, uint8_t type,
    const void *payload, size_t len)
{
	struct loom_message envelope = {
		.from = { .host_id = inner->options.self.host_id,
		    .incarnation = inner->options.self.incarnation },
		.sequence = ++inner->sequence,
		.type = type,
		.payload = payload,
		.len = len,
	};
	const char *control = inner->options.self.control;
	const uint64_t now_us = loom_now_us();
	size_t size;

	if (len > LOOM_PAYLOAD_MAX)
		return false;
	if (loom_peers_include_address(inner->peers, address, now_us))
		g_strlcpy(envelope.control,
		    control != NULL ? control : inner->address,
		    sizeof(envelope.control));
	size = loom_message_pack(&envelope, inner->send_buffer,
	    LOOM_PAYLOAD_MAX + LOOM_MESSAGE_HEADER_MAX);
	if (size == 0)
		return false;
	loom_counter_add(inner->sent, 1);
	loom_counter_add(inner->sent_bytes, (int64_t)size);
	return loom_peers_send(
	    inner->peers, address, inner->send_buffer, size, now_us);
}
