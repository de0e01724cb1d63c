#ifndef LOOM_LOAD_RUN_H
#define LOOM_LOAD_RUN_H

/*
 * Runs the load tool: generates the arrivals of all teams for the duration of
 * the run, then waits for the requests in flight.
 */

#include "load/results.h"

/*
 * Checks what load_settings_fields cannot express: there is an entry, each team
 * has a route with a weight, and each surge names a team and ends after it
 * begins. Appends to problems.
 */
bool load_settings_check(const struct load_settings *, const char *file,
    struct loom_problem **problems);

/* Fills results; fails with LOOM_START when the run cannot be started. */
bool load_run(
    const struct load_settings *, struct load_results *results, GError **error);

#endif
