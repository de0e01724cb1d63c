#ifndef LOOM_PLATFORM_H
#define LOOM_PLATFORM_H

/*
 * Reading and watching the platform (docs/PLATFORM.md).
 *
 * One reader follows the values under one prefix.  It makes at most one call
 * at a time, waits between calls, backs off with jitter when a call fails,
 * and hands each changed value to its owner.  It believes nothing: order and
 * signatures are the owner's business.
 *
 * All functions belong to the thread of the tevent context.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/multi.h"
#include "loom/result.h"

/* The largest value, in bytes. */
#define LOOM_PLATFORM_VALUE_MAX UINT32_C(1000000)
/* The longest name, in bytes. */
#define LOOM_PLATFORM_NAME_MAX 255

/* All borrowed for the call; text is NUL-terminated besides. */
struct loom_platform_value {
	const char *name; /* with its prefix: "hosts/orders" */
	uint64_t revision; /* the platform's; grows over all values */
	const char *text;
	size_t len; /* bytes at text */
};

/* What the owner is told; all may be NULL.  None may free the reader. */
struct loom_platform_events {
	/* A value changed, or was read for the first time. */
	void (*value)(void *arg, const struct loom_platform_value *);
	/* A call was answered well, after its values were handed over. */
	void (*answered)(void *arg);
	/* A call failed; error is borrowed. */
	void (*failed)(void *arg, const GError *error);
};

struct loom_platform_options {
	const char *url; /* "http://ip:port", copied */
	const char *prefix; /* "manifest/", copied */
	const char *source; /* ip to connect from, or NULL for any; borrowed */
	struct loom_random random; /* jitter; arg is borrowed */
	uint32_t wait_ms; /* how long a watch waits; 0 for the default */
	uint32_t answer_ms; /* for an answer besides; 0 for the default */
	uint32_t gap_ms; /* between two calls; 0 for the default */
	uint32_t backoff_ms; /* first delay after a failure; 0: default */
	uint32_t backoff_max_ms; /* last delay; 0 for the default */
};

struct loom_platform_reader;

/* Owned by mem_ctx.  multi, events and arg are borrowed and outlive it.  It
 * makes no call before it is told to.  NULL when out of memory. */
struct loom_platform_reader *loom_platform_reader_new(TALLOC_CTX *mem_ctx,
    struct tevent_context *, struct loom_multi *,
    const struct loom_platform_options *,
    const struct loom_platform_events *events, void *arg);

/* Ask once, without waiting for a change.  Nothing happens when a call is
 * under way or due.  A failed fetch is not repeated. */
void loom_platform_fetch(struct loom_platform_reader *);

/* Follow the prefix by watches until switched off.  The first call reads
 * without waiting.  Failures are repeated after a backoff. */
void loom_platform_watch(struct loom_platform_reader *, bool on);

/* The delay before call n (from 1) after n failures, in milliseconds: full
 * jitter over a doubling range, never under half of the first delay. */
uint32_t loom_platform_backoff_ms(uint32_t first_ms, uint32_t max_ms,
    uint32_t failures, const struct loom_random *);

/*
 * Read an answer of the list call.  Calls value for each of its values, only
 * after the whole answer was found good.  *revision receives the platform's
 * own.  False with LOOM_PLATFORM_ANSWER or LOOM_PLATFORM_OVERSIZED.
 */
bool loom_platform_answer(const char *text, size_t len, const char *prefix,
    void (*value)(void *arg, const struct loom_platform_value *), void *arg,
    uint64_t *revision, GError **error);

#endif
