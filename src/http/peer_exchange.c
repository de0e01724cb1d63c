/*
 * The exchange as its owner uses it.  Answers go to the socket at once; what
 * follows from them (the end of the exchange, the next request) waits for a
 * turn of the event loop, since the owner may be anywhere.
 */

#include "http/peer_server.h"
#include "http/text.h"

static struct peer_exchange *
peer_of(struct loom_exchange *base)
{
	return (struct peer_exchange *)(void *)base;
}

static const struct peer_exchange *
const_peer_of(const struct loom_exchange *base)
{
	return (const struct peer_exchange *)(const void *)base;
}

static const char *
peer_method(const struct loom_exchange *base)
{
	const struct peer_connection *connection =
	    const_peer_of(base)->connection;

	return http_method_str((enum http_method)connection->parser.method);
}

static const char *
peer_target(const struct loom_exchange *base)
{
	return const_peer_of(base)->connection->target->str;
}

static const char *
peer_header(const struct loom_exchange *base, const char *name)
{
	return http_head_find(&const_peer_of(base)->connection->head, name);
}

static void
peer_headers(const struct loom_exchange *base,
    void (*each)(void *arg, const char *name, const char *value), void *arg)
{
	const struct loom_header *headers;
	size_t i, n;

	headers = http_head_items(&const_peer_of(base)->connection->head, &n);
	for (i = 0; i < n; i++)
		each(arg, headers[i].name, headers[i].value);
}

static bool
put(struct peer_connection *connection, const char *text)
{
	return http_put(&connection->out, connection, text);
}

static bool
put_header(
    struct peer_connection *connection, const char *name, const char *value)
{
	return http_put_header(&connection->out, connection, name, value);
}

static void
peer_abort(struct loom_exchange *base)
{
	struct peer_exchange *x = peer_of(base);

	if (x->aborted || x->gone)
		return;
	x->aborted = true;
	peer_connection_settle_later(x->connection);
}

static void
peer_take_body(struct loom_exchange *base)
{
	struct peer_exchange *x = peer_of(base);
	struct peer_connection *connection = x->connection;

	if (x->answered || x->aborted)
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
		peer_connection_settle_later(connection);
}

/* length -1: it is not known. */
static bool
put_framing(struct peer_exchange *x, uint16_t status, int64_t length)
{
	if (http_status_has_no_body(status))
		return true;
	if (length >= 0)
		return http_put_length(
		    &x->connection->out, x->connection, (uint64_t)length);
	if (x->old_protocol) {
		x->closes = true;
		return true;
	}
	x->in_chunks = true;
	return put_header(x->connection, "Transfer-Encoding", "chunked");
}

/* The rest of a body that nobody wants ends with the connection. */
static bool
must_close(const struct peer_exchange *x)
{
	return x->connection->server->draining ||
	    (x->has_body && !x->body_ended);
}

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
	x->closes = x->closes || must_close(x);
	if (x->closes && !put_header(connection, "Connection", "close"))
		return false;
	return put(connection, "\r\n");
}

static void
sent_whole(struct peer_exchange *x)
{
	x->finished = true;
	peer_connection_flush(x->connection);
	peer_connection_settle_later(x->connection);
}

static void
peer_answer(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	struct peer_exchange *x = peer_of(base);
	const bool has_body = !x->is_head && !http_status_has_no_body(status);

	if (x->answered || x->gone || x->aborted)
		return;
	x->answered = true;
	if (!put_head(x, status, headers, nheaders, (int64_t)len) ||
	    (has_body &&
		!http_put_piece(
		    &x->connection->out, x->connection, body, len, false))) {
		peer_abort(base);
		return;
	}
	sent_whole(x);
}

static void
peer_stream(struct loom_exchange *base, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	struct peer_exchange *x = peer_of(base);

	if (x->answered || x->gone || x->aborted)
		return;
	x->answered = true;
	if (!put_head(x, status, headers, nheaders, length)) {
		peer_abort(base);
		return;
	}
	peer_connection_flush(x->connection);
}

static bool
peer_push(struct loom_exchange *base, const void *data, size_t len)
{
	struct peer_exchange *x = peer_of(base);

	if (x->gone || x->aborted || x->is_head || len == 0)
		return true;
	if (!http_put_piece(
		&x->connection->out, x->connection, data, len, x->in_chunks)) {
		peer_abort(base);
		return true;
	}
	peer_connection_flush(x->connection);
	x->full =
	    loom_buffer_length(&x->connection->out) >= EXCHANGE_HIGH_WATER;
	return !x->full;
}

static void
peer_finish(struct loom_exchange *base)
{
	struct peer_exchange *x = peer_of(base);

	if (x->gone || x->aborted || x->finished)
		return;
	if (x->in_chunks && !x->is_head &&
	    !http_put_last_chunk(&x->connection->out, x->connection)) {
		peer_abort(base);
		return;
	}
	sent_whole(x);
}

static bool
peer_answered(const struct loom_exchange *base)
{
	return const_peer_of(base)->answered;
}

const struct exchange_kind peer_exchange_kind = {
	.method = peer_method,
	.target = peer_target,
	.header = peer_header,
	.headers = peer_headers,
	.take_body = peer_take_body,
	.answer = peer_answer,
	.stream = peer_stream,
	.push = peer_push,
	.finish = peer_finish,
	.abort = peer_abort,
	.answered = peer_answered,
};
