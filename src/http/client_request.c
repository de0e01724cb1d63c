/*
 * A request as bytes: its headers, then its body as its owner has it, with a
 * length or in chunks.
 */

#include <string.h>

#include "http/client.h"
#include "http/text.h"

/* Of the body, asked for at once. */
#define PIECE_SIZE (16 * 1024)

static bool
put(struct loom_fetch *fetch, const char *text)
{
	return http_put(&fetch->out, fetch, text);
}

static bool
put_header(struct loom_fetch *fetch, const char *name, const char *value)
{
	return http_put_header(&fetch->out, fetch, name, value);
}

static bool
put_headers(struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	bool has_host = false;
	size_t i;

	for (i = 0; i < req->nheaders; i++) {
		if (g_ascii_strcasecmp(req->headers[i].name, "Host") == 0)
			has_host = true;
		if (!put_header(
			fetch, req->headers[i].name, req->headers[i].value))
			return false;
	}
	return has_host || put_header(fetch, "Host", req->address);
}

/* Methods whose requests usually have a body say that this one has none. */
static bool
expects_body(const char *method)
{
	static const char *const methods[] = { "POST", "PUT", "PATCH" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (strcmp(method, methods[i]) == 0)
			return true;
	}
	return false;
}

static bool
put_framing(struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	if (!req->has_body)
		return !expects_body(req->method) ||
		    http_put_length(&fetch->out, fetch, 0);
	if (req->expect && !put_header(fetch, "Expect", "100-continue"))
		return false;
	if (fetch->in_chunks)
		return put_header(fetch, "Transfer-Encoding", "chunked");
	return http_put_length(&fetch->out, fetch, (uint64_t)req->body_length);
}

bool
client_request_begin(
    struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	fetch->is_head = strcmp(req->method, "HEAD") == 0;
	fetch->in_chunks = req->has_body && req->body_length < 0;
	fetch->body_all = !req->has_body;
	fetch->held_back = req->has_body && req->expect;
	return put(fetch, req->method) && put(fetch, " ") &&
	    put(fetch, req->target) && put(fetch, " HTTP/1.1\r\n") &&
	    put_headers(fetch, req) && put_framing(fetch, req) &&
	    put(fetch, "\r\n");
}

bool
client_request_more(struct loom_fetch *fetch)
{
	uint8_t piece[PIECE_SIZE];
	bool end = false;
	size_t len;

	if (fetch->body_all || fetch->held_back || fetch->cancelled)
		return false;
	fetch->in_callback = true;
	len = fetch->ops->read_body(fetch->arg, piece, sizeof(piece), &end);
	fetch->in_callback = false;
	fetch->body_paused = len == 0 && !end;
	fetch->body_all = end;
	if (!http_put_piece(&fetch->out, fetch, piece, len, fetch->in_chunks) ||
	    (end && fetch->in_chunks &&
		!http_put_last_chunk(&fetch->out, fetch))) {
		fetch->send_failed = true;
		return false;
	}
	return len > 0 && !end;
}
