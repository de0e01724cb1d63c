#ifndef LOOM_BUFFER_H
#define LOOM_BUFFER_H

/*
 * A byte queue: appended at its end, consumed from its start.  What is
 * consumed can be kept for a replay (see loom_buffer_rewind).
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loom_buffer {
	uint8_t *data; /* owned, talloc child of the buffer's owner */
	size_t start; /* first byte not yet consumed */
	size_t end;
	size_t capacity;
	bool keep; /* consumed bytes stay for a rewind */
};

/* Append a copy; false when memory is out (nothing is appended).  owner is
 * the talloc parent of the bytes. */
bool loom_buffer_append(
    struct loom_buffer *, void *owner, const void *data, size_t len);

/* Bytes that wait, and where they are (borrowed until the next append). */
size_t loom_buffer_length(const struct loom_buffer *);
const uint8_t *loom_buffer_peek(const struct loom_buffer *);

void loom_buffer_consume(struct loom_buffer *, size_t len);

/* Back to the first byte; only meaningful while keep was set throughout. */
void loom_buffer_rewind(struct loom_buffer *);

/* Release the bytes. */
void loom_buffer_clear(struct loom_buffer *);

#endif
