/*
 * Runs a table of tests under CUnit and provides seeded random numbers.
 */

#include <CUnit/Basic.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/test.h"

static void
print_case_names(const struct test_case *tests, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		printf("case: %s\n", tests[i].name);
}

/* Print the name of each failed test once.  tools/run-tests compares the names
 * with KNOWN-RED.txt. */
static void
print_failed_cases(CU_pSuite suite)
{
	CU_pFailureRecord record;
	CU_pTest test;

	for (test = suite->pTest; test != NULL; test = test->pNext) {
		record = CU_get_failure_list();
		while (record != NULL && record->pTest != test)
			record = record->pNext;
		if (record != NULL)
			printf("\ncase failed: %s\n", test->pName);
	}
}

int
test_main(const char *suite_name, const struct test_case *tests, size_t n)
{
	return test_main_shared(suite_name, tests, n, NULL);
}

int
test_main_shared(const char *suite_name, const struct test_case *tests,
    size_t n, void (*finish)(void))
{
	const char *only = getenv("LOOM_TEST");
	unsigned failures;
	CU_pSuite suite;
	size_t i;

	setvbuf(stdout, NULL, _IOLBF, 0);
	if (getenv("LOOM_TEST_LIST") != NULL) {
		print_case_names(tests, n);
		return EXIT_SUCCESS;
	}
	if (CU_initialize_registry() != CUE_SUCCESS)
		return EXIT_FAILURE;
	suite = CU_add_suite(suite_name, NULL, NULL);
	for (i = 0; i < n; i++) {
		if (only == NULL || strcmp(only, tests[i].name) == 0)
			CU_add_test(suite, tests[i].name, tests[i].run);
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	if (finish != NULL)
		finish();
	failures = CU_get_number_of_failures();
	if (CU_get_number_of_tests_run() == 0)
		failures++;
	print_failed_cases(suite);
	CU_cleanup_registry();
	return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static uint64_t
next_seeded_value(void *arg)
{
	GRand *rand = arg;
	uint64_t high = g_rand_int(rand);

	return high << 32 | g_rand_int(rand);
}

struct loom_random
test_random_new(uint32_t seed)
{
	return (struct loom_random){
		.next = next_seeded_value,
		.arg = g_rand_new_with_seed(seed),
	};
}

void
test_random_free(struct loom_random *random)
{
	g_rand_free(random->arg);
	random->arg = NULL;
}

bool
test_check(bool ok, const char *condition, const char *file, int line,
    const char *fmt, ...)
{
	va_list ap;

	if (!ok) {
		printf("%s:%d: %s: ", file, line, condition);
		va_start(ap, fmt);
		vprintf(fmt, ap);
		va_end(ap);
		printf("\n");
	}
	CU_assertImplementation(
	    ok, (unsigned)line, condition, file, "", CU_FALSE);
	return ok;
}
