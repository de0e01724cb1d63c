/*
 * W3C trace context.  As the standard requires, a malformed header starts a
 * new trace and never causes the request to be refused.
 */

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "loom/clock.h"
#include "trace/span.h"

#define VERSION_PREFIX_LENGTH 3
#define TRACE_HEX (2 * SPAN_TRACE_ID_SIZE)
#define SPAN_HEX (2 * SPAN_ID_SIZE)

/* Decodes exactly hex digits, an even number, into hex / 2 bytes. */
static bool
decode_hex(const char *text, size_t hex, uint8_t *out)
{
	size_t got;

	return sodium_hex2bin(out, hex / 2, text, hex, NULL, &got, NULL) == 0 &&
	    got == hex / 2;
}

/*
 * Reads "VERSION-TRACE_ID-PARENT_ID-...".  Version "ff" and ids of zeros are
 * invalid by the standard; later versions may append fields.
 */
static bool
parse_traceparent(struct span *span, const char *text)
{
	if (strlen(text) < SPAN_TRACEPARENT_SIZE - 1 ||
	    strncmp(text, "ff", 2) == 0 || text[2] != '-')
		return false;
	text += VERSION_PREFIX_LENGTH;
	if (!decode_hex(text, TRACE_HEX, span->trace_id) ||
	    text[TRACE_HEX] != '-')
		return false;
	text += TRACE_HEX + 1;
	if (!decode_hex(text, SPAN_HEX, span->parent_id))
		return false;
	return !sodium_is_zero(span->trace_id, sizeof(span->trace_id)) &&
	    !sodium_is_zero(span->parent_id, sizeof(span->parent_id));
}

void
span_begin(struct span *span, const char *traceparent, uint64_t now_us)
{
	memset(span, 0, sizeof(*span));
	span->has_remote_parent =
	    traceparent != NULL && parse_traceparent(span, traceparent);
	if (!span->has_remote_parent) {
		memset(span->parent_id, 0, sizeof(span->parent_id));
		loom_random_bytes(span->trace_id, sizeof(span->trace_id));
	}
	loom_random_bytes(span->span_id, sizeof(span->span_id));
	span->start_wall_ns = loom_wall_ns();
	span->start_us = now_us;
}

void
span_trace_id_text(const struct span *span, char out[33])
{
	sodium_bin2hex(out, 33, span->trace_id, sizeof(span->trace_id));
}

void
span_traceparent(const struct span *span, char out[SPAN_TRACEPARENT_SIZE])
{
	char trace_id[TRACE_HEX + 1], span_id[SPAN_HEX + 1];

	span_trace_id_text(span, trace_id);
	sodium_bin2hex(
	    span_id, sizeof(span_id), span->span_id, sizeof(span->span_id));
	g_snprintf(
	    out, SPAN_TRACEPARENT_SIZE, "00-%s-%s-01", trace_id, span_id);
}
