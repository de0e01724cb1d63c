#ifndef LOOM_REF_H
#define LOOM_REF_H

/*
 * Reference counts for objects shared by several threads.  The object embeds a
 * struct loom_ref; the last release calls the destroy function.
 */

#include <stdatomic.h>

struct loom_ref {
	atomic_uint count;
	void (*destroy)(void *object); /* called once, on the last release */
};

/* Initializes the count to 1; the caller owns that reference. */
void loom_ref_init(struct loom_ref *, void (*destroy)(void *object));

/* Adds a reference. */
void loom_ref_acquire(struct loom_ref *);

/* Drops a reference; destroys object if it was the last. */
void loom_ref_release(struct loom_ref *, void *object);

#endif
