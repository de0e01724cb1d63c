/*
 * Tests of tools/run-tests and tools/check-known-red in a temporary directory,
 * with shell scripts in place of the test programs. run-tests must ignore the
 * failure of a case only if KNOWN-RED.txt lists that case. check-known-red must
 * reject entries without an issue and entries whose program or case does not
 * exist.
 */

#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "support/test.h"

#define PROGRAM "pkg/test_standin"
#define ENTRY PROGRAM ": red: seed 1; issue 7\n"

/* Start of each script: lists its cases as the real test programs do. */
static const char script_head[] =
    "#!/bin/sh\n"
    "[ -z \"$LOOM_TEST_LIST\" ] || { echo 'case: red'; exit; }\n";

static const char both_cases_fail[] =
    "echo 'case failed: red'; echo 'case failed: green'; exit 1\n";

/* A temporary directory laid out like a checkout with a build. */
struct test_directory {
	char *dir; /* owned */
	char *tools_dir; /* owned; tools/ of the real checkout */
};

static void
write_file(const struct test_directory *directory, const char *path,
    const char *text, int mode)
{
	char *name = g_build_filename(directory->dir, path, NULL);
	char *folder = g_path_get_dirname(name);

	g_mkdir_with_parents(folder, 0700);
	TEST_CHECK(g_file_set_contents(name, text, -1, NULL), "%s", name);
	g_chmod(name, mode);
	g_free(folder);
	g_free(name);
}

/* Runs a tool and returns its exit status, or -1 if a signal ended it. Sets
 * *out to its standard output, which the caller frees with g_free(). */
static int
run_tool(const struct test_directory *directory, const char *tool, char **out)
{
	char *path = g_build_filename(directory->tools_dir, tool, NULL);
	char *argv[] = { path, (char *)"build",
		(char *)"build/tests/pkg/test_standin",
		(char *)"build/tests/pkg/test_sound", NULL };
	int status = -1;

	TEST_CHECK(g_spawn_sync(directory->dir, argv, NULL, G_SPAWN_DEFAULT,
		       NULL, NULL, out, NULL, &status, NULL),
	    "%s", path);
	g_free(path);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Creates the directory with two test programs: test_standin, which runs the
 * program text, and test_sound, which always passes. */
static void
test_directory_new(struct test_directory *directory, const char *known_red,
    const char *program)
{
	char *cwd = g_get_current_dir();
	char *script = g_strconcat(script_head, program, NULL);

	directory->dir = g_dir_make_tmp("loom-known-red-XXXXXX", NULL);
	directory->tools_dir = g_build_filename(cwd, "tools", NULL);
	write_file(directory, "KNOWN-RED.txt", known_red, 0600);
	write_file(directory, "tests/alone.txt", "", 0600);
	write_file(directory, "build/tests/" PROGRAM, script, 0700);
	write_file(
	    directory, "build/tests/pkg/test_sound", "#!/bin/sh\n", 0700);
	g_free(script);
	g_free(cwd);
}

static void
test_directory_free(struct test_directory *directory)
{
	static const char *const paths[] = {
		"KNOWN-RED.txt",
		"tests/alone.txt",
		"tests",
		"build/tests/pkg/test_standin",
		"build/tests/pkg/test_sound",
		"build/tests/pkg",
		"build/tests",
		"build/log/pkg/test_standin.log",
		"build/log/pkg/test_sound.log",
		"build/log/pkg",
		"build/log",
		"build",
		"",
	};
	char *path;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		path = g_build_filename(directory->dir, paths[i], NULL);
		g_remove(path);
		g_free(path);
	}
	g_free(directory->tools_dir);
	g_free(directory->dir);
}

/* Guards against a listed case hiding other failures of the same program:
 * another case, a signal or a sanitizer report. */
static void
test_listed_failures(void)
{
	static const struct {
		const char *name;
		const char *known_red;
		const char *program;
		int status;
		const char *expected_output;
	} rows[] = {
		{ "the listed case", ENTRY, "echo 'case failed: red'; exit 1\n",
		    0, "KNOWN   " PROGRAM },
		{ "the listed case and another", ENTRY, both_cases_fail, 1,
		    "FAILED  " PROGRAM },
		{ "another case", ENTRY, "echo 'case failed: green'; exit 1\n",
		    1, "FAILED  " PROGRAM },
		{ "a case whose name starts with the listed one", ENTRY,
		    "echo 'case failed: red: seed 1'; exit 1\n", 1,
		    "FAILED  " PROGRAM },
		{ "no case", ENTRY, "exit 1\n", 1, "FAILED  " PROGRAM },
		{ "a signal after the listed case", ENTRY,
		    "echo 'case failed: red'; kill -SEGV $$\n", 1,
		    "FAILED  " PROGRAM },
		{ "a sanitizer after the listed case", ENTRY,
		    "echo 'case failed: red'; exit 23\n", 1,
		    "FAILED  " PROGRAM },
		{ "the whole program listed", PROGRAM " seed 1; issue 7\n",
		    "echo 'case failed: red'; exit 1\n", 1,
		    "FAILED  " PROGRAM },
		{ "an empty list", "", "echo 'case failed: red'; exit 1\n", 1,
		    "FAILED  " PROGRAM },
		{ "nothing fails", ENTRY, "exit 0\n", 0, "2 passed, 0 failed" },
	};
	struct test_directory directory;
	char *out = NULL;
	size_t i;
	int status;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		test_directory_new(
		    &directory, rows[i].known_red, rows[i].program);
		status = run_tool(&directory, "run-tests", &out);
		TEST_CHECK(
		    status == rows[i].status, "%s: %d", rows[i].name, status);
		TEST_CHECK(
		    out != NULL && strstr(out, rows[i].expected_output) != NULL,
		    "%s: %s", rows[i].name, out);
		g_clear_pointer(&out, g_free);
		test_directory_free(&directory);
	}
}

/* Guards against entries that remain after their test was removed or renamed,
 * and entries without an issue. */
static void
test_entry_format(void)
{
	static const struct {
		const char *name;
		const char *known_red;
		int status;
	} rows[] = {
		{ "a case", ENTRY, 0 },
		{ "no program", "make bench: pick; issue 7\n", 0 },
		{ "an empty list", "", 0 },
		{ "no issue", PROGRAM ": red: seed 1\n", 1 },
		{ "no such case", PROGRAM ": blue: seed 1; issue 7\n", 1 },
		{ "no such program", "pkg/test_none: red: ; issue 7\n", 1 },
		{ "a whole program", PROGRAM " seed 1; issue 7\n", 1 },
		{ "an error in the second entry", ENTRY "make bench: pick\n",
		    1 },
	};
	struct test_directory directory;
	char *out = NULL;
	size_t i;
	int status;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		test_directory_new(&directory, rows[i].known_red, "exit 0\n");
		status = run_tool(&directory, "check-known-red", &out);
		TEST_CHECK(status == rows[i].status, "%s: %d %s", rows[i].name,
		    status, out);
		g_clear_pointer(&out, g_free);
		test_directory_free(&directory);
	}
}

static const struct test_case tests[] = {
	{ "listed failures", test_listed_failures },
	{ "entry format", test_entry_format },
};

TEST_MAIN("known red", tests)
