/*
 * Parsing of a request with http_parser.
 *
 * The parser is paused at the end of the headers until the handler asks for the
 * body, inside a body while the handler consumes no more of it, and at the end
 * of the request until the response was sent.  Data that was received but not
 * yet parsed is then kept in the connection.
 */

#include <string.h>

#include "http/peer_server.h"

/* Limit for the target and the headers together; a longer request is refused.
 * Call contexts take up some 200 bytes of it. */
#define HEAD_MAX_BYTES (32 * 1024)

static struct peer_connection *
connection_of(const http_parser *parser)
{
	return parser->data;
}

static int
on_message_begin(http_parser *parser)
{
	struct peer_connection *connection = connection_of(parser);

	http_head_clear(&connection->head);
	g_string_truncate(connection->target, 0);
	return 0;
}

static bool
is_too_long(const struct peer_connection *connection)
{
	return connection->target->len + connection->head.text->len >
	    HEAD_MAX_BYTES;
}

static int
on_target(http_parser *parser, const char *at, size_t len)
{
	struct peer_connection *connection = connection_of(parser);

	g_string_append_len(connection->target, at, (gssize)len);
	return is_too_long(connection);
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
	struct peer_connection *connection = connection_of(parser);

	/* trailers, which follow the body, are ignored */
	if (connection->exchange == NULL)
		http_head_append_name(&connection->head, at, len);
	return is_too_long(connection);
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct peer_connection *connection = connection_of(parser);

	if (connection->exchange == NULL)
		http_head_append_value(&connection->head, at, len);
	return is_too_long(connection);
}

static bool
has_body(const http_parser *parser)
{
	return (parser->flags & F_CHUNKED) != 0 ||
	    (parser->content_length > 0 &&
		parser->content_length != ULLONG_MAX);
}

static bool
expects_continue(const struct peer_connection *connection)
{
	const char *text = http_head_find(&connection->head, "Expect");

	return text != NULL && g_ascii_strcasecmp(text, "100-continue") == 0;
}

static int
on_headers_complete(http_parser *parser)
{
	struct peer_connection *connection = connection_of(parser);
	struct peer_exchange *x;

	if (parser->http_major != 1 || !http_head_complete(&connection->head))
		return -1;
	connection->received_request = true;
	x = talloc_zero(connection, struct peer_exchange);
	if (x == NULL)
		return -1;
	*x = (struct peer_exchange){
		.base.vtable = &peer_exchange_vtable,
		.connection = connection,
		.has_body = has_body(parser),
		.is_head_request = parser->method == HTTP_HEAD,
		.expects_continue = expects_continue(connection),
		.is_http_1_0 =
		    parser->http_major == 1 && parser->http_minor == 0,
		.closes_connection = http_should_keep_alive(parser) == 0,
	};
	connection->exchange = x;
	connection->server->ops->request(connection->server->arg, &x->base);
	if (x->has_body && !x->body_wanted)
		http_parser_pause(parser, 1);
	return 0;
}

/*
 * Passes body data to the handler, again as long as the handler asks for more
 * from inside the callback: it does so when the data that it consumed was
 * passed on immediately and left room.  Returns how many bytes were consumed.
 */
static size_t
deliver_body(
    struct peer_connection *connection, const uint8_t *data, size_t len)
{
	struct peer_exchange *x = connection->exchange;
	size_t taken = 0;

	do {
		x->body_wanted = false;
		taken += connection->server->ops->body(
		    &x->base, data + taken, len - taken);
	} while (taken < len && x->body_wanted && !x->responded && !x->aborted);
	if (taken == len)
		x->body_wanted = true;
	return taken;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct peer_connection *connection = connection_of(parser);
	struct peer_exchange *x = connection->exchange;
	size_t taken;

	/* after the response the body is read and discarded */
	if (x->responded || x->aborted)
		return 0;
	taken = deliver_body(connection, (const uint8_t *)at, len);
	if (taken == len || x->responded)
		return 0;
	if (!loom_buffer_append(
		&connection->pending_body, connection, at + taken, len - taken))
		return -1;
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct peer_connection *connection = connection_of(parser);
	struct peer_exchange *x = connection->exchange;

	x->body_ended = true;
	if (x->has_body && !x->responded && !x->aborted)
		connection->server->ops->body_end(&x->base);
	http_parser_pause(parser, 1);
	return 0;
}

const http_parser_settings peer_request_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* Passes the body data that the handler did not consume earlier.  Returns
 * whether none is left. */
static bool
deliver_pending_body(struct peer_connection *connection)
{
	struct loom_buffer *pending_body = &connection->pending_body;
	size_t taken;

	if (loom_buffer_length(pending_body) == 0)
		return true;
	if (connection->exchange->responded) {
		loom_buffer_clear(pending_body);
		return true;
	}
	taken = deliver_body(connection, loom_buffer_peek(pending_body),
	    loom_buffer_length(pending_body));
	loom_buffer_consume(pending_body, taken);
	return loom_buffer_length(pending_body) == 0;
}

bool
peer_request_can_parse(const struct peer_connection *connection)
{
	const struct peer_exchange *x = connection->exchange;

	if (x == NULL)
		return true;
	return !x->body_ended && !x->aborted &&
	    (x->body_wanted || x->responded);
}

enum peer_parse_result
peer_request_parse(
    struct peer_connection *connection, const uint8_t *data, size_t len)
{
	http_parser *parser = &connection->parser;
	size_t used;

	connection->parsing = true;
	if (connection->exchange != NULL && !deliver_pending_body(connection)) {
		connection->parsing = false;
		return loom_buffer_append(
			   &connection->in, connection, data, len)
		    ? PEER_PARSE_OK
		    : PEER_PARSE_ERROR;
	}
	if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED)
		http_parser_pause(parser, 0);
	/* An empty input tells http_parser that the connection has ended. */
	if (len == 0) {
		connection->parsing = false;
		return PEER_PARSE_OK;
	}
	used = http_parser_execute(
	    parser, &peer_request_settings, (const char *)data, len);
	connection->parsing = false;
	if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED)
		return loom_buffer_append(
			   &connection->in, connection, data + used, len - used)
		    ? PEER_PARSE_OK
		    : PEER_PARSE_ERROR;
	return HTTP_PARSER_ERRNO(parser) == HPE_OK && !parser->upgrade
	    ? PEER_PARSE_OK
	    : PEER_PARSE_ERROR;
}
