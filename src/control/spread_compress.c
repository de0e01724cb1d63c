/*
 * Compression of values with zlib.
 *
 * After a change a daemon sends a value to each of its peers.  The text of a
 * configuration repeats the same field names in each of thousands of routes, so
 * the fastest level already saves most of the bytes, and of the time that it
 * takes to encrypt them.
 */

#include <glib.h>
#include <zlib.h>

#include "control/spread_compress.h"

char *
spread_compress(const char *text, size_t len, size_t *compressed_len)
{
	uLongf size = compressBound(len);
	char *data = g_malloc(size);

	if (compress2((Bytef *)data, &size, (const Bytef *)text, len,
		Z_BEST_SPEED) != Z_OK) {
		g_free(data);
		return NULL;
	}
	*compressed_len = size;
	return g_realloc(data, size);
}

char *
spread_decompress(const void *data, size_t len, size_t text_len)
{
	uLongf size = text_len;
	char *text = g_malloc(text_len + 1);

	if (uncompress((Bytef *)text, &size, data, len) != Z_OK ||
	    size != text_len) {
		g_free(text);
		return NULL;
	}
	text[text_len] = '\0';
	return text;
}
