/*
 * loom-calls: counts the calls recorded in daemon logs by their outcome.
 */

#include <argtable2.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "loom/lines.h"
#include "loom/version.h"
#include "trace/tally.h"

#define EXIT_USAGE 2
#define FILES_MAX 256

/* Passed to count_line() for each line. */
struct call_count {
	struct call_tally *tally;
	unsigned calls;
};

static void
count_line(void *arg, const char *line)
{
	struct call_count *call_count = arg;

	call_count->calls += call_tally_add_line(call_count->tally, line);
}

/* Returns the exit status: failure when a file could not be read or the logs
 * hold no call record. The table is printed in either case. */
static int
print_call_table(const struct arg_lit *seconds, const struct arg_file *files)
{
	struct call_count call_count = {
		.tally = call_tally_new(seconds->count > 0),
	};
	char *table;
	bool ok;

	ok = loom_lines_read("loom-calls", files->filename, files->count,
	    count_line, &call_count);
	if (call_count.calls == 0)
		fprintf(stderr, "loom-calls: no calls in input\n");
	table = call_tally_table(call_count.tally);
	fputs(table, stdout);
	g_free(table);
	call_tally_free(call_count.tally);
	return ok && call_count.calls > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help =
	    arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
	    arg_lit0("V", "version", "print the version and exit");
	struct arg_lit *seconds = arg_lit0(
	    "s", "seconds", "separate rows for each second of the log");
	struct arg_file *files = arg_filen(NULL, NULL, "FILE", 0, FILES_MAX,
	    "daemon log files (default: standard input)");
	struct arg_end *end = arg_end(8);
	void *argtable[] = { help, version, seconds, files, end };
	int errors, status = EXIT_USAGE;

	errors = arg_parse(argc, argv, argtable);
	if (help->count > 0) {
		printf("usage: loom-calls");
		arg_print_syntax(stdout, argtable, "\n");
		arg_print_glossary(stdout, argtable, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("loom-calls %s\n", LOOM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "loom-calls");
	} else {
		status = print_call_table(seconds, files);
	}
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	return status;
}
