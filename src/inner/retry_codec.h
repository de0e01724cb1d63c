#ifndef LOOM_INNER_RETRY_CODEC_H
#define LOOM_INNER_RETRY_CODEC_H

/*
 * Messages that ask the root's home daemon for permission to retry a call once,
 * and that answer the request.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Buffer size that is enough for either message. */
#define LOOM_RETRY_MESSAGE_MAX 32

struct loom_retry_query_message {
	uint64_t query_id; /* assigned by the requester */
	uint64_t home_incarnation;
	uint64_t root_id;
};

struct loom_retry_reply_message {
	uint64_t query_id;
	uint64_t requester_incarnation;
	bool granted;
};

/* Return the query_id of bytes written, or 0 if the message did not fit. */
size_t loom_retry_query_pack(
    const struct loom_retry_query_message *, uint8_t *buf, size_t size);
size_t loom_retry_reply_pack(
    const struct loom_retry_reply_message *, uint8_t *buf, size_t size);

/* Return false if the message is malformed. */
bool loom_retry_query_unpack(
    struct loom_retry_query_message *, const uint8_t *data, size_t len);
bool loom_retry_reply_unpack(
    struct loom_retry_reply_message *, const uint8_t *data, size_t len);

#endif
