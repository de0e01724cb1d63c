/*
 * Atomic reference counts.  Releasing uses acquire-release ordering: each
 * owner's accesses happen before its release, and the thread that destroys the
 * object sees the accesses of all owners.
 */

#include "loom/ref.h"

void
loom_ref_init(struct loom_ref *ref, void (*destroy)(void *object))
{
	atomic_init(&ref->count, 1);
	ref->destroy = destroy;
}

void
loom_ref_acquire(struct loom_ref *ref)
{
	atomic_fetch_add_explicit(&ref->count, 1, memory_order_relaxed);
}

void
loom_ref_release(struct loom_ref *ref, void *object)
{
	if (atomic_fetch_sub_explicit(&ref->count, 1, memory_order_acq_rel) ==
	    1)
		ref->destroy(object);
}
