#ifndef LOOM_DECIDE_STATED_LEAVING_H
#define LOOM_DECIDE_STATED_LEAVING_H

/*
 * What follows from an upstream's statement that it leaves.  Pure functions;
 * since_us is when it was first heard, 0 for never.
 */

#include <stdbool.h>
#include <stdint.h>

/* Whether an answer states it; text is the header's value, NULL for none. */
bool stated_leaving_parse(const char *text);

/* Whether the statement still holds: no later answer takes it back, but a run
 * under the same name may have followed after LOOM_LEFT_US. */
bool stated_leaving_holds(uint64_t since_us, uint64_t now_us);

/*
 * Whether the upstream still gets calls.  For a moment after the statement it
 * does: other daemons hear of it a little later, and a refusal costs each of
 * their calls another attempt.
 */
bool stated_leaving_accepts(uint64_t since_us, uint64_t now_us);

#endif
