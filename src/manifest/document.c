/*
 * Parses one manifest document: reads its fields, then applies the checks and
 * defaults that depend on more than one field.
 */

#include <sodium.h>
#include <string.h>

#include "loom/fields.h"
#include "manifest/internal.h"

/* Default length of a service's queue for each of its slots. */
#define DEFAULT_QUEUE_PER_SLOT 4

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
 * Sets the default of "idempotent": true for GET and HEAD.  A route with any
 * other method must give the field, because either default would be wrong for
 * some routes: "idempotent" could execute a payment twice when its author
 * forgot the field, and "not idempotent" would make every lookup take a
 * ticket.
 */
static bool
set_default_idempotence(
    struct loom_document *document, struct loom_problem **problems)
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

/*
 * Decodes the digests at parse time, so that this isn't repeated each time the
 * documents are merged into a manifest.
 */
static void
decode_key_digests(struct team_entry *team)
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
decode_team_keys(struct loom_document *document)
{
	guint i;

	for (i = 0; i < document->body.teams->len; i++)
		decode_key_digests(
		    &g_array_index(document->body.teams, struct team_entry, i));
}

static void
set_default_queues(struct loom_document *document)
{
	struct service_entry *service;
	guint i;

	for (i = 0; i < document->body.services->len; i++) {
		service = &g_array_index(
		    document->body.services, struct service_entry, i);
		if (!service->queue_seen)
			service->queue =
			    DEFAULT_QUEUE_PER_SLOT * service->slots;
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

static struct loom_document *
parse(const char *text, size_t len, size_t max_bytes, const char *file,
    struct loom_problem **problems)
{
	struct loom_field_source source = { .file = file, .codes = &codes };
	struct loom_document *document;
	struct json_object *object;
	bool ok;

	if (len > max_bytes) {
		loom_problem_add(problems, LOOM_MANIFEST_TOO_LARGE, file,
		    "%zu bytes, at most %zu are allowed", len, max_bytes);
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
	ok = set_default_idempotence(document, problems) && ok;
	set_default_queues(document);
	decode_team_keys(document);
	json_object_put(object);
	if (ok)
		return document;
	loom_document_release(document);
	return NULL;
}

struct loom_document *
loom_document_parse(const char *text, size_t len, const char *file,
    struct loom_problem **problems)
{
	return parse(text, len, LOOM_DOCUMENT_BYTES_MAX, file, problems);
}

struct loom_document *
loom_document_parse_unsigned(const char *text, size_t len, const char *file,
    struct loom_problem **problems)
{
	return parse(
	    text, len, LOOM_DOCUMENT_UNSIGNED_BYTES_MAX, file, problems);
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
