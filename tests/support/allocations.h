#ifndef LOOM_TEST_ALLOCATIONS_H
#define LOOM_TEST_ALLOCATIONS_H

/*
 * Counts heap allocations.  A program that calls a function of this header is
 * linked with counting versions of malloc(), calloc() and realloc(), so the
 * allocations made by libraries are counted too.
 */

#include <stdbool.h>
#include <stdint.h>

/* Return false under AddressSanitizer, which brings its own allocator, so
 * nothing is counted. */
bool test_counts_allocations(void);

/* Return the number of allocations by the calling thread since it started. */
uint64_t test_allocations(void);

#endif
