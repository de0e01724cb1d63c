/*
 * Measures the HTTP client or one of the HTTP servers on the calling thread.
 * The other side of the connections runs on threads that send prepared
 * messages, and whose CPU time and allocations aren't counted.
 */

#include <arpa/inet.h>
#include <glib-unix.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "loom/clock.h"
#include "loom/fetch.h"
#include "loom/peer_server.h"
#include "loom/server.h"
#include "support/allocations.h"
#include "support/request_cost.h"

#define WARM_UP_REQUESTS 100
#define READ_SIZE (128 * 1024)

/* Headers about as long as those of a call between two daemons. */
static const struct loom_header headers[] = {
	{ "Host", "hulo84.example" },
	{ "Request-Id", "9c41d07be2a35f68" },
	{ "Accept", "*/*" },
	{ "Loom-Context",
	    "AgFRz0eYbW9kZWwtY29udGV4dC1vZi1hLWNhbGwtYmV0d2Vlbi1kYWVtb25zLXRo"
	    "YXQtaXMtc2VhbGVkLWFuZC10ZXh0AAECAwQFBgcICQoLDA0ODw" },
	{ "Caller-Service", "leny950" },
};

static double
thread_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
send_all(int fd, const char *data, size_t len)
{
	ssize_t sent;

	while (len > 0) {
		sent = send(fd, data, len, MSG_NOSIGNAL);
		if (sent <= 0)
			return;
		data += sent;
		len -= (size_t)sent;
	}
}

/* Build a request or response with the headers above and a body of the given
 * length. */
static GString *
build_message(const char *first_line, size_t body_bytes)
{
	GString *text = g_string_new(first_line);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(headers); i++)
		g_string_append_printf(
		    text, "%s: %s\r\n", headers[i].name, headers[i].value);
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", body_bytes);
	for (i = 0; i < body_bytes; i++)
		g_string_append_c(text, 'x');
	return text;
}

/* Read one message; return false if the connection ends first. */
static bool
read_message(int fd, char *buf)
{
	const char *body, *length;
	size_t len = 0, want = SIZE_MAX;
	ssize_t got;

	while (len < want) {
		got = recv(fd, buf + len, READ_SIZE - 1 - len, 0);
		if (got <= 0)
			return false;
		len += (size_t)got;
		buf[len] = '\0';
		body = want == SIZE_MAX ? strstr(buf, "\r\n\r\n") : NULL;
		if (body == NULL)
			continue;
		length = strcasestr(buf, "content-length: ");
		want = (size_t)(body + 4 - buf);
		if (length != NULL && length < body)
			want += strtoul(length + 16, NULL, 10);
	}
	return true;
}

/* An upstream that sends the same response to every request. */
struct upstream {
	int listen_fd;
	const struct request_load *load;
};

struct upstream_connection {
	int fd;
	size_t body_bytes;
};

static void *
serve_connection(void *arg)
{
	struct upstream_connection *connection = arg;
	GString *answer =
	    build_message("HTTP/1.1 200 OK\r\n", connection->body_bytes);
	char *buf = g_malloc(READ_SIZE);

	while (read_message(connection->fd, buf))
		send_all(connection->fd, answer->str, answer->len);
	close(connection->fd);
	g_string_free(answer, TRUE);
	g_free(buf);
	g_free(connection);
	return NULL;
}

static void *
run_upstream(void *arg)
{
	const struct upstream *upstream = arg;
	struct upstream_connection *connection;
	int fd;

	while ((fd = accept(upstream->listen_fd, NULL, NULL)) >= 0) {
		connection = g_new(struct upstream_connection, 1);
		connection->fd = fd;
		connection->body_bytes = upstream->load->body_bytes;
		g_thread_unref(
		    g_thread_new("connection", serve_connection, connection));
	}
	return NULL;
}

/* The client, which runs on the measuring thread. */
struct client {
	struct tevent_context *ev;
	struct loom_fetcher *fetcher;
	const struct request_load *load;
	char *address;
	char *body;
	uint32_t started;
	uint32_t ended;
	uint32_t failed;
	uint32_t target;
};

/* A request of the client; the next request reuses the struct. */
struct client_request {
	struct client *client;
	size_t sent;
};

static void start_request(struct client_request *);

static size_t
read_body(void *arg, uint8_t *buf, size_t max, bool *end)
{
	struct client_request *request = arg;
	const struct client *client = request->client;
	size_t len = MIN(max, client->load->body_bytes - request->sent);

	memcpy(buf, client->body + request->sent, len);
	request->sent += len;
	*end = request->sent == client->load->body_bytes;
	return len;
}

static bool
discard_data(void *arg, const uint8_t *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
	return true;
}

static void
request_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct client_request *request = arg;
	struct client *client = request->client;

	client->ended++;
	client->failed += end->result != LOOM_FETCH_COMPLETE;
	if (client->started < client->target)
		start_request(request);
}

static const struct loom_fetch_ops client_ops = {
	.read_body = read_body,
	.data = discard_data,
	.done = request_done,
};

static void
start_request(struct client_request *request)
{
	struct client *client = request->client;
	const struct loom_fetch_request wanted = {
		.method = client->load->body_bytes > 0 ? "POST" : "GET",
		.address = client->address,
		.target = "/sheets/7",
		.headers = headers,
		.nheaders = G_N_ELEMENTS(headers),
		.has_body = client->load->body_bytes > 0,
		.body_length = (int64_t)client->load->body_bytes,
		.timeout_us = 5 * LOOM_US_PER_S,
		.ops = &client_ops,
		.arg = request,
	};

	request->sent = 0;
	client->started++;
	if (loom_fetch_start(client->fetcher, &wanted) == NULL)
		abort();
}

static void
run_client(struct client *client, uint32_t rounds)
{
	struct client_request requests[REQUEST_CONNECTIONS_MAX];
	uint32_t i;

	client->started = 0;
	client->ended = 0;
	client->target = rounds;
	for (i = 0; i < client->load->connections; i++) {
		requests[i].client = client;
		start_request(&requests[i]);
	}
	while (client->ended < client->target)
		tevent_loop_once(client->ev);
}

/* The server, which runs on the measuring thread.  It responds to each request
 * with a body as long as that of the request. */
struct server {
	struct tevent_context *ev;
	const struct request_load *load;
	char *body;
	uint32_t ended;
};

static void
send_response(struct server *server, struct loom_exchange *x)
{
	loom_exchange_respond(x, 200, headers, G_N_ELEMENTS(headers),
	    server->body, server->load->body_bytes);
}

static void
on_request(void *arg, struct loom_exchange *x)
{
	loom_exchange_set_user(x, arg);
	if (loom_exchange_body_length(x) == 0)
		send_response(arg, x);
	else
		loom_exchange_resume_body(x);
}

static size_t
on_body(struct loom_exchange *x, const uint8_t *data, size_t len)
{
	(void)x;
	(void)data;
	return len;
}

static void
on_body_end(struct loom_exchange *x)
{
	send_response(loom_exchange_user(x), x);
}

static void
ignore_event(struct loom_exchange *x)
{
	(void)x;
}

static void
on_end(struct loom_exchange *x)
{
	struct server *server = loom_exchange_user(x);

	server->ended++;
}

static const struct loom_exchange_ops server_ops = {
	.request = on_request,
	.body = on_body,
	.body_end = on_body_end,
	.drained = ignore_event,
	.disconnected = ignore_event,
	.end = on_end,
};

/* A caller with a persistent connection that sends its next request as soon as
 * it has the response to the last. */
struct caller {
	uint16_t port;
	const struct request_load *load;
	uint32_t requests;
};

static void *
run_caller(void *arg)
{
	const struct caller *caller = arg;
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(caller->port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	GString *request = build_message(caller->load->body_bytes > 0
		? "POST /sheets/7 HTTP/1.1\r\n"
		: "GET /sheets/7 HTTP/1.1\r\n",
	    caller->load->body_bytes);
	char *buf = g_malloc(READ_SIZE);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	uint32_t i;

	if (connect(fd, (const struct sockaddr *)&address, sizeof(address)) !=
	    0)
		abort();
	for (i = 0; i < caller->requests; i++) {
		send_all(fd, request->str, request->len);
		if (!read_message(fd, buf))
			abort();
	}
	close(fd);
	g_string_free(request, TRUE);
	g_free(buf);
	return NULL;
}

static void
run_server(struct server *server, uint16_t port, uint32_t rounds)
{
	struct caller caller = { .port = port, .load = server->load };
	GThread *threads[REQUEST_CONNECTIONS_MAX];
	const uint32_t n = server->load->connections;
	uint32_t i;

	server->ended = 0;
	caller.requests = rounds / n;
	for (i = 0; i < n; i++)
		threads[i] = g_thread_new("caller", run_caller, &caller);
	while (server->ended < caller.requests * n)
		tevent_loop_once(server->ev);
	for (i = 0; i < n; i++)
		g_thread_join(threads[i]);
}

/* A function of its own, not inlined, so that tools/count-instructions can tell
 * callgrind to count inside it only. */
static void __attribute__((noinline)) counted_run(struct client *client,
    struct server *server, uint16_t port, uint32_t rounds)
{
	if (client != NULL)
		run_client(client, rounds);
	else
		run_server(server, port, rounds);
}

static struct request_cost
measure(struct client *client, struct server *server, uint16_t port,
    uint32_t rounds)
{
	struct request_cost cost;
	uint64_t allocated;
	double cpu_us;

	if (client != NULL)
		run_client(client, WARM_UP_REQUESTS);
	else
		run_server(server, port, WARM_UP_REQUESTS);
	allocated = test_allocations();
	cpu_us = thread_cpu_us();
	counted_run(client, server, port, rounds);
	cost.cpu_us = (thread_cpu_us() - cpu_us) / rounds;
	cost.allocations = (double)(test_allocations() - allocated) / rounds;
	return cost;
}

struct request_cost
measure_client_requests(const struct request_load *load, uint32_t rounds)
{
	struct upstream upstream = { .load = load };
	struct client client = { .load = load };
	GError *error = NULL;
	GThread *thread;
	struct request_cost cost;

	upstream.listen_fd = loom_server_listen("127.0.0.1:0", &error);
	/* run_upstream() relies on a blocking accept(). */
	(void)g_unix_set_fd_nonblocking(upstream.listen_fd, FALSE, NULL);
	thread = g_thread_new("upstream", run_upstream, &upstream);
	client.ev = tevent_context_init(NULL);
	client.fetcher = loom_fetcher_new(
	    client.ev, client.ev, loom_sockets_new(client.ev, client.ev));
	client.address = g_strdup_printf(
	    "127.0.0.1:%u", loom_server_port(upstream.listen_fd));
	client.body = g_malloc0(load->body_bytes);
	cost = measure(&client, NULL, 0, rounds);
	if (client.failed > 0)
		abort();
	shutdown(upstream.listen_fd, SHUT_RDWR);
	g_thread_join(thread);
	close(upstream.listen_fd);
	TALLOC_FREE(client.fetcher);
	talloc_free(client.ev);
	g_free(client.address);
	g_free(client.body);
	return cost;
}

static struct request_cost
measure_server(const struct request_load *load, uint32_t rounds, bool for_peers)
{
	struct server server = { .load = load };
	struct loom_server_options options = {
		.connections_max = 100,
		.suppress_date = true,
		.idle_timeout_s = 30,
		.ops = &server_ops,
		.arg = &server,
	};
	struct loom_hangup *hangup;
	GError *error = NULL;
	struct request_cost cost;
	void *http;

	options.listen_fd = loom_server_listen("127.0.0.1:0", &error);
	server.ev = tevent_context_init(NULL);
	hangup = loom_hangup_new(server.ev, server.ev);
	if (for_peers)
		http = loom_peer_server_new(server.ev, server.ev,
		    loom_sockets_new(server.ev, server.ev), &options, &error);
	else
		http = loom_server_new(
		    server.ev, server.ev, hangup, &options, &error);
	server.body = g_malloc0(load->body_bytes);
	cost =
	    measure(NULL, &server, loom_server_port(options.listen_fd), rounds);
	talloc_free(http);
	talloc_free(server.ev);
	close(options.listen_fd);
	g_free(server.body);
	return cost;
}

struct request_cost
measure_server_requests(const struct request_load *load, uint32_t rounds)
{
	return measure_server(load, rounds, false);
}

struct request_cost
measure_peer_server_requests(const struct request_load *load, uint32_t rounds)
{
	return measure_server(load, rounds, true);
}
