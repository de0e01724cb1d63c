/*
 * Builds a manifest from document files.
 */

#include "loom/explain.h"

static struct loom_document *
load_document(const char *file, struct loom_problem **problems)
{
	struct loom_document *document;
	GError *cause = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(file, &text, &len, &cause)) {
		loom_problem_add(
		    problems, LOOM_FILE_UNREADABLE, file, "%s", cause->message);
		g_error_free(cause);
		return NULL;
	}
	document = loom_document_parse(text, len, file, problems);
	g_free(text);
	return document;
}

struct loom_manifest *
loom_manifest_load(
    const char *const *files, size_t nfiles, struct loom_problem **problems)
{
	struct loom_document **documents =
	    g_new0(struct loom_document *, nfiles);
	struct loom_manifest *manifest = NULL;
	bool ok = true;
	size_t i;

	for (i = 0; i < nfiles; i++) {
		documents[i] = load_document(files[i], problems);
		ok = ok && documents[i] != NULL;
	}
	if (ok)
		manifest = loom_manifest_build(documents, nfiles, 1, problems);
	for (i = 0; i < nfiles; i++) {
		if (documents[i] != NULL)
			loom_document_release(documents[i]);
	}
	g_free(documents);
	return manifest;
}
