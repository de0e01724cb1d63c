/*
 * One document: reading it by its fields, and the checks that need more than
 * one field of it.
 */

#include <sodium.h>
#include <string.h>

#include "loom/fields.h"
#include "manifest/internal.h"

#define QUEUE_PER_SLOT 4

static const struct loom_field_codes codes = {
	.syntax = LOOM_MANIFEST_SYNTAX,
	.unknown = LOOM_MANIFEST_UNKNOWN,
	.type = LOOM_MANIFEST_TYPE,
	.range = LOOM_MANIFEST_RANGE,
	.missing = LOOM_MANIFEST_MISSING,
};

static bool
is_safe_method(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

/*
 * A route that changes something must say whether it may run twice.  A
 * default would be wrong one way or the other: "idempotent" doubles a payment
 * whose author forgot the field, "not idempotent" makes each lookup take a
 * ticket.
 */
static bool
finish_routes(struct loom_document *document, struct loom_problem **problems)
{
	struct route_entry *route;
	bool ok = true;
	char *where;
	guint i;

	for (i = 0; i < document->body.routes->len; i++) {
		route = &g_array_index(
		    document->body.routes, struct route_entry, i);
		if (route->idempotent_seen || route->method[0] == '\0')
			continue;
		route->idempotent = is_safe_method(route->method);
		if (route->idempotent)
			continue;
		where = g_strdup_printf(
		    "%s:routes[%u].idempotent", document->file, i);
		loom_problem_add(problems, LOOM_MANIFEST_IDEMPOTENT, where,
		    "must be given for method %s", route->method);
		g_free(where);
		ok = false;
	}
	return ok;
}

/* Once here, and not again each time the documents are joined. */
static void
finish_keys(struct team_entry *team)
{
	struct key_entry *key;
	guint i;

	for (i = 0; i < team->keys->len; i++) {
		key = &g_array_index(team->keys, struct key_entry, i);
		sodium_hex2bin(key->digest, sizeof(key->digest), key->sha256,
		    strlen(key->sha256), NULL, NULL, NULL);
	}
}

static void
finish_teams(struct loom_document *document)
{
	guint i;

	for (i = 0; i < document->body.teams->len; i++)
		finish_keys(
		    &g_array_index(document->body.teams, struct team_entry, i));
}

static void
finish_services(struct loom_document *document)
{
	struct service_entry *service;
	guint i;

	for (i = 0; i < document->body.services->len; i++) {
		service = &g_array_index(
		    document->body.services, struct service_entry, i);
		if (!service->queue_seen)
			service->queue = QUEUE_PER_SLOT * service->slots;
	}
}

static void
destroy_document(void *object)
{
	struct loom_document *document = object;

	loom_fields_free(manifest_document_fields, &document->body);
	g_free(document->file);
	g_free(document);
}

struct loom_document *
loom_document_parse(const char *text, size_t len, const char *file,
    struct loom_problem **problems)
{
	struct loom_field_source source = { .file = file, .codes = &codes };
	struct loom_document *document;
	struct json_object *object;
	bool ok;

	if (len > LOOM_DOCUMENT_BYTES_MAX) {
		loom_problem_add(problems, LOOM_MANIFEST_TOO_LARGE, file,
		    "%zu bytes, at most %d are allowed", len,
		    LOOM_DOCUMENT_BYTES_MAX);
		return NULL;
	}
	object = loom_fields_parse(&source, text, len, problems);
	if (object == NULL)
		return NULL;
	document = g_new0(struct loom_document, 1);
	loom_ref_init(&document->ref, destroy_document);
	document->file = g_strdup(file);
	ok = loom_fields_read(&source, object, manifest_document_fields,
	    &document->body, problems);
	ok = finish_routes(document, problems) && ok;
	finish_services(document);
	finish_teams(document);
	json_object_put(object);
	if (ok)
		return document;
	loom_document_release(document);
	return NULL;
}

const char *
loom_document_name(const struct loom_document *document)
{
	return document->body.name;
}

uint64_t
loom_document_version(const struct loom_document *document)
{
	return document->body.version;
}

struct loom_document *
loom_document_acquire(struct loom_document *document)
{
	loom_ref_acquire(&document->ref);
	return document;
}

void
loom_document_release(struct loom_document *document)
{
	loom_ref_release(&document->ref, document);
}
