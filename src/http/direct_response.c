/*
 * Responses that are written to the connection's socket without libmicrohttpd.
 *
 * libmicrohttpd has two limits that a response may not be lost to.  It queues a
 * response before the request's body or after its end, but not in between,
 * where a request may be given up or an upstream may answer.  And it builds the
 * response's head in the connection's memory, in what the request's headers
 * have left of it, and closes the connection if the head does not fit.
 *
 * After such a response the connection is closed.  Its sending side is shut
 * down, and data that is still received is read and discarded: closing a socket
 * with unread data sends a reset, which may reach the caller before the
 * response.  Discarding ends with the request's body or, once the caller's host
 * has the whole response, after EXCHANGE_DISCARD_MAX_BYTES or
 * EXCHANGE_LINGER_US.
 */

#include <errno.h>
#include <gnutls/gnutls.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http/mhd_exchange.h"
#include "http/serialize.h"

/* Memory that libmicrohttpd keeps for received data, as a part of all. */
#define READ_BUFFER_DIVISOR 2
/* The read buffer is larger than the head that was read into it. */
#define READ_BUFFER_SLACK_BYTES 2048
/* Memory for each header, cookie and argument, beside its text. */
#define VALUE_BYTES 72
/* The status line and the headers that libmicrohttpd adds. */
#define ADDED_HEAD_BYTES 512

#define VALUE_KINDS                                                  \
	(MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND | \
	    MHD_FOOTER_KIND)

/* What the request takes of the connection's memory, at most. */
static size_t
request_memory(const struct mhd_exchange *x)
{
	const union MHD_ConnectionInfo *info;
	const char *cookies;
	size_t head_bytes, bytes;
	int nvalues;

	info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	head_bytes = info == NULL ? 0 : info->header_size;
	nvalues = MHD_get_connection_values(
	    x->connection, (enum MHD_ValueKind)VALUE_KINDS, NULL, NULL);
	cookies = MHD_lookup_connection_value(
	    x->connection, MHD_HEADER_KIND, "Cookie");
	bytes = MAX(head_bytes + READ_BUFFER_SLACK_BYTES,
	    EXCHANGE_CONNECTION_MEMORY_BYTES / READ_BUFFER_DIVISOR);
	bytes += (size_t)MAX(nvalues, 0) * VALUE_BYTES;
	return cookies == NULL ? bytes : bytes + strlen(cookies);
}

bool
exchange_head_fits(const struct mhd_exchange *x,
    const struct loom_header *headers, size_t nheaders)
{
	size_t bytes = request_memory(x) + ADDED_HEAD_BYTES;
	size_t i;

	for (i = 0; i < nheaders; i++)
		bytes += strlen(headers[i].name) + strlen(": \r\n") +
		    strlen(headers[i].value);
	return bytes <= EXCHANGE_CONNECTION_MEMORY_BYTES;
}

static gnutls_session_t
tls_session(const struct mhd_exchange *x)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_GNUTLS_SESSION);

	return info == NULL ? NULL : info->tls_session;
}

/* Returns the number of bytes written, 0 if none can be now, -1 on failure. */
static ssize_t
write_some(const struct mhd_exchange *x, const void *data, size_t len)
{
	gnutls_session_t tls = tls_session(x);
	ssize_t n;

	if (tls != NULL) {
		n = gnutls_record_send(tls, data, len);
		if (n == GNUTLS_E_AGAIN || n == GNUTLS_E_INTERRUPTED)
			return 0;
		return n < 0 ? -1 : n;
	}
	n = send(exchange_fd(x), data, len, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	return n;
}

static void on_writable(
    struct tevent_context *, struct tevent_fd *, uint16_t, void *);

static void
watch_writable(struct mhd_exchange *x, bool on)
{
	if (!on)
		TALLOC_FREE(x->writable);
	else if (x->writable == NULL)
		x->writable = tevent_add_fd(x->server->ev, x, exchange_fd(x),
		    TEVENT_FD_WRITE, on_writable, x);
}

/* Nothing more is sent; what was sent may still be on the way. */
static void
end_sending(struct mhd_exchange *x)
{
	gnutls_session_t tls = tls_session(x);

	watch_writable(x, false);
	if (tls != NULL)
		gnutls_bye(tls, GNUTLS_SHUT_WR);
	shutdown(exchange_fd(x), SHUT_WR);
	x->sending_ended = true;
	exchange_resume(x);
}

static void
flush(struct mhd_exchange *x)
{
	ssize_t n;

	if (x->aborted || x->disconnected || x->sending_ended)
		return;
	while (loom_buffer_length(&x->out) > 0) {
		n = write_some(
		    x, loom_buffer_peek(&x->out), loom_buffer_length(&x->out));
		if (n < 0) {
			exchange_abort(x);
			return;
		}
		if (n == 0) {
			watch_writable(x, true);
			return;
		}
		loom_buffer_consume(&x->out, (size_t)n);
	}
	watch_writable(x, false);
	if (x->finished)
		end_sending(x);
}

static void
on_writable(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct mhd_exchange *x = arg;

	(void)ev;
	(void)fde;
	(void)flags;
	flush(x);
	if (x->streaming && !x->finished && !x->aborted &&
	    loom_buffer_length(&x->out) < EXCHANGE_LOW_WATER_BYTES)
		x->server->ops->drained(&x->base);
}

/* Bytes that the caller's host has not acknowledged. */
static size_t
undelivered(const struct mhd_exchange *x)
{
	int bytes = 0;

	if (ioctl(exchange_fd(x), SIOCOUTQ, &bytes) != 0)
		bytes = 0;
	return loom_buffer_length(&x->out) + (size_t)bytes;
}

bool
exchange_direct_is_delivered(const struct mhd_exchange *x)
{
	return x->sending_ended && undelivered(x) == 0;
}

static void
start_linger(struct mhd_exchange *x)
{
	x->linger_timer = loom_timer_add(x->server->timers, x,
	    EXCHANGE_LINGER_US, exchange_direct_linger, x);
}

void
exchange_direct_linger(void *arg)
{
	struct mhd_exchange *x = arg;
	const size_t left = undelivered(x);

	x->linger_timer = NULL;
	if (exchange_direct_is_delivered(x)) {
		if (x->lingered || x->body_ended) {
			/* reading now returns end of file */
			exchange_resume(x);
			shutdown(exchange_fd(x), SHUT_RD);
			return;
		}
		x->lingered = true;
	} else if (left > 0 && left == x->undelivered_bytes &&
	    ++x->stalled_ticks >= x->server->stall_ticks_max) {
		exchange_abort(x);
		return;
	} else if (left != x->undelivered_bytes) {
		x->stalled_ticks = 0;
	}
	x->undelivered_bytes = left;
	start_linger(x);
}

static bool
append_framing(struct mhd_exchange *x, uint16_t status, int64_t length)
{
	if (http_status_has_no_body(status)) {
		x->has_no_body = true;
		return true;
	}
	x->has_no_body = strcmp(x->method, "HEAD") == 0;
	if (length >= 0)
		return http_append_content_length(&x->out, x, (uint64_t)length);
	if (x->is_http_1_0)
		return true; /* the body ends with the connection */
	x->chunked = true;
	return http_append_header(&x->out, x, "Transfer-Encoding", "chunked");
}

static bool
append_head(struct mhd_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	char line[64];
	size_t i;

	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", (unsigned)status,
	    MHD_get_reason_phrase_for(status));
	if (!http_append_text(&x->out, x, line))
		return false;
	for (i = 0; i < nheaders; i++) {
		if (!http_append_header(
			&x->out, x, headers[i].name, headers[i].value))
			return false;
	}
	return append_framing(x, status, length) &&
	    http_append_text(&x->out, x, "Connection: close\r\n\r\n");
}

void
exchange_direct_begin(struct mhd_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	x->direct = true;
	if (!append_head(x, status, headers, nheaders, length)) {
		exchange_abort(x);
		return;
	}
	x->undelivered_bytes = loom_buffer_length(&x->out);
	start_linger(x);
	/* the rest of the body is read */
	exchange_resume(x);
}

void
exchange_direct_push(struct mhd_exchange *x, const void *data, size_t len)
{
	if (x->has_no_body)
		return;
	if (!http_append_body(&x->out, x, data, len, x->chunked))
		exchange_abort(x);
	else
		flush(x);
}

void
exchange_direct_finish(struct mhd_exchange *x)
{
	x->finished = true;
	if (x->chunked && !x->has_no_body &&
	    !http_append_last_chunk(&x->out, x))
		exchange_abort(x);
	else
		flush(x);
}

/* Reads what has arrived beyond the request. */
static void
discard_received(const struct mhd_exchange *x)
{
	char block[4096];
	size_t discarded = 0;
	ssize_t n;

	while (discarded < EXCHANGE_DISCARD_MAX_BYTES) {
		n = recv(exchange_fd(x), block, sizeof(block), MSG_DONTWAIT);
		if (n <= 0)
			return;
		discarded += (size_t)n;
	}
}

/* libmicrohttpd would send the interim response in the middle of this one, as
 * it reads on.  Without it the caller sends no body. */
static bool
expects_continue(const struct mhd_exchange *x)
{
	const char *text = loom_exchange_header(&x->base, "Expect");

	return text != NULL && g_ascii_strcasecmp(text, "100-continue") == 0;
}

enum MHD_Result
exchange_direct_step(struct mhd_exchange *x, size_t *upload_len)
{
	if (*upload_len > 0) {
		if (x->sending_ended)
			x->discarded_bytes += *upload_len;
		*upload_len = 0;
		return x->discarded_bytes > EXCHANGE_DISCARD_MAX_BYTES &&
			exchange_direct_is_delivered(x)
		    ? MHD_NO
		    : MHD_YES;
	}
	if (x->phase == PHASE_HEADERS && !expects_continue(x)) {
		x->phase = PHASE_BODY;
		return MHD_YES;
	}
	x->body_ended = true;
	if (exchange_direct_is_delivered(x) ||
	    exchange_connection(x->connection)->hung_up) {
		discard_received(x);
		return MHD_NO;
	}
	exchange_suspend(x);
	return MHD_YES;
}
