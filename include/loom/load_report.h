#ifndef LOOM_LOAD_REPORT_H
#define LOOM_LOAD_REPORT_H

/*
 * What an upstream reports about its own load: in a header of its answers and
 * of its health page.  The report may be missing, malformed or wrong; it
 * corrects what the daemon measures itself and never replaces it.
 */

#include <stdbool.h>
#include <stdint.h>

/* Time that work takes, in per cent of the usual time. */
#define LOOM_PACE_USUAL 100
/* A pace outside of these bounds is malformed. */
#define LOOM_PACE_MIN 1
#define LOOM_PACE_MAX 10000

struct loom_load_report {
	uint32_t running; /* requests */
	uint32_t waiting; /* requests in the upstream's own queue */
	uint32_t slots;
	uint32_t pace_percent; /* LOOM_PACE_USUAL; 0: not reported */
};

/*
 * Parses "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE", all decimal.
 * Returns false, with *report zeroed, if text is malformed.
 */
bool loom_load_report_parse(const char *text, struct loom_load_report *report);

#endif
