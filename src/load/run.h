#ifndef LOOM_LOAD_RUN_H
#define LOOM_LOAD_RUN_H

/*
 * A run of the load tool: arrivals of all teams until their time is over, then
 * the end of what is open.
 */

#include "load/results.h"

/*
 * Check what the table of fields cannot: each team has routes, weights and
 * surges make sense.  Problems are appended.
 */
bool load_settings_check(const struct load_settings *, const char *file,
    struct loom_problem **problems);

/* Run.  results is filled; false with LOOM_START when it cannot begin. */
bool load_run(
    const struct load_settings *, struct load_results *results, GError **error);

#endif
