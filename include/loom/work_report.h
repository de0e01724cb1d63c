#ifndef LOOM_WORK_REPORT_H
#define LOOM_WORK_REPORT_H

/*
 * What an executor tells entries about the work at its upstream, as text in a
 * header of its answers.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loom_work_report {
	uint64_t wait_us; /* until a call that comes now gets a slot */
	/* Expected of calls of the answered call's class, at the usual pace:
	 * their own time and, with the calls that they make, that of the
	 * slot. */
	uint64_t own_us;
	uint64_t run_us;
	uint32_t pace_percent; /* as last reported by the upstream; 0: unknown
			     or too old */
	/* When work was last found to be worth reporting, where that was
	 * found (decide/work_known.h). */
	uint32_t reason_age_ms;
};

/* Times above this are malformed, and are cut to it when formatted. */
#define LOOM_WORK_TIME_MAX_US (UINT64_C(3600) * 1000000)

/* Size of any formatted report. */
#define LOOM_WORK_REPORT_SIZE 64

/* Writes "WAIT:OWN:RUN:PACE:AGE", hexadecimal; returns the length that it has
 * without the terminating zero, as snprintf() does. */
size_t loom_work_report_format(
    const struct loom_work_report *, char *text, size_t size);

/* Parses one time, hexadecimal; returns false if text is malformed. */
bool loom_work_time_parse(const char *text, uint64_t *time_us);

/* Returns false, with *report zeroed, if text is malformed. */
bool loom_work_report_parse(const char *text, struct loom_work_report *report);

#endif
