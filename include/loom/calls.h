#ifndef LOOM_CALLS_H
#define LOOM_CALLS_H

/*
 * The calls that this daemon's upstream runs now.  An upstream context is
 * good only while its call is in here.  Safe from any thread.
 */

#include <stddef.h>
#include <stdint.h>

#include "loom/context.h"

struct loom_calls;

struct loom_calls *loom_calls_new(void); /* owned */
void loom_calls_free(struct loom_calls *);

struct loom_live_call {
	struct loom_context context; /* the upstream context that was issued */
	uint64_t deadline_us; /* on this daemon's clock */
	/* Kept by the table: time during which one or more deeper calls of
	 * this one were under way. */
	uint64_t deeper_us;
	uint64_t deeper_since_us; /* meaningful while ndeeper > 0 */
	uint32_t ndeeper;
};

/* Begin before the first byte is sent upstream.  LOOM_CONTEXT_REPLAYED when
 * the call id is live already. */
enum loom_result loom_calls_begin(
    struct loom_calls *, const struct loom_live_call *);

/* No more than once; an unknown id is passed over. */
void loom_calls_end(struct loom_calls *, const struct loom_id128 *call);

/*
 * The live call of a verified upstream context, copied to *out (may be NULL).
 * LOOM_CONTEXT_INVALID when it is not live or not the same team, root or key;
 * LOOM_CONTEXT_EXPIRED when its deadline has passed.
 */
enum loom_result loom_calls_find(struct loom_calls *,
    const struct loom_context *, uint64_t now_us, struct loom_live_call *out);

/*
 * A deeper call of a live one begins and ends.  What the live one spends
 * waiting for it is no sign of its own upstream's load; calls at the same time
 * count once.  An unknown id is passed over.
 */
void loom_calls_deeper_begin(
    struct loom_calls *, const struct loom_id128 *call, uint64_t now_us);
void loom_calls_deeper_end(
    struct loom_calls *, const struct loom_id128 *call, uint64_t now_us);

/* The time so far; 0 for an unknown id. */
uint64_t loom_calls_deeper_us(
    struct loom_calls *, const struct loom_id128 *call, uint64_t now_us);

size_t loom_calls_count(struct loom_calls *);

#endif
