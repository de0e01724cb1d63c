#ifndef LOOM_HTTP_RESPONSE_SYNTAX_H
#define LOOM_HTTP_RESPONSE_SYNTAX_H

/*
 * Checks the bytes of a response against RFC 9112 where http_parser accepts
 * more.  It reads the same bytes as the parser and keeps its own state.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct response_syntax {
	uint8_t state; /* private to response_syntax.c */
	bool is_head; /* the response to a HEAD request */
	bool chunked;
	uint8_t position; /* in the status line or in the field's name */
	bool may_be_coding; /* the name so far begins Transfer-Encoding */
	uint8_t size_digits; /* of the chunk's size */
	uint16_t status;
	uint64_t chunk_left;
};

/* Prepares for the response to a request. */
void response_syntax_begin(struct response_syntax *, bool is_head);

/*
 * Reads a part of the response.  Returns how many bytes are well-formed: len,
 * or fewer if the response is malformed from there on.  Bytes after the end of
 * the response, and of a body that is not chunked, are not checked.
 */
size_t response_syntax_check(
    struct response_syntax *, const uint8_t *data, size_t len);

#endif
