/*
 * Serializes a request: the headers, then the body as its owner provides it,
 * with a Content-Length or in chunks.
 */

#include <string.h>

#include "http/client.h"
#include "http/serialize.h"

/* Maximum that is read from the owner's body in one call. */
#define BODY_READ_SIZE (16 * 1024)

static bool
append(struct loom_fetch *fetch, const char *text)
{
	return http_append_text(&fetch->send_buffer, fetch, text);
}

static bool
append_header(struct loom_fetch *fetch, const char *name, const char *value)
{
	return http_append_header(&fetch->send_buffer, fetch, name, value);
}

static bool
append_headers(struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	bool has_host = false;
	size_t i;

	for (i = 0; i < req->nheaders; i++) {
		if (g_ascii_strcasecmp(req->headers[i].name, "Host") == 0)
			has_host = true;
		if (!append_header(
			fetch, req->headers[i].name, req->headers[i].value))
			return false;
	}
	return has_host || append_header(fetch, "Host", req->address);
}

/* Methods whose requests usually have a body: a request without one needs an
 * explicit Content-Length of 0. */
static bool
requires_content_length(const char *method)
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
append_framing(struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	if (!req->has_body)
		return !requires_content_length(req->method) ||
		    http_append_content_length(&fetch->send_buffer, fetch, 0);
	if (req->expect_continue &&
	    !append_header(fetch, "Expect", "100-continue"))
		return false;
	if (fetch->chunked)
		return append_header(fetch, "Transfer-Encoding", "chunked");
	return http_append_content_length(
	    &fetch->send_buffer, fetch, (uint64_t)req->body_length);
}

bool
client_request_begin(
    struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	fetch->is_head = strcmp(req->method, "HEAD") == 0;
	fetch->chunked = req->has_body && req->body_length < 0;
	fetch->body_complete = !req->has_body;
	fetch->awaiting_continue = req->has_body && req->expect_continue;
	return append(fetch, req->method) && append(fetch, " ") &&
	    append(fetch, req->target) && append(fetch, " HTTP/1.1\r\n") &&
	    append_headers(fetch, req) && append_framing(fetch, req) &&
	    append(fetch, "\r\n");
}

bool
client_request_read_body(struct loom_fetch *fetch)
{
	uint8_t buf[BODY_READ_SIZE];
	bool end = false;
	size_t len;

	if (fetch->body_complete || fetch->awaiting_continue ||
	    fetch->cancelled)
		return false;
	fetch->in_callback = true;
	len = fetch->ops->read_body(fetch->arg, buf, sizeof(buf), &end);
	fetch->in_callback = false;
	fetch->body_paused = len == 0 && !end;
	fetch->body_complete = end;
	if (!http_append_body(
		&fetch->send_buffer, fetch, buf, len, fetch->chunked) ||
	    (end && fetch->chunked &&
		!http_append_last_chunk(&fetch->send_buffer, fetch))) {
		fetch->send_failed = true;
		return false;
	}
	return len > 0 && !end;
}
