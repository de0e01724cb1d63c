/*
 * The rate that an upstream states; see the header.
 */

#include <glib.h>
#include <string.h>

#include "decide/stated_rate.h"

/*
 * Answers that are sent at the same moment arrive over several connections in
 * any order.  So a bound ends only when answers have stated none for so long.
 */
#define END_US (500 * LOOM_US_PER_MS)

#define TEXT_MAX 32
/* A rate of 0 is a bound as well, and must differ from none. */
#define RATE_MIN_PER_S 1e-3

bool
stated_rate_parse(const char *text, double *per_s)
{
	const size_t len = strlen(text);
	const char *point = strchr(text, '.');
	double value;

	if (len == 0 || len > TEXT_MAX || strspn(text, "0123456789.") != len ||
	    !g_ascii_isdigit(text[0]) || !g_ascii_isdigit(text[len - 1]) ||
	    (point != NULL && strchr(point + 1, '.') != NULL))
		return false;
	value = g_ascii_strtod(text, NULL);
	*per_s = value > STATED_RATE_MAX_PER_S ? 0 : MAX(value, RATE_MIN_PER_S);
	return true;
}

static void
note_without(struct stated_rate *rate, uint64_t now_us)
{
	if (rate->source != STATED_RATE_FROM_UPSTREAM)
		rate->per_s = 0;
	rate->source = STATED_RATE_FROM_UPSTREAM;
	if (rate->without_us == 0)
		rate->without_us = now_us;
	if (now_us - rate->without_us >= END_US)
		rate->per_s = 0;
}

void
stated_rate_note_answer(
    struct stated_rate *rate, const char *text, uint64_t now_us)
{
	double per_s;

	if (text == NULL) {
		note_without(rate, now_us);
		return;
	}
	if (!stated_rate_parse(text, &per_s))
		return;
	rate->source = STATED_RATE_FROM_UPSTREAM;
	rate->per_s = per_s;
	rate->without_us = 0;
}

void
stated_rate_note_peer(struct stated_rate *rate, double per_s)
{
	if (rate->source == STATED_RATE_FROM_UPSTREAM)
		return;
	rate->source = STATED_RATE_FROM_PEER;
	rate->per_s = per_s;
}
