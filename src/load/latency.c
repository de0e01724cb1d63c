/*
 * Percentiles by nearest rank: always a time that was measured.
 */

#include <math.h>

#include "load/latency.h"

/* Keeps 99.9 % of 1000 at rank 999: 99.9 has no exact binary form. */
#define ROUNDING 1e-9

void
load_latency_init(struct load_latency *latency)
{
	latency->us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
load_latency_clear(struct load_latency *latency)
{
	g_array_free(latency->us, TRUE);
	latency->us = NULL;
}

void
load_latency_add(struct load_latency *latency, uint64_t us)
{
	uint32_t kept = us > UINT32_MAX ? UINT32_MAX : (uint32_t)us;

	g_array_append_val(latency->us, kept);
}

static gint
compare(gconstpointer a, gconstpointer b)
{
	const uint32_t left = *(const uint32_t *)a;
	const uint32_t right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

uint32_t
load_latency_percentile(struct load_latency *latency, double percent)
{
	guint n = latency->us->len;
	guint rank;

	if (n == 0)
		return 0;
	g_array_sort(latency->us, compare);
	rank = (guint)ceil(percent * n / 100 - ROUNDING);
	rank = CLAMP(rank, 1, n);
	return g_array_index(latency->us, uint32_t, rank - 1);
}
