/*
 * One HTTP request by a connection of the pool.
 *
 * A request is given to one connection.  Only when that has taken no byte of it
 * may it be given to another: a kept connection whose other side has closed it
 * meanwhile refuses the first send.
 */

#include <errno.h>
#include <stddef.h>
#include <string.h>

#include "http/client.h"
#include "loom/clock.h"

/* A connection takes about 1 ms.  Within this time a full accept queue drops
 * one SYN (1 s until it is sent again) and still succeeds. */
#define CONNECT_TIMEOUT_US (1500 * LOOM_US_PER_MS)

#define TIMEOUT_MIN_US (1 * LOOM_US_PER_MS)

static int
fetch_destructor(struct loom_fetch *fetch)
{
	sockets_clear_time(fetch->fetcher->sockets, &fetch->time);
	return 0;
}

static struct loom_fetch *
fetch_of(struct timed *timed)
{
	return (struct loom_fetch *)(void *)((char *)timed -
	    offsetof(struct loom_fetch, time));
}

static void
release_connection(struct loom_fetch *fetch)
{
	struct client_connection *connection = fetch->connection;

	fetch->connection = NULL;
	if (connection == NULL)
		return;
	if (connection->may_keep)
		client_pool_keep(connection);
	else
		client_pool_close(connection);
}

static void
end(struct loom_fetch *fetch, enum loom_fetch_result result, const char *reason)
{
	const struct loom_fetch_end how = {
		.result = result,
		.sent = fetch->sent,
		.answered = fetch->headers_done,
		.reason = reason,
	};

	fetch->in_callback = true;
	if (!fetch->cancelled)
		fetch->ops->done(fetch->arg, &how);
	release_connection(fetch);
	talloc_free(fetch);
}

void
client_fetch_whole(struct loom_fetch *fetch)
{
	end(fetch, LOOM_FETCH_WHOLE, "");
}

static void
close_connection(struct loom_fetch *fetch)
{
	if (fetch->connection != NULL)
		fetch->connection->may_keep = false;
}

void
client_fetch_broken(struct loom_fetch *fetch, const char *reason)
{
	close_connection(fetch);
	end(fetch, fetch->sent ? LOOM_FETCH_CUT : LOOM_FETCH_CONNECT, reason);
}

void
client_fetch_drop(struct loom_fetch *fetch)
{
	close_connection(fetch);
	release_connection(fetch);
	talloc_free(fetch);
}

/*
 * A host that is cut off drops what it is sent: connecting takes
 * CONNECT_TIMEOUT_US and fails with most of the call's time left.  Taken for
 * the call's end, the caller would be refused by its deadline long before it,
 * and nobody would try another host.
 */
static void
expired(struct timed *timed)
{
	struct loom_fetch *fetch = fetch_of(timed);
	const uint64_t now_us = loom_now_us();

	if (now_us >= fetch->until_us) {
		close_connection(fetch);
		end(fetch, LOOM_FETCH_TIMEOUT, "its time is up");
	} else if (fetch->connection != NULL && fetch->connection->connected) {
		sockets_set_time(
		    fetch->fetcher->sockets, timed, fetch->until_us);
	} else {
		client_fetch_broken(fetch, "no connection in time");
	}
}

static void
failed_to_start(
    struct tevent_context *ev, struct tevent_immediate *later, void *arg)
{
	struct loom_fetch *fetch = arg;

	(void)ev;
	(void)later;
	client_fetch_broken(fetch, fetch->failure);
}

static bool
call_later(struct loom_fetch *fetch, tevent_immediate_handler_t handler)
{
	if (fetch->later == NULL)
		fetch->later = tevent_create_immediate(fetch);
	if (fetch->later == NULL)
		return false;
	tevent_schedule_immediate(
	    fetch->later, fetch->fetcher->ev, handler, fetch);
	return true;
}

/* The owner isn't told before its start has returned. */
static bool
fail_later(struct loom_fetch *fetch, const char *reason)
{
	fetch->failure = reason;
	return call_later(fetch, failed_to_start);
}

/* False when out of memory. */
static bool
send_on_some(struct loom_fetch *fetch, const struct client_key *key)
{
	struct client_connection *connection;

	while ((connection = client_pool_take(
		    fetch->fetcher, key, fetch->idle_ms)) != NULL) {
		client_connection_attach(connection, fetch);
		if (client_connection_send(connection) == CLIENT_SENDING_ON)
			return true;
		client_pool_close(connection);
		fetch->connection = NULL;
		fetch->send_failed = false;
	}
	connection = client_connection_new(fetch->fetcher, key);
	if (connection == NULL)
		return fail_later(fetch, g_strerror(errno));
	client_connection_attach(connection, fetch);
	if (client_connection_send(connection) == CLIENT_SENDING_REFUSED)
		return fail_later(fetch, g_strerror(errno));
	return true;
}

static void
set_deadlines(struct loom_fetch *fetch, uint64_t timeout_us)
{
	const uint64_t now_us = loom_now_us();
	uint64_t first_us;

	fetch->until_us = now_us + MAX(timeout_us, TIMEOUT_MIN_US);
	first_us = fetch->until_us;
	if (fetch->connection == NULL || !fetch->connection->connected)
		first_us = MIN(first_us, now_us + CONNECT_TIMEOUT_US);
	fetch->time.expired = expired;
	sockets_set_time(fetch->fetcher->sockets, &fetch->time, first_us);
}

struct loom_fetch *
loom_fetch_start(
    struct loom_fetcher *fetcher, const struct loom_fetch_request *req)
{
	struct loom_fetch *fetch = talloc_zero(fetcher, struct loom_fetch);
	struct client_key key;

	if (fetch == NULL)
		return NULL;
	fetch->fetcher = fetcher;
	fetch->ops = req->ops;
	fetch->arg = req->arg;
	fetch->idle_ms = req->idle_ms;
	talloc_set_destructor(fetch, fetch_destructor);
	if (!client_request_begin(fetch, req))
		goto error;
	if (client_key_parse(&key, req->address, req->source)) {
		if (!send_on_some(fetch, &key))
			goto error;
	} else if (!fail_later(fetch, "no address")) {
		goto error;
	}
	set_deadlines(fetch, req->timeout_us);
	return fetch;

error:
	client_fetch_drop(fetch);
	return NULL;
}

static void
send_more(struct tevent_context *ev, struct tevent_immediate *later, void *arg)
{
	struct loom_fetch *fetch = arg;

	(void)ev;
	(void)later;
	client_connection_send(fetch->connection);
}

/*
 * Not at once: the owner is in the middle of taking a piece, and would be asked
 * for it, and make room for the next, before it has said how much it took.
 */
void
loom_fetch_more_body(struct loom_fetch *fetch)
{
	if (!fetch->body_paused || fetch->connection == NULL)
		return;
	fetch->body_paused = false;
	if (!call_later(fetch, send_more))
		client_connection_send(fetch->connection);
}

void
loom_fetch_resume(struct loom_fetch *fetch)
{
	if (!fetch->data_paused)
		return;
	fetch->data_paused = false;
	if (fetch->connection != NULL)
		client_connection_watch(
		    fetch->connection, fetch->connection->waits_writable);
}

void
loom_fetch_reject(struct loom_fetch *fetch)
{
	fetch->rejected = true;
}

void
loom_fetch_cancel(struct loom_fetch *fetch)
{
	if (fetch->in_callback)
		fetch->cancelled = true;
	else
		client_fetch_drop(fetch);
}

uint16_t
loom_fetch_status(const struct loom_fetch *fetch)
{
	return fetch->status;
}

const struct loom_header *
loom_fetch_headers(const struct loom_fetch *fetch, size_t *n)
{
	*n = 0;
	if (fetch->connection == NULL || !fetch->headers_done)
		return NULL;
	return http_head_items(&fetch->connection->head, n);
}

const char *
loom_fetch_header(const struct loom_fetch *fetch, const char *name)
{
	if (fetch->connection == NULL || !fetch->headers_done)
		return NULL;
	return http_head_find(&fetch->connection->head, name);
}

int64_t
loom_fetch_length(const struct loom_fetch *fetch)
{
	const char *length = loom_fetch_header(fetch, "Content-Length");

	if (loom_fetch_header(fetch, "Transfer-Encoding") != NULL ||
	    length == NULL)
		return -1;
	return g_ascii_strtoll(length, NULL, 10);
}

bool
loom_fetch_sent(const struct loom_fetch *fetch)
{
	return fetch->sent;
}
