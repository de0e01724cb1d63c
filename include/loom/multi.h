#ifndef LOOM_MULTI_H
#define LOOM_MULTI_H

/*
 * libcurl's multi interface driven by a tevent loop: one struct loom_multi
 * for each thread that makes HTTP calls.  Socket and timer callbacks of
 * libcurl become tevent events; nothing here ever blocks or polls.
 *
 * All functions belong to the thread of the tevent context.  The multi may not
 * be freed from inside a done callback.
 */

#include <curl/curl.h>
#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

struct loom_multi;

/*
 * Called once for each added handle, when its transfer is over.  The handle
 * is already out of the multi: it is the caller's own again and may be freed,
 * or added anew, inside the callback.
 */
typedef void (*loom_multi_done)(void *arg, CURL *easy, CURLcode result);

/* Owned by mem_ctx; NULL when out of memory.  The context is borrowed.  When
 * it is freed, transfers that still run are taken out without a callback. */
struct loom_multi *loom_multi_new(TALLOC_CTX *mem_ctx, struct tevent_context *);

/*
 * Start a transfer.  easy stays the caller's; CURLOPT_PRIVATE is taken.
 * Never calls done before it returns.  False when libcurl refuses; then done
 * is not called.
 */
bool loom_multi_add(
    struct loom_multi *, CURL *easy, loom_multi_done done, void *arg);

/* Give up a transfer; done is not called.  Nothing happens when it is over.
 * May be called from libcurl's read and write callbacks only through a
 * tevent immediate, as libcurl forbids it there. */
void loom_multi_remove(struct loom_multi *, CURL *easy);

/* Connect from this ip; NULL for any. */
void loom_multi_set_source(CURL *, const char *ip);

#endif
