/*
 * One request and its answer on top of libmicrohttpd.
 *
 * libmicrohttpd calls its access handler again and again: first with the
 * headers, then with pieces of the body, then once with none, and an answer
 * may be queued in the first or the last of these calls only.  Between calls
 * the connection is suspended whenever its owner has to wait, so that no
 * thread waits and the caller's bytes stay in the kernel (back-pressure).
 *
 * Suspending in the first call holds the body back and "100 Continue" with
 * it: a refusal that is found while the request waits for a slot reaches a
 * caller before it has sent 200 MB in vain.
 */

#include <string.h>
#include <sys/socket.h>

#include "http/mhd_exchange.h"

/* Two of these wait at most: one is written while the next is fetched. */
#define STREAM_BLOCK (EXCHANGE_HIGH_WATER / 2)

static struct mhd_exchange *
mhd_of(struct loom_exchange *base)
{
	return (struct mhd_exchange *)(void *)base;
}

static const struct mhd_exchange *
const_mhd_of(const struct loom_exchange *base)
{
	return (const struct mhd_exchange *)(const void *)base;
}

static void abort_exchange(struct mhd_exchange *);

int
exchange_fd(const struct mhd_exchange *x)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return info == NULL ? -1 : info->connect_fd;
}

struct http_connection *
exchange_connection(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
	    ->socket_context;
}

static void
resume(struct mhd_exchange *x)
{
	if (!x->suspended)
		return;
	exchange_connection(x->connection)->waiting = NULL;
	x->suspended = false;
	MHD_resume_connection(x->connection);
	loom_server_kick(x->server);
}

static void
caller_gone(struct mhd_exchange *x)
{
	x->gone = true;
	x->server->ops->gone(&x->base);
	resume(x);
}

static void
hung_up(void *arg)
{
	struct http_connection *connection = arg;

	connection->gone = true;
	if (connection->waiting != NULL)
		caller_gone(connection->waiting);
}

/*
 * The watch stays for the connection's life: setting it for each request
 * would be two system calls of some twenty that a request takes.  A caller
 * that closed before this request began to wait was told of once, and is not
 * again; the next step of the exchange then ends it.
 */
static void
suspend(struct mhd_exchange *x)
{
	struct http_connection *connection = exchange_connection(x->connection);

	if (x->suspended)
		return;
	if (connection->gone) {
		caller_gone(x);
		return;
	}
	x->suspended = true;
	connection->waiting = x;
	MHD_suspend_connection(x->connection);
	if (connection->watch == NULL)
		connection->watch = loom_hangup_watch(connection,
		    x->server->hangup, exchange_fd(x), hung_up, connection);
}

static enum MHD_Result
queue_answer(struct mhd_exchange *x)
{
	struct MHD_Response *response = x->response;
	enum MHD_Result queued;

	TALLOC_FREE(x->body_timer);
	x->response = NULL;
	queued = MHD_queue_response(x->connection, x->status, response);
	MHD_destroy_response(response);
	return queued;
}

/*
 * libmicrohttpd closes the connection after an answer that is queued in the
 * first call.  A request without a body therefore goes on to the last call at
 * once, and its connection is kept.
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
		return queue_answer(x);
	if (x->body_wanted || x->early)
		x->phase = PHASE_BODY;
	else
		suspend(x);
	return MHD_YES;
}

static enum MHD_Result
step_body(struct mhd_exchange *x, const char *upload, size_t *upload_len)
{
	size_t taken;

	if (x->answered) {
		x->discarded_bytes += *upload_len;
		*upload_len = 0;
		return x->discarded_bytes > EXCHANGE_DISCARD_MAX ? MHD_NO
								 : MHD_YES;
	}
	/* The owner may ask for more from inside, when what it took has gone on
	 * at once and left room. */
	do {
		x->body_wanted = false;
		taken = x->server->ops->body(
		    &x->base, (const uint8_t *)upload, *upload_len);
		upload += taken;
		*upload_len -= taken;
	} while (
	    *upload_len > 0 && x->body_wanted && !x->answered && !x->aborted);
	if (*upload_len > 0 && !x->answered && !x->aborted) {
		x->body_blocked = true;
		suspend(x);
	}
	return MHD_YES;
}

static enum MHD_Result
step_end(struct mhd_exchange *x)
{
	if (!x->body_ended) {
		x->body_ended = true;
		if (!x->answered)
			x->server->ops->body_end(&x->base);
	}
	if (x->early)
		return MHD_NO;
	if (x->response != NULL)
		return queue_answer(x);
	if (!x->aborted)
		suspend(x);
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
	if (x->gone || x->aborted)
		return MHD_NO;
	if (x->phase == PHASE_HEADERS)
		return step_headers(x);
	if (*upload_len > 0)
		return step_body(x, upload, upload_len);
	return step_end(x);
}

void
exchange_completed(struct mhd_exchange *x, bool whole)
{
	if (x->started) {
		if (!whole && !x->gone && !x->aborted && !x->early) {
			x->gone = true;
			x->server->ops->gone(&x->base);
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
	const struct mhd_exchange *x = const_mhd_of(base);

	return x->method;
}

static const char *
mhd_target(const struct loom_exchange *base)
{
	const struct mhd_exchange *x = const_mhd_of(base);

	return x->target;
}

static const char *
mhd_header(const struct loom_exchange *base, const char *name)
{
	const struct mhd_exchange *x = const_mhd_of(base);

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
	const struct mhd_exchange *x = const_mhd_of(base);
	struct header_visit visit = { .each = each, .arg = arg };

	MHD_get_connection_values(
	    x->connection, MHD_HEADER_KIND, visit_header, &visit);
}

static void
mhd_take_body(struct loom_exchange *base)
{
	struct mhd_exchange *x = mhd_of(base);

	x->body_wanted = true;
	if (x->phase == PHASE_HEADERS) {
		resume(x);
	} else if (x->body_blocked) {
		x->body_blocked = false;
		resume(x);
	}
}

/* What a caller sends from now on is not waited for. */
static void
end_reading(struct mhd_exchange *x)
{
	resume(x);
	shutdown(exchange_fd(x), SHUT_RD);
}

static void
on_linger_over(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct mhd_exchange *x = arg;

	(void)ev;
	(void)timer;
	(void)now;
	x->body_timer = NULL;
	if (x->early)
		end_reading(x);
	else
		abort_exchange(x);
}

static void
start_linger(struct mhd_exchange *x)
{
	x->body_timer = tevent_add_timer(x->server->ev, x,
	    tevent_timeval_current_ofs(EXCHANGE_LINGER_US / LOOM_US_PER_S, 0),
	    on_linger_over, x);
}

/* The caller is in the middle of its body. */
static bool
is_sending(const struct mhd_exchange *x)
{
	return x->phase == PHASE_BODY && !x->body_ended;
}

/* An answer that is queued while only the headers are in is followed by a close
 * with unread bytes, whose reset may overtake it. */
static bool
has_unread_body(const struct mhd_exchange *x)
{
	return is_sending(x) ||
	    (x->phase == PHASE_HEADERS &&
		loom_exchange_body_length(&x->base) != 0);
}

/* Give the answer, if there was memory for it, to libmicrohttpd as soon as it
 * may be queued. */
static void
set_answer(struct mhd_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders)
{
	size_t i;

	if (x->response == NULL) {
		abort_exchange(x);
		return;
	}
	for (i = 0; i < nheaders; i++)
		MHD_add_response_header(
		    x->response, headers[i].name, headers[i].value);
	if (x->server->draining)
		MHD_add_response_header(x->response, "Connection", "close");
	x->status = status;
	if (is_sending(x))
		start_linger(x);
	resume(x);
}

static void
answer_early(struct mhd_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	if (!exchange_send_early(x, status, headers, nheaders, body, len)) {
		abort_exchange(x);
		return;
	}
	x->early = true;
	start_linger(x);
	resume(x);
}

static void
mhd_answer(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	struct mhd_exchange *x = mhd_of(base);

	if (x->answered || x->gone)
		return;
	x->answered = true;
	if (has_unread_body(x)) {
		answer_early(x, status, headers, nheaders, body, len);
		return;
	}
	x->response = MHD_create_response_from_buffer(
	    len, (void *)body, MHD_RESPMEM_MUST_COPY);
	set_answer(x, status, headers, nheaders);
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct mhd_exchange *x = cls;
	size_t len = loom_buffer_length(&x->out);

	(void)pos;
	if (x->aborted || x->gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (len == 0) {
		if (x->finished)
			return MHD_CONTENT_READER_END_OF_STREAM;
		suspend(x);
		return 0;
	}
	len = MIN(len, max);
	memcpy(buf, loom_buffer_peek(&x->out), len);
	loom_buffer_consume(&x->out, len);
	if (loom_buffer_length(&x->out) < EXCHANGE_LOW_WATER && !x->finished)
		x->server->ops->drained(&x->base);
	return (ssize_t)len;
}

static void
mhd_stream(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	struct mhd_exchange *x = mhd_of(base);

	if (x->answered || x->gone)
		return;
	x->answered = true;
	x->streaming = true;
	x->response = MHD_create_response_from_callback(
	    length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length, STREAM_BLOCK,
	    read_stream, x, NULL);
	set_answer(x, status, headers, nheaders);
}

static bool
mhd_push(struct loom_exchange *base, const void *data, size_t len)
{
	struct mhd_exchange *x = mhd_of(base);

	if (x->gone || x->aborted)
		return true;
	if (!loom_buffer_append(&x->out, x, data, len))
		abort_exchange(x);
	else if (len > 0)
		resume(x);
	return loom_buffer_length(&x->out) < EXCHANGE_HIGH_WATER;
}

static void
mhd_finish(struct loom_exchange *base)
{
	struct mhd_exchange *x = mhd_of(base);

	x->finished = true;
	resume(x);
}

static void
abort_exchange(struct mhd_exchange *x)
{
	if (x->aborted || x->gone)
		return;
	x->aborted = true;
	if (x->connection != NULL)
		exchange_reset(exchange_fd(x));
	resume(x);
}

static void
mhd_abort(struct loom_exchange *base)
{
	abort_exchange(mhd_of(base));
}

static bool
mhd_answered(const struct loom_exchange *base)
{
	const struct mhd_exchange *x = const_mhd_of(base);

	return x->answered;
}

static const struct exchange_kind mhd_kind = {
	.method = mhd_method,
	.target = mhd_target,
	.header = mhd_header,
	.headers = mhd_headers,
	.take_body = mhd_take_body,
	.answer = mhd_answer,
	.stream = mhd_stream,
	.push = mhd_push,
	.finish = mhd_finish,
	.abort = mhd_abort,
	.answered = mhd_answered,
};

struct mhd_exchange *
exchange_new(struct loom_server *server, const char *target)
{
	struct mhd_exchange *x = talloc_zero(server, struct mhd_exchange);

	if (x == NULL)
		return NULL;
	x->base.kind = &mhd_kind;
	x->server = server;
	x->target = talloc_strdup(x, target);
	if (x->target == NULL) {
		talloc_free(x);
		return NULL;
	}
	return x;
}
