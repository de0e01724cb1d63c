/*
 * loom-calls: counts the calls in daemons' logs by how they ended.
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

struct reading {
	struct call_tally *tally;
	unsigned calls;
};

static void
take_line(void *arg, const char *line)
{
	struct reading *reading = arg;

	reading->calls += call_tally_add_line(reading->tally, line);
}

static int
run(const struct arg_lit *seconds, const struct arg_file *files)
{
	struct reading reading = {
		.tally = call_tally_new(seconds->count > 0),
	};
	char *table;
	bool ok;

	ok = loom_lines_read(
	    "loom-calls", files->filename, files->count, take_line, &reading);
	if (reading.calls == 0)
		fprintf(stderr, "loom-calls: no call was found\n");
	table = call_tally_table(reading.tally);
	fputs(table, stdout);
	g_free(table);
	call_tally_free(reading.tally);
	return ok && reading.calls > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this");
	struct arg_lit *version = arg_lit0("V", "version", "show the version");
	struct arg_lit *seconds =
	    arg_lit0("s", "seconds", "rows for each second of the log");
	struct arg_file *files = arg_filen(NULL, NULL, "FILE", 0, FILES_MAX,
	    "logs of daemons; standard input when none is named");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, seconds, files, end };
	int errors, status = EXIT_USAGE;

	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("usage: loom-calls");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("loom-calls %s\n", LOOM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "loom-calls");
	} else {
		status = run(seconds, files);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
