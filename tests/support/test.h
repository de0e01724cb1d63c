#ifndef LOOM_TEST_H
#define LOOM_TEST_H

/*
 * What every test program needs: a list of named tests for CUnit, a fake
 * clock's seed and random numbers that repeat.
 */

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

struct test_case {
	const char *name;
	void (*run)(void);
};

/* Run all and return the exit code of main().  With LOOM_TEST set, only the
 * test of that name runs; with LOOM_TEST_LIST set, their names are printed and
 * none runs. */
int test_main(const char *suite, const struct test_case *tests, size_t n);

/* The same for tests that share what the first of them starts; finish ends it
 * after the last and may not check anything. */
int test_main_shared(const char *suite, const struct test_case *tests, size_t n,
    void (*finish)(void));

#define TEST_MAIN(suite, tests)                                          \
	int main(void)                                                   \
	{                                                                \
		return test_main((suite), (tests), G_N_ELEMENTS(tests)); \
	}

/* Randomness that repeats for a seed (GLib's Mersenne twister). */
struct loom_random test_random_new(uint32_t seed);
void test_random_free(struct loom_random *);

/*
 * Check with a message: prints the formatted text when the condition fails,
 * so that a row of a table of cases names itself.
 */
#define TEST_CHECK(condition, ...) \
	test_check((condition), #condition, __FILE__, __LINE__, __VA_ARGS__)
bool test_check(bool ok, const char *condition, const char *file, int line,
    const char *fmt, ...) G_GNUC_PRINTF(5, 6);

#endif
