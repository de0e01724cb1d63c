#ifndef LOOM_HTTP_SERIALIZE_H
#define LOOM_HTTP_SERIALIZE_H

/*
 * Serialization of HTTP messages, for client and server.  The functions that
 * append to a buffer return false if out of memory; the buffer's memory is
 * owned by owner (talloc).
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/buffer.h"
#include "loom/server.h"

bool http_append_text(struct loom_buffer *, void *owner, const char *text);
bool http_append_header(
    struct loom_buffer *, void *owner, const char *name, const char *value);
bool http_append_content_length(
    struct loom_buffer *, void *owner, uint64_t length);

/*
 * Append a part of a body, as a chunk if chunked is set.  With len 0 no chunk
 * is written, since an empty chunk would end the body.
 */
bool http_append_body(struct loom_buffer *, void *owner, const void *buf,
    size_t len, bool chunked);
/* Append the last chunk, which ends a chunked body. */
bool http_append_last_chunk(struct loom_buffer *, void *owner);

/* Whether a response with this status never has a body, even if it has a
 * Content-Length. */
bool http_status_has_no_body(uint16_t status);

#endif
