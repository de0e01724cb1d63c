#ifndef LOOM_TEST_H
#define LOOM_TEST_H

/*
 * Common to all test programs: running a table of named tests under CUnit,
 * checks with a message, and random numbers that repeat for a seed.
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

/* Run all tests and return the exit code of main().  If LOOM_TEST is set, only
 * the test of that name runs; if LOOM_TEST_LIST is set, the names are printed
 * and no test runs. */
int test_main(const char *suite, const struct test_case *tests, size_t n);

/* Like test_main(), for tests that share resources which the first of them
 * creates.  finish() releases the resources after the last test and must not
 * make checks of its own. */
int test_main_shared(const char *suite, const struct test_case *tests, size_t n,
    void (*finish)(void));

#define TEST_MAIN(suite, tests)                                          \
	int main(void)                                                   \
	{                                                                \
		return test_main((suite), (tests), G_N_ELEMENTS(tests)); \
	}

/* A random number generator (GLib's Mersenne Twister) that yields the same
 * sequence for the same seed. */
struct loom_random test_random_new(uint32_t seed);
void test_random_free(struct loom_random *);

/*
 * Check a condition and print the formatted message if it fails.  The message
 * tells which row of a table of cases has failed.
 */
#define TEST_CHECK(condition, ...) \
	test_check((condition), #condition, __FILE__, __LINE__, __VA_ARGS__)
bool test_check(bool ok, const char *condition, const char *file, int line,
    const char *fmt, ...) G_GNUC_PRINTF(5, 6);

#endif
