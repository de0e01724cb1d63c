/*
 * Responses to callers that are still sending their request.
 *
 * libmicrohttpd queues a response before the body or after its end, but not in
 * between.  A request that is given up while its body is received (its key was
 * withdrawn, its deadline passed, its body is too long) could only be reset,
 * and its caller could not tell whether it had been executed.  The response is
 * therefore written to the connection's socket here, completely and in one go,
 * and nothing is sent after it.  A response before the body is sent in the same
 * way, since libmicrohttpd closes the connection after such a response without
 * reading the body that the caller may send nevertheless.
 *
 * Then the sending side of the connection is shut down, and further received
 * data is read and discarded: closing a socket with unread data sends a reset,
 * which may reach the caller before the response.  Discarding ends with the
 * body, after EXCHANGE_DISCARD_MAX_BYTES, or after EXCHANGE_LINGER_US.
 */

#include <gnutls/gnutls.h>
#include <sys/socket.h>

#include "http/mhd_exchange.h"

static GString *
format_response(uint16_t status, const struct loom_header *headers,
    size_t nheaders, const void *body, size_t len)
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
exchange_send_early_response(struct mhd_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	GString *text = format_response(status, headers, nheaders, body, len);
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
