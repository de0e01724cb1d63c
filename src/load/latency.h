#ifndef LOOM_LOAD_LATENCY_H
#define LOOM_LOAD_LATENCY_H

/*
 * Measured times and their percentiles.  All are kept: a run of the tool is
 * short, and a histogram's error is largest where it matters.
 */

#include <glib.h>
#include <stdint.h>

struct load_latency {
	GArray *us; /* owned: uint32_t */
};

void load_latency_init(struct load_latency *);
void load_latency_clear(struct load_latency *);
void load_latency_add(struct load_latency *, uint64_t us);

/*
 * The smallest time that at least percent of all times do not exceed (nearest
 * rank), in microseconds; 0 without any.  Sorts.
 */
uint32_t load_latency_percentile(struct load_latency *, double percent);

#endif
