/*
 * The life cycle of an HTTP request.
 *
 * A request is assigned to one connection.  It is retried on another one only
 * if the first accepted no byte of it: sending on an idle connection fails at
 * once if the server has closed it meanwhile.
 */

#include <errno.h>
#include <stddef.h>
#include <string.h>

#include "http/client.h"
#include "loom/clock.h"

/* Connecting usually takes about 1 ms.  If a full accept queue drops one SYN,
 * which is retransmitted after 1 s, connecting still succeeds in time. */
#define CONNECT_TIMEOUT_US (1500 * LOOM_US_PER_MS)

#define FETCH_TIMEOUT_MIN_US (1 * LOOM_US_PER_MS)

static int
fetch_destructor(struct loom_fetch *fetch)
{
	sockets_clear_timer(fetch->fetcher->sockets, &fetch->timer);
	return 0;
}

static struct loom_fetch *
fetch_of(struct sockets_timer *timer)
{
	return (struct loom_fetch *)(void *)((char *)timer -
	    offsetof(struct loom_fetch, timer));
}

static void
release_connection(struct loom_fetch *fetch)
{
	struct client_connection *connection = fetch->connection;

	fetch->connection = NULL;
	if (connection == NULL)
		return;
	if (connection->reusable)
		client_pool_release(connection);
	else
		client_pool_close(connection);
}

static void
finish(
    struct loom_fetch *fetch, enum loom_fetch_result result, const char *reason)
{
	const struct loom_fetch_outcome outcome = {
		.result = result,
		.sent = fetch->sent,
		.headers_received = fetch->headers_complete,
		.reason = reason,
	};

	fetch->in_callback = true;
	if (!fetch->cancelled)
		fetch->ops->done(fetch->arg, &outcome);
	release_connection(fetch);
	talloc_free(fetch);
}

void
client_fetch_complete(struct loom_fetch *fetch)
{
	finish(fetch, LOOM_FETCH_COMPLETE, "");
}

static void
mark_not_reusable(struct loom_fetch *fetch)
{
	if (fetch->connection != NULL)
		fetch->connection->reusable = false;
}

void
client_fetch_fail(struct loom_fetch *fetch, const char *reason)
{
	mark_not_reusable(fetch);
	finish(fetch,
	    fetch->sent ? LOOM_FETCH_INTERRUPTED : LOOM_FETCH_CONNECT_FAILED,
	    reason);
}

void
client_fetch_discard(struct loom_fetch *fetch)
{
	mark_not_reusable(fetch);
	release_connection(fetch);
	talloc_free(fetch);
}

/*
 * The timer is set to the connect timeout first, and to the deadline once the
 * connection is established.
 *
 * Packets to a host behind a network partition are dropped, so that connecting
 * runs into CONNECT_TIMEOUT_US, with most of the call's time left.  This must
 * not end the fetch with LOOM_FETCH_TIMEOUT: the caller would get a deadline
 * error long before its deadline, and no other host would be tried.
 */
static void
on_timer(struct sockets_timer *timer)
{
	struct loom_fetch *fetch = fetch_of(timer);
	const uint64_t now_us = loom_now_us();

	if (now_us >= fetch->deadline_us) {
		mark_not_reusable(fetch);
		finish(fetch, LOOM_FETCH_TIMEOUT, "its time is up");
	} else if (fetch->connection != NULL && fetch->connection->connected) {
		sockets_set_timer(
		    fetch->fetcher->sockets, timer, fetch->deadline_us);
	} else {
		client_fetch_fail(fetch, "no connection in time");
	}
}

static void
report_start_error(
    struct tevent_context *ev, struct tevent_immediate *immediate, void *arg)
{
	struct loom_fetch *fetch = arg;

	(void)ev;
	(void)immediate;
	client_fetch_fail(fetch, fetch->start_error);
}

static bool
schedule(struct loom_fetch *fetch, tevent_immediate_handler_t handler)
{
	if (fetch->immediate == NULL)
		fetch->immediate = tevent_create_immediate(fetch);
	if (fetch->immediate == NULL)
		return false;
	tevent_schedule_immediate(
	    fetch->immediate, fetch->fetcher->ev, handler, fetch);
	return true;
}

/* Calls done with the error only after loom_fetch_start() has returned. */
static bool
fail_deferred(struct loom_fetch *fetch, const char *reason)
{
	fetch->start_error = reason;
	return schedule(fetch, report_start_error);
}

/*
 * Sends on an idle connection, or on a new one if all idle ones fail.  False if
 * out of memory.
 */
static bool
acquire_and_send(
    struct loom_fetch *fetch, const struct client_endpoint *endpoint)
{
	struct client_connection *connection;

	while ((connection = client_pool_acquire(
		    fetch->fetcher, endpoint, fetch->idle_max_ms)) != NULL) {
		client_connection_attach(connection, fetch);
		if (client_connection_send(connection) == CLIENT_SEND_OK)
			return true;
		client_pool_close(connection);
		fetch->connection = NULL;
		fetch->send_failed = false;
	}
	connection = client_connection_new(fetch->fetcher, endpoint);
	if (connection == NULL)
		return fail_deferred(fetch, g_strerror(errno));
	client_connection_attach(connection, fetch);
	if (client_connection_send(connection) == CLIENT_SEND_REFUSED)
		return fail_deferred(fetch, g_strerror(errno));
	return true;
}

static void
set_deadlines(struct loom_fetch *fetch, uint64_t timeout_us)
{
	const uint64_t now_us = loom_now_us();
	uint64_t timer_us;

	fetch->deadline_us = now_us + MAX(timeout_us, FETCH_TIMEOUT_MIN_US);
	timer_us = fetch->deadline_us;
	if (fetch->connection == NULL || !fetch->connection->connected)
		timer_us = MIN(timer_us, now_us + CONNECT_TIMEOUT_US);
	fetch->timer.on_expired = on_timer;
	sockets_set_timer(fetch->fetcher->sockets, &fetch->timer, timer_us);
}

struct loom_fetch *
loom_fetch_start(
    struct loom_fetcher *fetcher, const struct loom_fetch_request *req)
{
	struct loom_fetch *fetch = talloc_zero(fetcher, struct loom_fetch);
	struct client_endpoint endpoint;

	if (fetch == NULL)
		return NULL;
	fetch->fetcher = fetcher;
	fetch->ops = req->ops;
	fetch->arg = req->arg;
	fetch->idle_max_ms = req->idle_max_ms;
	fetch->body_max_bytes = req->body_max_bytes;
	talloc_set_destructor(fetch, fetch_destructor);
	if (!client_request_begin(fetch, req))
		goto error;
	if (client_endpoint_parse(&endpoint, req->address, req->source)) {
		if (!acquire_and_send(fetch, &endpoint))
			goto error;
	} else if (!fail_deferred(fetch, "no address")) {
		goto error;
	}
	set_deadlines(fetch, req->timeout_us);
	return fetch;

error:
	client_fetch_discard(fetch);
	return NULL;
}

static void
on_body_resumed(
    struct tevent_context *ev, struct tevent_immediate *immediate, void *arg)
{
	struct loom_fetch *fetch = arg;

	(void)ev;
	(void)immediate;
	client_connection_send(fetch->connection);
}

/*
 * Deferred to the event loop.  The owner calls this while it is still accepting
 * a part of the body.  An immediate send would call its read_body from inside,
 * and the room that this makes would be lost, since the owner has not yet
 * reported how much it accepted.
 */
void
loom_fetch_resume_body(struct loom_fetch *fetch)
{
	if (!fetch->body_paused || fetch->connection == NULL)
		return;
	fetch->body_paused = false;
	if (!schedule(fetch, on_body_resumed))
		client_connection_send(fetch->connection);
}

void
loom_fetch_resume_response(struct loom_fetch *fetch)
{
	if (!fetch->response_paused)
		return;
	fetch->response_paused = false;
	if (fetch->connection != NULL)
		client_connection_watch(
		    fetch->connection, fetch->connection->waiting_writable);
}

void
loom_fetch_reject(struct loom_fetch *fetch)
{
	fetch->rejected = true;
}

void
loom_fetch_close_when_done(struct loom_fetch *fetch)
{
	mark_not_reusable(fetch);
}

void
loom_fetch_cancel(struct loom_fetch *fetch)
{
	if (fetch->in_callback)
		fetch->cancelled = true;
	else
		client_fetch_discard(fetch);
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
	if (fetch->connection == NULL || !fetch->headers_complete)
		return NULL;
	return http_head_items(&fetch->connection->head, n);
}

const char *
loom_fetch_header(const struct loom_fetch *fetch, const char *name)
{
	if (fetch->connection == NULL || !fetch->headers_complete)
		return NULL;
	return http_head_find(&fetch->connection->head, name);
}

int64_t
loom_fetch_content_length(const struct loom_fetch *fetch)
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
