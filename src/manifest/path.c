/*
 * Which paths may be matched at all.
 *
 * A route matches the path as it was sent, but the upstream may tidy it up
 * before it looks at it.  "/photos/../payments" would match a route for
 * "/photos/" that may be repeated, and run as a payment that may not.  So a
 * path that some upstream could read as another is matched by no route:
 * "." and ".." as segments, empty segments but the last, and the same
 * written with %2e, %2f, %5c or a backslash.
 */

#include <string.h>

#include "manifest/internal.h"

#define ESCAPE_LENGTH 3

/* The character at text as a tidying upstream may read it; *len receives how
 * many bytes it takes. */
static char
plain_character(const char *text, const char *end, size_t *len)
{
	int high, low;

	*len = 1;
	if (*text == '\\')
		return '/';
	if (*text != '%' || end - text < ESCAPE_LENGTH)
		return *text;
	high = g_ascii_xdigit_value(text[1]);
	low = g_ascii_xdigit_value(text[2]);
	if (high < 0 || low < 0)
		return *text;
	*len = ESCAPE_LENGTH;
	return high * 16 + low == '\\' ? '/' : (char)(high * 16 + low);
}

/* A segment of length characters, of which dots are dots: neither empty nor
 * "." nor "..". */
static bool
segment_is_plain(size_t length, size_t dots)
{
	return length > dots || dots > 2;
}

bool
manifest_path_is_plain(const char *path, size_t len)
{
	const char *at = path, *end = path + len;
	size_t length = 0, dots = 0, taken;
	char c;

	if (len == 0 || *at != '/')
		return false;
	for (at++; at < end; at += taken) {
		c = plain_character(at, end, &taken);
		if (c == '\0')
			return false;
		if (c == '/') {
			if (!segment_is_plain(length, dots))
				return false;
			length = dots = 0;
			continue;
		}
		length++;
		if (c == '.')
			dots++;
	}
	return length == 0 || segment_is_plain(length, dots);
}
