/*
 * Serialization of headers and body chunks.
 */

#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "http/serialize.h"

#define NUMBER_SIZE 32

bool
http_append_text(struct loom_buffer *buffer, void *owner, const char *text)
{
	return loom_buffer_append(buffer, owner, text, strlen(text));
}

bool
http_append_header(struct loom_buffer *buffer, void *owner, const char *name,
    const char *value)
{
	return http_append_text(buffer, owner, name) &&
	    http_append_text(buffer, owner, ": ") &&
	    http_append_text(buffer, owner, value) &&
	    http_append_text(buffer, owner, "\r\n");
}

bool
http_append_content_length(
    struct loom_buffer *buffer, void *owner, uint64_t length)
{
	char text[NUMBER_SIZE];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, (guint64)length);
	return http_append_header(buffer, owner, "Content-Length", text);
}

bool
http_append_body(struct loom_buffer *buffer, void *owner, const void *buf,
    size_t len, bool chunked)
{
	char size[NUMBER_SIZE];

	if (!chunked || len == 0)
		return loom_buffer_append(buffer, owner, buf, len);
	g_snprintf(size, sizeof(size), "%zx\r\n", len);
	return http_append_text(buffer, owner, size) &&
	    loom_buffer_append(buffer, owner, buf, len) &&
	    http_append_text(buffer, owner, "\r\n");
}

bool
http_append_last_chunk(struct loom_buffer *buffer, void *owner)
{
	return http_append_text(buffer, owner, "0\r\n\r\n");
}

bool
http_status_has_no_body(uint16_t status)
{
	return status == HTTP_STATUS_NO_CONTENT ||
	    status == HTTP_STATUS_NOT_MODIFIED;
}
