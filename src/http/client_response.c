/*
 * Parses a response with http_parser.  The headers are stored in the
 * connection; the body is passed on to the owner of the request as it arrives.
 */

#include <string.h>

#include "http/client.h"
#include "http/serialize.h"

#define STATUS_FINAL_MIN 200

/*
 * Limits for servers in trouble that send without end. http_parser limits a
 * single message's headers, and the parameters of a single chunk; interim
 * responses and small chunks may follow one another.
 */
#define HEAD_MAX_BYTES (128 * 1024) /* with all interim responses */
#define FRAMING_MAX_BYTES (64 * 1024) /* of chunks, beside their bodies */
/* A chunk of one byte has five bytes of framing. */
#define FRAMING_PER_BODY_BYTE 8

/* Return value of on_headers_complete(): the response has no body. */
#define SKIP_BODY 1

static struct client_connection *
connection_of(const http_parser *parser)
{
	return parser->data;
}

static int
on_message_begin(http_parser *parser)
{
	http_head_clear(&connection_of(parser)->head);
	return 0;
}

static int
append_header_name(http_parser *parser, const char *at, size_t len)
{
	struct client_connection *connection = connection_of(parser);

	/* trailers are ignored */
	if (!connection->fetch->headers_complete)
		http_head_append_name(&connection->head, at, len);
	return 0;
}

static int
append_header_value(http_parser *parser, const char *at, size_t len)
{
	struct client_connection *connection = connection_of(parser);

	if (!connection->fetch->headers_complete)
		http_head_append_value(&connection->head, at, len);
	return 0;
}

/*
 * Reads the idle timeout of the server, in whole seconds, from the Keep-Alive
 * header.  Only half of it is used, because the server's timeout starts earlier
 * than ours.  False if the timeout is 0.
 */
static bool
read_keep_alive(struct client_connection *connection)
{
	static const char name[] = "timeout=";
	const char *text = loom_fetch_header(connection->fetch, "Keep-Alive");
	const char *timeout = text == NULL ? NULL : strstr(text, name);
	uint64_t timeout_s;

	connection->server_idle_max_ms = 0;
	if (timeout == NULL)
		return true;
	timeout_s = g_ascii_strtoull(timeout + sizeof(name) - 1, NULL, 10);
	connection->server_idle_max_ms =
	    (uint32_t)(MIN(timeout_s, UINT16_MAX) * 1000 / 2);
	return timeout_s > 0;
}

/* The Content-Length of such a response is that of the response to a GET. */
static bool
has_no_body(const struct loom_fetch *fetch)
{
	return fetch->is_head || http_status_has_no_body(fetch->status);
}

/*
 * The client never requests a transfer coding other than chunked.  After the
 * chunks are decoded, the still encoded body would be passed on as if it were
 * plain.
 */
static bool
has_unsupported_coding(const struct http_head *head)
{
	const char *codings = http_head_find(head, "Transfer-Encoding");

	return codings != NULL && g_ascii_strcasecmp(codings, "chunked") != 0;
}

static int
on_headers_complete(http_parser *parser)
{
	struct client_connection *connection = connection_of(parser);
	struct loom_fetch *fetch = connection->fetch;

	if (parser->http_major != 1 ||
	    parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return -1;
	if (parser->status_code < STATUS_FINAL_MIN)
		return SKIP_BODY; /* whatever its headers say (RFC 9110, 15.2)
				   */
	if (!http_head_complete(&connection->head) ||
	    has_unsupported_coding(&connection->head))
		return -1;
	fetch->status = (uint16_t)parser->status_code;
	fetch->headers_complete = true;
	if (fetch->ops->headers != NULL) {
		fetch->in_callback = true;
		fetch->ops->headers(fetch->arg, fetch);
		fetch->in_callback = false;
	}
	if (fetch->rejected || fetch->cancelled)
		return -1;
	return has_no_body(fetch) ? SKIP_BODY : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct loom_fetch *fetch = connection_of(parser)->fetch;

	fetch->body_bytes += len;
	if (fetch->body_max_bytes != 0 &&
	    fetch->body_bytes > fetch->body_max_bytes)
		return -1;
	if (fetch->ops->data == NULL)
		return 0;
	fetch->in_callback = true;
	if (!fetch->ops->data(fetch->arg, (const uint8_t *)at, len))
		fetch->response_paused = true;
	fetch->in_callback = false;
	return fetch->cancelled || fetch->rejected ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct client_connection *connection = connection_of(parser);
	struct loom_fetch *fetch = connection->fetch;

	if (!fetch->headers_complete) {
		if (parser->status_code == HTTP_STATUS_CONTINUE)
			fetch->awaiting_continue = false;
		return 0;
	}
	fetch->response_complete = true;
	connection->reusable =
	    http_should_keep_alive(parser) != 0 && read_keep_alive(connection);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = append_header_name,
	.on_header_value = append_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void
client_response_begin(struct client_connection *connection)
{
	http_head_clear(&connection->head);
	connection->reusable = false;
	response_syntax_begin(&connection->syntax, connection->fetch->is_head);
	http_parser_init(&connection->parser, HTTP_RESPONSE);
	connection->parser.data = connection;
}

const char *
client_response_error(const struct client_connection *connection)
{
	if (connection->fetch->rejected)
		return "the answer is not this request's";
	if (connection->fetch->response_malformed)
		return "the answer is malformed";
	if (connection->fetch->response_too_long)
		return "more headers or chunk framing than any answer has";
	return http_errno_description(HTTP_PARSER_ERRNO(&connection->parser));
}

/* Counts what was parsed; returns whether the limits hold.  Bytes of the part
 * with which the headers end count as framing. */
static bool
count_received(struct loom_fetch *fetch, size_t len, uint64_t body_bytes)
{
	if (!fetch->headers_complete) {
		fetch->head_bytes += len;
		return fetch->head_bytes <= HEAD_MAX_BYTES;
	}
	fetch->framing_bytes += len - body_bytes;
	return fetch->framing_bytes <=
	    FRAMING_MAX_BYTES + FRAMING_PER_BODY_BYTE * fetch->body_bytes;
}

enum client_parse_result
client_response_parse(
    struct client_connection *connection, const uint8_t *data, size_t len)
{
	http_parser *parser = &connection->parser;
	struct loom_fetch *fetch = connection->fetch;
	const uint64_t body_bytes = fetch->body_bytes;
	const size_t valid =
	    response_syntax_check(&connection->syntax, data, len);
	size_t consumed = 0;

	/* An empty part tells the parser that the connection has ended. */
	if (valid > 0 || len == 0)
		consumed = http_parser_execute(
		    parser, &parser_settings, (const char *)data, valid);
	if (connection->fetch->response_complete) {
		/* Surplus bytes belong to no request and could be mistaken for
		 * the start of the next response. */
		if (consumed < len)
			connection->reusable = false;
		return CLIENT_PARSE_COMPLETE;
	}
	if (len == 0 || HTTP_PARSER_ERRNO(parser) != HPE_OK)
		return CLIENT_PARSE_FAILED;
	if (valid < len) {
		fetch->response_malformed = true;
		return CLIENT_PARSE_FAILED;
	}
	if (!count_received(fetch, len, fetch->body_bytes - body_bytes)) {
		fetch->response_too_long = true;
		return CLIENT_PARSE_FAILED;
	}
	return CLIENT_PARSE_MORE;
}
