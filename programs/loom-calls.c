/*
 * loom-calls: counts the calls in daemons' logs by how they ended.
 */

#include <argtable2.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "loom/version.h"
#include "trace/tally.h"

#define EXIT_USAGE 2
#define FILES_MAX 256

static unsigned
read_stream(struct call_tally *tally, FILE *stream)
{
	char *line = NULL;
	size_t size = 0;
	unsigned n = 0;

	while (getline(&line, &size, stream) >= 0)
		n += call_tally_add_line(tally, line);
	free(line);
	return n;
}

static bool
read_file(struct call_tally *tally, const char *name, unsigned *n)
{
	FILE *stream = fopen(name, "r");

	if (stream == NULL) {
		fprintf(stderr, "loom-calls: %s: cannot be read\n", name);
		return false;
	}
	*n += read_stream(tally, stream);
	fclose(stream);
	return true;
}

static int
run(const struct arg_lit *seconds, const struct arg_file *files)
{
	struct call_tally *tally = call_tally_new(seconds->count > 0);
	unsigned n = 0;
	bool ok = true;
	char *table;
	int i;

	for (i = 0; i < files->count; i++)
		ok = read_file(tally, files->filename[i], &n) && ok;
	if (files->count == 0)
		n = read_stream(tally, stdin);
	if (n == 0)
		fprintf(stderr, "loom-calls: no call was found\n");
	table = call_tally_table(tally);
	fputs(table, stdout);
	g_free(table);
	call_tally_free(tally);
	return ok && n > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
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
