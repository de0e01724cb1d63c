/*
 * A request by http_parser.
 *
 * The parser is paused at the end of the headers until the owner asks for the
 * body, in the middle of a body of which the owner takes no more, and at the
 * end of the request until its answer is sent.  What it has not seen by then
 * waits in the connection.
 */

#include <string.h>

#include "http/peer_server.h"

/* Headers and target; more is refused.  Contexts are some 200 bytes. */
#define HEAD_MAX (32 * 1024)

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
	return connection->target->len + connection->head.text->len > HEAD_MAX;
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

	/* trailers are dropped */
	if (connection->x == NULL)
		http_head_name(&connection->head, at, len);
	return is_too_long(connection);
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct peer_connection *connection = connection_of(parser);

	if (connection->x == NULL)
		http_head_value(&connection->head, at, len);
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

	if (parser->http_major != 1 || !http_head_end(&connection->head))
		return -1;
	connection->understood = true;
	x = talloc_zero(connection, struct peer_exchange);
	if (x == NULL)
		return -1;
	*x = (struct peer_exchange){
		.base.kind = &peer_exchange_kind,
		.connection = connection,
		.has_body = has_body(parser),
		.is_head = parser->method == HTTP_HEAD,
		.expects_continue = expects_continue(connection),
		.old_protocol =
		    parser->http_major == 1 && parser->http_minor == 0,
		.closes = http_should_keep_alive(parser) == 0,
	};
	connection->x = x;
	connection->server->ops->request(connection->server->arg, &x->base);
	if (x->has_body && !x->body_wanted)
		http_parser_pause(parser, 1);
	return 0;
}

/*
 * The owner may ask for more from inside, when what it took has gone on at once
 * and left room.  Returns what it took.
 */
static size_t
offer_body(struct peer_connection *connection, const uint8_t *data, size_t len)
{
	struct peer_exchange *x = connection->x;
	size_t taken = 0;

	do {
		x->body_wanted = false;
		taken += connection->server->ops->body(
		    &x->base, data + taken, len - taken);
	} while (taken < len && x->body_wanted && !x->answered && !x->aborted);
	if (taken == len)
		x->body_wanted = true;
	return taken;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct peer_connection *connection = connection_of(parser);
	struct peer_exchange *x = connection->x;
	size_t taken;

	/* an answered request's body is read and dropped */
	if (x->answered || x->aborted)
		return 0;
	taken = offer_body(connection, (const uint8_t *)at, len);
	if (taken == len || x->answered)
		return 0;
	if (!loom_buffer_append(
		&connection->held, connection, at + taken, len - taken))
		return -1;
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct peer_connection *connection = connection_of(parser);
	struct peer_exchange *x = connection->x;

	x->body_ended = true;
	if (x->has_body && !x->answered && !x->aborted)
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

/* The owner takes what was held back of the body first. */
static bool
give_held(struct peer_connection *connection)
{
	struct loom_buffer *held = &connection->held;
	size_t taken;

	if (loom_buffer_length(held) == 0)
		return true;
	if (connection->x->answered) {
		loom_buffer_clear(held);
		return true;
	}
	taken = offer_body(
	    connection, loom_buffer_peek(held), loom_buffer_length(held));
	loom_buffer_consume(held, taken);
	return loom_buffer_length(held) == 0;
}

bool
peer_request_may_go_on(const struct peer_connection *connection)
{
	const struct peer_exchange *x = connection->x;

	if (x == NULL)
		return true;
	return !x->body_ended && !x->aborted && (x->body_wanted || x->answered);
}

enum peer_parsing
peer_request_parse(
    struct peer_connection *connection, const uint8_t *data, size_t len)
{
	http_parser *parser = &connection->parser;
	size_t used;

	connection->parsing = true;
	if (connection->x != NULL && !give_held(connection)) {
		connection->parsing = false;
		return loom_buffer_append(
			   &connection->in, connection, data, len)
		    ? PEER_PARSING_ON
		    : PEER_PARSING_BROKEN;
	}
	if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED)
		http_parser_pause(parser, 0);
	if (len == 0) { /* the parser would take it for the end */
		connection->parsing = false;
		return PEER_PARSING_ON;
	}
	used = http_parser_execute(
	    parser, &peer_request_settings, (const char *)data, len);
	connection->parsing = false;
	if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED)
		return loom_buffer_append(
			   &connection->in, connection, data + used, len - used)
		    ? PEER_PARSING_ON
		    : PEER_PARSING_BROKEN;
	return HTTP_PARSER_ERRNO(parser) == HPE_OK && !parser->upgrade
	    ? PEER_PARSING_ON
	    : PEER_PARSING_BROKEN;
}
