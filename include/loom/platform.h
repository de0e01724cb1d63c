#ifndef LOOM_PLATFORM_H
#define LOOM_PLATFORM_H

/*
 * Client of the platform, the store of configuration and host lists
 * (docs/PLATFORM.md).
 *
 * A reader fetches or watches the values under one prefix. It runs at most one
 * call at a time, pauses between calls, backs off with jitter after a failure
 * and passes each changed value to its owner. It doesn't verify values: the
 * owner checks their order and signatures.
 *
 * All functions must be called on the thread of the tevent context.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/multi.h"
#include "loom/poll_timing.h"
#include "loom/result.h"

#define LOOM_PLATFORM_VALUE_MAX UINT32_C(1000000) /* bytes */
#define LOOM_PLATFORM_NAME_MAX 255 /* bytes */

/* Pointers are valid during the callback. text is also NUL-terminated. */
struct loom_platform_value {
	const char *name; /* including the prefix, as in "hosts/orders" */
	uint64_t revision; /* increases with every change of any value */
	const char *text;
	size_t len; /* bytes at text */
};

/* Callbacks to the owner. Each may be NULL; none may free the reader. */
struct loom_platform_events {
	/* A value changed, or was read for the first time. */
	void (*on_value)(void *arg, const struct loom_platform_value *);
	/*
	 * A reading is complete and all its values were delivered. sent_us is
	 * the start of its first call.
	 */
	void (*on_reading_complete)(void *arg, uint64_t sent_us);
	/* A call failed. error is borrowed. */
	void (*on_failure)(void *arg, const GError *error);
};

/* A call, built by the source. */
struct loom_platform_request {
	char *path; /* path and query; owned, freed with g_free() */
	uint32_t wait_ms; /* the platform may hold the response this long */
};

/* A response, passed to the source for parsing. */
struct loom_platform_response {
	unsigned status; /* HTTP status */
	const char *text; /* borrowed */
	size_t len; /* bytes at text */
	/* consecutive failed calls before this one */
	uint32_t failures;
	uint64_t now_us;
};

/* Tells the reader how to continue after a response. */
enum loom_platform_read_result {
	LOOM_PLATFORM_FAILED, /* malformed or error response; error is set */
	LOOM_PLATFORM_MORE, /* partial result; make the next call at once */
	LOOM_PLATFORM_COMPLETE, /* complete result; the reading is done */
};

typedef void (*loom_platform_value_fn)(
    void *arg, const struct loom_platform_value *);

/*
 * A source implements the protocol of one kind of platform: it builds calls and
 * parses responses. State that must survive between calls belongs to the source
 * and is created by open().
 */
struct loom_platform_source {
	/*
	 * One reader with the prefix "" receives all values, which saves the
	 * watches of the other prefixes.
	 */
	bool reads_all;
	/*
	 * Creates the state for one prefix, owned by mem_ctx. arg is
	 * options.source_arg, borrowed. NULL when out of memory.
	 */
	void *(*open)(TALLOC_CTX *mem_ctx, const char *prefix, void *arg);
	/* Builds the next build_call, which may wait up to wait_ms for a
	 * change. */
	void (*build_call)(
	    void *state, uint32_t wait_ms, struct loom_platform_request *);
	/*
	 * Parses a response and calls take for each changed value, only after
	 * the response as a whole was validated.
	 */
	enum loom_platform_read_result (*handle_response)(void *state,
	    const struct loom_platform_response *, loom_platform_value_fn take,
	    void *arg, GError **error);
};

/* The source for the product's own platform API (docs/PLATFORM.md). */
extern const struct loom_platform_source loom_platform_values;

struct loom_platform_options {
	const struct loom_platform_source *source; /* borrowed; NULL for
						    * loom_platform_values */
	void *source_arg; /* borrowed */
	const char *url; /* "http://ip:port", copied */
	const char *prefix; /* as in "manifest/"; "" for all; copied */
	const char *address; /* source IP, or NULL for any; borrowed */
	struct loom_random random; /* jitter; arg is borrowed */
	struct loom_poll_timing pace; /* 0 in a field selects its default */
};

struct loom_platform_reader;

/*
 * Creates a reader owned by mem_ctx, or returns NULL when out of memory. The
 * multi handle, events and arg are borrowed and must outlive it. It makes no
 * call until loom_platform_reader_fetch() or
 * loom_platform_reader_set_watching() is called.
 */
struct loom_platform_reader *loom_platform_reader_new(TALLOC_CTX *mem_ctx,
    struct tevent_context *, struct loom_multi *,
    const struct loom_platform_options *,
    const struct loom_platform_events *events, void *arg);

/*
 * Reads once without waiting for a change. Does nothing if a call is running or
 * scheduled. A failed fetch is not retried.
 */
void loom_platform_reader_fetch(struct loom_platform_reader *);

/*
 * Starts or stops watching the prefix. The first call reads without waiting for
 * a change. Failed calls are retried after a backoff. Stopping cancels a
 * running call.
 */
void loom_platform_reader_set_watching(struct loom_platform_reader *, bool on);

/*
 * Parses a response of the product's own platform API. Calls value for each
 * value, only after the response as a whole was validated, and stores the
 * platform's revision in *revision. Returns false with LOOM_PLATFORM_ANSWER if
 * the response is malformed.
 */
bool loom_platform_response(const char *text, size_t len, const char *prefix,
    void (*value)(void *arg, const struct loom_platform_value *), void *arg,
    uint64_t *revision, GError **error);

#endif
