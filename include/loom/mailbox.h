#ifndef LOOM_MAILBOX_H
#define LOOM_MAILBOX_H

/*
 * A queue through which any thread can run functions on the thread of an event
 * loop.
 */

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

struct loom_mailbox;

/*
 * Returns a mailbox owned by the caller (talloc), or NULL when out of memory or
 * file descriptors.  Must be freed on the thread of the loop, after the last
 * post.
 */
struct loom_mailbox *loom_mailbox_new(TALLOC_CTX *, struct tevent_context *);

/*
 * Runs work(arg) on the thread of the loop, in the order of the posts.  Can be
 * called from any thread.  arg is borrowed; the mailbox owns what else a post
 * needs.
 */
void loom_mailbox_post(
    struct loom_mailbox *, void (*work)(void *arg), void *arg);

#endif
