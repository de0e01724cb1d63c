/*
 * Percentiles by nearest rank, so that each is a time that was measured.
 */

#include <math.h>

#include "load/latency.h"

/* 99.9 has no exact binary representation: without this, the 99.9th percentile
 * of 1000 samples could get rank 1000 instead of 999. */
#define ROUNDING 1e-9

void
load_latency_init(struct load_latency *latency)
{
	latency->samples_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
load_latency_clear(struct load_latency *latency)
{
	g_array_free(latency->samples_us, TRUE);
	latency->samples_us = NULL;
}

void
load_latency_add(struct load_latency *latency, uint64_t us)
{
	uint32_t sample = us > UINT32_MAX ? UINT32_MAX : (uint32_t)us;

	g_array_append_val(latency->samples_us, sample);
}

static gint
compare_samples(gconstpointer a, gconstpointer b)
{
	const uint32_t left = *(const uint32_t *)a;
	const uint32_t right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

uint32_t
load_latency_percentile(struct load_latency *latency, double percent)
{
	guint n = latency->samples_us->len;
	guint rank;

	if (n == 0)
		return 0;
	g_array_sort(latency->samples_us, compare_samples);
	rank = (guint)ceil(percent * n / 100 - ROUNDING);
	rank = CLAMP(rank, 1, n);
	return g_array_index(latency->samples_us, uint32_t, rank - 1);
}
