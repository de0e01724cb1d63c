/*
 * loom-trace: reads spans from daemon logs or OTLP exports and prints one span
 * tree per trace.
 */

#include <argtable2.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loom/lines.h"
#include "loom/version.h"
#include "trace/tree.h"

#define EXIT_USAGE 2
#define FILES_MAX 256

static void
add_line(void *tree, const char *line)
{
	span_tree_add_line(tree, line);
}

static void
print_trace(const struct span_tree *tree, const char *trace_id)
{
	char *text = span_tree_draw(tree, trace_id);

	fputs(text, stdout);
	g_free(text);
}

/* Prints all traces, or only one if only_trace_id is not NULL. Returns the exit
 * status: failure if nothing was printed. */
static int
print_traces(const struct span_tree *tree, const char *only_trace_id)
{
	GPtrArray *traces = span_tree_traces(tree);
	const char *trace_id;
	guint i, printed = 0;

	for (i = 0; i < traces->len; i++) {
		trace_id = g_ptr_array_index(traces, i);
		if (only_trace_id != NULL &&
		    strcmp(only_trace_id, trace_id) != 0)
			continue;
		print_trace(tree, trace_id);
		printed++;
	}
	g_ptr_array_free(traces, TRUE);
	if (printed == 0)
		fprintf(stderr, "loom-trace: no matching span found\n");
	return printed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help =
	    arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
	    arg_lit0("V", "version", "print the version and exit");
	struct arg_str *trace = arg_str0(
	    "t", "trace", "ID", "print only this trace (32 hex digits)");
	struct arg_file *files = arg_filen(NULL, NULL, "FILE", 0, FILES_MAX,
	    "daemon logs or OTLP exports (default: standard input)");
	struct arg_end *end = arg_end(8);
	void *argtable[] = { help, version, trace, files, end };
	struct span_tree *tree = span_tree_new();
	int errors, status = EXIT_USAGE;
	bool ok;

	errors = arg_parse(argc, argv, argtable);
	if (help->count > 0) {
		printf("usage: loom-trace");
		arg_print_syntax(stdout, argtable, "\n");
		arg_print_glossary(stdout, argtable, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("loom-trace %s\n", LOOM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "loom-trace");
	} else {
		ok = loom_lines_read("loom-trace", files->filename,
		    files->count, add_line, tree);
		status = print_traces(
		    tree, trace->count > 0 ? trace->sval[0] : NULL);
		if (!ok)
			status = EXIT_FAILURE;
	}
	span_tree_free(tree);
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	return status;
}
