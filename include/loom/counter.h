#ifndef LOOM_COUNTER_H
#define LOOM_COUNTER_H

/*
 * Counters and gauges of the process.  Each is registered once at startup,
 * updated from any thread without a lock, and exported with all others in the
 * Prometheus text format.  Counters are never freed.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One time series.  Aligned to a cache line of its own, so that threads that
 * update different counters do not slow each other down (false sharing).
 */
struct loom_counter {
	_Alignas(64) atomic_int_fast64_t value;
	const char *name; /* borrowed, static: "loom_calls_total" */
	const char *labels; /* owned or NULL: "outcome=\"not-run\"" */
	const char *help; /* borrowed, static */
	const char *type; /* borrowed, static: "counter" or "gauge" */
	struct loom_counter *next;
};

/*
 * Returns the counter (which only increases) or gauge with this name and these
 * labels, and creates it if there is none.  labels may be NULL and is copied.
 * The pointer is borrowed and stays valid.  Takes a lock: call this at startup
 * and keep the pointer, not while a request is handled.
 */
struct loom_counter *loom_counter(
    const char *name, const char *labels, const char *help);
struct loom_counter *loom_gauge(
    const char *name, const char *labels, const char *help);

void loom_counter_add(struct loom_counter *, int64_t n);
void loom_gauge_set(struct loom_counter *, int64_t value);
int64_t loom_counter_value(const struct loom_counter *);

/*
 * All counters and gauges in the Prometheus text format; owned by the caller,
 * g_free().
 */
char *loom_counter_text(void);

#endif
