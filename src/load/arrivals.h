#ifndef LOOM_LOAD_ARRIVALS_H
#define LOOM_LOAD_ARRIVALS_H

/*
 * Open-loop arrivals: a Poisson process whose rate is changed by surges.  Like
 * many independent callers, it does not wait for answers.  A closed loop would
 * slow down together with the system under test and hide its overload.
 */

#include <glib.h>

#include "load/settings.h"

/* The time of an arrival that never comes. */
#define LOAD_NEVER UINT64_MAX

struct load_arrivals {
	GRand *rand; /* borrowed */
	const char *team; /* borrowed; surges of other teams are ignored */
	double rate_per_s;
	const struct load_surge *surges; /* borrowed */
	uint32_t nsurges;
	double time_us; /* of the last arrival */
};

/* Draws the next arrival, in microseconds since the start of the run;
 * LOAD_NEVER when the rate stays 0. */
uint64_t load_arrivals_next(struct load_arrivals *);

/* The rate at a time, with the surges then in effect. */
double load_arrivals_rate_per_s(const struct load_arrivals *, double at_us);

#endif
