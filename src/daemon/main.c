/*
 * The command line of a daemon program.
 */

#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/run.h"
#include "loom/daemon.h"
#include "loom/log.h"
#include "loom/tls.h"
#include "loom/version.h"

#define EXIT_USAGE 2

/*
 * Checks the files that the settings refer to, prints the result, and returns
 * the exit status.
 */
static int
check_files(const char *file, const struct daemon_settings *settings)
{
	struct loom_problem *problems = NULL;
	struct loom_tls_pair tls;
	GError *error = NULL;

	if (loom_tls_load(settings->tls_key_file, settings->tls_cert_file, &tls,
		&error)) {
		loom_tls_clear(&tls);
		printf("%s: ok\n", file);
		return EXIT_SUCCESS;
	}
	loom_problem_add(&problems, (enum loom_result)error->code, file, "%s",
	    error->message);
	g_error_free(error);
	return loom_problems_print(problems);
}

static int
serve(const char *file, bool check_only, const struct loom_daemon_kind *kind)
{
	struct daemon_settings settings;
	struct loom_problem *problems = NULL;
	struct loom_daemon *daemon;
	GError *error = NULL;
	int status;

	if (!loom_settings_load(file, daemon_fields, &settings, &problems))
		return loom_problems_print(problems);
	if (check_only) {
		status = check_files(file, &settings);
		loom_fields_free(daemon_fields, &settings);
		return status;
	}
	daemon = daemon_new(&settings, kind, &error);
	if (daemon == NULL) {
		loom_log(LOOM_LOG_ERROR, "loomd", (enum loom_result)error->code,
		    "%s", error->message);
		g_error_free(error);
		status = EXIT_FAILURE;
	} else {
		status = daemon_run(daemon);
		daemon_free(daemon);
	}
	loom_fields_free(daemon_fields, &settings);
	return status;
}

int
loom_daemon_main(int argc, char **argv, const struct loom_daemon_kind *kind)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this");
	struct arg_lit *version = arg_lit0("V", "version", "show the version");
	struct arg_lit *check =
	    arg_lit0("c", "check", "check the settings and exit");
	struct arg_file *file =
	    arg_file0(NULL, NULL, "SETTINGS", "JSON with comments");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, check, file, end };
	int errors, status = EXIT_USAGE;

	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("usage: %s", kind->program);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("%s %s\n", kind->program, LOOM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors > 0 || file->count == 0) {
		arg_print_errors(stderr, end, kind->program);
		fprintf(stderr, "usage: %s", kind->program);
		arg_print_syntax(stderr, table, "\n");
	} else if (sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		fprintf(stderr, "%s: cannot initialize libsodium or libcurl\n",
		    kind->program);
		status = EXIT_FAILURE;
	} else {
		loom_log_set_fd(kind->log_fd);
		status = serve(file->filename[0], check->count > 0, kind);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
