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
#include "loom/pace.h"
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
	/* A reading was answered well, after its values were handed over;
	 * sent_us is when its first call was begun. */
	void (*answered)(void *arg, uint64_t sent_us);
	/* A call failed; error is borrowed. */
	void (*failed)(void *arg, const GError *error);
};

/*
 * How one kind of platform is asked and how its answers are read.  What a
 * reader keeps between two calls is the source's own, made by open().
 */
struct loom_platform_call {
	char *path; /* owned (g_free): path and query */
	uint32_t wait_ms; /* the platform may hold the answer so long */
};

struct loom_platform_answer {
	unsigned status; /* of HTTP */
	const char *text; /* borrowed */
	size_t len; /* bytes at text */
	/* calls that failed before this one, without an answer between */
	uint32_t failures;
	uint64_t now_us;
};

/* What a reader does after an answer. */
enum loom_platform_next {
	LOOM_PLATFORM_FAILED, /* malformed, or an error: the error is set */
	LOOM_PLATFORM_MORE, /* a part of it: ask for the rest at once */
	LOOM_PLATFORM_WHOLE, /* everything up to the answer is known */
};

typedef void (*loom_platform_take)(
    void *arg, const struct loom_platform_value *);

struct loom_platform_source {
	/* One reader, of the prefix "", brings all values: a watch less. */
	bool reads_all;
	/* State for what lies under one prefix; owned by mem_ctx.  arg is the
	 * source's own (options.source_arg), borrowed. */
	void *(*open)(TALLOC_CTX *mem_ctx, const char *prefix, void *arg);
	/* The next call; wait_ms is how long it may wait for a change. */
	void (*call)(
	    void *state, uint32_t wait_ms, struct loom_platform_call *);
	/* Read an answer; take is called for each changed value, and only
	 * after the whole answer was found good. */
	enum loom_platform_next (*answer)(void *state,
	    const struct loom_platform_answer *, loom_platform_take take,
	    void *arg, GError **error);
};

/* The platform that docs/PLATFORM.md describes. */
extern const struct loom_platform_source loom_platform_values;

struct loom_platform_options {
	const struct loom_platform_source *source; /* borrowed; NULL for
						    * loom_platform_values */
	void *source_arg; /* borrowed */
	const char *url; /* "http://ip:port", copied */
	const char *prefix; /* "manifest/", or "" for all; copied */
	const char *address; /* ip to connect from, or NULL for any; borrowed */
	struct loom_random random; /* jitter; arg is borrowed */
	struct loom_pace pace; /* of its calls; a 0 for the default */
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

/*
 * Read an answer of the list call.  Calls value for each of its values, only
 * after the whole answer was found good.  *revision receives the platform's
 * own.  False with LOOM_PLATFORM_ANSWER or LOOM_PLATFORM_OVERSIZED.
 */
bool loom_platform_answer(const char *text, size_t len, const char *prefix,
    void (*value)(void *arg, const struct loom_platform_value *), void *arg,
    uint64_t *revision, GError **error);

#endif
