/*
 * Parses an upstream's report of its own load.
 */

#include <glib.h>

#include "loom/load_report.h"

#define REPORT_FIELDS 4
/* Higher counts than any host could have are malformed. */
#define COUNT_MAX 1000000

/* Parses one decimal field, which ends at a comma or with the text. */
static bool
parse_field(const char **text, uint32_t *value)
{
	uint64_t number = 0;
	const char *at = *text;

	if (!g_ascii_isdigit(*at))
		return false;
	for (; g_ascii_isdigit(*at); at++) {
		number = number * 10 + (uint64_t)(*at - '0');
		if (number > COUNT_MAX)
			return false;
	}
	if (*at != ',' && *at != '\0')
		return false;
	*text = at;
	*value = (uint32_t)number;
	return true;
}

bool
loom_load_report_parse(const char *text, struct loom_load_report *report)
{
	uint32_t fields[REPORT_FIELDS] = { 0 };
	uint32_t n = 0;

	*report = (struct loom_load_report){ 0 };
	for (;;) {
		if (n == REPORT_FIELDS || !parse_field(&text, &fields[n]))
			return false;
		n++;
		if (*text == '\0')
			break;
		text++;
	}
	if (n < REPORT_FIELDS - 1 || fields[2] == 0)
		return false;
	if (n == REPORT_FIELDS &&
	    (fields[3] < LOOM_PACE_MIN || fields[3] > LOOM_PACE_MAX))
		return false;
	*report = (struct loom_load_report){
		.running = fields[0],
		.waiting = fields[1],
		.slots = fields[2],
		.pace_percent = fields[3],
	};
	return true;
}
