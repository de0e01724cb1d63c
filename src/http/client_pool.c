/*
 * The connections of one thread's HTTP client that are kept for the next
 * request.  They stay in the epoll set: whatever comes on one is its end, or
 * bytes that belong to no request.
 */

#include <arpa/inet.h>
#include <string.h>

#include "http/client.h"
#include "loom/clock.h"

/* Kept connections of a thread.  An upstream of the users' largest kind has
 * 200 slots; peers of all called services come on top. */
#define CONNECTIONS_KEPT 512

/* Less than the idle timeout of a daemon's server and of common upstreams, so
 * that a kept connection is closed from this side first and a request does
 * not race with its closing. */
#define IDLE_MAX_MS 15000

/* Closed for their age each time that another one is kept. */
#define CLOSED_AT_ONCE 2

bool
client_key_parse(
    struct client_key *key, const char *address, const char *source)
{
	struct sockaddr_in to;
	struct in_addr from = { .s_addr = INADDR_ANY };

	if (!loom_server_address(address, &to, NULL))
		return false;
	if (source != NULL && inet_pton(AF_INET, source, &from) != 1)
		return false;
	*key = (struct client_key){
		.ip = to.sin_addr.s_addr,
		.source_ip = from.s_addr,
		.port = to.sin_port,
	};
	return true;
}

static guint
key_hash(gconstpointer pointer)
{
	const struct client_key *key = pointer;

	return key->ip * 31 + key->port + key->source_ip * 17;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct client_key)) == 0;
}

struct client_host *
client_pool_host(struct loom_fetcher *fetcher, const struct client_key *key)
{
	struct client_host *host = g_hash_table_lookup(fetcher->hosts, key);

	if (host != NULL)
		return host;
	host = g_new0(struct client_host, 1);
	host->key = *key;
	g_queue_init(&host->kept);
	g_hash_table_insert(fetcher->hosts, &host->key, host);
	return host;
}

static bool
is_kept(const struct client_connection *connection)
{
	return connection->in_all.data != NULL;
}

static void
take_out(struct client_connection *connection)
{
	if (!is_kept(connection))
		return;
	g_queue_unlink(&connection->host->kept, &connection->in_host);
	g_queue_unlink(&connection->fetcher->kept, &connection->in_all);
	connection->in_host.data = NULL;
	connection->in_all.data = NULL;
}

/* Services come and go: a host without a connection is forgotten. */
static void
leave_host(struct client_connection *connection)
{
	struct client_host *host = connection->host;

	if (host == NULL)
		return;
	connection->host = NULL;
	host->connections--;
	if (host->connections == 0)
		g_hash_table_remove(connection->fetcher->hosts, &host->key);
}

void
client_pool_close(struct client_connection *connection)
{
	take_out(connection);
	leave_host(connection);
	connection->fetch = NULL;
	sockets_close(&connection->socket);
}

static bool
is_too_old(const struct client_connection *connection, uint32_t idle_ms,
    uint64_t now_us)
{
	uint64_t max_ms = idle_ms == 0 ? IDLE_MAX_MS : idle_ms;

	if (connection->idle_max_ms != 0)
		max_ms = MIN(max_ms, connection->idle_max_ms);
	return now_us - connection->kept_us >= max_ms * LOOM_US_PER_MS;
}

struct client_connection *
client_pool_take(struct loom_fetcher *fetcher, const struct client_key *key,
    uint32_t idle_ms)
{
	struct client_host *host = g_hash_table_lookup(fetcher->hosts, key);
	struct client_connection *connection;
	const uint64_t now_us = loom_now_us();

	while (host != NULL && host->kept.head != NULL) {
		connection = host->kept.head->data;
		if (!is_too_old(connection, idle_ms, now_us) &&
		    client_connection_is_quiet(connection)) {
			take_out(connection);
			return connection;
		}
		if (host->connections == 1)
			host = NULL; /* gone with its last connection */
		client_pool_close(connection);
	}
	return NULL;
}

static void
close_old(struct loom_fetcher *fetcher, uint64_t now_us)
{
	struct client_connection *oldest;
	uint32_t i;

	for (i = 0; i < CLOSED_AT_ONCE && fetcher->kept.tail != NULL; i++) {
		oldest = fetcher->kept.tail->data;
		if (fetcher->kept.length <= CONNECTIONS_KEPT &&
		    !is_too_old(oldest, 0, now_us))
			return;
		client_pool_close(oldest);
	}
}

void
client_pool_keep(struct client_connection *connection)
{
	struct loom_fetcher *fetcher = connection->fetcher;

	connection->fetch = NULL;
	connection->kept_us = loom_now_us();
	connection->in_host.data = connection;
	connection->in_all.data = connection;
	g_queue_push_head_link(&connection->host->kept, &connection->in_host);
	g_queue_push_head_link(&fetcher->kept, &connection->in_all);
	close_old(fetcher, connection->kept_us);
}

static int
fetcher_destructor(struct loom_fetcher *fetcher)
{
	/* talloc frees connections and requests under way after this. */
	g_hash_table_unref(fetcher->hosts);
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
	g_queue_init(&fetcher->kept);
	fetcher->hosts =
	    g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	talloc_set_destructor(fetcher, fetcher_destructor);
	return fetcher;
}
