/*
 * Forwards headers.  Hop-by-hop headers are dropped (RFC 9110, 7.6.1), those
 * of this system are set anew at each hop, and a key is never forwarded.
 */

#include <string.h>

#include "daemon/headers.h"
#include "daemon/shed_thresholds.h"
#include "daemon/statements.h"
#include "daemon/throttle.h"
#include "daemon/work.h"
#include "loom/work_report.h"

/* Preallocated sizes that suffice for an ordinary message. */
#define HEADERS_PREALLOCATED 16
#define VALUE_CHUNK_BYTES 512

/* A peer is sent the clock once its estimate is off by an eighth of the
 * tolerated skew. */
#define CLOCK_REFRESH_SKEW_US (LOOM_CLOCK_SKEW_US / 8)

static const char *const connection_headers[] = { "Connection", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	"Host" };

static const char loom_prefix[] = "Loom-";

void
header_list_init(struct header_list *list)
{
	list->headers = g_array_sized_new(
	    FALSE, FALSE, sizeof(struct loom_header), HEADERS_PREALLOCATED);
	list->values = g_string_chunk_new(VALUE_CHUNK_BYTES);
}

void
header_list_clear(struct header_list *list)
{
	g_array_free(list->headers, TRUE);
	g_string_chunk_free(list->values);
}

const struct loom_header *
header_list_items(const struct header_list *list)
{
	return (const struct loom_header *)(const void *)list->headers->data;
}

void
header_list_add(struct header_list *list, const char *name, const char *value)
{
	struct loom_header header = {
		.name = name,
		.value = g_string_chunk_insert(list->values, value),
	};

	g_array_append_val(list->headers, header);
}

static bool
is_connection_header(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(connection_headers); i++) {
		if (g_ascii_strcasecmp(name, connection_headers[i]) == 0)
			return true;
	}
	return false;
}

static bool
is_loom_header(const char *name)
{
	return g_ascii_strncasecmp(
		   name, loom_prefix, sizeof(loom_prefix) - 1) == 0;
}

/* Whether the Connection header lists the name, which makes it a hop-by-hop
 * header. */
static bool
is_listed_in(const char *connection, const char *name)
{
	char **tokens, **token;
	bool found = false;

	if (connection == NULL)
		return false;
	tokens = g_strsplit(connection, ",", -1);
	for (token = tokens; *token != NULL && !found; token++)
		found = g_ascii_strcasecmp(g_strstrip(*token), name) == 0;
	g_strfreev(tokens);
	return found;
}

struct header_forward {
	struct header_list *list;
	const char *connection;
	const struct loom_dialect
	    *dialect; /* of a request; NULL for an answer */
	bool drop_authorization;
};

static void
forward_header(void *arg, const char *name, const char *value)
{
	struct header_forward *forward = arg;

	if (forward->dialect != NULL && forward->dialect->forwards_host &&
	    g_ascii_strcasecmp(name, "Host") == 0) {
		header_list_add(forward->list, name, value);
		return;
	}
	if (is_connection_header(name) || is_loom_header(name) ||
	    (forward->dialect != NULL &&
		forward->dialect->is_own_header(name)) ||
	    g_ascii_strcasecmp(name, HEADER_TRACEPARENT) == 0 ||
	    is_listed_in(forward->connection, name))
		return;
	if (forward->drop_authorization &&
	    g_ascii_strcasecmp(name, "Authorization") == 0)
		return;
	header_list_add(forward->list, name, value);
}

/*
 * A client may authenticate by "Authorization: Bearer KEY".  That header is
 * dropped if no Loom-Key was sent, since it then held the key.
 */
void
headers_forward_request(const struct call *call, struct header_list *list)
{
	struct header_forward forward = {
		.list = list,
		.connection =
		    loom_exchange_header(call->exchange, "Connection"),
		.dialect = call->worker->daemon->dialect,
		.drop_authorization = call->origin == CALL_ORIGIN_CALLER &&
		    loom_exchange_header(call->exchange, HEADER_KEY) == NULL,
	};

	loom_exchange_headers(call->exchange, forward_header, &forward);
}

void
headers_forward_answer(const struct loom_fetch *fetch, struct header_list *list)
{
	const struct loom_header *headers;
	struct header_forward forward = {
		.list = list,
		.connection = loom_fetch_header(fetch, "Connection"),
	};
	size_t i, n;

	headers = loom_fetch_headers(fetch, &n);
	for (i = 0; i < n; i++)
		forward_header(&forward, headers[i].name, headers[i].value);
}

bool
headers_are_traced(const struct call *call)
{
	return call->span.has_remote_parent ||
	    tracer_is_on(call->worker->daemon->tracer);
}

void
headers_add_trace(const struct call *call, struct header_list *list)
{
	char traceparent[SPAN_TRACEPARENT_SIZE];

	span_traceparent(&call->span, traceparent);
	header_list_add(list, HEADER_TRACEPARENT, traceparent);
}

/*
 * Whether the peer's estimate of this host's clock, as stamped in its context,
 * is well within the tolerated skew.  A context that was rejected has no
 * stamp.
 */
static bool
peer_knows_clock(const struct call *call)
{
	const uint64_t stamp_us = call->context.audience_stamp_us;

	return stamp_us + CLOCK_REFRESH_SKEW_US > call->arrived_us &&
	    stamp_us < call->arrived_us + CLOCK_REFRESH_SKEW_US;
}

static void
add_clock(const struct call *call, struct header_list *list)
{
	char clock[LOOM_CLOCK_TEXT_MAX];

	if (peer_knows_clock(call))
		return;
	loom_clock_format(
	    call->worker->daemon->self.incarnation, loom_now_us(), clock);
	header_list_add(list, HEADER_CLOCK, clock);
}

static void
add_start_bound(const struct call *call, struct header_list *list)
{
	uint32_t bound = loom_admission_start_bound(
	    call->worker->daemon->admission, loom_now_us());
	char text[16];

	if (bound == 0)
		return;
	g_snprintf(text, sizeof(text), "%x", bound);
	header_list_add(list, HEADER_START_BOUND, text);
}

static void
add_rate(const struct call *call, struct header_list *list)
{
	const double per_s = statements_rate(call->worker->daemon);

	if (per_s > 0)
		headers_add_rate(list, per_s);
}

void
headers_add_rate(struct header_list *list, double per_s)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%.3f", per_s);
	header_list_add(list, HEADER_RATE, text);
}

static void
add_leaving(const struct loom_daemon *daemon, struct header_list *list)
{
	if (atomic_load(&daemon->draining))
		header_list_add(list, HEADER_LEAVING, LEAVING_HOST);
	else if (statements_is_leaving(daemon))
		header_list_add(list, HEADER_LEAVING, LEAVING_UPSTREAM);
}

static void
add_work(const struct call *call, struct header_list *list)
{
	struct loom_work_report report;
	char text[LOOM_WORK_REPORT_SIZE];

	if (!work_report(call, &report))
		return;
	loom_work_report_format(&report, text, sizeof(text));
	header_list_add(list, HEADER_WORK, text);
}

void
headers_add_hop(const struct call *call, struct header_list *list)
{
	struct worker *worker = call->worker;
	char trace_id[33];
	char *thresholds, *shares;
	char used[16];

	if (call->origin != CALL_ORIGIN_PEER) {
		span_trace_id_text(&call->span, trace_id);
		header_list_add(list, HEADER_TRACE_ID, trace_id);
		return;
	}
	add_clock(call, list);
	thresholds = shed_thresholds_format(call);
	if (thresholds != NULL)
		header_list_add(list, HEADER_CUT, thresholds);
	g_free(thresholds);
	g_snprintf(used, sizeof(used), "%x",
	    loom_admission_used(worker->daemon->admission));
	header_list_add(list, HEADER_USED, used);
	add_work(call, list);
	add_start_bound(call, list);
	add_rate(call, list);
	shares = throttle_format(call);
	if (shares != NULL)
		header_list_add(list, HEADER_KEEP, shares);
	g_free(shares);
	add_leaving(worker->daemon, list);
}

struct header_check {
	const char *key;
	const char *reason;
	uint32_t content_lengths;
	uint32_t transfer_encodings;
};

static bool
has_control_character(const char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < ' ' && *text != '\t')
			return true;
		if (*text == 0x7f)
			return true;
	}
	return false;
}

static bool
is_token(const char *text)
{
	if (*text == '\0')
		return false;
	for (; *text != '\0'; text++) {
		if (!g_ascii_isalnum(*text) &&
		    strchr("!#$%&'*+-.^_`|~", *text) == NULL)
			return false;
	}
	return true;
}

static void
check_header(void *arg, const char *name, const char *value)
{
	struct header_check *check = arg;

	if (!is_token(name))
		check->reason = "a header name is not a valid token";
	else if (has_control_character(value))
		check->reason = "a header value contains a control character";
	else if (check->key != NULL && strstr(value, check->key) != NULL &&
	    g_ascii_strcasecmp(name, HEADER_KEY) != 0 &&
	    g_ascii_strcasecmp(name, "Authorization") != 0)
		check->reason = "the key is repeated in another header";
	if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
		check->content_lengths++;
		if (*value == '\0' ||
		    strspn(value, "0123456789") != strlen(value))
			check->reason = "Content-Length is not a number";
	}
	if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
		check->transfer_encodings++;
		if (g_ascii_strcasecmp(value, "chunked") != 0)
			check->reason =
			    "Transfer-Encoding other than chunked is not supported";
	}
}

/*
 * A request whose length could be interpreted differently by two parsers is
 * refused.  Otherwise the next hop might treat part of its body as another
 * request, which would run for the wrong team (request smuggling).
 *
 * A key that occurs outside its own header would be forwarded to an upstream.
 */
enum loom_result
headers_check(
    const struct loom_exchange *x, const char *key, const char **reason)
{
	struct header_check check = { .key = key };

	loom_exchange_headers(x, check_header, &check);
	if (check.reason == NULL &&
	    check.content_lengths + check.transfer_encodings > 1)
		check.reason = "the body length is given more than once";
	if (check.reason == NULL && key != NULL &&
	    strstr(loom_exchange_target(x), key) != NULL)
		check.reason = "the key is repeated in the request target";
	*reason = check.reason;
	return check.reason == NULL ? LOOM_OK : LOOM_HEADER_INVALID;
}
