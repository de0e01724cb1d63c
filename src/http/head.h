#ifndef LOOM_HTTP_HEAD_H
#define LOOM_HTTP_HEAD_H

/*
 * The headers of a message as http_parser finds them, piece by piece, in memory
 * that is used again for the next message of the connection.
 */

#include <glib.h>
#include <stddef.h>

#include "loom/server.h"

struct http_head {
	GString *text; /* owned: names and values, each with its NUL */
	GArray *places; /* owned: size_t, where each of them begins */
	GArray *headers; /* owned: struct loom_header, after the end */
};

void http_head_init(struct http_head *);
void http_head_free(struct http_head *);

/* A new message begins. */
void http_head_clear(struct http_head *);

/* A piece of a header's name or value, as the parser calls for it. */
void http_head_name(struct http_head *, const char *at, size_t len);
void http_head_value(struct http_head *, const char *at, size_t len);

/* All headers are in; from here on they can be read.  False when a name holds
 * what http_parser lets pass and others read differently. */
bool http_head_end(struct http_head *);

/* Borrowed, until the next message begins. */
const struct loom_header *http_head_items(const struct http_head *, size_t *n);
const char *http_head_find(const struct http_head *, const char *name);

#endif
