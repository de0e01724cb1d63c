#ifndef LOOM_HISTOGRAM_H
#define LOOM_HISTOGRAM_H

/*
 * Durations in buckets, for the metrics page.  A histogram is named once, added
 * to from any thread without a lock, and read in the Prometheus text format.
 * Histograms live as long as the process.
 */

#include <stdint.h>

struct loom_histogram;

/*
 * Find or make one; at most LOOM_HISTOGRAMS_MAX, then NULL.  name and help are
 * borrowed and static, labels ("stage=\"entry\"") may be NULL and are copied.
 * Takes a lock: keep the pointer, which is borrowed and stays valid.
 */
struct loom_histogram *loom_histogram(
    const char *name, const char *labels, const char *help);

/* 16 lines each: a page of them all has 32,000 lines at most, some 3 MB. */
#define LOOM_HISTOGRAMS_MAX 2000

/* NULL counts nothing. */
void loom_histogram_add(struct loom_histogram *, uint64_t duration_us);

/* All of them; owned by the caller, g_free. */
char *loom_histogram_text(void);

#endif
