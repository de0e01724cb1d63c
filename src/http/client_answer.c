/*
 * An answer by http_parser: its headers into the connection's own memory, its
 * body to the request's owner as it comes.
 */

#include <string.h>

#include "http/client.h"
#include "http/text.h"

#define STATUS_MIN 100
#define STATUS_FINAL_MIN 200

/* What on_headers_complete() tells the parser. */
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
on_name(http_parser *parser, const char *at, size_t len)
{
	struct client_connection *connection = connection_of(parser);

	/* trailers are dropped */
	if (!connection->fetch->headers_done)
		http_head_name(&connection->head, at, len);
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct client_connection *connection = connection_of(parser);

	if (!connection->fetch->headers_done)
		http_head_value(&connection->head, at, len);
	return 0;
}

/*
 * For how long the other side keeps the connection, in whole seconds.  Half of
 * it is made use of, since it counts from earlier than we do.  False for no
 * time at all.
 */
static bool
read_keep_alive(struct client_connection *connection)
{
	static const char name[] = "timeout=";
	const char *text = loom_fetch_header(connection->fetch, "Keep-Alive");
	const char *timeout = text == NULL ? NULL : strstr(text, name);
	uint64_t timeout_s;

	connection->idle_max_ms = 0;
	if (timeout == NULL)
		return true;
	timeout_s = g_ascii_strtoull(timeout + sizeof(name) - 1, NULL, 10);
	connection->idle_max_ms =
	    (uint32_t)(MIN(timeout_s, UINT16_MAX) * 1000 / 2);
	return timeout_s > 0;
}

/* What its headers tell is the length that a GET would get. */
static bool
has_no_body(const struct loom_fetch *fetch)
{
	return fetch->is_head || http_status_has_no_body(fetch->status);
}

/* Codings but chunked are only sent to who asks for them, which we do not: what
 * is left of the body behind the chunks would go on as if it were plain. */
static bool
has_unasked_coding(const struct http_head *head)
{
	const char *codings = http_head_find(head, "Transfer-Encoding");

	return codings != NULL && g_ascii_strcasecmp(codings, "chunked") != 0;
}

static int
on_headers_complete(http_parser *parser)
{
	struct client_connection *connection = connection_of(parser);
	struct loom_fetch *fetch = connection->fetch;

	if (parser->http_major != 1 || parser->status_code < STATUS_MIN ||
	    parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return -1;
	if (parser->status_code < STATUS_FINAL_MIN)
		return 0;
	if (!http_head_end(&connection->head) ||
	    has_unasked_coding(&connection->head))
		return -1;
	fetch->status = (uint16_t)parser->status_code;
	fetch->headers_done = true;
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

	fetch->in_callback = true;
	if (!fetch->ops->data(fetch->arg, (const uint8_t *)at, len))
		fetch->data_paused = true;
	fetch->in_callback = false;
	return fetch->cancelled ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct client_connection *connection = connection_of(parser);
	struct loom_fetch *fetch = connection->fetch;

	if (!fetch->headers_done) {
		if (parser->status_code == HTTP_STATUS_CONTINUE)
			fetch->held_back = false;
		return 0;
	}
	fetch->complete = true;
	connection->may_keep =
	    http_should_keep_alive(parser) != 0 && read_keep_alive(connection);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void
client_answer_begin(struct client_connection *connection)
{
	http_head_clear(&connection->head);
	connection->may_keep = false;
	http_parser_init(&connection->parser, HTTP_RESPONSE);
	connection->parser.data = connection;
}

const char *
client_answer_problem(const struct client_connection *connection)
{
	if (connection->fetch->rejected)
		return "the answer is not this request's";
	return http_errno_description(HTTP_PARSER_ERRNO(&connection->parser));
}

enum client_reading
client_answer_take(
    struct client_connection *connection, const uint8_t *data, size_t len)
{
	http_parser *parser = &connection->parser;
	size_t read;

	read = http_parser_execute(
	    parser, &parser_settings, (const char *)data, len);
	if (connection->fetch->complete) {
		/* Bytes too many belong to no request: what follows them on
		 * this connection can't be told apart from them. */
		if (read < len)
			connection->may_keep = false;
		return CLIENT_READING_COMPLETE;
	}
	if (len == 0 || HTTP_PARSER_ERRNO(parser) != HPE_OK)
		return CLIENT_READING_BROKEN;
	return CLIENT_READING_ON;
}
