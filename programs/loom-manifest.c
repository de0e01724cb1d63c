/*
 * loom-manifest: checks, signs, verifies, compares and explains manifest
 * documents in the operators' build pipeline. This program only reads files
 * and prints text; the rules for manifests are implemented in src/manifest.
 *
 * Exit status: 0 success, 1 problems found, 2 invalid command line.
 */

#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loom/explain.h"
#include "loom/sign.h"
#include "loom/version.h"

#define EXIT_USAGE 2
#define ERRORS_MAX 8
#define FILES_MAX 16384
#define OPTIONS_MAX 4
#define KEY_BYTES_MAX 4096

/* Parsed arguments of a command. A member is NULL if the command does not
 * accept that argument. */
struct options {
	struct arg_file *key_file;
	struct arg_file *shared_documents;
	struct arg_str *team;
	struct arg_str *route;
	struct arg_file *files;
};

/* Describes the positional arguments of a command. */
struct file_argument {
	const char *metavar;
	const char *help;
	int min;
	int max;
};

struct command {
	const char *name;
	const char *help;
	int (*run)(const struct options *);
	const struct file_argument *files; /* NULL if it takes no files */
	const char *key_help; /* help text of --key; NULL if not accepted */
	bool takes_shared_documents; /* accepts --with */
	bool takes_team_and_route; /* accepts --team and --route */
};

static int
print_error(const char *where, GError *error)
{
	enum loom_result code = (enum loom_result)error->code;

	fprintf(stderr, "%s: %d %s: %s\n", where, error->code,
	    loom_result_info(code)->name, error->message);
	g_error_free(error);
	return EXIT_FAILURE;
}

/* Prints text, then frees it with g_free(). */
static int
print_and_free(char *text)
{
	fputs(text, stdout);
	g_free(text);
	return EXIT_SUCCESS;
}

/* Prints an error and returns false if the file cannot be read. */
static bool
read_file(const char *file, char **text, gsize *len)
{
	GError *cause = NULL, *error = NULL;

	if (g_file_get_contents(file, text, len, &cause))
		return true;
	loom_set_error(&error, LOOM_FILE_UNREADABLE, "%s", cause->message);
	g_error_free(cause);
	print_error(file, error);
	return false;
}

static int
run_check(const struct options *options)
{
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;

	manifest = loom_manifest_load(
	    options->files->filename, (size_t)options->files->count, &problems);
	if (manifest == NULL)
		return loom_problems_print(problems);
	printf("ok: %u teams, %u keys, %u services, %u routes\n",
	    manifest->nteams, manifest->nkeys, manifest->nservices,
	    manifest->nroutes);
	loom_manifest_release(manifest);
	return EXIT_SUCCESS;
}

/* Checks the document before signing it, since daemons reject a document that
 * fails these checks even if its signature is valid. */
static int
run_sign(const struct options *options)
{
	const char *key_file = options->key_file->filename[0];
	const char *file = options->files->filename[0];
	struct loom_problem *problems = NULL;
	struct loom_document *document;
	struct loom_secret_key key;
	GError *error = NULL;
	char *text, *envelope;
	gsize len;

	if (!loom_secret_key_load(key_file, &key, &error))
		return print_error(key_file, error);
	if (!read_file(file, &text, &len))
		return EXIT_FAILURE;
	document = loom_document_parse(text, len, file, &problems);
	if (document == NULL) {
		g_free(text);
		return loom_problems_print(problems);
	}
	loom_document_release(document);
	envelope = loom_envelope_sign(&key, text, len, &error);
	sodium_memzero(&key, sizeof(key));
	g_free(text);
	if (envelope == NULL)
		return print_error(file, error);
	return print_and_free(envelope);
}

static int
run_verify(const struct options *options)
{
	const char *key_file = options->key_file->filename[0];
	const char *file = options->files->filename[0];
	uint8_t digest[LOOM_DIGEST_SIZE];
	struct loom_public_key key;
	GError *error = NULL;
	char *text, *payload;
	gsize len;
	size_t payload_len;
	bool ok;

	if (!loom_public_key_load(key_file, &key, &error))
		return print_error(key_file, error);
	if (!read_file(file, &text, &len))
		return EXIT_FAILURE;
	ok = loom_envelope_verify(
	    text, len, &key, 1, &payload, &payload_len, digest, &error);
	g_free(text);
	if (!ok)
		return print_error(file, error);
	fwrite(payload, 1, payload_len, stdout);
	g_free(payload);
	return EXIT_SUCCESS;
}

static int
run_keygen(const struct options *options)
{
	const char *prefix = options->files->filename[0];
	struct loom_public_key public_key;
	struct loom_secret_key secret;
	GError *error = NULL;
	bool ok;

	loom_key_pair(&public_key, &secret);
	ok = loom_key_pair_write(prefix, &public_key, &secret, &error);
	sodium_memzero(&secret, sizeof(secret));
	if (!ok)
		return print_error(prefix, error);
	printf("%s.secret\n%s.public\n", prefix, prefix);
	return EXIT_SUCCESS;
}

/* Reads the key from standard input rather than from an argument, so that it
 * appears neither in process listings nor in the shell history. A single
 * trailing newline is not part of the key. */
static int
run_digest(const struct options *options)
{
	char key[KEY_BYTES_MAX], hex[2 * LOOM_DIGEST_SIZE + 1];
	uint8_t digest[LOOM_DIGEST_SIZE];
	size_t len = fread(key, 1, sizeof(key), stdin);

	(void)options;
	if (len == sizeof(key)) {
		fprintf(stderr, "loom-manifest: the key is too long\n");
		return EXIT_FAILURE;
	}
	if (len > 0 && key[len - 1] == '\n')
		len--;
	if (len == 0) {
		fprintf(stderr, "loom-manifest: no key on standard input\n");
		return EXIT_FAILURE;
	}
	loom_key_digest(key, len, digest);
	sodium_memzero(key, sizeof(key));
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	printf("%s\n", hex);
	return EXIT_SUCCESS;
}

/* Loads one side of a comparison: file, joined with the documents that both
 * sides share. */
static struct loom_manifest *
load_with_shared_documents(const char *file,
    const struct arg_file *shared_documents, struct loom_problem **problems)
{
	GPtrArray *files = g_ptr_array_new();
	struct loom_manifest *manifest;
	int i;

	g_ptr_array_add(files, (void *)file);
	for (i = 0; i < shared_documents->count; i++)
		g_ptr_array_add(files, (void *)shared_documents->filename[i]);
	manifest = loom_manifest_load(
	    (const char *const *)files->pdata, files->len, problems);
	g_ptr_array_unref(files);
	return manifest;
}

static int
run_diff(const struct options *options)
{
	const char **files = options->files->filename;
	struct loom_problem *problems = NULL;
	struct loom_manifest *from, *to;
	int status;

	from = load_with_shared_documents(
	    files[0], options->shared_documents, &problems);
	to = load_with_shared_documents(
	    files[1], options->shared_documents, &problems);
	if (from != NULL && to != NULL)
		status = print_and_free(loom_manifest_diff(from, to));
	else
		status = loom_problems_print(problems);
	if (from != NULL)
		loom_manifest_release(from);
	if (to != NULL)
		loom_manifest_release(to);
	return status;
}

static int
run_explain(const struct options *options)
{
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;
	GError *error = NULL;
	char *text;

	manifest = loom_manifest_load(
	    options->files->filename, (size_t)options->files->count, &problems);
	if (manifest == NULL)
		return loom_problems_print(problems);
	text = loom_manifest_explain(
	    manifest, options->team->sval[0], options->route->sval[0], &error);
	loom_manifest_release(manifest);
	if (text == NULL)
		return print_error("loom-manifest", error);
	return print_and_free(text);
}

static int
run_table(const struct options *options)
{
	(void)options;
	return print_and_free(loom_result_markdown());
}

static const struct file_argument all_documents = {
	.metavar = "FILE",
	.help = "all manifest documents of the fleet",
	.min = 1,
	.max = FILES_MAX,
};

static const struct file_argument one_document = {
	.metavar = "FILE",
	.help = "a manifest document",
	.min = 1,
	.max = 1,
};

static const struct file_argument one_envelope = {
	.metavar = "FILE",
	.help = "a signed manifest document",
	.min = 1,
	.max = 1,
};

static const struct file_argument key_prefix = {
	.metavar = "PREFIX",
	.help =
	    "path prefix of the output files PREFIX.secret and PREFIX.public",
	.min = 1,
	.max = 1,
};

static const struct file_argument two_documents = {
	.metavar = "DOCUMENT",
	.help = "the document in force, then its replacement",
	.min = 2,
	.max = 2,
};

static const struct command commands[] = {
	{ .name = "check",
	    .help = "Check documents, each by itself and all joined.",
	    .run = run_check,
	    .files = &all_documents },
	{ .name = "sign",
	    .help = "Sign a document; print the signed envelope.",
	    .run = run_sign,
	    .key_help = "file with the pipeline's secret signing key",
	    .files = &one_document },
	{ .name = "verify",
	    .help = "Verify a signed document; print its payload.",
	    .run = run_verify,
	    .key_help = "file with the public key to verify against",
	    .files = &one_envelope },
	{ .name = "keygen",
	    .help = "Generate a signing key pair for the pipeline.",
	    .run = run_keygen,
	    .files = &key_prefix },
	{ .name = "digest",
	    .help =
		"Read a caller's key from standard input; print its SHA-256.",
	    .run = run_digest },
	{ .name = "diff",
	    .help = "List the changes from one document to another.",
	    .run = run_diff,
	    .takes_shared_documents = true,
	    .files = &two_documents },
	{ .name = "explain",
	    .help =
		"Explain how a team's request is handled and when it is refused.",
	    .run = run_explain,
	    .takes_team_and_route = true,
	    .files = &all_documents },
	{ .name = "table",
	    .help = "Print the table of result codes as Markdown.",
	    .run = run_table },
};

/* Adds the command's options to argtable and returns their number. */
static size_t
add_options(
    const struct command *command, struct options *options, void **argtable)
{
	const struct file_argument *files = command->files;
	size_t n = 0;

	if (command->key_help != NULL)
		argtable[n++] = options->key_file =
		    arg_file1("k", "key", "FILE", command->key_help);
	if (command->takes_shared_documents)
		argtable[n++] = options->shared_documents =
		    arg_filen("w", "with", "FILE", 0, FILES_MAX,
			"an additional document that both sides share");
	if (command->takes_team_and_route) {
		argtable[n++] = options->team =
		    arg_str1("t", "team", "T", "team name");
		argtable[n++] = options->route =
		    arg_str1("r", "route", "R", "route name");
	}
	if (files != NULL)
		argtable[n++] = options->files = arg_filen(NULL, NULL,
		    files->metavar, files->min, files->max, files->help);
	return n;
}

static void
print_usage(FILE *out, const struct command *command, void **argtable)
{
	fprintf(out, "usage: loom-manifest %s", command->name);
	arg_print_syntax(out, argtable, "\n");
}

static int
print_version(void)
{
	printf("loom-manifest %s\n", LOOM_VERSION);
	return EXIT_SUCCESS;
}

static int
run_command(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help =
	    arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
	    arg_lit0("V", "version", "print the version and exit");
	struct arg_end *end = arg_end(ERRORS_MAX);
	void *argtable[OPTIONS_MAX + 3] = { help, version };
	struct options options = { .key_file = NULL };
	int errors, status = EXIT_USAGE;
	size_t n;

	n = add_options(command, &options, argtable + 2) + 2;
	argtable[n++] = end;
	errors = arg_parse(argc, argv, argtable);
	if (help->count > 0) {
		print_usage(stdout, command, argtable);
		printf("%s\n", command->help);
		arg_print_glossary(stdout, argtable, "  %-22s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		status = print_version();
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "loom-manifest");
		print_usage(stderr, command, argtable);
	} else {
		status = command->run(&options);
	}
	arg_freetable(argtable, n);
	return status;
}

static int
print_help(FILE *out, int status)
{
	size_t i;

	fprintf(out, "usage: loom-manifest COMMAND [--help] ...\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
	return status;
}

int
main(int argc, char **argv)
{
	size_t i;

	if (sodium_init() < 0) {
		fprintf(stderr, "loom-manifest: cannot start libsodium\n");
		return EXIT_FAILURE;
	}
	if (argc < 2)
		return print_help(stderr, EXIT_USAGE);
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)
		return print_help(stdout, EXIT_SUCCESS);
	if (strcmp(argv[1], "--version") == 0 || strcmp(argv[1], "-V") == 0)
		return print_version();
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return run_command(&commands[i], argc - 1, argv + 1);
	}
	fprintf(stderr, "loom-manifest: no command \"%s\"\n", argv[1]);
	return print_help(stderr, EXIT_USAGE);
}
