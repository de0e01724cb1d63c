/*
 * Names and values are stored one after the other in one string.  It may be
 * reallocated while it grows, so offsets are kept until all headers are
 * complete.
 */

#include <string.h>

#include "http/head.h"

/* Enough for messages with a kilobyte of headers.  A larger buffer that a
 * longer message needed is freed before the next message, rather than kept for
 * the lifetime of the connection. */
#define TEXT_IDLE_MAX_BYTES 4096

void
http_head_init(struct http_head *head)
{
	head->text = g_string_new(NULL);
	head->offsets = g_array_new(FALSE, FALSE, sizeof(size_t));
	head->headers = g_array_new(FALSE, FALSE, sizeof(struct loom_header));
}

void
http_head_free(struct http_head *head)
{
	g_string_free(head->text, TRUE);
	g_array_free(head->offsets, TRUE);
	g_array_free(head->headers, TRUE);
}

void
http_head_clear(struct http_head *head)
{
	if (head->text->allocated_len > TEXT_IDLE_MAX_BYTES) {
		g_string_free(head->text, TRUE);
		head->text = g_string_new(NULL);
	}
	g_string_truncate(head->text, 0);
	g_array_set_size(head->offsets, 0);
	g_array_set_size(head->headers, 0);
}

/* Terminates the current string, if any, and starts the next one. */
static void
begin_string(struct http_head *head)
{
	size_t offset;

	if (head->text->len > 0)
		g_string_append_c(head->text, '\0');
	offset = head->text->len;
	g_array_append_val(head->offsets, offset);
}

static bool
is_in_name(const struct http_head *head)
{
	return head->offsets->len % 2 == 1;
}

void
http_head_append_name(struct http_head *head, const char *at, size_t len)
{
	if (!is_in_name(head))
		begin_string(head);
	g_string_append_len(head->text, at, (gssize)len);
}

void
http_head_append_value(struct http_head *head, const char *at, size_t len)
{
	if (is_in_name(head))
		begin_string(head);
	g_string_append_len(head->text, at, (gssize)len);
}

bool
http_head_complete(struct http_head *head)
{
	const size_t *offsets = (size_t *)(void *)head->offsets->data;
	char *text = head->text->str;
	struct loom_header header;
	guint i;

	for (i = 0; i + 1 < head->offsets->len; i += 2) {
		header.name = text + offsets[i];
		if (strchr(header.name, ' ') != NULL)
			return false;
		header.value = g_strchomp(text + offsets[i + 1]);
		g_array_append_val(head->headers, header);
	}
	return true;
}

const struct loom_header *
http_head_items(const struct http_head *head, size_t *n)
{
	*n = head->headers->len;
	return (const struct loom_header *)(const void *)head->headers->data;
}

const char *
http_head_find(const struct http_head *head, const char *name)
{
	const struct loom_header *headers;
	size_t i, n;

	headers = http_head_items(head, &n);
	for (i = 0; i < n; i++) {
		if (g_ascii_strcasecmp(headers[i].name, name) == 0)
			return headers[i].value;
	}
	return NULL;
}
