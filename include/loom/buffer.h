#ifndef LOOM_BUFFER_H
#define LOOM_BUFFER_H

/*
 * A FIFO queue of bytes: data is appended at the end and consumed from the
 * start.  Consumed bytes can be kept, so that they can be read again (see
 * loom_buffer_rewind()).
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loom_buffer {
	uint8_t *data; /* owned, talloc child of the owner given on append */
	size_t start; /* first byte not yet consumed */
	size_t end;
	size_t capacity;
	bool keep_consumed; /* keeps consumed bytes for loom_buffer_rewind() */
};

/*
 * Appends a copy of data.  owner is the talloc parent of the storage.  Returns
 * false, with nothing appended, when out of memory.
 */
bool loom_buffer_append(
    struct loom_buffer *, void *owner, const void *data, size_t len);

/*
 * The number of bytes not yet consumed, and a pointer to the first of them
 * (borrowed, valid until the next append or clear).
 */
size_t loom_buffer_length(const struct loom_buffer *);
const uint8_t *loom_buffer_peek(const struct loom_buffer *);

void loom_buffer_consume(struct loom_buffer *, size_t len);

/*
 * Makes all bytes readable again, from the first one.  Only valid if consumed
 * bytes were kept throughout.
 */
void loom_buffer_rewind(struct loom_buffer *);

/* Frees the storage and leaves the buffer empty. */
void loom_buffer_clear(struct loom_buffer *);

#endif
