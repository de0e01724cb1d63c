#ifndef LOOM_TEST_ALLOCATIONS_H
#define LOOM_TEST_ALLOCATIONS_H

/*
 * Counts of heap allocations.  A program that asks for them has malloc() and
 * its like counted, those of libraries too.
 */

#include <stdbool.h>
#include <stdint.h>

/* False under a sanitizer that has an allocator of its own. */
bool test_counts_allocations(void);

/* Of the calling thread, since it began. */
uint64_t test_allocations(void);

#endif
