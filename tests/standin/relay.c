/*
 * Stand-in for the network between hosts: it listens at the addresses under
 * which the hosts know each other, forwards bytes to the real ones, and cuts
 * them off from each other when a test says so.
 *
 * Hosts are known by the last number of their loopback address, NET.1 to
 * NET.HOSTS; NET.PLATFORM_HOST is the platform.  Who connects is told by the
 * source address, so daemons run with "source_address".
 *
 *   POST /test/cut?from=1,2&to=3,4&ways=both|one&mode=hold|drop|reset
 *       Nothing that a host of from sends reaches one of to, with "both" the
 *       other way neither.  Connections that stand go silent.  What was sent
 *       is delivered after the cut (hold) or never, and the connection is
 *       reset then (drop).  A new connection is taken and stays silent; with
 *       "reset" it is reset.
 *   POST /test/heal
 *   GET /test/held    how many directions of connections a cut holds now
 *
 * What is not played: a SYN that gets no answer.  The kernel takes the
 * connection before the relay sees from whom it is, so that a daemon that
 * connects across a cut believes to be connected, which is the harder case.
 * test_fetch has the other.
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

#define NODES 256
#define PLATFORM_HOST 251
#define BACKLOG 512
#define BLOCK (32 * 1024)
/* How soon a switch is seen by the loop that forwards. */
#define TURN_MS 10

/* What becomes of bytes from one host to another. */
enum cut {
	CUT_NONE,
	CUT_HOLD,
	CUT_DROP,
	CUT_RESET, /* as CUT_DROP, and new connections are reset */
	CUTS,
};

static const char *const cut_names[CUTS] = {
	[CUT_NONE] = "none",
	[CUT_HOLD] = "hold",
	[CUT_DROP] = "drop",
	[CUT_RESET] = "reset",
};

struct listener {
	int fd;
	uint8_t host; /* to which it leads */
	struct sockaddr_in target;
};

/* One direction of a connection. */
struct flow {
	int in; /* borrowed from the connection */
	int out;
	uint8_t from;
	uint8_t to;
	uint8_t *data; /* owned: read and not yet written */
	size_t start;
	size_t len;
	bool ended; /* no more will be read */
	bool shut; /* and that was passed on */
	bool lost; /* bytes of it were dropped */
};

struct connection {
	int fds[2];
	struct flow flows[2];
};

static struct {
	GMutex lock; /* around cuts and held */
	enum cut cuts[NODES][NODES]; /* by sender and receiver */
	uint32_t held;
	uint32_t net; /* the first three numbers, in host order */
	GArray *listeners; /* of struct listener */
	GPtrArray *connections; /* of struct connection, owned */
	volatile sig_atomic_t stopping;
} relay;

static enum cut
cut_between(uint8_t from, uint8_t to)
{
	enum cut cut;

	g_mutex_lock(&relay.lock);
	cut = relay.cuts[from][to];
	g_mutex_unlock(&relay.lock);
	return cut;
}

/* 0 for one that is no host, which nothing cuts. */
static uint8_t
host_of(const struct sockaddr_in *address)
{
	uint32_t ip = ntohl(address->sin_addr.s_addr);

	return ip >> 8 == relay.net ? (uint8_t)ip : 0;
}

static void
set_reset(int fd)
{
	const struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
connection_free(void *arg)
{
	struct connection *connection = arg;
	int i;

	for (i = 0; i < 2; i++) {
		if (connection->flows[i].lost) {
			set_reset(connection->fds[0]);
			set_reset(connection->fds[1]);
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
			.data = g_malloc(BLOCK),
		};
	g_ptr_array_add(relay.connections, connection);
}

static void
accept_from(const struct listener *listener)
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
		if (cut_between(from, listener->host) == CUT_RESET) {
			set_reset(fd);
			close(fd);
		} else {
			add_connection(listener, fd, from);
		}
	}
}

/* Whether the direction may move now; dropped bytes are read and forgotten. */
static bool
flow_open(struct flow *flow, enum cut cut)
{
	if (cut == CUT_NONE || cut == CUT_HOLD)
		return cut == CUT_NONE;
	if (flow->len > 0)
		flow->lost = true;
	flow->len = 0;
	return true;
}

static void
flow_read(struct flow *flow, enum cut cut)
{
	ssize_t got = recv(flow->in, flow->data, BLOCK, 0);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		flow->ended = true;
		return;
	}
	flow->start = 0;
	flow->len = (size_t)got;
	if (cut != CUT_NONE) {
		flow->lost = true;
		flow->len = 0;
	}
}

/* False when the connection is broken. */
static bool
flow_write(struct flow *flow)
{
	ssize_t put =
	    send(flow->out, flow->data + flow->start, flow->len, MSG_NOSIGNAL);

	if (put < 0)
		return errno == EAGAIN || errno == EINTR;
	flow->start += (size_t)put;
	flow->len -= (size_t)put;
	return true;
}

/* False when the connection is over. */
static bool
flow_move(struct flow *flow)
{
	enum cut cut = cut_between(flow->from, flow->to);

	if (!flow_open(flow, cut))
		return true;
	/* The cut is over and the stream has a hole. */
	if (flow->lost && cut == CUT_NONE)
		return false;
	if (flow->len == 0 && !flow->ended)
		flow_read(flow, cut);
	if (flow->len > 0 && !flow_write(flow))
		return false;
	if (flow->ended && flow->len == 0 && !flow->shut && cut == CUT_NONE) {
		shutdown(flow->out, SHUT_WR);
		flow->shut = true;
	}
	return true;
}

static bool
connection_move(struct connection *connection)
{
	struct flow *flows = connection->flows;

	return flow_move(&flows[0]) && flow_move(&flows[1]) &&
	    !(flows[0].shut && flows[1].shut);
}

/* A broken end tells of itself in each poll, also with nothing asked for; it
 * is left out while a cut holds its direction. */
static void
poll_flow(const struct flow *flow, struct pollfd *in, struct pollfd *out)
{
	enum cut cut = cut_between(flow->from, flow->to);

	if (cut == CUT_HOLD || flow->shut || (flow->ended && flow->len == 0))
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
add_poll(GArray *polls, int fd)
{
	const struct pollfd poll = { .fd = fd, .events = POLLIN };

	g_array_append_val(polls, poll);
}

static void
wait_for_work(GArray *polls)
{
	struct connection *connection;
	struct pollfd *poll_of;
	guint i;

	g_array_set_size(polls, 0);
	for (i = 0; i < relay.listeners->len; i++)
		add_poll(polls,
		    g_array_index(relay.listeners, struct listener, i).fd);
	g_array_set_size(
	    polls, relay.listeners->len + 2 * relay.connections->len);
	for (i = 0; i < relay.connections->len; i++) {
		connection = g_ptr_array_index(relay.connections, i);
		poll_of = &g_array_index(
		    polls, struct pollfd, relay.listeners->len + 2 * i);
		poll_of[0] = (struct pollfd){ .fd = -1 };
		poll_of[1] = (struct pollfd){ .fd = -1 };
		poll_flow(&connection->flows[0], &poll_of[0], &poll_of[1]);
		poll_flow(&connection->flows[1], &poll_of[1], &poll_of[0]);
	}
	poll((struct pollfd *)(void *)polls->data, polls->len, TURN_MS);
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
		held += relay.cuts[flow->from][flow->to] != CUT_NONE;
	}
	return held;
}

static void
forward(void)
{
	GArray *polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	guint i;

	while (!relay.stopping) {
		wait_for_work(polls);
		for (i = 0; i < relay.listeners->len; i++)
			accept_from(&g_array_index(
			    relay.listeners, struct listener, i));
		for (i = relay.connections->len; i > 0; i--) {
			if (!connection_move(
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

/* "1,2,251"; empty for none. */
static void
read_hosts(const char *text, bool member[NODES])
{
	char **words = g_strsplit(text != NULL ? text : "", ",", -1);
	char **word;

	memset(member, 0, NODES * sizeof(bool));
	for (word = words; *word != NULL; word++)
		member[strtoul(*word, NULL, 10) % NODES] = true;
	g_strfreev(words);
}

static const char *
argument(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);
}

static bool
read_cut(const char *mode, enum cut *cut)
{
	int i;

	for (i = CUT_HOLD; i < CUTS; i++) {
		if (g_strcmp0(mode, cut_names[i]) == 0) {
			*cut = (enum cut)i;
			return true;
		}
	}
	return false;
}

static bool
set_cut(struct MHD_Connection *connection)
{
	bool both = g_strcmp0(argument(connection, "ways"), "one") != 0;
	bool from[NODES], to[NODES];
	enum cut cut;
	int i, j;

	if (!read_cut(argument(connection, "mode"), &cut))
		return false;
	read_hosts(argument(connection, "from"), from);
	read_hosts(argument(connection, "to"), to);
	g_mutex_lock(&relay.lock);
	for (i = 0; i < NODES; i++) {
		for (j = 0; j < NODES; j++) {
			if (from[i] && to[j])
				relay.cuts[i][j] = cut;
			if (both && from[i] && to[j])
				relay.cuts[j][i] = cut;
		}
	}
	g_mutex_unlock(&relay.lock);
	return true;
}

static void
heal(void)
{
	g_mutex_lock(&relay.lock);
	memset(relay.cuts, 0, sizeof(relay.cuts));
	g_mutex_unlock(&relay.lock);
}

static enum MHD_Result
answer(struct MHD_Connection *connection, unsigned status)
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
handle(void *arg, struct MHD_Connection *connection, const char *url,
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
		return answer(connection, MHD_HTTP_OK);
	if (strcmp(url, "/test/heal") == 0) {
		heal();
		return answer(connection, MHD_HTTP_OK);
	}
	if (strcmp(url, "/test/cut") == 0 && set_cut(connection))
		return answer(connection, MHD_HTTP_OK);
	return answer(connection, MHD_HTTP_BAD_REQUEST);
}

static struct sockaddr_in
address_of(uint32_t ip, uint16_t port)
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
	struct sockaddr_in address = address_of(relay.net << 8 | host, port);
	struct listener listener = { .host = host, .target = target };
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

/* "LISTEN:TARGET" for each port of the hosts. */
static void
add_hosts(int hosts, const char *pair)
{
	unsigned listen_port = 0, target_port = 0;
	int i;

	if (sscanf(pair, "%u:%u", &listen_port, &target_port) != 2) {
		fprintf(stderr, "relay: no pair of ports: %s\n", pair);
		exit(EXIT_FAILURE);
	}
	for (i = 1; i <= hosts; i++)
		add_listener((uint8_t)i, (uint16_t)listen_port,
		    address_of(
			relay.net << 8 | (uint32_t)i, (uint16_t)target_port));
}

static void
stop(int signal_number)
{
	(void)signal_number;
	relay.stopping = 1;
}

static struct MHD_Daemon *
serve_switch(void)
{
	const struct sockaddr_in address = address_of(INADDR_LOOPBACK, 0);
	const union MHD_DaemonInfo *info;
	struct MHD_Daemon *daemon;

	daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
	    NULL, handle, NULL, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
	if (daemon == NULL) {
		fprintf(stderr, "relay: no switch\n");
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
	struct arg_str *net =
	    arg_str1(NULL, "net", "IP", "address of the hosts, last number 0");
	struct arg_int *hosts = arg_int1(NULL, "hosts", "N", "how many");
	struct arg_str *ports = arg_strn(NULL, "ports", "LISTEN:TARGET", 1, 4,
	    "ports of each host that are forwarded");
	struct arg_int *platform = arg_int0(NULL, "platform", "PORT",
	    "the platform's on 127.0.0.1; forwarded from the first LISTEN");
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
	signal(SIGTERM, stop);
	relay.net = ntohl(inet_addr(net->sval[0])) >> 8;
	relay.listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
	relay.connections = g_ptr_array_new_with_free_func(connection_free);
	for (i = 0; i < ports->count; i++)
		add_hosts(hosts->ival[0], ports->sval[i]);
	if (platform->count > 0)
		add_listener(PLATFORM_HOST,
		    (uint16_t)strtoul(ports->sval[0], NULL, 10),
		    address_of(INADDR_LOOPBACK, (uint16_t)platform->ival[0]));
	daemon = serve_switch();
	forward();
	MHD_stop_daemon(daemon);
	g_ptr_array_unref(relay.connections);
	g_array_free(relay.listeners, TRUE);
	arg_freetable(table, G_N_ELEMENTS(table));
	return EXIT_SUCCESS;
}
