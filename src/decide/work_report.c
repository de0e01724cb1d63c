/*
 * Formats and parses an executor's report of the work at its upstream.
 */

#include <glib.h>
#include <inttypes.h>

#include "loom/load_report.h"
#include "loom/work_report.h"

#define REPORT_FIELDS 5

size_t
loom_work_report_format(
    const struct loom_work_report *report, char *text, size_t size)
{
	const int length = g_snprintf(text, size,
	    "%" PRIx64 ":%" PRIx64 ":%" PRIx64 ":%" PRIx32 ":%" PRIx32,
	    MIN(report->wait_us, LOOM_WORK_TIME_MAX_US),
	    MIN(report->own_us, LOOM_WORK_TIME_MAX_US),
	    MIN(report->run_us, LOOM_WORK_TIME_MAX_US),
	    MIN(report->pace_percent, LOOM_PACE_MAX),
	    (uint32_t)MIN(report->reason_age_ms, LOOM_WORK_TIME_MAX_US));

	return length < 0 ? 0 : (size_t)length;
}

/* Parses one field, which ends at a colon or with the text. */
static bool
parse_field(const char **text, uint64_t *value)
{
	const char *at = *text;
	uint64_t number = 0;

	if (!g_ascii_isxdigit(*at))
		return false;
	for (; g_ascii_isxdigit(*at); at++) {
		number = number * 16 + (uint64_t)g_ascii_xdigit_value(*at);
		if (number > LOOM_WORK_TIME_MAX_US)
			return false;
	}
	if (*at != ':' && *at != '\0')
		return false;
	*text = at;
	*value = number;
	return true;
}

bool
loom_work_time_parse(const char *text, uint64_t *time_us)
{
	return parse_field(&text, time_us) && *text == '\0';
}

bool
loom_work_report_parse(const char *text, struct loom_work_report *report)
{
	uint64_t fields[REPORT_FIELDS] = { 0 };
	uint32_t n = 0;

	*report = (struct loom_work_report){ 0 };
	while (n < REPORT_FIELDS && parse_field(&text, &fields[n])) {
		n++;
		if (n == REPORT_FIELDS || *text == '\0')
			break;
		text++;
	}
	if (n < REPORT_FIELDS || *text != '\0' || fields[3] > LOOM_PACE_MAX)
		return false;
	*report = (struct loom_work_report){
		.wait_us = fields[0],
		.own_us = fields[1],
		.run_us = fields[2],
		.pace_percent = (uint32_t)fields[3],
		.reason_age_ms = (uint32_t)MIN(fields[4], UINT32_MAX),
	};
	return true;
}
