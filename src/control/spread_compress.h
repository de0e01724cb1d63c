#ifndef LOOM_SPREAD_COMPRESS_H
#define LOOM_SPREAD_COMPRESS_H

/* Compression of long values for messages between daemons. */

#include <stddef.h>

/*
 * Returns the compressed text, which the caller frees with g_free(), and its
 * length; NULL if compression fails.
 */
char *spread_compress(const char *text, size_t len, size_t *compressed_len);

/*
 * Returns the text, which the caller frees with g_free(); NULL unless the data
 * is the compressed form of exactly text_len bytes.
 */
char *spread_decompress(const void *data, size_t len, size_t text_len);

#endif
