#ifndef LOOM_MANIFEST_SUPPORT_H
#define LOOM_MANIFEST_SUPPORT_H

/*
 * Helpers of the manifest tests.  Documents are written with ' instead of " to
 * avoid escapes.
 */

#include <string.h>

#include "loom/manifest.h"
#include "support/test.h"

/* Returns a copy of text with each ' replaced by "; owned by the caller. */
static inline char *
test_quote(const char *text)
{
	return g_strdelimit(g_strdup(text), "'", '"');
}

/* Returns the code of an error, or LOOM_OK for NULL, and frees the error. */
static inline enum loom_result
test_error_code_free(GError *error)
{
	enum loom_result code;

	if (error == NULL)
		return LOOM_OK;
	code = (enum loom_result)error->code;
	g_error_free(error);
	return code;
}

/* Parses a document written with '.  Returns NULL if it has problems. */
static inline struct loom_document *
test_document(const char *text, struct loom_problem **problems)
{
	char *quoted = test_quote(text);
	struct loom_document *document;

	document =
	    loom_document_parse(quoted, strlen(quoted), "a.jsonc", problems);
	g_free(quoted);
	return document;
}

/* Builds a manifest from up to four texts, which must all be valid documents; a
 * smaller number is terminated by NULL. */
static inline struct loom_manifest *
test_manifest(const char *const *texts, struct loom_problem **problems)
{
	struct loom_document *documents[4];
	struct loom_manifest *manifest;
	size_t i, n;

	for (n = 0; n < G_N_ELEMENTS(documents) && texts[n] != NULL; n++) {
		documents[n] = test_document(texts[n], problems);
		if (!TEST_CHECK(documents[n] != NULL, "%s", texts[n]))
			return NULL;
	}
	manifest = loom_manifest_build(documents, n, 1, problems);
	for (i = 0; i < n; i++)
		loom_document_release(documents[i]);
	return manifest;
}

#endif
