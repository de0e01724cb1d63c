#ifndef LOOM_MAILBOX_H
#define LOOM_MAILBOX_H

/*
 * Work handed to the thread of an event loop by any other thread.
 */

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

struct loom_mailbox;

/* Owned by the caller (talloc); must be freed by the loop's thread, after
 * the last post.  NULL when out of memory or descriptors. */
struct loom_mailbox *loom_mailbox_new(TALLOC_CTX *, struct tevent_context *);

/* Run work(arg) on the loop's thread, in the order of the posts.  Any
 * thread; the memory of a post is the mailbox's. */
void loom_mailbox_post(
    struct loom_mailbox *, void (*work)(void *arg), void *arg);

#endif
