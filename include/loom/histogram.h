#ifndef LOOM_HISTOGRAM_H
#define LOOM_HISTOGRAM_H

/*
 * Histograms of durations for the metrics page.  A histogram is registered
 * once, updated from any thread without a lock, and exported in the Prometheus
 * text format.  Histograms are never freed.
 */

#include <stdint.h>

struct loom_histogram;

/*
 * Returns the histogram with this name and these labels, and creates it if
 * there is none.  Returns NULL once LOOM_HISTOGRAMS_MAX exist.  name and help
 * are borrowed and must be static; labels ("stage=\"entry\"") may be NULL and
 * is copied.  The result is borrowed and stays valid.  Takes a lock: keep the
 * pointer.
 */
struct loom_histogram *loom_histogram(
    const char *name, const char *labels, const char *help);

/*
 * Each histogram has 16 lines, so a page with all of them has at most 32,000
 * lines, about 3 MB.
 */
#define LOOM_HISTOGRAMS_MAX 2000

/* Adds a duration; does nothing if the histogram is NULL. */
void loom_histogram_add(struct loom_histogram *, uint64_t duration_us);

/*
 * All histograms in the Prometheus text format; owned by the caller, g_free().
 */
char *loom_histogram_text(void);

#endif
