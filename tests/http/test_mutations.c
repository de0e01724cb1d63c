/*
 * Randomly mutated messages for the response parser of the client and the
 * request parser of the peer server.  The result must not depend on how the
 * message is split into parts.
 */

#include <string.h>

#include "http/client.h"
#include "http/peer_server.h"
#include "support/test.h"

#define SEED 20261203
#define MUTANTS 4000 /* per message */
#define CHANGES_MAX 4
#define MESSAGE_MAX 1024

static const char *const responses[] = {
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nX-T: z\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nRetry-After: 1\r\n"
	"Content-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end",
};

static const char *const requests[] = {
	"GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-A: b\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello",
	"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n"
	"3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nX-T: z\r\n\r\n",
	"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n"
	"hello",
};

struct message {
	char bytes[MESSAGE_MAX];
	size_t len;
};

static void
mutate_once(struct message *message, GRand *rand)
{
	static const char bytes[] = " \r\n\t:;,0123456789abcdefHTPCx/.\x7f\xff";
	const size_t at =
	    (size_t)g_rand_int_range(rand, 0, (gint32)message->len);
	char *position = message->bytes + at;

	switch (g_rand_int_range(rand, 0, 3)) {
	case 0:
		*position = bytes[g_rand_int_range(rand, 0, sizeof(bytes) - 1)];
		break;
	case 1:
		message->len--;
		memmove(position, position + 1, message->len - at);
		break;
	default:
		memmove(position + 1, position, message->len - at);
		message->len++;
		break;
	}
}

static void
mutate(struct message *message, const char *text, GRand *rand)
{
	gint32 i, n = g_rand_int_range(rand, 0, CHANGES_MAX + 1);

	message->len = strlen(text);
	memcpy(message->bytes, text, message->len);
	for (i = 0; i < n; i++)
		mutate_once(message, rand);
}

/* Length of the next part: random, or all that is left if rand is NULL. */
static size_t
piece_length(const struct message *message, size_t from, GRand *rand)
{
	const size_t left = message->len - from;

	if (rand == NULL || left == 1)
		return left;
	return (size_t)g_rand_int_range(rand, 1, (gint32)left + 1);
}

/* Everything that a parser reported about a message, as text. */
static GString *record;

static void
record_header(void *arg, const char *name, const char *value)
{
	(void)arg;
	g_string_append_printf(record, "%s=%s;", name, value);
}

static void
on_headers(void *arg, struct loom_fetch *fetch)
{
	const struct loom_header *headers;
	size_t i, n;

	(void)arg;
	g_string_append_printf(record, "%u:", loom_fetch_status(fetch));
	headers = loom_fetch_headers(fetch, &n);
	for (i = 0; i < n; i++)
		record_header(NULL, headers[i].name, headers[i].value);
}

static bool
on_data(void *arg, const uint8_t *data, size_t len)
{
	(void)arg;
	g_string_append_len(record, (const char *)data, (gssize)len);
	return true;
}

static const struct loom_fetch_ops fetch_ops = {
	.headers = on_headers,
	.data = on_data,
};

static void
parse_response(const struct message *message, GRand *rand)
{
	struct client_connection connection = { .reusable = false };
	struct loom_fetch fetch = {
		.ops = &fetch_ops,
		.connection = &connection,
	};
	enum client_parse_result result = CLIENT_PARSE_MORE;
	size_t at, len;

	connection.fetch = &fetch;
	http_head_init(&connection.head);
	client_response_begin(&connection);
	for (at = 0; at < message->len && result == CLIENT_PARSE_MORE;
	     at += len) {
		len = piece_length(message, at, rand);
		result = client_response_parse(
		    &connection, (const uint8_t *)message->bytes + at, len);
	}
	if (result == CLIENT_PARSE_MORE)
		result = client_response_parse(
		    &connection, (const uint8_t *)message->bytes, 0);
	g_string_append_printf(record, "|%d", result);
	TEST_CHECK(result != CLIENT_PARSE_MORE, "neither complete nor failed");
	TEST_CHECK(result != CLIENT_PARSE_COMPLETE ||
		(fetch.headers_complete && fetch.status >= 200),
	    "complete without a status");
	http_head_free(&connection.head);
}

static void
on_request(void *arg, struct loom_exchange *x)
{
	(void)arg;
	g_string_append_printf(
	    record, "%s %s:", loom_exchange_method(x), loom_exchange_target(x));
	loom_exchange_headers(x, record_header, NULL);
	/* like an owner that reads the body and has not yet responded */
	((struct peer_exchange *)(void *)x)->body_wanted = true;
}

static size_t
on_body(struct loom_exchange *x, const uint8_t *data, size_t len)
{
	((struct peer_exchange *)(void *)x)->body_wanted = true;
	g_string_append_len(record, (const char *)data, (gssize)len);
	return len;
}

static void
on_body_end(struct loom_exchange *x)
{
	(void)x;
	g_string_append_c(record, '.');
}

static const struct loom_exchange_ops exchange_ops = {
	.request = on_request,
	.body = on_body,
	.body_end = on_body_end,
};

static void
parse_request(const struct message *message, GRand *rand)
{
	struct loom_peer_server server = { .ops = &exchange_ops };
	struct peer_connection *connection =
	    talloc_zero(NULL, struct peer_connection);
	enum peer_parse_result parsing = PEER_PARSE_OK;
	size_t at, len;

	connection->server = &server;
	connection->target = g_string_new(NULL);
	http_head_init(&connection->head);
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	for (at = 0; at < message->len && parsing == PEER_PARSE_OK &&
	     peer_request_can_parse(connection);
	     at += len) {
		len = piece_length(message, at, rand);
		parsing = peer_request_parse(
		    connection, (const uint8_t *)message->bytes + at, len);
	}
	g_string_append_printf(record, "|%d %d", parsing,
	    connection->exchange != NULL && connection->exchange->body_ended);
	http_head_free(&connection->head);
	g_string_free(connection->target, TRUE);
	talloc_free(connection);
}

static void
check_pieces(const char *const *texts, size_t n,
    void (*parse)(const struct message *, GRand *pieces))
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct message message;
	GString *expected;
	size_t i, j;

	for (i = 0; i < n; i++) {
		for (j = 0; j < MUTANTS; j++) {
			mutate(&message, texts[i], rand);
			record = g_string_new(NULL);
			parse(&message, NULL);
			expected = record;
			record = g_string_new(NULL);
			parse(&message, rand);
			TEST_CHECK(g_string_equal(expected, record),
			    "'%.*s': '%s', split '%s'", (int)message.len,
			    message.bytes, expected->str, record->str);
			g_string_free(record, TRUE);
			g_string_free(expected, TRUE);
		}
	}
	g_rand_free(rand);
}

/* Guards against a response that seems complete, or seems to belong to another
 * request, depending on how the network splits it. */
static void
test_responses(void)
{
	check_pieces(responses, G_N_ELEMENTS(responses), parse_response);
}

/* The same for requests from other daemons, and from anyone else who can
 * connect to the peer port. */
static void
test_requests(void)
{
	check_pieces(requests, G_N_ELEMENTS(requests), parse_request);
}

static const struct test_case tests[] = {
	{ "responses", test_responses },
	{ "requests", test_requests },
};

TEST_MAIN("mutations", tests)
