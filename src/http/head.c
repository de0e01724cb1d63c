/*
 * Names and values lie one behind the other in one text.  It moves while it
 * grows, so places in it are kept until its end.
 */

#include <string.h>

#include "http/head.h"

/* A connection may carry messages with a kilobyte of headers; what a longer one
 * took is not held for all its life. */
#define TEXT_KEPT_MAX 4096

void
http_head_init(struct http_head *head)
{
	head->text = g_string_new(NULL);
	head->places = g_array_new(FALSE, FALSE, sizeof(size_t));
	head->headers = g_array_new(FALSE, FALSE, sizeof(struct loom_header));
}

void
http_head_free(struct http_head *head)
{
	g_string_free(head->text, TRUE);
	g_array_free(head->places, TRUE);
	g_array_free(head->headers, TRUE);
}

void
http_head_clear(struct http_head *head)
{
	if (head->text->allocated_len > TEXT_KEPT_MAX) {
		g_string_free(head->text, TRUE);
		head->text = g_string_new(NULL);
	}
	g_string_truncate(head->text, 0);
	g_array_set_size(head->places, 0);
	g_array_set_size(head->headers, 0);
}

/* A name or value begins where the one before it ends. */
static void
begin_piece(struct http_head *head)
{
	size_t place;

	if (head->text->len > 0)
		g_string_append_c(head->text, '\0');
	place = head->text->len;
	g_array_append_val(head->places, place);
}

static bool
is_in_name(const struct http_head *head)
{
	return head->places->len % 2 == 1;
}

void
http_head_name(struct http_head *head, const char *at, size_t len)
{
	if (!is_in_name(head))
		begin_piece(head);
	g_string_append_len(head->text, at, (gssize)len);
}

void
http_head_value(struct http_head *head, const char *at, size_t len)
{
	if (is_in_name(head))
		begin_piece(head);
	g_string_append_len(head->text, at, (gssize)len);
}

bool
http_head_end(struct http_head *head)
{
	const size_t *places = (size_t *)(void *)head->places->data;
	char *text = head->text->str;
	struct loom_header header;
	guint i;

	for (i = 0; i + 1 < head->places->len; i += 2) {
		header.name = text + places[i];
		if (strchr(header.name, ' ') != NULL)
			return false;
		header.value = g_strchomp(text + places[i + 1]);
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
