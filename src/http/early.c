/*
 * Answers to callers that still send.
 *
 * libmicrohttpd queues an answer before a body or after its end, never in the
 * middle.  A request that is given up there (its key was withdrawn, its
 * deadline passed, its body is too long) would be answered by a reset alone,
 * and its caller could not tell not-run from unknown.  So the answer is
 * written to the connection here, whole and at once, and nothing after it.  An
 * answer before the body goes this way too, since libmicrohttpd closes the
 * connection after it without having read what the caller sends all the same.
 *
 * Then our side is shut down and what still comes is read and dropped: a close
 * with unread bytes is a reset, which may overtake the answer.  That ends with
 * the body, after EXCHANGE_DISCARD_MAX bytes, or after EXCHANGE_LINGER_US.
 */

#include <gnutls/gnutls.h>
#include <sys/socket.h>

#include "http/mhd_exchange.h"

static GString *
format(uint16_t status, const struct loom_header *headers, size_t nheaders,
    const void *body, size_t len)
{
	GString *text = g_string_new(NULL);
	size_t i;

	g_string_append_printf(text, "HTTP/1.1 %u %s\r\n", (unsigned)status,
	    MHD_get_reason_phrase_for(status));
	for (i = 0; i < nheaders; i++)
		g_string_append_printf(
		    text, "%s: %s\r\n", headers[i].name, headers[i].value);
	g_string_append_printf(
	    text, "Connection: close\r\nContent-Length: %zu\r\n\r\n", len);
	return g_string_append_len(text, body, (gssize)len);
}

static bool
send_plain(int fd, const GString *text)
{
	return send(fd, text->str, text->len, MSG_DONTWAIT | MSG_NOSIGNAL) ==
	    (ssize_t)text->len;
}

static bool
send_tls(gnutls_session_t session, const GString *text)
{
	size_t sent = 0;
	ssize_t n;

	while (sent < text->len) {
		n = gnutls_record_send(
		    session, text->str + sent, text->len - sent);
		if (n <= 0)
			return false;
		sent += (size_t)n;
	}
	return gnutls_bye(session, GNUTLS_SHUT_WR) == GNUTLS_E_SUCCESS;
}

bool
exchange_send_early(struct mhd_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	GString *text = format(status, headers, nheaders, body, len);
	const union MHD_ConnectionInfo *tls;
	bool sent;

	tls = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_GNUTLS_SESSION);
	if (tls != NULL)
		sent = send_tls(tls->tls_session, text);
	else
		sent = send_plain(exchange_fd(x), text);
	g_string_free(text, TRUE);
	return sent && shutdown(exchange_fd(x), SHUT_WR) == 0;
}
