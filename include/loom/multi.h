#ifndef LOOM_MULTI_H
#define LOOM_MULTI_H

/*
 * libcurl's multi interface driven by a tevent loop, with one struct loom_multi
 * per thread that makes HTTP calls.  libcurl's socket and timer callbacks are
 * mapped to tevent events; no function blocks or polls.
 *
 * All functions must be called from the thread of the tevent context.  The
 * multi must not be freed from within a done callback.
 */

#include <curl/curl.h>
#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

struct loom_multi;

/*
 * Called once for each added handle when its transfer has ended.  The handle
 * was already removed from the multi: the caller may free it or add it again
 * from within the callback.
 */
typedef void (*loom_multi_done)(void *arg, CURL *easy, CURLcode result);

/* Owned by mem_ctx; NULL if out of memory.  The tevent context is borrowed.
 * Freeing the multi removes running transfers without calling done. */
struct loom_multi *loom_multi_new(TALLOC_CTX *mem_ctx, struct tevent_context *);

/*
 * Start a transfer.  The caller keeps ownership of easy; CURLOPT_PRIVATE is
 * used internally.  done is never called before this returns.  False if out of
 * memory or if libcurl reports an error; done is not called then.
 */
bool loom_multi_add(
    struct loom_multi *, CURL *easy, loom_multi_done done, void *arg);

/* Cancel a transfer; done is not called.  No effect if it has already ended.
 * libcurl forbids this call in its read and write callbacks; defer it with a
 * tevent immediate there. */
void loom_multi_remove(struct loom_multi *, CURL *easy);

/* Set the source IP of a handle's connections; NULL: any. */
void loom_multi_set_source(CURL *, const char *ip);

#endif
