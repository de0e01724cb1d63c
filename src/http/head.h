#ifndef LOOM_HTTP_HEAD_H
#define LOOM_HTTP_HEAD_H

/*
 * Collects the headers of a message as http_parser reports them, piece by
 * piece.  The memory is reused for the next message of the connection.
 */

#include <glib.h>
#include <stddef.h>

#include "loom/server.h"

struct http_head {
	GString *text; /* owned: names and values, each terminated by a NUL */
	GArray *offsets; /* owned: size_t, positions in text */
	GArray *headers; /* owned: loom_header, set by http_head_complete() */
};

void http_head_init(struct http_head *);
void http_head_free(struct http_head *);

/* Prepares for the next message. */
void http_head_clear(struct http_head *);

/* Appends a piece of a header's name or value, as http_parser reports it. */
void http_head_append_name(struct http_head *, const char *at, size_t len);
void http_head_append_value(struct http_head *, const char *at, size_t len);

/* Completes the headers, which can be read from now on.  Returns false if a
 * name contains a space: http_parser accepts it, but other HTTP implementations
 * interpret such a header differently. */
bool http_head_complete(struct http_head *);

/* Borrowed, valid until the next message begins. */
const struct loom_header *http_head_items(const struct http_head *, size_t *n);
const char *http_head_find(const struct http_head *, const char *name);

#endif
