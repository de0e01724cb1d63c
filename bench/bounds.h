#ifndef BENCH_BOUNDS_H
#define BENCH_BOUNDS_H

/* The regression bounds of bench/bounds.tsv. */

#include <stdbool.h>

#include "model.h"

struct bounds;

/* NULL, with a message printed, when the file cannot be read. */
struct bounds *bounds_load(const char *file);
void bounds_free(struct bounds *);

/* Print each figure that breaks its bound; false when one does, or when the
 * table has no row for it. */
bool bounds_check(const struct bounds *, const char *firm, const char *pattern,
    const struct model_result *);

/* Look up one value: used by the other benches.  False when there is none. */
bool bounds_value(const struct bounds *, const char *firm, const char *pattern,
    const char *figure, double *value);

#endif
