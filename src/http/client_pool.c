/*
 * The connections of one thread's HTTP client.
 *
 * All sockets are in an epoll set, which tevent watches as one descriptor:
 * tevent takes one event a system call, and a daemon that is short of processor
 * time saves most by taking all that are there.  A connection stays in the set
 * from its beginning to its end, also while it is kept for the next request;
 * whatever comes on it then is its end, or bytes that belong to no request.
 */

#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "http/client.h"
#include "loom/clock.h"
#include "loom/log.h"

/* Taken at once; what is left is there at the next turn. */
#define EVENTS_MAX 64

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
	struct loom_fetcher *fetcher = connection->fetcher;

	take_out(connection);
	leave_host(connection);
	connection->fetch = NULL;
	/* The socket leaves the epoll set by being closed. */
	close(connection->fd);
	connection->fd = -1;
	if (fetcher->in_turn) {
		connection->next_closed = fetcher->closed;
		fetcher->closed = connection;
	} else {
		talloc_free(connection);
	}
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
	connection->used = true;
	connection->kept_us = loom_now_us();
	connection->in_host.data = connection;
	connection->in_all.data = connection;
	g_queue_push_head_link(&connection->host->kept, &connection->in_host);
	g_queue_push_head_link(&fetcher->kept, &connection->in_all);
	close_old(fetcher, connection->kept_us);
}

static bool
tell_epoll(struct client_connection *connection, int operation, uint32_t events)
{
	struct epoll_event event = {
		.events = events,
		.data = { .ptr = connection },
	};

	return epoll_ctl(connection->fetcher->epoll_fd, operation,
		   connection->fd, &event) == 0;
}

/* Out of the set altogether: an error would be told again and again in it. */
static void
leave_set(struct client_connection *connection)
{
	if (connection->watched_events != 0)
		tell_epoll(connection, EPOLL_CTL_DEL, 0);
	connection->watched_events = 0;
}

bool
client_pool_watch(struct client_connection *connection, bool writable)
{
	const struct loom_fetch *fetch = connection->fetch;
	const bool readable = fetch == NULL || !fetch->data_paused;
	const uint32_t events =
	    (readable ? EPOLLIN : 0) | (writable ? EPOLLOUT : 0);
	const int operation =
	    connection->watched_events != 0 ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	connection->waits_writable = writable;
	if (events == connection->watched_events)
		return true;
	if (events == 0) {
		leave_set(connection);
		return true;
	}
	if (!tell_epoll(connection, operation, events))
		return false;
	connection->watched_events = events;
	return true;
}

static void
free_closed(struct loom_fetcher *fetcher)
{
	struct client_connection *connection;

	while ((connection = fetcher->closed) != NULL) {
		fetcher->closed = connection->next_closed;
		talloc_free(connection);
	}
}

static void arm_timer(struct loom_fetcher *);

static void
expire(struct loom_fetcher *fetcher)
{
	const uint64_t now_us = loom_now_us();
	struct deadline *first;

	while ((first = deadlines_first(&fetcher->deadlines)) != NULL &&
	    first->at_us <= now_us) {
		deadlines_remove(&fetcher->deadlines, first);
		client_fetch_expired(client_fetch_of_deadline(first));
	}
	arm_timer(fetcher);
}

static void
on_timer(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct loom_fetcher *fetcher = arg;

	(void)ev;
	(void)timer;
	(void)now;
	fetcher->timer = NULL; /* tevent frees it after this call */
	expire(fetcher);
}

/* One timer for the soonest deadline of all.  It is not moved back when that
 * request ends before: it then finds nothing to do. */
static void
arm_timer(struct loom_fetcher *fetcher)
{
	const struct deadline *first = deadlines_first(&fetcher->deadlines);
	uint64_t now_us, wait_us;

	if (first == NULL ||
	    (fetcher->timer != NULL && fetcher->timer_us <= first->at_us))
		return;
	TALLOC_FREE(fetcher->timer);
	now_us = loom_now_us();
	wait_us = first->at_us - MIN(first->at_us, now_us);
	fetcher->timer_us = first->at_us;
	fetcher->timer = tevent_add_timer(fetcher->ev, fetcher,
	    tevent_timeval_current_ofs((uint32_t)(wait_us / LOOM_US_PER_S),
		(uint32_t)(wait_us % LOOM_US_PER_S)),
	    on_timer, fetcher);
	if (fetcher->timer == NULL)
		loom_log(LOOM_LOG_ERROR, "http", LOOM_NO_MEMORY,
		    "requests end late: no timer");
}

void
client_pool_set_deadline(struct loom_fetch *fetch, uint64_t at_us)
{
	struct loom_fetcher *fetcher = fetch->fetcher;

	deadlines_remove(&fetcher->deadlines, &fetch->deadline);
	deadlines_add(&fetcher->deadlines, &fetch->deadline, at_us);
	arm_timer(fetcher);
}

/*
 * Deadlines are looked at here too: tevent's timers go by the time of day, and
 * are late by as much as that is set back.
 */
static void
sockets_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_fetcher *fetcher = arg;
	struct epoll_event events[EVENTS_MAX];
	struct client_connection *connection;
	int n, i;

	(void)ev;
	(void)fde;
	(void)flags;
	n = epoll_wait(fetcher->epoll_fd, events, EVENTS_MAX, 0);
	fetcher->in_turn = true;
	for (i = 0; i < n; i++) {
		connection = events[i].data.ptr;
		if (connection->fd >= 0)
			client_connection_ready(connection, events[i].events);
	}
	expire(fetcher);
	fetcher->in_turn = false;
	free_closed(fetcher);
}

static int
fetcher_destructor(struct loom_fetcher *fetcher)
{
	/* talloc frees connections and requests under way after this. */
	fetcher->ended = true;
	TALLOC_FREE(fetcher->fde);
	close(fetcher->epoll_fd);
	g_hash_table_unref(fetcher->hosts);
	deadlines_clear(&fetcher->deadlines);
	return 0;
}

struct loom_fetcher *
loom_fetcher_new(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loom_fetcher *fetcher = talloc_zero(mem, struct loom_fetcher);

	if (fetcher == NULL)
		return NULL;
	fetcher->ev = ev;
	fetcher->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (fetcher->epoll_fd < 0)
		goto error;
	g_queue_init(&fetcher->kept);
	fetcher->hosts =
	    g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	talloc_set_destructor(fetcher, fetcher_destructor);
	fetcher->fde = tevent_add_fd(ev, fetcher, fetcher->epoll_fd,
	    TEVENT_FD_READ, sockets_ready, fetcher);
	if (fetcher->fde == NULL)
		goto error;
	return fetcher;

error:
	talloc_free(fetcher);
	return NULL;
}
