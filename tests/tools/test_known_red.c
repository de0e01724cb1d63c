/*
 * tools/run-tests passes over the listed case alone, and tools/check-known-red
 * refuses entries that name nothing.  Shell scripts stand in for the programs.
 */

#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "support/test.h"

#define PROGRAM "pkg/test_standin"
#define ENTRY PROGRAM ": red: seed 1; issue 7\n"

static const char failing[] =
    "#!/bin/sh\n"
    "[ -z \"$LOOM_TEST_LIST\" ] || { echo 'case: red'; exit; }\n";

static const char failing_both[] =
    "echo 'case failed: red'; echo 'case failed: green'; exit 1\n";

struct workplace {
	char *dir;
	char *tools; /* of the project */
};

static void
put(const struct workplace *place, const char *path, const char *text, int mode)
{
	char *name = g_build_filename(place->dir, path, NULL);
	char *folder = g_path_get_dirname(name);

	g_mkdir_with_parents(folder, 0700);
	TEST_CHECK(g_file_set_contents(name, text, -1, NULL), "%s", name);
	g_chmod(name, mode);
	g_free(folder);
	g_free(name);
}

/* The exit code of a tool; its output is in *out, owned by the caller. */
static int
run_tool(const struct workplace *place, const char *tool, char **out)
{
	char *path = g_build_filename(place->tools, tool, NULL);
	char *argv[] = { path, (char *)"build",
		(char *)"build/tests/pkg/test_standin",
		(char *)"build/tests/pkg/test_sound", NULL };
	int status = -1;

	TEST_CHECK(g_spawn_sync(place->dir, argv, NULL, G_SPAWN_DEFAULT, NULL,
		       NULL, out, NULL, &status, NULL),
	    "%s", path);
	g_free(path);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void
workplace_new(struct workplace *place, const char *known, const char *program)
{
	char *cwd = g_get_current_dir();
	char *script = g_strconcat(failing, program, NULL);

	place->dir = g_dir_make_tmp("loom-known-red-XXXXXX", NULL);
	place->tools = g_build_filename(cwd, "tools", NULL);
	put(place, "KNOWN-RED.txt", known, 0600);
	put(place, "tests/alone.txt", "", 0600);
	put(place, "build/tests/" PROGRAM, script, 0700);
	put(place, "build/tests/pkg/test_sound", "#!/bin/sh\n", 0700);
	g_free(script);
	g_free(cwd);
}

static void
workplace_free(struct workplace *place)
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
		path = g_build_filename(place->dir, paths[i], NULL);
		g_remove(path);
		g_free(path);
	}
	g_free(place->tools);
	g_free(place->dir);
}

/* Guards against a listed case that hides what else fails in its program. */
static void
test_forgiven(void)
{
	static const struct {
		const char *name;
		const char *known;
		const char *program;
		int status;
		const char *says;
	} rows[] = {
		{ "the listed case", ENTRY, "echo 'case failed: red'; exit 1\n",
		    0, "KNOWN   " PROGRAM },
		{ "the listed case and another", ENTRY, failing_both, 1,
		    "FAILED  " PROGRAM },
		{ "another case", ENTRY, "echo 'case failed: green'; exit 1\n",
		    1, "FAILED  " PROGRAM },
		{ "a case whose name begins alike", ENTRY,
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
	struct workplace place;
	char *out = NULL;
	size_t i;
	int status;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		workplace_new(&place, rows[i].known, rows[i].program);
		status = run_tool(&place, "run-tests", &out);
		TEST_CHECK(
		    status == rows[i].status, "%s: %d", rows[i].name, status);
		TEST_CHECK(out != NULL && strstr(out, rows[i].says) != NULL,
		    "%s: %s", rows[i].name, out);
		g_clear_pointer(&out, g_free);
		workplace_free(&place);
	}
}

/* Guards against entries that outlive their test or have no owner. */
static void
test_form(void)
{
	static const struct {
		const char *name;
		const char *known;
		int status;
	} rows[] = {
		{ "a case", ENTRY, 0 },
		{ "no program", "make bench: pick; issue 7\n", 0 },
		{ "an empty list", "", 0 },
		{ "no issue", PROGRAM ": red: seed 1\n", 1 },
		{ "no such case", PROGRAM ": blue: seed 1; issue 7\n", 1 },
		{ "no such program", "pkg/test_none: red: ; issue 7\n", 1 },
		{ "a whole program", PROGRAM " seed 1; issue 7\n", 1 },
		{ "the second entry", ENTRY "make bench: pick\n", 1 },
	};
	struct workplace place;
	char *out = NULL;
	size_t i;
	int status;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		workplace_new(&place, rows[i].known, "exit 0\n");
		status = run_tool(&place, "check-known-red", &out);
		TEST_CHECK(status == rows[i].status, "%s: %d %s", rows[i].name,
		    status, out);
		g_clear_pointer(&out, g_free);
		workplace_free(&place);
	}
}

static const struct test_case tests[] = {
	{ "forgiven", test_forgiven },
	{ "form", test_form },
};

TEST_MAIN("known red", tests)
