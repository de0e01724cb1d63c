#ifndef LOOM_COUNTER_H
#define LOOM_COUNTER_H

/*
 * The daemon's own counters.  A counter is named once at start, added to from
 * any thread without a lock, and read as a whole in the Prometheus text
 * format.  Counters live as long as the process.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* One time series; on a cache line of its own, so that two threads which
 * count different things do not slow each other. */
struct loom_counter {
	_Alignas(64) atomic_int_fast64_t value;
	const char *name; /* borrowed, static: "loom_calls_total" */
	const char *labels; /* owned or NULL: "outcome=\"not-run\"" */
	const char *help; /* borrowed, static */
	const char *type; /* borrowed, static: "counter" or "gauge" */
	struct loom_counter *next;
};

/*
 * Find or make a counter (it only grows) or a gauge.  labels may be NULL and
 * is copied.  The pointer is borrowed and stays valid.  Takes a lock: keep
 * the pointer, do not call this on the path of a request.
 */
struct loom_counter *loom_counter(
    const char *name, const char *labels, const char *help);
struct loom_counter *loom_gauge(
    const char *name, const char *labels, const char *help);

void loom_counter_add(struct loom_counter *, int64_t n);
void loom_gauge_set(struct loom_counter *, int64_t value);
int64_t loom_counter_value(const struct loom_counter *);

/* The whole set in the Prometheus text format; owned by the caller, g_free. */
char *loom_counter_text(void);

#endif
