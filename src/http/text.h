#ifndef LOOM_HTTP_TEXT_H
#define LOOM_HTTP_TEXT_H

/*
 * Messages as bytes, for both sides.  Each function appends to a buffer whose
 * bytes belong to owner (talloc), and returns false when out of memory.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/buffer.h"
#include "loom/server.h"

bool http_put(struct loom_buffer *, void *owner, const char *text);
bool http_put_header(
    struct loom_buffer *, void *owner, const char *name, const char *value);
bool http_put_length(struct loom_buffer *, void *owner, uint64_t length);

/* A piece of a body, as a chunk if that is asked for; len 0 is no chunk. */
bool http_put_piece(struct loom_buffer *, void *owner, const void *piece,
    size_t len, bool in_chunks);
/* What ends a body in chunks. */
bool http_put_last_chunk(struct loom_buffer *, void *owner);

/* No answer of this status has a body, whatever length its headers tell. */
bool http_status_has_no_body(uint16_t status);

#endif
