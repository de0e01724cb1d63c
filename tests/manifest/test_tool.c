/*
 * Runs loom-manifest as a build pipeline does and checks its exit codes, that
 * each problem is printed on its own line, and that no output contains a
 * caller's key.
 */

#include <fcntl.h>
#include <glib/gstdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "manifest/manifest_support.h"

#define ARGUMENTS_MAX 8
#define CALLER_KEY "the-key-of-a-caller"
#define ROUTES                                                   \
	"'services': [{'name': 's'}], 'routes': [{'name': 'r', " \
	"'service': 's', 'method': 'GET', 'path': '/', 'importance': "

/* The result of one run of loom-manifest. */
struct run {
	int status;
	char *out; /* owned */
	char *err; /* owned */
};

/* The files created before the first command; each ' becomes a ". */
static const struct {
	const char *name, *text;
} files[] = {
	{ "good.jsonc",
	    "{'document': 'a', 'version': 1, " ROUTES "'low'}], "
	    "'teams': [{'name': 't', 'rate_per_s': 1, "
	    "'burst': 1}]}" },
	{ "next.jsonc", "{'document': 'a', 'version': 2, " ROUTES "'high'}]}" },
	{ "more.jsonc",
	    "{'document': 'b', 'version': 1, 'teams': "
	    "[{'name': 'u', 'rate_per_s': 1, 'burst': 1}]}" },
	{ "bad.jsonc", "{'document': 'b', 'versoin': 1}" },
	{ "cut.jsonc", "{'document':\n 'c'" },
	{ "key.txt", CALLER_KEY "\n" },
	{ "empty.txt", "" },
};

static char *directory; /* owned; the working directory of every run */
static char *program; /* owned */

static void
write_files(void)
{
	char *file, *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(files); i++) {
		file = g_build_filename(directory, files[i].name, NULL);
		text = test_quote(files[i].text);
		CU_ASSERT(g_file_set_contents(file, text, -1, NULL));
		g_free(text);
		g_free(file);
	}
}

static void
find_program(void)
{
	char *current_directory = g_get_current_dir();
	const char *bin = g_getenv("LOOM_BIN");

	if (bin == NULL)
		bin = "build/bin";
	if (g_path_is_absolute(bin))
		program = g_build_filename(bin, "loom-manifest", NULL);
	else
		program = g_build_filename(
		    current_directory, bin, "loom-manifest", NULL);
	g_free(current_directory);
}

/* Runs in the child process: opens the file as standard input. */
static void
set_input(gpointer name)
{
	int fd = open(name, O_RDONLY);

	if (fd < 0 || dup2(fd, STDIN_FILENO) < 0)
		_exit(125);
}

/* Saves standard output to a file in the directory, unless output is NULL. */
static struct run
run_tool(const char *const *arguments, const char *input, const char *output)
{
	char *argv[ARGUMENTS_MAX + 2] = { program };
	struct run run = { .status = -1 };
	int wait_status;
	char *file;
	size_t i;

	for (i = 0; i < ARGUMENTS_MAX && arguments[i] != NULL; i++)
		argv[i + 1] = (char *)arguments[i];
	if (g_spawn_sync(directory, argv, NULL, G_SPAWN_DEFAULT, set_input,
		(gpointer)(input == NULL ? "/dev/null" : input), &run.out,
		&run.err, &wait_status, NULL) &&
	    WIFEXITED(wait_status))
		run.status = WEXITSTATUS(wait_status);
	if (output != NULL && run.out != NULL) {
		file = g_build_filename(directory, output, NULL);
		CU_ASSERT(g_file_set_contents(file, run.out, -1, NULL));
		g_free(file);
	}
	return run;
}

static void
free_run(struct run *run)
{
	g_free(run->out);
	g_free(run->err);
}

/*
 * The commands, run in this order in one directory: later ones read files that
 * earlier ones create.
 */
static const struct {
	const char *arguments[ARGUMENTS_MAX];
	const char *input; /* a file in the directory, or NULL */
	const char *output; /* a file in the directory, or NULL */
	int status;
	const char *out, *err; /* part of each output; NULL: must be empty */
} steps[] = {
	{ .arguments = { NULL }, .status = 2, .err = "usage: loom-manifest" },
	{ .arguments = { "--help" }, .out = "usage: loom-manifest" },
	{ .arguments = { "--version" }, .out = "loom-manifest " },
	{ .arguments = { "check", "--version" }, .out = "loom-manifest " },
	{ .arguments = { "check", "--help" }, .out = "check [-hV] FILE" },
	{ .arguments = { "chek" }, .status = 2, .err = "no command \"chek\"" },
	{ .arguments = { "check" }, .status = 2, .err = "FILE" },
	{ .arguments = { "sign", "good.jsonc" }, .status = 2, .err = "--key" },
	{ .arguments = { "diff", "good.jsonc" }, .status = 2, .err = "usage" },
	{ .arguments = { "check", "--zebra" }, .status = 2, .err = "zebra" },
	{ .arguments = { "check", "good.jsonc" },
	    .out = "ok: 1 teams, 0 keys, 1 services, 1 routes\n" },
	{ .arguments = { "check", "good.jsonc", "more.jsonc" },
	    .out = "ok: 2 teams" },
	/* Reports every problem of every file, each on its own line. */
	{ .arguments = { "check", "bad.jsonc", "none.jsonc", "cut.jsonc",
	      "good.jsonc" },
	    .status = 1,
	    .err = "bad.jsonc:versoin: 3003 MANIFEST_UNKNOWN: "
		   "unknown name, did you mean \"version\"?\n"
		   "bad.jsonc:version: 3006 MANIFEST_MISSING: missing\n"
		   "none.jsonc: 1002 FILE_UNREADABLE: " },
	{ .arguments = { "check", "bad.jsonc", "none.jsonc", "cut.jsonc" },
	    .status = 1,
	    .err = "cut.jsonc:2: 3000 MANIFEST_SYNTAX: "
		   "the text ends too early\n" },
	{ .arguments = { "check", "good.jsonc", "next.jsonc" },
	    .status = 1,
	    .err = "next.jsonc:document: 3008 MANIFEST_DUPLICATE: "
		   "document \"a\" is declared already at "
		   "good.jsonc:document\n" },
	{ .arguments = { "diff", "good.jsonc", "next.jsonc" },
	    .out = "team t: removed" },
	{ .arguments = { "diff", "-w", "more.jsonc", "good.jsonc",
	      "next.jsonc" },
	    .out = "route r: importance low -> high\n" },
	{ .arguments = { "diff", "bad.jsonc", "good.jsonc" },
	    .status = 1,
	    .err = "bad.jsonc:versoin: 3003" },
	{ .arguments = { "explain", "-t", "t", "-r", "r", "good.jsonc" },
	    .out = "A request of team t to route r (GET /, service s)\n" },
	{ .arguments = { "explain", "-t", "x", "-r", "r", "good.jsonc" },
	    .status = 1,
	    .err = "3016 MANIFEST_ABSENT: no team \"x\"" },
	{ .arguments = { "table" }, .out = "| 2100 | `TEAM_RATE` | 429 |" },
	{ .arguments = { "digest" },
	    .input = "key.txt",
	    .out = "51a453c910d9d005183bd18aea2cf548"
		   "992cb85d08e0088f3640cd1020e436f3\n" },
	{ .arguments = { "digest" },
	    .input = "empty.txt",
	    .status = 1,
	    .err = "no key on standard input" },
	{ .arguments = { "keygen", "pipeline" },
	    .out = "pipeline.secret\npipeline.public\n" },
	{ .arguments = { "keygen", "pipeline" },
	    .status = 1,
	    .err = "File exists" },
	{ .arguments = { "keygen", "other" }, .out = "other.public\n" },
	{ .arguments = { "sign", "-k", "pipeline.secret", "good.jsonc" },
	    .output = "good.signed",
	    .out = "\"signature\": \"" },
	{ .arguments = { "sign", "-k", "pipeline.public", "good.jsonc" },
	    .status = 1,
	    .err = "3023 SIGNING_KEY" },
	{ .arguments = { "sign", "-k", "pipeline.secret", "bad.jsonc" },
	    .status = 1,
	    .err = "bad.jsonc:versoin: 3003" },
	{ .arguments = { "verify", "-k", "pipeline.public", "good.signed" },
	    .out = "{\"document\": \"a\", \"version\": 1, " },
	{ .arguments = { "verify", "-k", "other.public", "good.signed" },
	    .status = 1,
	    .err = "good.signed: 3022 SIGNER_UNKNOWN" },
	{ .arguments = { "verify", "-k", "pipeline.public", "good.jsonc" },
	    .status = 1,
	    .err = "good.jsonc: 3020 ENVELOPE_MALFORMED" },
};

/* Whether text contains part, or is empty if part is NULL. */
static bool
output_matches(const char *text, const char *part)
{
	if (text == NULL)
		return false;
	return part == NULL ? text[0] == '\0' : strstr(text, part) != NULL;
}

static void
check_step(size_t i)
{
	struct run run =
	    run_tool(steps[i].arguments, steps[i].input, steps[i].output);

	TEST_CHECK(run.status == steps[i].status, "step %zu: status %d", i,
	    run.status);
	TEST_CHECK(output_matches(run.out, steps[i].out), "step %zu: out %s", i,
	    run.out);
	TEST_CHECK(output_matches(run.err, steps[i].err), "step %zu: err %s", i,
	    run.err);
	TEST_CHECK(run.out != NULL && strstr(run.out, CALLER_KEY) == NULL,
	    "step %zu", i);
	free_run(&run);
}

static void
remove_directory(void)
{
	GDir *dir = g_dir_open(directory, 0, NULL);
	const char *name;
	char *file;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		file = g_build_filename(directory, name, NULL);
		g_remove(file);
		g_free(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(directory);
}

static void
test_steps(void)
{
	size_t i;

	directory = g_dir_make_tmp("loom-tool-XXXXXX", NULL);
	find_program();
	write_files();
	for (i = 0; i < G_N_ELEMENTS(steps); i++)
		check_step(i);
	remove_directory();
	g_free(program);
	g_free(directory);
}

static const struct test_case tests[] = {
	{ "steps", test_steps },
};

TEST_MAIN("loom-manifest", tests)
