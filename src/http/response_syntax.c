/*
 * http_parser is built to be lenient: it takes status codes of any number of
 * digits, any bytes in a reason phrase and in chunk extensions, a line feed for
 * the end of a line, folded lines, and other bytes than CR LF around chunks.
 * Such bytes are no response, or one that another reader understands
 * differently.
 */

#include <glib.h>
#include <string.h>

#include "http/response_syntax.h"
#include "http/serialize.h"

#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_FINAL_MIN 200
#define STATUS_SWITCHING_PROTOCOLS 101
/* Where the status code begins and ends in the status line. */
#define STATUS_POSITION 9
#define STATUS_END 12
/* A uint64_t has no more. */
#define SIZE_DIGITS_MAX 16

enum state {
	STATUS_LINE,
	REASON,
	LINE_FEED, /* after the CR of a line of the head */
	LINE_START,
	NAME,
	VALUE,
	HEAD_LINE_FEED, /* after the CR of the empty line */
	CHUNK_SIZE_START,
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LINE_FEED,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LINE_FEED,
	UNCHECKED, /* a body that is not chunked, or after the end */
};

/* D stands for a digit. */
static const char status_line[] = "HTTP/D.D DDD";
static const char coding_name[] = "transfer-encoding";

/* Bytes of field values, reason phrases and chunk extensions. */
static bool
is_text(uint8_t byte)
{
	return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

/* Bytes of field names (RFC 9110, section 5.6.2). */
static bool
is_token(uint8_t byte)
{
	return g_ascii_isalnum(byte) ||
	    (byte != 0 && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

static bool
begin_status_line(struct response_syntax *syntax)
{
	syntax->state = STATUS_LINE;
	syntax->position = 0;
	syntax->status = 0;
	syntax->chunked = false;
	return true;
}

static bool
go_to(struct response_syntax *syntax, enum state state)
{
	syntax->state = (uint8_t)state;
	return true;
}

static bool
is_valid_status(uint16_t status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX;
}

static bool
in_status_line(struct response_syntax *syntax, uint8_t byte)
{
	const uint8_t position = syntax->position++;

	if (position == STATUS_END) {
		if (!is_valid_status(syntax->status))
			return false;
		if (byte == '\r')
			return go_to(syntax, LINE_FEED);
		return byte == ' ' && go_to(syntax, REASON);
	}
	if (status_line[position] != 'D')
		return byte == (uint8_t)status_line[position];
	if (position >= STATUS_POSITION)
		syntax->status = (uint16_t)(syntax->status * 10 + (byte - '0'));
	return g_ascii_isdigit(byte);
}

static bool
in_line(struct response_syntax *syntax, uint8_t byte)
{
	if (byte == '\r')
		return go_to(syntax, LINE_FEED);
	return is_text(byte);
}

static bool
at_line_feed(struct response_syntax *syntax, uint8_t byte)
{
	return byte == '\n' && go_to(syntax, LINE_START);
}

static bool
in_name(struct response_syntax *syntax, uint8_t byte)
{
	const uint8_t position = syntax->position;

	if (byte == ':') {
		if (syntax->may_be_coding &&
		    position == sizeof(coding_name) - 1)
			syntax->chunked = true;
		return position > 0 && go_to(syntax, VALUE);
	}
	syntax->may_be_coding = syntax->may_be_coding &&
	    position < sizeof(coding_name) - 1 &&
	    g_ascii_tolower((char)byte) == coding_name[position];
	if (position < UINT8_MAX)
		syntax->position++;
	return is_token(byte);
}

/* A line that begins with a blank would continue the one before. */
static bool
at_line_start(struct response_syntax *syntax, uint8_t byte)
{
	if (byte == '\r')
		return go_to(syntax, HEAD_LINE_FEED);
	syntax->state = NAME;
	syntax->position = 0;
	syntax->may_be_coding = true;
	return in_name(syntax, byte);
}

/* The end of a head, or of the trailers, after which there is no body. */
static bool
at_head_line_feed(struct response_syntax *syntax, uint8_t byte)
{
	if (byte != '\n')
		return false;
	if (syntax->status < STATUS_FINAL_MIN &&
	    syntax->status != STATUS_SWITCHING_PROTOCOLS)
		return begin_status_line(syntax);
	if (!syntax->chunked || syntax->is_head ||
	    http_status_has_no_body(syntax->status))
		return go_to(syntax, UNCHECKED);
	return go_to(syntax, CHUNK_SIZE_START);
}

static bool
in_chunk_size(struct response_syntax *syntax, uint8_t byte)
{
	if (byte == '\r')
		return go_to(syntax, CHUNK_SIZE_LINE_FEED);
	if (byte == ';' || byte == ' ' || byte == '\t')
		return go_to(syntax, CHUNK_EXTENSION);
	if (!g_ascii_isxdigit(byte) || ++syntax->size_digits > SIZE_DIGITS_MAX)
		return false;
	syntax->chunk_left = syntax->chunk_left * 16 +
	    (uint64_t)g_ascii_xdigit_value((char)byte);
	return true;
}

static bool
at_chunk_size(struct response_syntax *syntax, uint8_t byte)
{
	syntax->chunk_left = 0;
	syntax->size_digits = 0;
	syntax->state = CHUNK_SIZE;
	return g_ascii_isxdigit(byte) && in_chunk_size(syntax, byte);
}

static bool
in_chunk_extension(struct response_syntax *syntax, uint8_t byte)
{
	if (byte == '\r')
		return go_to(syntax, CHUNK_SIZE_LINE_FEED);
	return is_text(byte);
}

/* Trailers follow the last chunk, and no chunks follow these. */
static bool
at_chunk_size_line_feed(struct response_syntax *syntax, uint8_t byte)
{
	if (byte != '\n')
		return false;
	if (syntax->chunk_left > 0)
		return go_to(syntax, CHUNK_DATA);
	syntax->is_head = true;
	return go_to(syntax, LINE_START);
}

static bool
in_chunk_data(struct response_syntax *syntax, uint8_t byte)
{
	(void)byte;
	if (--syntax->chunk_left == 0)
		syntax->state = CHUNK_DATA_CR;
	return true;
}

static bool
at_chunk_data_cr(struct response_syntax *syntax, uint8_t byte)
{
	return byte == '\r' && go_to(syntax, CHUNK_DATA_LINE_FEED);
}

static bool
at_chunk_data_line_feed(struct response_syntax *syntax, uint8_t byte)
{
	return byte == '\n' && go_to(syntax, CHUNK_SIZE_START);
}

static bool
unchecked(struct response_syntax *syntax, uint8_t byte)
{
	(void)syntax;
	(void)byte;
	return true;
}

static bool (*const handlers[])(struct response_syntax *, uint8_t byte) = {
	[STATUS_LINE] = in_status_line,
	[REASON] = in_line,
	[LINE_FEED] = at_line_feed,
	[LINE_START] = at_line_start,
	[NAME] = in_name,
	[VALUE] = in_line,
	[HEAD_LINE_FEED] = at_head_line_feed,
	[CHUNK_SIZE_START] = at_chunk_size,
	[CHUNK_SIZE] = in_chunk_size,
	[CHUNK_EXTENSION] = in_chunk_extension,
	[CHUNK_SIZE_LINE_FEED] = at_chunk_size_line_feed,
	[CHUNK_DATA] = in_chunk_data,
	[CHUNK_DATA_CR] = at_chunk_data_cr,
	[CHUNK_DATA_LINE_FEED] = at_chunk_data_line_feed,
	[UNCHECKED] = unchecked,
};

void
response_syntax_begin(struct response_syntax *syntax, bool is_head)
{
	*syntax = (struct response_syntax){ .is_head = is_head };
	begin_status_line(syntax);
}

size_t
response_syntax_check(
    struct response_syntax *syntax, const uint8_t *data, size_t len)
{
	size_t i = 0, skipped;

	while (i < len && syntax->state != UNCHECKED) {
		if (syntax->state == CHUNK_DATA && syntax->chunk_left > 1) {
			skipped = MIN(len - i, syntax->chunk_left - 1);
			syntax->chunk_left -= skipped;
			i += skipped;
			continue;
		}
		if (!handlers[syntax->state](syntax, data[i]))
			return i;
		i++;
	}
	return len;
}
