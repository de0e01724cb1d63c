/*
 * Rejects paths that an upstream could normalize to another path.
 *
 * A route matches the path as it was sent, but the upstream may normalize the
 * path before it uses it.  For example, "/photos/../payments" would match an
 * idempotent route for "/photos/", be retried, and execute as a payment that
 * must not run twice.  So no route matches a path with a "." or ".." segment,
 * with an empty segment other than the last, or with either of them written
 * with %2e, %2f, %5c or a backslash.  A path with a zero byte, plain or as %00,
 * is rejected as well.
 */

#include <string.h>

#include "manifest/internal.h"

#define PERCENT_ESCAPE_LEN 3

/*
 * Returns the character at text as a normalizing upstream may read it: a
 * percent escape is decoded, and a backslash becomes a slash.  *len receives
 * the number of bytes read.
 */
static char
decode_path_character(const char *text, const char *end, size_t *len)
{
	int high, low;

	*len = 1;
	if (*text == '\\')
		return '/';
	if (*text != '%' || end - text < PERCENT_ESCAPE_LEN)
		return *text;
	high = g_ascii_xdigit_value(text[1]);
	low = g_ascii_xdigit_value(text[2]);
	if (high < 0 || low < 0)
		return *text;
	*len = PERCENT_ESCAPE_LEN;
	return high * 16 + low == '\\' ? '/' : (char)(high * 16 + low);
}

/*
 * Returns false for an empty segment, "." and "..".  length counts the
 * segment's characters, and dots those among them that are dots.
 */
static bool
segment_is_normalized(size_t length, size_t dots)
{
	return length > dots || dots > 2;
}

bool
manifest_path_is_normalized(const char *path, size_t len)
{
	const char *cursor = path, *end = path + len;
	size_t segment_len = 0, dots = 0, consumed;
	char c;

	if (len == 0 || *cursor != '/')
		return false;
	for (cursor++; cursor < end; cursor += consumed) {
		c = decode_path_character(cursor, end, &consumed);
		if (c == '\0')
			return false;
		if (c == '/') {
			if (!segment_is_normalized(segment_len, dots))
				return false;
			segment_len = dots = 0;
			continue;
		}
		segment_len++;
		if (c == '.')
			dots++;
	}
	return segment_len == 0 || segment_is_normalized(segment_len, dots);
}
