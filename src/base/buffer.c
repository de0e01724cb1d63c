/*
 * The queue is one contiguous block that grows by doubling.  When an append
 * lacks space and at least half of the block was consumed, the remaining bytes
 * are moved to the front first.  Callers bound the length (high-water marks),
 * so a chain of blocks would add complexity without a gain.
 */

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "loom/buffer.h"

/*
 * Together with talloc's header, the largest block that glibc's malloc keeps in
 * its per-thread cache.
 */
#define CAPACITY_MIN_BYTES 928

static void
compact(struct loom_buffer *buffer)
{
	if (buffer->keep_consumed || buffer->start == 0 ||
	    buffer->start < buffer->capacity / 2)
		return;
	memmove(buffer->data, buffer->data + buffer->start,
	    buffer->end - buffer->start);
	buffer->end -= buffer->start;
	buffer->start = 0;
}

static bool
grow(struct loom_buffer *buffer, void *owner, size_t needed)
{
	size_t capacity = buffer->capacity;
	uint8_t *data;

	capacity = MAX(2 * capacity, CAPACITY_MIN_BYTES);
	capacity = MAX(capacity, needed);
	data = talloc_realloc(owner, buffer->data, uint8_t, capacity);
	if (data == NULL)
		return false;
	buffer->data = data;
	buffer->capacity = capacity;
	return true;
}

bool
loom_buffer_append(
    struct loom_buffer *buffer, void *owner, const void *data, size_t len)
{
	if (len == 0)
		return true;
	if (buffer->capacity - buffer->end < len)
		compact(buffer);
	if (buffer->capacity - buffer->end < len &&
	    !grow(buffer, owner, buffer->end + len))
		return false;
	memcpy(buffer->data + buffer->end, data, len);
	buffer->end += len;
	return true;
}

size_t
loom_buffer_length(const struct loom_buffer *buffer)
{
	return buffer->end - buffer->start;
}

const uint8_t *
loom_buffer_peek(const struct loom_buffer *buffer)
{
	return buffer->data + buffer->start;
}

void
loom_buffer_consume(struct loom_buffer *buffer, size_t len)
{
	buffer->start += len;
	if (buffer->start == buffer->end && !buffer->keep_consumed)
		buffer->start = buffer->end = 0;
}

void
loom_buffer_rewind(struct loom_buffer *buffer)
{
	buffer->start = 0;
}

void
loom_buffer_clear(struct loom_buffer *buffer)
{
	TALLOC_FREE(buffer->data);
	buffer->start = buffer->end = buffer->capacity = 0;
}
