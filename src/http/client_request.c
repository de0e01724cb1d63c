/*
 * A request as bytes: its headers, then its body as its owner has it, with a
 * length or in chunks.
 */

#include <string.h>

#include "http/client.h"

/* Of the body, asked for at once. */
#define PIECE_SIZE (16 * 1024)

static bool
put(struct loom_fetch *fetch, const char *text)
{
	return loom_buffer_append(&fetch->out, fetch, text, strlen(text));
}

static bool
put_header(struct loom_fetch *fetch, const char *name, const char *value)
{
	return put(fetch, name) && put(fetch, ": ") && put(fetch, value) &&
	    put(fetch, "\r\n");
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
	char text[32];

	if (!req->has_body)
		return !expects_body(req->method) ||
		    put_header(fetch, "Content-Length", "0");
	if (req->expect && !put_header(fetch, "Expect", "100-continue"))
		return false;
	if (fetch->in_chunks)
		return put_header(fetch, "Transfer-Encoding", "chunked");
	g_snprintf(
	    text, sizeof(text), "%" G_GINT64_FORMAT, (gint64)req->body_length);
	return put_header(fetch, "Content-Length", text);
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

static bool
put_piece(struct loom_fetch *fetch, const uint8_t *piece, size_t len)
{
	char size[32];

	if (!fetch->in_chunks || len == 0)
		return loom_buffer_append(&fetch->out, fetch, piece, len);
	g_snprintf(size, sizeof(size), "%zx\r\n", len);
	return put(fetch, size) &&
	    loom_buffer_append(&fetch->out, fetch, piece, len) &&
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
	if (!put_piece(fetch, piece, len) ||
	    (end && fetch->in_chunks && !put(fetch, "0\r\n\r\n"))) {
		fetch->send_failed = true;
		return false;
	}
	return len > 0 && !end;
}
