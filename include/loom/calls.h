#ifndef LOOM_CALLS_H
#define LOOM_CALLS_H

/*
 * The calls that this daemon's upstream is running.  An upstream context is
 * valid only while its call is in this table.  Safe to use from any thread.
 */

#include <stddef.h>
#include <stdint.h>

#include "loom/context.h"

struct loom_calls;

struct loom_calls *loom_calls_new(void); /* owned by the caller */
void loom_calls_free(struct loom_calls *);

struct loom_live_call {
	struct loom_context context; /* the upstream context that was issued */
	char team_name[LOOM_NAME_MAX + 1]; /* "" on a public route */
	uint64_t deadline_us; /* on this daemon's clock */
	/*
	 * Maintained by the table: the time during which at least one nested
	 * call of this call was in progress.
	 */
	uint64_t nested_us;
	uint64_t nested_since_us; /* valid while nested_count > 0 */
	uint32_t nested_count;
};

/*
 * Adds a call; must precede the first byte sent to the upstream.  Returns
 * LOOM_CONTEXT_REPLAYED if the call id is live already.
 */
enum loom_result loom_calls_begin(
    struct loom_calls *, const struct loom_live_call *);

/* Must be called at most once for each call; ignores an unknown id. */
void loom_calls_end(struct loom_calls *, const struct loom_id128 *call);

/*
 * Finds the live call of a verified upstream context and copies it to *out,
 * which may be NULL.  Returns LOOM_CONTEXT_INVALID if the call is not live or
 * has another team, root or key, and LOOM_CONTEXT_EXPIRED if its deadline has
 * passed.
 */
enum loom_result loom_calls_find(struct loom_calls *,
    const struct loom_context *, uint64_t now_us, struct loom_live_call *out);

/*
 * Mark the begin and end of a nested call, which the upstream makes while it
 * runs the call with this id.  The time that a call waits for nested calls says
 * nothing about the load of its own upstream, so it is counted here; concurrent
 * nested calls count once.  An unknown id is ignored.
 */
void loom_calls_nested_begin(
    struct loom_calls *, const struct loom_id128 *call, uint64_t now_us);
void loom_calls_nested_end(
    struct loom_calls *, const struct loom_id128 *call, uint64_t now_us);

/* Returns the time spent in nested calls so far; 0 for an unknown id. */
uint64_t loom_calls_nested_us(
    struct loom_calls *, const struct loom_id128 *call, uint64_t now_us);

size_t loom_calls_count(struct loom_calls *);

#endif
