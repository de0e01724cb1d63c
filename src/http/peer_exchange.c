/*
 * The operations of an exchange.  Response data is sent at once.  Everything
 * that follows from it (the end of the exchange, the next request) is left to
 * the next iteration of the event loop, since the handler may call these
 * functions from anywhere, including its own callbacks.
 */

#include "http/peer_server.h"
#include "http/serialize.h"

static struct peer_exchange *
peer_exchange_of(struct loom_exchange *base)
{
	return (struct peer_exchange *)(void *)base;
}

static const struct peer_exchange *
const_peer_exchange_of(const struct loom_exchange *base)
{
	return (const struct peer_exchange *)(const void *)base;
}

static const char *
peer_method(const struct loom_exchange *base)
{
	const struct peer_connection *connection =
	    const_peer_exchange_of(base)->connection;

	return http_method_str((enum http_method)connection->parser.method);
}

static const char *
peer_target(const struct loom_exchange *base)
{
	return const_peer_exchange_of(base)->connection->target->str;
}

static const char *
peer_header(const struct loom_exchange *base, const char *name)
{
	return http_head_find(
	    &const_peer_exchange_of(base)->connection->head, name);
}

static void
peer_headers(const struct loom_exchange *base,
    void (*each)(void *arg, const char *name, const char *value), void *arg)
{
	const struct loom_header *headers;
	size_t i, n;

	headers = http_head_items(
	    &const_peer_exchange_of(base)->connection->head, &n);
	for (i = 0; i < n; i++)
		each(arg, headers[i].name, headers[i].value);
}

static bool
put(struct peer_connection *connection, const char *text)
{
	return http_append_text(&connection->out, connection, text);
}

static bool
put_header(
    struct peer_connection *connection, const char *name, const char *value)
{
	return http_append_header(&connection->out, connection, name, value);
}

static void
peer_abort(struct loom_exchange *base)
{
	struct peer_exchange *x = peer_exchange_of(base);

	if (x->aborted || x->disconnected)
		return;
	x->aborted = true;
	peer_connection_schedule_advance(x->connection);
}

static void
peer_resume_body(struct loom_exchange *base)
{
	struct peer_exchange *x = peer_exchange_of(base);
	struct peer_connection *connection = x->connection;

	if (x->responded || x->aborted)
		return;
	x->body_wanted = true;
	if (x->expects_continue) {
		x->expects_continue = false;
		if (!put(connection, "HTTP/1.1 100 Continue\r\n\r\n")) {
			peer_abort(base);
			return;
		}
		peer_connection_flush(connection);
	}
	if (!connection->parsing)
		peer_connection_schedule_advance(connection);
}

/* Appends the headers that tell where the body ends. length is -1 if it is not
 * known. */
static bool
put_framing(struct peer_exchange *x, uint16_t status, int64_t length)
{
	if (http_status_has_no_body(status))
		return true;
	if (length >= 0)
		return http_append_content_length(
		    &x->connection->out, x->connection, (uint64_t)length);
	if (x->is_http_1_0) {
		x->closes_connection = true;
		return true;
	}
	x->chunked = true;
	return put_header(x->connection, "Transfer-Encoding", "chunked");
}

/* Whether the connection has to be closed after this response.  If the request
 * body was not read completely, its rest could only be discarded, so the
 * connection is closed instead. */
static bool
must_close(const struct peer_exchange *x)
{
	return x->connection->server->draining ||
	    (x->has_body && !x->body_ended);
}

/* Appends the status line and the headers of the response. */
static bool
put_head(struct peer_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	struct peer_connection *connection = x->connection;
	char line[64];
	size_t i;

	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", (unsigned)status,
	    http_status_str((enum http_status)status));
	if (!put(connection, line))
		return false;
	for (i = 0; i < nheaders; i++) {
		if (!put_header(connection, headers[i].name, headers[i].value))
			return false;
	}
	if (!put_framing(x, status, length))
		return false;
	x->closes_connection = x->closes_connection || must_close(x);
	if (x->closes_connection &&
	    !put_header(connection, "Connection", "close"))
		return false;
	return put(connection, "\r\n");
}

/* The whole response is in the send buffer: sends it, then lets the connection
 * proceed to its next request. */
static void
finish_response(struct peer_exchange *x)
{
	x->finished = true;
	peer_connection_flush(x->connection);
	peer_connection_schedule_advance(x->connection);
}

static void
peer_respond(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	struct peer_exchange *x = peer_exchange_of(base);
	const bool has_body =
	    !x->is_head_request && !http_status_has_no_body(status);

	if (x->responded || x->disconnected || x->aborted)
		return;
	x->responded = true;
	if (!put_head(x, status, headers, nheaders, (int64_t)len) ||
	    (has_body &&
		!http_append_body(
		    &x->connection->out, x->connection, body, len, false))) {
		peer_abort(base);
		return;
	}
	finish_response(x);
}

static void
peer_stream(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	struct peer_exchange *x = peer_exchange_of(base);

	if (x->responded || x->disconnected || x->aborted)
		return;
	x->responded = true;
	if (!put_head(x, status, headers, nheaders, length)) {
		peer_abort(base);
		return;
	}
	peer_connection_flush(x->connection);
}

static bool
peer_push(struct loom_exchange *base, const void *data, size_t len)
{
	struct peer_exchange *x = peer_exchange_of(base);

	if (x->disconnected || x->aborted || x->is_head_request || len == 0)
		return true;
	if (!http_append_body(
		&x->connection->out, x->connection, data, len, x->chunked)) {
		peer_abort(base);
		return true;
	}
	peer_connection_flush(x->connection);
	x->above_high_water = loom_buffer_length(&x->connection->out) >=
	    EXCHANGE_HIGH_WATER_BYTES;
	return !x->above_high_water;
}

static void
peer_finish(struct loom_exchange *base)
{
	struct peer_exchange *x = peer_exchange_of(base);

	if (x->disconnected || x->aborted || x->finished)
		return;
	if (x->chunked && !x->is_head_request &&
	    !http_append_last_chunk(&x->connection->out, x->connection)) {
		peer_abort(base);
		return;
	}
	finish_response(x);
}

static bool
peer_responded(const struct loom_exchange *base)
{
	return const_peer_exchange_of(base)->responded;
}

const struct exchange_vtable peer_exchange_vtable = {
	.method = peer_method,
	.target = peer_target,
	.header = peer_header,
	.headers = peer_headers,
	.resume_body = peer_resume_body,
	.respond = peer_respond,
	.stream = peer_stream,
	.push = peer_push,
	.finish = peer_finish,
	.abort = peer_abort,
	.responded = peer_responded,
};
