#ifndef LOOM_LOAD_ARRIVALS_H
#define LOOM_LOAD_ARRIVALS_H

/*
 * Open-loop arrivals: a Poisson process whose rate is changed by surges.  It
 * does not wait for answers, as many independent callers do not: a closed loop
 * would slow down with the system and hide its overload.
 */

#include <glib.h>

#include "load/settings.h"

#define LOAD_NEVER UINT64_MAX

struct load_arrivals {
	GRand *rand; /* borrowed */
	const char *team; /* borrowed: whose surges count */
	double rate_per_s;
	const struct load_surge *surges; /* borrowed */
	uint32_t nsurges;
	double at_us; /* the last arrival */
};

/* The next arrival, in microseconds since the start of the run; LOAD_NEVER
 * when there is none. */
uint64_t load_arrivals_next(struct load_arrivals *);

/* The rate offered at a time. */
double load_arrivals_rate_per_s(const struct load_arrivals *, double at_us);

#endif
