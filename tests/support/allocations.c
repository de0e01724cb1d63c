/*
 * Overrides malloc(), calloc() and realloc() with versions that count the call
 * and forward to the C library's own.
 */

#include <stdlib.h>

#include "support/allocations.h"

#if !defined(__SANITIZE_ADDRESS__)

static __thread uint64_t allocations;

extern void *__libc_malloc(size_t size);
extern void *__libc_calloc(size_t n, size_t size);
extern void *__libc_realloc(void *old, size_t size);

void *
malloc(size_t size)
{
	allocations++;
	return __libc_malloc(size);
}

void *
calloc(size_t n, size_t size)
{
	allocations++;
	return __libc_calloc(n, size);
}

void *
realloc(void *old, size_t size)
{
	allocations++;
	return __libc_realloc(old, size);
}

bool
test_counts_allocations(void)
{
	return true;
}

uint64_t
test_allocations(void)
{
	return allocations;
}

#else

bool
test_counts_allocations(void)
{
	return false;
}

uint64_t
test_allocations(void)
{
	return 0;
}

#endif
