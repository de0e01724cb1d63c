/*
 * TCP relay that simulates the network between hosts.  It listens on the
 * addresses that the hosts use for each other, forwards bytes to the ports on
 * which they really listen, and simulates a network partition when a test
 * requests one.
 *
 * A host is identified by the last octet of its loopback address: NET.1 to
 * NET.HOSTS are the hosts, NET.PLATFORM_HOST is the platform.  The relay
 * identifies the sender by its source address, so the daemons must run with
 * "source_address" set.
 *
 *   POST /test/cut?from=1,2&to=3,4&ways=both|one&mode=hold|drop|reset[&port=N]
 *       Stops traffic from each host in "from" to each host in "to", and with
 *       "both" also in the opposite direction.  Existing connections stay
 *       open, but no data passes.  Data sent during the cut is delivered once
 *       the cut ends (hold), or it is discarded and the connection is reset
 *       once the cut ends (drop, reset).  New connections are accepted and
 *       carry no data (hold, drop), or are reset at once (reset).  With a
 *       port, only connections to this listening port are affected.
 *   POST /test/heal
 *       Ends all cuts.
 *   GET /test/held
 *       Returns how many directions of connections are cut at present.
 *
 * The relay can't simulate a SYN that is never answered: the kernel completes
 * the handshake before the relay learns the source address.  A daemon that
 * connects across a cut therefore sees an established connection, which is the
 * harder case.  test_fetch covers the unanswered SYN.
 */

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST_ID_COUNT 256
#define PLATFORM_HOST 251
#define BACKLOG 512
#define BUFFER_BYTES (32 * 1024)
/* Poll timeout: the longest time until the forwarding loop notices that a cut
 * was set or ended. */
#define POLL_TIMEOUT_MS 10

/* What happens to the bytes that one host sends to another. */
enum cut {
	CUT_NONE,
	CUT_HOLD,
	CUT_DROP,
	CUT_RESET, /* like CUT_DROP, but new connections are reset */
	CUT_COUNT,
};

/* The cut of one direction between two hosts. */
struct pair_cut {
	enum cut cut;
	uint16_t port; /* the only listening port affected; 0 for all */
};

static const char *const cut_names[CUT_COUNT] = {
	[CUT_NONE] = "none",
	[CUT_HOLD] = "hold",
	[CUT_DROP] = "drop",
	[CUT_RESET] = "reset",
};

struct listener {
	int fd;
	uint8_t host; /* the host it forwards to */
	uint16_t port;
	struct sockaddr_in target;
};

/* One direction of a connection. */
struct flow {
	int in; /* borrowed from the connection, as is out */
	int out;
	uint8_t from;
	uint8_t to;
	uint16_t port; /* listening port of the connection */
	uint8_t *data; /* owned; bytes read and not yet written */
	size_t start;
	size_t len;
	bool read_ended; /* end of stream or a read error */
	bool write_ended; /* the end was forwarded with shutdown() */
	bool data_lost; /* some of its bytes were discarded */
};

struct connection {
	int fds[2];
	struct flow flows[2];
};

static struct {
	GMutex lock; /* protects cuts and held */
	struct pair_cut cuts[HOST_ID_COUNT][HOST_ID_COUNT]; /* [from][to] */
	uint32_t held;
	uint32_t net; /* the first three octets, in host byte order */
	GArray *listeners; /* of struct listener */
	GPtrArray *connections; /* of struct connection, owned */
	volatile sig_atomic_t stopping;
} relay;

/* The caller holds the lock. */
static enum cut
cut_of_port(uint8_t from, uint8_t to, uint16_t port)
{
	const struct pair_cut *pair = &relay.cuts[from][to];

	return pair->port == 0 || pair->port == port ? pair->cut : CUT_NONE;
}

static enum cut
cut_between(uint8_t from, uint8_t to, uint16_t port)
{
	enum cut cut;

	g_mutex_lock(&relay.lock);
	cut = cut_of_port(from, to, port);
	g_mutex_unlock(&relay.lock);
	return cut;
}

static enum cut
flow_cut(const struct flow *flow)
{
	return cut_between(flow->from, flow->to, flow->port);
}

/* Returns 0 for an address outside the hosts' network; a cut never applies to
 * it unless a test names host 0. */
static uint8_t
host_of(const struct sockaddr_in *address)
{
	uint32_t ip = ntohl(address->sin_addr.s_addr);

	return ip >> 8 == relay.net ? (uint8_t)ip : 0;
}

static void
reset_on_close(int fd)
{
	const struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Closes both sockets, with a reset if any bytes were discarded. */
static void
connection_free(void *arg)
{
	struct connection *connection = arg;
	int i;

	for (i = 0; i < 2; i++) {
		if (connection->flows[i].data_lost) {
			reset_on_close(connection->fds[0]);
			reset_on_close(connection->fds[1]);
		}
		g_free(connection->flows[i].data);
	}
	close(connection->fds[0]);
	close(connection->fds[1]);
	g_free(connection);
}

static int
connect_to(const struct sockaddr_in *target)
{
	const int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (const struct sockaddr *)target, sizeof(*target)) !=
		0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void
add_connection(const struct listener *listener, int client, uint8_t from)
{
	struct connection *connection;
	int server = connect_to(&listener->target);
	int i;

	if (server < 0) {
		close(client);
		return;
	}
	connection = g_new0(struct connection, 1);
	connection->fds[0] = client;
	connection->fds[1] = server;
	for (i = 0; i < 2; i++)
		connection->flows[i] = (struct flow){
			.in = connection->fds[i],
			.out = connection->fds[1 - i],
			.from = i == 0 ? from : listener->host,
			.to = i == 0 ? listener->host : from,
			.port = listener->port,
			.data = g_malloc(BUFFER_BYTES),
		};
	g_ptr_array_add(relay.connections, connection);
}

static void
accept_connections(const struct listener *listener)
{
	const int one = 1;
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	uint8_t from;
	int fd;

	while ((fd = accept4(listener->fd, (struct sockaddr *)&address, &size,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		from = host_of(&address);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (cut_between(from, listener->host, listener->port) ==
		    CUT_RESET) {
			reset_on_close(fd);
			close(fd);
		} else {
			add_connection(listener, fd, from);
		}
	}
}

/* Returns whether the flow may read and write now.  Under CUT_DROP and
 * CUT_RESET it may: its bytes are read and discarded. */
static bool
flow_may_move(struct flow *flow, enum cut cut)
{
	if (cut == CUT_NONE || cut == CUT_HOLD)
		return cut == CUT_NONE;
	if (flow->len > 0)
		flow->data_lost = true;
	flow->len = 0;
	return true;
}

static void
flow_read(struct flow *flow, enum cut cut)
{
	ssize_t received_bytes = recv(flow->in, flow->data, BUFFER_BYTES, 0);

	if (received_bytes < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (received_bytes <= 0) {
		flow->read_ended = true;
		return;
	}
	flow->start = 0;
	flow->len = (size_t)received_bytes;
	if (cut != CUT_NONE) {
		flow->data_lost = true;
		flow->len = 0;
	}
}

/* Returns false on a write error. */
static bool
flow_write(struct flow *flow)
{
	ssize_t sent_bytes =
	    send(flow->out, flow->data + flow->start, flow->len, MSG_NOSIGNAL);

	if (sent_bytes < 0)
		return errno == EAGAIN || errno == EINTR;
	flow->start += (size_t)sent_bytes;
	flow->len -= (size_t)sent_bytes;
	return true;
}

/* Returns false if the connection must be closed. */
static bool
flow_forward(struct flow *flow)
{
	enum cut cut = flow_cut(flow);

	if (!flow_may_move(flow, cut))
		return true;
	/* The cut has ended, but bytes are missing from the stream. */
	if (flow->data_lost && cut == CUT_NONE)
		return false;
	if (flow->len == 0 && !flow->read_ended)
		flow_read(flow, cut);
	if (flow->len > 0 && !flow_write(flow))
		return false;
	if (flow->read_ended && flow->len == 0 && !flow->write_ended &&
	    cut == CUT_NONE) {
		shutdown(flow->out, SHUT_WR);
		flow->write_ended = true;
	}
	return true;
}

static bool
connection_forward(struct connection *connection)
{
	struct flow *flows = connection->flows;

	return flow_forward(&flows[0]) && flow_forward(&flows[1]) &&
	    !(flows[0].write_ended && flows[1].write_ended);
}

/* Sets the events that the flow waits for.  poll() reports POLLERR and POLLHUP
 * even if no event is requested, so a broken socket would make the loop spin;
 * its descriptor is left out while the flow is held. */
static void
set_flow_events(const struct flow *flow, struct pollfd *in, struct pollfd *out)
{
	enum cut cut = flow_cut(flow);

	if (cut == CUT_HOLD || flow->write_ended ||
	    (flow->read_ended && flow->len == 0))
		return;
	if (flow->len > 0) {
		out->fd = flow->out;
		out->events |= POLLOUT;
	} else {
		in->fd = flow->in;
		in->events |= POLLIN;
	}
}

static void
add_poll_fd(GArray *polls, int fd)
{
	const struct pollfd poll = { .fd = fd, .events = POLLIN };

	g_array_append_val(polls, poll);
}

static void
poll_sockets(GArray *polls)
{
	struct connection *connection;
	struct pollfd *poll_of;
	guint i;

	g_array_set_size(polls, 0);
	for (i = 0; i < relay.listeners->len; i++)
		add_poll_fd(polls,
		    g_array_index(relay.listeners, struct listener, i).fd);
	g_array_set_size(
	    polls, relay.listeners->len + 2 * relay.connections->len);
	for (i = 0; i < relay.connections->len; i++) {
		connection = g_ptr_array_index(relay.connections, i);
		poll_of = &g_array_index(
		    polls, struct pollfd, relay.listeners->len + 2 * i);
		poll_of[0] = (struct pollfd){ .fd = -1 };
		poll_of[1] = (struct pollfd){ .fd = -1 };
		set_flow_events(
		    &connection->flows[0], &poll_of[0], &poll_of[1]);
		set_flow_events(
		    &connection->flows[1], &poll_of[1], &poll_of[0]);
	}
	poll((struct pollfd *)(void *)polls->data, polls->len, POLL_TIMEOUT_MS);
}

static uint32_t
count_held(void)
{
	const struct connection *connection;
	const struct flow *flow;
	uint32_t held = 0;
	guint i;

	for (i = 0; i < 2 * relay.connections->len; i++) {
		connection = g_ptr_array_index(relay.connections, i / 2);
		flow = &connection->flows[i % 2];
		held +=
		    cut_of_port(flow->from, flow->to, flow->port) != CUT_NONE;
	}
	return held;
}

/* Accepts connections and forwards their data until SIGTERM. */
static void
run_forwarding_loop(void)
{
	GArray *polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	guint i;

	while (!relay.stopping) {
		poll_sockets(polls);
		for (i = 0; i < relay.listeners->len; i++)
			accept_connections(&g_array_index(
			    relay.listeners, struct listener, i));
		for (i = relay.connections->len; i > 0; i--) {
			if (!connection_forward(
				g_ptr_array_index(relay.connections, i - 1)))
				g_ptr_array_remove_index_fast(
				    relay.connections, i - 1);
		}
		g_mutex_lock(&relay.lock);
		relay.held = count_held();
		g_mutex_unlock(&relay.lock);
	}
	g_array_free(polls, TRUE);
}

/* Parses a comma-separated list such as "1,2,251"; NULL or "" is no host. */
static void
parse_hosts(const char *text, bool is_member[HOST_ID_COUNT])
{
	char **words = g_strsplit(text != NULL ? text : "", ",", -1);
	char **word;

	memset(is_member, 0, HOST_ID_COUNT * sizeof(bool));
	for (word = words; *word != NULL; word++)
		is_member[strtoul(*word, NULL, 10) % HOST_ID_COUNT] = true;
	g_strfreev(words);
}

static const char *
argument(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);
}

static bool
parse_cut_mode(const char *mode, enum cut *cut)
{
	int i;

	for (i = CUT_HOLD; i < CUT_COUNT; i++) {
		if (g_strcmp0(mode, cut_names[i]) == 0) {
			*cut = (enum cut)i;
			return true;
		}
	}
	return false;
}

/* Applies the query of /test/cut; returns false if the mode is unknown. */
static bool
set_cut(struct MHD_Connection *connection)
{
	bool both = g_strcmp0(argument(connection, "ways"), "one") != 0;
	bool from[HOST_ID_COUNT], to[HOST_ID_COUNT];
	const char *port = argument(connection, "port");
	struct pair_cut pair = { .cut = CUT_NONE };
	int i, j;

	if (!parse_cut_mode(argument(connection, "mode"), &pair.cut))
		return false;
	if (port != NULL)
		pair.port = (uint16_t)strtoul(port, NULL, 10);
	parse_hosts(argument(connection, "from"), from);
	parse_hosts(argument(connection, "to"), to);
	g_mutex_lock(&relay.lock);
	for (i = 0; i < HOST_ID_COUNT; i++) {
		for (j = 0; j < HOST_ID_COUNT; j++) {
			if (from[i] && to[j])
				relay.cuts[i][j] = pair;
			if (both && from[i] && to[j])
				relay.cuts[j][i] = pair;
		}
	}
	g_mutex_unlock(&relay.lock);
	return true;
}

static void
clear_cuts(void)
{
	g_mutex_lock(&relay.lock);
	memset(relay.cuts, 0, sizeof(relay.cuts));
	g_mutex_unlock(&relay.lock);
}

static enum MHD_Result
send_held_count(struct MHD_Connection *connection, unsigned status)
{
	struct MHD_Response *response;
	enum MHD_Result queued;
	char text[16];

	g_mutex_lock(&relay.lock);
	g_snprintf(text, sizeof(text), "%u", relay.held);
	g_mutex_unlock(&relay.lock);
	response = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_COPY);
	queued = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return queued;
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	(void)arg;
	(void)method;
	(void)version;
	(void)data;
	*size = 0;
	(void)state;
	if (strcmp(url, "/test/held") == 0)
		return send_held_count(connection, MHD_HTTP_OK);
	if (strcmp(url, "/test/heal") == 0) {
		clear_cuts();
		return send_held_count(connection, MHD_HTTP_OK);
	}
	if (strcmp(url, "/test/cut") == 0 && set_cut(connection))
		return send_held_count(connection, MHD_HTTP_OK);
	return send_held_count(connection, MHD_HTTP_BAD_REQUEST);
}

static struct sockaddr_in
make_address(uint32_t ip, uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(ip),
	};
}

static void
add_listener(uint8_t host, uint16_t port, struct sockaddr_in target)
{
	struct sockaddr_in address = make_address(relay.net << 8 | host, port);
	struct listener listener = {
		.host = host,
		.port = port,
		.target = target,
	};
	const int one = 1;

	listener.fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(listener.fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener.fd, (struct sockaddr *)&address, sizeof(address)) !=
		0 ||
	    listen(listener.fd, BACKLOG) != 0) {
		fprintf(stderr, "relay: cannot listen: %s\n", strerror(errno));
		exit(EXIT_FAILURE);
	}
	g_array_append_val(relay.listeners, listener);
}

/* Adds a listener for each host; pair is "LISTEN:TARGET", two ports. */
static void
add_hosts(int hosts, const char *pair)
{
	unsigned listen_port = 0, target_port = 0;
	int i;

	if (sscanf(pair, "%u:%u", &listen_port, &target_port) != 2) {
		fprintf(
		    stderr, "relay: --ports is not LISTEN:TARGET: %s\n", pair);
		exit(EXIT_FAILURE);
	}
	for (i = 1; i <= hosts; i++)
		add_listener((uint8_t)i, (uint16_t)listen_port,
		    make_address(
			relay.net << 8 | (uint32_t)i, (uint16_t)target_port));
}

static void
on_signal(int signal_number)
{
	(void)signal_number;
	relay.stopping = 1;
}

static struct MHD_Daemon *
start_control_server(void)
{
	const struct sockaddr_in address = make_address(INADDR_LOOPBACK, 0);
	const union MHD_DaemonInfo *info;
	struct MHD_Daemon *daemon;

	daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
	    NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
	    MHD_OPTION_END);
	if (daemon == NULL) {
		fprintf(stderr, "relay: MHD error\n");
		exit(EXIT_FAILURE);
	}
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
	printf("listening on %u\n", (unsigned)info->port);
	fflush(stdout);
	return daemon;
}

int
main(int argc, char **argv)
{
	struct arg_str *net = arg_str1(NULL, "net", "IP",
	    "network address of the hosts; the last octet is 0");
	struct arg_int *hosts = arg_int1(NULL, "hosts", "N", "number of hosts");
	struct arg_str *ports = arg_strn(NULL, "ports", "LISTEN:TARGET", 1, 4,
	    "listening port and target port on each host");
	struct arg_int *platform = arg_int0(NULL, "platform", "PORT",
	    "platform's port on 127.0.0.1; forwarded from the first LISTEN");
	struct arg_end *end = arg_end(4);
	void *table[] = { net, hosts, ports, platform, end };
	struct MHD_Daemon *daemon;
	int i;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "relay");
		arg_print_syntax(stderr, table, "\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	relay.net = ntohl(inet_addr(net->sval[0])) >> 8;
	relay.listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
	relay.connections = g_ptr_array_new_with_free_func(connection_free);
	for (i = 0; i < ports->count; i++)
		add_hosts(hosts->ival[0], ports->sval[i]);
	if (platform->count > 0)
		add_listener(PLATFORM_HOST,
		    (uint16_t)strtoul(ports->sval[0], NULL, 10),
		    make_address(INADDR_LOOPBACK, (uint16_t)platform->ival[0]));
	daemon = start_control_server();
	run_forwarding_loop();
	MHD_stop_daemon(daemon);
	g_ptr_array_unref(relay.connections);
	g_array_free(relay.listeners, TRUE);
	arg_freetable(table, G_N_ELEMENTS(table));
	return EXIT_SUCCESS;
}
