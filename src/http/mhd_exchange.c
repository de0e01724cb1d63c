/*
 * One request and its response, on top of libmicrohttpd.
 *
 * libmicrohttpd calls its access handler repeatedly for a request: first with
 * the headers, then with each piece of the body, and at the end without data.
 * A response may be queued in the first or the last of these calls only.
 * Between calls the connection is suspended whenever the handler has to wait.
 * This blocks no thread, and leaves the unread body in the kernel's socket
 * buffer, so that TCP flow control slows the sender down.
 *
 * Suspending in the first call delays both the body and the "100 Continue"
 * response.  A request that is refused while it waits in the queue for a slot
 * is thus refused before its caller has sent, say, 200 MB for nothing.
 */

#include <string.h>
#include <sys/socket.h>

#include "http/mhd_exchange.h"
#include "loom/timer.h"

/* Two blocks fit below the high water mark: one is written while the next is
 * fetched. */
#define STREAM_BLOCK_BYTES (EXCHANGE_HIGH_WATER_BYTES / 2)

static struct mhd_exchange *
mhd_exchange_of(struct loom_exchange *base)
{
	return (struct mhd_exchange *)(void *)base;
}

static const struct mhd_exchange *
const_mhd_exchange_of(const struct loom_exchange *base)
{
	return (const struct mhd_exchange *)(const void *)base;
}

int
exchange_fd(const struct mhd_exchange *x)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return info == NULL ? -1 : info->connect_fd;
}

struct caller_connection *
exchange_connection(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
	    ->socket_context;
}

void
exchange_resume(struct mhd_exchange *x)
{
	if (!x->suspended)
		return;
	exchange_connection(x->connection)->suspended_exchange = NULL;
	x->suspended = false;
	MHD_resume_connection(x->connection);
	loom_server_schedule_run(x->server);
}

/* Tells the handler that its caller has disconnected, and lets libmicrohttpd
 * end the exchange. */
static void
notify_disconnect(struct mhd_exchange *x)
{
	if (!x->sending_ended) {
		x->disconnected = true;
		x->server->ops->disconnected(&x->base);
	}
	exchange_resume(x);
}

static void
on_hangup(void *arg)
{
	struct caller_connection *connection = arg;

	connection->hung_up = true;
	if (connection->suspended_exchange != NULL)
		notify_disconnect(connection->suspended_exchange);
}

/*
 * Suspends the connection until resume() is called, and watches its socket for
 * a hangup meanwhile.
 *
 * The watch is kept for the lifetime of the connection: adding and removing it
 * for each request would take two system calls, where a whole request takes
 * some twenty.  A hangup is reported only once.  If it was reported before this
 * request is suspended, the request's handler is notified here, and the next
 * exchange_step() ends the exchange.
 */
void
exchange_suspend(struct mhd_exchange *x)
{
	struct caller_connection *connection =
	    exchange_connection(x->connection);

	if (x->suspended)
		return;
	if (connection->hung_up) {
		notify_disconnect(x);
		return;
	}
	x->suspended = true;
	connection->suspended_exchange = x;
	MHD_suspend_connection(x->connection);
	if (connection->watch == NULL)
		connection->watch = loom_hangup_watch(connection,
		    x->server->hangup, exchange_fd(x), on_hangup, connection);
}

static enum MHD_Result
queue_response(struct mhd_exchange *x)
{
	struct MHD_Response *response = x->response;
	enum MHD_Result queued;

	x->response = NULL;
	queued = MHD_queue_response(x->connection, x->status, response);
	MHD_destroy_response(response);
	return queued;
}

/*
 * First call of the access handler, with the headers. libmicrohttpd closes the
 * connection after a response that is queued in this call.  A request without a
 * body therefore proceeds to the last call immediately, so that its connection
 * is kept alive.
 */
static enum MHD_Result
step_headers(struct mhd_exchange *x)
{
	if (loom_exchange_body_length(&x->base) == 0) {
		x->phase = PHASE_BODY;
		x->body_ended = true;
		return MHD_YES;
	}
	if (x->response != NULL)
		return queue_response(x);
	if (x->body_wanted)
		x->phase = PHASE_BODY;
	else
		exchange_suspend(x);
	return MHD_YES;
}

/*
 * Call of the access handler with a piece of the body.  Suspends the connection
 * when the handler does not consume all of it; libmicrohttpd passes the rest
 * again in the next call.
 */
static enum MHD_Result
step_body(struct mhd_exchange *x, const char *upload, size_t *upload_len)
{
	size_t taken;

	/* The callback may call loom_exchange_resume_body() itself, when the
	 * data that it consumed was passed on immediately and there is room for
	 * more. */
	do {
		x->body_wanted = false;
		taken = x->server->ops->body(
		    &x->base, (const uint8_t *)upload, *upload_len);
		upload += taken;
		*upload_len -= taken;
	} while (
	    *upload_len > 0 && x->body_wanted && !x->responded && !x->aborted);
	if (*upload_len > 0 && !x->responded && !x->aborted) {
		x->body_blocked = true;
		exchange_suspend(x);
	}
	return MHD_YES;
}

/* Call of the access handler at the end of the request.  Queues the response,
 * or suspends the connection until there is one. */
static enum MHD_Result
step_end(struct mhd_exchange *x)
{
	size_t no_upload = 0;

	if (!x->body_ended) {
		x->body_ended = true;
		if (!x->responded)
			x->server->ops->body_end(&x->base);
	}
	if (x->direct)
		return exchange_direct_step(x, &no_upload);
	if (x->response != NULL)
		return queue_response(x);
	if (!x->aborted)
		exchange_suspend(x);
	return MHD_YES;
}

enum MHD_Result
exchange_step(struct mhd_exchange *x, struct MHD_Connection *connection,
    const char *method, const char *upload, size_t *upload_len)
{
	if (!x->started) {
		x->started = true;
		x->connection = connection;
		x->method = method;
		x->server->ops->request(x->server->arg, &x->base);
	}
	if (x->disconnected || x->aborted)
		return MHD_NO;
	if (x->direct)
		return exchange_direct_step(x, upload_len);
	if (x->phase == PHASE_HEADERS)
		return step_headers(x);
	if (*upload_len > 0)
		return step_body(x, upload, upload_len);
	return step_end(x);
}

void
exchange_completed(struct mhd_exchange *x, bool completed_ok)
{
	if (x->started) {
		if (!completed_ok && !x->disconnected && !x->aborted &&
		    !x->sending_ended) {
			x->disconnected = true;
			x->server->ops->disconnected(&x->base);
		}
		x->server->ops->end(&x->base);
	}
	if (x->response != NULL)
		MHD_destroy_response(x->response);
	talloc_free(x);
}

static const char *
mhd_method(const struct loom_exchange *base)
{
	const struct mhd_exchange *x = const_mhd_exchange_of(base);

	return x->method;
}

static const char *
mhd_target(const struct loom_exchange *base)
{
	const struct mhd_exchange *x = const_mhd_exchange_of(base);

	return x->target;
}

static const char *
mhd_header(const struct loom_exchange *base, const char *name)
{
	const struct mhd_exchange *x = const_mhd_exchange_of(base);

	return MHD_lookup_connection_value(
	    x->connection, MHD_HEADER_KIND, name);
}

struct header_visit {
	void (*each)(void *arg, const char *name, const char *value);
	void *arg;
};

static enum MHD_Result
visit_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct header_visit *visit = cls;

	(void)kind;
	visit->each(visit->arg, name, value != NULL ? value : "");
	return MHD_YES;
}

static void
mhd_headers(const struct loom_exchange *base,
    void (*each)(void *arg, const char *name, const char *value), void *arg)
{
	const struct mhd_exchange *x = const_mhd_exchange_of(base);
	struct header_visit visit = { .each = each, .arg = arg };

	MHD_get_connection_values(
	    x->connection, MHD_HEADER_KIND, visit_header, &visit);
}

static void
mhd_resume_body(struct loom_exchange *base)
{
	struct mhd_exchange *x = mhd_exchange_of(base);

	x->body_wanted = true;
	if (x->phase == PHASE_HEADERS) {
		exchange_resume(x);
	} else if (x->body_blocked) {
		x->body_blocked = false;
		exchange_resume(x);
	}
}

/* Whether part of the request body has still to be received. */
static bool
is_sending(const struct mhd_exchange *x)
{
	return x->phase == PHASE_BODY && !x->body_ended;
}

/*
 * Whether part of the request body is unread.  After a response that is queued
 * before the body, libmicrohttpd closes the connection with unread bytes; the
 * kernel then sends a reset, which may reach the caller before the response.
 */
static bool
has_unread_body(const struct mhd_exchange *x)
{
	return is_sending(x) ||
	    (x->phase == PHASE_HEADERS &&
		loom_exchange_body_length(&x->base) != 0);
}

/* Adds the headers to the response and lets libmicrohttpd queue it as soon as
 * possible.  Aborts the exchange if the response could not be allocated. */
static void
set_response(struct mhd_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders)
{
	size_t i;

	if (x->response == NULL) {
		exchange_abort(x);
		return;
	}
	for (i = 0; i < nheaders; i++)
		MHD_add_response_header(
		    x->response, headers[i].name, headers[i].value);
	if (x->server->draining)
		MHD_add_response_header(x->response, "Connection", "close");
	x->status = status;
	exchange_resume(x);
}

/* Whether libmicrohttpd can send the response (direct_response.c). */
static bool
can_queue(const struct mhd_exchange *x, const struct loom_header *headers,
    size_t nheaders)
{
	return !has_unread_body(x) && exchange_head_fits(x, headers, nheaders);
}

static void
mhd_respond(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	struct mhd_exchange *x = mhd_exchange_of(base);

	if (x->responded || x->disconnected)
		return;
	x->responded = true;
	if (!can_queue(x, headers, nheaders)) {
		exchange_direct_begin(
		    x, status, headers, nheaders, (int64_t)len);
		exchange_direct_push(x, body, len);
		exchange_direct_finish(x);
		return;
	}
	x->response = MHD_create_response_from_buffer(
	    len, (void *)body, MHD_RESPMEM_MUST_COPY);
	set_response(x, status, headers, nheaders);
}

/* Content reader callback of a streamed response.  Suspends the connection when
 * no data is buffered. */
static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct mhd_exchange *x = cls;
	size_t len = loom_buffer_length(&x->out);

	(void)pos;
	if (x->aborted || x->disconnected)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (len == 0) {
		if (x->finished)
			return MHD_CONTENT_READER_END_OF_STREAM;
		exchange_suspend(x);
		return 0;
	}
	len = MIN(len, max);
	memcpy(buf, loom_buffer_peek(&x->out), len);
	loom_buffer_consume(&x->out, len);
	if (loom_buffer_length(&x->out) < EXCHANGE_LOW_WATER_BYTES &&
	    !x->finished)
		x->server->ops->drained(&x->base);
	return (ssize_t)len;
}

static void
mhd_stream(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	struct mhd_exchange *x = mhd_exchange_of(base);

	if (x->responded || x->disconnected)
		return;
	x->responded = true;
	x->streaming = true;
	if (!can_queue(x, headers, nheaders)) {
		exchange_direct_begin(x, status, headers, nheaders, length);
		return;
	}
	x->response = MHD_create_response_from_callback(
	    length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length,
	    STREAM_BLOCK_BYTES, read_stream, x, NULL);
	set_response(x, status, headers, nheaders);
}

static bool
mhd_push(struct loom_exchange *base, const void *data, size_t len)
{
	struct mhd_exchange *x = mhd_exchange_of(base);

	if (x->disconnected || x->aborted)
		return true;
	if (x->direct)
		exchange_direct_push(x, data, len);
	else if (!loom_buffer_append(&x->out, x, data, len))
		exchange_abort(x);
	else if (len > 0)
		exchange_resume(x);
	return loom_buffer_length(&x->out) < EXCHANGE_HIGH_WATER_BYTES;
}

static void
mhd_finish(struct loom_exchange *base)
{
	struct mhd_exchange *x = mhd_exchange_of(base);

	if (x->direct) {
		exchange_direct_finish(x);
		return;
	}
	x->finished = true;
	exchange_resume(x);
}

void
exchange_abort(struct mhd_exchange *x)
{
	if (x->aborted || x->disconnected)
		return;
	x->aborted = true;
	TALLOC_FREE(x->writable);
	if (x->connection != NULL)
		exchange_reset(exchange_fd(x));
	exchange_resume(x);
}

static void
mhd_abort(struct loom_exchange *base)
{
	exchange_abort(mhd_exchange_of(base));
}

static bool
mhd_responded(const struct loom_exchange *base)
{
	const struct mhd_exchange *x = const_mhd_exchange_of(base);

	return x->responded;
}

static const struct exchange_vtable mhd_vtable = {
	.method = mhd_method,
	.target = mhd_target,
	.header = mhd_header,
	.headers = mhd_headers,
	.resume_body = mhd_resume_body,
	.respond = mhd_respond,
	.stream = mhd_stream,
	.push = mhd_push,
	.finish = mhd_finish,
	.abort = mhd_abort,
	.responded = mhd_responded,
};

struct mhd_exchange *
exchange_new(struct loom_server *server, const char *target)
{
	struct mhd_exchange *x = talloc_zero(server, struct mhd_exchange);

	if (x == NULL)
		return NULL;
	x->base.vtable = &mhd_vtable;
	x->server = server;
	x->target = talloc_strdup(x, target);
	if (x->target == NULL) {
		talloc_free(x);
		return NULL;
	}
	return x;
}
