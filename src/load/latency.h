#ifndef LOOM_LOAD_LATENCY_H
#define LOOM_LOAD_LATENCY_H

/*
 * Latency samples and their percentiles.  All samples are stored: a run of the
 * tool is short, and a histogram would be least exact at the high percentiles,
 * which matter most.
 */

#include <glib.h>
#include <stdint.h>

struct load_latency {
	GArray *samples_us; /* owned: uint32_t */
};

void load_latency_init(struct load_latency *);
void load_latency_clear(struct load_latency *);
void load_latency_add(struct load_latency *, uint64_t us);

/*
 * Returns the percentile by nearest rank in microseconds: the smallest sample
 * that at least percent % of the samples do not exceed.  0 without samples.
 * Sorts the samples in place.
 */
uint32_t load_latency_percentile(struct load_latency *, double percent);

#endif
