#ifndef LOOM_REF_H
#define LOOM_REF_H

/*
 * Reference counts for objects that several threads own.  The object holds a
 * struct loom_ref; the last release calls the function given at the start.
 */

#include <stdatomic.h>

struct loom_ref {
	atomic_uint count;
	void (*destroy)(void *object); /* called once, by the last owner */
};

/* Start with one owner: the caller. */
void loom_ref_init(struct loom_ref *, void (*destroy)(void *object));

/* One owner more. */
void loom_ref_acquire(struct loom_ref *);

/* One owner less; object is destroyed when it was the last. */
void loom_ref_release(struct loom_ref *, void *object);

#endif
