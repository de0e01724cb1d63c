/*
 * loom-load: generates load from several teams and reports the results. With
 * upstream ledgers, it also checks that the outcomes reported to callers agree
 * with what the upstreams executed.
 */

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#include "load/run.h"
#include "loom/version.h"

#define EXIT_USAGE 2
#define LEDGER_FILES_MAX 4096

static void
print_results(struct load_results *results, bool json)
{
	struct json_object *object;

	if (!json) {
		load_results_print(results, stdout);
		return;
	}
	object = load_results_json(results);
	printf("%s\n",
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
}

/* Returns the exit status. A violation found in the ledgers is a failure, but
 * the results are printed all the same. */
static int
run_load(const struct load_settings *settings, const struct arg_file *ledgers,
    bool json)
{
	struct load_results *results = load_results_new(settings);
	GError *error = NULL;
	int status = EXIT_SUCCESS;

	if (!load_run(settings, results, &error) ||
	    (ledgers->count > 0 &&
		!load_results_check_ledgers(results, ledgers->filename,
		    (uint32_t)ledgers->count, &error))) {
		fprintf(
		    stderr, "loom-load: %d: %s\n", error->code, error->message);
		g_error_free(error);
		status = EXIT_FAILURE;
	} else {
		print_results(results, json);
	}
	if (results->ledger_checked && results->violations->len > 0)
		status = EXIT_FAILURE;
	load_results_free(results);
	return status;
}

/* Reads and checks the settings file, then runs the load. */
static int
load_settings_and_run(
    const char *file, const struct arg_file *ledgers, bool json)
{
	struct loom_problem *problems = NULL;
	struct load_settings settings;
	int status = EXIT_FAILURE;

	if (!loom_settings_load(
		file, load_settings_fields, &settings, &problems)) {
		loom_problems_print(problems);
		return EXIT_FAILURE;
	}
	if (load_settings_check(&settings, file, &problems))
		status = run_load(&settings, ledgers, json);
	else
		loom_problems_print(problems);
	loom_fields_free(load_settings_fields, &settings);
	return status;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help =
	    arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
	    arg_lit0("V", "version", "print the version and exit");
	struct arg_lit *json =
	    arg_lit0("j", "json", "print JSON instead of tables");
	struct arg_file *ledgers =
	    arg_filen("l", "ledger", "FILE", 0, LEDGER_FILES_MAX,
		"an upstream's ledger to check the results against");
	struct arg_file *file = arg_file0(
	    NULL, NULL, "SETTINGS", "settings file (JSON with comments)");
	struct arg_end *end = arg_end(8);
	void *argtable[] = { help, version, json, ledgers, file, end };
	int errors, status = EXIT_USAGE;

	errors = arg_parse(argc, argv, argtable);
	if (help->count > 0) {
		printf("usage: loom-load");
		arg_print_syntax(stdout, argtable, "\n");
		arg_print_glossary(stdout, argtable, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("loom-load %s\n", LOOM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors > 0 || file->count == 0) {
		arg_print_errors(stderr, end, "loom-load");
		fprintf(stderr, "usage: loom-load");
		arg_print_syntax(stderr, argtable, "\n");
	} else {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		status = load_settings_and_run(
		    file->filename[0], ledgers, json->count > 0);
	}
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	return status;
}
