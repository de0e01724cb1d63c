/*
 * Keeps idle connections of one thread's HTTP client for later requests.  They
 * stay in the epoll set: an event on an idle connection means that the server
 * closed it or sent unsolicited bytes, and the connection is closed.
 */

#include <arpa/inet.h>
#include <string.h>

#include "http/client.h"
#include "loom/clock.h"

/* Limit of idle connections of a thread.  The users' largest upstreams serve
 * 200 requests at a time; connections to the daemons of all called services
 * come on top. */
#define IDLE_CONNECTIONS_MAX 512

/* Shorter than the idle timeout of a daemon's server and of common upstreams,
 * so that the client closes an idle connection first and a request does not
 * race with the server's close. */
#define IDLE_MAX_MS 15000

/* Expired or surplus connections closed whenever a connection becomes idle. */
#define CLOSE_BATCH_MAX 2

bool
client_endpoint_parse(
    struct client_endpoint *endpoint, const char *address, const char *source)
{
	struct sockaddr_in to;
	struct in_addr from = { .s_addr = INADDR_ANY };

	if (!loom_server_parse_address(address, &to, NULL))
		return false;
	if (source != NULL && inet_pton(AF_INET, source, &from) != 1)
		return false;
	*endpoint = (struct client_endpoint){
		.ip = to.sin_addr.s_addr,
		.source_ip = from.s_addr,
		.port = to.sin_port,
	};
	return true;
}

static guint
endpoint_hash(gconstpointer pointer)
{
	const struct client_endpoint *endpoint = pointer;

	return endpoint->ip * 31 + endpoint->port + endpoint->source_ip * 17;
}

static gboolean
endpoint_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct client_endpoint)) == 0;
}

struct client_endpoint_pool *
client_pool_get(
    struct loom_fetcher *fetcher, const struct client_endpoint *endpoint)
{
	struct client_endpoint_pool *pool =
	    g_hash_table_lookup(fetcher->pools, endpoint);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct client_endpoint_pool, 1);
	pool->endpoint = *endpoint;
	g_queue_init(&pool->idle);
	g_hash_table_insert(fetcher->pools, &pool->endpoint, pool);
	return pool;
}

static bool
is_idle(const struct client_connection *connection)
{
	return connection->fetcher_link.data != NULL;
}

static void
unlink_idle(struct client_connection *connection)
{
	if (!is_idle(connection))
		return;
	g_queue_unlink(&connection->pool->idle, &connection->pool_link);
	g_queue_unlink(&connection->fetcher->idle, &connection->fetcher_link);
	connection->pool_link.data = NULL;
	connection->fetcher_link.data = NULL;
}

/* Frees the pool with its last connection, since services come and go. */
static void
leave_pool(struct client_connection *connection)
{
	struct client_endpoint_pool *pool = connection->pool;

	if (pool == NULL)
		return;
	connection->pool = NULL;
	pool->connections--;
	if (pool->connections == 0)
		g_hash_table_remove(
		    connection->fetcher->pools, &pool->endpoint);
}

void
client_pool_close(struct client_connection *connection)
{
	unlink_idle(connection);
	leave_pool(connection);
	connection->fetch = NULL;
	sockets_close(&connection->socket);
}

static bool
is_expired(const struct client_connection *connection, uint32_t idle_max_ms,
    uint64_t now_us)
{
	uint64_t max_ms = idle_max_ms == 0 ? IDLE_MAX_MS : idle_max_ms;

	if (connection->server_idle_max_ms != 0)
		max_ms = MIN(max_ms, connection->server_idle_max_ms);
	return now_us - connection->idle_since_us >= max_ms * LOOM_US_PER_MS;
}

struct client_connection *
client_pool_acquire(struct loom_fetcher *fetcher,
    const struct client_endpoint *endpoint, uint32_t idle_max_ms)
{
	struct client_endpoint_pool *pool =
	    g_hash_table_lookup(fetcher->pools, endpoint);
	struct client_connection *connection;
	const uint64_t now_us = loom_now_us();

	while (pool != NULL && pool->idle.head != NULL) {
		connection = pool->idle.head->data;
		if (!is_expired(connection, idle_max_ms, now_us) &&
		    client_connection_is_reusable(connection)) {
			unlink_idle(connection);
			return connection;
		}
		if (pool->connections == 1)
			pool = NULL; /* freed with its last connection */
		client_pool_close(connection);
	}
	return NULL;
}

static void
close_expired(struct loom_fetcher *fetcher, uint64_t now_us)
{
	struct client_connection *oldest;
	uint32_t i;

	for (i = 0; i < CLOSE_BATCH_MAX && fetcher->idle.tail != NULL; i++) {
		oldest = fetcher->idle.tail->data;
		if (fetcher->idle.length <= IDLE_CONNECTIONS_MAX &&
		    !is_expired(oldest, 0, now_us))
			return;
		client_pool_close(oldest);
	}
}

void
client_pool_release(struct client_connection *connection)
{
	struct loom_fetcher *fetcher = connection->fetcher;

	connection->fetch = NULL;
	connection->idle_since_us = loom_now_us();
	connection->pool_link.data = connection;
	connection->fetcher_link.data = connection;
	g_queue_push_head_link(&connection->pool->idle, &connection->pool_link);
	g_queue_push_head_link(&fetcher->idle, &connection->fetcher_link);
	close_expired(fetcher, connection->idle_since_us);
}

static int
fetcher_destructor(struct loom_fetcher *fetcher)
{
	/* talloc frees the connections and running requests after this. */
	g_hash_table_unref(fetcher->pools);
	return 0;
}

struct loom_fetcher *
loom_fetcher_new(
    TALLOC_CTX *mem, struct tevent_context *ev, struct loom_sockets *sockets)
{
	struct loom_fetcher *fetcher = talloc_zero(mem, struct loom_fetcher);

	if (fetcher == NULL)
		return NULL;
	fetcher->ev = ev;
	fetcher->sockets = sockets;
	g_queue_init(&fetcher->idle);
	fetcher->pools =
	    g_hash_table_new_full(endpoint_hash, endpoint_equal, NULL, g_free);
	talloc_set_destructor(fetcher, fetcher_destructor);
	return fetcher;
}
